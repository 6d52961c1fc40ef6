#include "rig/soak.hpp"

#include "rig/soak_state.hpp"

#include <algorithm>
#include <utility>

namespace sardinepoint::rig
{

namespace
{

constexpr time_ms start_limit_ms = 10'000;
// Members declared dead must rejoin, and the newest configuration must arrive from the store.
constexpr time_ms recovery_limit_ms = 10'000;
constexpr time_ms recovered_load_ms = 1000;

void start_call(soak& self, std::size_t daemon, bool non_idempotent)
{
    auto created = std::make_unique<soak_call>();
    soak_call& call = *created;
    call.id = "soak-" + std::to_string(self.calls.size());
    call.daemon = daemon;
    call.non_idempotent = non_idempotent;
    call.started = steady_now();
    call.after_recovery = self.after_recovery;
    self.calls.push_back(std::move(created));
    self.system.start_call(*self.system.daemons[daemon],
                           {.method = non_idempotent ? "POST" : "GET",
                            .path = (non_idempotent ? "/once/board/" : "/board/") + call.id,
                            .body = non_idempotent ? "body of " + call.id : "",
                            .deadline = soak_call_deadline_ms,
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

/** Whether each daemon serves calls with the newest configuration. */
bool has_recovered(soak& self)
{
    for (const auto& daemon : self.system.daemons)
    {
        const std::string id = "heal-" + std::to_string(steady_now());
        const int served = self.system.call(*daemon, {.id = id}).response.status;
        const int newest =
            self.system.call(*daemon, {.path = "/" + newest_service(self) + "/x"}).response.status;
        // The newest route has no upstream, so status 503 shows that the daemon knows it.
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
    const bool started =
        self.system.wait_served("board", start_limit_ms) &&
        self.system.wait_members(static_cast<std::size_t>(self.options.daemons), start_limit_ms);
    self.system.received_requests.clear();
    self.started_at = steady_now();
    if (!started)
    {
        record_violation(self, "the daemons did not start in time", self.started_at);
    }
}

} // namespace

int pick(soak& self, int min_value, int max_value)
{
    return std::uniform_int_distribution<int>(min_value, max_value)(self.random);
}

void record_violation(soak& self, const std::string& what, time_ms at)
{
    self.result.violations.push_back(std::to_string(at - self.started_at) + " ms: " + what);
}

std::string newest_service(const soak& self)
{
    return "extra-" + std::to_string(self.version);
}

soak_result run_soak(const soak_options& options)
{
    soak self{.options = options,
              .system = fleet(options.build_dir, "soak-" + std::to_string(options.seed)),
              .random = std::mt19937_64(options.seed)};
    self.system.keep_files = options.keep_files;
    // As in a large fleet, the other daemons learn configurations from these.
    self.system.readers = 2;
    start_system(self);
    const timer_id calls =
        run_every(*self.system.loop, options.call_interval, [&self] { start_calls(self); });
    run_faults(self);
    if (!self.system.run_until(recovery_limit_ms, [&] { return has_recovered(self); }))
    {
        record_violation(self, "the daemons did not recover in time", steady_now());
    }
    self.after_recovery = true;
    self.system.run_for(recovered_load_ms);
    cancel_timer(*self.system.loop, calls);
    self.system.run_until(soak_call_deadline_ms + 2 * soak_scheduling_margin_ms,
                          [&]
                          {
                              return std::all_of(self.calls.begin(), self.calls.end(),
                                                 [](const auto& call) { return call->ended != 0; });
                          });
    check_guarantees(self);
    return std::move(self.result);
}

} // namespace sardinepoint::rig
