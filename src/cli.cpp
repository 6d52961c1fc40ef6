#include "cli.hpp"

#include "sardinepoint/config.hpp"
#include "sardinepoint/event_loop.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <fstream>
#include <iostream>
#include <iterator>
#include <random>
#include <sstream>

namespace sardinepoint
{

namespace
{

using nlohmann::json;

constexpr time_ms retry_interval_ms = 200;

/** A request to the daemons, tried one after the other. */
struct daemon_request
{
    std::string method = "GET";
    std::string target;
    std::string body;
    time_ms timeout = 5000;
};

struct daemon_answer
{
    int status = 0;
    json body;
};

http_result send_and_wait(const endpoint& daemon, const daemon_request& request)
{
    event_loop_ptr loop = make_event_loop();
    http_client_ptr client = open_http_client(*loop, {});
    http_result answer;
    send_request(*client,
                 {.method = request.method,
                  .url = "http://" + to_string(daemon) + request.target,
                  .headers = {{"Content-Type", "application/json"}},
                  .body = request.body,
                  .timeout = request.timeout},
                 [&](http_result result)
                 {
                     answer = std::move(result);
                     stop(*loop);
                 });
    run(*loop);
    return answer;
}

error error_in(const json& body)
{
    const json details = body.value("error", json::object());
    return {error_kind_from(details.value("kind", "internal")),
            details.value("message", "the daemon gave no reason"), details.value("remedy", "")};
}

/** Asks the daemons in turn until one answers. */
std::optional<daemon_answer> ask(const cli_options& options, const daemon_request& request,
                                 error& reason)
{
    for (const endpoint& daemon : options.daemons)
    {
        const http_result result = send_and_wait(daemon, request);
        if (result.outcome != call_outcome::answered)
        {
            reason = {error_kind::unreachable,
                      "daemon " + to_string(daemon) + " can't be reached: " + result.reason,
                      "check that it runs or name another one with --daemon"};
            continue;
        }
        daemon_answer answer{.status = result.response.status,
                             .body = json::parse(result.response.body, nullptr, false)};
        if (!answer.body.is_object())
        {
            reason = {error_kind::internal,
                      "daemon " + to_string(daemon) + " answered with something else than JSON",
                      "check that the endpoint is a daemon's control port"};
            continue;
        }
        if (answer.status / 100 != 2)
        {
            reason = error_in(answer.body);
            return std::nullopt;
        }
        return answer;
    }
    return std::nullopt;
}

std::string random_id()
{
    std::random_device device;
    return fmt::format("{:08x}{:08x}{:08x}", device(), device(), device());
}

std::optional<std::string> read_text(const std::string& file, error& reason)
{
    if (file == "-")
    {
        return std::string(std::istreambuf_iterator<char>(std::cin), {});
    }
    std::ifstream stream(file);
    if (!stream)
    {
        reason = {error_kind::invalid_argument, "can't read the patch file '" + file + "'",
                  "check the path, or give - for standard input"};
        return std::nullopt;
    }
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

/** Completes the patch text with id, base and time, and checks it. */
std::optional<patch> prepare_patch(const patch_command& command, const std::string& text,
                                   error& reason)
{
    json body = json::parse(text, nullptr, false);
    if (!body.is_object())
    {
        reason = {error_kind::invalid_patch, "the patch is not a JSON object",
                  "write it as {\"base\": N, \"ops\": [...]}"};
        return std::nullopt;
    }
    if (command.base)
    {
        body["base"] = *command.base;
    }
    if (!command.id.empty())
    {
        body["id"] = command.id;
    }
    if (!body.contains("id"))
    {
        body["id"] = random_id();
    }
    body["created_ms"] = wall_now();
    return parse_patch(body.dump(-1, ' ', false, json::error_handler_t::replace), reason);
}

void print_accepted(const cli_options& options, const json& body)
{
    if (options.json)
    {
        std::cout << body.dump() << "\n";
        return;
    }
    std::cout << fmt::format("accepted: version {} at offset {} (patch {})\n",
                             body.value("version", 0ULL), body.value("offset", 0ULL),
                             body.value("id", ""));
}

std::string join_shares(const json& versions)
{
    std::string text;
    for (const auto& [version, share] : versions.items())
    {
        text += (text.empty() ? "" : ", ") + version + " " + share.dump() + "%";
    }
    return text;
}

void print_status(const json& body)
{
    std::cout << fmt::format("daemon    {} in {} ({})\n", body.value("id", ""),
                             body.value("domain", ""), body.value("region", ""))
              << fmt::format("ready     {}\n", body.value("ready", false)
                                                   ? "yes"
                                                   : "no: " + body.value("not_ready", ""))
              << fmt::format("version   {} (next log offset {})\n", body.value("version", 0ULL),
                             body.value("next_offset", 0ULL))
              << fmt::format("log       {}\n", body.value("log", ""));
    std::cout << "members\n";
    for (const json& member : body.value("members", json::array()))
    {
        std::cout << fmt::format("  {:<16} {:<14} {:<9} version {}\n", member.value("id", ""),
                                 member.value("domain", ""), member.value("state", ""),
                                 member.value("served_version", 0ULL));
        for (const json& upstream : member.value("upstreams", json::array()))
        {
            std::cout << fmt::format("    {} {} {} slots {}\n", upstream.value("service", ""),
                                     upstream.value("version", ""), upstream.value("state", ""),
                                     upstream.value("slots", 0));
        }
    }
    std::cout << "moves\n";
    for (const json& move : body.value("moves", json::array()))
    {
        std::cout << fmt::format("  {} {}: {} -> {} {} share {:.1f}% {}\n", move.value("move", ""),
                                 move.value("service", ""), move.value("from", ""),
                                 move.value("to", ""), move.value("state", ""),
                                 move.value("share", 0.0), move.value("reason", ""));
    }
}

void print_config(const json& body)
{
    std::cout << fmt::format("version {}\n", body.value("version", 0ULL)) << "routes\n";
    for (const json& value : body.value("routes", json::array()))
    {
        std::cout << fmt::format("  {:<16} {:<20} -> {} (timeout {} ms)\n", value.value("name", ""),
                                 value.value("prefix", ""), value.value("service", ""),
                                 value.value("timeout_ms", 0));
    }
    std::cout << "services\n";
    for (const json& value : body.value("services", json::array()))
    {
        std::cout << fmt::format("  {:<16} {}\n", value.value("name", ""),
                                 join_shares(value.value("versions", json::object())));
    }
}

void print_move(const cli_options& options, const json& body)
{
    if (options.json)
    {
        std::cout << body.dump() << std::endl;
        return;
    }
    std::cout << fmt::format(
                     "move {}: {} share {:.1f}%{}\n", body.value("move", ""),
                     body.value("state", ""), body.value("share", 0.0),
                     body.value("reason", "").empty() ? "" : " (" + body.value("reason", "") + ")")
              << std::flush;
}

void pause_between_tries()
{
    event_loop_ptr loop = make_event_loop();
    run_after(*loop, retry_interval_ms, [&] { stop(*loop); });
    run(*loop);
}

bool worth_retry(const error& reason)
{
    return reason.kind == error_kind::outcome_unknown || reason.kind == error_kind::unreachable ||
           reason.kind == error_kind::log_unavailable || reason.kind == error_kind::not_ready;
}

} // namespace

int exit_status(error_kind kind)
{
    switch (kind)
    {
    case error_kind::none:
        return 0;
    case error_kind::invalid_argument:
        return 2;
    case error_kind::invalid_settings:
        return 3;
    case error_kind::invalid_patch:
        return 4;
    case error_kind::stale_version:
        return 5;
    case error_kind::unknown_service:
        return 6;
    case error_kind::not_found:
        return 7;
    case error_kind::not_ready:
        return 8;
    case error_kind::log_unavailable:
        return 9;
    case error_kind::outcome_unknown:
        return 10;
    case error_kind::unreachable:
        return 11;
    case error_kind::expired:
        return 12;
    case error_kind::internal:
        return 1;
    }
    return 1;
}

int report_error(const cli_options& options, const error& reason)
{
    if (options.json)
    {
        std::cout << json{{"error",
                           {{"kind", to_string(reason.kind)},
                            {"message", reason.message},
                            {"remedy", reason.remedy}}}}
                         .dump(-1, ' ', false, json::error_handler_t::replace)
                  << "\n";
    }
    else
    {
        std::cerr << "sardinepoint: " << to_string(reason.kind) << ": " << describe(reason) << "\n";
    }
    return exit_status(reason.kind);
}

int run_patch(const cli_options& options, const patch_command& command)
{
    error reason;
    const auto text = read_text(command.file, reason);
    const auto change = text ? prepare_patch(command, *text, reason) : std::nullopt;
    if (!change)
    {
        return report_error(options, reason);
    }
    const daemon_request request{.method = "POST",
                                 .target = "/v1/patches",
                                 .body = dump_patch(*change),
                                 .timeout = options.timeout};
    const time_ms deadline = steady_now() + options.timeout;
    for (;;)
    {
        const auto answer = ask(options, request, reason);
        if (answer)
        {
            print_accepted(options, answer->body);
            return 0;
        }
        // The patch id makes a repetition safe: a patch is folded once.
        if (!worth_retry(reason) || steady_now() >= deadline)
        {
            break;
        }
        pause_between_tries();
    }
    if (worth_retry(reason))
    {
        reason.remedy += (reason.remedy.empty() ? "" : "; ") +
                         ("repeat with --id=" + change->id + " to learn the outcome");
    }
    return report_error(options, reason);
}

int run_status(const cli_options& options)
{
    error reason;
    const auto answer = ask(options, {.target = "/v1/status", .timeout = options.timeout}, reason);
    if (!answer)
    {
        return report_error(options, reason);
    }
    if (options.json)
    {
        std::cout << answer->body.dump() << "\n";
        return 0;
    }
    print_status(answer->body);
    return 0;
}

int run_get(const cli_options& options)
{
    error reason;
    const auto answer = ask(options, {.target = "/v1/config", .timeout = options.timeout}, reason);
    if (!answer)
    {
        return report_error(options, reason);
    }
    if (options.json)
    {
        std::cout << answer->body.dump() << "\n";
        return 0;
    }
    print_config(answer->body);
    return 0;
}

int run_watch(const cli_options& options, const std::string& move)
{
    constexpr time_ms poll_wait_ms = 2000;
    error reason;
    std::string last;
    time_ms last_answer = steady_now();
    for (;;)
    {
        const daemon_request request{.target = "/v1/watch?move=" + move +
                                               "&wait_ms=" + std::to_string(poll_wait_ms) +
                                               "&after=" + last.substr(0, last.find(' ')),
                                     .timeout = options.timeout};
        const auto answer = ask(options, request, reason);
        if (!answer && (!worth_retry(reason) || steady_now() - last_answer > options.timeout))
        {
            return report_error(options, reason);
        }
        if (!answer)
        {
            pause_between_tries();
            continue;
        }
        last_answer = steady_now();
        const std::string seen =
            answer->body.value("state", "") + " " + answer->body.value("share", json(0)).dump();
        if (seen != last)
        {
            print_move(options, answer->body);
            last = seen;
        }
        if (answer->body.value("state", "") != "running")
        {
            return 0;
        }
    }
}

int run_drain(const cli_options& options, const drain_command& command)
{
    error reason;
    const json body{{"member", command.member}, {"undo", command.undo}};
    const auto answer = ask(options,
                            {.method = "POST",
                             .target = "/v1/drain",
                             .body = body.dump(-1, ' ', false, json::error_handler_t::replace),
                             .timeout = options.timeout},
                            reason);
    if (!answer)
    {
        return report_error(options, reason);
    }
    if (options.json)
    {
        std::cout << answer->body.dump() << "\n";
        return 0;
    }
    std::cout << fmt::format("{}: {}\n", command.member, answer->body.value("state", ""));
    return 0;
}

} // namespace sardinepoint
