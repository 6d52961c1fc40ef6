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

/** Records that a peer is asked for in an exchange of digests. */
enum class record_request
{
    none,
    /** Only if all that is missing is small. */
    small,
    all,
};

/** Sends a digest to the peer and merges what this daemon lacks. */
void sync_with(node& self, const endpoint& peer, record_request request,
               std::function<void(bool)> done);

/** Exchanges digests with a random member of the failure domain; `done` may be empty. */
void sync_with_random_member(node& self, record_request request, std::function<void(bool)> done);

} // namespace sardinepoint
