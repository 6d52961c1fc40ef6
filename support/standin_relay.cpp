// TCP relay between processes of a rig: it can hold back, delay or close the traffic between two
// addresses, which stands for a network partition between their failure domains.

#include "sardinepoint/event_loop.hpp"
#include "sardinepoint/http_server.hpp"
#include "sardinepoint/logging.hpp"
#include "sardinepoint/settings.hpp"

#include <docopt/docopt.h>
#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <iostream>
#include <map>
#include <memory>
#include <string>
#include <vector>

using namespace sardinepoint;
using nlohmann::json;

namespace
{

constexpr const char* usage = R"(TCP relay that can cut and delay traffic.

Usage:
  standin_relay [--port=N]

Options:
  --port=N    Port for the HTTP control interface, 0 takes a free one [default: 0].
)";

/** One direction of a connection: bytes that were read but not written yet. */
struct half
{
    int from = -1;
    int to = -1;
    std::string buffer;
    bool ended = false;
};

struct connection
{
    std::string source;
    std::string target;
    half forward;
    half backward;
};

/** Traffic from one address to another. */
struct rule
{
    std::string source;
    std::string target;
    /** hold: bytes wait until the rule is gone; close: connections are closed; delay. */
    std::string action;
    time_ms delay = 0;
};

struct relay
{
    event_loop* loop = nullptr;
    http_server_ptr control;
    std::vector<rule> rules;
    std::map<std::uint64_t, std::unique_ptr<connection>> connections;
    std::uint64_t last_connection = 0;
};

const rule* find_rule(const relay& self, const std::string& source, const std::string& target)
{
    for (const rule& known : self.rules)
    {
        const bool matches = known.source == source && known.target == target;
        const bool reversed = known.source == target && known.target == source;
        if (matches || reversed)
        {
            return &known;
        }
    }
    return nullptr;
}

bool is_held(const relay& self, const connection& link)
{
    const rule* known = find_rule(self, link.source, link.target);
    return known != nullptr && known->action == "hold";
}

void close_connection(relay& self, std::uint64_t id)
{
    const auto found = self.connections.find(id);
    if (found == self.connections.end())
    {
        return;
    }
    for (const int fd : {found->second->forward.from, found->second->forward.to})
    {
        unwatch_fd(*self.loop, fd);
        ::close(fd);
    }
    self.connections.erase(found);
}

void update_watches(relay& self, std::uint64_t id);

/** Writes what is buffered; false if the connection is broken. */
bool write_buffered(half& direction)
{
    while (!direction.buffer.empty())
    {
        const ssize_t written = ::send(direction.to, direction.buffer.data(),
                                       direction.buffer.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (written < 0)
        {
            return errno == EAGAIN || errno == EINPROGRESS || errno == ENOTCONN;
        }
        direction.buffer.erase(0, static_cast<std::size_t>(written));
    }
    return true;
}

/** Reads what has arrived; false if the connection is broken. */
bool read_available(half& direction)
{
    std::array<char, 65536> chunk{};
    const ssize_t length = ::recv(direction.from, chunk.data(), chunk.size(), MSG_DONTWAIT);
    if (length > 0)
    {
        direction.buffer.append(chunk.data(), static_cast<std::size_t>(length));
        return true;
    }
    if (length < 0)
    {
        return errno == EAGAIN;
    }
    direction.ended = true;
    return true;
}

void flush_direction(relay& self, std::uint64_t id, bool forward)
{
    const auto found = self.connections.find(id);
    if (found == self.connections.end() || is_held(self, *found->second))
    {
        return;
    }
    half& direction = forward ? found->second->forward : found->second->backward;
    const bool intact = write_buffered(direction);
    if (!intact || (direction.ended && direction.buffer.empty()))
    {
        close_connection(self, id);
        return;
    }
    update_watches(self, id);
}

void handle_readable(relay& self, std::uint64_t id, bool forward)
{
    const auto found = self.connections.find(id);
    if (found == self.connections.end())
    {
        return;
    }
    half& direction = forward ? found->second->forward : found->second->backward;
    if (!read_available(direction))
    {
        close_connection(self, id);
        return;
    }
    update_watches(self, id);
    const rule* known = find_rule(self, found->second->source, found->second->target);
    if (known != nullptr && known->action == "delay")
    {
        run_after(*self.loop, known->delay,
                  [&self, id, forward] { flush_direction(self, id, forward); });
        return;
    }
    flush_direction(self, id, forward);
}

void update_watches(relay& self, std::uint64_t id)
{
    const auto found = self.connections.find(id);
    if (found == self.connections.end())
    {
        return;
    }
    connection& link = *found->second;
    const bool held = is_held(self, link);
    const auto watch = [&](const half& reads, const half& writes, bool forward)
    {
        const io_interest interest{.read = !held && !reads.ended,
                                   .write = !held && !writes.buffer.empty()};
        if (!interest.read && !interest.write)
        {
            unwatch_fd(*self.loop, reads.from);
            return;
        }
        watch_fd(*self.loop, reads.from, interest,
                 [&self, id, forward](io_interest ready)
                 {
                     if (ready.read)
                     {
                         handle_readable(self, id, forward);
                     }
                     else
                     {
                         flush_direction(self, id, !forward);
                     }
                 });
    };
    watch(link.forward, link.backward, true);
    watch(link.backward, link.forward, false);
}

sockaddr_in make_address(const endpoint& value)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(value.port);
    inet_pton(AF_INET, value.address.c_str(), &address.sin_addr);
    return address;
}

