#pragma once

#include "node.hpp"

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <string_view>

namespace sardinepoint
{

/** Announces this daemon on the log and starts the exchanges with peers. */
void start_peering(node& self);

/** Sends what is in the outbox through the broadcast tree shortly. */
void schedule_flush(node& self);

/** Queues the member's record for the broadcast tree. */
void spread_member(node& self, std::string_view id);

/** Queues a crash entry for the broadcast tree. */
void spread_crash(node& self, std::uint64_t fingerprint);

/** Queues a move's progress for the broadcast tree. */
void spread_move(node& self, const std::string& move);

/** Answers a request of another daemon under /peer/v1/. */
void handle_peer_request(node& self, std::string_view path, const nlohmann::json& body,
                         const std::function<void(http_response)>& answer);

/** Sends a message to another daemon's control endpoint. */
void send_peer(node& self, const endpoint& control, std::string_view path,
               const nlohmann::json& body, time_ms timeout,
               std::function<void(const nlohmann::json* answer)> done);

/** Control endpoint of a member. */
endpoint control_endpoint(const member_record& record);

/** Tells the failure domain at once that this daemon leaves. */
void announce_leaving(node& self);

} // namespace sardinepoint
