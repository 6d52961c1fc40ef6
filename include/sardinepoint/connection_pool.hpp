#pragma once

#include "sardinepoint/event_loop.hpp"
#include "sardinepoint/http.hpp"
#include "sardinepoint/http_client.hpp"
#include "sardinepoint/settings.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace sardinepoint
{

/**
 * HTTP/1.1 client of the data path: kept connections by peer, at no time more than calls ran at
 * once. Unlike libcurl it never sends a call a second time, which no budget of repeats would count,
 * sees bytes that come between two calls, and needs three system calls for a call on a kept
 * connection.
 */
class connection_pool;

struct connection_pool_deleter
{
    void operator()(connection_pool* pool) const;
};

using connection_pool_ptr = std::unique_ptr<connection_pool, connection_pool_deleter>;

struct pool_call
{
    endpoint peer;
    std::string method = "GET";
    /** Raw path with its query. */
    std::string target;
    /** With Host; framing headers are the pool's. */
    std::vector<http_header> headers;
    std::string body;
    time_ms timeout = 5000;
    time_ms connect_timeout = 1000;
    /** Longest time that a kept connection may have been idle to be used. */
    time_ms max_idle = 5000;
    /** Whether an answer may end with its connection instead of having a length. */
    bool accept_unframed = false;
    /** Judges an answer by its status and headers; one that isn't the call's ends the call and its
     * connection. May be empty. */
    std::function<bool(const http_response&)> validate_response = {};
};

struct connection_pool_options
{
    /** Bytes of answers that are being received; beyond it the largest of them is given up. */
    std::size_t max_received_bytes = 64U << 20U;
};

connection_pool_ptr open_connection_pool(event_loop& loop,
                                         const connection_pool_options& options = {});

/** Starts a call; the callback runs once, later, unless the call is cancelled. */
call_id send_request(connection_pool& pool, pool_call call, std::function<void(http_result)> done);

/** Aborts a call and closes its connection; its callback doesn't run. */
void cancel_call(connection_pool& pool, call_id id);

/** Opens a connection to learn whether the peer accepts one; it is kept for later calls. */
void probe_peer(connection_pool& pool, const endpoint& peer, time_ms timeout,
                std::function<void(bool accepted)> done);

/** Longest idle time of a kept connection to an upstream on which a call may still be sent. */
time_ms max_reuse_idle(bool retryable);

/** The same for a connection to another daemon. */
time_ms max_peer_reuse_idle(bool retryable);

/** Number of open connections, kept ones included. */
std::size_t open_connections(const connection_pool& pool);

} // namespace sardinepoint
