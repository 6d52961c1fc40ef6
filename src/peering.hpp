#pragma once

#include "broadcast.hpp"
#include "node.hpp"
#include "peer_messages.hpp"

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <string_view>

namespace sardinepoint
{

/**
 * Announces this daemon in the log and starts the failure detector and the periodic exchanges with
 * peers.
 */
void start_peering(node& self);

/**
 * Handles a request of another daemon under /peer/v1/. Calls `respond` exactly once; for an
 * indirect probe this may be after the function returned.
 */
void handle_peer_request(node& self, std::string_view path, const nlohmann::json& body,
                         const std::function<void(http_response)>& respond);

} // namespace sardinepoint
