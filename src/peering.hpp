#pragma once

#include "broadcast.hpp"
#include "node.hpp"
#include "peer_messages.hpp"

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <string_view>

namespace sardinepoint
{

/** Announces this daemon on the log and starts the exchanges with peers. */
void start_peering(node& self);

/** Answers a request of another daemon under /peer/v1/. */
void handle_peer_request(node& self, std::string_view path, const nlohmann::json& body,
                         const std::function<void(http_response)>& respond);

} // namespace sardinepoint
