#pragma once

#include "sardinepoint/event_loop.hpp"
#include "sardinepoint/http.hpp"

#include <cstdint>
#include <functional>
#include <memory>

namespace sardinepoint
{

/** HTTP/1.1 listener on the event loop. */
class http_server;

struct http_server_deleter
{
    void operator()(http_server* server) const;
};

using http_server_ptr = std::unique_ptr<http_server, http_server_deleter>;

/** Names one request of a server; a value never comes twice. */
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
};

/** Callbacks of a server. Each request is answered once with send_reply, at any later time. */
struct http_server_callbacks
{
    std::function<void(request_id, http_request)> on_request;
    /** The peer closed its connection before the answer; may be empty. */
    std::function<void(request_id)> on_cancelled;
};

http_server_ptr open_http_server(event_loop& loop, const http_server_options& options,
                                 http_server_callbacks callbacks, error& reason);

/** Port the server listens on. */
std::uint16_t bound_port(const http_server& server);

/** Answers a request. An answer to a request that is gone is dropped. */
void send_reply(http_server& server, request_id id, http_response response);

/** Stops accepting connections; requests in progress go on. */
void stop_accepting(http_server& server);

/** From now on each answer closes its connection. */
void close_after_responses(http_server& server);

/** Number of requests that are not answered yet or whose answer isn't sent completely. */
std::size_t pending_requests(const http_server& server);

/** Number of open connections. */
std::size_t open_connections(const http_server& server);

/** Bytes of requests and responses handled so far, with their headers. */
std::uint64_t transferred_bytes(const http_server& server);

} // namespace sardinepoint
