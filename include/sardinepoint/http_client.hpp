#pragma once

#include "sardinepoint/event_loop.hpp"
#include "sardinepoint/http.hpp"

#include <cstdint>
#include <functional>
#include <memory>

namespace sardinepoint
{

/** HTTP/1.1 client with kept connections on the event loop. */
class http_client;

struct http_client_deleter
{
    void operator()(http_client* client) const;
};

using http_client_ptr = std::unique_ptr<http_client, http_client_deleter>;

/** Names one call of a client; a value never comes twice. */
struct call_id
{
    std::uint64_t value = 0;
};

/** What is known about a call that has ended. */
enum class call_outcome
{
    /** A complete answer arrived. */
    answered,
    /** Proven: no byte of the request was sent. */
    not_sent,
    /** The request may have been run. */
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
    /** Longest time in which no byte comes, in whole seconds; 0 leaves it to the timeout. */
    time_ms stall_timeout = 0;
    /** Whether the client may send the request a second time on its own. */
    bool retryable = true;
};

struct http_result
{
    call_outcome outcome = call_outcome::unknown;
    http_response response;
    std::string reason;
    /** The peer closed or reset the connection before a complete answer. */
    bool connection_lost = false;
    bool timed_out = false;
    /** What came was not the answer to this call. */
    bool mismatched = false;
};

struct http_client_options
{
    /** Most connections kept open in total, and to one peer. */
    long max_connections = 256;
    long max_connections_per_peer = 130;
    std::size_t max_body_bytes = 16U << 20U;
    /** Address that connections come from; empty lets the system choose. */
    std::string local_address;
    io_priority priority = io_priority::normal;
};

http_client_ptr open_http_client(event_loop& loop, const http_client_options& options);

/** Starts a call; the callback runs once, later, unless the call is cancelled. */
call_id send_request(http_client& client, http_call call, std::function<void(http_result)> done);

/** Aborts a call and closes its connection; its callback doesn't run. */
void cancel_call(http_client& client, call_id id);

/** Bytes sent and received by finished calls, with request and status lines and headers. */
std::uint64_t transferred_bytes(const http_client& client);

} // namespace sardinepoint
