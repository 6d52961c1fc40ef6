#include "hedging/hedge_policy.hpp"

#include <algorithm>
#include <cmath>

namespace sardinepoint
{

namespace
{

// A shorter delay is within the jitter of the event loop and of the network.
constexpr time_ms min_delay_ms = 5;
// The event loop may be this late under normal load.
constexpr time_ms timer_tolerance_ms = 20;
constexpr double slow_gain = 0.1;
// Multiple of the route's median from which on an attempt counts as slow. It is exceeded by 16% of
// lognormal latencies with a standard deviation of the logarithm of 0.7.
constexpr double slow_factor = 2;
// The calls of other daemons may take a slot before the hedge arrives.
constexpr int min_free_slots = 2;
constexpr double median = 0.5;

bool has_recent_report(const instance_view& view, const placement_options& options, time_ms now)
{
    return view.reported_at != 0 && now - view.reported_at <= options.max_report_age;
}

void record_slow(route_attempts& attempts, bool slow)
{
    attempts.slow_fraction += slow_gain * ((slow ? 1.0 : 0.0) - attempts.slow_fraction);
}

int used_slots(const instance_view& view)
{
    return view.report.running + view.report.waiting + view.sent_since_report;
}

} // namespace

bool is_hedging_enabled(const hedge_state& state)
{
    return state.options.ratio > 0;
}

std::optional<time_ms> hedge_delay(const hedge_state& state, std::string_view route, double lag_ms)
{
    const auto found = state.attempts_by_route.find(route);
    if (!is_hedging_enabled(state) || found == state.attempts_by_route.end())
    {
        return std::nullopt;
    }
    const auto latency = latency_percentile(found->second.latencies, state.options.percentile);
    if (!latency)
    {
        return std::nullopt;
    }
    return std::max(static_cast<time_ms>(std::ceil(*latency + lag_ms)), min_delay_ms);
}

time_ms timer_postponement(time_ms due, time_ms now)
{
    const time_ms lateness = now - due;
    return lateness > timer_tolerance_ms ? lateness : 0;
}

void record_attempt_latency(hedge_state& state, const std::string& route, double latency_ms,
                            time_ms now)
{
    if (is_hedging_enabled(state))
    {
        record_latency(state.attempts_by_route[route].latencies, latency_ms, now);
    }
}

void record_overdue(hedge_state& state, const std::string& route)
{
    record_slow(state.attempts_by_route[route], true);
}

void record_in_time(hedge_state& state, const std::string& route, double latency_ms)
{
    route_attempts& attempts = state.attempts_by_route[route];
    const auto usual = latency_percentile(attempts.latencies, median);
    record_slow(attempts, usual && latency_ms > slow_factor * *usual);
}

void record_capacity_refusal(hedge_state& state, const std::string& service, time_ms now)
{
    if (is_hedging_enabled(state))
    {
        state.refused_at_by_service[service] = now;
    }
}

double reported_load(std::span<const instance_view> views, const placement_options& options,
                     time_ms now)
{
    double used = 0;
    double slots = 0;
    for (const instance_view& view : views)
    {
        if (has_recent_report(view, options, now))
        {
            // The queue of one slow instance doesn't show that the others are short of slots.
            used += std::min(used_slots(view), view.slots);
            slots += view.slots;
        }
    }
    return slots > 0 ? used / slots : 1;
}

std::string_view hedge_refusal(const hedge_state& state, const hedge_request& request, time_ms now)
{
    if (!request.is_idempotent)
    {
        return "not_idempotent";
    }
    if (request.shutting_down)
    {
        return "shutdown";
    }
    if (request.is_quarantined)
    {
        return "quarantined";
    }
    if (request.arrivals >= request.max_arrivals)
    {
        return "max_attempts";
    }
    const auto refused = state.refused_at_by_service.find(request.service);
    const bool recently_refused = refused != state.refused_at_by_service.end() &&
                                  now - refused->second < state.options.refusal_pause;
    if (recently_refused || request.load > state.options.max_load)
    {
        return "load";
    }
    const auto route = state.attempts_by_route.find(request.route);
    if (route != state.attempts_by_route.end() &&
        route->second.slow_fraction > state.options.max_slow_fraction)
    {
        return "all_slow";
    }
    return {};
}

std::vector<std::size_t> hedge_candidates(std::span<const instance_view> views,
                                          std::span<const std::size_t> eligible,
                                          std::span<const std::string> tried,
                                          const placement_options& options, time_ms now)
{
    std::vector<std::size_t> candidates;
    for (const std::size_t i : eligible)
    {
        const instance_view& view = views[i];
        const bool usable = has_recent_report(view, options, now) && now >= view.cold_until &&
                            now >= view.suspended_until &&
                            std::find(tried.begin(), tried.end(), view.instance) == tried.end();
        if (usable && view.report.waiting == 0 && view.slots - used_slots(view) >= min_free_slots)
        {
            candidates.push_back(i);
        }
    }
    return candidates;
}

bool has_time_for_hedge(const hedge_state& state, std::string_view route, time_ms time_left,
                        time_ms service_time)
{
    auto usual = static_cast<double>(service_time);
    if (service_time == 0)
    {
        const auto found = state.attempts_by_route.find(route);
        usual = found == state.attempts_by_route.end()
                    ? 0
                    : latency_percentile(found->second.latencies, median).value_or(0);
    }
    return static_cast<double>(time_left) > usual;
}

} // namespace sardinepoint
