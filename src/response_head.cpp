#include "response_head.hpp"

#include "sardinepoint/http.hpp"

#include <algorithm>

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

std::string_view trim(std::string_view text)
{
    constexpr std::string_view blanks = " \t";
    text.remove_prefix(std::min(text.find_first_not_of(blanks), text.size()));
    return text.substr(0, text.find_last_not_of(blanks) + 1);
}

/** Takes the length from a field that may list it several times. False if it is no single length.
 */
bool take_content_length(response_head& head, std::string_view value)
{
    while (true)
    {
        const std::size_t end = value.find(',');
        const auto length = parse_integer(trim(value.substr(0, end)));
        if (!length || (head.content_length && *head.content_length != *length))
        {
            return false;
        }
        head.content_length = length;
        if (end == std::string_view::npos)
        {
            return true;
        }
        value.remove_prefix(end + 1);
    }
}

/** Checks the fields that tell where the body ends. */
std::string check_framing(response_head& head, std::string_view name, std::string_view value)
{
    const bool is_length = equal_header_name(name, "Content-Length");
    const bool is_coding = equal_header_name(name, "Transfer-Encoding");
    head.is_framing_field = is_length || is_coding;
    if (is_length && !take_content_length(head, value))
    {
        return "its Content-Length is not one number";
    }
    // Requests don't offer any other coding.
    if (is_coding && (head.is_chunked || !equal_header_name(trim(value), "chunked")))
    {
        return "its body is not only coded in chunks";
    }
    head.is_chunked = head.is_chunked || is_coding;
    return head.is_chunked && head.content_length ? "it has both a length and chunks" : "";
}

std::string check_field_line(response_head& head, std::string_view line)
{
    const std::string_view name = line.substr(0, line.find(':'));
    const bool continues = is_continuation(line) && head.has_fields && !head.is_framing_field;
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
    return continues ? std::string() : check_framing(head, name, line.substr(name.size() + 1));
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
