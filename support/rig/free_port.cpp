#include "rig/free_port.hpp"

#include "socket_address.hpp"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <random>
#include <stdexcept>

namespace sardinepoint::rig
{

namespace
{

// The kernel assigns ports from 32768 on to outgoing connections by default. Such a port could be
// taken before the program that is to use it listens, or while that program restarts.
constexpr std::uint16_t first_port = 10'000;
constexpr std::uint16_t last_port = 32'000;
constexpr std::uint16_t block_ports = 50;
constexpr int max_attempts = 1000;
// A port bound at this address reserves a block of ports; no test program listens here.
constexpr const char* lock_ip = "127.255.255.254";

/** A range of ports that is reserved for this process. */
struct port_block
{
    std::uint16_t next = 0;
    std::uint16_t end = 0;
    pid_t owner = 0;
};

bool try_bind(int fd, const std::string& ip, std::uint16_t port)
{
    const sockaddr_in address = socket_address({ip, port}).value_or(sockaddr_in{});
    return ::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0; // NOLINT
}

bool is_free(const std::string& ip, std::uint16_t port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    const bool bound = try_bind(fd, ip, port);
    ::close(fd);
    return bound;
}

/** Reserves a block by binding a socket that stays open until this process ends. */
port_block claim_block()
{
    static std::mt19937 random{std::random_device{}()};
    std::uniform_int_distribution<int> random_block(0, (last_port - first_port) / block_ports - 1);
    for (int i = 0; i < max_attempts; ++i)
    {
        const auto first =
            static_cast<std::uint16_t>(first_port + random_block(random) * block_ports);
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (try_bind(fd, lock_ip, first))
        {
            return {.next = first,
                    .end = static_cast<std::uint16_t>(first + block_ports),
                    .owner = ::getpid()};
        }
        ::close(fd);
    }
    throw std::runtime_error("no free block of ports");
}

} // namespace

std::uint16_t free_port(const std::string& ip)
{
    static port_block block;
    while (true)
    {
        if (block.next == block.end || block.owner != ::getpid())
        {
            block = claim_block();
        }
        const std::uint16_t port = block.next++;
        if (is_free(ip, port))
        {
            return port;
        }
    }
}

} // namespace sardinepoint::rig
