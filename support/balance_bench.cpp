// Drives the decision functions of the data path on a virtual clock and prints which percentage of
// idempotent calls is answered within the deadline while one upstream is faulty.

#include "sardinepoint/limits.hpp"
#include "sardinepoint/registry.hpp"
#include "sardinepoint/routing.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include <docopt.h>
#include <fmt/format.h>

using namespace sardinepoint;

namespace
{

constexpr char usage[] = R"(Evaluates load balancing on a virtual clock.

Usage:
  balance_bench [--seeds=N] [--seconds=N] [--service-ms=N] [--load=F] [--case=NAME] [--verbose]
  balance_bench --help

Options:
  --seeds=N       Runs per row, with the seeds 1 to N [default: 100].
  --seconds=N     Measured seconds per run, from the start of the fault [default: 8].
  --service-ms=N  Mean of the exponentially distributed service time [default: 50].
  --load=F        Offered load as a fraction of all slots [default: 0.8].
  --case=NAME     Only this case: none, frozen, lies_idle, lies_full, slow, cold.
  --verbose       Print the number of failed calls by reason.
)";

constexpr double deadline_ms = 1000;
constexpr double warm_up_ms = 2000;
constexpr std::size_t upstream_count = 6;
constexpr double own_domain_delay_ms = 0.25;
constexpr double other_domain_delay_ms = 1.5;
constexpr double slow_factor = 10;
constexpr double cold_factor = 5;
constexpr double cold_ms = 10'000;
constexpr double target_percent = 99.9;

enum class fault
{
    none,
    frozen,
    lies_idle,
    lies_full,
    slow,
    cold,
};

const std::vector<std::pair<std::string, fault>> faults{
    {"none", fault::none},           {"frozen", fault::frozen}, {"lies_idle", fault::lies_idle},
    {"lies_full", fault::lies_full}, {"slow", fault::slow},     {"cold", fault::cold},
};

struct scenario
{
    std::string policy;
    fault kind = fault::none;
    int slots = 15;
    std::size_t domains = 1;
    double load = 0.8;
    double service_ms = 50;
    double measured_ms = 8000;
};

struct call_stats
{
    std::uint64_t calls = 0;
    std::uint64_t in_time = 0;
    std::uint64_t attempts = 0;
    /** Attempts of measured calls that were sent to the faulty upstream. */
    std::uint64_t faulty_attempts = 0;
    std::uint64_t spilled = 0;
    std::vector<double> latencies;
    std::map<std::string, std::uint64_t> failures;
};

struct bench_call
{
    std::size_t proxy = 0;
    double arrived = 0;
    int attempts = 0;
    bool attempt_lost = false;
    bool ended = false;
    std::vector<std::string> tried;
};

struct attempt
{
    std::shared_ptr<bench_call> call;
    std::size_t upstream = 0;
    double started = 0;
    double slot_taken = 0;
    /** Whether the proxy has recorded the attempt's end; later events are ignored. */
    bool ended = false;
    bool holds_slot = false;
};

struct bench_proxy
{
    std::string domain;
    std::vector<endpoint_candidate> candidates;
    spill_budget spill;
    retry_budget retries;
};

struct event
{
    double at = 0;
    std::uint64_t order = 0;
    std::function<void()> action;
};

struct later_event_first
{
    bool operator()(const event& left, const event& right) const
    {
        return left.at != right.at ? left.at > right.at : left.order > right.order;
    }
};

/** Simulates one scenario with one seed. */
class bench_run
{
public:
    bench_run(const scenario& plan, std::uint64_t seed, call_stats& stats)
        : plan{plan}, rng{seed}, stats{stats}
    {
        this->balance.policy = plan.policy;
        for (std::size_t index = 0; index < upstream_count; ++index)
        {
            this->add_upstream();
        }
        for (std::size_t index = 0; index < upstream_count; ++index)
        {
            this->add_proxy(index);
        }
    }

