#pragma once

#include "node.hpp"

#include <nlohmann/json_fwd.hpp>

namespace sardinepoint
{

/** Merges the member records of a message; ignores those of other domains. */
void merge_members(node& self, const nlohmann::json& body);

/**
 * Merges the peer's member records. If the peer sent a digest, the response holds the buckets that
 * differ and this daemon's records in them.
 */
nlohmann::json handle_members(node& self, const nlohmann::json& body);

/**
 * Sends the peer a digest, merges the records in its response and sends back this daemon's records
 * in the buckets that differ.
 */
void exchange_members(node& self, const endpoint& peer);

} // namespace sardinepoint
