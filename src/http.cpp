#include "sardinepoint/http.hpp"

#include "json_reader.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <strings.h>

namespace sardinepoint
{

namespace
{

constexpr std::array<std::string_view, 11> hop_by_hop_names{
    "Connection", "Keep-Alive", "Transfer-Encoding",  "Content-Length",      "TE",
    "Trailer",    "Upgrade",    "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
    "Expect"};

constexpr std::string_view internal_header_prefix = "Sardinepoint-";

bool is_hop_by_hop(std::string_view name)
{
    return std::any_of(hop_by_hop_names.begin(), hop_by_hop_names.end(),
                       [name](std::string_view known) { return equal_header_name(known, name); });
}

bool is_internal_header(std::string_view name)
{
    return equal_header_name(name.substr(0, internal_header_prefix.size()), internal_header_prefix);
}

/** Header names listed in the Connection headers. */
std::vector<std::string> connection_options(std::span<const http_header> headers)
{
    std::vector<std::string> names;
    for (const http_header& header : headers)
    {
        if (!equal_header_name(header.name, "Connection"))
        {
            continue;
        }
        std::string_view rest = header.value;
        while (!rest.empty())
        {
            std::string_view name = rest.substr(0, rest.find(','));
            rest.remove_prefix(std::min(rest.size(), name.size() + 1));
            name.remove_prefix(std::min(name.size(), name.find_first_not_of(" \t")));
            name = name.substr(0, name.find_last_not_of(" \t") + 1);
            if (!name.empty())
            {
                names.emplace_back(name);
            }
        }
    }
    return names;
}

int hex_digit(char digit)
{
    if (digit >= '0' && digit <= '9')
    {
        return digit - '0';
    }
    const char lower = static_cast<char>(digit | 0x20);
    return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

std::string decode_percent(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        const bool escape = text[i] == '%' && i + 2 < text.size();
        const int high = escape ? hex_digit(text[i + 1]) : -1;
        const int low = escape ? hex_digit(text[i + 2]) : -1;
        if (high >= 0 && low >= 0)
        {
            decoded.push_back(static_cast<char>(high * 16 + low));
            i += 2;
        }
        else
        {
            decoded.push_back(text[i] == '+' ? ' ' : text[i]);
        }
    }
    return decoded;
}

} // namespace

bool equal_header_name(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && strncasecmp(left.data(), right.data(), left.size()) == 0;
}

std::optional<std::string_view> find_header(std::span<const http_header> headers,
                                            std::string_view name)
{
    for (const http_header& header : headers)
    {
        if (equal_header_name(header.name, name))
        {
            return header.value;
        }
    }
    return std::nullopt;
}

void remove_header(std::vector<http_header>& headers, std::string_view name)
{
    std::erase_if(headers, [name](const http_header& header)
                  { return equal_header_name(header.name, name); });
}

void set_header(std::vector<http_header>& headers, std::string_view name, std::string value)
{
    remove_header(headers, name);
    headers.push_back({std::string(name), std::move(value)});
}

void strip_connection_headers(std::vector<http_header>& headers)
{
    const std::vector<std::string> named = connection_options(headers);
    std::erase_if(headers,
                  [&](const http_header& header)
                  {
                      return is_hop_by_hop(header.name) ||
                             std::any_of(named.begin(), named.end(),
                                         [&](const std::string& name)
                                         { return equal_header_name(name, header.name); });
                  });
}

void strip_internal_headers(std::vector<http_header>& headers)
{
    std::erase_if(headers,
                  [](const http_header& header) { return is_internal_header(header.name); });
}

std::string_view path_of(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

std::optional<std::string> query_parameter(std::string_view target, std::string_view name)
{
    const std::size_t start = target.find('?');
    if (start == std::string_view::npos)
    {
        return std::nullopt;
    }
    std::string_view rest = target.substr(start + 1);
    while (!rest.empty())
    {
        const std::string_view pair = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
        const std::size_t equals = pair.find('=');
        if (pair.substr(0, equals) == name)
        {
            return equals == std::string_view::npos ? std::string()
                                                    : decode_percent(pair.substr(equals + 1));
        }
    }
    return std::nullopt;
}

std::optional<std::int64_t> parse_integer(std::string_view text)
{
    std::int64_t value = 0;
    const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (status != std::errc() || end != text.data() + text.size() || value < 0)
    {
        return std::nullopt;
    }
    return value;
}

std::int64_t query_integer(std::string_view target, std::string_view name, std::int64_t fallback)
{
    const auto text = query_parameter(target, name);
    return text ? parse_integer(*text).value_or(fallback) : fallback;
}

http_response json_response(int status, std::string body)
{
    return {.status = status,
            .headers = {{"Content-Type", "application/json"}},
            .body = std::move(body)};
}

http_response error_response(int status, const error& reason)
{
    const nlohmann::json body{{"error",
                               {{"kind", to_string(reason.kind)},
                                {"message", reason.message},
                                {"remedy", reason.remedy}}}};
    return json_response(status, detail::dump_json(body));
}

} // namespace sardinepoint
