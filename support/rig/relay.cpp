#include "rig/relay.hpp"

#include "socket_address.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <utility>

namespace sardinepoint::rig
{

namespace
{

/** One direction of a connection, with the bytes that were read but not yet written. */
struct relay_direction
{
    int from = -1;
    int to = -1;
    std::string buffer;
    bool ended = false;
};

} // namespace

struct relay_connection
{
    std::string source;
    std::string target;
    relay_direction forward;
    relay_direction backward;
    /** Nothing is forwarded any more, without a reset. */
    bool silent = false;
};

namespace
{

const relay_rule* find_rule(const relay& self, const std::string& source, const std::string& target)
{
    for (const relay_rule& rule : self.rules)
    {
        const bool matches =
            (rule.source.empty() || rule.source == source) && rule.target == target;
        const bool reversed = rule.source == target && rule.target == source;
        if (matches || reversed)
        {
            return &rule;
        }
    }
    return nullptr;
}

bool is_held(const relay& self, const relay_connection& connection, bool forward)
{
    const relay_rule* rule = find_rule(self, connection.source, connection.target);
    return connection.silent ||
           (rule != nullptr && (rule->action == relay_action::hold ||
                                (rule->action == relay_action::hold_responses && !forward)));
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

/** Writes the buffered bytes; returns false if the connection has failed. */
bool write_buffered(relay_direction& direction)
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

/** Reads available bytes; returns false if the connection has failed. */
bool read_available(relay_direction& direction)
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
    if (found == self.connections.end() || is_held(self, *found->second, forward))
    {
        return;
    }
    relay_direction& direction = forward ? found->second->forward : found->second->backward;
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
    relay_direction& direction = forward ? found->second->forward : found->second->backward;
    if (!read_available(direction))
    {
        close_connection(self, id);
        return;
    }
    update_watches(self, id);
    const relay_rule* rule = find_rule(self, found->second->source, found->second->target);
    if (rule != nullptr && rule->action == relay_action::rewrite_responses && !forward)
    {
        const std::size_t at = direction.buffer.find(rule->pattern);
        if (at != std::string::npos)
        {
            direction.buffer.replace(at, rule->pattern.size(), rule->replacement);
        }
    }
    if (rule != nullptr && rule->action == relay_action::delay)
    {
        run_after(*self.loop, rule->delay,
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
    relay_connection& connection = *found->second;
    const auto watch =
        [&](const relay_direction& reads, const relay_direction& writes, bool forward)
    {
        const io_interest interest{.read = !is_held(self, connection, forward) && !reads.ended,
                                   .write = !is_held(self, connection, !forward) &&
                                            !writes.buffer.empty()};
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
    watch(connection.forward, connection.backward, true);
    watch(connection.backward, connection.forward, false);
}

int connect_to(const endpoint& target)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const sockaddr_in address = socket_address(target).value_or(sockaddr_in{});
    (void)::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address); // NOLINT
    return fd;
}

void set_no_delay(int fd)
{
    const int on = 1;
    (void)::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

void accept_connection(relay& self, int listener, const endpoint& target, const std::string& name)
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
    const relay_rule* rule = find_rule(self, text.data(), name);
    if (rule != nullptr && rule->action == relay_action::close)
    {
        ::close(fd);
        return;
    }
    set_no_delay(fd);
    auto connection = std::make_unique<relay_connection>();
    connection->source = text.data();
    connection->target = name;
    const int target_fd = connect_to(target);
    set_no_delay(target_fd);
    connection->forward = {.from = fd, .to = target_fd, .buffer = {}};
    connection->backward = {.from = target_fd, .to = fd, .buffer = {}};
    const std::uint64_t id = ++self.last_connection;
    self.connections[id] = std::move(connection);
    update_watches(self, id);
}

} // namespace

int add_forward(relay& self, const endpoint& target, std::string name)
{
    if (name.empty())
    {
        name = target.address;
    }
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    sockaddr_in address = socket_address({target.address, 0}).value_or(sockaddr_in{});
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
    self.listeners.push_back(fd);
    watch_fd(*self.loop, fd, {.read = true, .write = false},
             [&self, fd, target, name = std::move(name)](io_interest)
             { accept_connection(self, fd, target, name); });
    return ntohs(address.sin_port);
}

void apply_rules(relay& self, std::vector<relay_rule> rules)
{
    self.rules = std::move(rules);
    std::vector<std::uint64_t> closed;
    std::vector<std::uint64_t> open;
    for (const auto& [id, connection] : self.connections)
    {
        const relay_rule* rule = find_rule(self, connection->source, connection->target);
        (rule != nullptr && rule->action == relay_action::close ? closed : open).push_back(id);
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

void reset_connections(relay& self, const std::string& name)
{
    std::vector<std::uint64_t> ids;
    for (const auto& [id, connection] : self.connections)
    {
        if (connection->target == name)
        {
            ids.push_back(id);
        }
    }
    for (const std::uint64_t id : ids)
    {
        const linger reset_on_close{.l_onoff = 1, .l_linger = 0};
        for (const int fd :
             {self.connections.at(id)->forward.from, self.connections.at(id)->forward.to})
        {
            (void)::setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof reset_on_close);
        }
        close_connection(self, id);
    }
}

void silence_connections(relay& self, const std::string& name)
{
    for (const auto& [id, connection] : self.connections)
    {
        if (connection->target == name)
        {
            connection->silent = true;
            update_watches(self, id);
        }
    }
}

relay::relay(event_loop& loop) : loop(&loop) {}

relay::~relay()
{
    for (const int fd : this->listeners)
    {
        unwatch_fd(*this->loop, fd);
        ::close(fd);
    }
    while (!this->connections.empty())
    {
        close_connection(*this, this->connections.begin()->first);
    }
}

} // namespace sardinepoint::rig
