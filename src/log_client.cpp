#include "sardinepoint/log_client.hpp"

#include "call_headers.hpp"
#include "json_reader.hpp"

#include "sardinepoint/limits.hpp"
#include "sardinepoint/platform_adapter.hpp"
#include "sardinepoint/registry.hpp"

#include <nlohmann/json.hpp>

#include <utility>

namespace sardinepoint
{

namespace
{

using detail::json_reader;
using nlohmann::json;

constexpr std::string_view client_header = "Log-Client";
constexpr int status_gone = 410;

http_call make_call(const log_client& log, std::string_view stream)
{
    http_call call;
    call.url = "http://" + to_string(log.service) + "/streams/" + std::string(stream) + "/records";
    call.headers = {{std::string(client_header), log.client_id}};
    call.timeout = log.timeout;
    return call;
}

append_result parse_append_response(const http_result& call_result)
{
    append_result result{.reason = call_result.reason};
    if (call_result.outcome == call_outcome::not_sent)
    {
        result.outcome = append_outcome::refused;
        return result;
    }
    if (call_result.outcome != call_outcome::answered)
    {
        return result;
    }
    const int status = call_result.response.status;
    if (status != 200)
    {
        // Only a status that rejects the request proves that the record wasn't appended.
        const bool refused = status == 503 || status == 429 || status / 100 == 4;
        result.outcome = refused ? append_outcome::refused : append_outcome::unknown;
        result.reason = "log answered with status " + std::to_string(status);
        return result;
    }
    const json body = json::parse(call_result.response.body, nullptr, false);
    if (body.is_object() && body.contains("offset") && body["offset"].is_number_unsigned())
    {
        result.outcome = append_outcome::appended;
        result.offset = body["offset"].get<std::uint64_t>();
        return result;
    }
    result.reason = "log answered without an offset";
    return result;
}

read_result parse_read_response(const http_result& call_result)
{
    read_result result{.timed_out = call_result.timed_out, .reason = call_result.reason};
    if (call_result.outcome != call_outcome::answered)
    {
        return result;
    }
    error reason;
    const auto body = detail::parse_json(call_result.response.body, error_kind::internal, reason);
    if (!body || (call_result.response.status != 200 && call_result.response.status != status_gone))
    {
        result.reason = "log answered with status " + std::to_string(call_result.response.status);
        return result;
    }
    json_reader reader(*body, "log answer", error_kind::internal, reason);
    result.first = reader.unsigned_integer("first");
    result.next = reader.unsigned_integer("next");
    for (const json& value : reader.array("records"))
    {
        json_reader item(value, "log record", error_kind::internal, reason);
        log_record record;
        record.offset = item.unsigned_integer("offset");
        record.appended = item.integer("time_ms", 0, std::numeric_limits<time_ms>::max());
        record.body = item.text_or("body", "");
        if (!item.finish())
        {
            result.reason = describe(reason);
            return result;
        }
        result.records.push_back(std::move(record));
    }
    result.ok = !reader.failed();
    result.expired = call_result.response.status == status_gone;
    result.reason = reader.failed() ? describe(reason) : "";
    return result;
}

void append_to_stream(const log_client& log, std::string_view stream, std::string_view body,
                      std::function<void(append_result)> done)
{
    http_call call = make_call(log, stream);
    call.method = "POST";
    call.body = std::string(body);
    // A retried append could add the record twice.
    call.retryable = false;
    send_request(*log.http, std::move(call),
                 [done = std::move(done)](const http_result& call_result)
                 { done(parse_append_response(call_result)); });
}

void read_stream(const log_client& log, std::string_view stream, const read_options& options,
                 std::function<void(read_result)> done)
{
    http_call call = make_call(log, stream);
    call.url += "?from=" + std::to_string(options.from) +
                "&limit=" + std::to_string(options.limit) +
                "&wait_ms=" + std::to_string(options.wait);
    call.timeout += options.wait;
    send_request(*log.http, std::move(call),
                 [done = std::move(done)](const http_result& call_result)
                 { done(parse_read_response(call_result)); });
}

void read_newest_of_stream(const log_client& log, std::string_view stream, int count,
                           std::function<void(read_result)> done)
{
    http_call call = make_call(log, stream);
    call.url += "?newest=" + std::to_string(count);
    send_request(*log.http, std::move(call),
                 [done = std::move(done)](const http_result& call_result)
                 { done(parse_read_response(call_result)); });
}

void record_outcome_in_stream(const log_client& log, const move_spec& move,
                              const move_outcome& outcome, std::function<void(outcome_result)> done)
{
    if (outcome.state == move_state::running)
    {
        // The order of the move in the log already marks its start.
        done({.outcome = append_outcome::appended});
        return;
    }
    append_to_stream(log, config_stream, dump_outcome(outcome),
                     [done = std::move(done), move = move.id](const append_result& result)
                     {
                         // Which of several outcomes counts is decided when they are applied.
                         done({.outcome = result.outcome, .reason = result.reason});
                     });
}

caller_metadata parse_caller_headers(std::span<const http_header> headers)
{
    caller_metadata metadata{.id =
                                 std::string(find_header(headers, call_headers::id).value_or(""))};
    if (const auto value = find_header(headers, call_headers::deadline))
    {
        metadata.time_left = parse_integer(*value);
    }
    return metadata;
}

void remove_organisation(std::vector<http_header>& headers)
{
    remove_header(headers, call_headers::organisation);
}

void write_upstream_headers(std::vector<http_header>& headers, const upstream_call& call)
{
    set_header(headers, call_headers::id, std::string(call.id));
    set_header(headers, call_headers::instance, std::string(call.instance));
    set_header(headers, call_headers::service, std::string(call.caller_service));
    set_header(headers, call_headers::deadline, std::to_string(call.time_left));
    if (!call.organisation.empty())
    {
        set_header(headers, call_headers::organisation, std::string(call.organisation));
    }
}

response_kind classify_response(const http_response& response, const upstream_call&)
{
    const auto outcome = find_header(response.headers, call_headers::outcome);
    return outcome == to_string(run_outcome::not_run) ? response_kind::not_run
                                                      : response_kind::answered;
}

const registration<platform_adapter> registered{
    "standin",
    {.log = {.append = &append_to_stream,
             .read = &read_stream,
             .read_newest = &read_newest_of_stream,
             .record_outcome = &record_outcome_in_stream},
     .calls = {.parse_caller_headers = &parse_caller_headers,
               .remove_organisation = &remove_organisation,
               .write_upstream_headers = &write_upstream_headers,
               .classify_response = &classify_response}}};

} // namespace

std::string_view to_string(append_outcome outcome)
{
    switch (outcome)
    {
    case append_outcome::appended:
        return "appended";
    case append_outcome::refused:
        return "refused";
    case append_outcome::unknown:
        return "unknown";
    }
    return "unknown";
}

void append_record(const log_client& log, std::string_view stream, std::string_view body,
                   std::function<void(append_result)> done)
{
    log.protocol->append(log, stream, body, std::move(done));
}

void read_records(const log_client& log, std::string_view stream, const read_options& options,
                  std::function<void(read_result)> done)
{
    log.protocol->read(log, stream, options, std::move(done));
}

void read_newest(const log_client& log, std::string_view stream, int count,
                 std::function<void(read_result)> done)
{
    log.protocol->read_newest(log, stream, count, std::move(done));
}

void record_outcome(const log_client& log, const move_spec& move, const move_outcome& outcome,
                    std::function<void(outcome_result)> done)
{
    log.protocol->record_outcome(log, move, outcome, std::move(done));
}

} // namespace sardinepoint
