#pragma once

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
 * HTTP/1.1 listener for callers that send further requests before the first is answered. The
 * requests of a connection are handled at the same time and answered in their order; a caller that
 * closes its connection is noticed at once. libmicrohttpd does neither.
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
    /** Unanswered requests of one connection; more are read when some are answered. */
    std::size_t max_pipelined = 64;
    caller_limits limits;
    /** Large answers are sent in turn with those of the other listeners that share it; null sends
     * each one at once. Must outlive the listener. */
    send_turns* turns = nullptr;
};

pipelined_server_ptr open_pipelined_server(event_loop& loop,
                                           const pipelined_server_options& options,
                                           http_server_callbacks callbacks, error& reason);

/** Port the server listens on. */
std::uint16_t bound_port(const pipelined_server& server);

/** Sets what callers may send from now on. */
void set_limits(pipelined_server& server, const caller_limits& limits);

/** Answers a request. An answer to a request that is gone is dropped. */
void send_reply(pipelined_server& server, request_id id, http_response response);

/** Takes the connections that wait and refuses others; false if it did so before. */
bool stop_accepting(pipelined_server& server);

/** From now on a connection is closed with the answer to the last request that was read on it. */
void close_after_responses(pipelined_server& server);

/** Number of requests that are not answered yet or whose answer isn't sent completely. */
std::size_t pending_requests(const pipelined_server& server);

/** Number of open connections. */
std::size_t open_connections(const pipelined_server& server);

} // namespace sardinepoint