    void run()
    {
        this->schedule_arrival();
        while (!this->events.empty())
        {
            const event next = this->events.top();
            this->events.pop();
            this->clock = next.at;
            next.action();
        }
    }

private:
    using attempt_ptr = std::shared_ptr<attempt>;

    // The clock does not start at 0, so that an upstream can have been first seen long before the
    // run.
    static constexpr double start_ms = 1'000'000;
    static constexpr std::size_t faulty = 0;

    std::string domain_of(std::size_t index) const
    {
        return fmt::format("d{}", index % this->plan.domains);
    }

    void add_upstream()
    {
        const slot_options options{.slots = this->plan.slots};
        this->upstreams.push_back({.options = options});
    }

    void add_proxy(std::size_t proxy_index)
    {
        bench_proxy proxy{.domain = this->domain_of(proxy_index)};
        for (std::size_t index = 0; index < upstream_count; ++index)
        {
            const bool is_cold = this->plan.kind == fault::cold && index == faulty;
            proxy.candidates.push_back({.member = fmt::format("m{}", index),
                                        .domain = this->domain_of(index),
                                        .version = "v1",
                                        .slots = this->plan.slots,
                                        .first_seen = is_cold ? this->fault_start() : 0});
        }
        this->proxies.push_back(std::move(proxy));
    }

    time_ms now() const
    {
        return static_cast<time_ms>(this->clock);
    }

    static time_ms fault_start()
    {
        return static_cast<time_ms>(start_ms + warm_up_ms);
    }

    bool fault_active() const
    {
        return this->clock >= static_cast<double>(fault_start());
    }

    bool has_fault(std::size_t upstream, fault kind) const
    {
        return upstream == faulty && this->plan.kind == kind && this->fault_active();
    }

    void schedule(double delay, std::function<void()> action)
    {
        this->events.push({this->clock + delay, this->next_order++, std::move(action)});
    }

    double exponential(double mean)
    {
        return std::exponential_distribution<double>(1 / mean)(this->rng);
    }

    double delay_between(std::size_t proxy, std::size_t upstream) const
    {
        return this->domain_of(proxy) == this->domain_of(upstream) ? own_domain_delay_ms
                                                                   : other_domain_delay_ms;
    }

    void schedule_arrival()
    {
        const double erlangs = this->plan.load * this->plan.slots * upstream_count;
        const double gap = this->exponential(this->plan.service_ms / erlangs);
        if (this->clock + gap > start_ms + warm_up_ms + this->plan.measured_ms)
        {
            return;
        }
        this->schedule(gap,
                       [this]
                       {
                           this->arrive();
                           this->schedule_arrival();
                       });
    }

    void arrive()
    {
        auto call = std::make_shared<bench_call>();
        call->proxy = std::uniform_int_distribution<std::size_t>(0, upstream_count - 1)(this->rng);
        call->arrived = this->clock;
        record_call(this->proxies[call->proxy].retries);
        this->start_attempt(call);
    }

    bool is_measured(const bench_call& call) const
    {
        return call.arrived >= static_cast<double>(fault_start());
    }

    void end_call(bench_call& call, const std::string& failure)
    {
        call.ended = true;
        if (!this->is_measured(call))
        {
            return;
        }
        const double elapsed_ms = this->clock - call.arrived;
        this->stats.calls += 1;
        this->stats.latencies.push_back(elapsed_ms);
        if (failure.empty() && elapsed_ms <= deadline_ms)
        {
            this->stats.in_time += 1;
        }
        else
        {
            this->stats.failures[failure.empty() ? "late" : failure] += 1;
        }
    }

    double time_left(const bench_call& call) const
    {
        return deadline_ms - (this->clock - call.arrived);
    }

    // A cold upstream is known only from the start of the fault on.
    std::span<const endpoint_candidate> known_candidates(const bench_proxy& proxy) const
    {
        const std::span<const endpoint_candidate> all{proxy.candidates};
        const bool absent = this->plan.kind == fault::cold && !this->fault_active();
        return absent ? all.subspan(faulty + 1) : all;
    }

