#include "hedging/hedged_calls.hpp"

#include "instance_choice.hpp"

#include "sardinepoint/logging.hpp"

#include <string>

namespace sardinepoint
{

hedge_choice choose_hedge(node& self, const outbound_call& call, const instance_group& group,
                          const hedge_limits& limits)
{
    const time_ms now = steady_now();
    sidecar& state = *self.sidecar_state;
    const std::string_view refusal =
        hedge_refusal(state.hedging,
                      {.route = call.route,
                       .service = call.service,
                       .is_idempotent = call.idempotent,
                       .is_quarantined = limits.is_quarantined,
                       .shutting_down = self.leaving,
                       .arrivals = call.arrivals + 1,
                       .max_arrivals = limits.max_arrivals,
                       .load = reported_load(group.views, state.placement_params, now)},
                      now);
    if (!refusal.empty())
    {
        return {.refusal = refusal};
    }
    const auto chosen = choose_hedge_instance(self, call, group);
    if (!chosen)
    {
        return {.refusal = "no_instance"};
    }
    if (!has_time_for_hedge(state.hedging, call.route, limits.time_left,
                            chosen->known_service_time))
    {
        return {.refusal = "time"};
    }
    if (!take_hedge(state.retry_counts_by_service, call.service, state.retry_bounds,
                    state.hedging.options.ratio, limits.daemons, now))
    {
        return {.refusal = "budget"};
    }
    return {.chosen = *chosen};
}

void record_first_attempt(node& self, const outbound_call& call, bool answered, bool refused)
{
    hedge_state& hedging = self.sidecar_state->hedging;
    const time_ms now = steady_now();
    if (refused)
    {
        record_capacity_refusal(hedging, call.service, now);
    }
    if (!answered)
    {
        return;
    }
    const auto latency_ms = static_cast<double>(now - call.offered_at);
    // Without the timer, the attempt was recorded as overdue when the timer expired.
    if (call.hedge_timer)
    {
        record_in_time(hedging, call.route, latency_ms);
    }
    record_attempt_latency(hedging, call.route, latency_ms, now);
}

void log_hedge(node& self, const outbound_call& call, const call_attempt& hedge,
               std::string_view outcome, std::string_view reason)
{
    count(self.stats, "hedges{outcome=\"" + std::string(outcome) + "\"}");
    log_event(log_level::info, "hedge",
              {{"id", call.caller.id},
               {"route", call.route},
               {"service", call.service},
               {"instance", hedge.instance},
               {"first_instance", call.instance},
               {"outcome", outcome},
               {"delay_ms", hedge.offered_at - call.offered_at},
               {"ms", steady_now() - hedge.offered_at},
               {"reason", reason}});
}

} // namespace sardinepoint
