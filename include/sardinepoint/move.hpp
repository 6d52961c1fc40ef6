#pragma once

#include "sardinepoint/config.hpp"
#include "sardinepoint/core.hpp"

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace sardinepoint
{

// --- Progress and share ---------------------------------------------------------------------

/** What the daemons agree on about a move; a join-semilattice under merge_progress. */
struct move_progress
{
    /** Highest step that the verdicts permit. */
    int step = 0;
    bool withdrawn = false;
    bool done = false;
    /** Why the move was withdrawn or completed. */
    std::string reason;

    bool operator==(const move_progress&) const = default;
};

/** Commutative, associative and idempotent; withdrawal wins over everything. */
move_progress merge_progress(const move_progress& left, const move_progress& right);

/** Percent of the service's calls that go to the new version now. */
double share_at(const move_spec& spec, const move_progress& progress, time_ms now);

/** The same for a daemon that has lost contact with the other failure domains for a second. */
double isolated_share_at(const move_spec& spec, const move_progress& progress, time_ms now);

/** Wall clock at which the schedule reaches a step. */
time_ms step_start(const move_spec& spec, int step);

// --- Evidence -------------------------------------------------------------------------------

/** Monotone counters of one version on one route, counted by one proxy. */
struct version_counters
{
    /** Calls that ended; calls that were not run or that met a quarantined crash are left out. */
    std::uint64_t calls = 0;
    std::uint64_t failures = 0;
    std::uint64_t slow = 0;

    bool operator==(const version_counters&) const = default;
};

/** Both versions of a move on one route. */
struct route_counters
{
    version_counters from;
    version_counters to;

    bool operator==(const route_counters&) const = default;
};

/** Counters by route name. */
using evidence_totals = std::map<std::string, route_counters>;

/** Counters by proxy. The key names the proxy's incarnation: a restarted proxy counts from 0. */
struct move_evidence
{
    std::map<std::string, evidence_totals> proxies;

    bool operator==(const move_evidence&) const = default;
};

/** Takes the maximum of each counter, so repeated and reordered reports do no harm. */
void merge_evidence(move_evidence& into, const move_evidence& other);

/** Sums the proxies' counters. */
evidence_totals sum_evidence(const move_evidence& evidence);

// --- Slow calls -----------------------------------------------------------------------------

/** Latencies in milliseconds in fixed logarithmic bins; histograms of one type can be added. */
using latency_histogram = boost::histogram::histogram<
    std::tuple<boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>>,
    boost::histogram::dense_storage<std::uint64_t>>;

latency_histogram make_latency_histogram();

/** Upper edge of the bin that holds the given quantile; empty without samples. */
std::optional<double> latency_quantile(const latency_histogram& histogram, double quantile);

/** A proxy's latency threshold for one route, taken from the old version only. */
struct slow_threshold
{
    latency_histogram current = make_latency_histogram();
    latency_histogram previous = make_latency_histogram();
    time_ms window_start = 0;
    /** Empty while the old version has answered too few calls; no call is slow then. */
    std::optional<double> threshold_ms;
};

/** Rotates the windows and sets the threshold; call it once a second. */
void update_slow_threshold(slow_threshold& state, time_ms now);

/** Adds the latency of a call that the old version answered. */
void record_old_latency(slow_threshold& state, double latency_ms);

/** Judges a call of either version against the threshold in force. */
bool is_slow(const slow_threshold& state, double latency_ms);

// --- Verdict tests (plug-ins) ---------------------------------------------------------------

/** Bernoulli trials of both versions on one route within one interval. */
struct interval_counts
{
    std::uint64_t from_calls = 0;
    std::uint64_t from_hits = 0;
    std::uint64_t to_calls = 0;
    std::uint64_t to_hits = 0;
    /** Length of the interval as a fraction of the time from start to deadline. */
    double elapsed_fraction = 0;
    /** Whether the share rose in this interval, where load faults are likely to begin. */
    bool share_rose = false;
    /** Whether the new version receives all calls, so that there are none to compare with. */
    bool full_share = false;
    /** How far the old version's worst rate over all routes lay above its usual one. */
    double old_burst_excess = 0;
};

/** What a verdict test has to keep between intervals; its layout belongs to the test. */
struct test_state
{
    std::vector<double> values;
};

struct test_parameters
{
    /** Increase of the hit probability that is not harm. */
    double tolerated_increase = 0;
    /** Bound on the probability of ever finding harm in a version without harm. */
    double error_probability = 0;
};

struct verdict
{
    bool harmful = false;
    /** Not harmful yet, but the share must not rise. */
    bool suspicious = false;
};

/** A sequential comparison of two Bernoulli rates. */
struct verdict_test
{
    void (*record_interval)(test_state&, const interval_counts&, const test_parameters&) = nullptr;
    verdict (*evaluate)(const test_state&, const test_parameters&) = nullptr;
};

// --- Decisions ------------------------------------------------------------------------------

/** The worst short-term hit rate of the old version over all routes of a service. */
struct burst_tracker
{
    double period_hits = 0;
    double period_calls = 0;
    double long_term_hits = 0;
    double long_term_calls = 0;
    double worst_rate = 0;
};

/** Test states of one route. */
struct route_history
{
    route_counters observed_counters;
    test_state failures;
    test_state slow;
};

/** What an aggregator keeps about a move between decisions. */
struct move_history
{
    std::map<std::string, route_history> routes;
    /** All routes together: finds a fault that shows too rarely on each of them. */
    route_history all_routes;
    burst_tracker failure_bursts;
    burst_tracker slow_bursts;
    time_ms observed_until = 0;
    double last_share = 0;
    /** Step that is being observed and since when. */
    int step = -1;
    time_ms step_since = 0;
};

/** Circumstances of a decision. */
struct move_context
{
    time_ms now = 0;
    bool log_available = true;
    /** Whether the aggregator has lost contact with the other failure domains. */
    bool isolated = false;
    /** Time up to which the reports of most reachable proxies have arrived. */
    time_ms evidence_until = 0;
    /** Number of the service's routes, over which the error budget is split. */
    std::size_t routes = 1;
};

struct move_decision
{
    move_progress progress;
    /** Why the share does not rise although the schedule would let it. */
    std::string hold_reason;
};

/** Feeds the difference from the last totals to the verdict tests. */
void record_evidence(move_history& history, const move_spec& spec, const move_progress& progress,
                     const evidence_totals& totals, const move_context& context);

/** Holds, raises the step, withdraws with a reason, or completes the move. */
move_decision decide_move(const move_spec& spec, const move_progress& progress,
                          const move_history& history, const move_context& context);

/** Whether the move still needs decisions: it runs, or its watch has not ended. */
bool is_watched(const move_spec& spec, const move_progress& progress, time_ms now);

/**
 * Time that the calls which the old version still runs get before the end of a move is recorded.
 * `done_for` is the time since the move was found done, `now` is the wall clock.
 */
time_ms drain_time_left(const move_spec& spec, const move_progress& progress, time_ms done_for,
                        time_ms now);

// --- Concentration --------------------------------------------------------------------------

struct version_load
{
    /** The new version's upstreams that can take calls. */
    int upstreams = 0;
    int slots_per_upstream = 0;
    /** Calls per second of the whole service. */
    double arrival_rate = 0;
    time_ms mean_service_time = 0;
    /** Percent of the calls that the new version receives. */
    double share = 0;
    /** Busy fraction of the slots from which on an upstream counts as full. */
    double target_utilization = 0.9;
};

/** How many of the new version's upstreams are preferred, so that each of them works at full load.
 * A call that finds them full goes to one of the others. */
int preferred_upstream_count(const version_load& input);

} // namespace sardinepoint
