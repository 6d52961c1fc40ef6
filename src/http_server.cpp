#include "http_connections.hpp"
#include "socket_address.hpp"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

namespace sardinepoint
{

namespace
{

using detail::as_server;
using detail::exchange;
using detail::exchange_state;
using detail::server_connection;

// libmicrohttpd doesn't watch suspended connections, so disconnected peers are found by polling.
constexpr time_ms cancel_poll_interval_ms = 20;
// "HTTP/1.1", two spaces, the line end and the empty line.
constexpr std::uint64_t request_line_bytes = 14;
// Status line, Content-Length header and empty line of a typical response.
constexpr std::uint64_t status_line_bytes = 40;
constexpr time_ms sweep_interval_ms = 500;
// Accounted for a request in addition to its body: header list, connection buffers.
constexpr std::size_t exchange_overhead_bytes = 4096;
// Connections that were told to close but are still open.
constexpr unsigned closing_connections = 16;

server_connection* connection_of(MHD_Connection* connection)
{
    const MHD_ConnectionInfo* info =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
    return info == nullptr ? nullptr : static_cast<server_connection*>(info->socket_context);
}

void* start_exchange(void* context, const char* uri, MHD_Connection* connection)
{
    auto created = std::make_unique<exchange>();
    created->owner = connection_of(connection);
    created->transfer.started_at = steady_now();
    created->transfer.progressed_at = created->transfer.started_at;
    if (created->owner != nullptr)
    {
        created->owner->current = created.get();
    }
    created->id = ++as_server(context).last_id;
    created->request.target = uri;
    ++as_server(context).exchanges;
    // Owned by the connection until finish_exchange() destroys it.
    return created.release();
}

MHD_Result collect_header(void* context, MHD_ValueKind, const char* key, const char* value)
{
    auto& headers = *static_cast<std::vector<http_header>*>(context);
    headers.push_back({key, value == nullptr ? "" : value});
    return MHD_YES;
}

std::uint64_t header_bytes(std::span<const http_header> headers)
{
    constexpr std::uint64_t separator_bytes = 4;
    std::uint64_t bytes = 0;
    for (const http_header& header : headers)
    {
        bytes += header.name.size() + header.value.size() + separator_bytes;
    }
    return bytes;
}

void hold_for(http_server& server, const exchange& current, std::size_t bytes)
{
    if (current.owner != nullptr)
    {
        intake::hold(server.gate, current.owner->id, bytes + exchange_overhead_bytes);
    }
}

MHD_Result queue_response(http_server& server, exchange& current)
{
    const http_response& response = current.response;
    server.bytes += response.body.size() + header_bytes(response.headers) + status_line_bytes;
    MHD_Response* mhd_response =
        MHD_create_response_from_buffer(response.body.size(),
                                        const_cast<char*>(response.body.data()), // NOLINT
                                        MHD_RESPMEM_MUST_COPY);
    for (const http_header& header : response.headers)
    {
        MHD_add_response_header(mhd_response, header.name.c_str(), header.value.c_str());
    }
    if (server.closing)
    {
        MHD_add_response_header(mhd_response, MHD_HTTP_HEADER_CONNECTION, "close");
    }
    const MHD_Result result = MHD_queue_response(
        current.connection, static_cast<unsigned>(response.status), mhd_response);
    MHD_destroy_response(mhd_response);
    hold_for(server, current, response.body.size());
    current.transfer = {
        .started_at = steady_now(), .progressed_at = steady_now(), .bytes = response.body.size()};
    current.state = exchange_state::sending;
    // libmicrohttpd has its own copy.
    current.response = {};
    return result;
}

/** Refuses a request before its body is read; libmicrohttpd then closes the connection. */
MHD_Result refuse_request(http_server& server, exchange& current, int status, const char* reason,
                          std::string message)
{
    intake::record_refusal(server.gate, reason);
    current.response = error_response(status, {error_kind::invalid_argument, std::move(message),
                                               "send fewer or smaller fields and bodies"});
    return queue_response(server, current);
}

/** Refuses a request whose head shows that it exceeds a limit; returns nothing if it doesn't. */
std::optional<MHD_Result> check_head(http_server& server, exchange& current)
{
    const std::size_t max_fields = server.options.intake.limits.max_fields;
    if (server.gate.gate != nullptr && current.request.headers.size() > max_fields)
    {
        return refuse_request(server, current, 431, "fields", "the request has too many fields");
    }
    const auto declared = find_header(current.request.headers, MHD_HTTP_HEADER_CONTENT_LENGTH);
    if (declared && intake::is_oversized(*declared, server.options.max_body_bytes))
    {
        return refuse_request(server, current, 413, "body",
                              "request body is larger than max_body_bytes");
    }
    return std::nullopt;
}

void dispatch_request(http_server& server, exchange& current)
{
    current.state = exchange_state::pending;
    server.pending[current.id] = &current;
    server.bytes += current.request.body.size() + current.request.target.size() +
                    current.request.method.size() + request_line_bytes +
                    header_bytes(current.request.headers);
    server.callbacks.on_request({current.id}, std::move(current.request));
}

/** Appends a piece of the body. Closes the connection if the body exceeds a limit. */
MHD_Result receive_body(http_server& server, exchange& current, std::string_view piece)
{
    if (current.state != exchange_state::receiving)
    {
        return MHD_YES;
    }
    if (current.request.body.size() + piece.size() > server.options.max_body_bytes)
    {
        // libmicrohttpd accepts no response while it receives a body.
        intake::record_refusal(server.gate, "body");
        current.request.body = {};
        return MHD_NO;
    }
    if (current.request.body.empty())
    {
        // Growing the body in steps would briefly hold it twice.
        const auto declared = find_header(current.request.headers, MHD_HTTP_HEADER_CONTENT_LENGTH);
        current.request.body.reserve(
            static_cast<std::size_t>(declared ? parse_integer(*declared).value_or(0) : 0));
    }
    current.request.body.append(piece);
    current.transfer.bytes += piece.size();
    current.transfer.progressed_at = steady_now();
    hold_for(server, current, current.request.body.size());
    if (current.owner != nullptr)
    {
        intake::note_progress(server.gate, current.owner->id, current.transfer.progressed_at);
    }
    intake::enforce(server.gate);
    return current.owner != nullptr && current.owner->dropped ? MHD_NO : MHD_YES;
}

MHD_Result handle_access(void* context, MHD_Connection* connection, const char*, const char* method,
                         const char*, const char* upload, std::size_t* upload_size,
                         void** exchange_slot)
{
    http_server& server = as_server(context);
    exchange& current = *static_cast<exchange*>(*exchange_slot);
    if (current.owner != nullptr && current.owner->dropped)
    {
        return MHD_NO;
    }
    if (current.connection == nullptr)
    {
        current.connection = connection;
        current.request.method = method;
        MHD_get_connection_values(connection, MHD_HEADER_KIND, &collect_header,
                                  &current.request.headers);
        hold_for(server, current, 0);
        return check_head(server, current).value_or(MHD_YES);
    }
    if (*upload_size > 0)
    {
        return receive_body(server, current, {upload, std::exchange(*upload_size, 0)});
    }
    if (current.state == exchange_state::receiving)
    {
        dispatch_request(server, current);
    }
    if (current.state == exchange_state::ready)
    {
        return queue_response(server, current);
    }
    current.suspended = true;
    MHD_suspend_connection(connection);
    return MHD_YES;
}

void finish_exchange(void* context, MHD_Connection*, void** exchange_slot,
                     MHD_RequestTerminationCode)
{
    http_server& server = as_server(context);
    std::unique_ptr<exchange> finished(static_cast<exchange*>(*exchange_slot));
    *exchange_slot = nullptr;
    if (!finished)
    {
        return;
    }
    --server.exchanges;
    if (server_connection* owner = finished->owner)
    {
        owner->current = nullptr;
        owner->idle_since = steady_now();
        ++owner->completed;
        intake::hold(server.gate, owner->id, 0);
        intake::note_completed(server.gate, owner->id);
    }
    const bool unanswered = server.pending.erase(finished->id) > 0;
    if (unanswered && !finished->cancelled && server.callbacks.on_cancelled)
    {
        server.callbacks.on_cancelled({finished->id});
    }
}

void cancel_disconnected_requests(http_server& server)
{
    std::vector<pollfd> polled;
    std::vector<std::uint64_t> ids;
    for (const auto& [id, current] : server.pending)
    {
        if (current->suspended && !current->cancelled)
        {
            polled.push_back({detail::connection_fd(current->connection), POLLRDHUP, 0});
            ids.push_back(id);
        }
    }
    if (polled.empty() || ::poll(polled.data(), polled.size(), 0) <= 0)
    {
        return;
    }
    for (std::size_t i = 0; i < polled.size(); ++i)
    {
        // A half-close counts as a cancellation, since no supported caller shuts down its sending
        // side while it waits for a response.
        if ((polled[i].revents & (POLLRDHUP | POLLHUP | POLLERR)) == 0)
        {
            continue;
        }
        const auto found = server.pending.find(ids[i]);
        if (found == server.pending.end())
        {
            continue;
        }
        found->second->cancelled = true;
        if (server.callbacks.on_cancelled)
        {
            server.callbacks.on_cancelled({ids[i]});
        }
        // Resumes the connection: a suspended one would never be released and would count as a
        // request in progress.
        send_response(server, {ids[i]}, {.status = 503, .headers = {}, .body = {}});
    }
}

/**
 * Runs libmicrohttpd until it has no immediate work left, for a limited number of steps: accepting
 * a connection, reading a request and sending its response are separate steps.
 */
void run_pending_steps(http_server& server)
{
    constexpr int max_steps = 4;
    MHD_UNSIGNED_LONG_LONG timeout = 0;
    for (int i = 0; i < max_steps && timeout == 0; ++i)
    {
        MHD_run(server.daemon);
        if (MHD_get_timeout(server.daemon, &timeout) != MHD_YES)
        {
            return;
        }
    }
}

time_ms server_wait_limit(http_server& server)
{
    // No epoll event reports the pending work of a resumed connection, and MHD_get_timeout reports
    // it only after the next MHD_run.
    if (std::exchange(server.needs_run, false))
    {
        MHD_run(server.daemon);
    }
    MHD_UNSIGNED_LONG_LONG timeout = 0;
    if (MHD_get_timeout(server.daemon, &timeout) != MHD_YES)
    {
        return -1;
    }
    server.needs_run = timeout == 0;
    return static_cast<time_ms>(timeout);
}

} // namespace

void http_server_deleter::operator()(http_server* server) const
{
    unwatch_fd(*server->loop, server->epoll_fd);
    cancel_timer(*server->loop, server->cancel_timer);
    cancel_timer(*server->loop, server->sweep_timer);
    intake::unregister_listener(server->gate);
    remove_wait_limit(*server->loop, server->wait_limit);
    server->callbacks = {};
    for (auto& [id, current] : server->pending)
    {
        if (current->suspended)
        {
            MHD_resume_connection(current->connection);
        }
    }
    stop_accepting(*server);
    MHD_stop_daemon(server->daemon);
    delete server;
}

http_server_ptr open_http_server(event_loop& loop, const http_server_options& options,
                                 http_server_callbacks callbacks, error& reason)
{
    const auto address = socket_address({options.address, options.port});
    if (!address)
    {
        reason = {error_kind::invalid_argument, "'" + options.address + "' is not an IPv4 address",
                  "give an address such as 127.0.0.1"};
        return nullptr;
    }
    std::unique_ptr<http_server> server = std::make_unique<http_server>();
    server->loop = &loop;
    server->options = options;
    server->callbacks = std::move(callbacks);
    const unsigned max_connections =
        options.intake.gate == nullptr
            ? options.max_connections
            : static_cast<unsigned>(options.intake.limits.max_connections) + closing_connections;
    server->daemon = MHD_start_daemon(
        // A Date header would add 37 bytes to each response to a peer.
        MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_SUPPRESS_DATE_NO_CLOCK, options.port,
        nullptr, nullptr, &handle_access, server.get(), MHD_OPTION_SOCK_ADDR, &*address,
        MHD_OPTION_URI_LOG_CALLBACK, &start_exchange, server.get(), MHD_OPTION_NOTIFY_COMPLETED,
        &finish_exchange, server.get(), MHD_OPTION_CONNECTION_LIMIT, max_connections,
        MHD_OPTION_NOTIFY_CONNECTION, &detail::handle_connection, server.get(),
        MHD_OPTION_CONNECTION_TIMEOUT, options.idle_timeout_s, MHD_OPTION_END);
    if (server->daemon == nullptr)
    {
        reason = {error_kind::internal,
                  "can't listen on " + options.address + ":" + std::to_string(options.port) + ": " +
                      std::strerror(errno),
                  "choose a free port or stop the process that uses it"};
        return nullptr;
    }
    server->epoll_fd = MHD_get_daemon_info(server->daemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd;
    http_server* raw = server.get();
    watch_fd(
        loop, raw->epoll_fd, {.read = true, .write = false},
        [raw](io_interest) { run_pending_steps(*raw); }, options.priority);
    raw->gate = intake::register_listener(options.intake, [raw](std::uint64_t id)
                                          { detail::drop_connection(*raw, id); });
    if (raw->gate.gate != nullptr)
    {
        raw->sweep_timer =
            run_every(loop, sweep_interval_ms, [raw] { detail::drop_slow_connections(*raw); });
    }
    raw->wait_limit = add_wait_limit(loop, [raw] { return server_wait_limit(*raw); });
    if (raw->callbacks.on_cancelled)
    {
        raw->cancel_timer =
            run_every(loop, cancel_poll_interval_ms, [raw] { cancel_disconnected_requests(*raw); });
    }
    return http_server_ptr(server.release());
}

std::uint16_t bound_port(const http_server& server)
{
    return MHD_get_daemon_info(server.daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
}

void send_response(http_server& server, request_id id, http_response response)
{
    const auto found = server.pending.find(id.value);
    if (found == server.pending.end())
    {
        return;
    }
    exchange& current = *found->second;
    server.pending.erase(found);
    current.response = std::move(response);
    current.state = exchange_state::ready;
    if (current.suspended)
    {
        current.suspended = false;
        MHD_resume_connection(current.connection);
        server.needs_run = true;
    }
}

void stop_accepting(http_server& server)
{
    if (!server.accepting)
    {
        return;
    }
    server.accepting = false;
    const int listen_fd = MHD_quiesce_daemon(server.daemon);
    if (listen_fd >= 0)
    {
        ::close(listen_fd);
    }
}

void close_after_responses(http_server& server)
{
    server.closing = true;
}

std::size_t pending_requests(const http_server& server)
{
    return server.exchanges;
}

std::size_t open_connections(const http_server& server)
{
    const MHD_DaemonInfo* info =
        MHD_get_daemon_info(server.daemon, MHD_DAEMON_INFO_CURRENT_CONNECTIONS);
    return info == nullptr ? 0 : info->num_connections;
}

std::uint64_t transferred_bytes(const http_server& server)
{
    return server.bytes;
}

} // namespace sardinepoint
