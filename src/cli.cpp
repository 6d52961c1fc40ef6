#include "cli.hpp"

#include "sardinepoint/config.hpp"
#include "sardinepoint/event_loop.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cctype>
#include <cmath>
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
constexpr int longest_deadline_s = 365 * 24 * 3600;
constexpr auto dump_errors = json::error_handler_t::replace;

/** A request to the daemons, tried one after the other. */
struct daemon_request
{
    std::string method = "GET";
    std::string target;
    std::string body;
    time_ms timeout = 5000;
    bool changes_configuration = false;
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

bool worth_retry(const error& reason)
{
    return reason.kind == error_kind::outcome_unknown || reason.kind == error_kind::unreachable ||
           reason.kind == error_kind::log_unavailable || reason.kind == error_kind::not_ready;
}

/** One daemon's answer, or why there is none. */
std::optional<daemon_answer> ask_one(const endpoint& daemon, const daemon_request& request,
                                     error& reason)
{
    const http_result result = send_and_wait(daemon, request);
    if (result.outcome != call_outcome::answered)
    {
        // A patch whose answer got lost may have been published.
        const bool may_have_run =
            result.outcome == call_outcome::unknown && request.changes_configuration;
        reason = {may_have_run ? error_kind::outcome_unknown : error_kind::unreachable,
                  "daemon " + to_string(daemon) + " gave no answer: " + result.reason,
                  "check that it runs, or name other daemons with --daemon"};
        return std::nullopt;
    }
    daemon_answer answer{.status = result.response.status,
                         .body = json::parse(result.response.body, nullptr, false)};
    if (!answer.body.is_object())
    {
        reason = {error_kind::internal,
                  "daemon " + to_string(daemon) + " answered with something else than JSON",
                  "check that the endpoint is a daemon's control port"};
        return std::nullopt;
    }
    if (answer.status / 100 != 2)
    {
        reason = error_in(answer.body);
        return std::nullopt;
    }
    return answer;
}

/** Keeps the kind that matters most to the operator, and the messages of all daemons. */
void add_failure(error& all, const error& next)
{
    if (all.kind == error_kind::none)
    {
        all = next;
        return;
    }
    all.message += "; " + next.message;
    if (all.kind != error_kind::outcome_unknown)
    {
        all.kind = next.kind;
        all.remedy = next.remedy;
    }
}

/**
 * Whether a patch may be published although another daemon refuses it. Only a stale version is
 * proof: at a later offset the record is stale for every daemon.
 */
bool outweighs(const error& earlier, const error& refusal)
{
    return earlier.kind == error_kind::outcome_unknown && refusal.kind != error_kind::stale_version;
}

/** Asks the daemons in turn until one answers or refuses for good. */
std::optional<daemon_answer> ask(const cli_options& options, const daemon_request& request,
                                 error& reason)
{
    reason = {};
    for (const endpoint& daemon : options.daemons)
    {
        error failure;
        auto answer = ask_one(daemon, request, failure);
        if (answer)
        {
            return answer;
        }
        if (!worth_retry(failure) && !outweighs(reason, failure))
        {
            reason = failure;
            return std::nullopt;
        }
        add_failure(reason, failure);
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

/** Parses the patch text; a syntax error is named with its place. */
std::optional<json> parse_patch_text(const std::string& text, error& reason)
{
    json body;
    try
    {
        body = json::parse(text);
    }
    catch (const json::parse_error& problem)
    {
        const std::size_t end = std::min(problem.byte == 0 ? 0 : problem.byte - 1, text.size());
        const std::string before = text.substr(0, end);
        const auto line = std::count(before.begin(), before.end(), '\n') + 1;
        const std::size_t column = before.size() - (before.rfind('\n') + 1) + 1;
        reason = {error_kind::invalid_patch,
                  fmt::format("the patch is not valid JSON at line {}, column {}", line, column),
                  "check quotes, commas and brackets there"};
        return std::nullopt;
    }
    if (!body.is_object())
    {
        reason = {error_kind::invalid_patch, "the patch is not a JSON object",
                  "write it as {\"base\": N, \"ops\": [...]}"};
        return std::nullopt;
    }
    return body;
}

/** Replaces a start_move's deadline_in_s by deadline_ms. */
bool fill_in_deadline(json& operation, std::size_t index, time_ms now, error& reason)
{
    const json given = operation["deadline_in_s"];
    const std::string where = fmt::format("operation {}: key 'deadline_in_s' has the value {}",
                                          index, given.dump(-1, ' ', false, dump_errors));
    if (operation.contains("deadline_ms"))
    {
        reason = {error_kind::invalid_patch, where + " beside 'deadline_ms'",
                  "give one of the two deadlines"};
        return false;
    }
    const bool valid =
        given.is_number() && given.get<double>() > 0 && given.get<double>() <= longest_deadline_s;
    if (!valid)
    {
        reason = {error_kind::invalid_patch, where + ", which is not a duration",
                  fmt::format("give seconds from now, above 0 and up to {}", longest_deadline_s)};
        return false;
    }
    constexpr double ms_per_s = 1000;
    operation.erase("deadline_in_s");
    operation["deadline_ms"] = now + std::llround(given.get<double>() * ms_per_s);
    return true;
}

bool fill_in_deadlines(json& body, time_ms now, error& reason)
{
    const auto operations = body.find("ops");
    if (operations == body.end() || !operations->is_array())
    {
        return true;
    }
    for (std::size_t index = 0; index < operations->size(); ++index)
    {
        json& operation = (*operations)[index];
        const bool named = operation.is_object() && operation.contains("deadline_in_s") &&
                           operation.value("op", json()) == "start_move";
        if (named && !fill_in_deadline(operation, index, now, reason))
        {
            return false;
        }
    }
    return true;
}

/** Completes the patch text with id, base, deadlines and time, and checks it. */
std::optional<patch> prepare_patch(const patch_command& command, const std::string& text,
                                   error& reason)
{
    auto body = parse_patch_text(text, reason);
    const time_ms now = wall_now();
    if (!body || !fill_in_deadlines(*body, now, reason))
    {
        return std::nullopt;
    }
    if (command.base)
    {
        (*body)["base"] = *command.base;
    }
    if (!command.id.empty())
    {
        (*body)["id"] = command.id;
    }
    if (!body->contains("id"))
    {
        (*body)["id"] = random_id();
    }
    (*body)["created_ms"] = now;
    return parse_patch(body->dump(-1, ' ', false, dump_errors), reason);
}

void print_accepted(const cli_options& options, const json& body)
{
    if (options.json)
    {
        std::cout << body.dump() << "\n";
        return;
    }
    if (body.value("result", "") == "valid")
    {
        std::cout << fmt::format("valid against version {}; nothing was published (patch {})\n",
                                 body.value("version", 0ULL), body.value("id", ""));
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
        std::cout << fmt::format("  {:<16} {:<14} {:<9}\n", member.value("id", ""),
                                 member.value("domain", ""), member.value("state", ""));
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

std::string percent_encode(const std::string& text)
{
    std::string encoded;
    for (const unsigned char c : text)
    {
        const bool plain = std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
        encoded += plain ? std::string(1, static_cast<char>(c)) : fmt::format("%{:02X}", c);
    }
    return encoded;
}

void pause_between_tries()
{
    event_loop_ptr loop = make_event_loop();
    run_after(*loop, retry_interval_ms, [&] { stop(*loop); });
    run(*loop);
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
                         .dump(-1, ' ', false, dump_errors)
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
                                 .target =
                                     command.dry_run ? "/v1/patches?dry_run=1" : "/v1/patches",
                                 .body = dump_patch(*change),
                                 .timeout = options.timeout,
                                 .changes_configuration = !command.dry_run};
    const time_ms deadline = steady_now() + options.timeout;
    bool may_be_published = false;
    for (;;)
    {
        const auto answer = ask(options, request, reason);
        if (answer)
        {
            print_accepted(options, answer->body);
            return 0;
        }
        may_be_published = may_be_published || reason.kind == error_kind::outcome_unknown;
        // The patch id makes a repetition safe: a patch is folded once.
        if (!worth_retry(reason) || steady_now() >= deadline)
        {
            break;
        }
        pause_between_tries();
    }
    if (may_be_published && reason.kind != error_kind::stale_version)
    {
        reason.kind = error_kind::outcome_unknown;
    }
    if (worth_retry(reason) && !command.dry_run)
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
    constexpr time_ms longest_poll_ms = 2000;
    const time_ms poll_wait = std::min(longest_poll_ms, options.timeout / 2);
    error reason;
    std::string seen;
    time_ms last_answer = steady_now();
    for (;;)
    {
        const daemon_request request{.target = fmt::format("/v1/watch?move={}&wait_ms={}&after={}",
                                                           percent_encode(move), poll_wait,
                                                           percent_encode(seen)),
                                     .timeout = options.timeout};
        const auto answer = ask(options, request, reason);
        if (!answer)
        {
            // A daemon that lags behind doesn't know a move yet that another has shown.
            const bool lagging = reason.kind == error_kind::not_found && !seen.empty();
            if ((!worth_retry(reason) && !lagging) || steady_now() - last_answer > options.timeout)
            {
                return report_error(options, reason);
            }
            pause_between_tries();
            continue;
        }
        last_answer = steady_now();
        const std::string change = answer->body.value("change", answer->body.dump());
        if (change != seen)
        {
            print_move(options, answer->body);
            seen = change;
        }
        const std::string state = answer->body.value("state", "");
        if (state != "running")
        {
            return state == "withdrawn" ? withdrawn_status : 0;
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
                             .body = body.dump(-1, ' ', false, dump_errors),
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
