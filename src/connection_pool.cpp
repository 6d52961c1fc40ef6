#include "sardinepoint/connection_pool.hpp"

#include "http_text.hpp"
#include "response_head.hpp"
#include "socket_address.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>

namespace sardinepoint
{

namespace
{

namespace beast_http = boost::beast::http;
using response_parser = beast_http::response_parser<beast_http::string_body>;

constexpr std::size_t read_buffer_bytes = 64U << 10U;
constexpr std::uint32_t max_header_bytes = 256U << 10U;
constexpr std::uint64_t max_body_bytes = 256U << 20U;
// Peers close idle connections after 10 s or more.
constexpr time_ms max_idle_ms = 9000;
constexpr time_ms sweep_interval_ms = 1000;
// Shorter than the minimum idle timeout of upstreams.
constexpr time_ms retryable_idle_ms = 5000;
// A call that can't be retried must not be sent on a connection that the upstream is closing.
constexpr time_ms non_retryable_idle_ms = 1000;
// Daemons keep idle connections open for one minute.
constexpr time_ms retryable_peer_idle_ms = 8000;
// A call that can't be retried is lost if it is sent to an unreachable peer. A connection that was
// idle for longer than this doesn't show that the peer is reachable. A new connection to an
// unreachable peer is refused or times out before anything is sent, so the call can be sent to
// another peer. Longer than the pauses between calls to a busy peer.
constexpr time_ms non_retryable_peer_idle_ms = 100;

enum class connection_stage
{
    connecting,
    idle,
    busy,
};

struct pooled_connection
{
    std::uint64_t id = 0;
    int fd = -1;
    std::string peer;
    connection_stage stage = connection_stage::connecting;
    /** The call that uses the connection or waits for it to open; 0 if idle or for a probe. */
    std::uint64_t call = 0;
    std::function<void(bool)> probe;
    /** Head of the request. */
    std::string output;
    std::shared_ptr<const std::string> body;
    /** Bytes of the head and the body that were sent. */
    std::size_t sent = 0;
    /** Whether a call was already answered on this connection. */
    bool has_served_call = false;
    std::optional<response_parser> parser;
    std::string input;
    /** Bytes of the input that belong to checked lines of the head; the parser may need more. */
    std::size_t checked_bytes = 0;
    response_head head;
    bool header_validated = false;
    time_ms idle_since = 0;
};

struct pooled_call
{
    pool_call call;
    std::function<void(http_result)> done;
    std::uint64_t connection = 0;
    std::optional<timer_id> timer;
    time_ms deadline = 0;
};

} // namespace

class connection_pool
{
public:
    event_loop* loop = nullptr;
    connection_pool_options options;
    std::unordered_map<std::uint64_t, std::unique_ptr<pooled_connection>> connections;
    /** Idle connections by peer, the most recently used one last. */
    std::map<std::string, std::vector<std::uint64_t>> idle;
    std::unordered_map<std::uint64_t, std::unique_ptr<pooled_call>> calls;
    std::uint64_t last_id = 0;
    timer_id sweep_timer;
};

namespace
{

void handle_event(connection_pool& pool, std::uint64_t id);

pooled_connection* find_connection(connection_pool& pool, std::uint64_t id)
{
    const auto found = pool.connections.find(id);
    return found == pool.connections.end() ? nullptr : found->second.get();
}

pooled_call* find_call(connection_pool& pool, std::uint64_t id)
{
    const auto found = pool.calls.find(id);
    return found == pool.calls.end() ? nullptr : found->second.get();
}

/** Size of the request's head and body. */
std::size_t output_size(const pooled_connection& connection)
{
    return connection.output.size() + (connection.body ? connection.body->size() : 0);
}

void update_watch(connection_pool& pool, const pooled_connection& connection)
{
    const bool wants_write = connection.stage == connection_stage::connecting ||
                             connection.sent < output_size(connection);
    watch_fd(*pool.loop, connection.fd, {.read = true, .write = wants_write},
             [&pool, id = connection.id](io_interest) { handle_event(pool, id); });
}

void close_connection(connection_pool& pool, std::uint64_t id)
{
    auto entry = pool.connections.extract(id);
    if (entry.empty())
    {
        return;
    }
    const pooled_connection& connection = *entry.mapped();
    unwatch_fd(*pool.loop, connection.fd);
    ::close(connection.fd);
    if (connection.stage == connection_stage::idle)
    {
        std::erase(pool.idle[connection.peer], id);
    }
}

/** Closes the idle connections to a peer after one of its connections turned out to be unusable. */
void close_idle(connection_pool& pool, const std::string& peer)
{
    for (const std::uint64_t id : std::exchange(pool.idle[peer], {}))
    {
        close_connection(pool, id);
    }
}

void finish_call(connection_pool& pool, std::uint64_t id, http_result result)
{
    auto entry = pool.calls.extract(id);
    if (entry.empty())
    {
        return;
    }
    if (entry.mapped()->timer)
    {
        cancel_timer(*pool.loop, *entry.mapped()->timer);
    }
    entry.mapped()->done(std::move(result));
}

/** Finishes a call asynchronously, since the callback must not run within send_request(). */
void defer_finish_call(connection_pool& pool, std::uint64_t id, http_result result)
{
    run_after(*pool.loop, 0,
              [&pool, id, result = std::move(result)]() mutable
              { finish_call(pool, id, std::move(result)); });
}

void make_idle(connection_pool& pool, pooled_connection& connection)
{
    connection.stage = connection_stage::idle;
    connection.call = 0;
    connection.parser.reset();
    connection.output = {};
    connection.body.reset();
    connection.sent = 0;
    connection.idle_since = steady_now();
    pool.idle[connection.peer].push_back(connection.id);
    update_watch(pool, connection);
}

http_response response_head(const response_parser& parser)
{
    return {.status = static_cast<int>(parser.get().result_int()),
            .headers = copy_headers(parser.get()),
            .body = {}};
}

http_response take_response(response_parser& parser)
{
    http_response response = response_head(parser);
    response.body = std::move(parser.get().body());
    return response;
}

/** Closes a lost or unusable connection and fails its call or probe. */
void fail_connection(connection_pool& pool, std::uint64_t id, http_result result)
{
    pooled_connection* connection = find_connection(pool, id);
    if (connection == nullptr)
    {
        return;
    }
    const std::uint64_t call_number = connection->call;
    const bool response_started = connection->parser && connection->parser->got_some();
    const bool stale = connection->has_served_call && !response_started && result.connection_lost;
    const std::string peer = connection->peer;
    auto probe = std::move(connection->probe);
    close_connection(pool, id);
    if (stale)
    {
        // The peer may have dropped all idle connections.
        close_idle(pool, peer);
    }
    if (probe)
    {
        probe(false);
        return;
    }
    finish_call(pool, call_number, std::move(result));
}

http_result connection_lost_result(std::string reason)
{
    return {.outcome = call_outcome::unknown, .reason = std::move(reason), .connection_lost = true};
}

void finish_response(connection_pool& pool, pooled_connection& connection)
{
    const bool keep = connection.parser->keep_alive() && !connection.parser->get().need_eof() &&
                      connection.input.empty() && connection.sent == output_size(connection);
    http_result result{.outcome = call_outcome::answered,
                       .response = take_response(*connection.parser)};
    const std::uint64_t call = connection.call;
    if (keep)
    {
        connection.has_served_call = true;
        make_idle(pool, connection);
    }
    else
    {
        // Bytes after the response belong to no call.
        close_connection(pool, connection.id);
    }
    finish_call(pool, call, std::move(result));
}

/** False if the status and headers of the response show that it belongs to another call. */
bool validate_header(pooled_connection& connection, const pooled_call& call)
{
    if (connection.header_validated || !connection.parser->is_header_done())
    {
        return true;
    }
    if (is_interim_status(connection.head.status))
    {
        return true;
    }
    connection.header_validated = true;
    return !call.call.validate_response ||
           call.call.validate_response(response_head(*connection.parser));
}

void start_parser(pooled_connection& connection, const pooled_call& call)
{
    connection.parser.emplace();
    connection.parser->eager(true);
    connection.parser->header_limit(max_header_bytes);
    connection.parser->body_limit(max_body_bytes);
    connection.parser->skip(call.call.method == "HEAD");
    connection.header_validated = false;
    connection.head = {};
    connection.checked_bytes = 0;
}

/** Returns why the lines of the head that have arrived are invalid; empty if they are not. */
std::string check_head(pooled_connection& connection)
{
    std::string defect = connection.head.status == 0 ? check_head_start(connection.input) : "";
    while (defect.empty() && !connection.head.complete)
    {
        const std::size_t end = connection.input.find('\n', connection.checked_bytes);
        if (end == std::string::npos)
        {
            break;
        }
        std::string_view line(connection.input.data() + connection.checked_bytes,
                              end - connection.checked_bytes);
        line.remove_suffix(line.ends_with('\r') ? 1 : 0);
        defect = check_head_line(connection.head, line);
        connection.checked_bytes = end + 1;
    }
    return defect;
}

/** Parses the buffered input. May destroy the connection. */
void parse_input(connection_pool& pool, pooled_connection& connection)
{
    pooled_call* call = find_call(pool, connection.call);
    while (call != nullptr && !connection.input.empty())
    {
        if (const std::string defect = check_head(connection); !defect.empty())
        {
            fail_connection(pool, connection.id, {.reason = unreadable_response(defect)});
            return;
        }
        boost::system::error_code problem;
        const std::size_t used =
            connection.parser->put(boost::asio::buffer(connection.input), problem);
        connection.input.erase(0, used);
        connection.checked_bytes -= std::min(used, connection.checked_bytes);
        const bool needs_more = problem == beast_http::error::need_more;
        if (problem && !needs_more)
        {
            fail_connection(pool, connection.id,
                            {.reason = unreadable_response(problem.message())});
            return;
        }
        if (!validate_header(connection, *call))
        {
            fail_connection(pool, connection.id,
                            {.reason = "the answer belongs to another call", .mismatched = true});
            return;
        }
        if (!connection.parser->is_done())
        {
            if (needs_more || used == 0)
            {
                return;
            }
            continue;
        }
        if (is_interim_status(connection.head.status))
        {
            start_parser(connection, *call);
            continue;
        }
        finish_response(pool, connection);
        return;
    }
}

/** Handles the end of the peer's output. */
void handle_eof(connection_pool& pool, pooled_connection& connection)
{
    const pooled_call* call = find_call(pool, connection.call);
    if (call != nullptr && connection.parser && connection.parser->is_header_done() &&
        connection.parser->get().need_eof() && call->call.accept_unframed)
    {
        boost::system::error_code problem;
        connection.parser->put_eof(problem);
        if (!problem && connection.parser->is_done())
        {
            finish_response(pool, connection);
            return;
        }
    }
    fail_connection(pool, connection.id, connection_lost_result("the connection was closed"));
}

std::size_t received_bytes(const pooled_connection& connection)
{
    const std::size_t body = connection.parser ? connection.parser->get().body().size() : 0;
    return connection.input.size() + body;
}

/** Aborts the largest partial response if all of them together exceed max_received_bytes. */
void limit_received_bytes(connection_pool& pool, const pooled_connection& updated)
{
    // Avoids a scan of all connections after each read of a small response.
    constexpr std::size_t large_bytes = 1U << 20U;
    if (received_bytes(updated) < std::min(large_bytes, pool.options.max_received_bytes))
    {
        return;
    }
    std::size_t total_bytes = 0;
    std::size_t largest_bytes = 0;
    std::uint64_t largest = 0;
    for (const auto& [id, connection] : pool.connections)
    {
        const std::size_t bytes = received_bytes(*connection);
        total_bytes += bytes;
        if (bytes > largest_bytes)
        {
            largest_bytes = bytes;
            largest = id;
        }
    }
    if (total_bytes > pool.options.max_received_bytes)
    {
        fail_connection(pool, largest,
                        {.reason = "the answer is larger than there is memory for: " +
                                   std::to_string(largest_bytes) + " bytes are received"});
    }
}

void read_connection(connection_pool& pool, pooled_connection& connection)
{
    std::array<char, read_buffer_bytes> buffer; // NOLINT: filled by recv
    const ssize_t result = ::recv(connection.fd, buffer.data(), buffer.size(), 0);
    if (result < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR))
    {
        return;
    }
    if (connection.stage != connection_stage::busy)
    {
        // No call is active: the peer closed the connection or sent a late response.
        fail_connection(pool, connection.id,
                        connection_lost_result("the connection was closed while idle"));
        return;
    }
    if (result < 0)
    {
        fail_connection(
            pool, connection.id,
            connection_lost_result(std::string("the connection failed: ") + std::strerror(errno)));
        return;
    }
    if (result == 0)
    {
        handle_eof(pool, connection);
        return;
    }
    connection.input.append(buffer.data(), static_cast<std::size_t>(result));
    const std::uint64_t id = connection.id;
    parse_input(pool, connection);
    if (const pooled_connection* open = find_connection(pool, id))
    {
        limit_received_bytes(pool, *open);
    }
}

/** Sends the rest of the head and the body with one system call. */
ssize_t send_next(const pooled_connection& connection)
{
    const std::size_t head = std::min(connection.sent, connection.output.size());
    const std::size_t body = connection.sent - head;
    std::array<iovec, 2> parts{
        iovec{const_cast<char*>(connection.output.data()) + head, // NOLINT: only read
              connection.output.size() - head},
        iovec{}};
    if (connection.body)
    {
        parts[1] = {const_cast<char*>(connection.body->data()) + body, // NOLINT: only read
                    connection.body->size() - body};
    }
    const msghdr message{.msg_iov = parts.data(), .msg_iovlen = parts.size()};
    return ::sendmsg(connection.fd, &message, MSG_NOSIGNAL);
}

/** False if the connection failed. */
bool send_output(pooled_connection& connection)
{
    while (connection.sent < output_size(connection))
    {
        const ssize_t result = send_next(connection);
        if (result < 0)
        {
            return errno == EAGAIN || errno == EWOULDBLOCK;
        }
        connection.sent += static_cast<std::size_t>(result);
    }
    return true;
}

std::string request_head(const pool_call& call)
{
    std::string text = call.method + " " + call.target + " HTTP/1.1\r\n";
    append_headers(text, call.headers);
    const bool has_body = !call.shared_body->empty() || call.method == "POST" ||
                          call.method == "PUT" || call.method == "PATCH";
    if (has_body)
    {
        text += "Content-Length: " + std::to_string(call.shared_body->size()) + "\r\n";
    }
    return text + "\r\n";
}

void send_call(connection_pool& pool, pooled_connection& connection, const pooled_call& call)
{
    connection.stage = connection_stage::busy;
    connection.output = request_head(call.call);
    connection.body = call.call.shared_body;
    connection.sent = 0;
    connection.input.clear();
    start_parser(connection, call);
    if (!send_output(connection))
    {
        const std::uint64_t id = connection.id;
        run_after(
            *pool.loop, 0,
            [&pool, id]
            { fail_connection(pool, id, connection_lost_result("the connection was closed")); });
        return;
    }
    update_watch(pool, connection);
}

void set_call_timer(connection_pool& pool, std::uint64_t id, time_ms delay,
                    std::function<void()> callback)
{
    pooled_call& call = *find_call(pool, id);
    if (call.timer)
    {
        cancel_timer(*pool.loop, *call.timer);
    }
    call.timer = run_after(*pool.loop, std::max<time_ms>(delay, 1), std::move(callback));
}

void handle_timeout(connection_pool& pool, std::uint64_t id)
{
    pooled_call* call = find_call(pool, id);
    if (call == nullptr)
    {
        return;
    }
    call->timer.reset();
    const pooled_connection* connection = find_connection(pool, call->connection);
    const bool connecting =
        connection != nullptr && connection->stage == connection_stage::connecting;
    const std::string peer = to_string(call->call.peer);
    close_connection(pool, call->connection);
    close_idle(pool, peer);
    finish_call(pool, id,
                {.outcome = connecting ? call_outcome::not_sent : call_outcome::unknown,
                 .reason = connecting ? "no connection in time" : "no answer in time",
                 .timed_out = true});
}

void handle_connected(connection_pool& pool, pooled_connection& connection)
{
    int problem = 0;
    socklen_t size = sizeof(problem);
    ::getsockopt(connection.fd, SOL_SOCKET, SO_ERROR, &problem, &size);
    if (problem != 0)
    {
        fail_connection(pool, connection.id,
                        {.outcome = call_outcome::not_sent,
                         .reason = std::string("no connection: ") + std::strerror(problem)});
        return;
    }
    if (connection.probe)
    {
        const auto probe = std::exchange(connection.probe, {});
        make_idle(pool, connection);
        probe(true);
        return;
    }
    pooled_call* call = find_call(pool, connection.call);
    if (call == nullptr)
    {
        make_idle(pool, connection);
        return;
    }
    const std::uint64_t call_number = connection.call;
    set_call_timer(pool, call_number, call->deadline - steady_now(),
                   [&pool, call_number] { handle_timeout(pool, call_number); });
    send_call(pool, connection, *call);
}

void handle_event(connection_pool& pool, std::uint64_t id)
{
    pooled_connection* connection = find_connection(pool, id);
    if (connection == nullptr)
    {
        return;
    }
    if (connection->stage == connection_stage::connecting)
    {
        handle_connected(pool, *connection);
        return;
    }
    if (connection->sent < output_size(*connection))
    {
        if (!send_output(*connection))
        {
            fail_connection(pool, id, connection_lost_result("the connection was closed"));
            return;
        }
        update_watch(pool, *connection);
    }
    read_connection(pool, *connection);
}

/** Starts to connect. Returns null and sets the reason if that fails immediately. */
pooled_connection* open_connection(connection_pool& pool, const endpoint& peer, std::string& reason)
{
    const auto address = socket_address(peer);
    if (!address)
    {
        reason = "'" + peer.address + "' is not an IPv4 address";
        return nullptr;
    }
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0)
    {
        reason = std::string("no socket: ") + std::strerror(errno);
        return nullptr;
    }
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&*address), sizeof(*address)) != 0 &&
        errno != EINPROGRESS)
    {
        reason = std::string("no connection: ") + std::strerror(errno);
        ::close(fd);
        return nullptr;
    }
    auto created = std::make_unique<pooled_connection>();
    pooled_connection& connection = *created;
    connection.id = ++pool.last_id;
    connection.fd = fd;
    connection.peer = to_string(peer);
    pool.connections[connection.id] = std::move(created);
    update_watch(pool, connection);
    return &connection;
}

