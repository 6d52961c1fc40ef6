#include "sardinepoint/pipelined_server.hpp"

#include "http_text.hpp"
#include "socket_address.hpp"

#include "sardinepoint/logging.hpp"
#include "sardinepoint/settings.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <deque>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace sardinepoint
{

namespace
{

namespace beast_http = boost::beast::http;
using request_parser = beast_http::request_parser<beast_http::string_body>;

constexpr int listen_backlog = 1024;
constexpr int max_accepts_per_event = 64;
constexpr std::size_t read_buffer_bytes = 32U << 10U;
// After input has waited for this long, the caller may have closed the connection behind it.
constexpr std::int64_t disconnect_check_delay_us = 20'000;
constexpr time_ms sweep_interval_ms = 500;
// Time for which remaining input is read and discarded before a connection is released. Closing a
// socket with unread data resets the connection, and the caller may lose the last response.
constexpr time_ms linger_ms = 1000;
// Time limit of a whole request as a multiple of the header timeout.
constexpr int body_timeout_factor = 10;
// Callers rely on the configured idle timeout when they reuse a connection, so it is closed
// slightly later.
constexpr time_ms idle_grace_ms = 2000;
// Larger outputs are sent in turn; this size takes 8 ms on a link of 16 Mbit/s. If all were sent
// concurrently, each small response would wait behind a send window of each large one.
constexpr std::size_t large_output_bytes = 16U << 10U;

// Requests of a connection are not started while its unsent responses are larger than this.
constexpr std::size_t max_unsent_bytes = 256U << 10U;
// Requests of one connection that are started before other descriptors are served.
constexpr int max_requests_per_turn = 16;
// Sent output is discarded in pieces of this size.
constexpr std::size_t discard_bytes = 256U << 10U;
// A connection that is being released is read for this multiple of linger_ms at most.
constexpr int linger_factor = 5;
// Bookkeeping of a request and of a response in addition to their text.
constexpr std::size_t exchange_overhead_bytes = 1024;
// Parsed fields take up about this multiple of their text.
constexpr std::size_t field_factor = 4;
constexpr time_ms log_interval_ms = 1000;

/** A request of a connection and its response. */
struct pipelined_exchange
{
    std::uint64_t id = 0;
    bool is_head = false;
    /** The connection must be closed after the response. */
    bool close_after_response = false;
    std::optional<http_response> response;
    /** Accounted for the request, and later for its response. */
    std::size_t held_bytes = 0;
};

struct caller_connection
{
    std::uint64_t id = 0;
    int fd = -1;
    std::string input;
    std::optional<request_parser> parser;
    /** Bytes of the head of the request that is being received. */
    std::size_t head_bytes = 0;
    /** Line ends in the part of the input that was examined for the end of the head. */
    std::size_t examined = 0;
    std::size_t head_lines = 0;
    /** The body that is being received. */
    intake::transfer body;
    std::deque<pipelined_exchange> exchanges;
    /** Sum over the exchanges. */
    std::size_t exchange_bytes = 0;
    std::uint64_t completed = 0;
    /** The output that the caller has not read yet. */
    intake::transfer unsent;
    time_ms linger_started = 0;
    std::string output;
    std::size_t sent = 0;
    /** Parsing goes on in the next iteration of the event loop. */
    bool parse_scheduled = false;
    /** Turn requested for a large output. */
    std::optional<std::uint64_t> turn;
    /** End of the output that may be sent before the turn starts. */
    std::size_t pre_turn_end = 0;
    /** No further requests are read; the connection is closed when the output is sent. */
    bool draining = false;
    /** The output is sent and the sending side is shut down. */
    bool lingering = false;
    time_ms request_started = 0;
    time_ms last_activity = 0;
    std::int64_t accepted_us = 0;
    /** Earliest time at which the connection may have been ready to be accepted. */
    std::int64_t earliest_open_us = 0;
    /** Earliest time at which the latest input may have arrived. */
    std::int64_t earliest_input_us = 0;
};

} // namespace

class pipelined_server
{
public:
    event_loop* loop = nullptr;
    pipelined_server_options options;
    http_server_callbacks callbacks;
    int listener = -1;
    std::uint16_t port = 0;
    std::unordered_map<std::uint64_t, std::unique_ptr<caller_connection>> connections;
    /** Maps each unanswered request to its connection. */
    std::unordered_map<std::uint64_t, std::uint64_t> requests;
    std::uint64_t last_id = 0;
    std::uint64_t last_connection = 0;
    bool closing = false;
    timer_id sweep_timer;
    intake::gate_handle gate;
    /** Rejections since the last log line about them, and its time. */
    std::uint64_t rejections = 0;
    time_ms rejections_logged_at = 0;
};

namespace
{

void update_watch(pipelined_server& server, caller_connection& connection);
void flush_connection(pipelined_server& server, std::uint64_t id);
void resume_parsing(pipelined_server& server, std::uint64_t id);

caller_connection* find_connection(pipelined_server& server, std::uint64_t id)
{
    const auto found = server.connections.find(id);
    return found == server.connections.end() ? nullptr : found->second.get();
}

void end_output_turn(pipelined_server& server, caller_connection& connection)
{
    if (connection.turn)
    {
        release_turn(*server.options.turns, *std::exchange(connection.turn, std::nullopt));
    }
}

/** Closes the connection and cancels its unanswered requests. */
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
    for (const pipelined_exchange& exchange : connection.exchanges)
    {
        if (server.requests.erase(exchange.id) > 0 && server.callbacks.on_cancelled)
        {
            server.callbacks.on_cancelled({exchange.id});
        }
    }
}

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

/** Whether the connection may have another request before its callers read more responses. */
bool may_start_request(const pipelined_server& server, const caller_connection& connection)
{
    return connection.exchanges.size() < server.options.max_pipelined &&
           connection.output.size() - connection.sent <= max_unsent_bytes;
}

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

/** Whether nothing may be sent until the turn of the connection starts. */
bool is_awaiting_turn(const pipelined_server& server, const caller_connection& connection)
{
    return connection.turn && connection.sent >= connection.pre_turn_end &&
           !is_active(server.options.turns->table, *connection.turn);
}

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

/** Sends as much output as possible. May destroy the connection. */
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
        drop_connection(server, id);
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

/** Answers an invalid or incomplete request with an error and stops reading requests. */
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
    connection.exchanges.push_back(std::move(exchange));
    connection.draining = true;
    connection.input = {};
    connection.parser.reset();
    connection.head_bytes = 0;
}

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

