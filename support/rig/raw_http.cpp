#include "rig/raw_http.hpp"

#include "socket_address.hpp"

#include "sardinepoint/event_loop.hpp"
#include "sardinepoint/http.hpp"

#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <stdexcept>
#include <utility>

namespace sardinepoint::rig
{

namespace
{

constexpr std::string_view head_end = "\r\n\r\n";

std::string field_value(std::string_view line, std::string_view name)
{
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos || !equal_header_name(line.substr(0, colon), name))
    {
        return {};
    }
    const std::size_t start = line.find_first_not_of(' ', colon + 1);
    return start == std::string_view::npos ? std::string() : std::string(line.substr(start));
}

/** Lines of a message's head without their line ends. */
std::vector<std::string> head_lines(std::string_view message)
{
    std::string_view head = message.substr(0, message.find(head_end));
    std::vector<std::string> lines;
    while (!head.empty())
    {
        const std::size_t end = std::min(head.find("\r\n"), head.size());
        lines.emplace_back(head.substr(0, end));
        head.remove_prefix(std::min(head.size(), end + 2));
    }
    return lines;
}

std::size_t content_length(std::string_view message)
{
    const std::string value = header_of(std::string(message), "Content-Length");
    return static_cast<std::size_t>(parse_integer(value).value_or(0));
}

bool is_complete(std::string_view message)
{
    const std::size_t end = message.find(head_end);
    return end != std::string_view::npos &&
           message.size() >= end + head_end.size() + content_length(message);
}

} // namespace

void write_text(int fd, std::string_view text)
{
    (void)::send(fd, text.data(), text.size(), MSG_NOSIGNAL);
}

std::string body_of(const std::string& request)
{
    return request.substr(request.find(head_end) + head_end.size());
}

std::string header_of(const std::string& request, std::string_view name)
{
    for (const std::string& line : head_lines(request))
    {
        std::string value = field_value(line, name);
        if (!value.empty())
        {
            return value;
        }
    }
    return {};
}

raw_server::raw_server(const endpoint& listen_on, handler respond)
    : where(listen_on), respond(std::move(respond)),
      listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    sockaddr_in address = socket_address(listen_on).value_or(sockaddr_in{});
    socklen_t length = sizeof address;
    const int on = 1;
    (void)::setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (::bind(this->listener, reinterpret_cast<sockaddr*>(&address), length) != 0 || // NOLINT
        ::listen(this->listener, SOMAXCONN) != 0)
    {
        throw std::runtime_error("a raw server can't listen on " + to_string(listen_on));
    }
    (void)::getsockname(this->listener, reinterpret_cast<sockaddr*>(&address), &length); // NOLINT
    this->where.port = ntohs(address.sin_port);
    this->server = std::thread([this] { this->serve(); });
}

raw_server::~raw_server()
{
    this->stopping = true;
    this->server.join();
    ::close(this->listener);
}

void raw_server::serve()
{
    std::vector<pollfd> polled{{this->listener, POLLIN, 0}};
    std::vector<std::string> buffers{""};
    while (!this->stopping)
    {
        constexpr int poll_ms = 10;
        ::poll(polled.data(), polled.size(), poll_ms);
        if ((polled[0].revents & POLLIN) != 0)
        {
            polled.push_back({::accept(this->listener, nullptr, nullptr), POLLIN, 0});
            buffers.emplace_back();
        }
        for (std::size_t i = 1; i < polled.size(); ++i)
        {
            if (polled[i].fd >= 0 && (polled[i].revents & (POLLIN | POLLHUP)) != 0 &&
                !this->read_from(polled[i].fd, buffers[i]))
            {
                ::close(polled[i].fd);
                polled[i].fd = -1;
            }
        }
    }
    for (std::size_t i = 1; i < polled.size(); ++i)
    {
        ::close(polled[i].fd);
    }
}

/** Returns false once the connection has ended. */
bool raw_server::read_from(int fd, std::string& buffer)
{
    std::array<char, 65536> chunk{};
    const ssize_t length = ::recv(fd, chunk.data(), chunk.size(), 0);
    if (length <= 0)
    {
        return false;
    }
    buffer.append(chunk.data(), static_cast<std::size_t>(length));
    if (is_complete(buffer))
    {
        const std::string request =
            buffer.substr(0, buffer.find(head_end) + head_end.size() + content_length(buffer));
        buffer.erase(0, request.size());
        this->respond(fd, request, ++this->requests);
    }
    return true;
}

raw_caller::raw_caller(const endpoint& peer) : peer(peer) {}

raw_caller::~raw_caller()
{
    this->disconnect();
}

void raw_caller::disconnect()
{
    if (this->fd >= 0)
    {
        ::close(std::exchange(this->fd, -1));
    }
}

/** Appends what arrives; returns false if nothing more arrives before the deadline. */
bool raw_caller::receive(std::string& text, time_ms deadline)
{
    pollfd polled{this->fd, POLLIN, 0};
    const time_ms left = deadline - steady_now();
    if (left <= 0 || ::poll(&polled, 1, static_cast<int>(left)) <= 0)
    {
        return false;
    }
    std::array<char, 65536> chunk{};
    const ssize_t length = ::recv(this->fd, chunk.data(), chunk.size(), 0);
    text.append(chunk.data(), static_cast<std::size_t>(std::max<ssize_t>(length, 0)));
    return length > 0;
}

raw_response raw_caller::call(std::string_view request, time_ms limit)
{
    const time_ms start = steady_now();
    char ignored = 0;
    if (this->fd >= 0 && ::recv(this->fd, &ignored, 1, MSG_PEEK | MSG_DONTWAIT) == 0)
    {
        this->disconnect();
    }
    if (this->fd < 0)
    {
        this->fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = socket_address(this->peer).value_or(sockaddr_in{});
        (void)::connect(this->fd, reinterpret_cast<const sockaddr*>(&address), // NOLINT
                        sizeof address);
    }
    write_text(this->fd, request);
    std::string text;
    while (!is_complete(text))
    {
        if (!this->receive(text, start + limit))
        {
            this->disconnect();
            break;
        }
    }
    raw_response response{.elapsed = steady_now() - start};
    response.fields = head_lines(text);
    if (!response.fields.empty())
    {
        response.status_line = response.fields.front();
        response.fields.erase(response.fields.begin());
    }
    const std::size_t end = text.find(head_end);
    response.body = end == std::string::npos ? "" : text.substr(end + head_end.size());
    return response;
}

} // namespace sardinepoint::rig
