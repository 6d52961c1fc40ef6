#pragma once

#include "sardinepoint/config.hpp"
#include "sardinepoint/core.hpp"

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace sardinepoint
{

// --- Progress and share ---------------------------------------------------------------------

/** State of a move on which all daemons converge; a join-semilattice under merge_progress. */
struct move_progress
{
    /** Highest step that the verdicts have permitted so far. */
    int step = 0;
    bool withdrawn = false;
    /** Whether the new version receives all calls, unless the move is withdrawn later. */
    bool done = false;
    /** The outcome is on record and final, which holds for ordered moves only. */
    bool recorded = false;
    /** The new version's calls go to all of its upstreams, because those on the preferred ones were
     * slow. */
    bool spread = false;
    /** Incremented when the new version's calls are held back because of possible harm, and again
     * when they are released. Always 0 in moves without an order. */
    int holds = 0;
    /** Why the move was withdrawn or completed. */
    std::string reason;

    bool operator==(const move_progress&) const = default;
};

/** Commutative, associative and idempotent. A recorded outcome takes precedence over any other
 * state, and a withdrawal over a completion. */
move_progress merge_progress(const move_progress& left, const move_progress& right);

/** Whether the new version's calls are held back at the share of the first step. */
bool is_held(const move_progress& progress);

/** Percentage of the service's calls that the new version receives at the given time. */
double share_at(const move_spec& spec, const move_progress& progress, time_ms now);

/** Like share_at, for a daemon whose failure domain has lost contact with all others. */
double isolated_share_at(const move_spec& spec, const move_progress& progress, time_ms now);

/** Wall clock time at which the schedule reaches a step. */
time_ms step_start(const move_spec& spec, int step);

// --- Evidence -------------------------------------------------------------------------------

/** Monotonically increasing counters of one version on one route, kept by one proxy. */
struct version_counters
{
    /** Completed calls, without those that never ran or crashed due to a quarantined request. */
    std::uint64_t calls = 0;
    std::uint64_t failures = 0;
    /** Calls above the slow threshold, and all calls without a response. */
    std::uint64_t slow = 0;
    /** Calls that count as neither slow nor fast: on a cold upstream, or before there was a slow
     * threshold. */
    std::uint64_t untimed = 0;

    bool operator==(const version_counters&) const = default;
};

/** Counters of the old and the new version on one route. */
struct route_counters
{
    version_counters from;
    version_counters to;

    bool operator==(const route_counters&) const = default;
};

/** Counters by route name. */
using evidence_totals = std::map<std::string, route_counters>;

/** Counters by source: either by proxy or, for sums over failure domains, by domain. The key of a
 * proxy includes its incarnation, because a restarted proxy counts from 0. */
struct move_evidence
{
    std::map<std::string, evidence_totals> totals_by_source;

    bool operator==(const move_evidence&) const = default;
};

/** Takes the maximum of each counter, so duplicate and reordered reports have no effect. */
void merge_evidence(move_evidence& into, const move_evidence& other);

/** Sums the counters of all sources. */
evidence_totals sum_evidence(const move_evidence& evidence);

// --- Slow calls -----------------------------------------------------------------------------

/** Histogram of latencies in milliseconds. All use the same logarithmic bins and can be added. */
using latency_histogram = boost::histogram::histogram<
    std::tuple<boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>>,
    boost::histogram::dense_storage<std::uint64_t>>;

latency_histogram make_latency_histogram();

/** Upper edge of the bin that holds the given quantile; empty without samples. */
std::optional<double> latency_quantile(const latency_histogram& histogram, double quantile);

/** A proxy's latency threshold for one route, derived from calls of the old version only. */
struct slow_threshold
{
    /** Latencies of the current window and of the one before; the threshold is based on both. */
    latency_histogram current = make_latency_histogram();
    latency_histogram previous = make_latency_histogram();
    time_ms window_start = 0;
    /** Empty until the old version has answered enough calls; no call counts as slow until then. */
    std::optional<double> threshold_ms;
};

/** Rotates the windows and updates the threshold; to be called at least once a second. */
void update_slow_threshold(slow_threshold& state, time_ms now);

/** Adds the latency of a call that the old version answered. */
void record_old_latency(slow_threshold& state, double latency_ms);

/** Whether a call of either version exceeds the current threshold. */
bool is_slow(const slow_threshold& state, double latency_ms);

/** The old version's answered calls on one route by bin of the latency histogram, counted by one
 * proxy since the start of the move. */
using latency_counts = std::map<int, std::uint64_t>;

/** Adds the latency of a call that the old version answered. */
void record_old_latency(latency_counts& counts, double latency_ms);

/** Takes the maximum of each count, so duplicate and reordered reports have no effect. */
void merge_latency_counts(latency_counts& into, const latency_counts& other);

/** Slow threshold for proxies that have too few calls for one of their own; empty until the counts
 * of all proxies together suffice. */
std::optional<double>
shared_slow_threshold(const std::map<std::string, latency_counts>& counts_by_proxy);

// --- Verdict tests (plug-ins) ---------------------------------------------------------------

/** Calls of both versions on one route within one interval, as Bernoulli trials. A hit is a call
 * that failed or was slow, depending on the tested signal. */
struct interval_counts
{
    std::uint64_t from_calls = 0;
    std::uint64_t from_hits = 0;
    std::uint64_t to_calls = 0;
    std::uint64_t to_hits = 0;
    /** Length of the interval as a fraction of the time from start to deadline. */
    double elapsed_fraction = 0;
    /** Whether the share rose in this interval; load-dependent faults are likely to start there. */
    bool share_rose = false;
    /** Whether the new version receives all calls, which leaves no old ones to compare with. */
    bool full_share = false;
    /** Excess of the old version's worst short-term rate over its long-term rate, on all routes. */
    double old_burst_excess = 0;
};

/** State that a verdict test keeps between intervals; each test defines its own layout. */
struct test_state
{
    std::vector<double> values;
};

struct test_parameters
{
    /** Increase of the hit probability that does not count as harm. */
    double tolerated_increase = 0;
    /** Upper bound on the probability of ever reporting harm for a harmless version. */
    double error_probability = 0;
};

struct verdict
{
    bool harmful = false;
    /** The evidence of harm isn't conclusive yet, but the share must not rise. */
    bool suspicious = false;
    /** Too little evidence for a suspicion; the share of an ordered move must not rise far, and the
     * version is withdrawn if that lasts until the deadline. */
    bool doubtful = false;
};

/** A sequential test for a harmful hit rate of the new version. */
struct verdict_test
{
    void (*record_interval)(test_state&, const interval_counts&, const test_parameters&) = nullptr;
    verdict (*evaluate)(const test_state&, const test_parameters&) = nullptr;
};

// --- Slow upstreams -------------------------------------------------------------------------

/** Answered calls for which it is known whether they were slow. */
struct timed_counters
{
    std::uint64_t calls = 0;
    std::uint64_t slow = 0;

    bool operator==(const timed_counters&) const = default;
};

/** Cumulative counts of the old version and of each upstream of the new one. */
struct slow_counts
{
    time_ms at = 0;
    timed_counters from;
    std::map<std::string, timed_counters> to;
};

/** Counts of an ordered move at several times, to compare the versions over windows that end now.
 */
struct slow_call_record
{
    /** Where the longest window begins. */
    slow_counts first;
    /** In order of time, at most one a second. */
    std::vector<slow_counts> recent;
    slow_counts latest;
};

/** Adds the present counts. */
void record_slow_counts(slow_call_record& record, slow_counts counts);

/** Forgets the counts up to now. */
void restart_slow_counts(slow_call_record& record);

/** Number of a version's upstreams that may be slow although the version is good. */
std::size_t tolerated_slow_upstreams(std::size_t upstreams);

/** Result of a comparison of the versions' slow calls. */
struct slow_call_evidence
{
    /** Logarithm of the likelihood ratio of a slow version to a good one, of which some upstreams
     * may be slow, averaged over the windows. */
    double log_ratio = 0;
    /** The same since the record began. */
    double longest_log_ratio = 0;
    /** The new version's timed calls since the record began. */
    timed_counters to;
};

/**
 * Compares the versions from several times before `anchor` up to now. Leaves out the given number
 * of upstreams, those that speak most for a slow version. `old_burst_excess` is that of the
 * interval counts.
 */
slow_call_evidence compare_slow_calls(const slow_call_record& record, std::size_t left_out,
                                      double old_burst_excess, time_ms anchor);

// --- Decisions ------------------------------------------------------------------------------

/** Tracks the worst short-term hit rate of the old version over all routes of a service. */
struct burst_tracker
{
    /** Counts of the present period, which ends after a minimum number of calls. */
    double period_hits = 0;
    double period_calls = 0;
    /** Counts that decay with each interval. */
    double long_term_hits = 0;
    double long_term_calls = 0;
    /** Highest lower confidence bound on the hit rate of a period. */
    double worst_rate = 0;
};

/** Counters that were already recorded and test states of one route. */
struct route_history
{
    route_counters observed_counters;
    test_state failures;
    test_state slow;
};

/** State that an aggregator keeps about a move between decisions. */
struct move_history
{
    std::map<std::string, route_history> routes;
    /** All routes combined, to detect a fault that is too rare on each single route. */
    route_history all_routes;
    burst_tracker failure_bursts;
    burst_tracker slow_bursts;
    time_ms observed_until = 0;
    double last_share = 0;
    /** Whether the slow calls were recorded anew after the new version's calls were spread, and the
     * wall clock time from which on they are recorded. */
    bool spread = false;
    time_ms slow_calls_from = 0;
    /** Step under observation, and the wall clock time at which it was first observed. */
    int step = -1;
    time_ms step_since = 0;
    /** Slow calls by upstream; only of ordered moves. */
    slow_call_record slow_calls;
    /** Value of move_progress::holds and the wall clock time at which it was first observed. */
    int holds = 0;
    time_ms holds_since = 0;
};

/** Inputs of a decision besides the move and its evidence. */
struct move_context
{
    time_ms now = 0;
    bool log_available = true;
    /** Whether the aggregator has lost contact with the other failure domains. */
    bool isolated = false;
    /** Time up to which the reports of most reachable proxies have been received. */
    time_ms evidence_until = 0;
    /** Number of the service's routes, over which the error budget is split. */
    std::size_t routes = 1;
    /** Number of the new version's upstreams, if known. */
    std::size_t new_upstreams = 0;
};

struct move_decision
{
    move_progress progress;
    /** Why the share does not rise although the schedule permits it. */
    std::string hold_reason;
};

/** Passes the increase since the last recorded totals to the verdict tests. `upstream_totals` holds
 * the new version's counters by upstream; moves without an order need none. */
void record_evidence(move_history& history, const move_spec& spec, const move_progress& progress,
                     const evidence_totals& totals, const move_context& context,
                     const evidence_totals& upstream_totals = {});

/** Decides whether to hold the move, advance it to the next step, withdraw it or complete it. */
move_decision decide_move(const move_spec& spec, const move_progress& progress,
                          const move_history& history, const move_context& context);

/** Whether the move still needs decisions: it is running, or its watch period has not ended. */
bool is_watched(const move_spec& spec, const move_progress& progress, time_ms now);

/**
 * Time left for the old version's calls in progress before the end of a move is recorded.
 * `time_since_done` is the time since the move was found done, `now` is the wall clock time.
 */
time_ms drain_time_left(const move_spec& spec, const move_progress& progress,
                        time_ms time_since_done, time_ms now);

// --- Preferred upstreams --------------------------------------------------------------------

/** Load and capacity of the new version's upstreams. */
struct version_load
{
    /** Upstreams of the new version that accept calls. */
    int upstreams = 0;
    int slots_per_upstream = 0;
    /** Calls per second of the whole service. */
    double arrival_rate = 0;
    time_ms mean_service_time = 0;
    /** Percentage of the calls that the new version receives. */
    double share = 0;
    /** Fraction of busy slots at which an upstream counts as fully loaded. */
    double target_utilization = 0.9;
};

/** Number of the new version's upstreams to prefer, so that each of them is fully loaded. Calls
 * that find them full go to the other upstreams. */
int preferred_upstream_count(const version_load& input);

} // namespace sardinepoint
