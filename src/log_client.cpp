#include "sardinepoint/log_client.hpp"

#include "json_reader.hpp"

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

append_result parse_append(const http_result& answer)
{
    append_result result{.reason = answer.reason};
    if (answer.outcome == call_outcome::not_sent)
    {
        result.outcome = append_outcome::refused;
        return result;
    }
    if (answer.outcome != call_outcome::answered)
    {
        return result;
    }
    const int status = answer.response.status;
    if (status != 200)
    {
        // Only an explicit refusal proves that the record was not appended.
        const bool refused = status == 503 || status == 429 || status / 100 == 4;
        result.outcome = refused ? append_outcome::refused : append_outcome::unknown;
        result.reason = "log answered with status " + std::to_string(status);
        return result;
    }
    const json body = json::parse(answer.response.body, nullptr, false);
    if (body.is_object() && body.contains("offset") && body["offset"].is_number_unsigned())
    {
        result.outcome = append_outcome::appended;
        result.offset = body["offset"].get<std::uint64_t>();
        return result;
    }
    result.reason = "log answered without an offset";
    return result;
}

read_result parse_read(const http_result& answer)
{
    read_result result{.reason = answer.reason};
    if (answer.outcome != call_outcome::answered)
    {
        return result;
    }
    error reason;
    const auto body = detail::parse_json(answer.response.body, error_kind::internal, reason);
    if (!body || (answer.response.status != 200 && answer.response.status != status_gone))
    {
        result.reason = "log answered with status " + std::to_string(answer.response.status);
        return result;
    }
    json_reader reader(*body, "log answer", error_kind::internal, reason);
    result.first = reader.counter("first");
    result.next = reader.counter("next");
    for (const json& value : reader.array("records"))
    {
        json_reader item(value, "log record", error_kind::internal, reason);
        log_record record;
        record.offset = item.counter("offset");
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
    result.expired = answer.response.status == status_gone;
    result.reason = reader.failed() ? describe(reason) : "";
    return result;
}

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

void append_record(const log_client& log, std::string_view stream, std::string body,
                   std::function<void(append_result)> done)
{
    http_call call = make_call(log, stream);
    call.method = "POST";
    call.body = std::move(body);
    // A repeated append would be a second record.
    call.repeatable = false;
    send_request(*log.http, std::move(call),
                 [done = std::move(done)](const http_result& answer)
                 { done(parse_append(answer)); });
}

void read_records(const log_client& log, std::string_view stream, const read_options& options,
                  std::function<void(read_result)> done)
{
    http_call call = make_call(log, stream);
    call.url += "?from=" + std::to_string(options.from) +
                "&limit=" + std::to_string(options.limit) +
                "&wait_ms=" + std::to_string(options.wait);
    call.timeout += options.wait;
    send_request(*log.http, std::move(call),
                 [done = std::move(done)](const http_result& answer) { done(parse_read(answer)); });
}

void read_newest(const log_client& log, std::string_view stream, int count,
                 std::function<void(read_result)> done)
{
    http_call call = make_call(log, stream);
    call.url += "?newest=" + std::to_string(count);
    send_request(*log.http, std::move(call),
                 [done = std::move(done)](const http_result& answer) { done(parse_read(answer)); });
}

} // namespace sardinepoint
