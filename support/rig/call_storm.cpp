#include "rig/call_storm.hpp"

#include <signal.h>

#include <algorithm>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <thread>
#include <unordered_map>
#include <utility>

namespace sardinepoint::rig
{

using nlohmann::json;

namespace
{

constexpr time_ms start_limit_ms = 10'000;
constexpr time_ms route_timeout_ms = 600;
// Most callers wait longer than the route's timeout; some give up while their call still runs.
constexpr time_ms caller_timeout_ms = 800;
constexpr time_ms short_caller_timeout_ms = 60;
constexpr int max_submissions = 5;
constexpr int keys_per_request = 100;
constexpr time_ms resend_delay_ms = 20;

enum class call_state
{
    pending,
    answered,
    not_run,
    unknown,
};

struct chaos_call
{
    std::string name;
    std::string key;
    std::string body;
    std::string target;
    int submissions = 0;
    /** Whether an earlier submission may have run. */
    bool may_have_run = false;
    bool mismatched = false;
    call_state state = call_state::pending;
};

/** Concurrent callers, which share one event loop on a separate thread. */
struct caller_pool
{
    const chaos_options& options;
    std::vector<endpoint> daemons;
    event_loop_ptr loop = make_event_loop();
    http_client_ptr client = open_http_client(*this->loop, {.max_connections = 512});
    std::mt19937_64 random;
    std::deque<chaos_call> calls;
    std::deque<std::string> keys;
    bool fetching_keys = false;
    std::deque<std::size_t> waiting_for_key;
    std::uint64_t submissions = 0;
    int running = 0;
    time_ms deadline = 0;
    std::atomic<std::uint64_t> finished{0};
    std::atomic<std::uint64_t> faults{0};
    std::atomic<bool> done{false};
};

void submit(caller_pool& pool, std::size_t index);

std::uint64_t draw(std::mt19937_64& random, std::uint64_t limit)
{
    return std::uniform_int_distribution<std::uint64_t>(0, limit - 1)(random);
}

const endpoint& pick_daemon(caller_pool& pool)
{
    return pool.daemons[draw(pool.random, pool.daemons.size())];
}

void start_next_call(caller_pool& pool)
{
    const bool time_is_up = steady_now() >= pool.deadline;
    const bool targets_reached =
        pool.calls.size() >= pool.options.calls && pool.faults >= pool.options.min_faults;
    if (targets_reached || time_is_up)
    {
        if (pool.running == 0)
        {
            stop(*pool.loop);
        }
        return;
    }
    const std::size_t index = pool.calls.size();
    chaos_call& call = pool.calls.emplace_back();
    call.name = std::to_string(pool.options.seed) + "-" + std::to_string(index);
    call.body = "crew " + call.name + std::string(draw(pool.random, 2000), 'x');
    call.target = "/duty/" + call.name + "?n=" + std::to_string(index);
    ++pool.running;
    submit(pool, index);
}

void finish_call(caller_pool& pool, std::size_t index, call_state state)
{
    pool.calls[index].state = state;
    --pool.running;
    ++pool.finished;
    start_next_call(pool);
}

void submit_later(caller_pool& pool, std::size_t index)
{
    run_after(*pool.loop, resend_delay_ms, [&pool, index] { submit(pool, index); });
}

void fetch_keys(caller_pool& pool)
{
    if (std::exchange(pool.fetching_keys, true))
    {
        return;
    }
    send_request(*pool.client,
                 {.url = "http://" + to_string(pick_daemon(pool)) +
                         "/.sardinepoint/keys?count=" + std::to_string(keys_per_request),
                  .timeout = short_caller_timeout_ms * 2},
                 [&pool](const http_result& result)
                 {
                     pool.fetching_keys = false;
                     const json body = json::parse(result.response.body, nullptr, false);
                     if (result.response.status == 200 && body.is_object())
                     {
                         for (const json& key : body.value("keys", json::array()))
                         {
                             pool.keys.push_back(key.get<std::string>());
                         }
                     }
                     std::deque<std::size_t> waiting = std::exchange(pool.waiting_for_key, {});
                     for (const std::size_t index : waiting)
                     {
                         submit_later(pool, index);
                     }
                 });
}

bool is_own_response(const chaos_call& call, const http_response& response)
{
    const json body = json::parse(response.body, nullptr, false);
    return body.is_object() && body.value("request_id", "") == call.name &&
           body.value("echo", "") == call.body && body.value("target", "") == call.target;
}

void handle_not_run(caller_pool& pool, std::size_t index)
{
    chaos_call& call = pool.calls[index];
    if (call.submissions >= max_submissions || draw(pool.random, 2) == 0)
    {
        // Calls without a key are only retried after "not run", so no earlier submission has run.
        finish_call(pool, index, call_state::not_run);
        return;
    }
    call.key.clear();
    submit_later(pool, index);
}

void handle_unknown(caller_pool& pool, std::size_t index)
{
    chaos_call& call = pool.calls[index];
    call.may_have_run = true;
    if (!pool.options.keyed || call.submissions >= max_submissions)
    {
        finish_call(pool, index, call_state::unknown);
        return;
    }
    submit_later(pool, index);
}

void handle_result(caller_pool& pool, std::size_t index, const http_result& result)
{
    chaos_call& call = pool.calls[index];
    if (result.outcome == call_outcome::not_sent)
    {
        // An earlier submission with the same key may still have run.
        if (call.may_have_run)
        {
            handle_unknown(pool, index);
            return;
        }
        handle_not_run(pool, index);
        return;
    }
    const auto outcome = find_header(result.response.headers, "Sardinepoint-Outcome").value_or("");
    if (result.outcome != call_outcome::answered || (outcome != "answered" && outcome != "not-run"))
    {
        handle_unknown(pool, index);
        return;
    }
    if (outcome == "not-run")
    {
        handle_not_run(pool, index);
        return;
    }
    // Status 409 means that the request ran but its response is not stored.
    call.mismatched = result.response.status == 200 && !is_own_response(call, result.response);
    finish_call(pool, index, call_state::answered);
}

void submit(caller_pool& pool, std::size_t index)
{
    chaos_call& call = pool.calls[index];
    if (steady_now() >= pool.deadline)
    {
        finish_call(pool, index, call.may_have_run ? call_state::unknown : call_state::not_run);
        return;
    }
    if (pool.options.keyed && call.key.empty())
    {
        if (pool.keys.empty())
        {
            pool.waiting_for_key.push_back(index);
            fetch_keys(pool);
            return;
        }
        call.key = pool.keys.front();
        pool.keys.pop_front();
    }
    ++call.submissions;
    ++pool.submissions;
    std::vector<http_header> headers{{"Request-Id", call.name}, {"Content-Type", "text/plain"}};
    if (pool.options.keyed)
    {
        headers.push_back({"Idempotency-Key", call.key});
    }
    const bool uses_short_timeout = draw(pool.random, 20) == 0;
    send_request(*pool.client,
                 {.method = "POST",
                  .url = "http://" + to_string(pick_daemon(pool)) + call.target,
                  .headers = std::move(headers),
                  .body = call.body,
                  .timeout = uses_short_timeout ? short_caller_timeout_ms : caller_timeout_ms,
                  .connect_timeout = short_caller_timeout_ms,
                  .retryable = false},
                 [&pool, index](const http_result& result) { handle_result(pool, index, result); });
}

void run_callers(caller_pool& pool)
{
    pool.deadline = steady_now() + pool.options.limit;
    for (int caller = 0; caller < pool.options.callers; ++caller)
    {
        start_next_call(pool);
    }
    run(*pool.loop);
    pool.done = true;
}

/** The system under test: three failure domains with two daemons each, one upstream per daemon. */
struct chaos_system
{
    mesh processes;
    std::vector<std::string> domains{"tallinn-a", "tallinn-b", "rakvere"};
    std::string runs_dir;

