#pragma once

#include "sardinepoint/move.hpp"

#include <cstddef>
#include <cstdint>

namespace sardinepoint
{

/** Splits the error budget evenly over the routes, their sum, and the two signals. */
double error_probability_per_test(const move_policy& policy, std::size_t routes);

/** Calls that count as slow or fast. */
std::uint64_t timed_calls(const version_counters& counters);

/** Sums the counters of all routes. */
route_counters sum_routes(const evidence_totals& totals);

/** Adds the old version's calls and hits of one interval. */
void update_burst_tracker(burst_tracker& bursts, double calls, double hits);

/** Excess of the worst short-term rate over the long-term rate. */
double burst_excess(const burst_tracker& bursts);

} // namespace sardinepoint
