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
 * HTTP/1.1 client of the data path with a pool of persistent connections for each peer. A peer
 * never has more connections than there were concurrent calls to it, not counting probes. Unlike
 * libcurl, the pool never resends a call, which would bypass the retry budget; it detects bytes
 * that arrive between two calls; and it needs only three system calls for a call on a reused
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
    /** Raw path with the query string. */
    std::string target;
    /** Must include Host. The pool adds the framing headers. */
    std::vector<http_header> headers;
    std::string body;
    /** Replaces `body` if set, so that several attempts share one copy. */
    std::shared_ptr<const std::string> shared_body = {};
    time_ms timeout = 5000;
    time_ms connect_timeout = 1000;
    /** Maximum idle time of a connection that is reused for the call. */
    time_ms max_idle = 5000;
    /** Accepts a response without a length that ends with its connection. */
    bool accept_unframed = false;
    /**
     * Returns whether a response belongs to the call, given its status and headers. If not, the
     * call fails and its connection is closed. May be empty.
     */
    std::function<bool(const http_response&)> validate_response = {};
};

struct connection_pool_options
{
    /** Maximum size of all partial responses together. If exceeded, the largest is aborted. */
    std::size_t max_received_bytes = 64U << 20U;
};

connection_pool_ptr open_connection_pool(event_loop& loop,
                                         const connection_pool_options& options = {});

/** Starts a call. The callback runs once, asynchronously, unless the call is cancelled. */
call_id send_request(connection_pool& pool, pool_call call, std::function<void(http_result)> done);

/** Aborts a call and closes its connection. The callback doesn't run. */
void cancel_call(connection_pool& pool, call_id id);

/**
 * Opens a connection to check whether the peer accepts it. The connection is kept for later calls.
 */
void probe_peer(connection_pool& pool, const endpoint& peer, time_ms timeout,
                std::function<void(bool accepted)> done);

/** Maximum idle time after which a connection to an upstream is still reused for a call. */
time_ms max_reuse_idle(bool retryable);

/** Maximum idle time after which a connection to another daemon is still reused for a call. */
time_ms max_peer_reuse_idle(bool retryable);

/** Number of open connections, including idle ones. */
std::size_t open_connections(const connection_pool& pool);

} // namespace sardinepoint