    explicit chaos_system(const std::string& build_dir)
        : processes({.build_dir = build_dir,
                     .extra_settings = "",
                     .log_level = "warning",
                     .relayed = true,
                     .name = "call-storm"})
    {
        std::string pattern =
            (std::filesystem::temp_directory_path() / "storm-runs-XXXXXX").string();
        this->runs_dir = ::mkdtemp(pattern.data()) == nullptr ? "." : pattern;
        for (std::size_t i = 0; i < 2 * this->domains.size(); ++i)
        {
            daemon_node& daemon =
                this->processes.add_daemon("vm-" + std::to_string(i), this->domains[i / 2]);
            this->processes.add_upstream(
                daemon,
                {.announce_interval = 100, .runs_file = this->runs_dir + "/" + std::to_string(i)});
        }
    }

    ~chaos_system()
    {
        std::error_code ignored;
        std::filesystem::remove_all(this->runs_dir, ignored);
    }

    chaos_system(const chaos_system&) = delete;
    chaos_system& operator=(const chaos_system&) = delete;
};

void prepare(chaos_system& system)
{
    mesh& processes = system.processes;
    const bool ready = processes.wait_ready(start_limit_ms) &&
                       processes.wait_upstreams("duty-board", 2, start_limit_ms);
    json operations = service_operations("duty-board", "v1", "/duty");
    operations[1]["timeout_ms"] = route_timeout_ms;
    processes.submit(processes.daemons[0], 0, operations);
    if (!ready || !processes.wait_version(1, start_limit_ms))
    {
        throw std::runtime_error(
            "the daemons and upstreams of the chaos test did not become ready in time");
    }
}

/** Waits until `count` more calls have ended, so that each fault occurs under load. */
void wait_for_calls(const caller_pool& pool, std::uint64_t count, time_ms limit)
{
    const std::uint64_t target = pool.finished + count;
    wait_until(limit, [&] { return pool.done || pool.finished >= target; });
}

template <class Node>
void freeze(Node& node, const caller_pool& pool, std::mt19937_64& random)
{
    node.child_process->signal(SIGSTOP);
    wait_for_calls(pool, 400, static_cast<time_ms>(100 + draw(random, 900)));
    node.child_process->signal(SIGCONT);
}

/** Injects a fault of a random kind; returns false if that kind is disabled. */
bool inject_fault(chaos_system& system, const caller_pool& pool, std::mt19937_64& random)
{
    const chaos_faults& faults = pool.options.faults;
    mesh& processes = system.processes;
    daemon_node& daemon = processes.daemons[draw(random, processes.daemons.size())];
    upstream_node& upstream = processes.upstreams[draw(random, processes.upstreams.size())];
    const std::uint64_t kind = draw(random, 6);
    const bool enabled[] = {faults.daemon_kills, faults.daemon_restarts, faults.upstream_kills,
                            faults.freezes,      faults.freezes,         faults.partitions};
    if (!enabled[kind])
    {
        return false;
    }
    if (kind == 0)
    {
        daemon.child_process->signal(SIGKILL);
        wait_for_calls(pool, 50, 200);
        processes.restart(daemon);
    }
    if (kind == 1)
    {
        daemon.child_process->signal(SIGTERM);
        wait_until(start_limit_ms, [&] { return !daemon.child_process->is_running(); });
        processes.restart(daemon);
    }
    if (kind == 2)
    {
        upstream.child_process->signal(SIGKILL);
        wait_for_calls(pool, 50, 200);
        processes.restart(upstream);
    }
    if (kind == 3)
    {
        freeze(daemon, pool, random);
    }
    if (kind == 4)
    {
        freeze(upstream, pool, random);
    }
    if (kind == 5)
    {
        processes.isolate(system.domains[draw(random, system.domains.size())], draw(random, 2) == 0,
                          draw(random, 2) == 0 ? "hold" : "close");
        wait_for_calls(pool, 400, static_cast<time_ms>(200 + draw(random, 800)));
        processes.set_link_faults({});
    }
    return true;
}

std::unordered_map<std::string, int> read_runs(const std::string& folder)
{
    std::unordered_map<std::string, int> runs;
    for (const auto& entry : std::filesystem::directory_iterator(folder))
    {
        std::ifstream file(entry.path());
        std::string name;
        while (std::getline(file, name))
        {
            ++runs[name];
        }
    }
    return runs;
}

/** Waits until delayed requests have run or were dropped: no new request has run for a while. */
void wait_for_delayed_requests(const chaos_system& system)
{
    constexpr time_ms quiet_ms = 2 * route_timeout_ms;
    std::size_t previous_size = 0;
    time_ms changed_at = steady_now();
    wait_until(start_limit_ms,
               [&]
               {
                   const std::size_t size = read_runs(system.runs_dir).size();
                   if (size != std::exchange(previous_size, size))
                   {
                       changed_at = steady_now();
                   }
                   return steady_now() - changed_at >= quiet_ms;
               });
}

chaos_counts count_calls(const caller_pool& pool, const std::string& runs_dir)
{
    std::unordered_map<std::string, int> runs = read_runs(runs_dir);
    chaos_counts counts{.calls = pool.calls.size(), .submissions = pool.submissions};
    for (const chaos_call& call : pool.calls)
    {
        const int run_count = runs[call.name];
        const bool reported_not_run = call.state == call_state::not_run;
        const bool answered = call.state == call_state::answered;
        counts.answered += answered ? 1 : 0;
        counts.not_run += reported_not_run ? 1 : 0;
        counts.unknown += call.state == call_state::unknown ? 1 : 0;
        counts.run_twice += run_count > 1 ? 1 : 0;
        counts.not_run_but_ran += reported_not_run && run_count > 0 ? 1 : 0;
        counts.answered_but_not_run += answered && run_count == 0 ? 1 : 0;
        counts.mismatched += call.mismatched ? 1 : 0;
    }
    return counts;
}

} // namespace

chaos_counts run_chaos_test(const chaos_options& options)
{
    chaos_system system(options.build_dir);
    prepare(system);
    caller_pool pool{.options = options, .random = std::mt19937_64(options.seed)};
    for (const daemon_node& daemon : system.processes.daemons)
    {
        pool.daemons.push_back(daemon.data);
    }
    std::mt19937_64 random(options.seed);
    std::jthread callers([&pool] { run_callers(pool); });
    while (!pool.done)
    {
        wait_for_calls(pool, 200, 500);
        pool.faults += inject_fault(system, pool, random) ? 1 : 0;
    }
    callers.join();
    wait_for_delayed_requests(system);
    chaos_counts counts = count_calls(pool, system.runs_dir);
    counts.faults = pool.faults;
    return counts;
}

} // namespace sardinepoint::rig