/**
 * Takes the most recently used idle connection to the peer, unless it was idle for too long. In
 * that case the oldest one is closed and null is returned: the caller opens a new connection in its
 * place, so that there are never more connections than there were concurrent calls.
 */
pooled_connection* acquire_idle(connection_pool& pool, const pool_call& call)
{
    std::vector<std::uint64_t>& idle = pool.idle[to_string(call.peer)];
    if (idle.empty())
    {
        return nullptr;
    }
    pooled_connection* connection = find_connection(pool, idle.back());
    if (steady_now() - connection->idle_since > call.max_idle)
    {
        close_connection(pool, idle.front());
        return nullptr;
    }
    idle.pop_back();
    return connection;
}

void start_call(connection_pool& pool, std::uint64_t id)
{
    pooled_call& call = *find_call(pool, id);
    pooled_connection* connection = acquire_idle(pool, call.call);
    const time_ms left = call.deadline - steady_now();
    if (connection != nullptr)
    {
        connection->call = id;
        call.connection = connection->id;
        set_call_timer(pool, id, left, [&pool, id] { handle_timeout(pool, id); });
        send_call(pool, *connection, call);
        return;
    }
    std::string reason;
    connection = open_connection(pool, call.call.peer, reason);
    if (connection == nullptr)
    {
        defer_finish_call(pool, id,
                          {.outcome = call_outcome::not_sent, .reason = std::move(reason)});
        return;
    }
    connection->call = id;
    call.connection = connection->id;
    set_call_timer(pool, id, std::min(left, call.call.connect_timeout),
                   [&pool, id] { handle_timeout(pool, id); });
}

