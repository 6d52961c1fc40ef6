#pragma once

#include "sardinepoint/http.hpp"
#include "sardinepoint/limits.hpp"
#include "sardinepoint/placement.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace sardinepoint
{

/** What the daemon at which a call began tells the daemon beside the chosen upstream. */
struct hop_terms
{
    std::string id;
    std::string instance;
    std::string caller_service;
    std::string route;
    int priority = 0;
    int parent_priority = 0;
    /** Times that are left when the call is sent. */
    time_ms goal_left = 0;
    time_ms time_left = 0;
    bool idempotent = false;
    /** An upstream was handed the call before. */
    bool is_retry = false;
};

/** What the daemon beside the upstream adds to an answer. */
struct hop_report
{
    run_outcome outcome = run_outcome::unknown;
    std::string reason;
    queue_report queue;
    /** Time that the upstream worked on the call. */
    time_ms upstream_time = 0;
    /** Time from the call's arrival at the daemon to this report. */
    time_ms daemon_time = 0;
    /** The upstream ended while it ran the call. */
    bool crashed = false;
    /** The upstream was handed the call before it refused it. */
    bool arrived = false;
    /** The instance isn't served here or leaves: don't offer it calls. */
    bool gone = false;
};

/** Puts the terms into a header of the request. */
void write_terms(http_request& request, const hop_terms& terms);

/** Takes the header out of the request; empty if there is none that can be read. */
std::optional<hop_terms> take_terms(http_request& request);

void write_report(http_response& response, const hop_report& report);
std::optional<hop_report> take_report(http_response& response);

} // namespace sardinepoint
