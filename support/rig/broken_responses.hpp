#pragma once

#include <ostream>
#include <string>
#include <string_view>
#include <vector>

namespace sardinepoint::rig
{

/** A response that is not valid HTTP/1.1, or one that is although it looks unusual. */
struct response_sample
{
    std::string name;
    std::string status_line;
    /** First line of the head behind the status line; empty: none. */
    std::string field;
    /** Sent in front of the status line. */
    std::string interim;
    /** Line behind the body, which is sent in chunks; empty: a body with a length. */
    std::string trailer;
};

/** Body of a response, unless another one is given. */
inline constexpr std::string_view broken_body = "broken";

/** Text of the response; `fields` are complete lines that its head also includes. */
std::string to_text(const response_sample& response, std::string_view fields = {},
                    std::string_view body = broken_body);

/** Responses that are not valid HTTP/1.1. */
std::vector<response_sample> broken_responses();

/** Starts of responses that can't become valid, whatever follows. */
std::vector<std::string> unfinished_broken_responses();

/** Responses that are valid although they are unusual. */
std::vector<response_sample> unusual_responses();

std::ostream& operator<<(std::ostream& out, const response_sample& response);

} // namespace sardinepoint::rig
