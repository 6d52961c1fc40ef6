#include "rig/soak_state.hpp"

#include <algorithm>
#include <array>
#include <csignal>
#include <iostream>
#include <utility>

namespace sardinepoint::rig
{

namespace
{

constexpr time_ms max_fault_interval_ms = 500;
constexpr time_ms max_fault_duration_ms = 2500;
constexpr time_ms shutdown_timeout_ms = 6000;
// fleet::publish writes configuration numbers with a single hexadecimal digit.
constexpr int max_versions = 14;
constexpr std::array<store_fault, 8> store_faults{store_fault::none,
                                                  store_fault::unavailable,
                                                  store_fault::rate_limited,
                                                  store_fault::no_response,
                                                  store_fault::delayed_execution,
                                                  store_fault::response_lost,
                                                  store_fault::malformed_response,
                                                  store_fault::compacted};

void record_fault(soak& self, std::string_view what, const std::string& target)
{
    ++self.result.faults;
    if (self.options.verbose)
    {
        std::cout << steady_now() - self.started_at << " ms: " << what << " " << target
                  << std::endl;
    }
}

void schedule_action(soak& self, time_ms delay, std::function<void()> action)
{
    self.scheduled_actions.push_back({.at = steady_now() + delay, .run = std::move(action)});
}

void run_due_actions(soak& self, bool all)
{
    while (true)
    {
        const auto due = std::find_if(self.scheduled_actions.begin(), self.scheduled_actions.end(),
                                      [&](const scheduled_action& item)
                                      { return all || item.at <= steady_now(); });
        if (due == self.scheduled_actions.end())
        {
            return;
        }
        const auto action = std::move(due->run);
        self.scheduled_actions.erase(due);
        action();
    }
}

// Faults of daemons

void start_disturbance(soak& self, std::size_t daemon)
{
    self.disturbed_daemons.insert(daemon);
    self.disturbances.push_back({.daemon = daemon, .from = steady_now(), .until = 0});
}

void end_disturbance(soak& self, std::size_t daemon)
{
    self.disturbed_daemons.erase(daemon);
    for (disturbance& item : self.disturbances)
    {
        if (item.daemon == daemon && item.until == 0)
        {
            item.until = steady_now();
        }
    }
}

void restart_daemon(soak& self, std::size_t daemon)
{
    self.system.start(*self.system.daemons[daemon]);
    end_disturbance(self, daemon);
}

void kill_daemon(soak& self, std::size_t index)
{
    fleet_daemon& daemon = *self.system.daemons[index];
    start_disturbance(self, index);
    daemon.child_process->signal(SIGKILL);
    daemon.child_process->wait();
    schedule_action(self, pick(self, 0, max_fault_duration_ms),
                    [&self, index] { restart_daemon(self, index); });
}

void wait_for_stop(soak& self, std::size_t index, time_ms requested_at)
{
    fleet_daemon& daemon = *self.system.daemons[index];
    if (daemon.child_process->is_running())
    {
        if (steady_now() - requested_at < shutdown_timeout_ms + soak_scheduling_margin_ms)
        {
            constexpr time_ms poll_interval_ms = 50;
            self.system.run_for(poll_interval_ms);
            schedule_action(self, 0,
                            [&self, index, requested_at]
                            { wait_for_stop(self, index, requested_at); });
            return;
        }
        record_violation(self, daemon.id + " is still running after the shutdown timeout",
                         steady_now());
        daemon.child_process->signal(SIGKILL);
    }
    if (daemon.child_process->wait() != 0)
    {
        record_violation(self, daemon.id + " exited with an error after SIGTERM", steady_now());
    }
    restart_daemon(self, index);
}

void stop_daemon(soak& self, std::size_t index)
{
    start_disturbance(self, index);
    self.system.daemons[index]->child_process->signal(SIGTERM);
    schedule_action(self, 0,
                    [&self, index, requested_at = steady_now()]
                    { wait_for_stop(self, index, requested_at); });
}

void freeze_daemon(soak& self, std::size_t index)
{
    start_disturbance(self, index);
    self.system.daemons[index]->child_process->signal(SIGSTOP);
    schedule_action(self, pick(self, 50, max_fault_duration_ms),
                    [&self, index]
                    {
                        self.system.daemons[index]->child_process->signal(SIGCONT);
                        end_disturbance(self, index);
                    });
}

void reload_daemon(soak& self, std::size_t index)
{
    self.system.daemons[index]->child_process->signal(SIGHUP);
}

// Faults of the network between daemons

void update_relay_rules(soak& self)
{
    std::vector<relay_rule> rules;
    for (const auto& [target, rule] : self.rules)
    {
        rules.push_back(rule);
    }
    apply_rules(*self.system.relay, std::move(rules));
}

void inject_link_fault(soak& self, std::size_t index)
{
    const std::string id = self.system.daemons[index]->id;
    constexpr std::array actions{relay_action::hold, relay_action::hold_responses,
                                 relay_action::close, relay_action::delay};
    self.rules[id] = {.target = id,
                      .action = actions.at(static_cast<std::size_t>(pick(self, 0, 3))),
                      .delay = pick(self, 5, 200)};
    update_relay_rules(self);
    schedule_action(self, pick(self, 100, max_fault_duration_ms),
                    [&self, id]
                    {
                        self.rules.erase(id);
                        update_relay_rules(self);
                    });
}

void reset_link(soak& self, std::size_t index)
{
    reset_connections(*self.system.relay, self.system.daemons[index]->id);
}

// Faults of upstreams

fleet_upstream& upstream_of(soak& self, std::size_t index)
{
    return *self.system.daemons[index]->upstream;
}

void replace_upstream(soak& self, std::size_t index)
{
    fleet_upstream& upstream = upstream_of(self, index);
    upstream.instance = "i-" + std::to_string(++self.instances) + "-" + std::to_string(index);
    upstream.started_at += 1000;
    upstream.state = "ready";
    upstream.sends_announcements = true;
    self.system.open_upstream(upstream);
    self.disturbed_upstreams.erase(index);
}

void crash_upstream(soak& self, std::size_t index)
{
    self.disturbed_upstreams.insert(index);
    upstream_of(self, index).server.reset();
    upstream_of(self, index).sends_announcements = false;
    schedule_action(self, pick(self, 100, max_fault_duration_ms),
                    [&self, index] { replace_upstream(self, index); });
}

void drain_upstream(soak& self, std::size_t index)
{
    fleet_upstream& upstream = upstream_of(self, index);
    if (self.disturbed_daemons.contains(index))
    {
        return;
    }
    self.disturbed_upstreams.insert(index);
    upstream.state = "draining";
    if (self.system.announce(*self.system.daemons[index]) == 200)
    {
        self.departures.push_back({.instance = upstream.instance, .acknowledged_at = steady_now()});
    }
    schedule_action(self, soak_drain_limit_ms + 1000,
                    [&self, index]
                    {
                        upstream_of(self, index).server.reset();
                        replace_upstream(self, index);
                    });
}

void inject_upstream_fault(soak& self, std::size_t index)
{
    fleet_upstream& upstream = upstream_of(self, index);
    self.disturbed_upstreams.insert(index);
    switch (pick(self, 0, 3))
    {
    case 0:
        upstream.status = 500;
        break;
    case 1:
        upstream.processing_time = 300;
        break;
    case 2:
        upstream.requests_to_drop = pick(self, 1, 10);
        break;
    default:
        upstream.modify_response = [](http_response& response)
        {
            set_header(response.headers, "X-Request-Id", "of-another-call");
        };
    }
    schedule_action(self, pick(self, 100, max_fault_duration_ms),
                    [&self, index]
                    {
                        fleet_upstream& recovered = upstream_of(self, index);
                        recovered.status = 200;
                        recovered.processing_time = fleet_upstream{}.processing_time;
                        recovered.requests_to_drop = 0;
                        recovered.modify_response = {};
                        self.disturbed_upstreams.erase(index);
                    });
}

// Faults of the store, and changes

void inject_store_faults(soak& self)
{
    self.last_store_fault = steady_now();
    for (int i = pick(self, 1, 20); i > 0; --i)
    {
        self.system.store.faults.push_back(store_faults.at(
            static_cast<std::size_t>(pick(self, 0, static_cast<int>(store_faults.size()) - 1))));
    }
}

void change_config(soak& self)
{
    if (self.version < max_versions)
    {
        ++self.version;
        self.system.publish(self.version, {"board", newest_service(self)});
        schedule_action(self, soak_config_limit_ms,
                        [&self, published = published_config{self.version, steady_now()}]
                        { check_config_applied(self, published); });
    }
}

void inject_random_fault(soak& self)
{
    using daemon_fault = void (*)(soak&, std::size_t);
    struct fault_kind
    {
        std::string_view name;
        daemon_fault inject;
        /** Targets of lasting faults, which this fault skips; null if it may affect any. */
        std::set<std::size_t>* excluded_targets;
    };
    const std::array<fault_kind, 9> fault_kinds{
        {{"kill", kill_daemon, &self.disturbed_daemons},
         {"stop", stop_daemon, &self.disturbed_daemons},
         {"freeze", freeze_daemon, &self.disturbed_daemons},
         {"reload", reload_daemon, &self.disturbed_daemons},
         {"link", inject_link_fault, nullptr},
         {"reset", reset_link, nullptr},
         {"crash", crash_upstream, &self.disturbed_upstreams},
         {"drain", drain_upstream, &self.disturbed_upstreams},
         {"spoil", inject_upstream_fault, &self.disturbed_upstreams}}};
    const int selected_index = pick(self, 0, static_cast<int>(fault_kinds.size()) + 1);
    if (selected_index == static_cast<int>(fault_kinds.size()))
    {
        record_fault(self, "store", "");
        inject_store_faults(self);
        return;
    }
    if (selected_index > static_cast<int>(fault_kinds.size()))
    {
        record_fault(self, "config", "");
        change_config(self);
        return;
    }
    const fault_kind& selected = fault_kinds.at(static_cast<std::size_t>(selected_index));
    const auto target = static_cast<std::size_t>(pick(self, 0, self.options.daemons - 1));
    if (selected.excluded_targets == nullptr || !selected.excluded_targets->contains(target))
    {
        record_fault(self, selected.name, self.system.daemons[target]->id);
        selected.inject(self, target);
    }
}

} // namespace

void run_faults(soak& self)
{
    while (steady_now() - self.started_at < self.options.duration)
    {
        self.system.run_for(pick(self, 10, max_fault_interval_ms));
        run_due_actions(self, false);
        inject_random_fault(self);
    }
    run_due_actions(self, true);
    self.system.store.faults.clear();
}

} // namespace sardinepoint::rig
