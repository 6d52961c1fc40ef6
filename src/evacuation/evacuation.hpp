#pragma once

#include "node.hpp"

#include <optional>
#include <string>

namespace sardinepoint
{

/**
 * Applies a change of the evacuated localities: calls from this VM go to no upstream there, and if
 * this VM's locality is among them, the calls that wait for its upstream are refused.
 */
void apply_evacuations(node& self);

/** Why the upstream of this VM takes no calls, or nullopt if its locality is not evacuated. */
std::optional<std::string> evacuation_refusal(const node& self);

} // namespace sardinepoint
