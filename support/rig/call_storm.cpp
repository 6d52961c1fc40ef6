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
// Some callers give up while their call still runs.
constexpr time_ms patient_timeout_ms = 800;
constexpr time_ms impatient_timeout_ms = 60;
constexpr int most_submissions = 5;
constexpr int keys_per_request = 100;
constexpr time_ms resend_delay_ms = 20;

enum class call_end
{
    pending,
    answered,
    not_run,
    unknown,
};

struct storm_call
{
    std::string name;
    std::string key;
    std::string body;
    std::string target;
    int submissions = 0;
    /** Some submission may have run. */
    bool may_have_run = false;
    bool mixed_up = false;
    call_end end = call_end::pending;
};

/** Callers on a thread of their own. */
struct caller_pool
{
    const storm_options& options;
    std::vector<endpoint> daemons;
    event_loop_ptr loop = make_event_loop();
    http_client_ptr client = open_http_client(*this->loop, {.max_connections = 512});
    std::mt19937_64 random;
    std::deque<storm_call> calls;
    std::deque<std::string> keys;
    bool fetching = false;
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

const endpoint& any_daemon(caller_pool& pool)
{
    return pool.daemons[draw(pool.random, pool.daemons.size())];
}

void start_next(caller_pool& pool)
{
    const bool late = steady_now() >= pool.deadline;
    const bool enough =
        pool.calls.size() >= pool.options.calls && pool.faults >= pool.options.least_faults;
    if (enough || late)
    {
        if (pool.running == 0)
        {
            stop(*pool.loop);
        }
        return;
    }
    const std::size_t index = pool.calls.size();
    storm_call& call = pool.calls.emplace_back();
    call.name = std::to_string(pool.options.seed) + "-" + std::to_string(index);
    call.body = "crew " + call.name + std::string(draw(pool.random, 2000), 'x');
    call.target = "/duty/" + call.name + "?n=" + std::to_string(index);
    ++pool.running;
    submit(pool, index);
}

void end_call(caller_pool& pool, std::size_t index, call_end end)
{
    pool.calls[index].end = end;
    --pool.running;
    ++pool.finished;
    start_next(pool);
}

void submit_later(caller_pool& pool, std::size_t index)
{
    run_after(*pool.loop, resend_delay_ms, [&pool, index] { submit(pool, index); });
}

void fetch_keys(caller_pool& pool)
{
    if (std::exchange(pool.fetching, true))
    {
        return;
    }
    send_request(*pool.client,
                 {.url = "http://" + to_string(any_daemon(pool)) +
                         "/.sardinepoint/keys?count=" + std::to_string(keys_per_request),
                  .timeout = impatient_timeout_ms * 2},
                 [&pool](const http_result& answer)
                 {
                     pool.fetching = false;
                     const json body = json::parse(answer.response.body, nullptr, false);
                     if (answer.response.status == 200 && body.is_object())
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

bool is_own_answer(const storm_call& call, const http_response& response)
{
    const json body = json::parse(response.body, nullptr, false);
    return body.is_object() && body.value("request_id", "") == call.name &&
           body.value("echo", "") == call.body && body.value("target", "") == call.target;
}

void take_not_run(caller_pool& pool, std::size_t index)
{
    storm_call& call = pool.calls[index];
    if (call.submissions >= most_submissions || draw(pool.random, 2) == 0)
    {
        // Without a key, an earlier submission is never one that may have run.
        end_call(pool, index, call_end::not_run);
        return;
    }
    call.key.clear();
    submit_later(pool, index);
}

void take_unknown(caller_pool& pool, std::size_t index)
{
    storm_call& call = pool.calls[index];
    call.may_have_run = true;
    if (!pool.options.keyed || call.submissions >= most_submissions)
    {
        end_call(pool, index, call_end::unknown);
        return;
    }
    submit_later(pool, index);
}

void take_result(caller_pool& pool, std::size_t index, const http_result& result)
{
    storm_call& call = pool.calls[index];
    if (result.outcome == call_outcome::not_sent)
    {
        // Nothing is known about earlier submissions of the same key.
        if (call.may_have_run)
        {
            take_unknown(pool, index);
            return;
        }
        take_not_run(pool, index);
        return;
    }
    const auto outcome = find_header(result.response.headers, "Sardinepoint-Outcome").value_or("");
    if (result.outcome != call_outcome::answered || (outcome != "answered" && outcome != "not-run"))
    {
        take_unknown(pool, index);
        return;
    }
    if (outcome == "not-run")
    {
        take_not_run(pool, index);
        return;
    }
    // 409 tells that the request ran but its answer isn't stored.
    call.mixed_up = result.response.status == 200 && !is_own_answer(call, result.response);
    end_call(pool, index, call_end::answered);
}

void submit(caller_pool& pool, std::size_t index)
{
    storm_call& call = pool.calls[index];
    if (steady_now() >= pool.deadline)
    {
        end_call(pool, index, call.may_have_run ? call_end::unknown : call_end::not_run);
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
    const bool impatient = draw(pool.random, 20) == 0;
    send_request(*pool.client,
                 {.method = "POST",
                  .url = "http://" + to_string(any_daemon(pool)) + call.target,
                  .headers = std::move(headers),
                  .body = call.body,
                  .timeout = impatient ? impatient_timeout_ms : patient_timeout_ms,
                  .connect_timeout = impatient_timeout_ms,
                  .repeatable = false},
                 [&pool, index](const http_result& result) { take_result(pool, index, result); });
}

void run_callers(caller_pool& pool)
{
    pool.deadline = steady_now() + pool.options.limit;
    for (int caller = 0; caller < pool.options.callers; ++caller)
    {
        start_next(pool);
    }
    run(*pool.loop);
    pool.done = true;
}

/** The system under test: two daemons with an upstream each in three failure domains. */
struct storm_system
{
    mesh processes;
    std::vector<std::string> domains{"tallinn-a", "tallinn-b", "rakvere"};
    std::string runs_dir;

    explicit storm_system(const std::string& build_dir)
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

    ~storm_system()
    {
        std::error_code ignored;
        std::filesystem::remove_all(this->runs_dir, ignored);
    }

    storm_system(const storm_system&) = delete;
    storm_system& operator=(const storm_system&) = delete;
};

void prepare(storm_system& system)
{
    mesh& processes = system.processes;
    const bool ready = processes.wait_ready(start_limit_ms) &&
                       processes.wait_upstreams("duty-board", 2, start_limit_ms);
    json operations = service_operations("duty-board", "v1", "/duty");
    operations[1]["timeout_ms"] = route_timeout_ms;
    processes.submit(processes.daemons[0], 0, operations);
    if (!ready || !processes.wait_version(1, start_limit_ms))
    {
        throw std::runtime_error("the system of the call storm did not start");
    }
}

/** Waits for some calls, so that each fault meets load. */
void let_calls_pass(const caller_pool& pool, std::uint64_t count, time_ms limit)
{
    const std::uint64_t target = pool.finished + count;
    wait_until(limit, [&] { return pool.done || pool.finished >= target; });
}

template <class Node>
void freeze(Node& node, const caller_pool& pool, std::mt19937_64& random)
{
    node.child_process->signal(SIGSTOP);
    let_calls_pass(pool, 400, static_cast<time_ms>(100 + draw(random, 900)));
    node.child_process->signal(SIGCONT);
}

/** Injects a fault of a drawn kind; false if that kind is switched off. */
bool inject_fault(storm_system& system, const caller_pool& pool, std::mt19937_64& random)
{
    const storm_faults& faults = pool.options.faults;
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
        let_calls_pass(pool, 50, 200);
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
        let_calls_pass(pool, 50, 200);
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
        let_calls_pass(pool, 400, static_cast<time_ms>(200 + draw(random, 800)));
        processes.set_cuts({});
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

/** Waits until copies of requests that were held up have reached an upstream or are gone. */
void wait_for_stragglers(const storm_system& system)
{
    constexpr time_ms quiet_ms = 2 * route_timeout_ms;
    std::size_t known = 0;
    time_ms changed = steady_now();
    wait_until(start_limit_ms,
               [&]
               {
                   const std::size_t size = read_runs(system.runs_dir).size();
                   if (size != std::exchange(known, size))
                   {
                       changed = steady_now();
                   }
                   return steady_now() - changed >= quiet_ms;
               });
}

storm_counts count_calls(const caller_pool& pool, const std::string& runs_dir)
{
    std::unordered_map<std::string, int> runs = read_runs(runs_dir);
    storm_counts counts{.calls = pool.calls.size(), .submissions = pool.submissions};
    for (const storm_call& call : pool.calls)
    {
        const int ran = runs[call.name];
        const bool told_not_run = call.end == call_end::not_run;
        const bool answered = call.end == call_end::answered;
        counts.answered += answered ? 1 : 0;
        counts.not_run += told_not_run ? 1 : 0;
        counts.unknown += call.end == call_end::unknown ? 1 : 0;
        counts.run_twice += ran > 1 ? 1 : 0;
        counts.not_run_but_ran += told_not_run && ran > 0 ? 1 : 0;
        counts.answered_but_not_run += answered && ran == 0 ? 1 : 0;
        counts.mixed_up += call.mixed_up ? 1 : 0;
    }
    return counts;
}

} // namespace

storm_counts run_storm(const storm_options& options)
{
    storm_system system(options.build_dir);
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
        let_calls_pass(pool, 200, 500);
        pool.faults += inject_fault(system, pool, random) ? 1 : 0;
    }
    callers.join();
    wait_for_stragglers(system);
    storm_counts counts = count_calls(pool, system.runs_dir);
    counts.faults = pool.faults;
    return counts;
}

} // namespace sardinepoint::rig