/** Whether the input that the parser can't use yet is larger than any head or chunk header. */
bool has_unusable_input(const pipelined_server& server, const caller_connection& connection)
{
    return connection.input.size() > server.options.limits.max_header_bytes + read_buffer_bytes;
}

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
    if (!keep_alive)
    {
        connection.draining = true;
        connection.input.clear();
    }
    server.requests[id] = connection.id;
    server.callbacks.on_request({id}, std::move(request));
}

/** Parses the buffered input. May destroy the connection. */
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

enum class read_state
{
    data,
    nothing,
    closed,
};

read_state read_input(caller_connection& connection)
{
    std::array<char, read_buffer_bytes> buffer; // NOLINT: filled by recv
    const ssize_t result = ::recv(connection.fd, buffer.data(), buffer.size(), 0);
    if (result > 0)
    {
        connection.last_activity = steady_now();
        if (!connection.draining)
        {
            connection.input.append(buffer.data(), static_cast<std::size_t>(result));
        }
        return read_state::data;
    }
    const bool would_block =
        result < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
    return would_block ? read_state::nothing : read_state::closed;
}

/** Records since when the input that is about to be read may have waited. */
void record_input(const pipelined_server& server, caller_connection& connection)
{
    const std::int64_t ready_us = ready_since_us(*server.loop);
    // Input found by the first wait after the accept may have arrived before the accept.
    const bool since_opening = ready_us <= connection.accepted_us;
    connection.earliest_input_us = since_opening ? connection.earliest_open_us : ready_us;
}

