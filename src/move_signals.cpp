#include "move_signals.hpp"

#include <algorithm>
#include <cmath>

namespace sardinepoint
{
namespace
{

/** Minimum number of the old version's calls in a period of the burst tracker; few enough to detect
 * bursts of one second on a busy service. */
constexpr double burst_period_calls = 100;
constexpr double long_term_decay = 0.99;

} // namespace

double error_probability_per_test(const move_policy& policy, std::size_t routes)
{
    const auto tests = static_cast<double>(2 * (routes + 1));
    return policy.wrong_withdrawal_probability / tests;
}

std::uint64_t timed_calls(const version_counters& counters)
{
    return counters.calls - std::min(counters.untimed, counters.calls);
}

route_counters sum_routes(const evidence_totals& totals)
{
    route_counters sum;
    for (const auto& [name, counters] : totals)
    {
        sum.from.calls += counters.from.calls;
        sum.from.failures += counters.from.failures;
        sum.from.slow += counters.from.slow;
        sum.from.untimed += counters.from.untimed;
        sum.to.calls += counters.to.calls;
        sum.to.failures += counters.to.failures;
        sum.to.slow += counters.to.slow;
        sum.to.untimed += counters.to.untimed;
    }
    return sum;
}

void update_burst_tracker(burst_tracker& bursts, double calls, double hits)
{
    bursts.long_term_hits = bursts.long_term_hits * long_term_decay + hits;
    bursts.long_term_calls = bursts.long_term_calls * long_term_decay + calls;
    bursts.period_hits += hits;
    bursts.period_calls += calls;
    if (bursts.period_calls < burst_period_calls)
    {
        return;
    }
    const double rate = bursts.period_hits / bursts.period_calls;
    // Uses a lower confidence bound: the highest raw rate of many short periods is due to chance.
    const double standard_error = std::sqrt(rate * (1 - rate) / bursts.period_calls);
    bursts.worst_rate = std::max(bursts.worst_rate, rate - 2 * standard_error);
    bursts.period_hits = 0;
    bursts.period_calls = 0;
}

double burst_excess(const burst_tracker& bursts)
{
    const double long_term_rate = bursts.long_term_hits / std::max(bursts.long_term_calls, 1.0);
    return std::max(0.0, bursts.worst_rate - long_term_rate);
}

} // namespace sardinepoint
