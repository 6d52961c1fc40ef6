#pragma once

#include "node.hpp"

#include <nlohmann/json_fwd.hpp>

#include <functional>

namespace sardinepoint
{

/** Advances the failure detector and carries out its actions. */
void run_detector(node& self);

/** Probes a member for another daemon and answers whether it replied. */
void handle_indirect_probe(node& self, const nlohmann::json& body,
                           const std::function<void(http_response)>& respond);

} // namespace sardinepoint
