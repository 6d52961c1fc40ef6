#include "rig/free_port.hpp"

#include "socket_address.hpp"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <random>
#include <set>
#include <stdexcept>

namespace sardinepoint::rig
{

namespace
{

// Outgoing connections take ports from 32768 on by default. One of those may be gone again before
// the program that was given it listens, and while that program is restarted.
constexpr std::uint16_t first_port = 10'000;
constexpr std::uint16_t last_port = 32'000;
constexpr int most_tries = 100;

bool is_free(const std::string& ip, std::uint16_t port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in address = socket_address({ip, port}).value_or(sockaddr_in{});
    const bool bound =
        ::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0; // NOLINT
    ::close(fd);
    return bound;
}

} // namespace

std::uint16_t free_port(const std::string& ip)
{
    // Rigs that run side by side must not draw the same ports.
    static std::mt19937 random{std::random_device{}()};
    static std::set<std::uint16_t> given;
    std::uniform_int_distribution<std::uint16_t> draw(first_port, last_port);
    for (int i = 0; i < most_tries; ++i)
    {
        const std::uint16_t port = draw(random);
        // A program that was given one may not listen yet.
        if (!given.contains(port) && is_free(ip, port))
        {
            given.insert(port);
            return port;
        }
    }
    throw std::runtime_error("no free port");
}

} // namespace sardinepoint::rig
