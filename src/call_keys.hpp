#pragma once

#include "ingress.hpp"

#include <string_view>

namespace sardinepoint
{

/** Path under which a daemon's data listener issues idempotency keys. */
inline constexpr std::string_view keys_path = "/.sardinepoint/keys";

/** Answers a request for new keys. */
void handle_key_request(node& self, request_id id, const http_request& request);

/** Whether the call may go on; otherwise it has been answered or forwarded. */
bool claim_key(node& self, ingress_call& call, std::string_view text, std::string_view hop);

/** Records how the call with a key ended. */
void finish_key(node& self, const ingress_call& call, run_outcome outcome,
                const http_response& response);

} // namespace sardinepoint
