#include "cold/cold_upstream.hpp"

#include "inbound.hpp"
#include "sidecar.hpp"

#include "sardinepoint/logging.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <memory>
#include <utility>
#include <vector>

namespace sardinepoint
{

namespace
{

// A health request that takes longer proves little, and holds a slot.
constexpr time_ms health_timeout_ms = 500;
constexpr time_ms health_connect_timeout_ms = 200;
constexpr time_ms refusal_log_interval_ms = 1000;

cold_upstream* state_of(node& self)
{
    return self.sidecar_state->cold.get();
}

const service_config* served_service(const node& self)
{
    if (!self.sidecar_state->served)
    {
        return nullptr;
    }
    const auto& services = self.config_replica.state.services;
    const auto found = services.find(self.sidecar_state->served->announced.service);
    return found == services.end() ? nullptr : &found->second;
}

/** Logs when the upstream becomes known to be cold, and when that ends. */
void log_cold_change(node& self, cold_upstream& state, std::string_view source)
{
    const time_ms left = cold_time_left(state.gate, steady_now());
    if ((left > 0) == state.logged_cold)
    {
        return;
    }
    state.logged_cold = left > 0;
    count(self.stats, left > 0 ? "upstream_cold_phases" : "upstream_cold_phases_ended");
    log_event(log_level::info, "upstream_cold",
              {{"instance", self.sidecar_state->served->announced.instance},
               {"cold_left_ms", left},
               {"source", source}});
}

void finish_health_request(node& self, std::uint64_t number, const http_result& result)
{
    cold_upstream* state = state_of(self);
    if (state == nullptr || !state->health_request || state->last_health_request != number)
    {
        return;
    }
    state->health_request.reset();
    const std::string& instance = self.sidecar_state->served->announced.instance;
    std::optional<time_ms> cold_left;
    if (result.outcome == call_outcome::answered)
    {
        cold_left = self.sidecar_state->protocol->parse_cold_time(
            result.response,
            {.id = fmt::format("{}-health-{}", self.config.id, number), .instance = instance});
    }
    count(self.stats, cold_left ? "health_requests{result=\"answered\"}"
                                : "health_requests{result=\"invalid\"}");
    record_probe_result(state->gate, cold_left, steady_now());
    log_cold_change(self, *state, "health");
    pass_on_slot(self);
}

/** Sends a health request, which holds a slot of the upstream. */
void send_health_request(node& self, cold_upstream& state)
{
    const time_ms now = steady_now();
    const std::uint64_t number = ++state.last_health_request;
    const served_upstream& served = *self.sidecar_state->served;
    const time_ms timeout = timeout_with_lag(self.lag, health_timeout_ms, now);
    std::vector<http_header> headers{{"Host", to_string(served.announced.address)}};
    self.sidecar_state->protocol->write_health_headers(
        headers, {.id = fmt::format("{}-health-{}", self.config.id, number),
                  .instance = served.announced.instance,
                  .caller_service = self.config.sidecar.service,
                  .time_left = timeout});
    record_probe_sent(state.gate, now);
    state.health_request =
        send_request(*self.upstream_pool,
                     {.peer = served.announced.address,
                      .target = state.health_path,
                      .headers = std::move(headers),
                      .timeout = timeout,
                      .connect_timeout = std::min(
                          timeout, timeout_with_lag(self.lag, health_connect_timeout_ms, now)),
                      .max_idle = max_reuse_idle(true),
                      .accept_unframed = true},
                     [&self, number](const http_result& result)
                     { finish_health_request(self, number, result); });
}

bool is_health_request_due(const node& self, const cold_upstream& state)
{
    return self.sidecar_state->served && !self.sidecar_state->served->down &&
           self.sidecar_state->served->announced.state == upstream_state::up &&
           !state.health_path.empty() && wants_probe(state.gate, steady_now());
}

/** Sends a health request if one is due and the upstream has a free slot for it. */
void send_due_health_request(node& self)
{
    cold_upstream* state = state_of(self);
    if (state != nullptr && is_health_request_due(self, *state) &&
        take_free_slot(self.sidecar_state->served->queue, steady_now()))
    {
        send_health_request(self, *state);
    }
}

} // namespace

void refresh_cold_upstream(node& self)
{
    const service_config* service = served_service(self);
    if (service == nullptr)
    {
        return;
    }
    std::unique_ptr<cold_upstream>& state = self.sidecar_state->cold;
    if (service->cold_rate <= 0)
    {
        const bool held_slot = state && state->health_request;
        abort_health_request(self);
        state.reset();
        if (held_slot)
        {
            pass_on_slot(self);
        }
        return;
    }
    const cold_limits limits = make_cold_limits({.per_s = service->cold_rate,
                                                 .excess = self.config.sidecar.cold_excess,
                                                 .slack = self.config.sidecar.cold_slack});
    if (!state)
    {
        const time_ms now = steady_now();
        state = std::make_unique<cold_upstream>();
        state->gate = make_cold_gate(limits, now);
        // The last announcement may be older; its cold time is only assumed to last longer.
        record_announced_cold(state->gate, self.sidecar_state->served->announced.cold_time_left,
                              now);
    }
    state->gate.limits = limits;
    state->health_path = service->health_path;
    log_cold_change(self, *state, "configuration");
    send_due_health_request(self);
}

void abort_health_request(node& self)
{
    cold_upstream* state = state_of(self);
    if (state != nullptr && state->health_request)
    {
        cancel_call(*self.upstream_pool, *state->health_request);
        state->health_request.reset();
        record_probe_result(state->gate, std::nullopt, steady_now());
    }
}

void apply_cold_announcement(node& self, const upstream_announcement& announced)
{
    refresh_cold_upstream(self);
    cold_upstream* state = state_of(self);
    if (state == nullptr)
    {
        return;
    }
    record_announced_cold(state->gate, announced.cold_time_left, steady_now());
    log_cold_change(self, *state, "announcement");
    send_due_health_request(self);
}

std::optional<std::string> cold_refusal(node& self)
{
    cold_upstream* state = state_of(self);
    if (state == nullptr)
    {
        return std::nullopt;
    }
    send_due_health_request(self);
    const time_ms now = steady_now();
    log_cold_change(self, *state, "time");
    const time_ms wait = time_until_room(state->gate, now);
    if (wait == 0)
    {
        return std::nullopt;
    }
    const time_ms cold_left = cold_time_left(state->gate, now);
    count(self.stats,
          cold_left > 0 ? "cold_refused{state=\"cold\"}" : "cold_refused{state=\"unproven\"}");
    if (now >= state->next_refusal_log)
    {
        state->next_refusal_log = now + refusal_log_interval_ms;
        log_event(log_level::info, "cold_rate_reached",
                  {{"instance", self.sidecar_state->served->announced.instance},
                   {"cold_left_ms", cold_left},
                   {"starts", static_cast<std::uint64_t>(state->gate.starts.size())},
                   {"room_in_ms", wait}});
    }
    return fmt::format("the upstream {} cold and gets no more calls for {} ms",
                       cold_left > 0 ? "is" : "may be", wait);
}

void record_upstream_start(node& self)
{
    if (cold_upstream* state = state_of(self))
    {
        record_start(state->gate, steady_now());
        send_due_health_request(self);
    }
}

bool use_slot_for_health_request(node& self)
{
    cold_upstream* state = state_of(self);
    if (state == nullptr || !is_health_request_due(self, *state))
    {
        return false;
    }
    send_health_request(self, *state);
    return true;
}

void add_cold_report(const node& self, queue_report& report)
{
    if (const cold_upstream* state = self.sidecar_state->cold.get())
    {
        const time_ms now = steady_now();
        report.cold_left = cold_time_left(state->gate, now);
        report.room_in = time_until_room(state->gate, now);
    }
}

bool has_cold_rate(const config_state& state, const std::string& service)
{
    const auto found = state.services.find(service);
    return found != state.services.end() && found->second.cold_rate > 0;
}

} // namespace sardinepoint
