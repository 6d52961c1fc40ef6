#include "pipelined_connection.hpp"
#include "socket_address.hpp"

#include "sardinepoint/logging.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <utility>
#include <vector>

namespace sardinepoint
{

namespace detail
{

namespace
{

constexpr int listen_backlog = 1024;
constexpr int max_accepts_per_event = 64;
// After input has waited for this long, the caller may have closed the connection behind it.
constexpr std::int64_t disconnect_check_delay_us = 20'000;
constexpr time_ms sweep_interval_ms = 500;
// Time for which remaining input is read and discarded before a connection is released. Closing a
// socket with unread data resets the connection, and the caller may lose the last response.
constexpr time_ms linger_ms = 1000;
// A connection that is being released is read for this multiple of linger_ms at most.
constexpr int linger_factor = 5;
// Time limit of a whole request as a multiple of the header timeout.
constexpr int body_timeout_factor = 10;
// Callers rely on the configured idle timeout when they reuse a connection, so it is closed
// slightly later.
constexpr time_ms idle_grace_ms = 2000;

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
        const std::size_t buffered = connection->input.size();
        const read_state state = read_input(*connection);
        const std::size_t read_bytes = connection->input.size() - buffered;
        if (state == read_state::closed || has_disconnected(*connection))
        {
            drop_connection(server, id);
            return;
        }
        // Scheduled parsing uses the new input too.
        if (state == read_state::data && !connection->draining && !connection->parse_scheduled)
        {
            parse_input(server, id);
            connection = find_connection(server, id);
            if (connection != nullptr)
            {
                throttle_small_reads(server, *connection, read_bytes);
            }
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

} // namespace

void update_watch(pipelined_server& server, caller_connection& connection)
{
    // A connection with a full pipeline is still read, so that a disconnect is detected. Reading
    // pauses when the next head has arrived, as its body would be held without being used.
    const bool input_full =
        connection.throttled || (!connection.draining && has_unusable_input(server, connection));
    const bool wants_write = !connection.output.empty() && !is_awaiting_turn(server, connection);
    const io_interest interest{.read = !input_full, .write = wants_write};
    watch_fd(*server.loop, connection.fd, interest,
             [&server, id = connection.id](io_interest ready)
             {
                 handle_event(server, id, ready);
                 intake::enforce(server.gate);
             });
}

namespace
{

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

} // namespace detail

void pipelined_server_deleter::operator()(pipelined_server* server) const
{
    server->callbacks = {};
    cancel_timer(*server->loop, server->sweep_timer);
    for (const auto& timer : {server->throttle_timer, server->drop_timer})
    {
        if (timer)
        {
            cancel_timer(*server->loop, *timer);
        }
    }
    intake::unregister_listener(server->gate);
    while (!server->connections.empty())
    {
        detail::drop_connection(*server, server->connections.begin()->first);
    }
    detail::close_listener(*server);
    delete server;
}

pipelined_server_ptr open_pipelined_server(event_loop& loop,
                                           const pipelined_server_options& options,
                                           http_server_callbacks callbacks, error& reason)
{
    const int listener = detail::listen_on(options.address);
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
    server->port = detail::local_port(listener);
    pipelined_server* raw = server.get();
    raw->gate = intake::register_listener(options.intake, [raw](std::uint64_t id)
                                          { detail::shed_connection(*raw, id); });
    watch_fd(loop, listener, {.read = true, .write = false},
             [raw](io_interest) { detail::accept_pending(*raw, detail::max_accepts_per_event); });
    raw->sweep_timer = run_every(loop, detail::sweep_interval_ms, [raw] { detail::sweep(*raw); });
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
    detail::caller_connection& connection = *detail::find_connection(server, connection_id);
    const auto exchange = std::find_if(connection.exchanges.begin(), connection.exchanges.end(),
                                       [id](const detail::pipelined_exchange& candidate)
                                       { return candidate.id == id.value; });
    detail::set_held_bytes(connection, *exchange, detail::text_bytes(response));
    exchange->response = std::move(response);
    detail::flush_connection(server, connection_id);
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
    detail::accept_pending(server, 2 * detail::listen_backlog);
    detail::close_listener(server);
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