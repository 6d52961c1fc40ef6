#pragma once

#include "sardinepoint/core.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace sardinepoint
{

/** Bound on the repeats that upstreams of one service receive from all daemons together. */
struct retry_limits
{
    /** Repeats as a part of the calls in a window. */
    double ratio = 0.2;
    time_ms window = 10'000;
    /** Repeats in a window that all daemons together may add. */
    int extra = 64;
};

inline constexpr std::size_t window_buckets = 20;

/** Calls and repeats of one service in the parts of a sliding window. */
struct service_retry_counts
{
    struct bucket
    {
        std::int64_t number = -1;
        std::uint32_t calls = 0;
        /** Fractions stand for calls that are repeats with some probability. */
        double retries = 0;
    };
    std::array<bucket, window_buckets> buckets{};
};

/** What this daemon's callers asked for and what it repeated, by service. */
struct retry_counts
{
    std::map<std::string, service_retry_counts> services;
};

/** Counts a call that a caller made to the service. An upstream that runs a call again makes its
 * own calls again: `retry_fraction` is the probability that this is one of those. */
void record_call(retry_counts& counts, const std::string& service, double retry_fraction,
                 const retry_limits& limits, time_ms now);

/** Part of the calls that an upstream ran lately that were repeats. */
struct retry_rate
{
    double runs = 0;
    double retries = 0;
    time_ms updated = 0;
};

void record_run(retry_rate& rate, bool is_retry, time_ms now);
double retry_fraction(const retry_rate& rate);

/** Counts a repeat if it fits this daemon's part of the budget. */
bool take_retry(retry_counts& counts, const std::string& service, const retry_limits& limits,
                std::size_t daemons, time_ms now);

/** Whether take_retry would count one. */
bool can_retry(const retry_counts& counts, const std::string& service, const retry_limits& limits,
               std::size_t daemons, time_ms now);

} // namespace sardinepoint
