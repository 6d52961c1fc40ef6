#pragma once

#include "hop_codec.hpp"
#include "node.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace sardinepoint
{

struct inbound_result
{
    hop_report report;
    /** The upstream's answer, if the outcome is `answered`. */
    http_response response;
};

using inbound_callback = std::function<void(inbound_result)>;

/** A call that waits for the upstream of this VM or runs there. */
struct inbound_call
{
    std::uint64_t id = 0;
    http_request request;
    hop_terms terms;
    inbound_callback done;
    time_ms arrived_at = 0;
    time_ms started_at = 0;
    std::uint64_t fingerprint = 0;
    bool holds_slot = false;
    std::optional<call_id> call;
};

/** Runs a call on the upstream of this VM, or refuses it. The callback may come at once. */
std::uint64_t run_inbound(node& self, http_request request, hop_terms terms, inbound_callback done);

/** Aborts a call; its callback doesn't run. */
void cancel_inbound(node& self, std::uint64_t id);

/** Handles a request from another daemon for the upstream of this VM. */
void handle_inbound_request(node& self, request_id id, http_request request);
void handle_inbound_cancelled(node& self, request_id id);

/** Refuses all waiting calls, so that they are placed elsewhere. */
void refuse_waiting(node& self, std::string_view reason);

/** Gives up calls that run on an upstream that no longer answers, if they may be repeated. */
void abandon_running(node& self, std::string_view reason);

/** Refuses waiting calls whose time no longer suffices. */
void expire_inbound(node& self);

/** Priority of the least urgent call that the upstream of this VM runs; 0 if it runs none. */
int least_urgent_running_priority(const node& self);

/** What other daemons should know about the queue. */
queue_report local_queue_report(const node& self);

} // namespace sardinepoint