/** Whether the caller closed the connection after input that waited for some time. */
bool has_disconnected(const caller_connection& connection)
{
    if (steady_now_us() - connection.earliest_input_us < disconnect_check_delay_us)
    {
        return false;
    }
    char next = 0;
    return ::recv(connection.fd, &next, sizeof(next), MSG_PEEK | MSG_DONTWAIT) == 0;
}

bool has_failed(const caller_connection& connection)
{
    pollfd polled{.fd = connection.fd, .events = 0, .revents = 0};
    return ::poll(&polled, 1, 0) > 0 && (polled.revents & (POLLERR | POLLHUP)) != 0;
}

void handle_event(pipelined_server& server, std::uint64_t id, io_interest ready)
{
    caller_connection* connection = find_connection(server, id);
    if (connection == nullptr)
    {
        return;
    }
    if (ready.read)
    {
        // A half-close counts as a disconnect, since no supported caller waits for a response after
        // it has shut down its sending side.
        record_input(server, *connection);
        const read_state state = read_input(*connection);
        if (state == read_state::closed || has_disconnected(*connection))
        {
            drop_connection(server, id);
            return;
        }
        // Scheduled parsing uses the new input too.
        if (state == read_state::data && !connection->draining && !connection->parse_scheduled)
        {
            parse_input(server, id);
            return;
        }
    }
    // An unwatched connection reports only failures.
    if (!ready.read && connection->output.empty() && has_failed(*connection))
    {
        drop_connection(server, id);
        return;
    }
    flush_connection(server, id);
}

void update_watch(pipelined_server& server, caller_connection& connection)
{
    // A connection with a full pipeline is still read, so that a disconnect is detected. Reading
    // pauses when the next head has arrived, as its body would be held without being used.
    const bool input_full = !connection.draining && has_unusable_input(server, connection);
    const bool wants_write = !connection.output.empty() && !is_awaiting_turn(server, connection);
    const io_interest interest{.read = !input_full, .write = wants_write};
    watch_fd(*server.loop, connection.fd, interest,
             [&server, id = connection.id](io_interest ready)
             {
                 handle_event(server, id, ready);
                 intake::enforce(server.gate);
             });
}

/**
 * Closes a connection that holds much. A caller whose request is incomplete gets a response, since
 * nothing of it ran; otherwise requests may be running.
 */
void shed_connection(pipelined_server& server, std::uint64_t id)
{
    caller_connection* connection = find_connection(server, id);
    if (connection == nullptr)
    {
        return;
    }
    if (!connection->parser || !connection->exchanges.empty() || !connection->output.empty() ||
        connection->draining)
    {
        drop_connection(server, id);
        return;
    }
    reject(server, *connection, 503, "the daemon holds too much for its callers",
           "send the request again later");
    flush_connection(server, id);
}

void accept_connection(pipelined_server& server, int fd, std::uint32_t peer)
{
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    auto created = std::make_unique<caller_connection>();
    created->id = ++server.last_connection;
    created->fd = fd;
    created->accepted_us = steady_now_us();
    created->earliest_open_us = ready_since_us(*server.loop);
    created->last_activity = steady_now();
    caller_connection& connection = *created;
    server.connections[connection.id] = std::move(created);
    intake::open_connection(server.gate, connection.id, peer);
    update_watch(server, connection);
}

std::size_t max_connections(const pipelined_server& server)
{
    return server.gate.gate == nullptr ? server.options.max_connections
                                       : server.options.intake.limits.max_connections;
}

/** Closes a connection for a new one. Returns false if all are in use. */
bool evict_connection(pipelined_server& server)
{
    std::vector<intake::connection_state> states;
    for (const auto& [id, connection] : server.connections)
    {
        states.push_back({.connection = id,
                          .busy = !connection->exchanges.empty() || !connection->output.empty(),
                          .completed = connection->completed,
                          .last_activity = connection->last_activity});
    }
    const auto evicted = intake::choose_to_evict(states);
    intake::record_refusal(server.gate, "connections");
    if (!evicted)
    {
        return false;
    }
    drop_connection(server, *evicted);
    return true;
}

