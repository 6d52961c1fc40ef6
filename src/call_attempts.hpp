#pragma once

#include "ingress.hpp"

#include <cstdint>

namespace sardinepoint
{

/** The call of a request that has not been answered; null if there is none. */
ingress_call* find_call(node& self, std::uint64_t id);

/** Chooses an upstream and sends the call there, or answers it if that can't be done. */
void start_attempt(node& self, std::uint64_t id);

/** Answers a call and forgets it. */
void complete_call(node& self, std::uint64_t id, run_outcome outcome, http_response response);

} // namespace sardinepoint
