#include "model/move_draw.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>
#include <utility>

namespace sardinepoint::bench
{

using namespace detail;

namespace
{

constexpr time_ms tick_ms = 1'000;
/** Time between the sending of reports and the aggregators' decision. */
constexpr time_ms decision_delay_ms = 500;
/** Exceeds decision_delay_ms, so that some reports miss the next decision. */
constexpr time_ms max_report_delay_ms = 700;
constexpr time_ms min_broadcast_delay_ms = 100;
constexpr time_ms max_broadcast_delay_ms = 1'000;
/** Time until a daemon detects that it reaches no other failure domain. */
constexpr time_ms isolation_delay_ms = 1'000;
/** The share of a tick is the mean over this many points in time. */
constexpr time_ms samples_per_tick = 4;
constexpr std::array<const char*, route_count> route_names{"board", "entries", "search"};
constexpr std::array<const char*, domains> proxy_names{"a.1", "b.1", "c.1"};
constexpr std::array<double, route_count> route_weights{0.6, 0.3, 0.1};

struct pending_progress
{
    time_ms arrival = 0;
    move_progress progress;
};

struct pending_report
{
    time_ms arrival = 0;
    time_ms sent = 0;
    std::size_t proxy = 0;
    evidence_totals counters;
};

struct proxy
{
    std::array<route_counters, route_count> counters;
    move_progress progress;
    std::vector<pending_progress> inbox;
};

struct aggregator
{
    move_evidence evidence;
    move_history history;
    move_progress progress;
    std::vector<pending_progress> inbox;
    std::vector<pending_report> reports;
    std::array<time_ms, domains> sent{};
    /** Domains that the aggregator reaches during a partition. */
    std::array<bool, domains> reachable_in_partition{};
};

/** Merges the updates that have arrived by now. */
void receive_progress(move_progress& progress, std::vector<pending_progress>& inbox, time_ms now)
{
    for (const pending_progress& update : inbox)
    {
        if (update.arrival <= now)
        {
            progress = merge_progress(progress, update.progress);
        }
    }
    std::erase_if(inbox, [&](const pending_progress& update) { return update.arrival <= now; });
}

/** State of one simulated move. */
struct simulation
{
    const case_kind& kind;
    const strategy& plan;
    generator random;
    move_spec spec;
    case_properties properties;
    noise shared_noise;
    std::array<proxy, domains> proxies;
    std::vector<aggregator> aggregators;
    case_result result;
    bool fault_shown = false;
    time_ms fault_shown_at = 0;
    time_ms last_share_at = 0;
    time_ms withdrawn_at = -1;
    double new_calls_per_second = 0;
};

bool reaches(const simulation& run, const aggregator& source, std::size_t domain, time_ms now)
{
    return !run.properties.partition.contains(now) || source.reachable_in_partition[domain];
}

simulation make_simulation(const case_kind& kind, const strategy& plan, const service_size& size,
                           std::uint64_t seed, std::size_t aggregators)
{
    // seed_seq makes the sequences of neighbouring seeds unrelated.
    std::seed_seq sequence{static_cast<std::uint32_t>(seed),
                           static_cast<std::uint32_t>(seed >> 32)};
    simulation run{.kind = kind, .plan = plan, .random = generator(sequence)};
    const time_ms length = std::llround(uniform(run.random, 300'000, 900'000));
    run.properties = draw_properties(kind, size, length, run.random);
    run.spec = {
        .id = "m", .service = "s", .from = "v1", .to = "v2", .start = 0, .deadline = length};
    run.spec.steps = plan.steps;
    run.spec.policy.verdict_test = plan.verdict_test;
    const bool partitioned = has_partition(kind);
    run.spec.policy.stop_when_isolated = kind.active_disturbance == disturbance::partition_stop;
    run.aggregators.resize(partitioned ? std::max<std::size_t>(aggregators, 2) : aggregators);
    for (aggregator& each : run.aggregators)
    {
        each.reachable_in_partition = {true, true, false};
    }
    if (partitioned)
    {
        run.aggregators.back().reachable_in_partition = {false, false, true};
    }
    move_progress initial;
    initial.done = plan.done_at_start;
    for (aggregator& each : run.aggregators)
    {
        each.progress = initial;
    }
    for (proxy& each : run.proxies)
    {
        each.progress = initial;
    }
    return run;
}

bool detects_partition(const simulation& run, time_ms now)
{
    return run.properties.partition.contains(now) &&
           run.properties.partition.contains(now - isolation_delay_ms);
}

bool is_isolated(const simulation& run, std::size_t aggregator_index, time_ms now)
{
    return run.aggregators[aggregator_index].reachable_in_partition.back() &&
           detects_partition(run, now);
}

/** Mean share of a proxy's calls for the new version during a tick, in percent. */
struct tick_share
{
    double share = 0;
    /** Fraction of the new version's calls that come more than 2 s after a withdrawal. */
    double late_fraction = 0;
};

tick_share share_in_tick(simulation& run, proxy& source, time_ms now)
{
    // A partition isolates the last domain: its proxy and the last aggregator.
    const bool cut_off = &source == &run.proxies.back();
    double sum = 0;
    double late = 0;
    for (time_ms sample = 0; sample < samples_per_tick; ++sample)
    {
        const time_ms time = now + tick_ms * (2 * sample + 1) / (2 * samples_per_tick);
        receive_progress(source.progress, source.inbox, time);
        const bool isolated = cut_off && detects_partition(run, time);
        const double share = isolated ? isolated_share_at(run.spec, source.progress, time)
                                      : share_at(run.spec, source.progress, time);
        sum += share;
        if (share > 0)
        {
            run.last_share_at = std::max(run.last_share_at, time);
        }
        if (run.withdrawn_at >= 0 && time > run.withdrawn_at + 2'000)
        {
            late += share;
        }
    }
    return {.share = sum / static_cast<double>(samples_per_tick),
            .late_fraction = sum > 0 ? late / sum : 0};
}

/** Load of the new version's preferred upstreams. */
struct preferred_load
{
    /** Busy fraction of their slots; at most 1, because a full upstream refuses further calls. */
    double utilization = 0;
    /** Fraction of the new version's calls that they accept; the other upstreams are hardly loaded.
     */
    double call_fraction = 1;
};

preferred_load new_version_load(const simulation& run, double share, double load)
{
    const case_properties& properties = run.properties;
    const int preferred =
        run.plan.concentrated
            ? preferred_upstream_count(
                  {.upstreams = properties.size.upstreams,
                   .slots_per_upstream = properties.size.slots,
                   .arrival_rate = properties.arrival_rate * properties.load_report_factor,
                   .mean_service_time = std::llround(properties.service_seconds * 1'000),
                   .share = share})
            : properties.size.upstreams;
    const double busy = properties.arrival_rate * load * share / 100 * properties.service_seconds;
    const double fraction = busy / (preferred * properties.size.slots);
    return {.utilization = std::min(fraction, 1.0), .call_fraction = 1 / std::max(fraction, 1.0)};
}

double fault_probability(const simulation& run, std::size_t route, const preferred_load& load,
                         time_ms now)
{
    const case_properties& properties = run.properties;
    const bool active =
        properties.bad && now >= properties.fault_start &&
        load.utilization >= properties.fault_utilization &&
        (properties.fault_route < 0 || properties.fault_route == static_cast<int>(route));
    const double call_fraction = properties.fault_utilization > 0 ? load.call_fraction : 1;
    return active ? properties.magnitude * call_fraction : 0;
}

/** Counts calls of one version on one route; returns how many of them the fault affected. */
std::uint64_t count_calls(simulation& run, version_counters& counters, std::uint64_t calls,
                          double failure_rate, double slow_rate, double fault)
{
    const std::uint64_t affected = binomial(run.random, calls, fault);
    const double failures = std::max(failure_rate, run.shared_noise.failures);
    const double slow = std::max(slow_rate, run.shared_noise.slow);
    counters.calls += calls;
    if (run.properties.slowness)
    {
        counters.slow += affected + binomial(run.random, calls - affected, slow);
        counters.failures += binomial(run.random, calls, failures);
    }
    else
    {
        counters.failures += affected + binomial(run.random, calls - affected, failures);
        counters.slow += binomial(run.random, calls, slow);
    }
    return affected;
}

/** Counts the calls in progress that are lost when a request crashes upstreams. Most of these calls
 * are excluded from the evidence. */
void count_crashes(simulation& run, time_ms now)
{
    constexpr double unexcluded_fraction = 0.2;
    constexpr double crashes_before_quarantine = 2;
    for (const crash& event : run.properties.crashes)
    {
        if (event.time < now || event.time >= now + tick_ms)
        {
            continue;
        }
        const double rate = event.on_new_version
                                ? run.new_calls_per_second
                                : run.properties.arrival_rate / run.properties.size.upstreams;
        const double in_progress =
            std::min<double>(rate * run.properties.service_seconds, run.properties.size.slots);
        const std::uint64_t lost =
            poisson(run.random, in_progress * crashes_before_quarantine * unexcluded_fraction);
        route_counters& counters = run.proxies[0].counters[0];
        version_counters& target_counters = event.on_new_version ? counters.to : counters.from;
        target_counters.calls += lost;
        target_counters.failures += lost;
    }
}

/** Simulates the calls of one tick at all proxies. */
void run_calls(simulation& run, time_ms now)
{
    if (run.kind.active_disturbance == disturbance::noisy_old_version)
    {
        step_noise(run.shared_noise, run.random);
    }
    std::uint64_t new_calls = 0;
    std::uint64_t all_calls = 0;
    std::uint64_t affected = 0;
    // The load varies around its mean from tick to tick, and the busy fraction of slots with it.
    const double load = uniform(run.random, 0.9, 1.1);
    for (proxy& source : run.proxies)
    {
        const tick_share shares = share_in_tick(run, source, now);
        const preferred_load upstreams = new_version_load(run, shares.share, load);
        // Close to full utilization some calls are refused and slowed down by the retry at another
        // upstream.
        const double overload_slow_rate = upstreams.utilization > 0.9 ? 0.02 : 0;
        const double rate = run.properties.arrival_rate * load * tick_ms / 1'000 / domains;
        std::uint64_t proxy_new = 0;
        for (std::size_t route = 0; route < route_count; ++route)
        {
            const double mean = rate * route_weights[route];
            const std::uint64_t to = poisson(run.random, mean * shares.share / 100);
            const std::uint64_t from = poisson(run.random, mean * (100 - shares.share) / 100);
            route_counters& counters = source.counters[route];
            const double failures = run.properties.failure_rates[route];
            const double slow = run.properties.slow_rates[route];
            count_calls(run, counters.from, from, failures, slow, 0);
            affected += count_calls(run, counters.to, to, failures * run.properties.failure_factor,
                                    slow * run.properties.slow_factor + overload_slow_rate,
                                    fault_probability(run, route, upstreams, now));
            proxy_new += to;
            all_calls += to + from;
        }
        new_calls += proxy_new;
        run.result.late_calls += shares.late_fraction * static_cast<double>(proxy_new);
    }
    run.new_calls_per_second = static_cast<double>(new_calls) * 1'000 / tick_ms;
    count_crashes(run, now);
    if (affected > 0 && !run.fault_shown)
    {
        run.fault_shown = true;
        run.fault_shown_at = now;
    }
    run.result.affected += affected;
    if (run.fault_shown)
    {
        run.result.new_calls_after_fault += new_calls;
    }
    else
    {
        run.result.new_calls_before_fault += new_calls;
        run.result.all_calls_before_fault += all_calls;
    }
}

evidence_totals make_report(const proxy& source)
{
    evidence_totals report;
    for (std::size_t route = 0; route < route_count; ++route)
    {
        report.emplace_hint(report.end(), route_names[route], source.counters[route]);
    }
    return report;
}

/** Sends the counters of each proxy to the aggregators that it reaches. */
void send_reports(simulation& run, time_ms now)
{
    const bool reports_delayed = run.kind.active_disturbance == disturbance::misleading_reports;
    for (std::size_t index = 0; index < domains; ++index)
    {
        for (aggregator& target : run.aggregators)
        {
            const bool lost = reports_delayed && uniform(run.random, 0, 1) < 0.2;
            if (lost || !reaches(run, target, index, now))
            {
                continue;
            }
            const double max_delay = reports_delayed ? 8'000 : max_report_delay_ms;
            const time_ms delay = std::llround(uniform(run.random, 0, max_delay));
            target.reports.push_back({.arrival = now + delay,
                                      .sent = now,
                                      .proxy = index,
                                      .counters = make_report(run.proxies[index])});
        }
    }
}

void receive_reports(aggregator& target, time_ms now)
{
    for (pending_report& report : target.reports)
    {
        if (report.arrival > now)
        {
            continue;
        }
        move_evidence received;
        received.totals_by_source[proxy_names[report.proxy]] = std::move(report.counters);
        merge_evidence(target.evidence, received);
        target.sent[report.proxy] = std::max(target.sent[report.proxy], report.sent);
    }
    std::erase_if(target.reports,
                  [&](const pending_report& report) { return report.arrival <= now; });
}

/** Time up to which a majority of the reachable proxies has reported. */
time_ms evidence_until(const simulation& run, const aggregator& source, time_ms now)
{
    std::vector<time_ms> times;
    for (std::size_t index = 0; index < domains; ++index)
    {
        if (reaches(run, source, index, now))
        {
            times.push_back(source.sent[index]);
        }
    }
    std::sort(times.begin(), times.end());
    return times.empty() ? 0 : times[(times.size() - 1) / 2];
}

/** Sends an aggregator's progress to the proxies and aggregators that it reaches. */
void broadcast_progress(simulation& run, std::size_t source, time_ms now)
{
    const auto update = [&]()
    {
        const double delay = uniform(run.random, min_broadcast_delay_ms, max_broadcast_delay_ms);
        return pending_progress{.arrival = now + std::llround(delay),
                                .progress = run.aggregators[source].progress};
    };
    for (std::size_t index = 0; index < domains; ++index)
    {
        if (reaches(run, run.aggregators[source], index, now))
        {
            run.proxies[index].inbox.push_back(update());
        }
    }
    const bool in_partition = run.properties.partition.contains(now);
    for (std::size_t other = 0; !in_partition && other < run.aggregators.size(); ++other)
    {
        if (other != source)
        {
            run.aggregators[other].inbox.push_back(update());
        }
    }
}

void decide(simulation& run, std::size_t index, time_ms now)
{
    aggregator& source = run.aggregators[index];
    receive_reports(source, now);
    receive_progress(source.progress, source.inbox, now);
    const move_context context{.now = now,
                               .log_available = !run.properties.outage.contains(now),
                               .isolated = is_isolated(run, index, now),
                               .evidence_until = evidence_until(run, source, now),
                               .routes = route_count};
    record_evidence(source.history, run.spec, source.progress, sum_evidence(source.evidence),
                    context);
    const move_decision decision = decide_move(run.spec, source.progress, source.history, context);
    const bool changed = !(decision.progress == source.progress);
    source.progress = decision.progress;
    if (decision.progress.withdrawn && run.withdrawn_at < 0)
    {
        run.withdrawn_at = now;
        run.result.withdrawn = true;
    }
    // Progress is part of the periodic digest exchange, which delivers it after a partition heals.
    if (changed || has_partition(run.kind))
    {
        broadcast_progress(run, index, now);
    }
}

bool is_over(const simulation& run, time_ms now)
{
    constexpr time_ms tail = 5'000;
    if (run.withdrawn_at >= 0 && now > run.withdrawn_at + tail)
    {
        return std::all_of(run.proxies.begin(), run.proxies.end(),
                           [](const proxy& each) { return each.progress.withdrawn; });
    }
    return now > run.spec.deadline + run.spec.policy.watch_period + tail;
}

} // namespace

case_result run_case(const case_kind& kind, const strategy& plan, const service_size& size,
                     std::uint64_t seed, std::size_t aggregators)
{
    simulation run = make_simulation(kind, plan, size, seed, aggregators);
    bool all_done_at_deadline = false;
    for (time_ms now = 0; !is_over(run, now); now += tick_ms)
    {
        run_calls(run, now);
        const time_ms end = now + tick_ms;
        if (now <= run.spec.deadline && run.spec.deadline < end)
        {
            for (proxy& each : run.proxies)
            {
                receive_progress(each.progress, each.inbox, run.spec.deadline);
            }
            all_done_at_deadline =
                std::all_of(run.proxies.begin(), run.proxies.end(),
                            [](const proxy& each) { return each.progress.done; });
        }
        send_reports(run, end);
        for (std::size_t index = 0; index < run.aggregators.size(); ++index)
        {
            decide(run, index, end + decision_delay_ms);
        }
    }
    run.result.seed = seed;
    run.result.magnitude = run.properties.magnitude;
    run.result.slowness = run.properties.slowness;
    run.result.fault_fraction = static_cast<double>(run.fault_shown ? run.fault_shown_at : 0) /
                                static_cast<double>(run.spec.deadline);
    if (run.withdrawn_at >= 0)
    {
        run.result.withdrawn_fraction =
            static_cast<double>(run.withdrawn_at) / static_cast<double>(run.spec.deadline);
    }
    run.result.on_time = all_done_at_deadline && !run.result.withdrawn;
    run.result.seconds_to_zero =
        static_cast<double>(run.last_share_at - run.fault_shown_at) / 1'000;
    return run.result;
}

} // namespace sardinepoint::bench
