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

constexpr time_ms longest_pause_ms = 500;
constexpr time_ms longest_fault_ms = 2500;
constexpr time_ms grace_ms = 6000;
// Numbers of configurations that the stand-in writes.
constexpr int most_versions = 14;
constexpr std::array<store_fault, 8> store_faults{
    store_fault::none,    store_fault::unavailable,      store_fault::too_many_calls,
    store_fault::silence, store_fault::carried_out_late, store_fault::answer_lost,
    store_fault::garbled, store_fault::compacted};

void note_fault(soak& self, std::string_view what, const std::string& target)
{
    ++self.result.faults;
    if (self.options.verbose)
    {
        std::cout << steady_now() - self.began << " ms: " << what << " " << target << std::endl;
    }
}

void end_after(soak& self, time_ms delay, std::function<void()> end)
{
    self.ends.push_back({.at = steady_now() + delay, .end = std::move(end)});
}

void run_ends(soak& self, bool all)
{
    while (true)
    {
        const auto due =
            std::find_if(self.ends.begin(), self.ends.end(),
                         [&](const pending_end& item) { return all || item.at <= steady_now(); });
        if (due == self.ends.end())
        {
            return;
        }
        const auto end = std::move(due->end);
        self.ends.erase(due);
        end();
    }
}

// Faults of daemons

void begin_disturbance(soak& self, std::size_t daemon)
{
    self.daemons_hit.insert(daemon);
    self.disturbances.push_back({.daemon = daemon, .from = steady_now(), .until = 0});
}

void end_disturbance(soak& self, std::size_t daemon)
{
    self.daemons_hit.erase(daemon);
    for (disturbance& item : self.disturbances)
    {
        if (item.daemon == daemon && item.until == 0)
        {
            item.until = steady_now();
        }
    }
}

void start_again(soak& self, std::size_t daemon)
{
    self.system.start(*self.system.daemons[daemon]);
    end_disturbance(self, daemon);
}

void kill_daemon(soak& self, std::size_t index)
{
    fleet_daemon& daemon = *self.system.daemons[index];
    begin_disturbance(self, index);
    daemon.child_process->signal(SIGKILL);
    daemon.child_process->wait();
    end_after(self, pick(self, 0, longest_fault_ms), [&self, index] { start_again(self, index); });
}

void await_stop(soak& self, std::size_t index, time_ms asked)
{
    fleet_daemon& daemon = *self.system.daemons[index];
    if (daemon.child_process->is_running())
    {
        if (steady_now() - asked < grace_ms + soak_late_ms)
        {
            constexpr time_ms look_ms = 50;
            self.system.run_for(look_ms);
            end_after(self, 0, [&self, index, asked] { await_stop(self, index, asked); });
            return;
        }
        note_broken(self, daemon.id + " runs on after the grace time", steady_now());
        daemon.child_process->signal(SIGKILL);
    }
    if (daemon.child_process->wait() != 0)
    {
        note_broken(self, daemon.id + " ended a planned stop with a failure", steady_now());
    }
    start_again(self, index);
}

void stop_daemon(soak& self, std::size_t index)
{
    begin_disturbance(self, index);
    self.system.daemons[index]->child_process->signal(SIGTERM);
    end_after(self, 0, [&self, index, asked = steady_now()] { await_stop(self, index, asked); });
}

