#include "sardinepoint/caller_times.hpp"

#include <algorithm>

namespace sardinepoint
{

namespace
{

// Timeouts of first attempts differ by up to a sixth between callers of one route.
constexpr double first_attempt_fraction = 0.82;
// Smoothing factor with which shorter timeouts lower the longest one. If the callers set a shorter
// timeout, it takes effect after some thousand calls; a burst of retries has little effect.
constexpr double decay_gain = 0.0005;
// A response that exceeds the route's timeout by this much still serves its caller.
constexpr std::int64_t max_unread_grace_us = 250'000;
// The caller's daemon enforces the timeout anyway, and a call that is refused here is offered to
// others. Counting the whole wait made overloaded daemons refuse calls that they could have
// answered.
constexpr std::int64_t max_forwarded_unread_grace_us = 450'000;

} // namespace

time_ms time_since_first_attempt(caller_timeouts& timeouts, time_ms timeout)
{
    const auto time = static_cast<double>(timeout);
    timeouts.longest = std::max(time, timeouts.longest + decay_gain * (time - timeouts.longest));
    return static_cast<time_ms>(std::max(first_attempt_fraction * timeouts.longest - time, 0.0));
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
