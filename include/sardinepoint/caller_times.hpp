#pragma once

#include "sardinepoint/core.hpp"

#include <cstdint>

namespace sardinepoint
{

/** The times that callers of one route give their calls, as far as they tell them. */
struct caller_timeouts
{
    /** Longest time told lately. */
    double longest = 0;
};

/**
 * Time since the caller's first attempt, at least: a caller that comes back after a refusal has
 * less time left than others. 0 for a first attempt.
 */
time_ms time_since_first_attempt(caller_timeouts& times, time_ms timeout);

/**
 * When the time of a caller's call begins: it was read at one time, and may have arrived as early
 * as at the other one.
 */
std::int64_t timeout_start_us(std::int64_t arrived_us, std::int64_t read_us);

/** The same for a call that another daemon has passed on. */
std::int64_t forwarded_timeout_start_us(std::int64_t arrived_us, std::int64_t read_us);

} // namespace sardinepoint
