#pragma once

#include "outbound.hpp"
#include "sidecar.hpp"

#include <cstddef>
#include <optional>
#include <string>

namespace sardinepoint
{

/**
 * Chooses the next instance for the call; empty if none is left. While a move is running, the first
 * choice also decides whether the call goes to the new version.
 */
std::optional<placement> choose_instance(node& self, outbound_call& call,
                                         const instance_group& group);

/** Chooses an instance with a free slot for a second attempt of the call; empty if there is none.
 */
std::optional<placement> choose_hedge_instance(node& self, const outbound_call& call,
                                               const instance_group& group);

/**
 * Updates the average response size of the route, which determines the cost of other localities.
 */
void record_response_size(node& self, const std::string& route, std::size_t bytes);

} // namespace sardinepoint