    void start_attempt(const std::shared_ptr<bench_call>& call)
    {
        bench_proxy& proxy = this->proxies[call->proxy];
        const auto candidates = this->known_candidates(proxy);
        const choice_request request{.domain = proxy.domain, .tried = call->tried};
        const endpoint_choice choice = choose_endpoint(candidates, request, this->balance,
                                                       proxy.spill, this->now(), this->rng);
        if (!choice.index)
        {
            this->end_call(*call, std::string{to_string(choice.reason)});
            return;
        }
        auto started = std::make_shared<attempt>();
        started->call = call;
        started->upstream = *choice.index + (proxy.candidates.size() - candidates.size());
        started->started = this->clock;
        call->attempts += 1;
        call->tried.push_back(proxy.candidates[started->upstream].member);
        if (this->is_measured(*call))
        {
            this->stats.attempts += 1;
            this->stats.faulty_attempts += started->upstream == faulty ? 1 : 0;
            this->stats.spilled += choice.reason == choice_reason::spilled ? 1 : 0;
        }
        record_start(proxy.candidates[started->upstream], this->now());
        this->schedule(this->delay_between(call->proxy, started->upstream),
                       [this, started] { this->reach_upstream(started); });
        const auto left = static_cast<time_ms>(this->time_left(*call));
        this->schedule(static_cast<double>(attempt_timeout(left, true, call->attempt_lost)),
                       [this, started] { this->handle_attempt_timeout(started); });
    }

    void reach_upstream(const attempt_ptr& arrived)
    {
        if (arrived->ended)
        {
            return;
        }
        const auto left = static_cast<time_ms>(this->time_left(*arrived->call));
        const std::uint64_t id = this->next_attempt++;
        upstream_slots& slots = this->upstreams[arrived->upstream];
        const slot_decision decision = try_acquire_slot(slots, id, left, this->now());
        if (decision == slot_decision::run)
        {
            this->run_attempt(arrived);
        }
        else if (decision == slot_decision::wait)
        {
            this->queued[id] = arrived;
            const auto max_wait =
                static_cast<double>(slots.waiting.back().expires_at - this->now());
            this->schedule(max_wait + 1,
                           [this, upstream = arrived->upstream] { this->expire_queue(upstream); });
        }
        else
        {
            this->refuse(arrived);
        }
    }

    void expire_queue(std::size_t upstream)
    {
        for (const std::uint64_t id : expire_waiting(this->upstreams[upstream], this->now()))
        {
            this->refuse(this->queued[id]);
            this->queued.erase(id);
        }
    }

    double service_time(std::size_t upstream)
    {
        double mean = this->plan.service_ms;
        if (this->has_fault(upstream, fault::slow))
        {
            mean *= slow_factor;
        }
        if (this->has_fault(upstream, fault::cold))
        {
            const double age = this->clock - static_cast<double>(fault_start());
            mean *= 1 + (cold_factor - 1) * std::max(0.0, 1 - age / cold_ms);
        }
        return this->exponential(mean);
    }

    void run_attempt(const attempt_ptr& running)
    {
        running->holds_slot = true;
        running->slot_taken = this->clock;
        if (this->has_fault(running->upstream, fault::frozen))
        {
            return;
        }
        this->schedule(this->service_time(running->upstream),
                       [this, running] { this->complete(running); });
    }

    void complete(const attempt_ptr& running)
    {
        if (!running->holds_slot || this->has_fault(running->upstream, fault::frozen))
        {
            return;
        }
        this->release_upstream_slot(running);
        const int report = this->reported_load(running->upstream);
        this->schedule(this->delay_between(running->call->proxy, running->upstream),
                       [this, running, report] { this->receive_response(running, report); });
    }