void freeze_daemon(soak& self, std::size_t index)
{
    begin_disturbance(self, index);
    self.system.daemons[index]->child_process->signal(SIGSTOP);
    end_after(self, pick(self, 50, longest_fault_ms),
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

void use_rules(soak& self)
{
    std::vector<relay_rule> rules;
    for (const auto& [target, rule] : self.rules)
    {
        rules.push_back(rule);
    }
    apply_rules(*self.system.relay, std::move(rules));
}

void trouble_link(soak& self, std::size_t index)
{
    const std::string id = self.system.daemons[index]->id;
    constexpr std::array actions{relay_action::hold, relay_action::hold_answers,
                                 relay_action::close, relay_action::delay};
    self.rules[id] = {.target = id,
                      .action = actions.at(static_cast<std::size_t>(pick(self, 0, 3))),
                      .delay = pick(self, 5, 200)};
    use_rules(self);
    end_after(self, pick(self, 100, longest_fault_ms),
              [&self, id]
              {
                  self.rules.erase(id);
                  use_rules(self);
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

void renew_upstream(soak& self, std::size_t index)
{
    fleet_upstream& upstream = upstream_of(self, index);
    upstream.instance = "i-" + std::to_string(++self.instances) + "-" + std::to_string(index);
    upstream.born += 1000;
    upstream.state = "ready";
    upstream.announces = true;
    self.system.open_upstream(upstream);
    self.upstreams_hit.erase(index);
}

void crash_upstream(soak& self, std::size_t index)
{
    self.upstreams_hit.insert(index);
    upstream_of(self, index).server.reset();
    upstream_of(self, index).announces = false;
    end_after(self, pick(self, 100, longest_fault_ms),
              [&self, index] { renew_upstream(self, index); });
}

void drain_upstream(soak& self, std::size_t index)
{
    fleet_upstream& upstream = upstream_of(self, index);
    if (self.daemons_hit.contains(index))
    {
        return;
    }
    self.upstreams_hit.insert(index);
    upstream.state = "draining";
    if (self.system.announce(*self.system.daemons[index]) == 200)
    {
        self.departures.push_back({.instance = upstream.instance, .acknowledged = steady_now()});
    }
    end_after(self, soak_drain_ms + 1000,
              [&self, index]
              {
                  upstream_of(self, index).server.reset();
                  renew_upstream(self, index);
              });
}

void spoil_upstream(soak& self, std::size_t index)
{
    fleet_upstream& upstream = upstream_of(self, index);
    self.upstreams_hit.insert(index);
    switch (pick(self, 0, 3))
    {
    case 0:
        upstream.status = 500;
        break;
    case 1:
        upstream.work = 300;
        break;
    case 2:
        upstream.hang_ups = pick(self, 1, 10);
        break;
    default:
        upstream.spoil = [](http_response& response)
        {
            set_header(response.headers, "X-Request-Id", "of-another-call");
        };
    }
    end_after(self, pick(self, 100, longest_fault_ms),
              [&self, index]
              {
                  fleet_upstream& sound = upstream_of(self, index);
                  sound.status = 200;
                  sound.work = fleet_upstream{}.work;
                  sound.hang_ups = 0;
                  sound.spoil = {};
                  self.upstreams_hit.erase(index);
              });
}

// Faults of the store, and changes

void spoil_store(soak& self)
{
    self.store_hit = steady_now();
    for (int i = pick(self, 1, 20); i > 0; --i)
    {
        self.system.store.faults.push_back(store_faults.at(
            static_cast<std::size_t>(pick(self, 0, static_cast<int>(store_faults.size()) - 1))));
    }
}

void change_config(soak& self)
{
    if (self.version < most_versions)
    {
        ++self.version;
        self.system.publish(self.version, {"board", newest_service(self)});
        end_after(self, soak_config_ms,
                  [&self, published = published_config{self.version, steady_now()}]
                  { check_in_force(self, published); });
    }
}

void begin_fault(soak& self)
{
    using daemon_fault = void (*)(soak&, std::size_t);
    struct kind
    {
        std::string_view name;
        daemon_fault begin;
        /** What must not be hit by another fault that lasts. */
        std::set<std::size_t>* free;
    };
    const std::array<kind, 9> kinds{{{"kill", kill_daemon, &self.daemons_hit},
                                     {"stop", stop_daemon, &self.daemons_hit},
                                     {"freeze", freeze_daemon, &self.daemons_hit},
                                     {"reload", reload_daemon, &self.daemons_hit},
                                     {"link", trouble_link, nullptr},
                                     {"reset", reset_link, nullptr},
                                     {"crash", crash_upstream, &self.upstreams_hit},
                                     {"drain", drain_upstream, &self.upstreams_hit},
                                     {"spoil", spoil_upstream, &self.upstreams_hit}}};
    const int drawn = pick(self, 0, static_cast<int>(kinds.size()) + 1);
    if (drawn == static_cast<int>(kinds.size()))
    {
        note_fault(self, "store", "");
        spoil_store(self);
        return;
    }
    if (drawn > static_cast<int>(kinds.size()))
    {
        note_fault(self, "config", "");
        change_config(self);
        return;
    }
    const kind& chosen = kinds.at(static_cast<std::size_t>(drawn));
    const auto target = static_cast<std::size_t>(pick(self, 0, self.options.daemons - 1));
    if (chosen.free == nullptr || !chosen.free->contains(target))
    {
        note_fault(self, chosen.name, self.system.daemons[target]->id);
        chosen.begin(self, target);
    }
}

} // namespace

void run_faults(soak& self)
{
    while (steady_now() - self.began < self.options.length)
    {
        self.system.run_for(pick(self, 10, longest_pause_ms));
        run_ends(self, false);
        begin_fault(self);
    }
    run_ends(self, true);
    self.system.store.faults.clear();
}

} // namespace sardinepoint::rig
