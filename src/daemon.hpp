#pragma once

#include "sardinepoint/settings.hpp"

#include <string>

namespace sardinepoint
{

/**
 * Runs a daemon until a graceful shutdown has finished and returns the exit status. SIGHUP reloads
 * the settings file.
 */
int run_daemon(const settings& config, const std::string& settings_file);

} // namespace sardinepoint
