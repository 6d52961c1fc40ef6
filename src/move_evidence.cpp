#include "sardinepoint/move.hpp"

#include <boost/histogram/axis/traits.hpp>

#include <algorithm>
#include <numeric>

namespace sardinepoint
{
namespace
{

// Bins are 11% wide; the first starts at 0.1 ms and the last ends at 100 s.
constexpr int latency_bins = 128;
constexpr double min_latency_ms = 0.1;
constexpr double max_latency_ms = 100'000;

constexpr double slow_quantile = 0.95;
constexpr time_ms latency_window_ms = 30'000;
/** With fewer samples, fewer than 5 calls lie above the 95th percentile. */
constexpr std::uint64_t min_latency_samples = 100;
/** With fewer samples, the 95th percentile is the maximum. A rough threshold weakens the comparison
 * but keeps it fair, because both versions are judged by it. */
constexpr std::uint64_t min_shared_samples = 20;

void merge_counters(version_counters& into, const version_counters& other)
{
    into.calls = std::max(into.calls, other.calls);
    into.failures = std::max(into.failures, other.failures);
    into.slow = std::max(into.slow, other.slow);
    into.untimed = std::max(into.untimed, other.untimed);
}

void add_counters(version_counters& into, const version_counters& other)
{
    into.calls += other.calls;
    into.failures += other.failures;
    into.slow += other.slow;
    into.untimed += other.untimed;
}

std::uint64_t sample_count(const latency_histogram& histogram)
{
    // The iterators include the underflow and overflow bins.
    return std::accumulate(histogram.begin(), histogram.end(), std::uint64_t{0});
}

} // namespace

void merge_evidence(move_evidence& into, const move_evidence& other)
{
    for (const auto& [source, routes] : other.totals_by_source)
    {
        evidence_totals& known = into.totals_by_source[source];
        for (const auto& [name, counters] : routes)
        {
            route_counters& target = known[name];
            merge_counters(target.from, counters.from);
            merge_counters(target.to, counters.to);
        }
    }
}

evidence_totals sum_evidence(const move_evidence& evidence)
{
    evidence_totals totals;
    for (const auto& [source, routes] : evidence.totals_by_source)
    {
        for (const auto& [name, counters] : routes)
        {
            route_counters& target = totals[name];
            add_counters(target.from, counters.from);
            add_counters(target.to, counters.to);
        }
    }
    return totals;
}

latency_histogram make_latency_histogram()
{
    using log_axis =
        boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    return latency_histogram(log_axis(latency_bins, min_latency_ms, max_latency_ms));
}

std::optional<double> latency_quantile(const latency_histogram& histogram, double quantile)
{
    const std::uint64_t samples = sample_count(histogram);
    if (samples == 0)
    {
        return std::nullopt;
    }
    const double quantile_samples = quantile * static_cast<double>(samples);
    std::uint64_t below = 0;
    const auto& axis = histogram.axis();
    for (int bin = -1; bin < axis.size(); ++bin)
    {
        below += histogram.at(bin);
        if (static_cast<double>(below) >= quantile_samples)
        {
            return axis.value(bin + 1);
        }
    }
    return max_latency_ms;
}

void update_slow_threshold(slow_threshold& state, time_ms now)
{
    if (now >= state.window_start + latency_window_ms)
    {
        std::swap(state.previous, state.current);
        state.current.reset();
        state.window_start = now;
    }
    latency_histogram recent = state.previous;
    recent += state.current;
    if (sample_count(recent) < min_latency_samples)
    {
        // Keeps the previous threshold: it applies to both versions and needs no recent samples.
        return;
    }
    state.threshold_ms = latency_quantile(recent, slow_quantile);
}

void record_old_latency(slow_threshold& state, double latency_ms)
{
    state.current(latency_ms);
}

bool is_slow(const slow_threshold& state, double latency_ms)
{
    return state.threshold_ms && latency_ms > *state.threshold_ms;
}

void record_old_latency(latency_counts& counts, double latency_ms)
{
    static const latency_histogram bins = make_latency_histogram();
    ++counts[bins.axis().index(latency_ms)];
}

void merge_latency_counts(latency_counts& into, const latency_counts& other)
{
    for (const auto& [bin, count] : other)
    {
        into[bin] = std::max(into[bin], count);
    }
}

std::optional<double>
shared_slow_threshold(const std::map<std::string, latency_counts>& counts_by_proxy)
{
    latency_histogram sum = make_latency_histogram();
    for (const auto& [proxy, counts] : counts_by_proxy)
    {
        for (const auto& [bin, count] : counts)
        {
            // Peers may send any bin; those outside the range hold no latency.
            if (bin >= -1 && bin <= sum.axis().size())
            {
                sum.at(bin) += count;
            }
        }
    }
    return sample_count(sum) < min_shared_samples ? std::nullopt
                                                  : latency_quantile(sum, slow_quantile);
}

} // namespace sardinepoint
