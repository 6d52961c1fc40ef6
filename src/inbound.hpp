#pragma once

#include "hop_codec.hpp"
#include "node.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace sardinepoint
{

/** Result of a call at the upstream of this VM. */
struct inbound_result
{
    hop_report report;
    /** The upstream's response, set if the outcome is `answered`. */
    http_response response;
};

using inbound_callback = std::function<void(inbound_result)>;

/** A call that waits for the upstream of this VM or runs on it. */
struct inbound_call
{
    std::uint64_t id = 0;
    /** Without its body. */
    http_request request;
    std::shared_ptr<const std::string> body;
    hop_terms terms;
    inbound_callback done;
    time_ms arrived_at = 0;
    time_ms started_at = 0;
    std::uint64_t fingerprint = 0;
    bool holds_slot = false;
    std::optional<call_id> upstream_request;
};

/** Runs, queues or refuses a call for the upstream of this VM. Returns the call's id. The callback
 * may run before this function returns. */
std::uint64_t run_inbound(node& self, http_request request, std::shared_ptr<const std::string> body,
                          hop_terms terms, inbound_callback done);

/** Aborts a call. No callback runs, neither its own nor that of another call. */
void cancel_inbound(node& self, std::uint64_t id);

/** Handles a call from another daemon for the upstream of this VM. */
void handle_inbound_request(node& self, request_id id, http_request request);

/** Aborts a call whose daemon cancelled it. */
void handle_inbound_cancelled(node& self, request_id id);

/** Refuses all waiting calls, so that the callers' daemons offer them to other instances. */
void refuse_waiting_calls(node& self, std::string_view reason);

/** Gives a slot that is no longer in use to the next waiting call. Calls above the cold rate are
 * refused. */
void pass_on_slot(node& self);

/** Refuses waiting calls that can no longer finish in time. */
void expire_waiting_calls(node& self);

/** Priority of the least urgent call that runs on the upstream of this VM; 0 if none runs. */
int least_urgent_running_priority(const node& self);

/** Queue state that is reported to other daemons. */
queue_report local_queue_report(const node& self);

} // namespace sardinepoint
