#include "move_slow_verdict.hpp"

#include "move_signals.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace sardinepoint
{
namespace
{

/** Likelihood ratio of a slow version to a good one from which on a version is possibly harmful. */
constexpr double doubtful_slow_ratio = 4;
/** Likelihood ratio from which on a version is withdrawn while its calls are held back. */
constexpr double held_slow_ratio = 20;
/** Likelihood ratio at the faster one of two upstreams from which on both count. */
constexpr double second_upstream_ratio = 2;
/** Calls from which on an upstream counts before the calls are spread. */
constexpr std::uint64_t min_upstream_calls = 5;

slow_call_verdict judge(const slow_call_evidence& evidence, double error_probability)
{
    return {.answers = evidence.to.calls,
            .harmful = evidence.log_ratio >= -std::log(error_probability),
            .doubtful = evidence.log_ratio >= std::log(doubtful_slow_ratio),
            .harmful_if_held = evidence.log_ratio >= std::log(held_slow_ratio),
            .likely = evidence.log_ratio > 0};
}

} // namespace

slow_counts make_slow_counts(const route_counters& sum, const evidence_totals& upstream_totals,
                             time_ms now)
{
    slow_counts counts{.at = now, .from = {.calls = timed_calls(sum.from), .slow = sum.from.slow}};
    for (const auto& [upstream, counters] : upstream_totals)
    {
        counts.to[upstream] = {.calls = timed_calls(counters.to), .slow = counters.to.slow};
    }
    return counts;
}

slow_call_verdict judge_slow_calls(const move_spec& spec, const move_progress& progress,
                                   const move_history& history, const move_context& context)
{
    const auto& counts = history.slow_calls.latest.to;
    const auto used = static_cast<std::size_t>(
        std::count_if(counts.begin(), counts.end(),
                      [](const auto& entry) { return entry.second.calls >= min_upstream_calls; }));
    // Before the calls are spread, most upstreams get none.
    const std::size_t upstreams =
        progress.spread ? std::max(context.new_upstreams, counts.size()) : used;
    const std::size_t left_out = tolerated_slow_upstreams(upstreams);
    // While the calls are held back, the windows must not lose those from before.
    const time_ms anchor = is_held(progress) ? history.holds_since : context.now;
    const auto compare = [&](std::size_t without)
    {
        return compare_slow_calls(history.slow_calls, without, burst_excess(history.slow_bursts),
                                  anchor);
    };
    const slow_call_evidence evidence = compare(left_out);
    const double error_probability = error_probability_per_test(spec.policy, context.routes);
    const bool unlikely = left_out > 0 && evidence.log_ratio <= 0 &&
                          evidence.longest_log_ratio <= -std::log(doubtful_slow_ratio);
    // One of two upstreams has too few calls to show a slow version alone. Both count as soon as
    // the faster one speaks for a slow version, too.
    const bool both_count =
        upstreams == 2 && used == 2 && evidence.log_ratio >= std::log(second_upstream_ratio);
    slow_call_verdict verdict = judge(both_count ? compare(0) : evidence, error_probability);
    verdict.unlikely = unlikely;
    verdict.reason =
        fmt::format("{} of {} calls on the new version were slow, at more than {} of "
                    "{} upstreams",
                    evidence.to.slow, evidence.to.calls, both_count ? 0 : left_out, upstreams);
    return verdict;
}

} // namespace sardinepoint
