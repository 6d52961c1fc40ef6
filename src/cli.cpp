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
constexpr int max_deadline_s = 365 * 24 * 3600;
constexpr auto replace_invalid_utf8 = json::error_handler_t::replace;

/** A request that is sent to one daemon after the other until one responds. */
struct daemon_request
{
    std::string method = "GET";
    std::string target;
    std::string body;
    time_ms timeout = 5000;
    bool changes_configuration = false;
};

struct daemon_response
{
    int status = 0;
    json body;
};

http_result send_and_wait(const endpoint& daemon, const daemon_request& request)
{
    event_loop_ptr loop = make_event_loop();
    http_client_ptr client = open_http_client(*loop, {});
    http_result response;
    send_request(*client,
                 {.method = request.method,
                  .url = "http://" + to_string(daemon) + request.target,
                  .headers = {{"Content-Type", "application/json"}},
                  .body = request.body,
                  .timeout = request.timeout},
                 [&](http_result result)
                 {
                     response = std::move(result);
                     stop(*loop);
                 });
    run(*loop);
    return response;
}

error parse_error_response(const json& body)
{
    const json details = body.value("error", json::object());
    return {parse_error_kind(details.value("kind", "internal")),
            details.value("message", "the daemon returned no error message"),
            details.value("remedy", "")};
}

bool is_retryable(const error& reason)
{
    return reason.kind == error_kind::outcome_unknown || reason.kind == error_kind::unreachable ||
           reason.kind == error_kind::log_unavailable || reason.kind == error_kind::not_ready;
}

/** Sends the request to one daemon. Returns nullopt and sets the reason if it fails. */
std::optional<daemon_response> send_to_daemon(const endpoint& daemon, const daemon_request& request,
                                              error& reason)
{
    const http_result result = send_and_wait(daemon, request);
    if (result.outcome != call_outcome::answered)
    {
        // A patch whose response was lost may have been published.
        const bool may_have_run =
            result.outcome == call_outcome::unknown && request.changes_configuration;
        reason = {may_have_run ? error_kind::outcome_unknown : error_kind::unreachable,
                  "daemon " + to_string(daemon) + " did not respond: " + result.reason,
                  "check that it is running, or name other daemons with --daemon"};
        return std::nullopt;
    }
    daemon_response response{.status = result.response.status,
                             .body = json::parse(result.response.body, nullptr, false)};
    if (!response.body.is_object())
    {
        reason = {error_kind::internal,
                  "daemon " + to_string(daemon) + " returned a response that is not a JSON object",
                  "check that the endpoint is a daemon's control port"};
        return std::nullopt;
    }
    if (response.status / 100 != 2)
    {
        reason = parse_error_response(response.body);
        return std::nullopt;
    }
    return response;
}

/**
 * Adds the message of another daemon. The kind and the remedy are those of the last failure, unless
 * an earlier outcome is unknown: the operator must learn that the patch may have been published.
 */
void merge_failure(error& merged, const error& next)
{
    if (merged.kind == error_kind::none)
    {
        merged = next;
        return;
    }
    merged.message += "; " + next.message;
    if (merged.kind != error_kind::outcome_unknown)
    {
        merged.kind = next.kind;
        merged.remedy = next.remedy;
    }
}

/**
 * Returns whether a patch whose outcome is unknown at one daemon may be published although another
 * daemon rejects it. Only a stale version rules it out: at a later offset the record is stale for
 * every daemon.
 */
bool outcome_remains_unknown(const error& previous, const error& rejection)
{
    return previous.kind == error_kind::outcome_unknown &&
           rejection.kind != error_kind::stale_version;
}

/** Sends the request to the daemons in turn until one accepts it or rejects it permanently. */
std::optional<daemon_response> send_with_failover(const cli_options& options,
                                                  const daemon_request& request, error& reason)
{
    reason = {};
    for (const endpoint& daemon : options.daemons)
    {
        error failure;
        auto response = send_to_daemon(daemon, request, failure);
        if (response)
        {
            return response;
        }
        if (!is_retryable(failure) && !outcome_remains_unknown(reason, failure))
        {
            reason = failure;
            return std::nullopt;
        }
        merge_failure(reason, failure);
    }
    return std::nullopt;
}

std::string random_id()
{
    std::random_device device;
    return fmt::format("{:08x}{:08x}{:08x}", device(), device(), device());
}

std::optional<std::string> read_patch_file(const std::string& file, error& reason)
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

/** Parses the patch text; syntax errors are reported with line and column. */
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

/** Replaces deadline_in_s of a start_move operation by an absolute deadline_ms. */
bool resolve_relative_deadline(json& operation, std::size_t index, time_ms now, error& reason)
{
    const json relative_deadline = operation["deadline_in_s"];
    const std::string description =
        fmt::format("operation {}: key 'deadline_in_s' has the value {}", index,
                    relative_deadline.dump(-1, ' ', false, replace_invalid_utf8));
    if (operation.contains("deadline_ms"))
    {
        reason = {error_kind::invalid_patch, description + " together with 'deadline_ms'",
                  "give one of the two deadlines"};
        return false;
    }
    const bool valid = relative_deadline.is_number() && relative_deadline.get<double>() > 0 &&
                       relative_deadline.get<double>() <= max_deadline_s;
    if (!valid)
    {
        reason = {error_kind::invalid_patch, description + ", which is not a duration",
                  fmt::format("give seconds from now, above 0 and up to {}", max_deadline_s)};
        return false;
    }
    constexpr double ms_per_s = 1000;
    operation.erase("deadline_in_s");
    operation["deadline_ms"] = now + std::llround(relative_deadline.get<double>() * ms_per_s);
    return true;
}

