#include "outbound_internal.hpp"

#include "instances.hpp"
#include "move_runtime.hpp"
#include "sidecar.hpp"

#include <algorithm>

namespace sardinepoint
{

namespace outbound
{

namespace
{

/** Whether the attempt's upstream is slow because it started only recently. */
bool runs_on_cold_upstream(node& self, const outbound_call& call, const call_attempt& attempt)
{
    const instance_view* view = find_instance(self, call.service, attempt.instance);
    return view != nullptr && steady_now() < view->cold_until;
}

void record_version_evidence(node& self, const outbound_call& call, const call_attempt& attempt,
                             const hop_report& report, int status)
{
    const bool cold = runs_on_cold_upstream(self, call, attempt);
    record_attempt_evidence(self, {.service = call.service,
                                   .route = call.route,
                                   .version = attempt.version,
                                   .instance = attempt.instance,
                                   .outcome = report.outcome,
                                   .status = status,
                                   .elapsed = report.upstream_time,
                                   .cold = cold,
                                   .crashed = report.crashed,
                                   .counted_as_slow = attempt.counted_as_slow,
                                   .fingerprint = call.fingerprint});
}

} // namespace

void record_if_slow(node& self, const outbound_call& call, call_attempt& attempt)
{
    if (attempt.counted_as_slow || runs_on_cold_upstream(self, call, attempt))
    {
        return;
    }
    // Only the time at the upstream counts, so the expected wait for a slot is deducted.
    const time_ms now = steady_now();
    const time_ms wait = std::max<time_ms>(attempt.expected_wait, 0) +
                         static_cast<time_ms>(current_lag_ms(self.lag, now));
    attempt.counted_as_slow =
        record_running_attempt(self, {.service = call.service,
                                      .route = call.route,
                                      .version = attempt.version,
                                      .instance = attempt.instance,
                                      .elapsed = now - attempt.offered_at - wait});
}

void record_attempt(node& self, const outbound_call& call, const call_attempt& attempt,
                    const hop_report& report, int status, bool from_daemon)
{
    instance_view* view = find_instance(self, call.service, attempt.instance);
    if (view != nullptr)
    {
        const time_ms now = steady_now();
        record_ended(*view);
        if (from_daemon)
        {
            record_report(*view, report.queue, now);
            record_network_delay(*view, now - attempt.offered_at - report.daemon_time,
                                 self.sidecar_state->placement_params, now);
            peer_liveness& peer = self.sidecar_state->peers[attempt.member];
            peer.heard_at = now;
            peer.network_delay = view->network_delay;
        }
        if (report.outcome == run_outcome::answered)
        {
            record_response(*view, status >= first_server_error,
                            self.sidecar_state->placement_params);
        }
        else if (report.outcome == run_outcome::unknown || !from_daemon || report.gone)
        {
            record_no_response(*view, self.sidecar_state->placement_params, now);
        }
    }
    record_version_evidence(self, call, attempt, report, status);
}

} // namespace outbound

using namespace outbound;

void record_running_calls(node& self)
{
    for (auto& [id, call] : self.sidecar_state->outbound)
    {
        if (call->forwarded || call->inbound)
        {
            record_if_slow(self, *call, *call);
        }
        if (call->hedge)
        {
            record_if_slow(self, *call, *call->hedge);
        }
    }
}

} // namespace sardinepoint
