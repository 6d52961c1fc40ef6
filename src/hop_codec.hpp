#pragma once

#include "sardinepoint/http.hpp"
#include "sardinepoint/limits.hpp"
#include "sardinepoint/placement.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace sardinepoint
{

/** Call parameters that the caller's daemon sends to the daemon beside the chosen upstream. */
struct hop_terms
{
    std::string id;
    std::string instance;
    std::string caller_service;
    std::string route;
    /** Organisation of the caller's key; empty if the call has none. */
    std::string organisation;
    int priority = 0;
    int parent_priority = 0;
    /** Time left until the latency target and the deadline when the call is sent. */
    time_ms latency_target_time_left = 0;
    time_ms time_left = 0;
    bool idempotent = false;
    /** An upstream has received an earlier attempt of the call. */
    bool is_retry = false;
    /** The service has a cold rate, which the daemon beside the upstream must know. */
    bool has_cold_rate = false;
    /** The call is returned as not run unless a slot is free when it arrives. */
    bool needs_free_slot = false;
};

/** Metadata that the daemon beside the upstream adds to a response. */
struct hop_report
{
    run_outcome outcome = run_outcome::unknown;
    std::string reason;
    queue_report queue;
    /** Time that the call spent at the upstream. */
    time_ms upstream_time = 0;
    /** Time that the call spent at the daemon, including the wait and the run. */
    time_ms daemon_time = 0;
    /** The upstream crashed while it ran the call. */
    bool crashed = false;
    /** The upstream received the call and refused it. */
    bool arrived = false;
    /** The instance isn't served here, is unavailable or is leaving, and should get no more calls.
     */
    bool gone = false;
};

/** Writes the terms to a header of the request. */
void write_terms(http_request& request, const hop_terms& terms);

/** Removes the terms header from the request and parses it. Returns nullopt if it is missing or
 * malformed. */
std::optional<hop_terms> take_terms(http_request& request);

/** Writes the report to a header of the response. */
void write_report(http_response& response, const hop_report& report);

/** Removes the report header from the response and parses it. Returns nullopt if it is missing or
 * malformed. */
std::optional<hop_report> take_report(http_response& response);

} // namespace sardinepoint
