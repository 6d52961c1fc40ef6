#pragma once

#include "inbound.hpp"
#include "outbound.hpp"

#include <cstdint>
#include <string>
#include <string_view>

/** Parts of the handling of callers' calls that are shared by its sources. */
namespace sardinepoint::outbound
{

// A configuration that peers have advertised is usually read within this time.
inline constexpr time_ms newer_config_retry_after_ms = 500;
// A call with less time left can't be completed.
inline constexpr time_ms min_time_left_ms = 5;
inline constexpr int first_server_error = 500;
inline constexpr double seconds_per_us = 1e-6;
// Bounds on the Retry-After header of a refusal.
inline constexpr time_ms min_retry_after_ms = 40;
inline constexpr time_ms no_upstream_retry_after_ms = 400;

/** Open call with this id, or null. */
outbound_call* find_call(node& self, std::uint64_t id);

/** Time until the deadline of the call. */
time_ms time_left(const outbound_call& call);

/** Whether the configuration in force still permits the call: its key may have been removed, or the
 * first organisations added, since the call arrived. */
bool is_permitted(const node& self, const outbound_call& call);

/** Ends the call with a response, which is logged with the outcome and the reason. */
void respond(node& self, std::uint64_t id, http_response response, std::string_view outcome,
             std::string_view reason);

/** Responds that the call may have run and that its response was lost. */
void respond_outcome_unknown(node& self, std::uint64_t id, const std::string& reason, int status);

/** Sets the Retry-After header, in seconds. */
void set_retry_after(http_response& response, time_ms retry_after);

/** Responds that the call has not run, so that the caller may retry it after the given time. If an
 * earlier attempt may have run, the outcome is reported as unknown instead. */
void refuse(node& self, std::uint64_t id, const std::string& reason, time_ms retry_after);

/** Limits the wait to a third of the caller's remaining time, so that it has time for a retry. */
time_ms capped_retry_after(const outbound_call& call, time_ms wait);

/** Ends a call whose key the configuration doesn't have, or no longer has. */
void deny(node& self, std::uint64_t id);

/** Time after which a refused caller is likely to get a slot. */
time_ms retry_after(node& self, const outbound_call& call);

/** Counts an attempt in progress as evidence for moves if it is already slow. */
void record_if_slow(node& self, const outbound_call& call, call_attempt& attempt);

/** Records the end of an attempt for placement, peers and moves. */
void record_attempt(node& self, const outbound_call& call, const call_attempt& attempt,
                    const hop_report& report, int status, bool from_daemon);

/** Cancels the call's attempts in progress. */
void abort_attempts(node& self, outbound_call& call);

/** Offers the call to the instance that suits it best, or ends it if there is none. */
void offer_call(node& self, std::uint64_t id);

} // namespace sardinepoint::outbound
