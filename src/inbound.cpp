#include "inbound.hpp"

#include "cold/cold_upstream.hpp"
#include "crash_evidence.hpp"
#include "evacuation/evacuation.hpp"
#include "sidecar.hpp"

#include "sardinepoint/logging.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace sardinepoint
{

namespace
{

constexpr time_ms upstream_connect_timeout_ms = 300;
constexpr time_ms crash_probe_timeout_ms = 200;
// Lets a refusal that the upstream sends at the deadline still arrive. It is less than the margin
// of the caller's daemon, so that daemon receives the report in time.
constexpr time_ms response_margin_ms = 5;
constexpr double seconds_per_us = 1e-6;
constexpr std::int64_t us_per_ms = 1000;

inbound_call* find_inbound(node& self, std::uint64_t id)
{
    const auto found = self.sidecar_state->inbound.find(id);
    return found == self.sidecar_state->inbound.end() ? nullptr : found->second.get();
}

std::unique_ptr<inbound_call> extract_inbound(node& self, std::uint64_t id)
{
    auto entry = self.sidecar_state->inbound.extract(id);
    return entry.empty() ? nullptr : std::move(entry.mapped());
}

inbound_result not_run(std::string reason)
{
    return {.report = {.outcome = run_outcome::not_run, .reason = std::move(reason)},
            .response = {}};
}

inbound_result instance_gone(std::string reason)
{
    inbound_result result = not_run(std::move(reason));
    result.report.gone = true;
    return result;
}

void start_on_upstream(node& self, inbound_call& call);

void log_refusal(const inbound_call& call, const inbound_result& result)
{
    log_event(log_level::info, "inbound_refused",
              {{"id", call.terms.id},
               {"route", call.terms.route},
               {"instance", call.terms.instance},
               {"reason", result.report.reason},
               {"waited_ms", result.report.daemon_time},
               {"time_left_ms", call.terms.time_left - result.report.daemon_time},
               {"running", result.report.queue.running},
               {"waiting", result.report.queue.waiting},
               {"backlog_ms", result.report.queue.backlog}});
}

/**
 * Class of calls that the admission queue treats alike. Calls of one route differ in priority if
 * organisations have priorities.
 */
std::string admission_class(const hop_terms& terms)
{
    return terms.organisation.empty() ? terms.route
                                      : terms.route + "/" + std::to_string(terms.priority);
}

/** Completes a call that holds no slot and runs its callback. */
void finish(node& self, std::unique_ptr<inbound_call> call, inbound_result result)
{
    result.report.queue = local_queue_report(self);
    result.report.daemon_time = steady_now() - call->arrived_at;
    if (result.report.outcome == run_outcome::not_run)
    {
        count(self.stats, "inbound_refused");
        log_refusal(*call, result);
    }
    call->done(std::move(result));
}

void finish_refused(node& self, std::span<const std::uint64_t> ids, std::string_view reason)
{
    for (const std::uint64_t id : ids)
    {
        if (auto call = extract_inbound(self, id))
        {
            finish(self, std::move(call), not_run(std::string(reason)));
        }
    }
}

/** Records the end of a call's work; returns false if the call holds no slot to be passed on. */
bool record_work_end(node& self, const inbound_call& call, bool answered)
{
    if (!call.holds_slot || !self.sidecar_state->served)
    {
        return false;
    }
    const time_ms now = steady_now();
    record_finished(self.sidecar_state->served->queue,
                    {.route = admission_class(call.terms),
                     .service_time = now - call.started_at,
                     .answered = answered},
                    now);
    return true;
}

void reuse_slot(node& self)
{
    if (!use_slot_for_health_request(self))
    {
        pass_on_slot(self);
    }
}

/** Releases the slot of a call and starts the next waiting call. */
void free_slot(node& self, const inbound_call& call, bool answered)
{
    if (record_work_end(self, call, answered))
    {
        reuse_slot(self);
    }
}

void reuse_freed_slots(node& self)
{
    if (!self.sidecar_state->served)
    {
        return;
    }
    for (int left = std::exchange(self.sidecar_state->served->freed_slots, 0); left > 0; --left)
    {
        reuse_slot(self);
    }
}

/**
 * Like free_slot, but in the next iteration of the event loop: passing on a slot refuses calls that
 * have waited too long, and their callbacks must not run while other calls are being cancelled.
 */
void free_slot_later(node& self, const inbound_call& call)
{
    if (record_work_end(self, call, false) && self.sidecar_state->served->freed_slots++ == 0)
    {
        run_after(*self.loop, 0, [&self] { reuse_freed_slots(self); });
    }
}

void finish_running(node& self, std::uint64_t id, inbound_result result, bool answered = false)
{
    std::unique_ptr<inbound_call> call = extract_inbound(self, id);
    if (!call)
    {
        return;
    }
    free_slot(self, *call, answered);
    finish(self, std::move(call), std::move(result));
}

/** Handles a connection that was lost during a call. An upstream that accepts no new connection has
 * crashed. */
void probe_after_loss(node& self, std::uint64_t id, std::string reason)
{
    inbound_call* call = find_inbound(self, id);
    if (call == nullptr || !self.sidecar_state->served)
    {
        return;
    }
    probe_peer(
        *self.upstream_pool, self.sidecar_state->served->announced.address,
        timeout_with_lag(self.lag, crash_probe_timeout_ms, steady_now()),
        [&self, id, reason = std::move(reason)](bool accepted)
        {
            inbound_call* lost = find_inbound(self, id);
            if (lost == nullptr)
            {
                return;
            }
            inbound_result result{.report = {.outcome = run_outcome::unknown, .reason = reason}};
            if (!accepted)
            {
                result.report.crashed = true;
                result.report.reason = "the upstream ended while it ran the call";
                record_request_crash(self, lost->fingerprint,
                                     self.config.id + "/" + lost->terms.instance);
                mark_upstream_down(self, "it ended while it ran a call and accepts no connection");
            }
            finish_running(self, id, std::move(result));
        });
}

void handle_upstream_response(node& self, std::uint64_t id, http_result upstream_result)
{
    inbound_call* call = find_inbound(self, id);
    if (call == nullptr)
    {
        return;
    }
    const time_ms service_time = steady_now() - call->started_at;
    const upstream_call sent{.id = call->terms.id, .instance = call->terms.instance};
    const response_kind kind =
        self.sidecar_state->protocol->classify_response(upstream_result.response, sent);
    switch (kind)
    {
    case response_kind::answered:
    {
        record_request_success(self, call->fingerprint);
        if (self.sidecar_state->served)
        {
            // A response proves that the upstream is up, even if its announcements are late.
            self.sidecar_state->served->lease_until =
                std::max(self.sidecar_state->served->lease_until,
                         steady_now() + 2 * self.config.sidecar.announce_interval);
        }
        inbound_result result{
            .report = {.outcome = run_outcome::answered, .upstream_time = service_time},
            .response = std::move(upstream_result.response)};
        finish_running(self, id, std::move(result), true);
        return;
    }
    case response_kind::not_run:
    {
        inbound_result result = not_run("the upstream refused the call");
        result.report.arrived = true;
        finish_running(self, id, std::move(result));
        return;
    }
    case response_kind::wrong_instance:
        finish_running(self, id, instance_gone("another instance has the upstream's address"));
        mark_upstream_down(self, "another instance has its address");
        return;
    case response_kind::foreign:
        finish_running(self, id,
                       {.report = {.outcome = run_outcome::unknown,
                                   .reason = "the upstream's answer belongs to no call"}});
        return;
    }
}

void handle_result(node& self, std::uint64_t id, http_result upstream_result)
{
    inbound_call* call = find_inbound(self, id);
    if (call == nullptr)
    {
        return;
    }
    if (upstream_result.outcome == call_outcome::answered)
    {
        handle_upstream_response(self, id, std::move(upstream_result));
        return;
    }
    if (upstream_result.outcome == call_outcome::not_sent)
    {
        finish_running(
            self, id,
            instance_gone("the upstream accepts no connection: " + upstream_result.reason));
        mark_upstream_down(self, upstream_result.reason);
        return;
    }
    if (upstream_result.connection_lost)
    {
        call->upstream_request.reset();
        probe_after_loss(self, id, upstream_result.reason);
        return;
    }
    finish_running(self, id,
                   {.report = {.outcome = run_outcome::unknown, .reason = upstream_result.reason}});
}

void start_on_upstream(node& self, inbound_call& call)
{
    call.holds_slot = true;
    call.started_at = steady_now();
    record_upstream_start(self);
    record_run(self.sidecar_state->upstream_retry_rate, call.terms.is_retry, call.started_at);
    const time_ms time_left =
        std::max<time_ms>(call.terms.time_left - (call.started_at - call.arrived_at), 1);
    std::vector<http_header> headers = call.request.headers;
    strip_connection_headers(headers);
    strip_internal_headers(headers);
    self.sidecar_state->protocol->write_upstream_headers(
        headers, {.id = call.terms.id,
                  .instance = call.terms.instance,
                  .caller_service = call.terms.caller_service,
                  .organisation = call.terms.organisation,
                  .time_left = time_left});
    const std::uint64_t id = call.id;
    call.upstream_request = send_request(
        *self.upstream_pool,
        {.peer = self.sidecar_state->served->announced.address,
         .method = call.request.method,
         .target = call.request.target,
         .headers = std::move(headers),
         .shared_body = call.body,
         .timeout = time_left + response_margin_ms,
         .connect_timeout = std::min(
             time_left, timeout_with_lag(self.lag, upstream_connect_timeout_ms, call.started_at)),
         .max_idle = max_reuse_idle(call.terms.idempotent),
         .accept_unframed = true,
         .validate_response =
             [protocol = self.sidecar_state->protocol, call_id = call.terms.id,
              instance = call.terms.instance](const http_response& response)
         {
             return protocol->classify_response(response, {.id = call_id, .instance = instance}) !=
                    response_kind::foreign;
         }},
        [&self, id](http_result upstream_result)
        { handle_result(self, id, std::move(upstream_result)); });
}

/** Returns why the upstream of this VM can't accept the call at all, or nullopt if it can. */
std::optional<std::string> inbound_refusal(const node& self, const hop_terms& terms)
{
    if (!self.sidecar_state->served)
    {
        return "no upstream has announced itself on this VM";
    }
    const served_upstream& served = *self.sidecar_state->served;
    if (served.announced.instance != terms.instance)
    {
        return "the upstream of this VM is instance " + served.announced.instance;
    }
    if (served.announced.state != upstream_state::up)
    {
        return "the upstream is leaving";
    }
    if (served.down || steady_now() > served.lease_until)
    {
        return "the upstream does not answer or has not announced itself in time";
    }
    if (self.left)
    {
        return "this daemon is shutting down";
    }
    return evacuation_refusal(self);
}

/** Returns why the upstream must not get a call now, or nullopt if it may. */
std::optional<std::string> rate_refusal(node& self, const hop_terms& terms)
{
    if (terms.has_cold_rate && self.config_replica.state.version == 0)
    {
        return "this daemon does not know the service's cold rate yet";
    }
    return cold_refusal(self);
}

/** Time until the remaining calls are aborted in a planned shutdown. */
time_ms shutdown_time_left(const node& self, time_ms now)
{
    return self.leaving_since + self.config.shutdown_timeout - response_delivery_ms - now;
}

/** Deducts the time that the request waited unread from the call's time limits. */
void deduct_unread_time(node& self, const http_request& request, hop_terms& terms)
{
    const std::int64_t now_us = steady_now_us();
    observe(self.stats, "inbound_unread_seconds",
            static_cast<double>(now_us - request.arrived_us) * seconds_per_us);
    const time_ms unread_ms =
        (now_us - forwarded_timeout_start_us(request.arrived_us, now_us)) / us_per_ms;
    terms.time_left -= unread_ms;
    terms.latency_target_time_left =
        std::max<time_ms>(terms.latency_target_time_left - unread_ms, 0);
}

} // namespace

queue_report local_queue_report(const node& self)
{
    if (!self.sidecar_state->served)
    {
        return {};
    }
    queue_report report = make_report(self.sidecar_state->served->queue);
    add_cold_report(self, report);
    return report;
}

void pass_on_slot(node& self)
{
    while (self.sidecar_state->served)
    {
        const release_result freed = pass_on_slot(self.sidecar_state->served->queue, steady_now());
        finish_refused(self, freed.expired, "the wait took up the call's time");
        inbound_call* next = freed.next ? find_inbound(self, *freed.next) : nullptr;
        if (next == nullptr)
        {
            return;
        }
        const auto refusal = cold_refusal(self);
        if (!refusal)
        {
            start_on_upstream(self, *next);
            return;
        }
        finish(self, extract_inbound(self, next->id), not_run(*refusal));
    }
}

int least_urgent_running_priority(const node& self)
{
    int least = 0;
    for (const auto& [id, call] : self.sidecar_state->inbound)
    {
        least = call->holds_slot ? std::max(least, call->terms.priority) : least;
    }
    return least;
}

std::uint64_t run_inbound(node& self, http_request request, std::shared_ptr<const std::string> body,
                          hop_terms terms, inbound_callback done)
{
    auto created = std::make_unique<inbound_call>();
    inbound_call& call = *created;
    call.id = ++self.sidecar_state->last_inbound_id;
    call.request = std::move(request);
    call.body = std::move(body);
    call.terms = std::move(terms);
    call.done = std::move(done);
    call.arrived_at = steady_now();
    call.fingerprint =
        request_fingerprint(call.request.method, path_of(call.request.target), *call.body);
    const std::uint64_t id = call.id;
    if (const auto refusal = inbound_refusal(self, call.terms))
    {
        finish(self, std::move(created), instance_gone(*refusal));
        return id;
    }
    if (call.terms.time_left <= 0)
    {
        finish(self, std::move(created), not_run("the call's time was over before it was read"));
        return id;
    }
    if (self.leaving && call.terms.time_left > shutdown_time_left(self, call.arrived_at))
    {
        finish(self, std::move(created),
               not_run("this daemon is shutting down, and the call may outlast it"));
        return id;
    }
    if (is_quarantined(self.quarantine, call.fingerprint, wall_now()))
    {
        finish(self, std::move(created), not_run("the request is quarantined: it ended upstreams"));
        return id;
    }
    if (const auto refusal = rate_refusal(self, call.terms))
    {
        finish(self, std::move(created), not_run(*refusal));
        return id;
    }
    admission_queue& queue = self.sidecar_state->served->queue;
    if (call.terms.needs_free_slot && !has_free_slot(queue))
    {
        finish(self, std::move(created), not_run("no slot is free now"));
        return id;
    }
    const admission decision =
        admit(queue,
              {.id = id,
               .route = admission_class(call.terms),
               .priority = call.terms.priority,
               .parent_priority = call.terms.parent_priority,
               .latency_target_at = call.arrived_at + call.terms.latency_target_time_left,
               .deadline = call.arrived_at + call.terms.time_left},
              call.arrived_at);
    if (decision.kind == admission_kind::too_late || decision.kind == admission_kind::queue_full)
    {
        finish(self, std::move(created),
               not_run("no slot in time: " + std::string(to_string(decision.kind))));
        finish_refused(self, decision.displaced, "more urgent calls took the slots");
        return id;
    }
    self.sidecar_state->inbound[id] = std::move(created);
    if (decision.kind == admission_kind::run)
    {
        start_on_upstream(self, call);
    }
    finish_refused(self, decision.displaced, "more urgent calls took the slots");
    return id;
}

void cancel_inbound(node& self, std::uint64_t id)
{
    const std::unique_ptr<inbound_call> call = extract_inbound(self, id);
    if (!call)
    {
        return;
    }
    if (call->upstream_request)
    {
        cancel_call(*self.upstream_pool, *call->upstream_request);
    }
    if (self.sidecar_state->served)
    {
        remove_waiting(self.sidecar_state->served->queue, id);
    }
    free_slot_later(self, *call);
}

void handle_inbound_request(node& self, request_id id, http_request request)
{
    auto terms = take_terms(request);
    if (!terms)
    {
        log_event(log_level::warning, "inbound_rejected", {{"target", request.target}});
        send_response(*self.sidecar_state->inbound_server, id,
                      error_response(400, {error_kind::invalid_argument,
                                           "the request has no terms that can be read",
                                           "send calls to the outbound listener"}));
        return;
    }
    deduct_unread_time(self, request, *terms);
    auto body = std::make_shared<const std::string>(std::exchange(request.body, {}));
    const std::uint64_t inbound =
        run_inbound(self, std::move(request), std::move(body), std::move(*terms),
                    [&self, id](inbound_result result)
                    {
                        self.sidecar_state->inbound_by_request.erase(id.value);
                        http_response response = std::move(result.response);
                        if (result.report.outcome != run_outcome::answered)
                        {
                            response = {.status = 503, .headers = {}, .body = {}};
                        }
                        strip_connection_headers(response.headers);
                        strip_internal_headers(response.headers);
                        write_report(response, result.report);
                        send_response(*self.sidecar_state->inbound_server, id, std::move(response));
                    });
    if (self.sidecar_state->inbound.contains(inbound))
    {
        self.sidecar_state->inbound_by_request[id.value] = inbound;
    }
}

void handle_inbound_cancelled(node& self, request_id id)
{
    const auto found = self.sidecar_state->inbound_by_request.find(id.value);
    if (found == self.sidecar_state->inbound_by_request.end())
    {
        return;
    }
    const std::uint64_t inbound = found->second;
    self.sidecar_state->inbound_by_request.erase(found);
    count(self.stats, "inbound_cancelled");
    cancel_inbound(self, inbound);
}

void refuse_waiting_calls(node& self, std::string_view reason)
{
    if (!self.sidecar_state->served)
    {
        return;
    }
    std::vector<std::uint64_t> ids;
    for (const admission_request& item :
         std::exchange(self.sidecar_state->served->queue.waiting, {}))
    {
        ids.push_back(item.id);
    }
    for (const std::uint64_t id : ids)
    {
        if (auto call = extract_inbound(self, id))
        {
            finish(self, std::move(call), instance_gone(std::string(reason)));
        }
    }
}

void expire_waiting_calls(node& self)
{
    if (self.sidecar_state->served)
    {
        finish_refused(self, expire_waiting(self.sidecar_state->served->queue, steady_now()),
                       "the wait took up the call's time");
    }
}

} // namespace sardinepoint
