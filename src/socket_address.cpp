#include "socket_address.hpp"

#include <arpa/inet.h>

namespace sardinepoint
{

std::optional<sockaddr_in> socket_address(const endpoint& value)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(value.port);
    if (inet_pton(AF_INET, value.address.c_str(), &address.sin_addr) != 1)
    {
        return std::nullopt;
    }
    return address;
}

} // namespace sardinepoint
