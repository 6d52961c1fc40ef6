#pragma once

#include <cstdint>
#include <string>

namespace sardinepoint::rig
{

/** Returns a port that is free now and is not returned to another process of the tests. */
std::uint16_t free_port(const std::string& ip);

} // namespace sardinepoint::rig
