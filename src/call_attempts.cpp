#include "call_attempts.hpp"

#include "call_headers.hpp"
#include "call_keys.hpp"
#include "call_responses.hpp"
#include "endpoints.hpp"
#include "local_hop.hpp"
#include "move_runtime.hpp"

#include "sardinepoint/logging.hpp"

#include <algorithm>
#include <utility>

namespace sardinepoint
{

namespace
{

constexpr int max_attempts = 4;
constexpr double seconds_per_us = 1e-6;

/** Result of an attempt, whether it was run on this VM or forwarded to another daemon. */
struct attempt_result
{
    call_outcome transport = call_outcome::unknown;
    /** Outcome reported by the daemon beside the upstream; empty without such a report. */
    std::optional<std::string> outcome_header;
    http_response response;
    std::string reason;
    std::optional<int> load;
    bool crashed = false;
};

void fail_call(node& self, std::uint64_t id, std::string reason)
{
    const ingress_call* call = find_call(self, id);
    if (call == nullptr)
    {
        return;
    }
    if (call->may_have_run)
    {
        complete_call(self, id, run_outcome::unknown, unknown_response(std::move(reason)));
        return;
    }
    complete_call(self, id, run_outcome::not_run,
                  not_run_response(std::move(reason), "send the request again later"));
}

/**
 * Whether a move's new version responded with a server error to a call that may be retried on the
 * old version.
 */
bool is_new_version_error(const node& self, const ingress_call& call, const http_response& response)
{
    const auto moved = current_moved_share(self, call.service);
    return response.status / 100 == 5 && moved && moved->to == call.version && call.idempotent &&
           !call.avoid_new_version;
}

void retry(node& self, std::uint64_t id, bool refused)
{
    ingress_call& call = *find_call(self, id);
    count(self.stats, "retries");
    if (!refused)
    {
        start_attempt(self, id);
        return;
    }
    const time_ms delay = std::min(retry_delay(call.attempts, self.random), time_left(call));
    call.retry_timer = run_after(*self.loop, std::max<time_ms>(delay, 0),
                                 [&self, id]
                                 {
                                     if (ingress_call* waiting = find_call(self, id))
                                     {
                                         waiting->retry_timer.reset();
                                         start_attempt(self, id);
                                     }
                                 });
}

void record_attempt(node& self, ingress_call& call, const attempt_result& result,
                    const failure_class& classification)
{
    endpoint_candidate* candidate = find_candidate(self, call.service, call.version, call.target);
    const time_ms now = steady_now();
    const time_ms elapsed = now - call.attempt_started;
    if (candidate != nullptr)
    {
        if (classification.outcome == run_outcome::answered)
        {
            record_success(*candidate, self.balancing, elapsed, result.load, now);
        }
        else if (classification.outcome == run_outcome::not_run && result.outcome_header)
        {
            record_refusal(*candidate, self.balancing, result.load, now);
        }
        else
        {
            record_failure(*candidate, self.balancing, elapsed, now, self.random);
        }
    }
    record_attempt_evidence(self, {.service = call.service,
                                   .route = call.route,
                                   .version = call.version,
                                   .outcome = classification.outcome,
                                   .status = result.response.status,
                                   .elapsed = elapsed,
                                   .crashed = result.crashed,
                                   .counted_as_slow = call.counted_as_slow,
                                   .fingerprint = call.fingerprint});
}

void complete_answered_call(node& self, std::uint64_t id, attempt_result result)
{
    ingress_call& call = *find_call(self, id);
    http_response response = std::move(result.response);
    strip_connection_headers(response.headers);
    set_header(response.headers, call_headers::outcome,
               std::string(to_string(run_outcome::answered)));
    set_header(response.headers, call_headers::version, call.version);
    set_header(response.headers, call_headers::upstream, call.target.member);
    complete_call(self, id, run_outcome::answered, std::move(response));
}

void finish_attempt(node& self, std::uint64_t id, attempt_result result)
{
    ingress_call* call = find_call(self, id);
    if (call == nullptr)
    {
        return;
    }
    call->forwarded.reset();
    call->local_hop.reset();
    std::optional<std::string_view> header;
    if (result.outcome_header)
    {
        header = *result.outcome_header;
    }
    const failure_class classification = classify_failure({.outcome = result.transport,
                                                           .from_daemon = true,
                                                           .outcome_header = header,
                                                           .idempotent = call->idempotent,
                                                           .time_left = time_left(*call)});
    record_attempt(self, *call, result, classification);
    log_event(log_level::debug, "attempt",
              {{"service", call->service},
               {"upstream", call->target.member},
               {"outcome", to_string(classification.outcome)},
               {"reason", result.reason}});
    const bool attempts_left = call->attempts < max_attempts;
    if (classification.outcome == run_outcome::answered)
    {
        if (is_new_version_error(self, *call, result.response) && attempts_left &&
            take_retry_token(self.ingress_retry_budget, steady_now()))
        {
            call->avoid_new_version = true;
            call->may_have_run = true;
            retry(self, id, false);
            return;
        }
        complete_answered_call(self, id, std::move(result));
        return;
    }
    call->may_have_run = call->may_have_run || classification.outcome == run_outcome::unknown;
    call->avoid_new_version = true;
    // After a second crashed upstream the call isn't retried, so that a harmful request can't crash
    // one upstream after another.
    const bool crash_limit = result.crashed && std::exchange(call->upstream_crashed, true);
    if (classification.retry_allowed && attempts_left && !crash_limit &&
        take_retry_token(self.ingress_retry_budget, steady_now()))
    {
        retry(self, id, classification.outcome == run_outcome::not_run);
        return;
    }
    fail_call(self, id, result.reason.empty() ? "the upstream didn't answer" : result.reason);
}

/** Time limits of a call and of its current attempt, passed to the next hop. */
struct hop_timeouts
{
    time_ms call = 0;
    time_ms attempt = 0;
};

/**
 * Time left that is passed to an upstream. It is that of the call, not of the attempt: along a
 * chain of calls the attempt fractions would multiply, to 0.07% of the first deadline at the eighth
 * hop.
 */
time_ms upstream_time_left(const ingress_call& call, time_ms attempt)
{
    return std::max(attempt, time_left(call) - hop_margin);
}

std::vector<http_header> forward_headers(const ingress_call& call, std::string_view hop,
                                         const hop_timeouts& timeouts)
{
    std::vector<http_header> headers = call.request.headers;
    strip_connection_headers(headers);
    remove_header(headers, "Host");
    set_header(headers, call_headers::hop, std::string(hop));
    set_header(headers, call_headers::service, call.service);
    set_header(headers, call_headers::version, call.version);
    set_header(headers, call_headers::idempotent, call.idempotent ? "1" : "0");
    set_header(headers, call_headers::deadline, std::to_string(timeouts.call));
    set_header(headers, call_headers::attempt, std::to_string(timeouts.attempt));
    set_header(headers, call_headers::depth, std::to_string(call.depth));
    return headers;
}

attempt_result parse_daemon_response(http_result call_result)
{
    attempt_result result{.transport = call_result.outcome, .reason = call_result.reason};
    if (call_result.outcome != call_outcome::answered)
    {
        return result;
    }
    const auto& headers = call_result.response.headers;
    if (const auto value = find_header(headers, call_headers::outcome))
    {
        result.outcome_header = std::string(*value);
    }
    if (const auto value = find_header(headers, call_headers::load))
    {
        if (const auto load = parse_integer(*value))
        {
            result.load = static_cast<int>(*load);
        }
    }
    if (const auto value = find_header(headers, call_headers::reason))
    {
        result.reason = std::string(*value);
    }
    result.crashed = find_header(headers, call_headers::crash).has_value();
    result.response = std::move(call_result.response);
    return result;
}

attempt_result convert_local_result(hop_result hop)
{
    attempt_result result{.transport = call_outcome::answered,
                          .outcome_header = std::string(to_string(hop.outcome)),
                          .response = std::move(hop.response),
                          .reason = std::move(hop.reason),
                          .load = hop.in_flight,
                          .crashed = !hop.crashed_upstream.empty()};
    return result;
}

void forward_to_daemon(node& self, ingress_call& call, std::string_view hop, time_ms timeout)
{
    const std::uint64_t id = call.id.value;
    const bool same_timeout_at_hop = call.idempotent;
    const time_ms attempt =
        same_timeout_at_hop ? timeout : std::max<time_ms>(1, timeout - hop_margin);
    const bool spilled = hop == hop_kind::spill;
    const hop_timeouts timeouts{.call = spilled ? attempt : upstream_time_left(call, attempt),
                                .attempt = attempt};
    call.forwarded =
        send_request(*self.data_client,
                     {.method = call.request.method,
                      .url = "http://" + to_string(call.target.address) + call.request.target,
                      .headers = forward_headers(call, hop, timeouts),
                      .body = call.request.body,
                      .timeout = timeout,
                      .connect_timeout = std::min<time_ms>(timeout, 500),
                      .retryable = call.idempotent},
                     [&self, id](http_result call_result)
                     { finish_attempt(self, id, parse_daemon_response(std::move(call_result))); });
}

void run_on_local_upstream(node& self, ingress_call& call, time_ms timeout)
{
    const std::uint64_t id = call.id.value;
    hop_request request{.service = call.service,
                        .version = call.version,
                        .request = call.request,
                        .time_left = timeout,
                        .call_time_left = upstream_time_left(call, timeout),
                        .depth = call.depth,
                        .idempotent = call.idempotent,
                        .fingerprint = call.fingerprint};
    const std::uint64_t hop =
        run_local_hop(self, std::move(request),
                      [&self, id](hop_result result)
                      { finish_attempt(self, id, convert_local_result(std::move(result))); });
    // The callback may already have run and started another attempt.
    if (self.hops.contains(hop))
    {
        if (ingress_call* current = find_call(self, id))
        {
            current->local_hop = hop;
        }
    }
}

std::optional<std::string> pick_version(node& self, const ingress_call& call)
{
    auto split = current_version_split(self, call.service);
    if (!split)
    {
        return std::nullopt;
    }
    if (call.avoid_new_version)
    {
        split->moved.reset();
    }
    return choose_version(split->service, split->moved, self.random);
}

} // namespace

ingress_call* find_call(node& self, std::uint64_t id)
{
    const auto found = self.calls.find(id);
    return found == self.calls.end() ? nullptr : found->second.get();
}

void complete_call(node& self, std::uint64_t id, run_outcome outcome, http_response response)
{
    auto entry = self.calls.extract(id);
    if (entry.empty())
    {
        return;
    }
    const ingress_call& call = *entry.mapped();
    finish_key(self, call, outcome, response);
    const std::int64_t elapsed_us = steady_now_us() - call.arrived_us;
    observe(self.stats, "call_seconds", static_cast<double>(elapsed_us) * seconds_per_us);
    count(self.stats, "calls{outcome=\"" + std::string(to_string(outcome)) + "\"}");
    log_event(log_level::info, "call",
              {{"route", call.route},
               {"service", call.service},
               {"version", call.version},
               {"upstream", call.target.member},
               {"outcome", to_string(outcome)},
               {"status", response.status},
               {"attempts", call.attempts},
               {"us", elapsed_us}});
    send_response(*self.data_server, call.id, std::move(response));
}

void record_running_attempts(node& self)
{
    const time_ms now = steady_now();
    for (auto& [id, call] : self.calls)
    {
        const bool running = call->forwarded || call->local_hop;
        if (running && !call->counted_as_slow)
        {
            call->counted_as_slow =
                record_running_attempt(self, {.service = call->service,
                                              .route = call->route,
                                              .version = call->version,
                                              .elapsed = now - call->attempt_started});
        }
    }
}

void start_attempt(node& self, std::uint64_t id)
{
    ingress_call& call = *find_call(self, id);
    if (time_left(call) <= hop_margin)
    {
        fail_call(self, id, "the deadline has passed");
        return;
    }
    if (is_quarantined(self.quarantine, call.fingerprint, wall_now()))
    {
        fail_call(self, id, "the request is quarantined because it crashed upstreams");
        return;
    }
    const auto version = pick_version(self, call);
    if (!version)
    {
        fail_call(self, id, "service '" + call.service + "' has no version with a share");
        return;
    }
    call.version = *version;
    ++call.attempts;
    const endpoint_pick pick = pick_endpoint(
        self, call.service, call.version,
        {.tried = call.tried, .may_probe = call.idempotent, .allow_spill = !call.spilled});
    log_event(log_level::info, "route_decision",
              {{"route", call.route},
               {"service", call.service},
               {"version", call.version},
               {"upstream", pick.target ? pick.target->member : ""},
               {"reason", to_string(pick.reason)},
               {"attempt", call.attempts}});
    if (!pick.target)
    {
        fail_call(self, id,
                  "no usable upstream of service '" + call.service + "' version '" + call.version +
                      "'");
        return;
    }
    call.target = *pick.target;
    call.tried.push_back(call.target.member);
    call.attempt_started = steady_now();
    call.counted_as_slow = false;
    const time_ms timeout =
        attempt_timeout(time_left(call) - hop_margin, call.idempotent, call.may_have_run);
    if (call.target.member == self.config.id)
    {
        run_on_local_upstream(self, call, timeout);
        return;
    }
    forward_to_daemon(self, call, pick.spill ? hop_kind::spill : hop_kind::local, timeout);
}

} // namespace sardinepoint
