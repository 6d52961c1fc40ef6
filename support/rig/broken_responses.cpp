#include "rig/broken_responses.hpp"

namespace sardinepoint::rig
{

namespace
{

using namespace std::string_literals;

} // namespace

std::string to_text(const broken_response& response, std::string_view fields, std::string_view body)
{
    std::string text = response.interim + response.status_line + "\r\n";
    // In front of the other lines, as a line that begins with a blank would continue one of them.
    text += response.field.empty() ? "" : response.field + "\r\n";
    text += fields;
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    return text.append(body);
}

std::vector<broken_response> broken_statuses()
{
    std::vector<broken_response> responses;
    for (const char* status :
         {"000", "001", "099", "101", "600", "999", "20", "2000", "-20", "2x0"})
    {
        responses.push_back(
            {.name = "status "s + status, .status_line = "HTTP/1.1 "s + status + " Trouble"});
    }
    responses.push_back({.name = "control byte in the reason", .status_line = "HTTP/1.1 200 O\1K"});
    responses.push_back({.name = "version", .status_line = "HTTP/3.1 200 OK"});
    responses.push_back({.name = "no HTTP", .status_line = "trouble"});
    return responses;
}

std::ostream& operator<<(std::ostream& out, const broken_response& response)
{
    return out << response.name;
}

} // namespace sardinepoint::rig
