#include "sardinepoint/move.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>
#include <utility>

// A fault of the version makes all of its upstreams slow. A few slow upstreams of a good version
// can't be told from it by the sum of the calls, so each upstream's likelihood ratio is computed
// and the largest ones are left out. For any set of slow upstreams of a good version, the sum of
// the others' logarithms is at least as large as the result, so leaving out the largest ones is
// safe whichever upstreams are slow.

namespace sardinepoint
{
namespace
{

/** Increase of the rate of slow calls that does not count as harm: calls of a version with a small
 * share more often need a new connection. */
constexpr double tolerated_slow_increase = 0.15;
/** Excess of the new rate over the tolerated one, as a fraction of the distance from it to 1. */
constexpr std::array<double, 3> effect_sizes{0.25, 0.5, 0.9};
/** Lengths of the windows up to the anchor. A fault from the start shows best in the longest one,
 * which begins with the record, and one that begins later in a shorter one. */
constexpr std::array<time_ms, 5> window_lengths_ms{1'000, 2'000, 4'000, 8'000, 16'000};
constexpr double weight_longest = 0.5;
constexpr double weight_window = (1 - weight_longest) / window_lengths_ms.size();
constexpr time_ms record_interval_ms = 1'000;
/** With fewer calls of the old version, a window's own rate is not used. */
constexpr double min_old_calls = 20;
/** Calls without slow ones that the old version is assumed to have answered before the record. */
constexpr double prior_calls = 20;
constexpr double prior_slow = 1;
constexpr double max_rate = 0.9;
/** Of two or three upstreams, one may be slow. */
constexpr std::size_t upstreams_per_slow_one = 3;

timed_counters since(const timed_counters& latest, const timed_counters& before)
{
    return {.calls = latest.calls - std::min(before.calls, latest.calls),
            .slow = latest.slow - std::min(before.slow, latest.slow)};
}

timed_counters since(const slow_counts& latest, const slow_counts& before,
                     const std::string& upstream)
{
    const auto found = before.to.find(upstream);
    return since(latest.to.at(upstream),
                 found == before.to.end() ? timed_counters{} : found->second);
}

/** The highest rate of slow calls that does not count as harm. */
double tolerated_rate(const slow_call_record& record, const slow_counts& before,
                      double old_burst_excess)
{
    const auto all_calls = static_cast<double>(record.latest.from.calls);
    const auto all_slow = static_cast<double>(record.latest.from.slow);
    const double long_term = (all_slow + prior_slow) / (all_calls + prior_calls);
    const timed_counters old = since(record.latest.from, before.from);
    const auto calls = static_cast<double>(old.calls);
    const double recent = calls < min_old_calls ? long_term + old_burst_excess
                                                : static_cast<double>(old.slow) / calls;
    return std::min(max_rate, std::max(long_term, recent) + tolerated_slow_increase);
}

/** Likelihood ratio in one window, averaged over the effect sizes. */
double window_ratio(const slow_call_record& record, const slow_counts& before, std::size_t left_out,
                    double old_burst_excess)
{
    const double null = tolerated_rate(record, before, old_burst_excess);
    double ratio = 0;
    for (const double effect : effect_sizes)
    {
        const double alternative = null + effect * (1 - null);
        std::vector<double> logarithms;
        for (const auto& [upstream, counts] : record.latest.to)
        {
            const timed_counters own = since(record.latest, before, upstream);
            const auto slow = static_cast<double>(own.slow);
            const auto fast = static_cast<double>(own.calls - std::min(own.slow, own.calls));
            logarithms.push_back(slow * std::log(alternative / null) +
                                 fast * std::log((1 - alternative) / (1 - null)));
        }
        std::sort(logarithms.begin(), logarithms.end());
        logarithms.resize(logarithms.size() - std::min(left_out, logarithms.size()));
        const double sum = std::accumulate(logarithms.begin(), logarithms.end(), 0.0);
        constexpr double max_exponent = 200;
        ratio += std::exp(std::min(sum, max_exponent)) / effect_sizes.size();
    }
    return ratio;
}

} // namespace

void record_slow_counts(slow_call_record& record, slow_counts counts)
{
    if (record.recent.empty() || counts.at >= record.recent.back().at + record_interval_ms)
    {
        record.recent.push_back(counts);
    }
    // The windows need one record that is older than the longest of them.
    const auto is_needed = [&](const slow_counts& next)
    {
        return next.at > counts.at - window_lengths_ms.back();
    };
    while (record.recent.size() > 1 && !is_needed(record.recent[1]))
    {
        record.recent.erase(record.recent.begin());
    }
    record.latest = std::move(counts);
}

void restart_slow_counts(slow_call_record& record)
{
    record.first = record.latest;
    record.recent.clear();
}

std::size_t tolerated_slow_upstreams(std::size_t upstreams)
{
    return upstreams == 2 ? 1 : upstreams / upstreams_per_slow_one;
}

slow_call_evidence compare_slow_calls(const slow_call_record& record, std::size_t left_out,
                                      double old_burst_excess, time_ms anchor)
{
    slow_call_evidence evidence;
    for (const auto& [upstream, counts] : record.latest.to)
    {
        const timed_counters own = since(record.latest, record.first, upstream);
        evidence.to.calls += own.calls;
        evidence.to.slow += own.slow;
    }
    const double longest = window_ratio(record, record.first, left_out, old_burst_excess);
    double ratio = weight_longest * longest;
    for (const time_ms length : window_lengths_ms)
    {
        const slow_counts* before = &record.first;
        for (const slow_counts& counts : record.recent)
        {
            before = counts.at <= anchor - length ? &counts : before;
        }
        ratio += weight_window * window_ratio(record, *before, left_out, old_burst_excess);
    }
    evidence.log_ratio = std::log(ratio);
    evidence.longest_log_ratio = std::log(longest);
    return evidence;
}

} // namespace sardinepoint
