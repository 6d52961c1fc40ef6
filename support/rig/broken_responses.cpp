#include "rig/broken_responses.hpp"

#include <sstream>
#include <utility>

namespace sardinepoint::rig
{

namespace
{

using namespace std::string_literals;

constexpr std::string_view valid_status_line = "HTTP/1.1 200 OK";

/** Responses whose status line is invalid. */
std::vector<response_sample> broken_statuses()
{
    std::vector<response_sample> responses;
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

/** Responses with a line in their head or trailer that is no valid field. */
std::vector<response_sample> broken_fields()
{
    const std::vector<std::pair<std::string, std::string>> lines{
        {"blank in a name", "X Trouble: 1"},
        {"blank behind a name", "X-Trouble : 1"},
        {"tab behind a name", "X-Trouble\t: 1"},
        {"blank before the first name", " X-Trouble: 1"},
        {"control byte in a name", "X-\1Trouble: 1"},
        {"NUL in a name", "X-\0Trouble: 1"s},
        {"escape in a name", "X-\x1b[1mTrouble: 1"},
        {"delete byte in a name", "X-\x7fTrouble: 1"},
        {"non-ASCII byte in a name", "X-\xfcTrouble: 1"},
        {"separator in a name", "X(Trouble): 1"},
        {"empty name", ": 1"},
        {"no colon", "Trouble"},
        {"blank behind Content-Length", "Content-Length : 2"},
        {"blank in Transfer-Encoding", "Transfer- Encoding: chunked"},
        {"NUL in a value", "X-Trouble: 1\0002"s},
        {"control byte in a value", "X-Trouble: 1\0012"},
        {"carriage return in a value", "X-Trouble: 1\rX-More: 2"},
    };
    std::vector<response_sample> responses;
    responses.reserve(lines.size() + 2);
    for (const auto& [name, line] : lines)
    {
        responses.push_back(
            {.name = name, .status_line = std::string(valid_status_line), .field = line});
    }
    responses.push_back({.name = "blank in a name of an interim response",
                         .status_line = std::string(valid_status_line),
                         .interim = "HTTP/1.1 100 Continue\r\nX Trouble: 1\r\n\r\n"});
    responses.push_back({.name = "blank in a name of the trailer",
                         .status_line = std::string(valid_status_line),
                         .trailer = "X Trouble: 1"});
    return responses;
}

/** Responses whose fields don't tell where their body ends, or how it is coded. */
std::vector<response_sample> broken_framings()
{
    const std::vector<std::pair<std::string, std::string>> lines{
        {"contradicting lengths", "Content-Length: 2"},
        {"list of lengths", "Content-Length: 6, 2"},
        {"text in a length", "Content-Length: 6x"},
        {"sign in a length", "Content-Length: +6"},
        {"too large length", "Content-Length: 99999999999999999999"},
        {"folded length", "Content-Length: 6\r\n 1"},
        {"coding and length", "Transfer-Encoding: gzip"},
        {"chunks and length", "Transfer-Encoding: chunked"},
    };
    std::vector<response_sample> responses;
    responses.reserve(lines.size() + 1);
    for (const auto& [name, line] : lines)
    {
        responses.push_back(
            {.name = name, .status_line = std::string(valid_status_line), .field = line});
    }
    responses.push_back({.name = "coding and chunks",
                         .status_line = std::string(valid_status_line),
                         .field = "Transfer-Encoding: gzip",
                         .trailer = "X-A: 1"});
    return responses;
}

} // namespace

std::string to_text(const response_sample& response, std::string_view fields, std::string_view body)
{
    std::string text = response.interim + response.status_line + "\r\n";
    // In front of the other lines, as a line that begins with a blank would continue one of them.
    text += response.field.empty() ? "" : response.field + "\r\n";
    text += fields;
    if (response.trailer.empty())
    {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
        return text.append(body);
    }
    std::ostringstream chunk;
    chunk << std::hex << body.size() << "\r\n" << body << "\r\n0\r\n";
    return text + "Transfer-Encoding: chunked\r\n\r\n" + chunk.str() + response.trailer +
           "\r\n\r\n";
}

std::vector<response_sample> broken_responses()
{
    std::vector<response_sample> responses = broken_statuses();
    for (const auto& list : {broken_fields(), broken_framings()})
    {
        responses.insert(responses.end(), list.begin(), list.end());
    }
    return responses;
}

std::vector<std::string> unfinished_broken_responses()
{
    return {"trouble", "\r\n", "HTTP/1.1 600 Trouble\r\n", "HTTP/1.1 200 OK\r\nX Trouble: 1\r\n"};
}

std::vector<response_sample> unusual_responses()
{
    const std::string ok(valid_status_line);
    return {
        {.name = "largest status", .status_line = "HTTP/1.1 599 Trouble"},
        {.name = "HTTP/1.0", .status_line = "HTTP/1.0 200 OK"},
        {.name = "no reason", .status_line = "HTTP/1.1 200 "},
        {.name = "non-ASCII byte in the reason", .status_line = "HTTP/1.1 200 Gr\xfc"},
        {.name = "empty value", .status_line = ok, .field = "X-Trouble:"},
        {.name = "tab in a value", .status_line = ok, .field = "X-Trouble: 1\t2"},
        {.name = "non-ASCII byte in a value", .status_line = ok, .field = "X-Trouble: \xfc"},
        {.name = "folded value", .status_line = ok, .field = "X-Trouble: 1\r\n 2"},
        {.name = "length twice", .status_line = ok, .field = "Content-Length: 6"},
        {.name = "list of equal lengths", .status_line = ok, .field = "content-length: 6 , 6"},
        {.name = "unusual name", .status_line = ok, .field = "!#$%&'*+-.^_`|~09aZ: 1"},
        {.name = "interim response",
         .status_line = ok,
         .interim = "HTTP/1.1 103 Early\r\nX-A: 1\r\n\r\n"},
        {.name = "trailer", .status_line = ok, .trailer = "X-A: 1"},
    };
}

std::ostream& operator<<(std::ostream& out, const response_sample& response)
{
    return out << response.name;
}

} // namespace sardinepoint::rig
