#pragma once

#include "hedging/hedge_policy.hpp"
#include "model/load_scenario.hpp"

#include "sardinepoint/admission.hpp"
#include "sardinepoint/placement.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace model
{

/** Options of the daemon's own admission and placement functions, and of the modelled retries. */
struct policy
{
    sardinepoint::admission_options admission;
    sardinepoint::placement_options placement;
    /** Upstreams to which a call is offered before it is refused. */
    int max_offers = 4;
    /** Factor on the expected wait that is sent to a refused caller as its retry delay. */
    double retry_wait_factor = 1;
    /** Whether the latency target of a retry counts from the caller's first attempt. */
    bool knows_first_attempt = true;
    /** Whether upstreams tell all daemons their service time. */
    bool advertises_service_time = true;
    /** Hedging of idempotent calls; off with a ratio of 0. */
    sardinepoint::hedge_options hedging;
};

/** Parses "key=number,key=number" on top of the defaults; empty text gives the defaults. */
std::optional<policy> parse_policy(std::string_view text, sardinepoint::error& reason);

/** Keys that parse_policy accepts. */
std::vector<std::string> policy_keys();

/** Counts of the calls of one route by result. */
struct route_metrics
{
    std::string name;
    int calls = 0;
    int within_latency_target = 0;
    int late = 0;
    int refused = 0;
    int failed = 0;
    /** Calls that were retried after a refusal and did not succeed either; part of `refused` and
     * `failed`. */
    int refused_again = 0;
    /** Achieved fraction of the offered utility. */
    double utility = 0;
};

/** Utility of a group of calls: if all met their latency target, and as achieved. */
struct utility_totals
{
    double offered_utility = 0;
    double achieved_utility = 0;
};

struct run_metrics
{
    std::vector<route_metrics> routes;
    std::vector<utility_totals> seconds;
    /** Fractions of the offered utility that were achieved: in all, in the worst seconds, on the
     * worst route and in the worst locality; and the answered fraction of the calls on routes with
     * a utility. */
    double utility_fraction = 0;
    double worst_seconds = 0;
    double worst_route = 0;
    double worst_locality = 0;
    double served = 0;
    /** Penalties, as fractions of the offered utility. */
    double refused_again = 0;
    double priority_inversion = 0;
    double failed_inner = 0;
    /** Weighted sum of the fractions minus the penalties. */
    double total = 0;
    /** 99th percentile of the time from a caller's first attempt to its answer. */
    double p99_ms = 0;
    /** Fraction of the callers' calls that were answered after their latency target. */
    double late = 0;
    /** Second attempts as a fraction of the calls. */
    double hedges = 0;
    /** Slot time of attempts that lost, as a fraction of the other slot time. */
    double extra_work = 0;
};

/** Simulates the scenario on a virtual clock. The same arguments give the same result. */
run_metrics run_scenario(const scenario& plan, const policy& evaluated_policy, std::uint64_t seed);

} // namespace model
