#pragma once

#include "hop_codec.hpp"
#include "node.hpp"
#include "usage/wallet.hpp"

#include "sardinepoint/platform_adapter.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sardinepoint
{

struct usage_refusal;

/** An attempt of a call at one instance. Each attempt of a call goes to a different instance. */
struct call_attempt
{
    /** Daemon to which the call was offered. */
    std::string member;
    std::string instance;
    std::string version;
    time_ms offered_at = 0;
    /** Whether a move has counted this attempt as slow while it runs. */
    bool counted_as_slow = false;
    /** Age of the queue report that the placement used; -1 without one. */
    time_ms report_age = -1;
    time_ms known_service_time = 0;
    time_ms expected_wait = 0;
    /** What is in progress: a request to another daemon, or a call on the upstream here. */
    std::optional<call_id> forwarded;
    std::optional<std::uint64_t> inbound;
};

/**
 * A call from a caller on this VM, kept until its response is sent. The base is its last attempt.
 * Times are steady.
 */
struct outbound_call : call_attempt
{
    request_id id;
    /** Without its body. */
    http_request request;
    /** Shared by all attempts. */
    std::shared_ptr<const std::string> body;
    caller_metadata caller;
    std::string route;
    std::string service;
    /** Organisation of the caller's key and the key's digest; empty if the call has none. */
    std::string organisation;
    std::string key_digest;
    /** Token of the organisation's usage limit that the call has spent. */
    std::optional<usage_receipt> usage_token;
    /** Whether the call needs no key. */
    bool is_public = false;
    /** Whether the upstream of this VM makes the call for a call that it runs. */
    bool made_by_upstream = false;
    bool idempotent = false;
    int priority = 0;
    /** Priority of the least urgent call, running on this VM, for which the upstream may have made
     * this one; the call's own priority if that isn't 0. */
    int parent_priority = 0;
    int max_attempts = 0;
    /** Earliest time at which the request may have reached this VM. It may wait unread. */
    std::int64_t arrived_us = 0;
    std::int64_t read_us = 0;
    /** Time by which the response should arrive; a later one is worth less to the caller. */
    time_ms latency_target_at = 0;
    time_ms deadline = 0;
    std::uint64_t fingerprint = 0;
    /** Chosen once per call, so that retries don't distort the new version's traffic share. */
    bool to_new_version = false;

    /** Number of times that an upstream received the call, as far as is known. */
    int arrivals = 0;
    /** Number of times that a daemon was asked to run the call. */
    int offers = 0;
    /** Instances to which the call was offered. */
    std::vector<std::string> tried;
    bool may_have_run = false;
    std::string last_reason;

    /** A second attempt, made only while the first is in progress. */
    std::optional<call_attempt> hedge;
    /** Set while the last attempt is in progress and may be hedged. */
    std::optional<timer_id> hedge_timer;
    std::optional<timer_id> deadline_timer;
};

/** Counts running attempts that are already slow as evidence for moves. */
void record_running_calls(node& self);

/** Offers a call that waited for a token of its usage limit, or refuses it. */
void finish_usage_wait(node& self, std::uint64_t id, const usage_refusal* refusal);

/** Handles a request received on the outbound listener. */
void handle_outbound_request(node& self, request_id id, http_request request);

/** Aborts all open calls and responds with an error, shortly before the daemon exits. */
void abort_open_calls(node& self);

/** Aborts a call whose caller closed its connection. */
void handle_outbound_cancelled(node& self, request_id id);

/** Cancels idempotent calls that were offered to an unresponsive daemon at the given time or
 * earlier, and retries them elsewhere if the retry budget permits. */
void reroute_calls(node& self, const std::string& member, time_ms offered_before);

} // namespace sardinepoint
