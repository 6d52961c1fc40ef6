#pragma once

#include "ingress.hpp"

#include <string_view>

namespace sardinepoint
{

/** Path under which a daemon's data listener issues idempotency keys. */
inline constexpr std::string_view keys_path = "/.sardinepoint/keys";

/** Handles a request for new idempotency keys. */
void handle_key_request(node& self, request_id id, const http_request& request);

/**
 * Claims the key for a call. If this returns false, the call must not proceed: a response was sent
 * or the call was forwarded to the key's owner.
 */
bool claim_key(node& self, ingress_call& call, std::string_view text, std::string_view hop);

/** Records the outcome of a call under its key, if it has one. */
void finish_key(node& self, const ingress_call& call, run_outcome outcome,
                const http_response& response);

} // namespace sardinepoint
