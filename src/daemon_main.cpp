#include "daemon.hpp"

#include "sardinepoint/logging.hpp"

#include <docopt/docopt.h>

#include <csignal>
#include <iostream>

using namespace sardinepoint;

namespace
{

constexpr const char* usage = R"(The sardinepoint daemon of one upstream VM.

Usage:
  sardinepointd --config=FILE [--check]
  sardinepointd --list-settings
  sardinepointd (-h | --help)
  sardinepointd --version

Options:
  --config=FILE     Settings file in INI format.
  --check           Validates the settings and exits.
  --list-settings   Prints all settings with their defaults.
  -h --help         Shows this text.
  --version         Shows the version.
)";

constexpr int invalid_arguments_status = 2;
constexpr int invalid_settings_status = 3;

void print_settings()
{
    for (const setting_help& help : list_settings())
    {
        std::cout << "[" << help.section << "] " << help.key << " = " << help.default_value;
        std::cout << (help.unit.empty() ? "" : " (" + help.unit + ")") << ": " << help.description
                  << "\n";
    }
}

int run_with_arguments(std::map<std::string, docopt::value>& args)
{
    if (args["--list-settings"].asBool())
    {
        print_settings();
        return 0;
    }
    error reason;
    const auto config = load_settings(args["--config"].asString(), reason);
    if (!config)
    {
        std::cerr << "sardinepointd: " << to_string(reason.kind) << ": " << describe(reason)
                  << "\n";
        return invalid_settings_status;
    }
    if (args["--check"].asBool())
    {
        std::cout << "the settings are valid\n";
        return 0;
    }
    set_up_logging(config->level, config->id);
    return run_daemon(*config, args["--config"].asString());
}

} // namespace

int main(int argc, char** argv)
{
    // Until the daemon installs its handler, a SIGHUP would terminate the process, and there is
    // nothing to reload yet.
    std::signal(SIGHUP, SIG_IGN);
    try
    {
        auto args = docopt::docopt_parse(usage, {argv + 1, argv + argc}, true, true, false);
        return run_with_arguments(args);
    }
    catch (const docopt::DocoptExitHelp&)
    {
        std::cout << usage;
        return 0;
    }
    catch (const docopt::DocoptExitVersion&)
    {
        std::cout << "sardinepointd 0.1.0\n";
        return 0;
    }
    catch (const std::exception& problem)
    {
        std::cerr << "sardinepointd: the command line is not valid; see 'sardinepointd --help'\n";
        return invalid_arguments_status;
    }
}
