#include "http_text.hpp"
#include "pipelined_connection.hpp"

#include "sardinepoint/logging.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/message.hpp>

#include <algorithm>
#include <cstddef>
#include <string>
#include <string_view>
#include <utility>

namespace sardinepoint::detail
{

namespace
{

namespace beast_http = boost::beast::http;

// Requests of one connection that are started before other descriptors are served.
constexpr int max_requests_per_turn = 16;
// A request that arrives in more pieces of less than this size is read at intervals: a thousand
// clients that send single bytes would otherwise take up the processor time of a small VM.
constexpr std::size_t small_read_bytes = 256;
constexpr int max_small_reads = 32;
constexpr time_ms throttle_ms = 100;
constexpr time_ms log_interval_ms = 1000;
constexpr int overloaded_status = 503;

} // namespace

void reject(pipelined_server& server, caller_connection& connection, int status,
            std::string message, std::string remedy)
{
    ++server.rejections;
    if (steady_now() - server.rejections_logged_at >= log_interval_ms)
    {
        log_event(log_level::warning, "caller_rejected",
                  {{"status", status}, {"reason", message}, {"callers", server.rejections}});
        server.rejections = 0;
        server.rejections_logged_at = steady_now();
    }
    pipelined_exchange exchange{.id = ++server.last_id, .close_after_response = true};
    exchange.response = error_response(
        status, {error_kind::invalid_argument, std::move(message), std::move(remedy)});
    if (status == overloaded_status)
    {
        set_header(exchange.response->headers, "Retry-After", "1");
    }
    connection.exchanges.push_back(std::move(exchange));
    connection.draining = true;
    connection.input = {};
    connection.parser.reset();
    connection.head_bytes = 0;
}

namespace
{

void reject_unreadable(pipelined_server& server, caller_connection& connection,
                       const boost::system::error_code& problem)
{
    if (problem == beast_http::error::header_limit)
    {
        intake::record_refusal(server.gate, "head");
        reject(server, connection, 431, "the request's header is larger than the limit",
               "send fewer or shorter headers");
        return;
    }
    if (problem == beast_http::error::body_limit)
    {
        intake::record_refusal(server.gate, "body");
        reject(server, connection, 413, "the request's body is larger than the limit",
               "send a smaller body");
        return;
    }
    reject(server, connection, 400, "the request can't be read: " + problem.message(),
           "send HTTP/1.1");
}

http_request take_request(request_parser& parser)
{
    auto message = parser.release();
    http_request request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.headers = copy_headers(message);
    request.body = std::move(message.body());
    return request;
}

void start_parser(const pipelined_server& server, caller_connection& connection)
{
    connection.parser.emplace();
    connection.parser->eager(true);
    connection.parser->header_limit(
        static_cast<std::uint32_t>(server.options.limits.max_header_bytes));
    connection.parser->body_limit(server.options.limits.max_body_bytes);
    connection.request_started = steady_now();
    connection.head_bytes = 0;
    connection.examined = 0;
    connection.head_lines = 0;
    connection.body = {};
}

/**
 * Counts the lines of a head that has not been parsed yet. Parsing it first would take up many
 * times its size.
 */
bool has_too_many_fields(const pipelined_server& server, caller_connection& connection)
{
    if (server.gate.gate == nullptr || connection.parser->is_header_done())
    {
        return false;
    }
    constexpr std::string_view head_end = "\r\n\r\n";
    const std::string_view input = connection.input;
    // The end of the head may have begun in the examined part.
    const std::size_t search_start =
        connection.examined - std::min(connection.examined, head_end.size() - 1);
    const std::size_t end = std::min(input.find(head_end, search_start), input.size());
    const std::size_t first = std::min(connection.examined, end);
    connection.head_lines += static_cast<std::size_t>(
        std::count(input.begin() + static_cast<std::ptrdiff_t>(first),
                   input.begin() + static_cast<std::ptrdiff_t>(end), '\n'));
    connection.examined = end;
    return connection.head_lines > server.options.intake.limits.max_fields;
}

/** Records the progress of the request that is being received. */
void record_received(pipelined_server& server, caller_connection& connection, bool had_head,
                     std::size_t bytes)
{
    if (!had_head)
    {
        connection.examined -= std::min(connection.examined, bytes);
        connection.head_bytes += bytes;
    }
    if (!connection.parser->is_header_done())
    {
        return;
    }
    const time_ms now = steady_now();
    if (!had_head)
    {
        connection.head_bytes =
            std::min(connection.head_bytes, server.options.limits.max_header_bytes);
        connection.body.started_at = now;
    }
    connection.body.bytes += bytes;
    connection.body.progressed_at = now;
    intake::note_progress(server.gate, connection.id, now);
}

} // namespace

bool has_unusable_input(const pipelined_server& server, const caller_connection& connection)
{
    return connection.input.size() > server.options.limits.max_header_bytes + read_buffer_bytes;
}

namespace
{

/** Sends 100 Continue to a caller that expects it before it sends the body. */
void continue_body(caller_connection& connection)
{
    const auto& message = connection.parser->get();
    if (connection.parser->is_header_done() && connection.exchanges.empty() &&
        message.count(beast_http::field::expect) > 0 && message.body().empty())
    {
        connection.output += "HTTP/1.1 100 Continue\r\n\r\n";
    }
}

/** Passes a complete request to the callback. May destroy the connection. */
void dispatch(pipelined_server& server, caller_connection& connection)
{
    const bool keep_alive = connection.parser->keep_alive();
    http_request request = take_request(*connection.parser);
    request.arrived_us = connection.earliest_input_us;
    connection.parser.reset();
    const std::uint64_t id = ++server.last_id;
    connection.exchanges.push_back(
        {.id = id, .is_head = request.method == "HEAD", .close_after_response = !keep_alive});
    set_held_bytes(connection, connection.exchanges.back(),
                   exchange_overhead_bytes + connection.head_bytes * field_factor +
                       request.body.capacity());
    connection.head_bytes = 0;
    connection.small_reads = 0;
    if (!keep_alive)
    {
        connection.draining = true;
        connection.input.clear();
    }
    server.requests[id] = connection.id;
    server.callbacks.on_request({id}, std::move(request));
}

} // namespace

void parse_input(pipelined_server& server, std::uint64_t id)
{
    caller_connection* connection = find_connection(server, id);
    int started = 0;
    while (connection != nullptr && !connection->draining && !connection->input.empty() &&
           started < max_requests_per_turn &&
           (connection->parser || may_start_request(server, *connection)))
    {
        if (!connection->parser)
        {
            start_parser(server, *connection);
        }
        if (has_too_many_fields(server, *connection))
        {
            intake::record_refusal(server.gate, "fields");
            reject(server, *connection, 431, "the request has too many header fields",
                   "send fewer headers");
            break;
        }
        boost::system::error_code problem;
        const bool had_head = connection->parser->is_header_done();
        const std::size_t used =
            connection->parser->put(boost::asio::buffer(connection->input), problem);
        connection->input.erase(0, used);
        record_received(server, *connection, had_head, used);
        if (problem && problem != beast_http::error::need_more)
        {
            reject_unreadable(server, *connection, problem);
            break;
        }
        if (!connection->parser->is_done())
        {
            if (has_unusable_input(server, *connection))
            {
                intake::record_refusal(server.gate, "head");
                reject(server, *connection, 400, "a part of the request is larger than the limit",
                       "send HTTP/1.1");
                break;
            }
            continue_body(*connection);
            // The parser needs more input.
            break;
        }
        dispatch(server, *connection);
        ++started;
        connection = find_connection(server, id);
    }
    flush_connection(server, id);
}

void resume_parsing(pipelined_server& server, std::uint64_t id)
{
    if (caller_connection* connection = find_connection(server, id))
    {
        connection->parse_scheduled = false;
        parse_input(server, id);
    }
}

namespace
{

void read_throttled_connections(pipelined_server& server)
{
    server.throttle_timer.reset();
    for (const std::uint64_t id : std::exchange(server.throttled, {}))
    {
        if (caller_connection* connection = find_connection(server, id))
        {
            connection->throttled = false;
            update_watch(server, *connection);
        }
    }
}

} // namespace

void throttle_small_reads(pipelined_server& server, caller_connection& connection,
                          std::size_t read_bytes)
{
    const bool small = read_bytes < small_read_bytes && connection.parser;
    connection.small_reads = small ? connection.small_reads + 1 : 0;
    if (server.gate.gate == nullptr || connection.small_reads <= max_small_reads)
    {
        return;
    }
    connection.throttled = true;
    server.throttled.push_back(connection.id);
    update_watch(server, connection);
    if (!server.throttle_timer)
    {
        server.throttle_timer =
            run_after(*server.loop, throttle_ms, [&server] { read_throttled_connections(server); });
    }
}

} // namespace sardinepoint::detail
