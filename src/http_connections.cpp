#include "http_connections.hpp"

#include <netinet/in.h>
#include <sys/socket.h>

#include <utility>
#include <vector>

namespace sardinepoint::detail
{

namespace
{

// Time for the first request of a connection and for the head of any request.
constexpr time_ms head_timeout_ms = 15'000;

/** Makes room if the server has as many connections as it may have. */
void evict_connection(http_server& server, std::uint64_t newest)
{
    std::vector<intake::connection_state> states;
    for (const auto& [id, connection] : server.connections)
    {
        if (!connection->dropped && id != newest)
        {
            const exchange* current = connection->current;
            states.push_back(
                {.connection = id,
                 .busy = current != nullptr && current->state != exchange_state::receiving,
                 .completed = connection->completed,
                 .last_activity = current == nullptr ? connection->idle_since
                                                     : current->transfer.progressed_at});
        }
    }
    if (states.size() < server.options.intake.limits.max_connections)
    {
        return;
    }
    intake::record_refusal(server.gate, "connections");
    drop_connection(server, intake::choose_to_evict(states).value_or(newest));
}

std::uint32_t peer_of(MHD_Connection* connection)
{
    const MHD_ConnectionInfo* info =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
    if (info == nullptr || info->client_addr->sa_family != AF_INET)
    {
        return 0;
    }
    return reinterpret_cast<const sockaddr_in*>(info->client_addr)->sin_addr.s_addr;
}

/** Reason to disconnect a client that is too slow; null if it isn't. */
const char* slowness(const http_server& server, const server_connection& connection, time_ms now)
{
    const exchange* current = connection.current;
    if (current == nullptr)
    {
        // Between requests libmicrohttpd doesn't tell an idle client from one that sends a head
        // byte by byte.
        const time_ms limit = connection.completed == 0
                                  ? head_timeout_ms
                                  : static_cast<time_ms>(server.options.idle_timeout_s) * 1000;
        return now - connection.idle_since > limit ? "slow_head" : nullptr;
    }
    if (current->state == exchange_state::receiving)
    {
        if (current->connection == nullptr)
        {
            return now - current->transfer.started_at > head_timeout_ms ? "slow_head" : nullptr;
        }
        return intake::is_too_slow(current->transfer, server.options.intake.limits.pace, now)
                   ? "slow_body"
                   : nullptr;
    }
    // How much of a response was sent isn't known, so only its whole time is limited.
    const intake::transfer sending{.started_at = current->transfer.started_at,
                                   .progressed_at = now,
                                   .bytes = current->transfer.bytes};
    return current->state == exchange_state::sending &&
                   intake::is_too_slow(sending, server.options.intake.limits.pace, now)
               ? "slow_response"
               : nullptr;
}

} // namespace

http_server& as_server(void* context)
{
    return *static_cast<http_server*>(context);
}

int connection_fd(MHD_Connection* connection)
{
    const MHD_ConnectionInfo* info =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    return info == nullptr ? -1 : info->connect_fd;
}

void drop_connection(http_server& server, std::uint64_t id)
{
    const auto found = server.connections.find(id);
    if (found == server.connections.end() || found->second->dropped)
    {
        return;
    }
    server_connection& dropped = *found->second;
    dropped.dropped = true;
    ::shutdown(dropped.fd, SHUT_RDWR);
    server.needs_run = true;
    exchange* current = dropped.current;
    if (current == nullptr)
    {
        return;
    }
    if (current->state == exchange_state::receiving)
    {
        current->request.body = {};
        intake::hold(server.gate, id, 0);
    }
    else if (current->state == exchange_state::pending && !current->cancelled)
    {
        current->cancelled = true;
        const std::uint64_t request = current->id;
        if (server.callbacks.on_cancelled)
        {
            server.callbacks.on_cancelled({request});
        }
        // A suspended connection would never be released.
        send_response(server, {request}, {.status = 503, .headers = {}, .body = {}});
    }
}

void handle_connection(void* context, MHD_Connection* connection, void** socket_context,
                       MHD_ConnectionNotificationCode code)
{
    http_server& server = as_server(context);
    if (code == MHD_CONNECTION_NOTIFY_CLOSED)
    {
        if (const auto* closed = static_cast<server_connection*>(*socket_context))
        {
            intake::close_connection(server.gate, closed->id);
            server.connections.erase(closed->id);
        }
        *socket_context = nullptr;
        return;
    }
    auto created = std::make_unique<server_connection>();
    created->id = ++server.last_connection;
    created->connection = connection;
    created->fd = connection_fd(connection);
    created->idle_since = steady_now();
    *socket_context = created.get();
    const std::uint64_t id = created->id;
    server.connections[id] = std::move(created);
    intake::open_connection(server.gate, id, peer_of(connection));
    if (server.gate.gate != nullptr)
    {
        evict_connection(server, id);
    }
}

void drop_slow_connections(http_server& server)
{
    const time_ms now = steady_now();
    std::vector<std::pair<std::uint64_t, const char*>> slow;
    for (const auto& [id, connection] : server.connections)
    {
        const char* reason = connection->dropped ? nullptr : slowness(server, *connection, now);
        if (reason != nullptr)
        {
            slow.emplace_back(id, reason);
        }
    }
    for (const auto& [id, reason] : slow)
    {
        intake::record_refusal(server.gate, reason);
        drop_connection(server, id);
    }
}

} // namespace sardinepoint::detail
