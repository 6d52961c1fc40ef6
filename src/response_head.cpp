#include "response_head.hpp"

#include <algorithm>
#include <optional>

namespace sardinepoint
{

namespace
{

constexpr int min_status = 100;
constexpr int first_final_status = 200;
constexpr int max_status = 599;
constexpr int switching_protocols = 101;
constexpr std::string_view version_start = "HTTP/1.";
constexpr std::string_view no_status_line = "it does not start with a status line";

bool is_digit(char byte)
{
    return byte >= '0' && byte <= '9';
}

constexpr unsigned char delete_byte = 0x7f;

// Whether char is signed differs between processors.
bool is_control(unsigned char byte)
{
    return (byte < ' ' && byte != '\t') || byte == delete_byte;
}

bool is_token_byte(unsigned char byte)
{
    constexpr std::string_view separators = "\"(),/:;<=>?@[\\]{}";
    return byte > ' ' && byte < delete_byte &&
           separators.find(static_cast<char>(byte)) == std::string_view::npos;
}

bool has_control(std::string_view text)
{
    return std::any_of(text.begin(), text.end(), is_control);
}

std::optional<int> parse_status_line(std::string_view line)
{
    // The version's last digit and a blank precede the status code.
    constexpr std::size_t code_start = version_start.size() + 2;
    constexpr std::size_t code_end = code_start + 3;
    if (line.size() < code_end || !line.starts_with(version_start) ||
        !is_digit(line[code_start - 2]) || line[code_start - 1] != ' ' || has_control(line))
    {
        return std::nullopt;
    }
    const std::string_view code = line.substr(code_start, code_end - code_start);
    const std::string_view rest = line.substr(code_end);
    if (!std::all_of(code.begin(), code.end(), is_digit) || (!rest.empty() && rest.front() != ' '))
    {
        return std::nullopt;
    }
    constexpr int base = 10;
    return ((code[0] - '0') * base + (code[1] - '0')) * base + (code[2] - '0');
}

std::string check_status_line(response_head& head, std::string_view line)
{
    const auto status = parse_status_line(line);
    if (!status)
    {
        return std::string(no_status_line);
    }
    if (*status < min_status || *status > max_status)
    {
        return "status " + std::to_string(*status) + " is not between 100 and 599";
    }
    if (*status == switching_protocols)
    {
        return "it switches to a protocol that was not asked for";
    }
    head.status = *status;
    return {};
}

std::string check_field_line(response_head& head, std::string_view line)
{
    const std::string_view name = line.substr(0, line.find(':'));
    const bool continues = is_continuation(line) && head.has_fields;
    const bool is_named = !name.empty() && name.size() < line.size() &&
                          std::all_of(name.begin(), name.end(), is_token_byte);
    if (!continues && !is_named)
    {
        return "a line of its head has no valid field name";
    }
    if (has_control(line))
    {
        return "a field of its head holds a control byte";
    }
    head.has_fields = true;
    return {};
}

} // namespace

std::string unreadable_response(std::string_view defect)
{
    return "the answer can't be read: " + std::string(defect);
}

bool is_continuation(std::string_view line)
{
    return line.starts_with(' ') || line.starts_with('\t');
}

bool is_interim_status(int status)
{
    return status < first_final_status;
}

std::string check_head_start(std::string_view bytes)
{
    const std::size_t size = std::min(bytes.size(), version_start.size());
    return std::string(bytes.substr(0, size) == version_start.substr(0, size) ? ""
                                                                              : no_status_line);
}

std::string check_head_line(response_head& head, std::string_view line)
{
    if (head.status == 0)
    {
        return check_status_line(head, line);
    }
    if (line.empty())
    {
        head.complete = true;
        return {};
    }
    return check_field_line(head, line);
}

} // namespace sardinepoint
