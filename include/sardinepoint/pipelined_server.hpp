#pragma once

#include "intake/gate.hpp"

#include "sardinepoint/config.hpp"
#include "sardinepoint/event_loop.hpp"
#include "sardinepoint/http.hpp"
#include "sardinepoint/http_server.hpp"
#include "sardinepoint/send_turns.hpp"
#include "sardinepoint/settings.hpp"

#include <cstdint>
#include <memory>

namespace sardinepoint
{

/**
 * HTTP/1.1 server that supports pipelining. The requests of a connection are handled concurrently
 * and answered in the order in which they arrived, and a closed connection is detected immediately.
 * libmicrohttpd supports neither.
 */
class pipelined_server;

struct pipelined_server_deleter
{
    void operator()(pipelined_server* server) const;
};

using pipelined_server_ptr = std::unique_ptr<pipelined_server, pipelined_server_deleter>;

struct pipelined_server_options
{
    endpoint address;
    std::size_t max_connections = 1500;
    /** Maximum number of unanswered requests of a connection; further ones are read later. */
    std::size_t max_pipelined = 64;
    caller_limits limits;
    /**
     * Schedules large responses together with those of the other servers that share it; null sends
     * each one immediately. Must outlive the server.
     */
    send_turns* turns = nullptr;
    /** Limits that are shared with the process's other servers; without a gate none apply. */
    intake::gate_options intake;
};

pipelined_server_ptr open_pipelined_server(event_loop& loop,
                                           const pipelined_server_options& options,
                                           http_server_callbacks callbacks, error& reason);

/** Port that the server listens on. */
std::uint16_t bound_port(const pipelined_server& server);

/** Replaces the limits for callers, for open connections too. */
void set_limits(pipelined_server& server, const caller_limits& limits);

/** Responds to a request. A response to a cancelled or unknown request is discarded. */
void send_response(pipelined_server& server, request_id id, http_response response);

/**
 * Accepts a limited number of pending connections and closes the listening socket. Returns false if
 * it is already closed.
 */
bool stop_accepting(pipelined_server& server);

/** Makes each connection close with the response to the last request that was read on it. */
void close_after_responses(pipelined_server& server);

/**
 * Number of requests whose response is not available or not next in order yet, plus one for each
 * connection whose output is not completely sent.
 */
std::size_t pending_requests(const pipelined_server& server);

/** Number of open connections. */
std::size_t open_connections(const pipelined_server& server);

} // namespace sardinepoint
