#include "rig/free_port.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <random>
#include <stdexcept>

namespace sardinepoint::rig
{

namespace
{

// Outgoing connections take ports from 32768 on by default. One of those may be gone again before
// the program that was given it listens, and while that program is restarted.
constexpr int first_port = 10'000;
constexpr int last_port = 32'000;
constexpr int most_tries = 100;

bool is_free(const std::string& ip, int port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    const bool bound =
        ::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0; // NOLINT
    ::close(fd);
    return bound;
}

} // namespace

std::uint16_t free_port(const std::string& ip)
{
    // Rigs that run side by side must not draw the same ports.
    static std::mt19937 random{std::random_device{}()};
    std::uniform_int_distribution<int> draw(first_port, last_port);
    for (int i = 0; i < most_tries; ++i)
    {
        const int port = draw(random);
        if (is_free(ip, port))
        {
            return static_cast<std::uint16_t>(port);
        }
    }
    throw std::runtime_error("no free port");
}

} // namespace sardinepoint::rig
