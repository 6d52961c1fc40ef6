#pragma once

#include "node.hpp"

#include <nlohmann/json_fwd.hpp>

#include <functional>

namespace sardinepoint
{

/** Merges a message's crash entries into the quarantine. */
void merge_crashes(node& self, const nlohmann::json& body);

/** Handles a peer's sync request and returns the response with what the peer lacks. */
nlohmann::json handle_sync(node& self, const nlohmann::json& body);

/** Log records to request from a peer in a sync request. */
enum class record_request
{
    none,
    /** Only if the missing records are small in total. */
    small,
    all,
};

/** Sends a sync request to the peer and merges its response. `done`, which may be empty, is called
 * with whether the peer responded. */
void sync_with(node& self, const endpoint& peer, record_request request,
               std::function<void(bool)> done);

/** Calls sync_with() for a random member. If there is none, `done` isn't called. */
void sync_with_random_member(node& self, record_request request, std::function<void(bool)> done);

} // namespace sardinepoint
