#pragma once

#include "ingress.hpp"

#include <cstdint>

namespace sardinepoint
{

/** The call in progress for a request, or null. */
ingress_call* find_call(node& self, std::uint64_t id);

/** Chooses an upstream and sends the call there; fails the call if that isn't possible. */
void start_attempt(node& self, std::uint64_t id);

/** Counts running attempts that are already slow as evidence for moves. */
void record_running_attempts(node& self);

/** Sends the response of a call and removes the call. */
void complete_call(node& self, std::uint64_t id, run_outcome outcome, http_response response);

} // namespace sardinepoint
