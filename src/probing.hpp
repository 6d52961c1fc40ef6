#pragma once

#include "node.hpp"

#include <nlohmann/json_fwd.hpp>

#include <functional>

namespace sardinepoint
{

/** Runs one tick of the failure detector and executes the resulting actions. */
void run_detector(node& self);

/** Probes a member on behalf of another daemon and responds whether the member answered. */
void handle_indirect_probe(node& self, const nlohmann::json& body,
                           const std::function<void(http_response)>& respond);

} // namespace sardinepoint
