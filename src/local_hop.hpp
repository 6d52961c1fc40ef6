#pragma once

#include "node.hpp"

#include <cstdint>
#include <functional>
#include <string>

namespace sardinepoint
{

/** A call to be run on an upstream of this VM. */
struct hop_request
{
    std::string service;
    std::string version;
    http_request request;
    /** Time left for this attempt, including the wait for a slot. */
    time_ms time_left = 0;
    /** Time left for the whole call, passed to the upstream. */
    time_ms call_time_left = 0;
    int depth = 0;
    bool idempotent = false;
    std::uint64_t fingerprint = 0;
};

struct hop_result
{
    run_outcome outcome = run_outcome::unknown;
    http_response response;
    std::string reason;
    /** Calls that run on the upstream or wait for one of its slots. */
    int in_flight = 0;
    /** Name of the upstream if it crashed while it ran the call; otherwise empty. */
    std::string crashed_upstream;
};

using hop_callback = std::function<void(hop_result)>;

/** A call that waits for a slot or runs on an upstream of this VM. */
struct hop_call
{
    std::uint64_t id = 0;
    std::string upstream;
    hop_request request;
    hop_callback done;
    time_ms arrived = 0;
    time_ms started = 0;
    bool holds_slot = false;
    std::optional<call_id> upstream_request;
};

/**
 * Runs a call on an upstream of this VM, or refuses it. The callback may run before this returns.
 */
std::uint64_t run_local_hop(node& self, hop_request request, hop_callback done);

/** Aborts a call without invoking its callback. */
void cancel_local_hop(node& self, std::uint64_t hop);

/**
 * Number of calls that hold slots of an upstream, including abandoned calls and calls that started
 * before the upstream was last removed and announced again.
 */
int running_hops(const node& self, const std::string& upstream);

/** Refuses calls that waited too long for a slot or whose queue was lost with its upstream. */
void expire_waiting_hops(node& self);

} // namespace sardinepoint
