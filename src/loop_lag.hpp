#pragma once

#include "sardinepoint/core.hpp"

#include <cstdint>

namespace sardinepoint
{

/** Recent delay of events in the event loop. */
struct loop_lag
{
    double ms = 0;
    time_ms updated_at = 0;
};

/** Records the longest delay of one iteration of the event loop. */
void record_lag(loop_lag& lag, std::int64_t waited_us, time_ms now);

/** The longest recent delay in milliseconds, which decays over time. */
double current_lag_ms(const loop_lag& lag, time_ms now);

/**
 * Timeout for a response of another process, extended by the time that the response may wait here
 * unread.
 */
time_ms timeout_with_lag(const loop_lag& lag, time_ms timeout, time_ms now);

} // namespace sardinepoint
