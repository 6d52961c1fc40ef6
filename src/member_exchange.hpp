#pragma once

#include "node.hpp"

#include <nlohmann/json_fwd.hpp>

namespace sardinepoint
{

/** Merges the member records of a message. */
void merge_members(node& self, const nlohmann::json& body);

/** Merges the peer's members and answers with the records of buckets that differ. */
nlohmann::json handle_members(node& self, const nlohmann::json& body);

/** Exchanges the member records in which this daemon and the peer differ. */
void exchange_members(node& self, const endpoint& peer);

} // namespace sardinepoint
