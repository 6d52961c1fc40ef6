#pragma once

#include "sardinepoint/settings.hpp"

namespace sardinepoint
{

/** Runs a daemon until a graceful shutdown has ended; returns the exit status. */
int run_daemon(const settings& config);

} // namespace sardinepoint
