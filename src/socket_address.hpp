#pragma once

#include "sardinepoint/settings.hpp"

#include <netinet/in.h>

#include <optional>

namespace sardinepoint
{

/** Converts an endpoint for the socket calls; empty if its address isn't an IPv4 address. */
std::optional<sockaddr_in> socket_address(const endpoint& value);

} // namespace sardinepoint
