#include "sardinepoint/caller_times.hpp"

#include <algorithm>

namespace sardinepoint
{

namespace
{

// Callers of one route differ by up to a sixth in the time that they give a first attempt.
constexpr double first_attempt_fraction = 0.82;
// Part by which each shorter time lowers the longest one: a new limit shows after some thousand
// calls, and a burst of calls that came back doesn't change it.
constexpr double decay_gain = 0.0005;
// An answer this much later than its route's time still serves its caller.
constexpr std::int64_t max_unread_grace_us = 250'000;
// The caller's daemon keeps the call's time anyway, and a call refused here is offered to others:
// with the whole wait counted, daemons that were behind refused calls that they could have
// answered.
constexpr std::int64_t max_forwarded_unread_grace_us = 450'000;

} // namespace

time_ms time_since_first_attempt(caller_timeouts& times, time_ms timeout)
{
    const auto time = static_cast<double>(timeout);
    times.longest = std::max(time, times.longest + decay_gain * (time - times.longest));
    return static_cast<time_ms>(std::max(first_attempt_fraction * times.longest - time, 0.0));
}

std::int64_t timeout_start_us(std::int64_t arrived_us, std::int64_t read_us)
{
    const std::int64_t middle_us = arrived_us + (read_us - arrived_us) / 2;
    return std::min(middle_us, arrived_us + max_unread_grace_us);
}

std::int64_t forwarded_timeout_start_us(std::int64_t arrived_us, std::int64_t read_us)
{
    return std::min(read_us, arrived_us + max_forwarded_unread_grace_us);
}

} // namespace sardinepoint
