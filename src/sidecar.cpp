#include "sidecar.hpp"

#include "evacuation/evacuation.hpp"
#include "inbound.hpp"
#include "outbound.hpp"
#include "peer_silence.hpp"
#include "replica.hpp"
#include "usage/usage.hpp"

#include "sardinepoint/logging.hpp"
#include "sardinepoint/registry.hpp"

#include <algorithm>
#include <utility>

namespace sardinepoint
{

namespace
{

constexpr time_ms tick_ms = 50;
// Upstreams accept connections within a few milliseconds, even when all slots are in use.
constexpr time_ms stall_probe_timeout_ms = 200;
constexpr time_ms stall_probe_interval_ms = 400;
// Two announcements may be lost or late before an upstream that sends no responses is marked down.
constexpr double lease_intervals = 2.5;
// Peers may have a configuration with other limits than the one in force here.
constexpr std::size_t min_peer_header_bytes = 64U << 10U;
constexpr std::size_t min_peer_body_bytes = 64U << 20U;

/** Peers forward requests that were within the callers' limits, with headers added. */
caller_limits peer_limits(const caller_limits& of_callers)
{
    return {.max_header_bytes = std::max(2 * of_callers.max_header_bytes, min_peer_header_bytes),
            .max_body_bytes = std::max(of_callers.max_body_bytes, min_peer_body_bytes),
            .header_timeout = 10'000,
            .idle_timeout = 60'000};
}

time_ms lease_time(const node& self)
{
    return static_cast<time_ms>(lease_intervals *
                                static_cast<double>(self.config.sidecar.announce_interval));
}

void log_upstream_change(std::string_view event, const upstream_announcement& announced,
                         std::string_view reason)
{
    log_event(log_level::info, event,
              {{"instance", announced.instance},
               {"service", announced.service},
               {"version", announced.version},
               {"slots", announced.slots},
               {"state", to_string(announced.state)},
               {"sequence", announced.sequence},
               {"incarnation", announced.incarnation},
               {"reason", reason}});
}

int running_calls(const node& self)
{
    return static_cast<int>(
        std::count_if(self.sidecar_state->inbound.begin(), self.sidecar_state->inbound.end(),
                      [](const auto& entry) { return entry.second->holds_slot; }));
}

void serve_incarnation(node& self, const upstream_announcement& announced)
{
    refuse_waiting_calls(self, "the upstream has started anew");
    served_upstream fresh{.announced = announced};
    fresh.queue.slots = announced.slots;
    // Calls of the previous incarnation may still hold connections.
    fresh.queue.running = running_calls(self);
    self.sidecar_state->served = std::move(fresh);
    abort_health_request(self);
    log_upstream_change("upstream_announced", announced, "new incarnation");
}

void apply_announcement(node& self, const upstream_announcement& announced)
{
    served_upstream& served = *self.sidecar_state->served;
    const bool starts_leaving =
        served.announced.state == upstream_state::up && announced.state != upstream_state::up;
    if (served.down)
    {
        log_upstream_change("upstream_announced", announced, "available again after it was down");
    }
    served.announced = announced;
    served.queue.slots = announced.slots;
    served.down = false;
    served.lease_until = steady_now() + lease_time(self);
    apply_cold_announcement(self, announced);
    if (starts_leaving)
    {
        log_upstream_change("upstream_leaves", announced, "announced");
        refuse_waiting_calls(self, "the upstream is leaving");
    }
    publish_self_record(self);
}

/** Checks whether an upstream that sends no responses still accepts connections. */
void probe_served_upstream(node& self)
{
    served_upstream& served = *self.sidecar_state->served;
    served.probed_at = steady_now();
    probe_peer(*self.upstream_pool, served.announced.address,
               timeout_with_lag(self.lag, stall_probe_timeout_ms, served.probed_at),
               [&self, instance = served.announced.instance](bool accepted)
               {
                   const bool same = self.sidecar_state->served &&
                                     self.sidecar_state->served->announced.instance == instance;
                   if (same && !accepted)
                   {
                       mark_upstream_down(self, "it answers nothing and accepts no connection");
                   }
               });
}

/** Detects an upstream that has failed, before further calls are sent to it. */
void check_served_upstream(node& self)
{
    if (!self.sidecar_state->served)
    {
        return;
    }
    const served_upstream& served = *self.sidecar_state->served;
    const time_ms now = steady_now();
    if (!served.down && now > served.lease_until)
    {
        mark_upstream_down(self, "its announcements have stopped");
    }
    const bool in_doubt = !served.down && is_stalled(served.queue, now);
    if (in_doubt && now - served.probed_at > stall_probe_interval_ms)
    {
        probe_served_upstream(self);
    }
}

/** Tells other daemons the upstream's service time if it has changed considerably. */
void publish_service_time(node& self)
{
    if (!self.sidecar_state->served)
    {
        return;
    }
    served_upstream& served = *self.sidecar_state->served;
    const time_ms now = steady_now();
    if (const auto value = service_time_to_advertise(served.queue, served.advertised, now))
    {
        log_event(log_level::info, "service_time_advertised",
                  {{"instance", served.announced.instance},
                   {"previous_ms", served.advertised.value},
                   {"service_time_ms", *value}});
        served.advertised = {.value = *value, .changed_at = now};
        publish_self_record(self);
    }
}

} // namespace

sidecar::sidecar() = default;
sidecar::~sidecar() = default;

bool is_sidecar(const node& self)
{
    return self.config.sidecar.outbound.has_value();
}

bool open_sidecar(node& self, error& reason)
{
    const platform_adapter* adapter = registry<platform_adapter>::find(self.config.platform);
    self.sidecar_state = std::make_unique<sidecar>();
    self.sidecar_state->protocol = &adapter->calls;
    self.sidecar_state->placement_params.local_fraction = self.config.sidecar.local_fraction;
    self.sidecar_state->turns.loop = self.loop;
    open_usage(self, &finish_usage_wait);
    self.sidecar_state->retry_bounds = {.ratio = self.config.sidecar.retry_ratio,
                                        .window = self.config.sidecar.retry_window,
                                        .extra = self.config.sidecar.retry_extra};
    self.sidecar_state->hedging.options = {.ratio = self.config.sidecar.hedge_ratio,
                                           .percentile = self.config.sidecar.hedge_percentile};
    self.sidecar_state->peer_pool = open_connection_pool(*self.loop, pool_options(self.config));
    self.sidecar_state->outbound_server = open_pipelined_server(
        *self.loop,
        {.address = *self.config.sidecar.outbound,
         .turns = &self.sidecar_state->turns,
         .intake = intake_options(self, intake::listener_role::calls, "outbound")},
        {.on_request = [&self](request_id id, http_request request)
         { handle_outbound_request(self, id, std::move(request)); },
         .on_cancelled =
             [&self](request_id id)
         {
             handle_outbound_cancelled(self, id);
         }},
        reason);
    if (!self.sidecar_state->outbound_server)
    {
        return false;
    }
    self.sidecar_state->inbound_server = open_pipelined_server(
        *self.loop,
        {.address = {self.config.address, self.config.data_port},
         .limits = peer_limits(self.config_replica.state.limits),
         .turns = &self.sidecar_state->turns,
         .intake = intake_options(self, intake::listener_role::calls, "data")},
        {.on_request = [&self](request_id id, http_request request)
         { handle_inbound_request(self, id, std::move(request)); },
         .on_cancelled =
             [&self](request_id id)
         {
             handle_inbound_cancelled(self, id);
         }},
        reason);
    if (!self.sidecar_state->inbound_server)
    {
        return false;
    }
    self.config.data_port = bound_port(*self.sidecar_state->inbound_server);
    return adapter->open_listeners == nullptr || adapter->open_listeners(self, reason);
}

void start_sidecar(node& self)
{
    run_every(*self.loop, tick_ms,
              [&self]
              {
                  expire_waiting_calls(self);
                  check_served_upstream(self);
                  publish_service_time(self);
                  check_peers(self);
              });
}

void refresh_routes(node& self)
{
    self.sidecar_state->routes = make_route_table(self.config_replica.state);
    self.sidecar_state->keys = make_key_directory(self.config_replica.state);
    apply_evacuations(self);
    refresh_cold_upstream(self);
    remove_unsplit_routes(self.sidecar_state->splits, self.config_replica.state);
    std::erase_if(self.sidecar_state->hedging.attempts_by_route, [&](const auto& entry)
                  { return !self.config_replica.state.routes.contains(entry.first); });
    const caller_limits& limits = self.config_replica.state.limits;
    set_limits(*self.sidecar_state->outbound_server, limits);
    set_limits(*self.sidecar_state->inbound_server, peer_limits(limits));
    intake::set_budget(*self.intake, intake::budget_bytes(self.config, limits.max_body_bytes));
    refresh_usage(self);
}

std::optional<upstream_record> served_upstream_record(const node& self)
{
    if (!self.sidecar_state->served || self.sidecar_state->served->down || self.left ||
        self.drained)
    {
        return std::nullopt;
    }
    const upstream_announcement& announced = self.sidecar_state->served->announced;
    if (announced.state != upstream_state::up)
    {
        return std::nullopt;
    }
    return upstream_record{.service = announced.service,
                           .version = announced.version,
                           .address = announced.address.address,
                           .port = announced.address.port,
                           .slots = announced.slots,
                           .instance = announced.instance,
                           .locality = self.config.sidecar.locality,
                           .cold_time_left = announced.cold_time_left,
                           .service_time = self.sidecar_state->served->advertised.value};
}

announcement_verdict handle_announcement(node& self, const upstream_announcement& announced,
                                         error& reason)
{
    std::optional<upstream_announcement> known;
    if (self.sidecar_state->served)
    {
        known = self.sidecar_state->served->announced;
    }
    const config_state& state = self.config_replica.state;
    announcement_verdict verdict = announcement_verdict::rejected;
    if (is_from_departed_instance(self.sidecar_state->departed, announced, steady_now()))
    {
        verdict = announcement_verdict::outdated;
    }
    else if (state.version > 0 && !state.services.contains(announced.service))
    {
        reason = {error_kind::unknown_service,
                  "service '" + announced.service + "' is not in the configuration",
                  "announce a service that the configuration names"};
    }
    else
    {
        verdict = classify_announcement(known, announced, self.config.sidecar, reason);
    }
    switch (verdict)
    {
    case announcement_verdict::new_incarnation:
        serve_incarnation(self, announced);
        apply_announcement(self, announced);
        break;
    case announcement_verdict::refreshed:
        apply_announcement(self, announced);
        break;
    case announcement_verdict::outdated:
        log_upstream_change("announcement_outdated", announced,
                            "a newer announcement was accepted");
        break;
    case announcement_verdict::rejected:
        log_event(log_level::warning, "announcement_rejected",
                  {{"instance", announced.instance}, {"reason", describe(reason)}});
        break;
    }
    return verdict;
}

void handle_departure(node& self, std::string_view instance,
                      std::optional<std::uint64_t> incarnation)
{
    const bool served =
        self.sidecar_state->served && self.sidecar_state->served->announced.instance == instance;
    if (!served ||
        (incarnation && *incarnation < self.sidecar_state->served->announced.incarnation))
    {
        log_event(
            log_level::info, "departure_noted",
            {{"instance", instance},
             {"reason", "the daemon does not serve this instance or serves a later incarnation"}});
        self.sidecar_state->departed = {
            .instance = std::string(instance),
            .incarnation = incarnation.value_or(static_cast<std::uint64_t>(wall_now())),
            .left_at = steady_now()};
        publish_self_record(self);
        return;
    }
    // Running calls may finish, so the upstream is kept until its announcements stop.
    self.sidecar_state->served->announced.state = upstream_state::left;
    log_upstream_change("upstream_leaves", self.sidecar_state->served->announced, "deregistered");
    refuse_waiting_calls(self, "the upstream is leaving");
    publish_self_record(self);
}

departed_instance last_departure(const sidecar& sidecar_state)
{
    if (sidecar_state.served && sidecar_state.served->announced.state != upstream_state::up)
    {
        return {.instance = sidecar_state.served->announced.instance,
                .incarnation = sidecar_state.served->announced.incarnation};
    }
    if (sidecar_state.departed)
    {
        return {.instance = sidecar_state.departed->instance,
                .incarnation = sidecar_state.departed->incarnation};
    }
    return {};
}

void learn_departure(node& self, const departed_instance& departed)
{
    // What this process has seen itself is newer.
    const bool known = !last_departure(*self.sidecar_state).instance.empty();
    if (!known && !departed.instance.empty() && departed.incarnation > 0)
    {
        handle_departure(self, departed.instance, departed.incarnation);
    }
}

void mark_upstream_down(node& self, std::string_view reason)
{
    if (!self.sidecar_state->served || self.sidecar_state->served->down)
    {
        return;
    }
    self.sidecar_state->served->down = true;
    count(self.stats, "upstream_down");
    log_upstream_change("upstream_down", self.sidecar_state->served->announced, reason);
    publish_self_record(self);
    // Running calls go on. An upstream that is late, or out of connections, may still be working on
    // them; if it has ended, their own connections are closed.
    refuse_waiting_calls(self, reason);
}

bool refuse_connections(sidecar& sidecar_state)
{
    const bool outbound = stop_accepting(*sidecar_state.outbound_server);
    const bool inbound = stop_accepting(*sidecar_state.inbound_server);
    return outbound || inbound;
}

std::size_t open_sidecar_calls(const node& self)
{
    return self.sidecar_state->outbound.size() + self.sidecar_state->inbound.size() +
           pending_requests(*self.sidecar_state->outbound_server) +
           pending_requests(*self.sidecar_state->inbound_server);
}

bool is_accepting_callers(const node& self)
{
    return self.config_replica.ready && self.config_replica.state.version > 0 && !self.leaving;
}

} // namespace sardinepoint
