#pragma once

#include "outbound.hpp"
#include "sidecar.hpp"

#include <cstddef>
#include <optional>
#include <string>

namespace sardinepoint
{

/** The instance that should get the call next, by the version that the call belongs to; empty if
 * none is left. */
std::optional<placement> choose_instance(node& self, outbound_call& call,
                                         const instance_group& group);

/** Learns how large answers on the route are: bytes between localities cost. */
void record_response_size(node& self, const std::string& route, std::size_t bytes);

} // namespace sardinepoint
