#include "move_internal.hpp"

#include "sardinepoint/logging.hpp"

#include <vector>

namespace sardinepoint
{

namespace
{

using nlohmann::json;

constexpr time_ms crash_attribution_timeout_ms = 3000;
constexpr time_ms threshold_log_interval_ms = 1000;
constexpr double rate_smoothing_factor = 0.2;
constexpr int first_server_error = 500;

version_counters& counters_of(tracked_move& tracked, std::string_view route, bool new_version)
{
    route_counters& counters = tracked.own_counters[std::string(route)];
    return new_version ? counters.to : counters.from;
}

/** Adds to the counters of the route and, for the new version of an ordered move, to those of the
 * instance. */
void add_counters(tracked_move& tracked, const move_spec& spec, const attempt_evidence& attempt,
                  bool new_version, const version_counters& added)
{
    const auto add = [&](version_counters& counters)
    {
        counters.calls += added.calls;
        counters.failures += added.failures;
        counters.slow += added.slow;
        counters.untimed += added.untimed;
    };
    add(counters_of(tracked, attempt.route, new_version));
    if (new_version && spec.order > 0 && !attempt.instance.empty())
    {
        add(tracked.own_upstream_counters[std::string(attempt.instance)].to);
    }
}

void count_attempt(tracked_move& tracked, const move_spec& spec, const attempt_evidence& attempt,
                   bool new_version)
{
    const std::string route(attempt.route);
    const auto latency = static_cast<double>(attempt.elapsed);
    const bool answered = attempt.outcome == run_outcome::answered;
    const bool failed = !answered || attempt.status >= first_server_error;
    version_counters added{.failures = failed ? 1U : 0U};
    if (!attempt.counted_as_slow)
    {
        const auto threshold = slow_threshold_of(tracked, route);
        const bool untimed = answered && (attempt.cold || !threshold);
        added.calls = 1;
        added.untimed = untimed ? 1 : 0;
        added.slow = !answered || (!untimed && latency > *threshold) ? 1 : 0;
    }
    add_counters(tracked, spec, attempt, new_version, added);
    if (answered && !new_version && !attempt.cold)
    {
        record_old_latency(tracked.slow_thresholds[route], latency);
        record_old_latency(tracked.old_latencies[route], latency);
    }
}

/** Whether the version takes part in the move, and if so, whether it is the new one. */
std::optional<bool> is_new_version(const move_spec& spec, std::string_view version)
{
    if (version == spec.to)
    {
        return true;
    }
    return spec.from.empty() || version == spec.from ? std::optional(false) : std::nullopt;
}

/** Counts the pending crash of a request, if there is one, as a failure of its version. Called when
 * another upstream has answered the request, or after a timeout without a second crash. */
void attribute_crash(tracked_move& tracked, std::uint64_t fingerprint)
{
    const auto found = tracked.pending_crashes.find(fingerprint);
    if (found == tracked.pending_crashes.end())
    {
        return;
    }
    version_counters& counters =
        counters_of(tracked, found->second.route, found->second.on_new_version);
    ++counters.calls;
    ++counters.failures;
    tracked.pending_crashes.erase(found);
}

} // namespace

std::optional<double> slow_threshold_of(const tracked_move& tracked, const std::string& route)
{
    const auto own = tracked.slow_thresholds.find(route);
    if (own != tracked.slow_thresholds.end() && own->second.threshold_ms)
    {
        return own->second.threshold_ms;
    }
    const auto shared = tracked.shared_thresholds.find(route);
    return shared == tracked.shared_thresholds.end() ? std::nullopt : std::optional(shared->second);
}

void log_slow_thresholds(const std::string& move, tracked_move& tracked)
{
    const time_ms now = steady_now();
    if (now - tracked.thresholds_logged_at < threshold_log_interval_ms)
    {
        return;
    }
    tracked.thresholds_logged_at = now;
    for (const auto& [route, counters] : tracked.own_counters)
    {
        const auto threshold = slow_threshold_of(tracked, route);
        if (!threshold || tracked.logged_thresholds[route] == *threshold)
        {
            continue;
        }
        tracked.logged_thresholds[route] = *threshold;
        const auto own = tracked.slow_thresholds.find(route);
        const bool is_own = own != tracked.slow_thresholds.end() && own->second.threshold_ms;
        log_event(log_level::info, "slow_threshold",
                  {{"move", move},
                   {"route", route},
                   {"threshold_ms", *threshold},
                   {"source", is_own ? "daemon" : "domain"},
                   {"old_calls", counters.from.calls}});
    }
}

void resolve_pending_crashes(node& self, tracked_move& tracked)
{
    std::vector<std::uint64_t> due;
    for (const auto& [fingerprint, crash] : tracked.pending_crashes)
    {
        if (steady_now() - crash.since >= crash_attribution_timeout_ms)
        {
            due.push_back(fingerprint);
        }
    }
    for (const std::uint64_t fingerprint : due)
    {
        if (is_quarantined(self.quarantine, fingerprint, wall_now()))
        {
            tracked.pending_crashes.erase(fingerprint);
            continue;
        }
        attribute_crash(tracked, fingerprint);
    }
}

void record_attempt_evidence(node& self, const attempt_evidence& attempt)
{
    const auto [record, tracked] = move_of_service(self, attempt.service);
    if (record == nullptr || tracked->progress.withdrawn || attempt.outcome == run_outcome::not_run)
    {
        return;
    }
    const auto new_version = is_new_version(record->spec, attempt.version);
    if (!new_version)
    {
        return;
    }
    ++tracked->calls;
    tracked->mean_latency_ms +=
        rate_smoothing_factor * (static_cast<double>(attempt.elapsed) - tracked->mean_latency_ms);
    if (attempt.crashed)
    {
        const bool crashed_before = tracked->pending_crashes.contains(attempt.fingerprint);
        tracked->pending_crashes[attempt.fingerprint] = {.route = std::string(attempt.route),
                                                         .on_new_version = *new_version,
                                                         .since = steady_now()};
        if (crashed_before)
        {
            // A repeated crash is caused by the request, so no version is charged with it.
            tracked->pending_crashes.erase(attempt.fingerprint);
        }
        return;
    }
    if (attempt.outcome == run_outcome::answered)
    {
        attribute_crash(*tracked, attempt.fingerprint);
    }
    count_attempt(*tracked, record->spec, attempt, *new_version);
}

bool record_running_attempt(node& self, const attempt_evidence& attempt)
{
    const auto [record, tracked] = move_of_service(self, attempt.service);
    if (record == nullptr || tracked->progress.withdrawn)
    {
        return false;
    }
    const auto new_version = is_new_version(record->spec, attempt.version);
    const auto threshold = slow_threshold_of(*tracked, std::string(attempt.route));
    if (!new_version || !threshold || static_cast<double>(attempt.elapsed) <= *threshold)
    {
        return false;
    }
    add_counters(*tracked, record->spec, attempt, *new_version, {.calls = 1, .slow = 1});
    return true;
}

} // namespace sardinepoint
