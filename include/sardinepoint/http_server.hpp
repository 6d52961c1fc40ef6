#pragma once

#include "intake/gate.hpp"

#include "sardinepoint/event_loop.hpp"
#include "sardinepoint/http.hpp"

#include <cstdint>
#include <functional>
#include <memory>

namespace sardinepoint
{

/** HTTP/1.1 server driven by the event loop. */
class http_server;

struct http_server_deleter
{
    void operator()(http_server* server) const;
};

using http_server_ptr = std::unique_ptr<http_server, http_server_deleter>;

/** Identifies a request of a server. Values are never reused. */
struct request_id
{
    std::uint64_t value = 0;
};

struct http_server_options
{
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;
    std::size_t max_body_bytes = 16U << 20U;
    unsigned max_connections = 1000;
    unsigned idle_timeout_s = 60;
    io_priority priority = io_priority::normal;
    /** Limits that are shared with the process's other servers; without a gate none apply. */
    intake::gate_options intake;
};

/** Callbacks of a server. Each request is answered once with send_response(), now or later. */
struct http_server_callbacks
{
    std::function<void(request_id, http_request)> on_request;
    /** The peer closed its connection before the response was sent. May be empty. */
    std::function<void(request_id)> on_cancelled;
};

http_server_ptr open_http_server(event_loop& loop, const http_server_options& options,
                                 http_server_callbacks callbacks, error& reason);

/** Port that the server listens on. */
std::uint16_t bound_port(const http_server& server);

/** Responds to a request. A response to a cancelled or unknown request is discarded. */
void send_response(http_server& server, request_id id, http_response response);

/** Stops accepting connections. Requests in progress continue. */
void stop_accepting(http_server& server);

/** Makes each subsequent response close its connection. */
void close_after_responses(http_server& server);

/** Number of requests whose response is not completely sent yet. */
std::size_t pending_requests(const http_server& server);

/** Number of open connections. */
std::size_t open_connections(const http_server& server);

/** Bytes of all requests and responses so far, including headers. */
std::uint64_t transferred_bytes(const http_server& server);

} // namespace sardinepoint
