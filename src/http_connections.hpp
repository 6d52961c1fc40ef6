#pragma once

#include "sardinepoint/http_server.hpp"

#include <microhttpd.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <unordered_map>

namespace sardinepoint
{

namespace detail
{

enum class exchange_state
{
    receiving,
    pending,
    ready,
    sending,
};

struct exchange;

/** A connection, from the accept until libmicrohttpd releases it. */
struct server_connection
{
    std::uint64_t id = 0;
    MHD_Connection* connection = nullptr;
    int fd = -1;
    exchange* current = nullptr;
    std::uint64_t completed = 0;
    /** Steady time of the accept or of the end of the last request. */
    time_ms idle_since = 0;
    /** The socket is shut down and waits to be released. */
    bool dropped = false;
};

struct exchange
{
    std::uint64_t id = 0;
    server_connection* owner = nullptr;
    /** The body that is being received, or the response that is being sent. */
    intake::transfer transfer;
    exchange_state state = exchange_state::receiving;
    http_request request;
    http_response response;
    MHD_Connection* connection = nullptr;
    bool suspended = false;
    bool cancelled = false;
};

} // namespace detail

/** State of a server. */
class http_server
{
public:
    event_loop* loop = nullptr;
    MHD_Daemon* daemon = nullptr;
    int epoll_fd = -1;
    http_server_options options;
    http_server_callbacks callbacks;
    std::unordered_map<std::uint64_t, detail::exchange*> pending;
    std::unordered_map<std::uint64_t, std::unique_ptr<detail::server_connection>> connections;
    std::uint64_t last_connection = 0;
    intake::gate_handle gate;
    timer_id sweep_timer;
    /** Requests whose request line has arrived and whose response is not completely sent yet. */
    std::size_t exchanges = 0;
    bool closing = false;
    timer_id cancel_timer;
    wait_limit_id wait_limit;
    std::uint64_t last_id = 0;
    std::uint64_t bytes = 0;
    bool accepting = true;
    bool needs_run = false;
};

namespace detail
{

http_server& as_server(void* context);

int connection_fd(MHD_Connection* connection);

/** libmicrohttpd's notification of an opened or closed connection. */
void handle_connection(void* context, MHD_Connection* connection, void** socket_context,
                       MHD_ConnectionNotificationCode code);

/** Disconnects a client; libmicrohttpd releases the connection in its next iteration. */
void drop_connection(http_server& server, std::uint64_t id);

/** Disconnects the clients that send or read too slowly. */
void drop_slow_connections(http_server& server);

} // namespace detail

} // namespace sardinepoint
