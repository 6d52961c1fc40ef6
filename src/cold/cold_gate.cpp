#include "cold/cold_gate.hpp"

#include <algorithm>
#include <cmath>
#include <vector>

namespace sardinepoint
{

namespace
{

// A call may arrive at the upstream this much later than it was started: it waits for a connection
// or for the processor. Calls that start more than a second apart may then arrive within one.
constexpr time_ms max_arrival_delay_ms = 25;
constexpr time_ms window_ms = 1000 + max_arrival_delay_ms;
// Health requests without a valid response may be repeated this often in a window, beyond the
// limit.
constexpr std::size_t max_probes_per_window = 3;
constexpr time_ms failed_probe_pause_ms = 400;
// Health requests have a price. In the second after a cold time they would follow each few calls.
constexpr time_ms probe_pause_ms = 100;
// Starts that remain possible while a health request is in progress: 0.2 s at 50 calls/s.
constexpr std::size_t starts_per_probe = 10;

/**
 * Times of the starts that count, oldest first: those in the window, except any before the upstream
 * was known to be warm. Starts during a known cold time stay, since another one may begin within a
 * second of its end.
 */
std::vector<time_ms> counted_starts(const cold_gate& gate, time_ms now)
{
    const time_ms oldest = now - window_ms;
    const time_ms oldest_warm = gate.warm_at ? *gate.warm_at - max_arrival_delay_ms : oldest;
    std::vector<time_ms> counted;
    counted.reserve(gate.starts.size());
    for (const call_start& start : gate.starts)
    {
        if (start.at > oldest && (start.cold || start.at >= oldest_warm))
        {
            counted.push_back(start.at);
        }
    }
    return counted;
}

} // namespace

cold_limits make_cold_limits(const cold_rate& rate)
{
    const double bound = std::floor(rate.per_s * rate.excess + rate.slack);
    const auto most = static_cast<std::size_t>(std::max(bound, 1.0));
    cold_limits limits;
    limits.unproven = most > max_probes_per_window ? most - max_probes_per_window : 1;
    limits.cold = std::clamp(static_cast<std::size_t>(std::max(rate.per_s, 1.0)), std::size_t{1},
                             limits.unproven);
    limits.probe_from =
        std::max(limits.unproven > starts_per_probe ? limits.unproven - starts_per_probe : 0,
                 limits.unproven / 2);
    return limits;
}

cold_gate make_cold_gate(const cold_limits& limits, time_ms now)
{
    cold_gate gate{.limits = limits};
    gate.starts.assign(limits.unproven, {.at = now});
    // The earlier process may have known that the upstream was cold.
    std::for_each_n(gate.starts.begin(), limits.cold, [](call_start& start) { start.cold = true; });
    return gate;
}

time_ms cold_time_left(const cold_gate& gate, time_ms now)
{
    return std::max<time_ms>(std::max(gate.announced_until, gate.reported_until) - now, 0);
}

time_ms time_until_room(const cold_gate& gate, time_ms now)
{
    const std::size_t limit =
        cold_time_left(gate, now) > 0 ? gate.limits.cold : gate.limits.unproven;
    const std::vector<time_ms> counted = counted_starts(gate, now);
    return counted.size() < limit ? 0 : counted[counted.size() - limit] + window_ms - now;
}

void record_start(cold_gate& gate, time_ms now)
{
    while (!gate.starts.empty() && gate.starts.front().at <= now - window_ms)
    {
        gate.starts.pop_front();
    }
    gate.starts.push_back({.at = now, .cold = cold_time_left(gate, now) > 0});
}

void record_announced_cold(cold_gate& gate, time_ms cold_left, time_ms now)
{
    gate.announced_until = now + cold_left;
    gate.announced_at = now;
}

bool wants_probe(const cold_gate& gate, time_ms now)
{
    return !gate.probe_sent_at && now >= gate.next_probe_at && cold_time_left(gate, now) == 0 &&
           counted_starts(gate, now).size() >= gate.limits.probe_from;
}

void record_probe_sent(cold_gate& gate, time_ms now)
{
    gate.probe_sent_at = now;
}

void record_probe_result(cold_gate& gate, std::optional<time_ms> cold_left, time_ms now)
{
    if (!gate.probe_sent_at)
    {
        return;
    }
    const time_ms sent_at = *gate.probe_sent_at;
    gate.probe_sent_at.reset();
    gate.next_probe_at = sent_at + (cold_left ? probe_pause_ms : failed_probe_pause_ms);
    if (!cold_left)
    {
        return;
    }
    gate.reported_until = now + *cold_left;
    if (*cold_left > 0)
    {
        return;
    }
    gate.warm_at = sent_at;
    // An announcement that arrived before the request was sent is older than the response.
    if (gate.announced_at <= sent_at)
    {
        gate.announced_until = 0;
    }
}

} // namespace sardinepoint
