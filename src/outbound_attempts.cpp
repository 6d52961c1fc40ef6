#include "outbound_internal.hpp"

#include "hedging/hedged_calls.hpp"
#include "instance_choice.hpp"
#include "sidecar.hpp"

#include "sardinepoint/logging.hpp"

#include <algorithm>
#include <utility>

namespace sardinepoint
{

namespace outbound
{

namespace
{

constexpr int max_offers = 4;
constexpr int default_max_attempts = 2;
constexpr time_ms peer_connect_timeout_ms = 300;
// The daemon beside the upstream times out this much earlier, so that its response arrives in time.
constexpr time_ms peer_response_margin_ms = 8;

/** Cancels an attempt in progress. */
void abort_attempt(node& self, const outbound_call& call, call_attempt& attempt)
{
    if (attempt.forwarded)
    {
        cancel_call(*self.sidecar_state->peer_pool, *attempt.forwarded);
        attempt.forwarded.reset();
    }
    if (attempt.inbound)
    {
        cancel_inbound(self, *attempt.inbound);
        attempt.inbound.reset();
    }
    if (instance_view* view = find_instance(self, call.service, attempt.instance))
    {
        record_ended(*view);
    }
}

void abort_hedge(node& self, outbound_call& call, std::string_view outcome)
{
    if (call.hedge)
    {
        abort_attempt(self, call, *call.hedge);
        log_hedge(self, call, *call.hedge, outcome);
        call.hedge.reset();
    }
}

void cancel_hedge_timer(node& self, outbound_call& call)
{
    if (call.hedge_timer)
    {
        cancel_timer(*self.loop, *call.hedge_timer);
        call.hedge_timer.reset();
    }
}

bool is_quarantined_call(node& self, const outbound_call& call)
{
    return is_quarantined(self.quarantine, call.fingerprint, wall_now());
}

std::size_t live_daemon_count(const node& self)
{
    return available_ids(self.members, self.config.domain).size();
}

/** Maximum number of upstreams that may receive the call. */
int max_arrivals(const outbound_call& call)
{
    return call.max_attempts > 0 ? call.max_attempts : default_max_attempts;
}

/** Whether there is an instance that the call was not offered to and that is not suspended. */
bool has_untried_instance(node& self, const outbound_call& call)
{
    const time_ms now = steady_now();
    const std::vector<instance_view>& views = instances_of(self, call.service).views;
    return std::any_of(views.begin(), views.end(),
                       [&](const instance_view& view)
                       {
                           return now >= view.suspended_until && now >= view.room_at &&
                                  !view.evacuated &&
                                  std::find(call.tried.begin(), call.tried.end(), view.instance) ==
                                      call.tried.end();
                       });
}

/** Whether an unanswered attempt may be cancelled for a retry. The last permitted attempt keeps
 * running until the deadline. */
bool may_abort_for_retry(node& self, const outbound_call& call)
{
    return call.idempotent && has_untried_instance(self, call) &&
           call.arrivals + 1 < max_arrivals(call) && !self.leaving &&
           can_retry(self.sidecar_state->retry_counts_by_service, call.service,
                     self.sidecar_state->retry_bounds, live_daemon_count(self), steady_now());
}

/** Whether another upstream may receive the call. If so, takes a retry from the retry budget. */
bool acquire_retry(node& self, const outbound_call& call)
{
    return call.arrivals < max_arrivals(call) && time_left(call) > min_time_left_ms &&
           take_retry(self.sidecar_state->retry_counts_by_service, call.service,
                      self.sidecar_state->retry_bounds, live_daemon_count(self), steady_now());
}

/** Like acquire_retry, for a call that may have run: it must be idempotent and not quarantined. */
bool acquire_idempotent_retry(node& self, const outbound_call& call)
{
    return call.idempotent && !is_quarantined_call(self, call) && acquire_retry(self, call);
}

bool has_arrived(const hop_report& report)
{
    return report.outcome != run_outcome::not_run || report.arrived;
}

bool is_capacity_refusal(const hop_report& report)
{
    return report.outcome == run_outcome::not_run && !report.gone;
}

/** Whether the result is a response that ends the call whatever other attempts return. */
bool is_final(const inbound_result& result)
{
    return result.report.outcome == run_outcome::answered &&
           result.response.status < first_server_error;
}

void deliver_answer(node& self, const outbound_call& call, inbound_result result)
{
    strip_connection_headers(result.response.headers);
    strip_internal_headers(result.response.headers);
    record_response_size(self, call.route, result.response.body.size());
    respond(self, call.id.value, std::move(result.response), "answered", result.report.reason);
}

void finish_hedge(node& self, outbound_call& call, inbound_result result, bool from_daemon)
{
    call_attempt hedge = *std::exchange(call.hedge, std::nullopt);
    hedge.forwarded.reset();
    hedge.inbound.reset();
    const hop_report& report = result.report;
    record_attempt(self, call, hedge, report, result.response.status, from_daemon);
    call.arrivals += has_arrived(report) ? 1 : 0;
    if (!is_final(result))
    {
        // The attempt in progress goes on; only its refusal would no longer mean "not run".
        const bool refused = report.outcome == run_outcome::not_run;
        log_hedge(self, call, hedge, refused ? "refused" : "failed", report.reason);
        call.may_have_run = call.may_have_run || !refused;
        if (from_daemon && is_capacity_refusal(report))
        {
            record_capacity_refusal(self.sidecar_state->hedging, call.service, steady_now());
        }
        return;
    }
    log_hedge(self, call, hedge, "won");
    record_first_attempt(self, call, true, false);
    record_if_slow(self, call, call);
    abort_attempt(self, call, call);
    ++call.arrivals;
    static_cast<call_attempt&>(call) = std::move(hedge);
    deliver_answer(self, call, std::move(result));
}

void finish_offer(node& self, std::uint64_t id, std::string_view instance, inbound_result result,
                  bool from_daemon)
{
    outbound_call* call = find_call(self, id);
    if (call == nullptr)
    {
        return;
    }
    if (call->hedge && call->hedge->instance == instance)
    {
        finish_hedge(self, *call, std::move(result), from_daemon);
        return;
    }
    call->forwarded.reset();
    call->inbound.reset();
    const hop_report& report = result.report;
    record_attempt(self, *call, *call, report, result.response.status, from_daemon);
    record_first_attempt(self, *call, is_final(result), from_daemon && is_capacity_refusal(report));
    cancel_hedge_timer(self, *call);
    call->last_reason = report.reason;
    const bool arrived = has_arrived(report);
    call->arrivals += arrived ? 1 : 0;
    if (call->hedge && !is_final(result))
    {
        log_hedge(self, *call, *call->hedge, "promoted", report.reason);
        call->may_have_run = call->may_have_run || report.outcome != run_outcome::not_run;
        static_cast<call_attempt&>(*call) = *std::exchange(call->hedge, std::nullopt);
        return;
    }
    switch (report.outcome)
    {
    case run_outcome::answered:
        if (result.response.status >= first_server_error && acquire_idempotent_retry(self, *call))
        {
            call->may_have_run = true;
            offer_call(self, id);
            return;
        }
        abort_hedge(self, *call, "lost");
        deliver_answer(self, *call, std::move(result));
        return;
    case run_outcome::not_run:
        if (call->offers < max_offers && (!arrived || acquire_retry(self, *call)))
        {
            offer_call(self, id);
            return;
        }
        refuse(self, id, "refused: " + report.reason, retry_after(self, *call));
        return;
    case run_outcome::unknown:
        break;
    }
    call->may_have_run = true;
    if (acquire_idempotent_retry(self, *call))
    {
        offer_call(self, id);
        return;
    }
    respond_outcome_unknown(self, id, "no response: " + report.reason, 502);
}

inbound_result parse_peer_response(http_result peer_result, bool& from_daemon)
{
    inbound_result result;
    from_daemon = false;
    result.report.reason = peer_result.reason;
    if (peer_result.outcome == call_outcome::not_sent)
    {
        result.report.outcome = run_outcome::not_run;
        result.report.reason = "the upstream's daemon accepts no connection: " + peer_result.reason;
        return result;
    }
    if (peer_result.outcome != call_outcome::answered)
    {
        return result;
    }
    auto report = take_report(peer_result.response);
    if (!report)
    {
        result.report.reason = "the upstream's daemon sent no valid report";
        return result;
    }
    from_daemon = true;
    result.report = std::move(*report);
    result.response = std::move(peer_result.response);
    return result;
}

/** Sends the call to the daemon beside the attempt's instance. */
void send_offer(node& self, outbound_call& call, call_attempt& attempt, const endpoint& daemon)
{
    const std::uint64_t id = call.id.value;
    const bool is_hedge = &attempt != &call;
    const time_ms left = time_left(call);
    hop_terms terms{.id = call.caller.id,
                    .instance = attempt.instance,
                    .caller_service = self.config.sidecar.service,
                    .route = call.route,
                    .organisation = call.organisation,
                    .priority = call.priority,
                    .parent_priority = call.parent_priority,
                    .latency_target_time_left =
                        std::max<time_ms>(call.latency_target_at - steady_now(), 0),
                    .time_left = std::max<time_ms>(left - peer_response_margin_ms, 1),
                    .idempotent = call.idempotent,
                    .is_retry = call.arrivals > 0 || is_hedge,
                    .has_cold_rate = has_cold_rate(self.config_replica.state, call.service),
                    .needs_free_slot = is_hedge};
    if (attempt.member == self.config.id)
    {
        const std::uint64_t inbound =
            run_inbound(self, call.request, call.body, std::move(terms),
                        [&self, id, instance = attempt.instance](inbound_result result)
                        { finish_offer(self, id, instance, std::move(result), true); });
        // The callback may have run already, ended the attempt and started another one.
        if (self.sidecar_state->inbound.contains(inbound))
        {
            attempt.inbound = inbound;
        }
        return;
    }
    http_request request = call.request;
    strip_connection_headers(request.headers);
    strip_internal_headers(request.headers);
    write_terms(request, terms);
    attempt.forwarded = send_request(
        *self.sidecar_state->peer_pool,
        {.peer = daemon,
         .method = std::move(request.method),
         .target = std::move(request.target),
         .headers = std::move(request.headers),
         .shared_body = call.body,
         .timeout = left,
         .connect_timeout =
             std::min(left, timeout_with_lag(self.lag, peer_connect_timeout_ms, steady_now())),
         .max_idle = max_peer_reuse_idle(call.idempotent)},
        [&self, id, instance = attempt.instance](http_result peer_result)
        {
            bool from_daemon = false;
            inbound_result result = parse_peer_response(std::move(peer_result), from_daemon);
            finish_offer(self, id, instance, std::move(result), from_daemon);
        });
}

/** Updates the view of this VM's own upstream from its queue, for which no report is sent. */
void record_own_queue_report(node& self, const std::string& service)
{
    if (!self.sidecar_state->served || self.sidecar_state->served->announced.service != service)
    {
        return;
    }
    if (instance_view* own =
            find_instance(self, service, self.sidecar_state->served->announced.instance))
    {
        record_report(*own, local_queue_report(self), steady_now());
    }
}

/** Reason not to hedge the call's slow attempt; empty after a hedge was sent. */
std::string_view try_hedge(node& self, outbound_call& call)
{
    if (!is_permitted(self, call))
    {
        return "not_permitted";
    }
    instance_group& group = instances_of(self, call.service);
    record_own_queue_report(self, call.service);
    const hedge_choice choice = choose_hedge(self, call, group,
                                             {.time_left = time_left(call) - min_time_left_ms,
                                              .max_arrivals = max_arrivals(call),
                                              .is_quarantined = is_quarantined_call(self, call),
                                              .daemons = live_daemon_count(self)});
    if (!choice.refusal.empty())
    {
        return choice.refusal;
    }
    instance_view& view = group.views[choice.chosen.index];
    call.hedge = {.member = view.member,
                  .instance = view.instance,
                  .version = view.version,
                  .offered_at = steady_now(),
                  .report_age = choice.chosen.report_age,
                  .known_service_time = choice.chosen.known_service_time,
                  .expected_wait = choice.chosen.wait};
    call.tried.push_back(view.instance);
    record_sent(view);
    send_offer(self, call, *call.hedge, group.daemons[choice.chosen.index]);
    return {};
}

void schedule_hedge(node& self, outbound_call& call, time_ms due)
{
    const std::uint64_t id = call.id.value;
    call.hedge_timer = run_after(
        *self.loop, std::max<time_ms>(due - steady_now(), 1),
        [&self, id, due]
        {
            outbound_call* slow_call = find_call(self, id);
            if (slow_call == nullptr)
            {
                return;
            }
            slow_call->hedge_timer.reset();
            const time_ms now = steady_now();
            if (const time_ms postponement = timer_postponement(due, now); postponement > 0)
            {
                schedule_hedge(self, *slow_call, now + postponement);
                return;
            }
            record_overdue(self.sidecar_state->hedging, slow_call->route);
            const std::string_view refusal = try_hedge(self, *slow_call);
            if (!refusal.empty())
            {
                count(self.stats, "hedges_skipped{reason=\"" + std::string(refusal) + "\"}");
            }
        });
}

} // namespace

void abort_attempts(node& self, outbound_call& call)
{
    cancel_hedge_timer(self, call);
    abort_attempt(self, call, call);
    abort_hedge(self, call, "cancelled");
}

void offer_call(node& self, std::uint64_t id)
{
    outbound_call& call = *find_call(self, id);
    if (time_left(call) <= min_time_left_ms)
    {
        refuse(self, id, "the call's deadline has passed", min_retry_after_ms);
        return;
    }
    if (is_quarantined_call(self, call))
    {
        refuse(self, id, "the request is quarantined: it ended upstreams", time_left(call));
        return;
    }
    // The configuration may have changed since an earlier offer.
    if (!is_permitted(self, call))
    {
        deny(self, id);
        return;
    }
    instance_group& group = instances_of(self, call.service);
    record_own_queue_report(self, call.service);
    const auto chosen = choose_instance(self, call, group);
    if (!chosen)
    {
        const std::string reason =
            call.tried.empty()
                ? "service '" + call.service + "' has no usable upstream"
                : "no other upstream of service '" + call.service + "': " + call.last_reason;
        refuse(self, id, reason, retry_after(self, call));
        return;
    }
    instance_view& view = group.views[chosen->index];
    call.member = view.member;
    call.instance = view.instance;
    call.version = view.version;
    call.expected_wait = chosen->wait;
    call.report_age = chosen->report_age;
    call.known_service_time = chosen->known_service_time;
    call.offered_at = steady_now();
    call.counted_as_slow = false;
    call.tried.push_back(view.instance);
    ++call.offers;
    record_sent(view);
    const auto delay = hedge_delay(self.sidecar_state->hedging, call.route,
                                   current_lag_ms(self.lag, call.offered_at));
    if (delay && call.idempotent)
    {
        schedule_hedge(self, call, call.offered_at + *delay);
    }
    send_offer(self, call, call, group.daemons[chosen->index]);
}

} // namespace outbound

using namespace outbound;

void reroute_calls(node& self, const std::string& member, time_ms offered_before)
{
    const auto is_silent = [&](const call_attempt& attempt)
    {
        return attempt.member == member && attempt.forwarded &&
               attempt.offered_at <= offered_before;
    };
    std::vector<std::uint64_t> ids;
    for (const auto& [id, call] : self.sidecar_state->outbound)
    {
        if (call->idempotent && (is_silent(*call) || (call->hedge && is_silent(*call->hedge))))
        {
            ids.push_back(id);
        }
    }
    log_event(log_level::warning, "peer_silent",
              {{"member", member}, {"calls", static_cast<std::uint64_t>(ids.size())}});
    for (const std::uint64_t id : ids)
    {
        outbound_call* call = find_call(self, id);
        if (call == nullptr)
        {
            continue;
        }
        // If no retry is possible, the response may still arrive.
        const bool may_abort_first = call->hedge || may_abort_for_retry(self, *call);
        call_attempt* silent = is_silent(*call) && may_abort_first      ? call
                               : call->hedge && is_silent(*call->hedge) ? &*call->hedge
                                                                        : nullptr;
        if (silent != nullptr)
        {
            cancel_call(*self.sidecar_state->peer_pool, *silent->forwarded);
            finish_offer(self, id, std::string(silent->instance),
                         {.report = {.reason = "the upstream's daemon is silent"}}, false);
        }
    }
}

} // namespace sardinepoint
