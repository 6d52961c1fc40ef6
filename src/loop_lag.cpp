#include "loop_lag.hpp"

#include <algorithm>

namespace sardinepoint
{

namespace
{

// Covers several iterations of a loop that is behind.
constexpr time_ms lag_decay_ms = 1000;
// A process that was stopped for longer than this catches up soon after it continues.
constexpr double max_lag_ms = 500;
constexpr double ms_per_us = 1e-3;

} // namespace

void record_lag(loop_lag& lag, std::int64_t waited_us, time_ms now)
{
    const double waited_ms = std::min(static_cast<double>(waited_us) * ms_per_us, max_lag_ms);
    lag.ms = std::max(waited_ms, current_lag_ms(lag, now));
    lag.updated_at = now;
}

double current_lag_ms(const loop_lag& lag, time_ms now)
{
    return lag.ms * decay(now - lag.updated_at, lag_decay_ms);
}

time_ms timeout_with_lag(const loop_lag& lag, time_ms timeout, time_ms now)
{
    return timeout + static_cast<time_ms>(current_lag_ms(lag, now));
}

} // namespace sardinepoint
