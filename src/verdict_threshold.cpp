#include "sardinepoint/move.hpp"
#include "sardinepoint/registry.hpp"

namespace sardinepoint
{
namespace
{

/** Calls of the new version per period for which its rate is compared with the bound. */
constexpr double period_calls = 200;
/** Hit rate of the new version that counts as harm, regardless of the old version's rate. Twice the
 * tolerated increase is added, so that the usual 5% of slow calls pass. */
constexpr double base_bound = 0.05;

/** Layout of test_state::values. */
enum state_index : std::size_t
{
    calls,
    hits,
    exceeded,
    index_count,
};

/** Baseline test: a fixed bound on the new version's rate that ignores the old version. */
void record_threshold_interval(test_state& state, const interval_counts& interval,
                               const test_parameters& parameters)
{
    state.values.resize(index_count, 0);
    state.values[calls] += static_cast<double>(interval.to_calls);
    state.values[hits] += static_cast<double>(interval.to_hits);
    if (state.values[calls] < period_calls)
    {
        return;
    }
    const double bound = base_bound + 2 * parameters.tolerated_increase;
    if (state.values[hits] > bound * state.values[calls])
    {
        state.values[exceeded] = 1;
    }
    state.values[calls] = 0;
    state.values[hits] = 0;
}

verdict evaluate_threshold(const test_state& state, const test_parameters&)
{
    return {.harmful = !state.values.empty() && state.values[exceeded] > 0};
}

const registration<verdict_test> threshold("threshold",
                                           {.record_interval = record_threshold_interval,
                                            .evaluate = evaluate_threshold});

} // namespace
} // namespace sardinepoint
