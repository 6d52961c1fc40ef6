#pragma once

#include "model/load_model.hpp"

#include <vector>

namespace model
{

/** Sums collected over one run. */
struct run_totals
{
    /** Counts by route; `utility` is the sum that the route's calls achieved. */
    std::vector<route_metrics> routes;
    /** By the second in which a caller's first attempt started. */
    std::vector<utility_totals> seconds;
    std::vector<utility_totals> localities;
    /** Penalties, in units of utility. */
    double refused_again = 0;
    double failed_inner = 0;
    /** Times from the callers' first attempts to their answers. */
    std::vector<double> latencies;
    /** Calls of callers and upstreams without retries, and their second attempts. */
    int calls = 0;
    int hedges = 0;
    /** Slot time of all attempts, and of those whose results were not used. */
    double slot_ms = 0;
    double lost_slot_ms = 0;
};

/** Computes the fractions of the offered utility that were achieved, the penalties and the weighted
 * total of a run. */
run_metrics summarize_run(const scenario& plan, const run_totals& totals);

} // namespace model
