#pragma once

#include "sardinepoint/core.hpp"

#include <cstddef>
#include <deque>
#include <optional>

namespace sardinepoint
{

/** Rate that an upstream bears while it is cold, and by how much it may be exceeded. */
struct cold_rate
{
    double per_s = 0;
    /** In any second a cold upstream may get per_s * excess + slack calls. */
    double excess = 1.5;
    double slack = 8;
};

/** Numbers of starts of calls in one second. */
struct cold_limits
{
    /** While the upstream is known to be cold. */
    std::size_t cold = 1;
    /** While it may have become cold since it was last known to be warm. */
    std::size_t unproven = 1;
    /** Number of starts since then from which on its state is asked for. */
    std::size_t probe_from = 1;

    bool operator==(const cold_limits&) const = default;
};

cold_limits make_cold_limits(const cold_rate& rate);

/** Start of a call on an upstream. */
struct call_start
{
    time_ms at = 0;
    /** Whether the upstream was known to be cold. */
    bool cold = false;
};

/** Limits the starts of calls on an upstream that may become cold at any time. Times are steady. */
struct cold_gate
{
    cold_limits limits;
    /** Starts in the last second, oldest first. */
    std::deque<call_start> starts;
    /** End of the cold time according to the announcements and to the health responses. */
    time_ms announced_until = 0;
    time_ms reported_until = 0;
    /** Time of the last announcement. */
    time_ms announced_at = 0;
    /** Sending time of the last health request whose response said "not cold". */
    std::optional<time_ms> warm_at;
    /** Sending time of the health request in progress. */
    std::optional<time_ms> probe_sent_at;
    /** Earliest time of the next health request. */
    time_ms next_probe_at = 0;
};

/**
 * Creates a gate that counts starts of an earlier process: it is closed until they are a second old
 * or the upstream is known to be warm.
 */
cold_gate make_cold_gate(const cold_limits& limits, time_ms now);

/** Remaining time for which the upstream is known to be cold; 0 if it is not. */
time_ms cold_time_left(const cold_gate& gate, time_ms now);

/** Time until a call may start; 0 if it may start now. */
time_ms time_until_room(const cold_gate& gate, time_ms now);

void record_start(cold_gate& gate, time_ms now);

/** Applies the cold time of an announcement that is newer than those before. */
void record_announced_cold(cold_gate& gate, time_ms cold_left, time_ms now);

/** Whether to send a health request now. */
bool wants_probe(const cold_gate& gate, time_ms now);
void record_probe_sent(cold_gate& gate, time_ms now);

/** Ends the health request in progress; the cold time is empty if there was no valid response. */
void record_probe_result(cold_gate& gate, std::optional<time_ms> cold_left, time_ms now);

} // namespace sardinepoint
