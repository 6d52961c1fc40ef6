#pragma once

#include "sardinepoint/core.hpp"

#include <cstdint>

namespace sardinepoint
{

/** Statistics of the timeouts that callers of one route set for their calls. */
struct caller_timeouts
{
    /** Longest recent timeout in milliseconds. */
    double longest = 0;
};

/**
 * Lower bound of the time since the caller's first attempt, or 0 for a first attempt. A caller that
 * retries after a refusal sets a shorter timeout, since less time is left.
 */
time_ms time_since_first_attempt(caller_timeouts& timeouts, time_ms timeout);

/**
 * When the timeout of a caller's call starts. The call was read at `read_us` and may have arrived
 * as early as `arrived_us`; the middle is assumed, up to a maximum time after `arrived_us`.
 */
std::int64_t timeout_start_us(std::int64_t arrived_us, std::int64_t read_us);

/**
 * The same for a call that another daemon has forwarded: the time at which it was read, up to a
 * maximum time after `arrived_us`.
 */
std::int64_t forwarded_timeout_start_us(std::int64_t arrived_us, std::int64_t read_us);

} // namespace sardinepoint