    int reported_load(std::size_t upstream) const
    {
        if (this->has_fault(upstream, fault::lies_idle))
        {
            return 0;
        }
        if (this->has_fault(upstream, fault::lies_full))
        {
            return this->plan.slots;
        }
        const upstream_slots& slots = this->upstreams[upstream];
        return slots.slots_used + static_cast<int>(slots.waiting.size());
    }

    void release_upstream_slot(const attempt_ptr& running)
    {
        running->holds_slot = false;
        const auto measured_service_time = static_cast<time_ms>(this->clock - running->slot_taken);
        const auto next =
            release_slot(this->upstreams[running->upstream], measured_service_time, this->now());
        if (!next)
        {
            return;
        }
        const attempt_ptr waiting = this->queued[*next];
        this->queued.erase(*next);
        this->run_attempt(waiting);
    }

    void refuse(const attempt_ptr& refused)
    {
        const int report = this->reported_load(refused->upstream);
        this->schedule(this->delay_between(refused->call->proxy, refused->upstream),
                       [this, refused, report]
                       {
                           if (refused->ended)
                           {
                               return;
                           }
                           refused->ended = true;
                           record_refusal(this->candidate_for(*refused), this->balance, report,
                                          this->now());
                           this->retry(refused->call, run_outcome::not_run);
                       });
    }

    endpoint_candidate& candidate_for(const attempt& target)
    {
        return this->proxies[target.call->proxy].candidates[target.upstream];
    }

    void receive_response(const attempt_ptr& answered, int report)
    {
        if (answered->ended)
        {
            return;
        }
        answered->ended = true;
        const auto latency = static_cast<time_ms>(this->clock - answered->started);
        record_success(this->candidate_for(*answered), this->balance, latency, report, this->now());
        this->end_call(*answered->call, {});
    }

    void handle_attempt_timeout(const attempt_ptr& timed_out)
    {
        if (timed_out->ended)
        {
            return;
        }
        timed_out->ended = true;
        const auto elapsed = static_cast<time_ms>(this->clock - timed_out->started);
        record_failure(this->candidate_for(*timed_out), this->balance, elapsed, this->now(),
                       this->rng);
        this->schedule(this->delay_between(timed_out->call->proxy, timed_out->upstream),
                       [this, timed_out] { this->cancel_at_upstream(timed_out); });
        timed_out->call->attempt_lost = true;
        this->retry(timed_out->call, run_outcome::unknown);
    }

    void cancel_at_upstream(const attempt_ptr& cancelled)
    {
        if (cancelled->holds_slot)
        {
            this->release_upstream_slot(cancelled);
            return;
        }
        const auto position = std::ranges::find_if(this->queued, [&](const auto& item)
                                                   { return item.second == cancelled; });
        if (position != this->queued.end())
        {
            cancel_waiting(this->upstreams[cancelled->upstream], position->first);
            this->queued.erase(position);
        }
    }

    void retry(const std::shared_ptr<bench_call>& call, run_outcome outcome)
    {
        const failure_class classification = classify_failure({
            .outcome =
                outcome == run_outcome::not_run ? call_outcome::answered : call_outcome::unknown,
            .outcome_header = to_string(outcome),
            .idempotent = true,
            .time_left = static_cast<time_ms>(this->time_left(*call)),
        });
        if (!classification.retry_allowed)
        {
            this->end_call(*call, "deadline");
            return;
        }
        if (!take_retry_token(this->proxies[call->proxy].retries, this->now()))
        {
            this->end_call(*call, "retry_budget");
            return;
        }
        const bool refused = outcome == run_outcome::not_run;
        const time_ms wait = refused ? retry_delay(call->attempts, this->rng) : 0;
        this->schedule(static_cast<double>(wait), [this, call] { this->start_attempt(call); });
    }