/** Accepts waiting connections, up to the limit. Returns false if none is left. */
bool accept_pending(pipelined_server& server, int limit)
{
    for (int i = 0; i < limit; ++i)
    {
        sockaddr_in peer{};
        socklen_t peer_size = sizeof(peer);
        const int fd = ::accept4(server.listener, reinterpret_cast<sockaddr*>(&peer), &peer_size,
                                 SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0)
        {
            // A caller that has given up its connection leaves the ones behind it waiting.
            if (errno == ECONNABORTED || errno == EINTR)
            {
                continue;
            }
            return false;
        }
        if (server.connections.size() >= max_connections(server) &&
            (server.gate.gate == nullptr || !evict_connection(server)))
        {
            if (server.gate.gate == nullptr)
            {
                log_event(log_level::warning, "caller_rejected",
                          {{"reason", "too many connections are open"}});
            }
            ::close(fd);
            continue;
        }
        accept_connection(server, fd, peer.sin_addr.s_addr);
    }
    return true;
}

void close_listener(pipelined_server& server)
{
    if (server.listener >= 0)
    {
        unwatch_fd(*server.loop, server.listener);
        ::close(std::exchange(server.listener, -1));
    }
}

/** Whether a connection has lingered or been idle for too long. */
bool is_idle_expired(const pipelined_server& server, const caller_connection& connection,
                     time_ms now)
{
    if (connection.lingering)
    {
        return now - connection.last_activity > linger_ms ||
               now - connection.linger_started > linger_factor * linger_ms;
    }
    return connection.exchanges.empty() && connection.output.empty() && !connection.parser &&
           now - connection.last_activity > server.options.limits.idle_timeout + idle_grace_ms;
}

bool is_receive_timed_out(const pipelined_server& server, const caller_connection& connection,
                          time_ms now)
{
    if (!connection.parser)
    {
        return false;
    }
    const time_ms header = server.options.limits.header_timeout;
    if (!connection.parser->is_header_done())
    {
        return now - connection.request_started > header;
    }
    intake::pace_limits pace = server.options.intake.limits.pace;
    if (server.gate.gate == nullptr)
    {
        pace.max_stall = header * body_timeout_factor;
    }
    pace.grace =
        std::max(header * body_timeout_factor, server.gate.gate == nullptr ? 0 : pace.grace);
    return intake::is_too_slow(connection.body, pace, now);
}

/** Whether the caller reads its responses too slowly. */
bool is_send_timed_out(const pipelined_server& server, const caller_connection& connection,
                       time_ms now)
{
    return server.gate.gate != nullptr && !connection.output.empty() &&
           !is_awaiting_turn(server, connection) &&
           intake::is_too_slow(connection.unsent, server.options.intake.limits.pace, now);
}

void sweep(pipelined_server& server)
{
    const time_ms now = steady_now();
    std::vector<std::uint64_t> idle_expired;
    std::vector<std::uint64_t> timed_out;
    std::vector<std::uint64_t> unread;
    for (const auto& [id, connection] : server.connections)
    {
        if (is_idle_expired(server, *connection, now))
        {
            idle_expired.push_back(id);
        }
        else if (is_send_timed_out(server, *connection, now))
        {
            unread.push_back(id);
        }
        else if (is_receive_timed_out(server, *connection, now))
        {
            timed_out.push_back(id);
        }
    }
    for (const std::uint64_t id : unread)
    {
        intake::record_refusal(server.gate, "slow_response");
        drop_connection(server, id);
    }
    for (const std::uint64_t id : idle_expired)
    {
        drop_connection(server, id);
    }
    for (const std::uint64_t id : timed_out)
    {
        if (caller_connection* connection = find_connection(server, id))
        {
            intake::record_refusal(server.gate,
                                   connection->parser && connection->parser->is_header_done()
                                       ? "slow_body"
                                       : "slow_head");
            reject(server, *connection, 408, "the request was not complete in time",
                   "send requests without pauses");
            flush_connection(server, id);
        }
    }
}

