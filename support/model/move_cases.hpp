#pragma once

#include "sardinepoint/move.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <random>
#include <string_view>
#include <vector>

/** Simulates moves on a virtual clock, with seeded random cases, to evaluate the decision
 * functions. */
namespace sardinepoint::bench
{

using generator = std::mt19937_64;

struct service_size
{
    std::string_view name;
    int upstreams = 0;
    int slots = 0;
};

/** The two deployments of the design page; three services each. */
inline constexpr std::array<std::array<service_size, 3>, 2> deployments{{
    {{{"duty board", 6, 15}, {"dispatch", 4, 15}, {"roster storage", 3, 15}}},
    {{{"catalogue", 6, 6}, {"commissions", 4, 6}, {"proofs and records", 3, 6}}},
}};

enum class fault_signal
{
    none,
    errors,
    slowness,
    /** Errors or slowness, chosen at random for each case. */
    either,
};

enum class fault_onset
{
    at_once,
    /** At a random time after the first tenth of the move and before its deadline. */
    later,
    /** At a random time between the start and the deadline. */
    any_time,
    /** Whenever the busy fraction of the new version's slots reaches a threshold. */
    under_load,
};

enum class disturbance
{
    none,
    /** Reports arrive up to 8 s late, a fifth is lost, and the reported load is too high or too low
     * by a factor of up to 3. */
    misleading_reports,
    /** 0.5 to 3 calls per second for the whole service. */
    little_traffic,
    /** Both versions fail and slow down together in bursts. */
    noisy_old_version,
    log_unavailable,
    /** One of three failure domains reaches neither the others nor their reports of progress. */
    partition,
    /** A partition, with the policy stop_when_isolated. */
    partition_stop,
    crashing_request,
};

struct case_kind
{
    std::string_view name;
    fault_signal signal = fault_signal::none;
    fault_onset onset = fault_onset::at_once;
    bool single_route = false;
    disturbance active_disturbance = disturbance::none;
};

/** Whether the cases of this kind have a partition. */
bool has_partition(const case_kind& kind);

const std::vector<case_kind>& case_kinds();

/** How a move is run: its schedule and its verdict test. */
struct strategy
{
    std::string_view name;
    std::vector<move_step> steps;
    std::string_view verdict_test;
    /** Whether a small share of the traffic is concentrated on few upstreams. */
    bool concentrated = false;
    /** Whether all traffic moves at the start. */
    bool done_at_start = false;
};

strategy gated_strategy();

/** Baseline: a fixed schedule with an error threshold. */
strategy timetable_strategy();

/** Baseline: moves all traffic at the start, with the same error threshold. */
strategy all_at_once_strategy();

/** Result of one case. */
struct case_result
{
    std::uint64_t seed = 0;
    /** Probability that a call is affected by the fault, and when the first call was affected, as a
     * fraction of the time to the deadline. */
    double magnitude = 0;
    double fault_fraction = 0;
    bool slowness = false;
    /** First withdrawal as a fraction of the time to the deadline; negative if there was none. */
    double withdrawn_fraction = -1;
    bool on_time = false;
    bool withdrawn = false;
    /** Calls affected by the fault. */
    std::uint64_t affected = 0;
    /** Calls of the new version and of both versions before the second with the first affected
     * call. */
    std::uint64_t new_calls_before_fault = 0;
    std::uint64_t all_calls_before_fault = 0;
    /** Calls of the new version from that second on. */
    std::uint64_t new_calls_after_fault = 0;
    /** From the start of that second to the last time at which the new version had a share. */
    double seconds_to_zero = 0;
    /** Calls of the new version more than 2 s after the first withdrawal by any aggregator. */
    double late_calls = 0;
};

/** Runs one case to its end. */
case_result run_case(const case_kind& kind, const strategy& plan, const service_size& size,
                     std::uint64_t seed, std::size_t aggregators = 1);

/** Statistics over the cases of one kind. */
struct kind_summary
{
    std::size_t cases = 0;
    /** For a good version all cases; for a bad one those that were withdrawn or had at least 50
     * affected calls. */
    std::size_t counted = 0;
    /** For a bad version the cases with at least 50 affected calls, and how many of these were
     * withdrawn. Fast withdrawals leave only the hardest cases here. */
    std::size_t shown_cases = 0;
    std::size_t shown_withdrawn = 0;
    double on_time_percent = 0;
    double withdrawn_percent = 0;
    /** Percentage of the calls before the fault appeared that went to the bad version: over all
     * cases, and the maximum of the cases with at least 1,000 such calls. */
    double share_before_percent = 0;
    double max_share_before_percent = 0;
    double calls_after_median = 0;
    double calls_after_p99 = 0;
    double seconds_median = 0;
    double seconds_p99 = 0;
    double late_calls = 0;
};

kind_summary summarize(const case_kind& kind, const std::vector<case_result>& results);

/** Whether a good version was late or withdrawn, or a bad one with enough affected calls was not
 * withdrawn. */
bool is_missed(const case_kind& kind, const case_result& result);

/** Whether a kind meets each target. Targets that don't apply to the kind count as met. */
struct target_check
{
    bool on_time = true;
    bool withdrawn = true;
    bool wrongly_withdrawn = true;
    bool share_before = true;
    bool late_calls = true;
};

target_check check_targets(const case_kind& kind, const kind_summary& summary);

struct bench_options
{
    std::uint64_t seed = 1;
    /** Cases per kind and deployment. */
    std::size_t cases = 1'000;
    unsigned threads = 8;
    /** Simulated aggregators. One represents the aggregators of all failure domains, which hold the
     * same evidence; cases with a partition have at least two. */
    std::size_t aggregators = 1;
};

/** Runs all cases of a kind for both deployments. The results depend on the seed, not on the
 * number of threads. */
std::vector<case_result> run_kind(std::size_t kind_index, const strategy& plan,
                                  const bench_options& options);

} // namespace sardinepoint::bench
