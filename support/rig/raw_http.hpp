#pragma once

#include "sardinepoint/core.hpp"
#include "sardinepoint/settings.hpp"

#include <atomic>
#include <functional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace sardinepoint::rig
{

/** HTTP server on raw sockets, in its own thread. A callback writes the response to each request.
 */
class raw_server
{
public:
    using handler = std::function<void(int fd, const std::string& request, int number)>;

    /** Listens on the endpoint; port 0 selects a free port. */
    raw_server(const endpoint& listen_on, handler respond);
    ~raw_server();
    raw_server(const raw_server&) = delete;
    raw_server& operator=(const raw_server&) = delete;

    /** Endpoint on which the server listens. */
    endpoint where;
    std::atomic<int> requests{0};

private:
    void serve();
    bool read_from(int fd, std::string& buffer);

    handler respond;
    int listener = -1;
    std::atomic<bool> stopping{false};
    std::thread server;
};

/** Sends all of the text on a socket. */
void write_text(int fd, std::string_view text);

/** Body of a request that arrived at a raw server. */
std::string body_of(const std::string& request);

/** Value of a header of a request that arrived at a raw server; empty without the header. */
std::string header_of(const std::string& request, std::string_view name);

/** What a caller's socket received in response to a request. */
struct raw_response
{
    std::string status_line;
    /** Header lines without their line ends. */
    std::vector<std::string> fields;
    std::string body;
    time_ms elapsed = 0;
};

/** Client on a raw socket that keeps its connection for further calls. */
class raw_caller
{
public:
    explicit raw_caller(const endpoint& peer);
    ~raw_caller();
    raw_caller(const raw_caller&) = delete;
    raw_caller& operator=(const raw_caller&) = delete;

    /**
     * Sends the request and reads one response with a Content-Length. The response is incomplete if
     * the time limit expires or the connection ends before; the next call opens a new connection if
     * the old one has ended.
     */
    raw_response call(std::string_view request, time_ms limit);

private:
    bool receive(std::string& text, time_ms deadline);
    void disconnect();

    endpoint peer;
    int fd = -1;
};

} // namespace sardinepoint::rig
