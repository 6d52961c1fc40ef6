#include "call_attempts.hpp"
#include "gateways.hpp"
#include "move_internal.hpp"
#include "move_json.hpp"
#include "outbound.hpp"
#include "peer_messages.hpp"
#include "peering.hpp"
#include "replica.hpp"
#include "sidecar.hpp"

#include "sardinepoint/logging.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace sardinepoint
{

namespace
{

using nlohmann::json;

constexpr time_ms tick_interval_ms = 250;
constexpr time_ms report_interval_ms = 1000;
// Ordered moves may last only seconds, so faults have to be detected within one second.
constexpr time_ms order_report_interval_ms = 250;
// Time after which the aggregator's evidence should include a call.
constexpr time_ms order_evidence_lag_ms = 400;
constexpr time_ms report_timeout_ms = 1000;
// A report covers at most one report interval; the remaining 500 ms are for its delivery.
constexpr time_ms evidence_lag_ms = 1500;
// Bounds the time by which routes with slow calls delay each step.
constexpr time_ms max_slow_call_delay_ms = 1000;
constexpr std::size_t aggregators_per_move = 2;
constexpr time_ms isolation_timeout_ms = 5000;
constexpr time_ms max_log_age_ms = 10000;
constexpr time_ms outcome_retry_ms = 3000;
// Shorter than for other moves, because the old version waits for the end of an ordered move.
constexpr time_ms order_outcome_retry_ms = 1000;
// Between two lines with the counts of a move whose decision doesn't change.
constexpr time_ms evidence_log_interval_ms = 2000;
// The counts in the reason of a hold change with each decision.
constexpr time_ms hold_log_interval_ms = 1000;
constexpr double rate_smoothing_factor = 0.2;
constexpr double ms_per_second = 1000;

std::string proxy_name(const node& self)
{
    return self.config.id + "/" + std::to_string(self.incarnation);
}

void report_own_evidence(node& self, const std::string& move, tracked_move& tracked)
{
    if (tracked.own_counters == tracked.sent_counters)
    {
        return;
    }
    tracked.sent_counters = tracked.own_counters;
    json message{{"id", self.config.id},
                 {"move", move},
                 {"proxies", {{proxy_name(self), to_json(tracked.own_counters)}}}};
    if (!tracked.own_upstream_counters.empty())
    {
        message["upstreams"]["proxies"][proxy_name(self)] = to_json(tracked.own_upstream_counters);
    }
    for (const auto& [route, counts] : tracked.old_latencies)
    {
        if (!tracked.slow_thresholds[route].threshold_ms)
        {
            message["latencies"][proxy_name(self)][route] = to_json(counts);
        }
    }
    for (const std::string& member : aggregators_of(self, move))
    {
        deliver_evidence(self, member, message);
    }
}

/** Sends the failure domain's sums to its gateways. */
void report_domain_sum(node& self, const std::string& move, tracked_move& tracked)
{
    move_evidence sum;
    sum.totals_by_source[self.config.domain] = sum_evidence(tracked.proxy_evidence);
    merge_evidence(tracked.domain_sums, sum);
    json message{{"id", self.config.id},
                 {"move", move},
                 {"domains",
                  {{self.config.domain,
                    to_json(tracked.domain_sums.totals_by_source[self.config.domain])}}}};
    move_evidence upstream_sum;
    upstream_sum.totals_by_source[self.config.domain] =
        sum_evidence(tracked.proxy_upstream_evidence);
    merge_evidence(tracked.domain_upstream_sums, upstream_sum);
    const evidence_totals& upstreams =
        tracked.domain_upstream_sums.totals_by_source[self.config.domain];
    if (!upstreams.empty())
    {
        message["upstreams"]["domains"][self.config.domain] = to_json(upstreams);
    }
    for (const std::string& member : gateway_ids(self))
    {
        if (member != self.config.id)
        {
            deliver_evidence(self, member, message);
        }
    }
}

/** Computed once per interval, since each of the domain's proxies asks for them with its reports.
 */
void update_domain_thresholds(tracked_move& tracked)
{
    for (const auto& [route, counts_by_proxy] : tracked.proxy_latencies)
    {
        if (const auto threshold = shared_slow_threshold(counts_by_proxy))
        {
            tracked.domain_thresholds[route] = *threshold;
        }
    }
}

bool other_domains_unreachable(const tracked_move& tracked)
{
    return !tracked.last_domain_reports.empty() &&
           std::all_of(tracked.last_domain_reports.begin(), tracked.last_domain_reports.end(),
                       [](const auto& entry)
                       { return steady_now() - entry.second > isolation_timeout_ms; });
}

time_ms outcome_retry_interval(const move_record& record)
{
    return record.spec.order > 0 ? order_outcome_retry_ms : outcome_retry_ms;
}

time_ms report_interval(const move_spec& spec)
{
    return spec.order > 0 ? order_report_interval_ms : report_interval_ms;
}

void handle_recorded_outcome(node& self, const std::string& move, const outcome_result& result)
{
    log_event(log_level::info, "move_outcome_appended",
              {{"move", move},
               {"ok", result.outcome == append_outcome::appended ? "yes" : "no"},
               {"state", to_string(result.recorded)},
               {"reason", result.reason}});
    if (result.recorded != move_state::running)
    {
        // The first recorded outcome is final, even if this daemon decided otherwise.
        const move_progress progress{.withdrawn = result.recorded == move_state::withdrawn,
                                     .done = result.recorded == move_state::done,
                                     .recorded = true,
                                     .reason = result.reason};
        advance_move(self, move, progress, "log");
        broadcast_move(self, move);
        return;
    }
    // The daemon learns from the log which outcome counts.
    request_read(self);
}

/** Records the end of a move between two ticks; the next tick may be too late for its deadline. */
void append_outcome_after_drain(node& self, const std::string& move);

void record_move_outcome(node& self, const move_record& record, tracked_move& tracked)
{
    const bool ended = tracked.progress.withdrawn || tracked.progress.done;
    const move_state decided_state =
        tracked.progress.withdrawn ? move_state::withdrawn : move_state::done;
    const bool already_recorded =
        record.state == decided_state || record.state == move_state::withdrawn;
    const bool start_due = record.spec.order > 0 && !ended && !tracked.start_recorded;
    if (!start_due && (!ended || already_recorded))
    {
        return;
    }
    const time_ms time_since_done = tracked.done_since > 0 ? steady_now() - tracked.done_since : 0;
    const time_ms time_left =
        start_due ? 0 : drain_time_left(record.spec, tracked.progress, time_since_done, wall_now());
    if (time_left > 0)
    {
        if (time_left < tick_interval_ms)
        {
            run_after(*self.loop, time_left,
                      [&self, move = record.spec.id] { append_outcome_after_drain(self, move); });
        }
        return;
    }
    if (tracked.outcome_appended_at > 0 &&
        steady_now() - tracked.outcome_appended_at <
            (start_due ? outcome_retry_ms : outcome_retry_interval(record)))
    {
        return;
    }
    tracked.outcome_appended_at = start_due ? 0 : steady_now();
    tracked.start_recorded = true;
    const move_outcome outcome{.move = record.spec.id,
                               .state = start_due ? move_state::running : decided_state,
                               .reason = tracked.progress.reason};
    record_outcome(self.log, record.spec, outcome,
                   [&self, move = record.spec.id](const outcome_result& result)
                   { handle_recorded_outcome(self, move, result); });
}

void append_outcome_after_drain(node& self, const std::string& move)
{
    const auto tracked = self.moves->moves.find(move);
    const move_record* record = find_move_record(self, move);
    if (record != nullptr && record->state == move_state::running && !is_replaced(self, *record) &&
        tracked != self.moves->moves.end())
    {
        record_move_outcome(self, *record, tracked->second);
    }
}

bool routes_to_service(const route& value, std::string_view service)
{
    return value.service == service ||
           std::any_of(value.split.begin(), value.split.end(),
                       [service](const split_target& target) { return target.service == service; });
}

/** Time after which a slow call is known to be slow, on the route with the slowest calls. */
time_ms slow_call_delay(const tracked_move& tracked)
{
    double delay = 0;
    for (const auto& [route, threshold] : tracked.shared_thresholds)
    {
        delay = std::max(delay, threshold);
    }
    for (const auto& [route, threshold] : tracked.slow_thresholds)
    {
        delay = std::max(delay, threshold.threshold_ms.value_or(0));
    }
    return std::min(static_cast<time_ms>(delay), max_slow_call_delay_ms);
}

/** Slow and timed calls of each upstream of the new version, for a log line. */
std::string describe_upstreams(const slow_counts& counts)
{
    constexpr std::size_t max_logged_upstreams = 8;
    std::string text;
    std::size_t logged = 0;
    for (const auto& [upstream, calls] : counts.to)
    {
        if (++logged > max_logged_upstreams)
        {
            return text + ",...";
        }
        text +=
            fmt::format("{}{}:{}/{}", text.empty() ? "" : ",", upstream, calls.slow, calls.calls);
    }
    return text;
}

void log_evidence(const move_spec& spec, tracked_move& tracked)
{
    tracked.evidence_logged_at = steady_now();
    const version_counters& from = tracked.history.all_routes.observed_counters.from;
    const version_counters& to = tracked.history.all_routes.observed_counters.to;
    log_event(log_level::info, "move_evidence",
              {{"move", spec.id},
               {"step", tracked.progress.step},
               {"share", tracked.history.last_share},
               {"spread", tracked.progress.spread ? "yes" : "no"},
               {"held", is_held(tracked.progress) ? "yes" : "no"},
               {"old_calls", from.calls},
               {"old_failures", from.failures},
               {"old_slow", from.slow},
               {"old_untimed", from.untimed},
               {"new_calls", to.calls},
               {"new_failures", to.failures},
               {"new_slow", to.slow},
               {"new_untimed", to.untimed},
               {"new_upstreams", describe_upstreams(tracked.history.slow_calls.latest)},
               {"hold_reason", tracked.hold_reason}});
}

void decide(node& self, const move_record& record, tracked_move& tracked)
{
    const move_spec& spec = record.spec;
    const auto& routes = self.config_replica.state.routes;
    const bool isolated = other_domains_unreachable(tracked);
    const time_ms lag =
        (spec.order > 0 ? order_evidence_lag_ms : evidence_lag_ms) + slow_call_delay(tracked);
    const move_context context{
        .now = wall_now(),
        .log_available = freshness_age(self) < max_log_age_ms,
        .isolated = isolated,
        .evidence_until = wall_now() - lag,
        .routes = static_cast<std::size_t>(std::max<std::ptrdiff_t>(
            1, std::count_if(routes.begin(), routes.end(),
                             [&](const auto& entry)
                             { return routes_to_service(entry.second, spec.service); }))),
        .new_upstreams =
            available_upstreams(self.members, spec.service, spec.to, self.config.domain).size()};
    record_evidence(tracked.history, spec, tracked.progress, sum_evidence(tracked.domain_sums),
                    context, sum_evidence(tracked.domain_upstream_sums));
    const move_decision decision = decide_move(spec, tracked.progress, tracked.history, context);
    const bool hold_changed = decision.hold_reason != tracked.hold_reason;
    if (hold_changed)
    {
        tracked.hold_reason = decision.hold_reason;
        log_event(log_level::info, "move_hold",
                  {{"move", spec.id}, {"reason", decision.hold_reason}});
    }
    bool broadcast_needed = advance_move(self, spec.id, decision.progress, "aggregator");
    const time_ms since_logged = steady_now() - tracked.evidence_logged_at;
    if (broadcast_needed || since_logged >= evidence_log_interval_ms ||
        (hold_changed && since_logged >= hold_log_interval_ms))
    {
        log_evidence(spec, tracked);
    }
    if (isolated && spec.policy.stop_when_isolated)
    {
        tracked.isolated_at = wall_now();
        broadcast_needed = true;
    }
    if (broadcast_needed)
    {
        broadcast_move(self, spec.id);
    }
}

/**
 * Whether a completion may have been submitted, by this daemon or by another aggregator. The old
 * version's upstreams end with its record, so the move can't be withdrawn any more.
 */
bool may_completion_be_recorded(const move_record& record, const tracked_move& tracked)
{
    return record.spec.order > 0 && tracked.progress.done && !tracked.progress.withdrawn &&
           drain_time_left(record.spec, tracked.progress, steady_now() - tracked.done_since,
                           wall_now()) == 0;
}

void tick_move(node& self, const std::string& move, tracked_move& tracked)
{
    const move_record* record = find_move_record(self, move);
    const time_ms now = steady_now();
    if (record == nullptr || now - tracked.reported_at < report_interval(record->spec))
    {
        return;
    }
    const time_ms elapsed = std::max<time_ms>(now - tracked.reported_at, 1);
    tracked.reported_at = now;
    if (tracked.progress.done && tracked.done_since == 0)
    {
        tracked.done_since = now;
    }
    for (auto& [route, threshold] : tracked.slow_thresholds)
    {
        update_slow_threshold(threshold, wall_now());
    }
    const auto calls = static_cast<double>(tracked.calls - tracked.calls_at_tick);
    tracked.calls_at_tick = tracked.calls;
    tracked.call_rate += rate_smoothing_factor *
                         (calls * ms_per_second / static_cast<double>(elapsed) - tracked.call_rate);
    log_slow_thresholds(move, tracked);
    resolve_pending_crashes(self, tracked);
    report_own_evidence(self, move, tracked);
    const std::vector<std::string> aggregators = aggregators_of(self, move);
    const auto rank = std::find(aggregators.begin(), aggregators.end(), self.config.id);
    if (rank == aggregators.end())
    {
        return;
    }
    report_domain_sum(self, move, tracked);
    update_domain_thresholds(tracked);
    const bool order_ended = record->spec.order > 0 && record->state != move_state::running;
    // A replaced version gets no calls, so its move must not be decided: without evidence it would
    // be completed at its deadline, and the old version's upstreams would end.
    if (order_ended || is_replaced(self, *record))
    {
        return;
    }
    if (!is_watched(record->spec, tracked.progress, wall_now()) ||
        may_completion_be_recorded(*record, tracked))
    {
        record_move_outcome(self, *record, tracked);
        return;
    }
    // The second aggregator only collects evidence, so that it can take over immediately.
    if (rank == aggregators.begin())
    {
        decide(self, *record, tracked);
        record_move_outcome(self, *record, tracked);
    }
}

void tick_moves(node& self)
{
    if (self.moves->moves.empty())
    {
        return;
    }
    record_running_attempts(self);
    if (is_sidecar(self))
    {
        record_running_calls(self);
    }
    std::vector<std::string> ids;
    for (const auto& [id, tracked] : self.moves->moves)
    {
        ids.push_back(id);
    }
    for (const std::string& id : ids)
    {
        tick_move(self, id, self.moves->moves[id]);
    }
}

} // namespace

std::vector<std::string> aggregators_of(const node& self, const std::string& move)
{
    const auto ids = alive_ids(self.members, self.config.domain);
    const auto picked = rendezvous_pick(ids, "move/" + move, aggregators_per_move);
    return {picked.begin(), picked.end()};
}

void deliver_evidence(node& self, const std::string& member, const json& message)
{
    if (member == self.config.id)
    {
        merge_slow_thresholds(self, string_field(message, "move"),
                              merge_evidence_report(self, message));
        return;
    }
    if (const member_entry* entry = find_member(self.members, member))
    {
        count(self.stats, "evidence_sent");
        send_to_peer(self, control_endpoint(entry->record), "/peer/v1/evidence", message,
                     report_timeout_ms,
                     [&self, move = string_field(message, "move")](const json* response)
                     {
                         if (response != nullptr)
                         {
                             merge_slow_thresholds(self, move, *response);
                         }
                     });
    }
}

void start_move_timer(node& self)
{
    run_every(*self.loop, tick_interval_ms, [&self] { tick_moves(self); });
}

} // namespace sardinepoint
