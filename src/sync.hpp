#pragma once

#include "node.hpp"

#include <nlohmann/json_fwd.hpp>

#include <functional>

namespace sardinepoint
{

/** Merges the crash entries of a message. */
void merge_crashes(node& self, const nlohmann::json& body);

/** Answers a digest with what the peer lacks. */
nlohmann::json handle_sync(node& self, const nlohmann::json& body);

/** Sends a digest to the peer and merges what this daemon lacks. */
void sync_with(node& self, const endpoint& peer, std::function<void(bool)> done);

/** Exchanges digests with a random member of the failure domain. */
void sync_once(node& self);

} // namespace sardinepoint
