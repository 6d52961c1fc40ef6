#pragma once

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

/** The decisions that are compared. They are the daemon's own functions with these options. */
struct policy
{
    sardinepoint::admission_options admission;
    sardinepoint::placement_options placement;
    /** Daemons that are asked to run a call before it is refused. */
    int max_offers = 4;
    /** Factor on the expected wait that a refused caller is told. */
    double retry_wait_factor = 1;
    /** Whether the goal of a call that comes back counts from its first attempt. */
    bool knows_first_attempt = true;
};

/** Reads "key=value,key=value" over the defaults; empty text is the present policy. */
std::optional<policy> parse_policy(std::string_view text, sardinepoint::error& reason);

/** Keys that parse_policy takes. */
std::vector<std::string> policy_keys();

/** What became of the calls of one route. */
struct route_metrics
{
    std::string name;
    int calls = 0;
    int in_goal = 0;
    int late = 0;
    int refused = 0;
    int failed = 0;
    /** Refused ones that came back and were refused or failed again. */
    int refused_again = 0;
    /** Earned part of what all calls are worth. */
    double utility = 0;
};

/** One second of a run. */
struct utility_totals
{
    double offered_utility = 0;
    double achieved_utility = 0;
};

struct run_metrics
{
    std::vector<route_metrics> routes;
    std::vector<utility_totals> seconds;
    /** Parts of the figure: earned of what is owed. */
    double utility_fraction = 0;
    double worst_windows = 0;
    double worst_route = 0;
    double worst_locality = 0;
    double served = 0;
    /** Prices, as parts of all worth. */
    double refused_again = 0;
    double priority_inversion = 0;
    double failed_inner = 0;
    /** The weighted parts less the prices. */
    double total = 0;
};

/** Plays the scenario with a virtual clock. The same arguments give the same figures. */
run_metrics run_scenario(const scenario& plan, const policy& evaluated_policy, std::uint64_t seed);

} // namespace model