void sweep(connection_pool& pool)
{
    std::vector<std::uint64_t> expired;
    for (const auto& [id, connection] : pool.connections)
    {
        if (connection->stage == connection_stage::idle &&
            steady_now() - connection->idle_since > max_idle_ms)
        {
            expired.push_back(id);
        }
    }
    for (const std::uint64_t id : expired)
    {
        close_connection(pool, id);
    }
}

} // namespace

void connection_pool_deleter::operator()(connection_pool* pool) const
{
    cancel_timer(*pool->loop, pool->sweep_timer);
    for (auto& [id, call] : pool->calls)
    {
        if (call->timer)
        {
            cancel_timer(*pool->loop, *call->timer);
        }
    }
    while (!pool->connections.empty())
    {
        close_connection(*pool, pool->connections.begin()->first);
    }
    delete pool;
}

connection_pool_ptr open_connection_pool(event_loop& loop, const connection_pool_options& options)
{
    connection_pool_ptr pool(new connection_pool);
    pool->loop = &loop;
    pool->options = options;
    connection_pool* raw = pool.get();
    pool->sweep_timer = run_every(loop, sweep_interval_ms, [raw] { sweep(*raw); });
    return pool;
}

call_id send_request(connection_pool& pool, pool_call call, std::function<void(http_result)> done)
{
    const std::uint64_t id = ++pool.last_id;
    auto created = std::make_unique<pooled_call>();
    created->deadline = steady_now() + call.timeout;
    created->call = std::move(call);
    if (!created->call.shared_body)
    {
        created->call.shared_body =
            std::make_shared<const std::string>(std::exchange(created->call.body, {}));
    }
    created->done = std::move(done);
    pool.calls[id] = std::move(created);
    start_call(pool, id);
    return {id};
}

