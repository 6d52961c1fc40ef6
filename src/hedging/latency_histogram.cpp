#include "hedging/latency_histogram.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace sardinepoint
{

namespace
{

constexpr double bin_growth = 1.25;
constexpr double first_bin_end_ms = 1;
// Long enough for 100 calls of a route with a few calls per second, which a 95th percentile needs.
constexpr time_ms decay_constant_ms = 30'000;
// The counts are decayed in steps, since each step visits all bins.
constexpr time_ms decay_step_ms = 500;
// A percentile with fewer calls above it is determined by single calls.
constexpr double min_calls_above = 2;
constexpr double min_calls = 20;

std::size_t bin_of(double latency_ms)
{
    if (latency_ms <= first_bin_end_ms)
    {
        return 0;
    }
    const double position =
        std::ceil(std::log(latency_ms / first_bin_end_ms) / std::log(bin_growth));
    return std::min(static_cast<std::size_t>(position), hedge_latency_bins - 1);
}

double bin_end(std::size_t bin)
{
    return first_bin_end_ms * std::pow(bin_growth, static_cast<double>(bin));
}

} // namespace

void record_latency(decaying_latencies& latencies, double latency_ms, time_ms now)
{
    if (now - latencies.decayed_at >= decay_step_ms)
    {
        const auto kept = static_cast<float>(decay(now - latencies.decayed_at, decay_constant_ms));
        for (float& count : latencies.counts)
        {
            count *= kept;
        }
        latencies.decayed_at = now;
    }
    latencies.counts.at(bin_of(latency_ms)) += 1;
}

std::optional<double> latency_percentile(const decaying_latencies& latencies, double percentile)
{
    const double calls =
        std::accumulate(latencies.counts.begin(), latencies.counts.end(), double{0});
    if (calls < min_calls || calls * (1 - percentile) < min_calls_above)
    {
        return std::nullopt;
    }
    double below = 0;
    for (std::size_t bin = 0; bin < hedge_latency_bins; ++bin)
    {
        const double count = latencies.counts.at(bin);
        if (below + count >= percentile * calls)
        {
            const double start = bin == 0 ? 0 : bin_end(bin - 1);
            const double part = count > 0 ? (percentile * calls - below) / count : 1;
            return start + part * (bin_end(bin) - start);
        }
        below += count;
    }
    return bin_end(hedge_latency_bins - 1);
}

} // namespace sardinepoint