    const scenario& plan;
    std::mt19937_64 rng;
    call_stats& stats;
    balance_options balance;
    std::vector<bench_proxy> proxies;
    std::vector<upstream_slots> upstreams;
    std::map<std::uint64_t, attempt_ptr> queued;
    std::priority_queue<event, std::vector<event>, later_event_first> events;
    double clock = start_ms;
    std::uint64_t next_order = 0;
    std::uint64_t next_attempt = 0;
};

double quantile(std::vector<double>& values, double fraction)
{
    if (values.empty())
    {
        return 0;
    }
    const auto rank =
        static_cast<std::ptrdiff_t>(static_cast<double>(values.size() - 1) * fraction);
    std::nth_element(values.begin(), values.begin() + rank, values.end());
    return values[static_cast<std::size_t>(rank)];
}

double percent(std::uint64_t count, std::uint64_t total)
{
    return total == 0 ? 0 : 100.0 * static_cast<double>(count) / static_cast<double>(total);
}

// Prints the worst seed as well, because the mean over all seeds can hide a run with many failures.
void print_row(const std::string& name, const scenario& plan, std::uint64_t seeds, bool verbose)
{
    call_stats stats;
    double worst_percent = 100;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        const std::uint64_t calls = stats.calls;
        const std::uint64_t in_time = stats.in_time;
        bench_run{plan, seed, stats}.run();
        worst_percent =
            std::min(worst_percent, percent(stats.in_time - in_time, stats.calls - calls));
    }
    const double in_time_percent = percent(stats.in_time, stats.calls);
    fmt::print(
        "{:<10} {:<13} {:>5} {:>7} {:>9} {:>9.3f} {:>9.3f} {:>8} {:>7.0f} {:>7.0f} {:>9.2f} "
        "{:>8.2f} {:>8.2f}\n",
        name, plan.policy, plan.slots, plan.domains, stats.calls, in_time_percent, worst_percent,
        in_time_percent >= target_percent ? "met" : "missed", quantile(stats.latencies, 0.5),
        quantile(stats.latencies, 0.999), percent(stats.attempts - stats.calls, stats.calls),
        percent(stats.faulty_attempts, stats.attempts), percent(stats.spilled, stats.attempts));
    if (verbose)
    {
        for (const auto& [reason, count] : stats.failures)
        {
            fmt::print("    failed: {} {}\n", reason, count);
        }
    }
    std::cout.flush();
}

} // namespace

int main(int argc, char** argv)
{
    const auto arguments = docopt::docopt(usage, {argv + 1, argv + argc}, true);
    const auto seeds = static_cast<std::uint64_t>(arguments.at("--seeds").asLong());
    const bool verbose = arguments.at("--verbose").asBool();
    fmt::print("seeds 1..{}, target {}% of idempotent calls within {} ms\n", seeds, target_percent,
               deadline_ms);
    fmt::print("{:<10} {:<13} {:>5} {:>7} {:>9} {:>9} {:>9} {:>8} {:>7} {:>7} {:>9} {:>8} {:>8}\n",
               "case", "policy", "slots", "domains", "calls", "in time%", "worst%", "target",
               "p50 ms", "p999 ms", "retries%", "faulty%", "spilled%");
    for (const auto& [name, kind] : faults)
    {
        if (arguments.at("--case") && arguments.at("--case").asString() != name)
        {
            continue;
        }
        for (const int slots : {15, 6})
        {
            for (const std::size_t domains : {std::size_t{1}, std::size_t{3}})
            {
                for (const auto& [policy, unused] : registry<balancing_policy>::entries())
                {
                    scenario plan{.policy = policy, .kind = kind, .slots = slots};
                    plan.domains = domains;
                    plan.load = std::stod(arguments.at("--load").asString());
                    plan.service_ms = std::stod(arguments.at("--service-ms").asString());
                    plan.measured_ms = 1000 * std::stod(arguments.at("--seconds").asString());
                    print_row(name, plan, seeds, verbose);
                }
            }
        }
    }
    return 0;
}
