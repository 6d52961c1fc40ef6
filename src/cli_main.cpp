#include "cli.hpp"

#include "sardinepoint/http.hpp"

#include <docopt/docopt.h>

#include <cstdlib>
#include <iostream>
#include <sstream>

using namespace sardinepoint;

namespace
{

constexpr const char* usage = R"(Operates a sardinepoint mesh.

Usage:
  sardinepoint patch FILE [--base=N] [--id=ID] [--daemon=LIST] [--timeout-ms=N] [--json]
  sardinepoint status [--daemon=LIST] [--timeout-ms=N] [--json]
  sardinepoint get [--daemon=LIST] [--timeout-ms=N] [--json]
  sardinepoint watch MOVE [--daemon=LIST] [--timeout-ms=N] [--json]
  sardinepoint drain MEMBER [--undo] [--daemon=LIST] [--timeout-ms=N] [--json]
  sardinepoint (-h | --help)
  sardinepoint --version

Commands:
  patch   Submits the patch in FILE (- for standard input) against a numbered version.
  status  Shows one daemon's view: readiness, version, members, upstreams, moves.
  get     Shows the configuration that a daemon serves.
  watch   Follows a move until it is done or withdrawn.
  drain   Takes the upstreams of one daemon out of service; calls in progress end normally.

Options:
  --base=N         Version that the patch was made against; replaces the file's "base".
  --id=ID          Patch id; repeating a patch with its id is safe.
  --undo           Puts drained upstreams back into service.
  --daemon=LIST    Control endpoints, address:port separated by commas. Without it the
                   environment variable SARDINEPOINT_DAEMON is used.
  --timeout-ms=N   Time limit in milliseconds [default: 10000].
  --json           Prints JSON for programs.
  -h --help        Shows this text.
  --version        Shows the version.

Exit status: 0 success, 1 internal, 2 bad argument, 3 bad settings, 4 invalid patch,
5 stale version, 6 unknown service, 7 not found, 8 daemon not ready, 9 log unavailable,
10 outcome unknown, 11 unreachable, 12 expired.
)";

using arguments = std::map<std::string, docopt::value>;

std::optional<std::vector<endpoint>> parse_daemons(const std::string& text, error& reason)
{
    std::vector<endpoint> daemons;
    std::istringstream list(text);
    std::string item;
    while (std::getline(list, item, ','))
    {
        const auto parsed = parse_endpoint(item);
        if (!parsed)
        {
            reason = {error_kind::invalid_argument,
                      "option '--daemon' has the value '" + item + "'",
                      "give address:port, several separated by commas"};
            return std::nullopt;
        }
        daemons.push_back(*parsed);
    }
    if (daemons.empty())
    {
        reason = {error_kind::invalid_argument, "no daemon is named",
                  "give --daemon=address:port or set SARDINEPOINT_DAEMON"};
        return std::nullopt;
    }
    return daemons;
}

std::optional<std::int64_t> parse_number(const arguments& args, const std::string& name,
                                         error& reason)
{
    const std::string text = args.at(name).asString();
    const auto number = parse_integer(text);
    if (!number)
    {
        reason = {error_kind::invalid_argument,
                  "option '" + name + "' has the value '" + text + "'",
                  "give a whole number of 0 or more"};
    }
    return number;
}

bool read_options(const arguments& args, cli_options& options, error& reason)
{
    options.json = args.at("--json").asBool();
    const char* environment = std::getenv("SARDINEPOINT_DAEMON");
    const std::string list = args.at("--daemon") ? args.at("--daemon").asString()
                             : environment       ? environment
                                                 : "";
    const auto daemons = parse_daemons(list, reason);
    const auto timeout = parse_number(args, "--timeout-ms", reason);
    if (!daemons || !timeout)
    {
        return false;
    }
    options.daemons = *daemons;
    options.timeout = *timeout;
    return true;
}

int run_patch_command(const arguments& args, const cli_options& options)
{
    patch_command command{.file = args.at("FILE").asString()};
    if (args.at("--base"))
    {
        error reason;
        const auto base = parse_number(args, "--base", reason);
        if (!base)
        {
            return report_error(options, reason);
        }
        command.base = static_cast<std::uint64_t>(*base);
    }
    if (args.at("--id"))
    {
        command.id = args.at("--id").asString();
    }
    return run_patch(options, command);
}

int run_command(const arguments& args)
{
    cli_options options;
    error reason;
    if (!read_options(args, options, reason))
    {
        return report_error(options, reason);
    }
    if (args.at("patch").asBool())
    {
        return run_patch_command(args, options);
    }
    if (args.at("status").asBool())
    {
        return run_status(options);
    }
    if (args.at("get").asBool())
    {
        return run_get(options);
    }
    if (args.at("watch").asBool())
    {
        return run_watch(options, args.at("MOVE").asString());
    }
    return run_drain(options,
                     {.member = args.at("MEMBER").asString(), .undo = args.at("--undo").asBool()});
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        return run_command(docopt::docopt_parse(usage, {argv + 1, argv + argc}, true, true, false));
    }
    catch (const docopt::DocoptExitHelp&)
    {
        std::cout << usage;
        return 0;
    }
    catch (const docopt::DocoptExitVersion&)
    {
        std::cout << "sardinepoint 0.1.0\n";
        return 0;
    }
    catch (const std::exception& problem)
    {
        std::cerr << "sardinepoint: invalid_argument: the command line is not valid; see "
                     "'sardinepoint --help'\n";
        return exit_status(error_kind::invalid_argument);
    }
}
