#include "rig/loop.hpp"

namespace sardinepoint::rig
{

namespace
{

// More than 1 ms, as timers may fire 1 ms early and run before other events.
constexpr time_ms poll_interval_ms = 5;

} // namespace

void run_for(event_loop& loop, time_ms time)
{
    run_after(loop, time, [&loop] { stop(loop); });
    run(loop);
    resume(loop);
}

bool run_until(event_loop& loop, time_ms limit, const std::function<bool()>& condition)
{
    const time_ms end = steady_now() + limit;
    // The condition is checked once more after the limit, and not again once it holds, as checking
    // it may send a call.
    while (!condition())
    {
        if (steady_now() >= end)
        {
            return false;
        }
        run_for(loop, poll_interval_ms);
    }
    return true;
}

} // namespace sardinepoint::rig
