#include "rig/soak_state.hpp"

#include <algorithm>
#include <numeric>

namespace sardinepoint::rig
{

namespace
{

constexpr int max_attempts = 2;
// Defaults of the retry budget: the fraction of the calls, the extra retries and the window.
constexpr double retry_ratio = 0.2;
constexpr int extra_retries = 64;
constexpr time_ms retry_window_ms = 10'000;

/** Whether the daemon that received the call was disturbed during the call. */
bool was_disturbed(const soak& self, const soak_call& call)
{
    return std::any_of(
        self.disturbances.begin(), self.disturbances.end(),
        [&](const disturbance& item)
        {
            const bool ended_before_call = item.until != 0 && item.until < call.started;
            return item.daemon == call.daemon && item.from <= call.ended && !ended_before_call;
        });
}

/** Number of runs of one call by instance. */
using run_counts = std::map<std::string, int>;

std::map<std::string, run_counts> count_runs(const soak& self)
{
    std::map<std::string, run_counts> counted;
    for (const received_request& request : self.system.received_requests)
    {
        ++counted[request.id][request.instance];
    }
    return counted;
}

void check_runs(soak& self, const soak_call& call, const run_counts& by_instance)
{
    const int status = call.result.response.status;
    const int runs = std::accumulate(by_instance.begin(), by_instance.end(), 0,
                                     [](int sum, const auto& entry) { return sum + entry.second; });
    if (call.non_idempotent && runs > 1)
    {
        record_violation(self, call.id + " ran " + std::to_string(runs) + " times", call.started);
    }
    if (runs > max_attempts)
    {
        record_violation(self, call.id + " had too many attempts", call.started);
    }
    for (const auto& [instance, count] : by_instance)
    {
        if (count > 1)
        {
            record_violation(self, call.id + " reached " + instance + " twice", call.started);
        }
    }
    if (status == 503 && runs > 0)
    {
        record_violation(self, call.id + " was refused although it ran", call.started);
    }
    if (status == 200 && runs == 0)
    {
        record_violation(self, call.id + " was answered but never ran", call.started);
    }
}

void check_response(soak& self, const soak_call& call)
{
    const http_response& response = call.result.response;
    const int status = response.status;
    if (status == 200)
    {
        const auto stamp = find_header(response.headers, "X-Response-Stamp").value_or("");
        if (find_header(response.headers, "X-Request-Id").value_or("") != call.id ||
            response.body != "answer of " + std::string(stamp))
        {
            record_violation(self, call.id + " got the response of another call", call.started);
        }
    }
    if (status == 404)
    {
        record_violation(self, call.id + " got status 404 for an existing route", call.started);
    }
    if (was_disturbed(self, call))
    {
        return;
    }
    if (status == 0)
    {
        record_violation(self, call.id + " got no response: " + call.result.reason, call.started);
    }
    if (call.ended - call.started > soak_call_deadline_ms + soak_scheduling_margin_ms)
    {
        record_violation(self, call.id + " ended after its deadline", call.started);
    }
    if (call.after_recovery && status != 200)
    {
        record_violation(
            self, call.id + " got " + std::to_string(status) + " after all daemons had recovered",
            call.started);
    }
}

void check_departures(soak& self)
{
    for (const departure& departed : self.departures)
    {
        for (const received_request& request : self.system.received_requests)
        {
            if (request.instance == departed.instance &&
                request.at > departed.acknowledged_at + soak_drain_limit_ms)
            {
                record_violation(
                    self, request.id + " reached " + departed.instance + " after its departure",
                    request.at);
            }
        }
    }
}

/** Compares the retries in each window with the calls in it. */
void check_retry_budget(soak& self)
{
    std::vector<time_ms> retries;
    std::set<std::string_view> seen_ids;
    for (const received_request& request : self.system.received_requests)
    {
        if (!seen_ids.insert(request.id).second)
        {
            retries.push_back(request.at);
        }
    }
    for (std::size_t i = 0; i < retries.size(); ++i)
    {
        const time_ms from = retries[i] - retry_window_ms;
        const auto in_window =
            std::count_if(retries.begin(), retries.end(),
                          [&](time_ms at) { return at > from && at <= retries[i]; });
        const auto calls = std::count_if(
            self.calls.begin(), self.calls.end(),
            [&](const auto& call) { return call->started > from && call->started <= retries[i]; });
        if (static_cast<double>(in_window) >
            retry_ratio * static_cast<double>(calls) + extra_retries)
        {
            record_violation(self,
                             std::to_string(in_window) + " retries for " + std::to_string(calls) +
                                 " calls in one window",
                             retries[i]);
            return;
        }
    }
}

void count_call(soak_result& result, const soak_call& call)
{
    ++result.calls;
    const int status = call.result.response.status;
    result.answered += status == 200 ? 1 : 0;
    result.refused += status == 503 ? 1 : 0;
    result.failed += status != 200 && status != 503 ? 1 : 0;
}

} // namespace

void check_config_applied(soak& self, const published_config& published)
{
    // The limit applies only if neither the daemon nor the store had a fault for this long.
    constexpr time_ms stable_ms = 3000;
    const time_ms now = steady_now();
    const bool due =
        now >= published.at + soak_config_limit_ms && self.version == published.version;
    const bool store_stable =
        self.system.store.faults.empty() && self.last_store_fault + stable_ms < published.at;
    for (std::size_t i = 0; due && store_stable && i < self.system.daemons.size(); ++i)
    {
        const soak_call call{.id = "", .daemon = i, .started = now - stable_ms, .ended = now};
        if (was_disturbed(self, call))
        {
            continue;
        }
        const fleet_daemon& daemon = *self.system.daemons[i];
        const http_result result =
            self.system.call(daemon, {.path = "/" + newest_service(self) + "/x"});
        // The result is inconclusive if the daemon was disturbed during the call.
        const soak_call probe_call{.id = "", .daemon = i, .started = now, .ended = steady_now()};
        if (result.response.status == 404 && !was_disturbed(self, probe_call))
        {
            record_violation(self,
                             daemon.id + " returns 404 for a route of version " +
                                 std::to_string(published.version),
                             now);
        }
        ++self.result.config_checks;
    }
}

void check_guarantees(soak& self)
{
    const auto runs = count_runs(self);
    for (const auto& call : self.calls)
    {
        count_call(self.result, *call);
        const auto found = runs.find(call->id);
        check_runs(self, *call, found == runs.end() ? run_counts{} : found->second);
        check_response(self, *call);
    }
    check_departures(self);
    check_retry_budget(self);
}

} // namespace sardinepoint::rig
