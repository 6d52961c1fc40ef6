#include "sardinepoint/retry_ledger.hpp"

#include <algorithm>

namespace sardinepoint
{

namespace
{

// Fraction of the budget that is used. The rest covers calls that upstreams make while they run a
// retry: those are counted by their own daemons, which can't lower what others use.
constexpr double usable_budget_fraction = 0.6;
// Fraction of the usable budget that hedges may take; the rest is left for retries after failures.
constexpr double max_hedge_budget_fraction = 0.5;
// Time constant of the fraction of retries among an upstream's runs.
constexpr time_ms rate_decay_ms = 1000;

struct window_sums
{
    double calls = 0;
    double retries = 0;
    double hedges = 0;
};

time_ms bucket_length(const retry_limits& limits)
{
    return std::max<time_ms>(limits.window / static_cast<time_ms>(window_buckets - 1), 1);
}

service_retry_counts::bucket& bucket_at(service_retry_counts& counts, const retry_limits& limits,
                                        time_ms now)
{
    const std::int64_t number = now / bucket_length(limits);
    service_retry_counts::bucket& bucket =
        counts.buckets.at(static_cast<std::size_t>(number) % window_buckets);
    if (bucket.number != number)
    {
        bucket = {.number = number};
    }
    return bucket;
}

window_sums sum_window(const service_retry_counts& counts, const retry_limits& limits, time_ms now)
{
    const std::int64_t newest = now / bucket_length(limits);
    window_sums sums;
    for (const service_retry_counts::bucket& bucket : counts.buckets)
    {
        if (bucket.number >= 0 &&
            newest - bucket.number < static_cast<std::int64_t>(window_buckets))
        {
            sums.calls += bucket.calls;
            sums.retries += bucket.retries;
            sums.hedges += bucket.hedges;
        }
    }
    return sums;
}

window_sums sum_window(const retry_counts& counts, const std::string& service,
                       const retry_limits& limits, time_ms now)
{
    const auto entry = counts.services.find(service);
    return entry == counts.services.end() ? window_sums{} : sum_window(entry->second, limits, now);
}

/** Retries that this daemon may make in a window. */
double retry_allowance(const window_sums& sums, const retry_limits& limits, std::size_t daemons)
{
    // Each daemon keeps to its own part, so the limit holds while daemons can't reach each other.
    const double extra_retries =
        static_cast<double>(limits.extra) / static_cast<double>(std::max<std::size_t>(daemons, 1));
    return usable_budget_fraction * (limits.ratio * sums.calls + extra_retries);
}

} // namespace

void record_call(retry_counts& counts, const std::string& service, double retry_fraction,
                 const retry_limits& limits, time_ms now)
{
    service_retry_counts::bucket& bucket = bucket_at(counts.services[service], limits, now);
    ++bucket.calls;
    bucket.retries += retry_fraction;
}

void record_run(retry_rate& rate, bool is_retry, time_ms now)
{
    const double kept = decay(now - rate.updated, rate_decay_ms);
    rate.updated = now;
    rate.runs = rate.runs * kept + 1;
    rate.retries = rate.retries * kept + (is_retry ? 1 : 0);
}

double retry_fraction(const retry_rate& rate)
{
    return rate.runs > 0 ? rate.retries / rate.runs : 0;
}

bool can_retry(const retry_counts& counts, const std::string& service, const retry_limits& limits,
               std::size_t daemons, time_ms now)
{
    const window_sums sums = sum_window(counts, service, limits, now);
    return sums.retries + 1 <= retry_allowance(sums, limits, daemons);
}

bool take_retry(retry_counts& counts, const std::string& service, const retry_limits& limits,
                std::size_t daemons, time_ms now)
{
    if (!can_retry(counts, service, limits, daemons, now))
    {
        return false;
    }
    ++bucket_at(counts.services[service], limits, now).retries;
    return true;
}

bool take_hedge(retry_counts& counts, const std::string& service, const retry_limits& limits,
                double hedge_ratio, std::size_t daemons, time_ms now)
{
    const window_sums sums = sum_window(counts, service, limits, now);
    const double allowance = retry_allowance(sums, limits, daemons);
    const double max_hedges =
        std::min(hedge_ratio * sums.calls, max_hedge_budget_fraction * allowance);
    if (sums.hedges + 1 > max_hedges || sums.retries + 1 > allowance)
    {
        return false;
    }
    service_retry_counts::bucket& bucket = bucket_at(counts.services[service], limits, now);
    ++bucket.retries;
    ++bucket.hedges;
    return true;
}

} // namespace sardinepoint
