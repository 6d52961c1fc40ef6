#pragma once

#include "sardinepoint/event_loop.hpp"

#include <functional>

namespace sardinepoint::rig
{

/** Runs a loop for the given time. */
void run_for(event_loop& loop, time_ms time);

/** Runs a loop until the condition holds; returns false if the time limit expires first. */
bool run_until(event_loop& loop, time_ms limit, const std::function<bool()>& condition);

} // namespace sardinepoint::rig
