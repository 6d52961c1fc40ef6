#pragma once

#include "sardinepoint/core.hpp"

#include <array>
#include <cstddef>
#include <optional>

namespace sardinepoint
{

/** Bins are 25% wide; the first ends at 1 ms, and the last holds everything above 45 s. */
inline constexpr std::size_t hedge_latency_bins = 50;

/** Exponentially decaying counts of the recent latencies of one route. */
struct decaying_latencies
{
    std::array<float, hedge_latency_bins> counts{};
    /** Steady time up to which the counts are decayed. */
    time_ms decayed_at = 0;
};

/** Records a latency in milliseconds. */
void record_latency(decaying_latencies& latencies, double latency_ms, time_ms now);

/**
 * Latency that the given fraction of the recent calls does not exceed; empty while there are too
 * few calls to tell.
 */
std::optional<double> latency_percentile(const decaying_latencies& latencies, double percentile);

} // namespace sardinepoint
