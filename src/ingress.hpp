#pragma once

#include "endpoints.hpp"
#include "node.hpp"

namespace sardinepoint
{

/** One call from a caller or a spilled call, until it is answered. */
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
    /** The caller has gone; the call only goes on because its key may be sent again. */
    bool abandoned = false;

    int attempts = 0;
    std::vector<std::string> tried;
    bool avoid_new_version = false;
    bool upstream_crashed = false;
    /** Whether some attempt may have run. */
    bool may_have_run = false;

    std::string version;
    endpoint_ref target;
    time_ms attempt_started = 0;
    std::optional<call_id> forwarded;
    std::optional<std::uint64_t> local;
    std::optional<timer_id> retry_timer;
};

/** Handles a request on the data listener: from a caller or from another daemon. */
void handle_data_request(node& self, request_id id, http_request request);

/** The caller closed its connection. */
void handle_data_cancelled(node& self, request_id id);

/** Time until the deadline of a call. */
time_ms time_left(const ingress_call& call);

/** Calls that are not answered yet. */
std::size_t calls_in_progress(const node& self);

} // namespace sardinepoint