int connect_to(const endpoint& target)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const sockaddr_in address = make_address(target);
    (void)::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address); // NOLINT
    return fd;
}

void set_no_delay(int fd)
{
    const int on = 1;
    (void)::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

void accept_connection(relay& self, int listener, const endpoint& target)
{
    sockaddr_in peer{};
    socklen_t length = sizeof peer;
    const int fd = ::accept4(listener, reinterpret_cast<sockaddr*>(&peer), &length, // NOLINT
                             SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0)
    {
        return;
    }
    std::array<char, INET_ADDRSTRLEN> text{};
    inet_ntop(AF_INET, &peer.sin_addr, text.data(), text.size());
    const rule* known = find_rule(self, text.data(), target.address);
    if (known != nullptr && known->action == "close")
    {
        ::close(fd);
        return;
    }
    set_no_delay(fd);
    auto link = std::make_unique<connection>();
    link->source = text.data();
    link->target = target.address;
    const int target_fd = connect_to(target);
    set_no_delay(target_fd);
    link->forward = {.from = fd, .to = target_fd, .buffer = {}};
    link->backward = {.from = target_fd, .to = fd, .buffer = {}};
    const std::uint64_t id = ++self.last_connection;
    self.connections[id] = std::move(link);
    update_watches(self, id);
}

/** Opens a listener on the target's address that forwards to the target. */
int add_forward(relay& self, const endpoint& target)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    sockaddr_in address = make_address({target.address, 0});
    socklen_t length = sizeof address;
    const bool bound =
        ::bind(fd, reinterpret_cast<sockaddr*>(&address), length) == 0 && // NOLINT
        ::listen(fd, SOMAXCONN) == 0 &&
        ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length) == 0; // NOLINT
    if (!bound)
    {
        ::close(fd);
        return 0;
    }
    watch_fd(*self.loop, fd, {.read = true, .write = false},
             [&self, fd, target](io_interest) { accept_connection(self, fd, target); });
    return ntohs(address.sin_port);
}

void apply_rules(relay& self, const json& values)
{
    self.rules.clear();
    for (const json& value : values)
    {
        self.rules.push_back({.source = value.value("source", ""),
                              .target = value.value("target", ""),
                              .action = value.value("action", "hold"),
                              .delay = value.value("delay_ms", 0)});
    }
    std::vector<std::uint64_t> closed;
    std::vector<std::uint64_t> open;
    for (const auto& [id, link] : self.connections)
    {
        const rule* known = find_rule(self, link->source, link->target);
        (known != nullptr && known->action == "close" ? closed : open).push_back(id);
    }
    for (const std::uint64_t id : closed)
    {
        close_connection(self, id);
    }
    for (const std::uint64_t id : open)
    {
        flush_direction(self, id, true);
        flush_direction(self, id, false);
        update_watches(self, id);
    }
}

void handle(relay& self, request_id id, const http_request& request)
{
    const json body = json::parse(request.body, nullptr, false);
    const std::string_view path = path_of(request.target);
    if (path == "/forwards" && body.is_object())
    {
        const auto target = parse_endpoint(body.value("target", ""));
        const json answer{{"port", target ? add_forward(self, *target) : 0}};
        send_reply(*self.control, id, json_response(200, answer.dump()));
        return;
    }
    if (path == "/rules" && body.is_array())
    {
        apply_rules(self, body);
        send_reply(*self.control, id, json_response(200, "{}"));
        return;
    }
    send_reply(*self.control, id, json_response(400, "{}"));
}

} // namespace

int main(int argc, char** argv)
{
    auto args = docopt::docopt(usage, {argv + 1, argv + argc}, true);
    set_up_logging(log_level::info, "standin_relay");
    event_loop_ptr loop = make_event_loop();
    relay self;
    self.loop = loop.get();
    error reason;
    self.control =
        open_http_server(*loop, {.port = static_cast<std::uint16_t>(args["--port"].asLong())},
                         {.on_request = [&](request_id id, const http_request& request)
                          { handle(self, id, request); },
                          .on_cancelled = {}},
                         reason);
    if (!self.control)
    {
        std::cerr << describe(reason) << "\n";
        return 1;
    }
    on_terminate(*loop, [&] { stop(*loop); });
    std::cout << "port=" << bound_port(*self.control) << std::endl;
    run(*loop);
    self.control.reset();
    return 0;
}
