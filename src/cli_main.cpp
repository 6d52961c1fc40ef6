#include "cli.hpp"

#include "sardinepoint/http.hpp"

#include <docopt/docopt.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <iostream>
#include <limits>
#include <set>
#include <sstream>
#include <string_view>

using namespace sardinepoint;

namespace
{

constexpr const char* usage = R"(Operates a sardinepoint mesh.

Usage:
  sardinepoint patch FILE [--base=N] [--id=ID] [--dry-run] [--daemon=LIST] [--timeout-ms=N] [--json]
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
  --id=ID          Patch id; resubmitting a patch with its id is safe.
  --dry-run        Validates the patch against the daemon's configuration without publishing it.
  --undo           Puts drained upstreams back into service.
  --daemon=LIST    Control endpoints, address:port separated by commas; the next one is tried
                   when one can't be reached. Without it the environment variable
                   SARDINEPOINT_DAEMON is used.
  --timeout-ms=N   Time limit of one request, and of all retries together, in milliseconds
                   [default: 10000].
  --json           Prints JSON.
  -h --help        Shows this text, or a command's with 'sardinepoint COMMAND --help'.
  --version        Shows the version.

Exit status: 0 success, 1 internal, 2 invalid argument, 3 invalid settings, 4 invalid patch,
5 stale version, 6 unknown service, 7 not found, 8 daemon not ready, 9 log unavailable,
10 outcome unknown, 11 unreachable, 12 expired, 13 watched move withdrawn.
)";

struct command_help
{
    std::string_view name;
    std::string_view text;
};

constexpr std::array<command_help, 5> commands{{
    {"patch", R"(Submits a patch against a numbered version.

Usage:
  sardinepoint patch FILE [--base=N] [--id=ID] [--dry-run] [--daemon=LIST] [--timeout-ms=N] [--json]

FILE holds {"base": N, "ops": [...]}; - reads standard input. Operations:
  {"op": "put_service", "name": S, "versions": {"v1": 100}}
  {"op": "remove_service", "name": S}
  {"op": "put_route", "name": R, "prefix": "/path", "service": S}
      optional: "timeout_ms": N, "idempotent": true or false
  {"op": "remove_route", "name": R}
  {"op": "start_move", "id": M, "service": S, "from": "v1", "to": "v2", "deadline_in_s": N}
      "deadline_in_s" counts seconds from now; "deadline_ms" instead is a time in milliseconds
      since the Unix epoch; optional: "policy", "steps"
  {"op": "cancel_move", "id": M}

Options:
  --base=N         Version that the patch was made against; replaces the file's "base".
  --id=ID          Patch id; resubmitting a patch with its id is safe.
  --dry-run        Validates the patch against the daemon's configuration without publishing it.
)"},
    {"status", R"(Shows one daemon's view: readiness, version, members, upstreams, moves.

Usage:
  sardinepoint status [--daemon=LIST] [--timeout-ms=N] [--json]

Options:
)"},
    {"get", R"(Shows the configuration that a daemon serves.

Usage:
  sardinepoint get [--daemon=LIST] [--timeout-ms=N] [--json]

Options:
)"},
    {"watch", R"(Follows a move: prints a line at each change and ends with the move.

Usage:
  sardinepoint watch MOVE [--daemon=LIST] [--timeout-ms=N] [--json]

Exit status: 0 the move is done, 13 it was withdrawn, 7 no such move, 11 no daemon responded
within --timeout-ms. With several daemons the watch continues while one of them restarts.

Options:
)"},
    {"drain", R"(Takes the upstreams of one daemon out of service; calls in progress end normally.

Usage:
  sardinepoint drain MEMBER [--undo] [--daemon=LIST] [--timeout-ms=N] [--json]

MEMBER is a daemon's id as 'sardinepoint status' shows it.

Options:
  --undo           Puts drained upstreams back into service.
)"},
}};

