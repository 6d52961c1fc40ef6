#pragma once

#include "sardinepoint/core.hpp"

#include <cstdint>

namespace sardinepoint
{

/** How long events lately waited for the loop. */
struct loop_lag
{
    double ms = 0;
    time_ms updated_at = 0;
};

/** Takes over the longest wait of a round of the loop. */
void record_lag(loop_lag& lag, std::int64_t waited_us, time_ms now);

/** The longest wait of late, which fades, in milliseconds. */
double current_lag_ms(const loop_lag& lag, time_ms now);

/** The time after which the other side counts as silent: an answer may wait as long as the lag. */
time_ms timeout_with_lag(const loop_lag& lag, time_ms timeout, time_ms now);

} // namespace sardinepoint