bool resolve_relative_deadlines(json& body, time_ms now, error& reason)
{
    const auto operations = body.find("ops");
    if (operations == body.end() || !operations->is_array())
    {
        return true;
    }
    for (std::size_t index = 0; index < operations->size(); ++index)
    {
        json& operation = (*operations)[index];
        const bool has_relative_deadline = operation.is_object() &&
                                           operation.contains("deadline_in_s") &&
                                           operation.value("op", json()) == "start_move";
        if (has_relative_deadline && !resolve_relative_deadline(operation, index, now, reason))
        {
            return false;
        }
    }
    return true;
}

/** Fills in id, base, deadlines and creation time, and validates the patch. */
std::optional<patch> prepare_patch(const patch_command& command, const std::string& text,
                                   error& reason)
{
    auto body = parse_patch_text(text, reason);
    const time_ms now = wall_now();
    if (!body || !resolve_relative_deadlines(*body, now, reason))
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
    return parse_patch(body->dump(-1, ' ', false, replace_invalid_utf8), reason);
}

void print_patch_result(const cli_options& options, const json& body)
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

std::string format_version_shares(const json& versions)
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
                                 format_version_shares(value.value("versions", json::object())));
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
        const bool unreserved = std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
        encoded += unreserved ? std::string(1, static_cast<char>(c)) : fmt::format("%{:02X}", c);
    }
    return encoded;
}

void wait_before_retry()
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
                         .dump(-1, ' ', false, replace_invalid_utf8)
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
    const auto text = read_patch_file(command.file, reason);
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
        const auto response = send_with_failover(options, request, reason);
        if (response)
        {
            print_patch_result(options, response->body);
            return 0;
        }
        may_be_published = may_be_published || reason.kind == error_kind::outcome_unknown;
        // Retries are safe: daemons apply only the first record with a given patch id.
        if (!is_retryable(reason) || steady_now() >= deadline)
        {
            break;
        }
        wait_before_retry();
    }
    if (may_be_published && reason.kind != error_kind::stale_version)
    {
        reason.kind = error_kind::outcome_unknown;
    }
    if (is_retryable(reason) && !command.dry_run)
    {
        reason.remedy += (reason.remedy.empty() ? "" : "; ") +
                         ("repeat with --id=" + change->id + " to learn the outcome");
    }
    return report_error(options, reason);
}

int run_status(const cli_options& options)
{
    error reason;
    const auto response =
        send_with_failover(options, {.target = "/v1/status", .timeout = options.timeout}, reason);
    if (!response)
    {
        return report_error(options, reason);
    }
    if (options.json)
    {
        std::cout << response->body.dump() << "\n";
        return 0;
    }
    print_status(response->body);
    return 0;
}

int run_get(const cli_options& options)
{
    error reason;
    const auto response =
        send_with_failover(options, {.target = "/v1/config", .timeout = options.timeout}, reason);
    if (!response)
    {
        return report_error(options, reason);
    }
    if (options.json)
    {
        std::cout << response->body.dump() << "\n";
        return 0;
    }
    print_config(response->body);
    return 0;
}

int run_watch(const cli_options& options, const std::string& move)
{
    constexpr time_ms max_poll_wait_ms = 2000;
    const time_ms poll_wait = std::min(max_poll_wait_ms, options.timeout / 2);
    error reason;
    std::string last_change;
    time_ms last_response_at = steady_now();
    for (;;)
    {
        const daemon_request request{.target = fmt::format("/v1/watch?move={}&wait_ms={}&after={}",
                                                           percent_encode(move), poll_wait,
                                                           percent_encode(last_change)),
                                     .timeout = options.timeout};
        const auto response = send_with_failover(options, request, reason);
        if (!response)
        {
            // A daemon that lags behind may not know yet a move that another daemon has reported.
            const bool lagging = reason.kind == error_kind::not_found && !last_change.empty();
            if ((!is_retryable(reason) && !lagging) ||
                steady_now() - last_response_at > options.timeout)
            {
                return report_error(options, reason);
            }
            wait_before_retry();
            continue;
        }
        last_response_at = steady_now();
        const std::string change = response->body.value("change", response->body.dump());
        if (change != last_change)
        {
            print_move(options, response->body);
            last_change = change;
        }
        const std::string state = response->body.value("state", "");
        if (state != "running")
        {
            return state == "withdrawn" ? withdrawn_exit_status : 0;
        }
    }
}

int run_drain(const cli_options& options, const drain_command& command)
{
    error reason;
    const json body{{"member", command.member}, {"undo", command.undo}};
    const auto response =
        send_with_failover(options,
                           {.method = "POST",
                            .target = "/v1/drain",
                            .body = body.dump(-1, ' ', false, replace_invalid_utf8),
                            .timeout = options.timeout},
                           reason);
    if (!response)
    {
        return report_error(options, reason);
    }
    if (options.json)
    {
        std::cout << response->body.dump() << "\n";
        return 0;
    }
    std::cout << fmt::format("{}: {}\n", command.member, response->body.value("state", ""));
    return 0;
}

} // namespace sardinepoint