constexpr const char* shared_options =
    R"(  --daemon=LIST    Control endpoints, address:port separated by commas; the next one is tried
                   when one can't be reached. Without it the environment variable
                   SARDINEPOINT_DAEMON is used.
  --timeout-ms=N   Time limit of one request, and of all retries together, in milliseconds
                   [default: 10000].
  --json           Prints JSON.
  -h --help        Shows this text.
)";

constexpr std::int64_t max_timeout_ms = 3'600'000;

const command_help* find_command(const std::string& name)
{
    const auto found = std::find_if(commands.begin(), commands.end(),
                                    [&](const command_help& help) { return help.name == name; });
    return found == commands.end() ? nullptr : found;
}

void print_help(const std::vector<std::string>& words)
{
    for (const std::string& word : words)
    {
        if (const command_help* help = find_command(word))
        {
            std::cout << help->text << shared_options;
            return;
        }
    }
    std::cout << usage;
}

/** Describes the first error of a command line that docopt rejected. */
error describe_command_line_error(const std::vector<std::string>& words)
{
    static const std::set<std::string> known{"--base", "--id",     "--dry-run",
                                             "--undo", "--daemon", "--timeout-ms",
                                             "--json", "--help",   "--version"};
    error reason{error_kind::invalid_argument,
                 "the command line is incomplete or has too many arguments",
                 "see 'sardinepoint --help'"};
    if (words.empty())
    {
        reason.message = "no command is given";
        reason.remedy = "use patch, status, get, watch or drain; see 'sardinepoint --help'";
        return reason;
    }
    for (const std::string& word : words)
    {
        if (word.substr(0, 2) == "--" && !known.contains(word.substr(0, word.find('='))))
        {
            reason.message = "option '" + word + "' is unknown";
            return reason;
        }
    }
    const auto first =
        std::find_if(words.begin(), words.end(),
                     [](const std::string& word) { return word.substr(0, 1) != "-"; });
    if (first != words.end() && find_command(*first) == nullptr)
    {
        reason.message = "command '" + *first + "' is unknown";
        reason.remedy = "use patch, status, get, watch or drain";
        return reason;
    }
    if (first != words.end())
    {
        reason.message = "the command line does not fit the command '" + *first + "'";
        reason.remedy = "see 'sardinepoint " + *first + " --help'";
    }
    return reason;
}

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
                                         std::int64_t low, std::int64_t high, error& reason)
{
    const std::string text = args.at(name).asString();
    const auto number = parse_integer(text);
    if (!number || *number < low || *number > high)
    {
        reason = {
            error_kind::invalid_argument, "option '" + name + "' has the value '" + text + "'",
            "give a whole number from " + std::to_string(low) + " to " + std::to_string(high)};
        return std::nullopt;
    }
    return number;
}

bool parse_options(const arguments& args, cli_options& options, error& reason)
{
    options.json = args.at("--json").asBool();
    const char* environment = std::getenv("SARDINEPOINT_DAEMON");
    const std::string list = args.at("--daemon") ? args.at("--daemon").asString()
                             : environment       ? environment
                                                 : "";
    const auto daemons = parse_daemons(list, reason);
    const auto timeout = parse_number(args, "--timeout-ms", 1, max_timeout_ms, reason);
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
    patch_command command{.file = args.at("FILE").asString(),
                          .dry_run = args.at("--dry-run").asBool()};
    if (args.at("--base"))
    {
        error reason;
        const auto base =
            parse_number(args, "--base", 0, std::numeric_limits<std::int64_t>::max(), reason);
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
    if (!parse_options(args, options, reason))
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
    const std::vector<std::string> words(argv + 1, argv + argc);
    try
    {
        return run_command(docopt::docopt_parse(usage, words, true, true, false));
    }
    catch (const docopt::DocoptExitHelp&)
    {
        print_help(words);
        return 0;
    }
    catch (const docopt::DocoptExitVersion&)
    {
        std::cout << "sardinepoint 0.1.0\n";
        return 0;
    }
    catch (const docopt::DocoptArgumentError&)
    {
        const bool as_json = std::find(words.begin(), words.end(), "--json") != words.end();
        return report_error({.json = as_json}, describe_command_line_error(words));
    }
}
