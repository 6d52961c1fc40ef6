#pragma once

#include "hedging/latency_histogram.hpp"

#include "sardinepoint/placement.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sardinepoint
{

struct hedge_options
{
    /** Hedges as a fraction of a service's calls; 0 disables hedging. */
    double ratio = 0;
    /** Percentile of the route's latencies after which an attempt is hedged. */
    double percentile = 0.95;
    /** Fraction of the reported slots in use from which on the service is short of capacity. */
    double max_load = 0.75;
    /** Pause of hedging for a service after one of its calls was refused for want of a slot. */
    time_ms refusal_pause = 500;
    /**
     * Maximum fraction of slow attempts among the recent ones of a route. If more are slow, all
     * upstreams are, and a second attempt would be as slow as the first.
     */
    double max_slow_fraction = 0.4;
};

/** Recent attempts of one route. */
struct route_attempts
{
    decaying_latencies latencies;
    /** Exponentially weighted fraction of slow attempts. */
    double slow_fraction = 0;
};

/** What a daemon keeps for hedging; empty while hedging is disabled. */
struct hedge_state
{
    hedge_options options;
    std::map<std::string, route_attempts, std::less<>> attempts_by_route;
    /** Steady time of the last refusal for want of a slot, by service. */
    std::map<std::string, time_ms, std::less<>> refused_at_by_service;
};

bool is_hedging_enabled(const hedge_state& state);

/**
 * Time after which an attempt is hedged; empty while the route's percentile is unknown. `lag_ms` is
 * the time that a response may wait here unread.
 */
std::optional<time_ms> hedge_delay(const hedge_state& state, std::string_view route, double lag_ms);

/**
 * Time by which a late timer is postponed; 0 if it is on time. After a pause of the process,
 * responses that have arrived must be read before their calls are taken for slow.
 */
time_ms timer_postponement(time_ms due, time_ms now);

/** Records how long a first attempt took, or had taken when it was cancelled. */
void record_attempt_latency(hedge_state& state, const std::string& route, double latency_ms,
                            time_ms now);

/** Records that an attempt takes longer than its hedge delay. */
void record_overdue(hedge_state& state, const std::string& route);

/**
 * Records an attempt that ended within its hedge delay. It counts as slow if it took several times
 * the route's median: soon after all upstreams have become slow, the hedge delay is that of slow
 * attempts, while the median is still the usual one.
 */
void record_in_time(hedge_state& state, const std::string& route, double latency_ms);

/** Records that a call was refused for want of a slot. */
void record_capacity_refusal(hedge_state& state, const std::string& service, time_ms now);

/** Fraction of the slots in use at the instances with recent reports; 1 without such reports. */
double reported_load(std::span<const instance_view> views, const placement_options& options,
                     time_ms now);

/** State of a call whose attempt is slow. */
struct hedge_request
{
    std::string_view route;
    std::string_view service;
    bool is_idempotent = false;
    bool is_quarantined = false;
    bool shutting_down = false;
    /** Attempts that an upstream may have received, including the one in progress. */
    int arrivals = 0;
    int max_arrivals = 0;
    /** Fraction of the service's slots in use. */
    double load = 0;
};

/** Reason not to hedge the call; empty if nothing but the instance and the budget is left to check.
 */
std::string_view hedge_refusal(const hedge_state& state, const hedge_request& request, time_ms now);

/**
 * Indices of the instances that may get a hedge: those with a recent report of free slots and no
 * queue that are neither cold nor suspended and were not offered the call.
 */
std::vector<std::size_t> hedge_candidates(std::span<const instance_view> views,
                                          std::span<const std::size_t> eligible,
                                          std::span<const std::string> tried,
                                          const placement_options& options, time_ms now);

/**
 * Whether a hedge can finish in the time left. `service_time` is that of the chosen instance, or 0
 * if it is unknown; the route's median replaces it then.
 */
bool has_time_for_hedge(const hedge_state& state, std::string_view route, time_ms time_left,
                        time_ms service_time);

} // namespace sardinepoint
