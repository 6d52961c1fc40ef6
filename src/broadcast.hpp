#pragma once

#include "node.hpp"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <string_view>

namespace sardinepoint
{

/** Sends the outbox through the broadcast tree after a short delay that collects more items. */
void schedule_flush(node& self);

/** Queues the member's record for the broadcast tree. */
void broadcast_member(node& self, std::string_view id);

/** Queues a crash entry for the broadcast tree. */
void broadcast_crash(node& self, std::uint64_t fingerprint);

/** Queues a move's progress for the broadcast tree. */
void broadcast_move(node& self, const std::string& move);

/** Broadcasts at once that this daemon is leaving, together with the outbox. */
void announce_leaving(node& self);

/**
 * Forwards a broadcast to this daemon's children in the root's tree and merges its content. Ignores
 * broadcasts that it has already seen.
 */
void handle_push(node& self, const nlohmann::json& body);

} // namespace sardinepoint
