#pragma once

#include "sardinepoint/pipelined_server.hpp"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace sardinepoint
{

namespace detail
{

using request_parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

constexpr std::size_t read_buffer_bytes = 32U << 10U;
// Bookkeeping of a request and of a response in addition to their text.
constexpr std::size_t exchange_overhead_bytes = 1024;
// Parsed fields take up about this multiple of their text.
constexpr std::size_t field_factor = 4;

/** A request of a connection and its response. */
struct pipelined_exchange
{
    std::uint64_t id = 0;
    bool is_head = false;
    /** The connection must be closed after the response. */
    bool close_after_response = false;
    std::optional<http_response> response;
    /** Accounted for the request, and later for its response. */
    std::size_t held_bytes = 0;
};

struct caller_connection
{
    std::uint64_t id = 0;
    int fd = -1;
    std::string input;
    std::optional<request_parser> parser;
    /** Bytes of the head of the request that is being received. */
    std::size_t head_bytes = 0;
    /** Line ends in the part of the input that was examined for the end of the head. */
    std::size_t examined = 0;
    std::size_t head_lines = 0;
    /** The body that is being received. */
    intake::transfer body;
    std::deque<pipelined_exchange> exchanges;
    /** Sum over the exchanges. */
    std::size_t exchange_bytes = 0;
    std::uint64_t completed = 0;
    /** The output that the caller has not read yet. */
    intake::transfer unsent;
    time_ms linger_started = 0;
    std::string output;
    std::size_t sent = 0;
    /** Consecutive small reads that completed no request. */
    int small_reads = 0;
    /** Not read until the next timer, because it sends in very small pieces. */
    bool throttled = false;
    /** Parsing goes on in the next iteration of the event loop. */
    bool parse_scheduled = false;
    /** Turn requested for a large output. */
    std::optional<std::uint64_t> turn;
    /** End of the output that may be sent before the turn starts. */
    std::size_t pre_turn_end = 0;
    /** No further requests are read; the connection is closed when the output is sent. */
    bool draining = false;
    /** The output is sent and the sending side is shut down. */
    bool lingering = false;
    time_ms request_started = 0;
    time_ms last_activity = 0;
    std::int64_t accepted_us = 0;
    /** Earliest time at which the connection may have been ready to be accepted. */
    std::int64_t earliest_open_us = 0;
    /** Earliest time at which the latest input may have arrived. */
    std::int64_t earliest_input_us = 0;
};

} // namespace detail

/** State of a server; the functions on it are in pipelined_*.cpp. */
class pipelined_server
{
public:
    event_loop* loop = nullptr;
    pipelined_server_options options;
    http_server_callbacks callbacks;
    int listener = -1;
    std::uint16_t port = 0;
    std::unordered_map<std::uint64_t, std::unique_ptr<detail::caller_connection>> connections;
    /** Maps each unanswered request to its connection. */
    std::unordered_map<std::uint64_t, std::uint64_t> requests;
    std::uint64_t last_id = 0;
    std::uint64_t last_connection = 0;
    bool closing = false;
    timer_id sweep_timer;
    /** Throttled connections and the timer after which they are read again. */
    std::vector<std::uint64_t> throttled;
    std::optional<timer_id> throttle_timer;
    /** Connections on which sending has failed, and the timer that drops them. */
    std::vector<std::uint64_t> failed;
    std::optional<timer_id> drop_timer;
    intake::gate_handle gate;
    /** Rejections since the last log line about them, and its time. */
    std::uint64_t rejections = 0;
    time_ms rejections_logged_at = 0;
};

namespace detail
{

caller_connection* find_connection(pipelined_server& server, std::uint64_t id);

/** Closes the connection and cancels its unanswered requests. */
void drop_connection(pipelined_server& server, std::uint64_t id);

/** Sets what is accounted for a request or its response. */
void set_held_bytes(caller_connection& connection, pipelined_exchange& exchange, std::size_t bytes);

/** What is accounted for a response that waits. */
std::size_t text_bytes(const http_response& response);

/** Whether the connection may have another request before its caller reads more responses. */
bool may_start_request(const pipelined_server& server, const caller_connection& connection);

/** Whether nothing may be sent until the turn of the connection starts. */
bool is_awaiting_turn(const pipelined_server& server, const caller_connection& connection);

/** Sends as much output as possible. Runs no callback; a failed connection is dropped later. */
void flush_connection(pipelined_server& server, std::uint64_t id);

/** Answers an invalid or incomplete request with an error and stops reading requests. */
void reject(pipelined_server& server, caller_connection& connection, int status,
            std::string message, std::string remedy);

/** Whether the input that the parser can't use yet is larger than any head or chunk header. */
bool has_unusable_input(const pipelined_server& server, const caller_connection& connection);

/** Parses the buffered input. May destroy the connection. */
void parse_input(pipelined_server& server, std::uint64_t id);

/** Goes on with parsing that was scheduled. May destroy the connection. */
void resume_parsing(pipelined_server& server, std::uint64_t id);

/** Stops reading a connection for a short time if it sends a request in very small pieces. */
void throttle_small_reads(pipelined_server& server, caller_connection& connection,
                          std::size_t read_bytes);

/** Watches the connection for what it waits for. */
void update_watch(pipelined_server& server, caller_connection& connection);

} // namespace detail

} // namespace sardinepoint
