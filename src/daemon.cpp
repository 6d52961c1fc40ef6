#include "daemon.hpp"

#include "inbound.hpp"
#include "ingress.hpp"
#include "local_hop.hpp"
#include "local_upstreams.hpp"
#include "move_runtime.hpp"
#include "node.hpp"
#include "operator_api.hpp"
#include "outbound.hpp"
#include "peering.hpp"
#include "replica.hpp"
#include "sidecar.hpp"

#include "sardinepoint/logging.hpp"
#include "sardinepoint/platform_adapter.hpp"
#include "sardinepoint/registry.hpp"

#include <nlohmann/json.hpp>

#include <malloc.h>
#include <sys/resource.h>

#include <algorithm>
#include <iostream>
#include <limits>
#include <tuple>

namespace sardinepoint
{

namespace
{

constexpr int large_block_bytes = 128 << 10;
constexpr time_ms replica_tick_interval_ms = 50;
constexpr time_ms lease_check_interval_ms = 100;
constexpr time_ms waiting_hop_check_interval_ms = 5;
constexpr time_ms shutdown_check_interval_ms = 20;
constexpr time_ms log_flush_interval_ms = 100;
// Time of a shutdown for which the upstream gets calls; what is left of readiness_propagation_ms is
// enough for the leaving record to reach the peers.
constexpr time_ms upstream_withdrawal_delay_ms = 2000;
// Connections kept open to all peers; a closed one costs a handshake at its next use.
constexpr long max_peer_connections = 1024;
// Time for the leaving record to reach the failure domain, so that peers stop sending calls.
constexpr time_ms min_shutdown_ms = 300;

bool open_data_server(node& self, error& reason)
{
    self.data_server =
        open_http_server(*self.loop,
                         {.address = self.config.address,
                          .port = self.config.data_port,
                          .intake = intake_options(self, intake::listener_role::calls, "data")},
                         {.on_request = [&self](request_id id, http_request request)
                          { handle_data_request(self, id, std::move(request)); },
                          .on_cancelled =
                              [&self](request_id id)
                          {
                              handle_data_cancelled(self, id);
                          }},
                         reason);
    if (!self.data_server)
    {
        return false;
    }
    self.config.data_port = bound_port(*self.data_server);
    return true;
}

/** The operating system's limit on the descriptors of this process. */
std::size_t descriptor_limit()
{
    rlimit limit{};
    return ::getrlimit(RLIMIT_NOFILE, &limit) == 0 ? limit.rlim_cur
                                                   : std::numeric_limits<std::size_t>::max();
}

bool open_servers(node& self, error& reason)
{
    self.intake = std::make_unique<intake::gate>(
        *self.loop, self.stats,
        intake::budget_bytes(self.config, self.config_replica.state.limits.max_body_bytes));
    self.control_server = open_http_server(
        *self.loop,
        {.address = self.config.address,
         .port = self.config.control_port,
         .max_body_bytes = static_cast<std::size_t>(self.config.intake.control_body_kb) << 10U,
         .priority = io_priority::urgent,
         .intake = intake_options(self, intake::listener_role::control, "control")},
        {.on_request = [&self](request_id id, const http_request& request)
         { handle_control_request(self, id, request); },
         .on_cancelled = {}},
        reason);
    if (!self.control_server)
    {
        return false;
    }
    self.config.control_port = bound_port(*self.control_server);
    if (!is_sidecar(self) && !open_data_server(self, reason))
    {
        return false;
    }
    if (is_sidecar(self) && !open_sidecar(self, reason))
    {
        return false;
    }
    if (self.config.advertised_control_port == 0)
    {
        self.config.advertised_control_port = self.config.control_port;
    }
    if (self.config.advertised_data_port == 0)
    {
        self.config.advertised_data_port = self.config.data_port;
    }
    return true;
}

void set_up_state(node& self)
{
    self.incarnation = static_cast<std::uint64_t>(wall_now());
    self.members.self_id = self.config.id;
    self.keys.id = self.config.id + "@" +
                   to_string(endpoint{self.config.address, self.config.advertised_data_port});
    self.keys.incarnation = self.incarnation;
    self.balancing.policy = self.config.balancing;
    http_client_options client_options{.max_connections = max_peer_connections,
                                       .local_address = self.config.address};
    self.data_client = open_http_client(*self.loop, client_options);
    client_options.priority = io_priority::urgent;
    self.control_client = open_http_client(*self.loop, client_options);
    self.upstream_pool = open_connection_pool(*self.loop, pool_options(self.config));
    self.log = {.http = self.control_client.get(),
                .protocol = &registry<platform_adapter>::find(self.config.platform)->log,
                .service = self.config.log,
                .timeout = self.config.log_timeout,
                .client_id = self.config.id};
}

/**
 * Stops the daemon when all calls have a response or the shutdown timeout has elapsed. The platform
 * kills the process at that timeout too, so a sidecar aborts the remaining calls early enough to
 * send their responses.
 */
void finish_shutdown(node& self)
{
    const time_ms elapsed = steady_now() - self.leaving_since;
    const time_ms min_elapsed = is_sidecar(self) ? readiness_propagation_ms : min_shutdown_ms;
    const bool idle = calls_in_progress(self) == 0 && elapsed >= min_elapsed;
    const bool timed_out = elapsed >= self.config.shutdown_timeout;
    if (!idle && !timed_out)
    {
        if (self.sidecar_state && elapsed >= self.config.shutdown_timeout - response_delivery_ms)
        {
            abort_open_calls(self);
        }
        return;
    }
    // Connections waiting at the listeners may carry calls; these are handled before the next
    // check.
    if (!timed_out && self.sidecar_state && refuse_connections(*self.sidecar_state))
    {
        return;
    }
    log_event(idle ? log_level::info : log_level::warning, "shutdown_finished",
              {{"calls_cut", static_cast<std::uint64_t>(calls_in_progress(self))},
               {"elapsed_ms", elapsed}});
    stop(*self.loop);
}

/**
 * Applies the log level of the settings file; all other settings need a restart. A file with errors
 * changes nothing. Members, upstreams and configuration need no reload, because the daemon receives
 * their changes while it runs.
 */
void reload_settings(const std::string& file, const settings& initial_settings)
{
    error reason;
    auto config = load_settings(file, reason);
    if (!config)
    {
        log_event(log_level::error, "reload_rejected", {{"reason", describe(reason)}});
        return;
    }
    set_log_level(config->level);
    config->level = initial_settings.level;
    log_event(log_level::info, "reloaded",
              {{"needs_restart", *config == initial_settings ? "no" : "yes"}});
}

/** Takes the upstream of this VM out of service and tells the peers of the shutdown. */
void leave_members(node& self)
{
    if (self.sidecar_state)
    {
        refuse_waiting_calls(self, "this daemon is shutting down");
    }
    announce_leaving(self);
}

void start_shutdown(node& self)
{
    if (self.leaving)
    {
        return;
    }
    self.leaving = true;
    self.leaving_since = steady_now();
    log_event(log_level::info, "shutdown_started",
              {{"calls", static_cast<std::uint64_t>(calls_in_progress(self))}});
    if (self.sidecar_state)
    {
        close_after_responses(*self.sidecar_state->outbound_server);
    }
    if (self.sidecar_state && served_upstream_record(self))
    {
        // The daemon runs until its callers have noticed the shutdown. Its upstream may be the only
        // one of its service, so it stays in service for most of that time.
        run_after(*self.loop, upstream_withdrawal_delay_ms, [&self] { leave_members(self); });
    }
    else
    {
        leave_members(self);
    }
    run_every(*self.loop, shutdown_check_interval_ms, [&self] { finish_shutdown(self); });
}

/**
 * Records the duration and lag of an iteration of the event loop. A slow iteration delays
 * everything else on the loop, so slow ones are logged, at most once per second.
 */
void record_loop_iteration(node& self, std::int64_t busy_us)
{
    constexpr double seconds_per_us = 1e-6;
    constexpr std::int64_t slow_iteration_us = 100'000;
    constexpr time_ms report_interval_ms = 1000;
    observe(self.stats, "loop_round_seconds", static_cast<double>(busy_us) * seconds_per_us);
    record_lag(self.lag, steady_now_us() - ready_since_us(*self.loop), steady_now());
    slow_loop_stats& slow_iterations = self.slow_iterations;
    if (busy_us >= slow_iteration_us)
    {
        ++slow_iterations.count;
        slow_iterations.longest_us = std::max(slow_iterations.longest_us, busy_us);
    }
    if (slow_iterations.count == 0 ||
        steady_now() - slow_iterations.reported_at < report_interval_ms)
    {
        return;
    }
    log_event(log_level::warning, "loop_rounds_long",
              {{"rounds", slow_iterations.count}, {"longest_us", slow_iterations.longest_us}});
    slow_iterations = {.reported_at = steady_now()};
}

void start_timers(node& self)
{
    on_iteration(*self.loop,
                 [&self](std::int64_t busy_us) { record_loop_iteration(self, busy_us); });
    run_every(*self.loop, replica_tick_interval_ms, [&self] { tick_replica(self); });
    if (is_sidecar(self))
    {
        start_sidecar(self);
        return;
    }
    run_every(*self.loop, lease_check_interval_ms, [&self] { expire_leases(self); });
    run_every(*self.loop, waiting_hop_check_interval_ms, [&self] { expire_waiting_hops(self); });
}

} // namespace

node::node() : moves(std::make_unique<move_runtime>()) {}

node::~node() = default;

member_record describe_self(const node& self)
{
    member_record record{.id = self.config.id,
                         .incarnation = self.incarnation,
                         .domain = self.config.domain,
                         .region = self.config.region,
                         .address = self.config.address,
                         .data_port = self.config.advertised_data_port,
                         .control_port = self.config.advertised_control_port,
                         .served_offset = self.config_replica.state.next_offset,
                         .served_version = self.config_replica.state.version};
    record.state = self.left ? member_state::leaving : member_state::alive;
    for (const auto& [key, upstream] : self.upstreams)
    {
        record.upstreams.push_back(upstream.record);
        record.upstreams.back().state = effective_state(self, upstream);
    }
    if (self.sidecar_state)
    {
        if (auto served = served_upstream_record(self))
        {
            record.upstreams.push_back(std::move(*served));
        }
        record.departed = last_departure(*self.sidecar_state);
    }
    return record;
}

void publish_self_record(node& self)
{
    member_record next = describe_self(self);
    if (!self.config_replica.ready)
    {
        // A daemon that isn't ready rejects calls, so its upstreams are published later.
        next.upstreams.clear();
    }
    const auto announced_fields = [](const upstream_record& upstream)
    {
        return std::tie(upstream.service, upstream.version, upstream.address, upstream.port,
                        upstream.slots, upstream.connections, upstream.state, upstream.instance,
                        upstream.service_time);
    };
    const member_entry* published = find_member(self.members, self.config.id);
    const bool unchanged =
        published != nullptr && published->record.state == next.state &&
        published->record.departed == next.departed &&
        std::equal(published->record.upstreams.begin(), published->record.upstreams.end(),
                   next.upstreams.begin(), next.upstreams.end(),
                   [&](const upstream_record& left, const upstream_record& right)
                   { return announced_fields(left) == announced_fields(right); });
    if (unchanged)
    {
        return;
    }
    publish_self(self.members, std::move(next), steady_now());
    broadcast_member(self, self.config.id);
}

connection_pool_options pool_options(const settings& config)
{
    constexpr std::size_t bytes_per_mb = 1U << 20U;
    constexpr std::size_t memory_divisor = 4;
    return {.max_received_bytes =
                static_cast<std::size_t>(config.memory_mb) * bytes_per_mb / memory_divisor};
}

intake::gate_options intake_options(const node& self, intake::listener_role role, std::string name)
{
    return {self.intake.get(),
            intake::limits_of(self.config, role, std::move(name), descriptor_limit(),
                              self.intake->budget.max_bytes)};
}

std::uint64_t control_bytes(const node& self)
{
    return transferred_bytes(*self.control_client) + transferred_bytes(*self.control_server);
}

int run_daemon(const settings& config, const std::string& settings_file)
{
    // Released blocks of this size go back to the system at once. By default the threshold grows
    // with the blocks that are released, and bodies of closed connections would stay resident.
    ::mallopt(M_MMAP_THRESHOLD, large_block_bytes);
    event_loop_ptr loop = make_event_loop();
    node self;
    self.config = config;
    self.loop = loop.get();
    // Installed first, because without a handler these signals terminate the process. The callbacks
    // run once the loop runs.
    on_terminate(*loop, [&self] { start_shutdown(self); });
    on_reload(*loop, [&] { reload_settings(settings_file, config); });
    error reason;
    if (registry<platform_adapter>::find(config.platform) == nullptr)
    {
        std::cerr << "sardinepointd: platform '" << config.platform
                  << "' has no adapter; set [daemon] platform to one of:";
        for (const auto& [name, adapter] : registry<platform_adapter>::entries())
        {
            std::cerr << " " << name;
        }
        std::cerr << "\n";
        return 1;
    }
    if (!open_servers(self, reason))
    {
        std::cerr << "sardinepointd: " << describe(reason) << "\n";
        return 1;
    }
    set_up_state(self);
    publish_self_record(self);
    std::cout << "data_port=" << self.config.data_port
              << " control_port=" << self.config.control_port << std::endl;
    log_event(log_level::info, "started",
              {{"domain", self.config.domain},
               {"data_port", static_cast<int>(self.config.data_port)},
               {"control_port", static_cast<int>(self.config.control_port)}});
    start_replica(self);
    start_peering(self);
    start_move_timer(self);
    start_timers(self);
    start_log_buffering();
    run_every(*loop, log_flush_interval_ms, [] { flush_logs(); });
    run(*loop);
    flush_logs();
    self.sidecar_state.reset();
    self.data_server.reset();
    self.control_server.reset();
    self.intake.reset();
    self.upstream_pool.reset();
    self.data_client.reset();
    self.control_client.reset();
    return 0;
}

} // namespace sardinepoint
