#pragma once

#include "outbound.hpp"
#include "sidecar.hpp"

#include <cstddef>
#include <string_view>

namespace sardinepoint
{

/** Limits of a call for a second attempt. */
struct hedge_limits
{
    time_ms time_left = 0;
    int max_arrivals = 0;
    bool is_quarantined = false;
    /** Number of daemons that share the retry budget. */
    std::size_t daemons = 0;
};

struct hedge_choice
{
    /** Reason not to hedge the call; empty if the instance is set. */
    std::string_view refusal;
    placement chosen;
};

/**
 * Decides whether and where the call, whose attempt in progress is slow, gets a second attempt. If
 * it does, takes it from the budget.
 */
hedge_choice choose_hedge(node& self, const outbound_call& call, const instance_group& group,
                          const hedge_limits& limits);

/**
 * Records the end of the call's last attempt: whether it was answered, or cancelled because its
 * hedge was, and whether it was refused for want of a slot.
 */
void record_first_attempt(node& self, const outbound_call& call, bool answered, bool refused);

/** Counts and logs the end of a second attempt. */
void log_hedge(node& self, const outbound_call& call, const call_attempt& hedge,
               std::string_view outcome, std::string_view reason = "");

} // namespace sardinepoint
