#pragma once

#include "endpoints.hpp"
#include "node.hpp"

namespace sardinepoint
{

/** A call from a caller, or one spilled from another failure domain, that has no response yet. */
struct ingress_call
{
    request_id id;
    http_request request;
    std::string route;
    std::string service;
    bool idempotent = false;
    bool spilled = false;
    int depth = 0;
    std::int64_t arrived_us = 0;
    time_ms deadline = 0;
    std::uint64_t fingerprint = 0;
    std::optional<idempotency_key> key;
    /** The caller disconnected; the call continues only because its key may be sent again. */
    bool abandoned = false;

    int attempts = 0;
    std::vector<std::string> tried;
    bool avoid_new_version = false;
    bool upstream_crashed = false;
    /** Whether an upstream may have run one of the attempts. */
    bool may_have_run = false;

    std::string version;
    endpoint_ref target;
    time_ms attempt_started = 0;
    /** Whether a move has counted this attempt as slow while it runs. */
    bool counted_as_slow = false;
    /** The attempt in progress: a request to another daemon, or a call on an upstream here. */
    std::optional<call_id> forwarded;
    std::optional<std::uint64_t> local_hop;
    std::optional<timer_id> retry_timer;
};

/** Handles a request on the data listener: from a caller or from another daemon. */
void handle_data_request(node& self, request_id id, http_request request);

/** Handles a caller that closed its connection before it got the response. */
void handle_data_cancelled(node& self, request_id id);

/** Time until the deadline of a call. */
time_ms time_left(const ingress_call& call);

/** Number of calls that have no response yet. */
std::size_t calls_in_progress(const node& self);

} // namespace sardinepoint
