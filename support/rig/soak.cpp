#include "rig/soak.hpp"

#include "rig/fleet.hpp"

#include <algorithm>
#include <array>
#include <csignal>
#include <functional>
#include <iostream>
#include <map>
#include <random>
#include <set>
#include <string_view>
#include <utility>

namespace sardinepoint::rig
{

namespace
{

constexpr time_ms start_limit_ms = 10'000;
constexpr time_ms call_deadline_ms = 2000;
// A call ends by its deadline; the rest is for processes that wait for processor time.
constexpr time_ms late_ms = 500;
constexpr time_ms longest_pause_ms = 500;
constexpr time_ms longest_fault_ms = 2500;
constexpr time_ms grace_ms = 6000;
// The platform's bound on requests after the ack of a leaving.
constexpr time_ms drain_ms = 2000;
// After the last fault: members that were taken for dead, the store, the newest configuration.
constexpr time_ms heal_limit_ms = 10'000;
constexpr time_ms steady_ms = 1000;
constexpr int most_attempts = 2;
// Bounds of the retry budget by default.
constexpr double retry_ratio = 0.2;
constexpr int retry_extra = 64;
constexpr time_ms retry_window_ms = 10'000;
// Numbers of configurations that the stand-in writes.
constexpr int most_versions = 14;
constexpr std::array<store_fault, 8> store_faults{
    store_fault::none,    store_fault::unavailable,      store_fault::too_many_calls,
    store_fault::silence, store_fault::carried_out_late, store_fault::answer_lost,
    store_fault::garbled, store_fault::compacted};

struct soak_call
{
    std::string id;
    std::size_t daemon = 0;
    bool once = false;
    time_ms started = 0;
    time_ms ended = 0;
    bool steady = false;
    http_result result;
};

/** Time in which a daemon was killed, frozen, stopped or started. */
struct disturbance
{
    std::size_t daemon = 0;
    time_ms from = 0;
    time_ms until = 0;
};

struct pending_end
{
    time_ms at = 0;
    std::function<void()> end;
};

struct departure
{
    std::string instance;
    time_ms acknowledged = 0;
};

struct soak
{
    const soak_options& options;
    fleet system;
    std::mt19937_64 random;
    time_ms began = 0;
    std::vector<std::unique_ptr<soak_call>> calls;
    std::vector<disturbance> disturbances;
    std::vector<departure> departures;
    std::vector<pending_end> ends;
    /** Daemons, and upstreams, at which some fault is under way. */
    std::set<std::size_t> daemons_hit;
    std::set<std::size_t> upstreams_hit;
    std::map<std::string, relay_rule> rules;
    int version = 1;
    int instances = 0;
    bool steady = false;
    soak_result result;
};

int pick(soak& self, int least, int most)
{
    return std::uniform_int_distribution<int>(least, most)(self.random);
}

void note_broken(soak& self, const std::string& what, time_ms at)
{
    self.result.broken.push_back(std::to_string(at - self.began) + " ms: " + what);
}

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

// Calls

void start_call(soak& self, std::size_t daemon, bool once)
{
    auto created = std::make_unique<soak_call>();
    soak_call& call = *created;
    call.id = "soak-" + std::to_string(self.calls.size());
    call.daemon = daemon;
    call.once = once;
    call.started = steady_now();
    call.steady = self.steady;
    self.calls.push_back(std::move(created));
    self.system.start_call(*self.system.daemons[daemon],
                           {.method = once ? "POST" : "GET",
                            .path = (once ? "/once/board/" : "/board/") + call.id,
                            .body = once ? "body of " + call.id : "",
                            .deadline = call_deadline_ms,
                            .id = call.id},
                           [&call](http_result value)
                           {
                               call.ended = steady_now();
                               call.result = std::move(value);
                           });
}

void start_calls(soak& self)
{
    for (std::size_t i = 0; i < self.system.daemons.size(); ++i)
    {
        start_call(self, i, pick(self, 0, 2) == 0);
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
    daemon.run->signal(SIGKILL);
    daemon.run->wait();
    end_after(self, pick(self, 0, longest_fault_ms), [&self, index] { start_again(self, index); });
}

void await_stop(soak& self, std::size_t index, time_ms asked)
{
    fleet_daemon& daemon = *self.system.daemons[index];
    if (daemon.run->running())
    {
        if (steady_now() - asked < grace_ms + late_ms)
        {
            constexpr time_ms look_ms = 50;
            self.system.run_for(look_ms);
            end_after(self, 0, [&self, index, asked] { await_stop(self, index, asked); });
            return;
        }
        note_broken(self, daemon.id + " runs on after the grace time", steady_now());
        daemon.run->signal(SIGKILL);
    }
    if (daemon.run->wait() != 0)
    {
        note_broken(self, daemon.id + " ended a planned stop with a failure", steady_now());
    }
    start_again(self, index);
}

void stop_daemon(soak& self, std::size_t index)
{
    begin_disturbance(self, index);
    self.system.daemons[index]->run->signal(SIGTERM);
    end_after(self, 0, [&self, index, asked = steady_now()] { await_stop(self, index, asked); });
}

void freeze_daemon(soak& self, std::size_t index)
{
    begin_disturbance(self, index);
    self.system.daemons[index]->run->signal(SIGSTOP);
    end_after(self, pick(self, 50, longest_fault_ms),
              [&self, index]
              {
                  self.system.daemons[index]->run->signal(SIGCONT);
                  end_disturbance(self, index);
              });
}

void reload_daemon(soak& self, std::size_t index)
{
    self.system.daemons[index]->run->signal(SIGHUP);
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
    end_after(self, drain_ms + 1000,
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
    for (int i = pick(self, 1, 20); i > 0; --i)
    {
        self.system.store.faults.push_back(store_faults.at(
            static_cast<std::size_t>(pick(self, 0, static_cast<int>(store_faults.size()) - 1))));
    }
}

std::string newest_service(const soak& self)
{
    return "extra-" + std::to_string(self.version);
}

void change_config(soak& self)
{
    if (self.version < most_versions)
    {
        ++self.version;
        self.system.publish(self.version, {"board", newest_service(self)});
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

// Promises

/** Whether the daemon that took the call was disturbed while it had it. */
bool was_disturbed(const soak& self, const soak_call& call)
{
    return std::any_of(self.disturbances.begin(), self.disturbances.end(),
                       [&](const disturbance& item)
                       {
                           const bool over = item.until != 0 && item.until < call.started;
                           return item.daemon == call.daemon && item.from <= call.ended && !over;
                       });
}

struct runs_of_call
{
    int runs = 0;
    std::map<std::string, int> by_instance;
};

std::map<std::string, runs_of_call> count_runs(const soak& self)
{
    std::map<std::string, runs_of_call> counted;
    for (const seen_request& request : self.system.seen)
    {
        runs_of_call& runs = counted[request.id];
        ++runs.runs;
        ++runs.by_instance[request.instance];
    }
    return counted;
}

/** Status of the answer; 0 without one. */
int status_of(const soak_call& call)
{
    return call.result.outcome == call_outcome::answered ? call.result.response.status : 0;
}

void check_runs(soak& self, const soak_call& call, const runs_of_call& runs)
{
    const int status = status_of(call);
    if (call.once && runs.runs > 1)
    {
        note_broken(self, call.id + " ran " + std::to_string(runs.runs) + " times", call.started);
    }
    if (runs.runs > most_attempts)
    {
        note_broken(self, call.id + " had too many attempts", call.started);
    }
    for (const auto& [instance, count] : runs.by_instance)
    {
        if (count > 1)
        {
            note_broken(self, call.id + " reached " + instance + " twice", call.started);
        }
    }
    if (status == 503 && runs.runs > 0)
    {
        note_broken(self, call.id + " was refused after it ran", call.started);
    }
    if (status == 200 && runs.runs == 0)
    {
        note_broken(self, call.id + " was answered and never ran", call.started);
    }
}

void check_answer(soak& self, const soak_call& call)
{
    const http_response& answer = call.result.response;
    const int status = status_of(call);
    if (status == 200)
    {
        const auto stamp = find_header(answer.headers, "X-Response-Stamp").value_or("");
        if (find_header(answer.headers, "X-Request-Id").value_or("") != call.id ||
            answer.body != "answer of " + std::string(stamp))
        {
            note_broken(self, call.id + " got another call's answer", call.started);
        }
    }
    if (status == 404)
    {
        note_broken(self, call.id + " was denied its route", call.started);
    }
    if (was_disturbed(self, call))
    {
        return;
    }
    if (status == 0)
    {
        note_broken(self, call.id + " got no answer: " + call.result.reason, call.started);
    }
    if (call.ended - call.started > call_deadline_ms + late_ms)
    {
        note_broken(self, call.id + " ended late", call.started);
    }
    if (call.steady && status != 200)
    {
        note_broken(self, call.id + " got " + std::to_string(status) + " after all had healed",
                    call.started);
    }
}

void check_departures(soak& self)
{
    for (const departure& left : self.departures)
    {
        for (const seen_request& request : self.system.seen)
        {
            if (request.instance == left.instance && request.at > left.acknowledged + drain_ms)
            {
                note_broken(self, request.id + " reached " + left.instance + " after it left",
                            request.at);
            }
        }
    }
}

/** Repeats in each window against the calls in it. */
void check_budget(soak& self)
{
    std::vector<time_ms> repeats;
    std::set<std::string_view> known;
    for (const seen_request& request : self.system.seen)
    {
        if (!known.insert(request.id).second)
        {
            repeats.push_back(request.at);
        }
    }
    for (std::size_t i = 0; i < repeats.size(); ++i)
    {
        const time_ms from = repeats[i] - retry_window_ms;
        const auto in_window =
            std::count_if(repeats.begin(), repeats.end(),
                          [&](time_ms at) { return at > from && at <= repeats[i]; });
        const auto calls = std::count_if(
            self.calls.begin(), self.calls.end(),
            [&](const auto& call) { return call->started > from && call->started <= repeats[i]; });
        if (static_cast<double>(in_window) > retry_ratio * static_cast<double>(calls) + retry_extra)
        {
            note_broken(self,
                        std::to_string(in_window) + " repeats for " + std::to_string(calls) +
                            " calls in a window",
                        repeats[i]);
            return;
        }
    }
}

void count_call(soak_result& result, const soak_call& call)
{
    ++result.calls;
    const int status = status_of(call);
    result.answered += status == 200 ? 1 : 0;
    result.refused += status == 503 ? 1 : 0;
    result.failed += status != 200 && status != 503 ? 1 : 0;
}

void check_calls(soak& self)
{
    const auto runs = count_runs(self);
    for (const auto& call : self.calls)
    {
        count_call(self.result, *call);
        const auto found = runs.find(call->id);
        check_runs(self, *call, found == runs.end() ? runs_of_call{} : found->second);
        check_answer(self, *call);
    }
    check_departures(self);
    check_budget(self);
}

/** Whether each daemon serves calls by the newest configuration. */
bool has_healed(soak& self)
{
    for (const auto& daemon : self.system.daemons)
    {
        const std::string id = "heal-" + std::to_string(steady_now());
        const int served = self.system.call(*daemon, {.id = id}).response.status;
        const int newest =
            self.system.call(*daemon, {.path = "/" + newest_service(self) + "/x"}).response.status;
        // No upstream belongs to the newest route: 503 shows that it is known.
        if (served != 200 || (self.version > 1 && newest != 503))
        {
            return false;
        }
    }
    return true;
}

void start_system(soak& self)
{
    self.system.relay.emplace(*self.system.loop);
    self.system.publish(self.version, {"board"});
    for (int i = 0; i < self.options.daemons; ++i)
    {
        self.system.add("board");
    }
    if (!self.system.wait_served("board", start_limit_ms) ||
        !self.system.wait_members(static_cast<std::size_t>(self.options.daemons), start_limit_ms))
    {
        note_broken(self, "the daemons have not started in time", steady_now());
    }
    self.system.seen.clear();
    self.began = steady_now();
}

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

} // namespace

soak_result run_soak(const soak_options& options)
{
    soak self{.options = options,
              .system = fleet(options.build_dir, "soak-" + std::to_string(options.seed)),
              .random = std::mt19937_64(options.seed)};
    self.system.keep_files = options.keep_files;
    start_system(self);
    const timer_id calls =
        run_every(*self.system.loop, options.call_interval, [&self] { start_calls(self); });
    run_faults(self);
    if (!self.system.run_until(heal_limit_ms, [&] { return has_healed(self); }))
    {
        note_broken(self, "the daemons have not healed in time", steady_now());
    }
    self.steady = true;
    self.system.run_for(steady_ms);
    cancel_timer(*self.system.loop, calls);
    self.system.run_until(call_deadline_ms + 2 * late_ms,
                          [&]
                          {
                              return std::all_of(self.calls.begin(), self.calls.end(),
                                                 [](const auto& call) { return call->ended != 0; });
                          });
    check_calls(self);
    return std::move(self.result);
}

} // namespace sardinepoint::rig
