#include "move_signals.hpp"
#include "move_slow_verdict.hpp"

#include "sardinepoint/registry.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <optional>

namespace sardinepoint
{
namespace
{

/** Time within which a decision reaches all proxies. */
constexpr time_ms decision_propagation_ms = 1'000;
/** Time for which a step must be observed before the next step is permitted. */
constexpr time_ms min_observation_ms = 1'500;
/** The final decision is made this long before the deadline: one decision interval, the propagation
 * of the decision and half a second of reserve. */
constexpr time_ms final_decision_lead_ms = 2'500;
/** Time for evidence from all upstreams: the propagation of the decision, two seconds of calls and
 * a second for slow ones to show. */
constexpr time_ms min_spread_ms = 4'000;
/** Percentage up to which the share may rise in spite of doubts, and up to which slow calls may be
 * observed anew. */
constexpr double max_doubtful_share = 25;
/** Answers of a new version that is possibly harmful from which on its calls are held back: they
 * may include 50 bad ones once the answers that are not yet reported are added. */
constexpr std::uint64_t max_unsettled_answers = 40;
/** Time for which the calls are held back until the doubt is settled, one way or the other. */
constexpr time_ms settle_ms = 1'500;
/** Answered calls that a move needs if its policy does not advance on little evidence. */
constexpr std::uint64_t min_answered_calls = 50;
/** Name of the sum over all routes in reason texts. */
constexpr std::string_view all_routes_name = "all routes";
/** Rises of the share by a smaller factor stem from clock differences between daemons and from
 * rounding, and do not count as a new step. */
constexpr double share_rise_factor = 1.2;

verdict_test find_test(const move_policy& policy)
{
    const auto named = registry<verdict_test>::find(policy.verdict_test);
    // Patch validation rejects unknown names, but a peer of a newer release may still send one.
    return named ? *named : *registry<verdict_test>::find("sequential");
}

/** Verdict test of a policy, with the parameters for both signals. */
struct signal_tests
{
    verdict_test test;
    test_parameters failures;
    test_parameters slow;
};

signal_tests find_signal_tests(const move_policy& policy, std::size_t routes)
{
    const double error_probability = error_probability_per_test(policy, routes);
    return {.test = find_test(policy),
            .failures = {.tolerated_increase = policy.tolerated_increase,
                         .error_probability = error_probability},
            .slow = {.tolerated_increase = policy.tolerated_slow_increase,
                     .error_probability = error_probability}};
}

interval_counts failure_interval(const route_counters& before, const route_counters& after)
{
    return {.from_calls = after.from.calls - before.from.calls,
            .from_hits = after.from.failures - before.from.failures,
            .to_calls = after.to.calls - before.to.calls,
            .to_hits = after.to.failures - before.to.failures};
}

interval_counts slow_interval(const route_counters& before, const route_counters& after)
{
    return {.from_calls = timed_calls(after.from) - timed_calls(before.from),
            .from_hits = after.from.slow - before.from.slow,
            .to_calls = timed_calls(after.to) - timed_calls(before.to),
            .to_hits = after.to.slow - before.to.slow};
}

/** Properties of an interval that are the same for all routes. */
struct interval_context
{
    double elapsed_fraction = 0;
    bool share_rose = false;
    bool full_share = false;
    bool records_slow_calls = true;
    double old_failure_burst_excess = 0;
    double old_slow_burst_excess = 0;
};

void record_route_interval(route_history& route, const route_counters& counters,
                           const signal_tests& signals, const interval_context& shared)
{
    interval_counts failures = failure_interval(route.observed_counters, counters);
    failures.elapsed_fraction = shared.elapsed_fraction;
    failures.share_rose = shared.share_rose;
    failures.full_share = shared.full_share;
    failures.old_burst_excess = shared.old_failure_burst_excess;
    signals.test.record_interval(route.failures, failures, signals.failures);
    interval_counts slow = slow_interval(route.observed_counters, counters);
    slow.elapsed_fraction = shared.elapsed_fraction;
    slow.share_rose = shared.share_rose;
    slow.full_share = shared.full_share;
    slow.old_burst_excess = shared.old_slow_burst_excess;
    if (shared.records_slow_calls)
    {
        signals.test.record_interval(route.slow, slow, signals.slow);
    }
    route.observed_counters = counters;
}

/** Forgets the evidence of slow calls on the upstreams that were preferred up to now. */
void discard_slow_calls(move_history& history, time_ms now)
{
    history.spread = true;
    history.slow_calls_from = now + decision_propagation_ms;
    // The step has to be observed anew.
    history.step_since = history.slow_calls_from;
    history.all_routes.slow = {};
    for (auto& [name, route] : history.routes)
    {
        route.slow = {};
    }
}

struct harm
{
    std::string reason;
    bool confirmed = false;
    /** Whether slow calls, not failures, are the evidence. */
    bool by_slow_calls = false;
};

std::string describe_harm(std::string_view route, std::string_view signal, std::uint64_t to_hits,
                          std::uint64_t to_calls, std::uint64_t from_hits, std::uint64_t from_calls)
{
    // Operators see "route NAME: 12 failures of 80 calls on the new version, 3 of 900 on ...".
    const std::string_view kind = route == all_routes_name ? "" : "route ";
    return fmt::format("{}{}: {} {} of {} calls on the new version, {} of {} on the old one", kind,
                       route, to_hits, signal, to_calls, from_hits, from_calls);
}

/** Confirmed harm on the route, else suspected harm, else nothing. */
std::optional<harm> find_route_harm(const signal_tests& signals, std::string_view name,
                                    const route_history& route, bool by_slow_calls)
{
    const verdict failures = signals.test.evaluate(route.failures, signals.failures);
    const verdict slow =
        by_slow_calls ? signals.test.evaluate(route.slow, signals.slow) : verdict{};
    const version_counters& from = route.observed_counters.from;
    const version_counters& to = route.observed_counters.to;
    if (failures.harmful || (failures.suspicious && !slow.harmful))
    {
        return harm{.reason = describe_harm(name, "failures", to.failures, to.calls, from.failures,
                                            from.calls),
                    .confirmed = failures.harmful};
    }
    if (slow.harmful || slow.suspicious)
    {
        return harm{.reason =
                        describe_harm(name, "slow calls", to.slow, to.calls, from.slow, from.calls),
                    .confirmed = slow.harmful,
                    .by_slow_calls = true};
    }
    return std::nullopt;
}

/** Whether a route's evidence is too little for a suspicion but raises doubts. */
bool is_doubtful(const signal_tests& signals, const route_history& route, bool by_slow_calls)
{
    return signals.test.evaluate(route.failures, signals.failures).doubtful ||
           (by_slow_calls && signals.test.evaluate(route.slow, signals.slow).doubtful);
}

bool has_doubts(const move_spec& spec, const move_history& history, std::size_t routes,
                bool by_slow_calls)
{
    const signal_tests signals = find_signal_tests(spec.policy, routes);
    return is_doubtful(signals, history.all_routes, by_slow_calls) ||
           std::any_of(history.routes.begin(), history.routes.end(),
                       [&](const auto& entry)
                       { return is_doubtful(signals, entry.second, by_slow_calls); });
}

/** The first confirmed harm in route order, else the first suspected one. */
std::optional<harm> find_harm(const move_policy& policy, const move_history& history,
                              std::size_t routes, bool by_slow_calls)
{
    const signal_tests signals = find_signal_tests(policy, routes);
    std::optional<harm> suspicion;
    for (const auto& [name, route] : history.routes)
    {
        std::optional<harm> found = find_route_harm(signals, name, route, by_slow_calls);
        if (found && found->confirmed)
        {
            return found;
        }
        suspicion = suspicion ? suspicion : found;
    }
    const std::optional<harm> overall =
        find_route_harm(signals, all_routes_name, history.all_routes, by_slow_calls);
    return overall && (overall->confirmed || !suspicion) ? overall : suspicion;
}

std::uint64_t answered_calls(const move_history& history)
{
    std::uint64_t answered = 0;
    for (const auto& [name, route] : history.routes)
    {
        answered += route.observed_counters.to.calls -
                    std::min(route.observed_counters.to.failures, route.observed_counters.to.calls);
    }
    return answered;
}

move_decision withdraw(const move_progress& progress, std::string reason)
{
    move_decision decision{.progress = progress};
    decision.progress.withdrawn = true;
    decision.progress.reason = std::move(reason);
    return decision;
}

move_decision hold(const move_progress& progress, std::string reason)
{
    return {.progress = progress, .hold_reason = std::move(reason)};
}

/**
 * Whether slow calls may stem from a slow upstream. While the share of an ordered move is small,
 * few upstreams get the new version's calls, and the move is too short to wait for better evidence.
 * While the calls are held back, a fault that shows only under load would not show on the others.
 */
bool may_spread(const move_spec& spec, const move_progress& progress, time_ms now)
{
    return spec.order > 0 && !progress.spread && !is_held(progress) &&
           share_at(spec, progress, now) <= max_doubtful_share &&
           now < spec.deadline - final_decision_lead_ms - min_spread_ms;
}

move_decision spread(const move_progress& progress, std::string_view reason)
{
    move_decision decision{.progress = progress,
                           .hold_reason =
                               "calls are spread over all upstreams: " + std::string(reason)};
    decision.progress.spread = true;
    return decision;
}

move_decision complete(const move_spec& spec, const move_progress& progress, std::string reason)
{
    move_decision decision{.progress = progress};
    decision.progress.step = static_cast<int>(spec.steps.size()) - 1;
    decision.progress.done = true;
    decision.progress.reason = std::move(reason);
    return decision;
}

/**
 * Decision of an ordered move about slow calls by upstream; empty if they don't matter. As soon as
 * the answers of a possibly harmful version may include 50 bad ones, its calls are held back, and
 * after a fixed time the more likely of good and harmful counts.
 */
std::optional<move_decision> decide_on_slow_calls(const move_spec& spec,
                                                  const move_progress& progress,
                                                  const move_history& history,
                                                  const move_context& context)
{
    if (spec.order == 0 || history.slow_calls.latest.to.empty())
    {
        return std::nullopt;
    }
    const slow_call_verdict verdict = judge_slow_calls(spec, progress, history, context);
    const std::size_t upstreams =
        std::max(context.new_upstreams, history.slow_calls.latest.to.size());
    if (verdict.doubtful && tolerated_slow_upstreams(upstreams) > 0 &&
        may_spread(spec, progress, context.now))
    {
        return spread(progress, verdict.reason);
    }
    if (verdict.harmful)
    {
        return withdraw(progress, verdict.reason);
    }
    if (progress.done)
    {
        return std::nullopt;
    }
    if (!is_held(progress))
    {
        if (!verdict.doubtful || verdict.answers < max_unsettled_answers)
        {
            return std::nullopt;
        }
        move_decision held = hold(progress, "calls are held back: " + verdict.reason);
        ++held.progress.holds;
        return held;
    }
    if (!verdict.harmful_if_held && context.now < std::min(history.holds_since + settle_ms,
                                                           spec.deadline - final_decision_lead_ms))
    {
        return hold(progress, "calls are held back: " + verdict.reason);
    }
    if (verdict.harmful_if_held || verdict.likely)
    {
        return withdraw(progress, "possible harm not cleared up: " + verdict.reason);
    }
    move_decision released{.progress = progress};
    ++released.progress.holds;
    return released;
}

bool are_few_upstreams_slow(const move_spec& spec, const move_progress& progress,
                            const move_history& history, const move_context& context)
{
    return spec.order > 0 && judge_slow_calls(spec, progress, history, context).unlikely;
}

bool has_slow_call_doubts(const move_spec& spec, const move_progress& progress,
                          const move_history& history, const move_context& context)
{
    return spec.order > 0 && judge_slow_calls(spec, progress, history, context).doubtful;
}

/** Completes the move if no harm is suspected and there is enough evidence, else withdraws it. */
move_decision decide_at_deadline(const move_spec& spec, const move_progress& progress,
                                 const move_history& history, const std::optional<harm>& suspicion,
                                 bool steps_passed)
{
    if (suspicion)
    {
        return withdraw(progress,
                        "suspected harm not cleared up by the deadline: " + suspicion->reason);
    }
    const std::uint64_t answered = answered_calls(history);
    if (answered == 0)
    {
        return withdraw(progress, "the new version answered no call before the deadline");
    }
    if (!spec.policy.advance_on_little_evidence && (!steps_passed || answered < min_answered_calls))
    {
        return withdraw(progress, "too little evidence before the deadline");
    }
    return complete(spec, progress,
                    steps_passed ? "all steps passed" : "deadline reached without a sign of harm");
}

/** Whether the evidence covers the current step for at least `min_observation_ms`. */
bool is_step_observed(const move_spec& spec, const move_progress& progress,
                      const move_history& history, time_ms evidence_until)
{
    const time_ms in_effect = std::max(history.step_since, step_start(spec, progress.step));
    return evidence_until >= in_effect + min_observation_ms;
}

} // namespace

void record_evidence(move_history& history, const move_spec& spec, const move_progress& progress,
                     const evidence_totals& totals, const move_context& context,
                     const evidence_totals& upstream_totals)
{
    const double length = static_cast<double>(std::max<time_ms>(spec.deadline - spec.start, 1));
    const time_ms since = std::max(history.observed_until, spec.start);
    const double share = share_at(spec, progress, context.now);
    const route_counters sum = sum_routes(totals);
    const interval_counts failures = failure_interval(history.all_routes.observed_counters, sum);
    const interval_counts slow = slow_interval(history.all_routes.observed_counters, sum);
    const auto from_calls = static_cast<double>(failures.from_calls);
    update_burst_tracker(history.failure_bursts, from_calls,
                         static_cast<double>(failures.from_hits));
    update_burst_tracker(history.slow_bursts, from_calls, static_cast<double>(slow.from_hits));
    if (progress.spread && !history.spread)
    {
        discard_slow_calls(history, context.now);
    }
    const interval_context shared{
        .elapsed_fraction = std::max(0.0, static_cast<double>(context.now - since) / length),
        .share_rose = share > history.last_share * share_rise_factor,
        .full_share = share >= 100,
        .records_slow_calls = context.evidence_until >= history.slow_calls_from,
        .old_failure_burst_excess = burst_excess(history.failure_bursts),
        .old_slow_burst_excess = burst_excess(history.slow_bursts)};
    const signal_tests signals = find_signal_tests(spec.policy, context.routes);
    for (const auto& [name, counters] : totals)
    {
        record_route_interval(history.routes[name], counters, signals, shared);
    }
    record_route_interval(history.all_routes, sum, signals, shared);
    record_slow_counts(history.slow_calls, make_slow_counts(sum, upstream_totals, context.now));
    if (progress.holds != history.holds)
    {
        history.holds = progress.holds;
        history.holds_since = context.now;
        if (!is_held(progress))
        {
            // The step has to be observed anew.
            history.step_since = context.now;
            restart_slow_counts(history.slow_calls);
        }
    }
    if (progress.step != history.step)
    {
        history.step = progress.step;
        history.step_since = context.now;
    }
    history.last_share = share;
    history.observed_until = context.now;
}

move_decision decide_move(const move_spec& spec, const move_progress& progress,
                          const move_history& history, const move_context& context)
{
    if (!is_watched(spec, progress, context.now))
    {
        return {.progress = progress};
    }
    const bool few_slow_upstreams = are_few_upstreams_slow(spec, progress, history, context);
    const std::optional<harm> found =
        find_harm(spec.policy, history, context.routes, !few_slow_upstreams);
    if (found && found->by_slow_calls && may_spread(spec, progress, context.now))
    {
        return spread(progress, found->reason);
    }
    if (found && found->confirmed)
    {
        return withdraw(progress, found->reason);
    }
    if (const auto decided = decide_on_slow_calls(spec, progress, history, context))
    {
        return *decided;
    }
    if (progress.done)
    {
        return {.progress = progress};
    }
    if (!context.log_available && !spec.policy.rise_without_log)
    {
        return hold(progress, "the log is unavailable");
    }
    if (context.isolated && spec.policy.stop_when_isolated)
    {
        return hold(progress, "isolated from the other failure domains");
    }
    const int last = static_cast<int>(spec.steps.size()) - 1;
    const bool observed = is_step_observed(spec, progress, history, context.evidence_until);
    if (context.now >= spec.deadline - final_decision_lead_ms)
    {
        // After the calls were spread, doubts by the sum of the upstreams may still stem from a
        // slow one.
        const bool doubtful = spec.order > 0 && !progress.spread &&
                              has_doubts(spec, history, context.routes, !few_slow_upstreams);
        if (!found && (doubtful || has_slow_call_doubts(spec, progress, history, context)))
        {
            return withdraw(progress, "possible harm not cleared up by the deadline");
        }
        const bool steps_passed = progress.step >= last - 1 && observed;
        return decide_at_deadline(spec, progress, history, found, steps_passed);
    }
    if (found)
    {
        return hold(progress, "suspected harm: " + found->reason);
    }
    const int next = progress.step + 1;
    if (next > last || context.now + decision_propagation_ms < step_start(spec, next))
    {
        return {.progress = progress};
    }
    if (!observed)
    {
        return hold(progress, "waiting for evidence of the present step");
    }
    const double next_share = spec.steps[static_cast<std::size_t>(next)].share;
    if (next_share > max_doubtful_share &&
        ((spec.order > 0 && has_doubts(spec, history, context.routes, !few_slow_upstreams)) ||
         has_slow_call_doubts(spec, progress, history, context)))
    {
        return hold(progress, "possible harm, not enough evidence");
    }
    if (next < last)
    {
        move_decision raised{.progress = progress};
        raised.progress.step = next;
        return raised;
    }
    if (answered_calls(history) == 0)
    {
        return hold(progress, "the new version has answered no call");
    }
    return complete(spec, progress, "all steps passed");
}

} // namespace sardinepoint