void cancel_call(connection_pool& pool, call_id id)
{
    auto entry = pool.calls.extract(id.value);
    if (entry.empty())
    {
        return;
    }
    if (entry.mapped()->timer)
    {
        cancel_timer(*pool.loop, *entry.mapped()->timer);
    }
    close_connection(pool, entry.mapped()->connection);
}

void probe_peer(connection_pool& pool, const endpoint& peer, time_ms timeout,
                std::function<void(bool accepted)> done)
{
    std::string reason;
    pooled_connection* connection = open_connection(pool, peer, reason);
    if (connection == nullptr)
    {
        run_after(*pool.loop, 0, [done = std::move(done)] { done(false); });
        return;
    }
    connection->probe = std::move(done);
    run_after(*pool.loop, timeout,
              [&pool, id = connection->id]
              {
                  const pooled_connection* probed = find_connection(pool, id);
                  if (probed != nullptr && probed->probe)
                  {
                      fail_connection(pool, id, {.reason = "no connection in time"});
                  }
              });
}

time_ms max_reuse_idle(bool retryable)
{
    return retryable ? retryable_idle_ms : non_retryable_idle_ms;
}

time_ms max_peer_reuse_idle(bool retryable)
{
    return retryable ? retryable_peer_idle_ms : non_retryable_peer_idle_ms;
}

std::size_t open_connections(const connection_pool& pool)
{
    return pool.connections.size();
}

} // namespace sardinepoint
