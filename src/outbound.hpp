#pragma once

#include "hop_codec.hpp"
#include "node.hpp"

#include "sardinepoint/platform_adapter.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sardinepoint
{

/** A call that began on this VM, until it is answered. Times are steady. */
struct outbound_call
{
    request_id id;
    http_request request;
    caller_facts caller;
    std::string route;
    std::string service;
    bool idempotent = false;
    int priority = 0;
    /** Priority of the least urgent run that may wait for this call. */
    int parent_priority = 0;
    int max_attempts = 0;
    /** Earliest time at which the call may have arrived. */
    std::int64_t arrived_us = 0;
    std::int64_t read_us = 0;
    time_ms goal_at = 0;
    time_ms deadline = 0;
    std::uint64_t fingerprint = 0;
    /** Chosen once, so that a call counts once in a version's share. */
    bool to_new_version = false;

    /** Times that an upstream was handed the call, as far as is known. */
    int arrivals = 0;
    /** Daemons that were asked to run the call. */
    int offers = 0;
    /** Instances that were offered the call. */
    std::vector<std::string> tried;
    bool may_have_run = false;
    std::string last_reason;

    /** Daemon that was offered the call last. */
    std::string member;
    std::string instance;
    std::string version;
    time_ms offered_at = 0;
    /** Report on which the placement rested. */
    time_ms report_age = -1;
    time_ms expected_wait = 0;
    std::optional<call_id> forwarded;
    std::optional<std::uint64_t> inbound;
    std::optional<timer_id> deadline_timer;
};

/** Handles a request on the outbound listener. */
void handle_outbound_request(node& self, request_id id, http_request request);

/** Answers all calls at once, as the daemon is about to end. */
void abort_open_calls(node& self);

/** The caller closed its connection. */
void handle_outbound_cancelled(node& self, request_id id);

/** Takes back the calls that a silent daemon has, if they may be repeated, and offers them to
 * others. */
void reroute_calls(node& self, const std::string& member, time_ms offered_before);

} // namespace sardinepoint
