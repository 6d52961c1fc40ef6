#pragma once

#include "sardinepoint/core.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace sardinepoint
{

/** Limit on the retries that upstreams of one service receive from all daemons together. */
struct retry_limits
{
    /** Retries as a fraction of the calls in a window. */
    double ratio = 0.2;
    time_ms window = 10'000;
    /** Additional retries in a window for all daemons together. */
    int extra = 64;
};

inline constexpr std::size_t window_buckets = 20;

/** Calls and retries of one service in the buckets of a sliding window. */
struct service_retry_counts
{
    struct bucket
    {
        std::int64_t number = -1;
        std::uint32_t calls = 0;
        /** Hedges, which are counted as retries too. */
        std::uint32_t hedges = 0;
        /** Fractional, since a call may count as a retry with some probability. */
        double retries = 0;
    };
    std::array<bucket, window_buckets> buckets{};
};

/** Calls of this daemon's callers and its retries, by service. */
struct retry_counts
{
    std::map<std::string, service_retry_counts> services;
};

/**
 * Counts a caller's call to the service. An upstream that runs a retried call makes its own calls
 * again; `retry_fraction` is the probability that this call is one of those.
 */
void record_call(retry_counts& counts, const std::string& service, double retry_fraction,
                 const retry_limits& limits, time_ms now);

/** Decayed counts of an upstream's runs and of the retries among them. */
struct retry_rate
{
    double runs = 0;
    double retries = 0;
    time_ms updated = 0;
};

void record_run(retry_rate& rate, bool is_retry, time_ms now);
double retry_fraction(const retry_rate& rate);

/** Counts a retry if it fits this daemon's part of the budget; returns whether it did. */
bool take_retry(retry_counts& counts, const std::string& service, const retry_limits& limits,
                std::size_t daemons, time_ms now);

/**
 * Counts a hedge, as a retry, if it fits this daemon's part of the budget and hedges stay below the
 * given fraction of the calls and below half of the budget. Returns whether it did.
 */
bool take_hedge(retry_counts& counts, const std::string& service, const retry_limits& limits,
                double hedge_ratio, std::size_t daemons, time_ms now);

/** Whether take_retry() would succeed. */
bool can_retry(const retry_counts& counts, const std::string& service, const retry_limits& limits,
               std::size_t daemons, time_ms now);

} // namespace sardinepoint