/** Opens a listening socket. Returns -1 and sets errno on failure. */
int listen_on(const endpoint& address)
{
    const auto parsed = socket_address(address);
    if (!parsed)
    {
        errno = EINVAL;
        return -1;
    }
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    if (fd >= 0)
    {
        ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    }
    if (fd < 0 || ::bind(fd, reinterpret_cast<const sockaddr*>(&*parsed), sizeof(*parsed)) != 0 ||
        ::listen(fd, listen_backlog) != 0)
    {
        const int problem = errno;
        ::close(fd);
        errno = problem;
        return -1;
    }
    return fd;
}

std::uint16_t local_port(int fd)
{
    sockaddr_in bound{};
    socklen_t size = sizeof(bound);
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&bound), &size);
    return ntohs(bound.sin_port);
}

} // namespace

void pipelined_server_deleter::operator()(pipelined_server* server) const
{
    server->callbacks = {};
    cancel_timer(*server->loop, server->sweep_timer);
    intake::unregister_listener(server->gate);
    while (!server->connections.empty())
    {
        drop_connection(*server, server->connections.begin()->first);
    }
    close_listener(*server);
    delete server;
}

pipelined_server_ptr open_pipelined_server(event_loop& loop,
                                           const pipelined_server_options& options,
                                           http_server_callbacks callbacks, error& reason)
{
    const int listener = listen_on(options.address);
    if (listener < 0)
    {
        reason = {error_kind::internal,
                  "can't listen on " + to_string(options.address) + ": " + std::strerror(errno),
                  "choose a free port or stop the process that uses it"};
        return nullptr;
    }
    pipelined_server_ptr server(new pipelined_server);
    server->loop = &loop;
    server->options = options;
    server->callbacks = std::move(callbacks);
    server->listener = listener;
    server->port = local_port(listener);
    pipelined_server* raw = server.get();
    raw->gate = intake::register_listener(options.intake,
                                          [raw](std::uint64_t id) { shed_connection(*raw, id); });
    watch_fd(loop, listener, {.read = true, .write = false},
             [raw](io_interest) { accept_pending(*raw, max_accepts_per_event); });
    raw->sweep_timer = run_every(loop, sweep_interval_ms, [raw] { sweep(*raw); });
    return server;
}

std::uint16_t bound_port(const pipelined_server& server)
{
    return server.port;
}

void set_limits(pipelined_server& server, const caller_limits& limits)
{
    server.options.limits = limits;
}

void send_response(pipelined_server& server, request_id id, http_response response)
{
    const auto found = server.requests.find(id.value);
    if (found == server.requests.end())
    {
        return;
    }
    const std::uint64_t connection_id = found->second;
    server.requests.erase(found);
    caller_connection& connection = *find_connection(server, connection_id);
    const auto exchange = std::find_if(connection.exchanges.begin(), connection.exchanges.end(),
                                       [id](const pipelined_exchange& candidate)
                                       { return candidate.id == id.value; });
    set_held_bytes(connection, *exchange, text_bytes(response));
    exchange->response = std::move(response);
    flush_connection(server, connection_id);
    intake::enforce_later(server.gate);
}

bool stop_accepting(pipelined_server& server)
{
    if (server.listener < 0)
    {
        return false;
    }
    // Closing the listener resets the connections that still wait at it. New ones may arrive
    // meanwhile, so the number of rounds is bounded.
    accept_pending(server, 2 * listen_backlog);
    close_listener(server);
    return true;
}

void close_after_responses(pipelined_server& server)
{
    server.closing = true;
}

std::size_t pending_requests(const pipelined_server& server)
{
    std::size_t pending = 0;
    for (const auto& [id, connection] : server.connections)
    {
        pending += connection->exchanges.size() + (connection->output.empty() ? 0 : 1);
    }
    return pending;
}

std::size_t open_connections(const pipelined_server& server)
{
    return server.connections.size();
}

} // namespace sardinepoint
