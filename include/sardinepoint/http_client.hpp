#pragma once

#include "sardinepoint/event_loop.hpp"
#include "sardinepoint/http.hpp"

#include <cstdint>
#include <functional>
#include <memory>

namespace sardinepoint
{

/** HTTP/1.1 client with persistent connections, driven by the event loop. */
class http_client;

struct http_client_deleter
{
    void operator()(http_client* client) const;
};

using http_client_ptr = std::unique_ptr<http_client, http_client_deleter>;

/** Identifies a call of a client. Values are never reused. */
struct call_id
{
    std::uint64_t value = 0;
};

/** What is known about a finished call. */
enum class call_outcome
{
    /** A complete response arrived. */
    answered,
    /** It is certain that no byte of the request was sent. */
    not_sent,
    /** The request may have been executed. */
    unknown,
};

struct http_call
{
    std::string method = "GET";
    std::string url;
    std::vector<http_header> headers;
    std::string body;
    time_ms timeout = 5000;
    time_ms connect_timeout = 1000;
    /**
     * Longest time without any transferred byte, rounded down to whole seconds but at least one; 0
     * disables it.
     */
    time_ms stall_timeout = 0;
    /** A connection that was idle for longer isn't reused; rounded down to whole seconds. */
    time_ms max_connection_idle = 30'000;
    /** Whether the client itself may resend the request. */
    bool retryable = true;
};

struct http_result
{
    call_outcome outcome = call_outcome::unknown;
    http_response response;
    std::string reason;
    /** The peer closed or reset the connection before the response was complete. */
    bool connection_lost = false;
    bool timed_out = false;
    /** The received response belongs to another call. */
    bool mismatched = false;
};

struct http_client_options
{
    /** Maximum number of connections kept open to all peers. */
    long max_connections = 256;
    /** Maximum number of open connections to one peer; further calls wait. */
    long max_connections_per_peer = 130;
    std::size_t max_body_bytes = 16U << 20U;
    /** Source address of connections; empty lets the system choose. */
    std::string local_address;
    io_priority priority = io_priority::normal;
};

http_client_ptr open_http_client(event_loop& loop, const http_client_options& options);

/** Starts a call. The callback runs once, asynchronously, unless the call is cancelled. */
call_id send_request(http_client& client, http_call call, std::function<void(http_result)> done);

/** Aborts a call and closes its connection. The callback doesn't run. */
void cancel_call(http_client& client, call_id id);

/** Bytes sent and received by finished calls, including request lines, status lines and headers. */
std::uint64_t transferred_bytes(const http_client& client);

} // namespace sardinepoint
