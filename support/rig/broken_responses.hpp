#pragma once

#include <ostream>
#include <string>
#include <string_view>
#include <vector>

namespace sardinepoint::rig
{

/** A response that is not valid HTTP/1.1. */
struct broken_response
{
    std::string name;
    std::string status_line;
    /** Line that breaks the head; empty if the status line does. */
    std::string field;
    /** Sent in front of the status line. */
    std::string interim;
};

inline constexpr std::string_view broken_body = "broken";

/** Text of the response; `fields` are complete lines that its head also includes. */
std::string to_text(const broken_response& response, std::string_view fields = {},
                    std::string_view body = broken_body);

/** Responses whose status line is invalid. */
std::vector<broken_response> broken_statuses();

std::ostream& operator<<(std::ostream& out, const broken_response& response);

} // namespace sardinepoint::rig
