#include "local_hop.hpp"

#include "call_headers.hpp"
#include "crash_evidence.hpp"
#include "local_upstreams.hpp"
#include "peering.hpp"

#include "sardinepoint/logging.hpp"

#include <algorithm>
#include <utility>

namespace sardinepoint
{

namespace
{

constexpr time_ms crash_probe_timeout_ms = 200;
// Two, because an exiting process may close its connections before its listener and accept a probe.
constexpr int crash_probe_count = 2;
constexpr time_ms crash_probe_interval_ms = 20;
// Several times the time that a broadcast takes to reach all daemons of a failure domain.
constexpr time_ms crash_propagation_ms = 100;
constexpr time_ms upstream_connect_timeout_ms = 500;
// An upstream keeps working on an abandoned call until it notices the closed connection.
constexpr time_ms abandoned_slot_release_delay_ms = 20;

int calls_in_flight(const node& self, const std::string& upstream)
{
    const auto found = self.upstreams.find(upstream);
    if (found == self.upstreams.end())
    {
        return 0;
    }
    const upstream_slots& slots = found->second.slots;
    return slots.slots_used + static_cast<int>(slots.waiting.size());
}

/**
 * Parses the key of an upstream, an address that was validated when the upstream announced itself.
 */
endpoint address_of(const std::string& upstream)
{
    return parse_endpoint(upstream).value_or(endpoint{});
}

std::unique_ptr<hop_call> extract_hop(node& self, std::uint64_t id)
{
    auto entry = self.hops.extract(id);
    return entry.empty() ? nullptr : std::move(entry.mapped());
}

void start_on_upstream(node& self, hop_call& hop);

void release_upstream_slot(node& self, const std::string& upstream, time_ms service_time)
{
    const auto found = self.upstreams.find(upstream);
    if (found == self.upstreams.end())
    {
        return;
    }
    const auto next = release_slot(found->second.slots, service_time, steady_now());
    if (!next)
    {
        return;
    }
    const auto waiting = self.hops.find(*next);
    if (waiting != self.hops.end())
    {
        start_on_upstream(self, *waiting->second);
    }
}

/** Releases the call's slot, after a delay if the upstream may still be working on the call. */
void release_hop_slot(node& self, const hop_call& hop, run_outcome outcome)
{
    if (!hop.holds_slot)
    {
        return;
    }
    const time_ms service_time = steady_now() - hop.started;
    if (outcome != run_outcome::unknown)
    {
        release_upstream_slot(self, hop.upstream, service_time);
        return;
    }
    self.abandoned_slots[hop.upstream] += 1;
    run_after(*self.loop, abandoned_slot_release_delay_ms,
              [&self, upstream = hop.upstream, service_time]
              {
                  if (--self.abandoned_slots[upstream] == 0)
                  {
                      self.abandoned_slots.erase(upstream);
                  }
                  release_upstream_slot(self, upstream, service_time);
              });
}

/** Ends a call. The callback runs last, when the slot is released or its release is scheduled. */
void finish(node& self, std::uint64_t id, hop_result result)
{
    const std::unique_ptr<hop_call> hop = extract_hop(self, id);
    if (!hop)
    {
        return;
    }
    release_hop_slot(self, *hop, result.outcome);
    result.in_flight = calls_in_flight(self, hop->upstream);
    hop->done(std::move(result));
}

hop_result not_run(std::string reason)
{
    return {.outcome = run_outcome::not_run, .response = {}, .reason = std::move(reason)};
}

std::string qualified_upstream_name(const node& self, const std::string& upstream)
{
    return self.config.id + "/" + upstream;
}

/**
 * Probes an upstream that lost a connection. It counts as crashed if it doesn't accept a new one.
 */
void probe_after_connection_loss(node& self, std::uint64_t id, const hop_result& result,
                                 int probes_left)
{
    const auto found = self.hops.find(id);
    if (found == self.hops.end())
    {
        return;
    }
    const std::string upstream = found->second->upstream;
    const std::uint64_t fingerprint = found->second->request.fingerprint;
    probe_peer(*self.upstream_pool, address_of(upstream), crash_probe_timeout_ms,
               [&self, id, upstream, fingerprint, result, probes_left](bool accepted)
               {
                   if (accepted && probes_left > 1)
                   {
                       run_after(*self.loop, crash_probe_interval_ms,
                                 [&self, id, result, probes_left] {
                                     probe_after_connection_loss(self, id, result, probes_left - 1);
                                 });
                       return;
                   }
                   hop_result ended = result;
                   if (!accepted)
                   {
                       ended.crashed_upstream = qualified_upstream_name(self, upstream);
                       record_request_crash(self, fingerprint, ended.crashed_upstream);
                       count(self.stats, "upstream_crashes");
                       log_event(log_level::warning, "upstream_crashed",
                                 {{"upstream", upstream}, {"fingerprint", fingerprint}});
                       // Nothing accepts connections on the port; a restarted upstream announces
                       // itself again.
                       self.upstreams.erase(upstream);
                       publish_self_record(self);
                   }
                   // Delays the response until the crash entry has reached all daemons of the
                   // failure domain: a caller that retries at once must not reach a daemon without
                   // the entry.
                   const time_ms delay = ended.crashed_upstream.empty() ? 0 : crash_propagation_ms;
                   run_after(*self.loop, delay, [&self, id, ended] { finish(self, id, ended); });
               });
}

void record_upstream_success(node& self, std::uint64_t id)
{
    const auto found = self.hops.find(id);
    if (found == self.hops.end())
    {
        return;
    }
    record_request_success(self, found->second->request.fingerprint);
}

/**
 * Removes an upstream at whose address nothing listens. Until its lease expired, each call sent to
 * it would use up a retry of the sender's budget. A restarted upstream announces itself again.
 */
void remove_upstream(node& self, std::uint64_t hop, std::string_view reason)
{
    const auto found = self.hops.find(hop);
    if (found == self.hops.end() || self.upstreams.erase(found->second->upstream) == 0)
    {
        return;
    }
    log_event(log_level::warning, "upstream_refused",
              {{"upstream", found->second->upstream}, {"reason", reason}});
    publish_self_record(self);
}

void handle_upstream_response(node& self, std::uint64_t id, http_result call_result)
{
    hop_result result{.reason = call_result.reason};
    if (call_result.outcome == call_outcome::answered)
    {
        result.outcome = run_outcome::answered;
        result.response = std::move(call_result.response);
        // An upstream may copy these headers from the response to a nested call, so they are not
        // trusted.
        strip_internal_headers(result.response.headers);
        record_upstream_success(self, id);
        finish(self, id, std::move(result));
        return;
    }
    if (call_result.outcome == call_outcome::not_sent)
    {
        if (!call_result.timed_out)
        {
            remove_upstream(self, id, call_result.reason);
        }
        finish(self, id, not_run("the upstream accepts no connection: " + call_result.reason));
        return;
    }
    if (call_result.connection_lost)
    {
        probe_after_connection_loss(self, id, result, crash_probe_count);
        return;
    }
    finish(self, id, std::move(result));
}

std::vector<http_header> upstream_headers(const hop_call& hop, time_ms time_left)
{
    std::vector<http_header> headers = hop.request.request.headers;
    strip_connection_headers(headers);
    for (const std::string_view name :
         {call_headers::hop, call_headers::attempt, call_headers::idempotent})
    {
        remove_header(headers, name);
    }
    set_header(headers, "Host", hop.upstream);
    set_header(headers, call_headers::deadline, std::to_string(time_left));
    set_header(headers, call_headers::depth, std::to_string(hop.request.depth));
    return headers;
}

void start_on_upstream(node& self, hop_call& hop)
{
    hop.holds_slot = true;
    hop.started = steady_now();
    const time_ms waited = hop.started - hop.arrived;
    const time_ms time_left = hop.request.time_left - waited;
    const std::uint64_t id = hop.id;
    hop.upstream_request =
        send_request(*self.upstream_pool,
                     {.peer = address_of(hop.upstream),
                      .method = hop.request.request.method,
                      .target = hop.request.request.target,
                      .headers = upstream_headers(hop, hop.request.call_time_left - waited),
                      .body = hop.request.request.body,
                      .timeout = time_left,
                      .connect_timeout = std::min(time_left, upstream_connect_timeout_ms),
                      .max_idle = max_reuse_idle(hop.request.idempotent)},
                     [&self, id](http_result call_result)
                     { handle_upstream_response(self, id, std::move(call_result)); });
}

bool is_queued(const node& self, const hop_call& hop)
{
    const auto upstream = self.upstreams.find(hop.upstream);
    return upstream != self.upstreams.end() &&
           std::ranges::any_of(upstream->second.slots.waiting,
                               [&](const waiting_call& waiting) { return waiting.call == hop.id; });
}

} // namespace

std::uint64_t run_local_hop(node& self, hop_request request, hop_callback done)
{
    const std::uint64_t id = ++self.last_hop_id;
    local_upstream* upstream = pick_local_upstream(self, request.service, request.version);
    if (upstream == nullptr)
    {
        done(not_run(std::string(local_refusal_reason(self, request.service, request.version))));
        return id;
    }
    if (is_quarantined(self.quarantine, request.fingerprint, wall_now()))
    {
        done(not_run("the request is quarantined because it crashed upstreams"));
        return id;
    }
    const time_ms now = steady_now();
    const slot_decision decision = try_acquire_slot(upstream->slots, id, request.time_left, now);
    log_event(log_level::debug, "slot_decision",
              {{"service", request.service},
               {"decision", to_string(decision)},
               {"used", upstream->slots.slots_used}});
    if (decision == slot_decision::queue_full || decision == slot_decision::deadline_too_short)
    {
        count(self.stats, "slot_refusals");
        hop_result refused = not_run("no free slot: " + std::string(to_string(decision)));
        refused.in_flight = calls_in_flight(self, upstream->record.address + ":" +
                                                      std::to_string(upstream->record.port));
        done(std::move(refused));
        return id;
    }
    auto hop = std::make_unique<hop_call>();
    hop->id = id;
    hop->upstream = upstream->record.address + ":" + std::to_string(upstream->record.port);
    hop->request = std::move(request);
    hop->done = std::move(done);
    hop->arrived = now;
    hop_call& started = *hop;
    self.hops[id] = std::move(hop);
    if (decision == slot_decision::run)
    {
        start_on_upstream(self, started);
    }
    return id;
}

void cancel_local_hop(node& self, std::uint64_t id)
{
    const std::unique_ptr<hop_call> hop = extract_hop(self, id);
    if (!hop)
    {
        return;
    }
    if (hop->upstream_request)
    {
        cancel_call(*self.upstream_pool, *hop->upstream_request);
    }
    const auto found = self.upstreams.find(hop->upstream);
    if (found != self.upstreams.end())
    {
        cancel_waiting(found->second.slots, id);
    }
    release_hop_slot(self, *hop, run_outcome::unknown);
}

int running_hops(const node& self, const std::string& upstream)
{
    const auto running =
        std::count_if(self.hops.begin(), self.hops.end(),
                      [&](const auto& entry)
                      { return entry.second->holds_slot && entry.second->upstream == upstream; });
    const auto abandoned = self.abandoned_slots.find(upstream);
    return static_cast<int>(running) +
           (abandoned == self.abandoned_slots.end() ? 0 : abandoned->second);
}

void expire_waiting_hops(node& self)
{
    std::vector<std::uint64_t> orphaned;
    for (const auto& [id, hop] : self.hops)
    {
        // The queue of a crashed upstream is lost, also if the upstream is announced again.
        if (!hop->holds_slot && !is_queued(self, *hop))
        {
            orphaned.push_back(id);
        }
    }
    for (const std::uint64_t id : orphaned)
    {
        finish(self, id, not_run("the upstream has gone"));
    }
    for (auto& [key, upstream] : self.upstreams)
    {
        for (const std::uint64_t id : expire_waiting(upstream.slots, steady_now()))
        {
            count(self.stats, "slot_refusals");
            finish(self, id, not_run("no slot became free in time"));
        }
    }
}

} // namespace sardinepoint
