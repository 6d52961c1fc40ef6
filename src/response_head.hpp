#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sardinepoint
{

/** Reason of a call whose response has the defect. */
std::string unreadable_response(std::string_view defect);

/** State of a response's head that is checked line by line as it arrives. */
struct response_head
{
    /** 0 until the status line has arrived. */
    int status = 0;
    bool has_fields = false;
    /** Length of the body by Content-Length. */
    std::optional<std::int64_t> content_length;
    /** Whether Transfer-Encoding says that the body is sent in chunks. */
    bool is_chunked = false;
    /** Whether the last field tells where the body ends, so that no line may continue it. */
    bool is_framing_field = false;
    /** Whether the empty line at its end has arrived. */
    bool complete = false;
};

/** Whether further responses to the same request follow the one with this status. */
bool is_interim_status(int status);

/** Whether the line continues the field before it. */
bool is_continuation(std::string_view line);

/**
 * Checks the first bytes of a head, which may be only a part of its status line. Returns why no
 * valid response starts with them; empty if one may.
 */
std::string check_head_start(std::string_view bytes);

/**
 * Checks the next line of a head, or of the trailer that may follow its body, without its line end.
 * Returns why a response with this line is not valid HTTP/1.1; empty if it may be. The reason never
 * includes bytes of the response.
 */
std::string check_head_line(response_head& head, std::string_view line);

} // namespace sardinepoint
