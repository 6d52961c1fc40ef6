#include "http_text.hpp"
#include "pipelined_connection.hpp"

#include <boost/beast/http/status.hpp>

#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <string>
#include <utility>
#include <vector>

namespace sardinepoint::detail
{

namespace
{

namespace beast_http = boost::beast::http;

// Larger outputs are sent in turn; this size takes 8 ms on a link of 16 Mbit/s. If all were sent
// concurrently, each small response would wait behind a send window of each large one.
constexpr std::size_t large_output_bytes = 16U << 10U;
// Requests of a connection are not started while its unsent responses are larger than this.
constexpr std::size_t max_unsent_bytes = 256U << 10U;
// Sent output is discarded in pieces of this size.
constexpr std::size_t discard_bytes = 256U << 10U;

} // namespace

caller_connection* find_connection(pipelined_server& server, std::uint64_t id)
{
    const auto found = server.connections.find(id);
    return found == server.connections.end() ? nullptr : found->second.get();
}

namespace
{

void end_output_turn(pipelined_server& server, caller_connection& connection)
{
    if (connection.turn)
    {
        release_turn(*server.options.turns, *std::exchange(connection.turn, std::nullopt));
    }
}

} // namespace

void drop_connection(pipelined_server& server, std::uint64_t id)
{
    auto entry = server.connections.extract(id);
    if (entry.empty())
    {
        return;
    }
    caller_connection& connection = *entry.mapped();
    unwatch_fd(*server.loop, connection.fd);
    ::close(connection.fd);
    intake::close_connection(server.gate, id);
    end_output_turn(server, connection);
    // All requests are removed before the first callback: cancelling one of them may lead to a
    // response to another.
    std::vector<std::uint64_t> unanswered;
    for (const pipelined_exchange& exchange : connection.exchanges)
    {
        if (server.requests.erase(exchange.id) > 0)
        {
            unanswered.push_back(exchange.id);
        }
    }
    for (const std::uint64_t request : unanswered)
    {
        if (server.callbacks.on_cancelled)
        {
            server.callbacks.on_cancelled({request});
        }
    }
}

namespace
{

bool has_no_body(int status)
{
    constexpr int no_content = 204;
    constexpr int not_modified = 304;
    return status < 200 || status == no_content || status == not_modified;
}

void append_response(std::string& output, const pipelined_exchange& exchange, bool close)
{
    const http_response& response = *exchange.response;
    output += "HTTP/1.1 " + std::to_string(response.status) + " ";
    const auto phrase = beast_http::obsolete_reason(
        beast_http::int_to_status(static_cast<unsigned>(response.status)));
    output.append(phrase.data(), phrase.size());
    output += "\r\n";
    append_headers(output, response.headers);
    if (!has_no_body(response.status))
    {
        output += "Content-Length: " + std::to_string(response.body.size()) + "\r\n";
    }
    output += close ? "Connection: close\r\n\r\n" : "\r\n";
    if (!exchange.is_head && !has_no_body(response.status))
    {
        output += response.body;
    }
}

/** Accounts what is held for the connection. */
void account(pipelined_server& server, const caller_connection& connection)
{
    const std::size_t parsed = connection.parser ? connection.parser->get().body().size() : 0;
    intake::hold(server.gate, connection.id,
                 connection.input.capacity() + parsed + connection.head_bytes * field_factor +
                     connection.exchange_bytes + connection.output.capacity());
}

} // namespace

void set_held_bytes(caller_connection& connection, pipelined_exchange& exchange, std::size_t bytes)
{
    connection.exchange_bytes = connection.exchange_bytes - exchange.held_bytes + bytes;
    exchange.held_bytes = bytes;
}

std::size_t text_bytes(const http_response& response)
{
    std::size_t bytes = exchange_overhead_bytes + response.body.capacity();
    for (const http_header& header : response.headers)
    {
        bytes += header.name.size() + header.value.size();
    }
    return bytes;
}

bool may_start_request(const pipelined_server& server, const caller_connection& connection)
{
    return connection.exchanges.size() < server.options.max_pipelined &&
           connection.output.size() - connection.sent <= max_unsent_bytes;
}

namespace
{

/** Appends the responses that are next in order to the output. */
void collect_responses(pipelined_server& server, caller_connection& connection)
{
    while (!connection.exchanges.empty() && connection.exchanges.front().response)
    {
        pipelined_exchange& exchange = connection.exchanges.front();
        // Callers treat requests after a closing response as unread, so a response must not close
        // the connection while later requests that were read are still running.
        const bool last = connection.exchanges.size() == 1;
        const bool close =
            last && (exchange.close_after_response || connection.draining || server.closing);
        append_response(connection.output, exchange, close);
        connection.draining = connection.draining || close;
        set_held_bytes(connection, exchange, 0);
        ++connection.completed;
        intake::note_completed(server.gate, connection.id);
        connection.exchanges.pop_front();
    }
}

enum class send_state
{
    done,
    /** The send buffer is full until the caller reads. */
    blocked,
    /** Other responses are being sent in their turn. */
    awaiting_turn,
    failed,
};

/** End of the output that may be sent now. Requests a turn if the unsent output is large. */
std::size_t sendable_end(pipelined_server& server, caller_connection& connection)
{
    const std::size_t end = connection.output.size();
    if (server.options.turns == nullptr ||
        (!connection.turn && end - connection.sent <= large_output_bytes))
    {
        return end;
    }
    if (!connection.turn)
    {
        connection.turn = request_turn(*server.options.turns, [&server, id = connection.id]
                                       { flush_connection(server, id); });
        // Lets small responses that precede the large one be sent without a turn.
        connection.pre_turn_end = connection.sent + large_output_bytes;
    }
    return is_active(server.options.turns->table, *connection.turn) ? end : connection.pre_turn_end;
}

} // namespace

bool is_awaiting_turn(const pipelined_server& server, const caller_connection& connection)
{
    return connection.turn && connection.sent >= connection.pre_turn_end &&
           !is_active(server.options.turns->table, *connection.turn);
}

namespace
{

send_state send_output(pipelined_server& server, caller_connection& connection)
{
    const std::size_t end = sendable_end(server, connection);
    while (connection.sent < end)
    {
        const ssize_t result = ::send(connection.fd, connection.output.data() + connection.sent,
                                      end - connection.sent, MSG_NOSIGNAL);
        if (result < 0)
        {
            return errno == EAGAIN || errno == EWOULDBLOCK ? send_state::blocked
                                                           : send_state::failed;
        }
        connection.sent += static_cast<std::size_t>(result);
        connection.last_activity = steady_now();
        connection.unsent.bytes += static_cast<std::size_t>(result);
        connection.unsent.progressed_at = connection.last_activity;
        intake::note_progress(server.gate, connection.id, connection.last_activity);
        if (connection.turn)
        {
            record_progress(server.options.turns->table, *connection.turn,
                            connection.last_activity);
        }
    }
    if (connection.sent < connection.output.size())
    {
        return send_state::awaiting_turn;
    }
    // An emptied string would keep the memory of the largest response.
    connection.output = {};
    connection.sent = 0;
    end_output_turn(server, connection);
    return send_state::done;
}

/** Releases output that was sent, unless its position counts for a turn. */
void discard_sent(caller_connection& connection)
{
    if (!connection.turn && connection.sent >= discard_bytes)
    {
        connection.output.erase(0, connection.sent);
        connection.sent = 0;
    }
}

void drop_failed_connections(pipelined_server& server)
{
    server.drop_timer.reset();
    for (const std::uint64_t id : std::exchange(server.failed, {}))
    {
        drop_connection(server, id);
    }
}

/**
 * Drops a connection in the next iteration of the event loop. A response may be sent in the middle
 * of work on other calls, and dropping the connection cancels calls.
 */
void drop_later(pipelined_server& server, caller_connection& connection)
{
    // No further requests of the lost caller are started.
    connection.draining = true;
    server.failed.push_back(connection.id);
    if (!server.drop_timer)
    {
        server.drop_timer =
            run_after(*server.loop, 0, [&server] { drop_failed_connections(server); });
    }
}

} // namespace

void flush_connection(pipelined_server& server, std::uint64_t id)
{
    caller_connection* connection = find_connection(server, id);
    if (connection == nullptr)
    {
        return;
    }
    const bool had_output = !connection->output.empty();
    collect_responses(server, *connection);
    if (!had_output)
    {
        connection->unsent = {.started_at = steady_now(), .progressed_at = steady_now()};
    }
    const send_state state = send_output(server, *connection);
    if (state == send_state::failed)
    {
        drop_later(server, *connection);
        return;
    }
    const bool ended = connection->draining && connection->exchanges.empty();
    if (state == send_state::done && ended && !connection->lingering)
    {
        ::shutdown(connection->fd, SHUT_WR);
        connection->lingering = true;
        connection->last_activity = steady_now();
        connection->linger_started = connection->last_activity;
    }
    discard_sent(*connection);
    account(server, *connection);
    update_watch(server, *connection);
    // Requests may have waited until responses were sent.
    if (!connection->parse_scheduled && !connection->input.empty() && !connection->parser &&
        !connection->draining && may_start_request(server, *connection))
    {
        connection->parse_scheduled = true;
        run_after(*server.loop, 0, [&server, id] { resume_parsing(server, id); });
    }
}

} // namespace sardinepoint::detail
