#pragma once

#include "node.hpp"

#include "sardinepoint/move.hpp"

#include <nlohmann/json.hpp>

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace sardinepoint
{

/** A crashed attempt. It counts as a failure of its version unless the request crashes again. */
struct pending_crash
{
    std::string route;
    bool on_new_version = false;
    time_ms since = 0;
};

/** This daemon's state of a running or watched move. */
struct tracked_move
{
    move_progress progress;
    /** Wall clock time at which the failure domain's aggregator last found it isolated. */
    time_ms isolated_at = 0;

    // Evidence from this daemon's own calls.
    evidence_totals own_counters;
    /** The new version's counters by instance, over all routes; of ordered moves only. */
    evidence_totals own_upstream_counters;
    /** Counters as last sent to the aggregators. */
    evidence_totals sent_counters;
    /** Learned from this daemon's own calls, by route. */
    std::map<std::string, slow_threshold> slow_thresholds;
    /** The old version's latencies at this daemon, by route. */
    std::map<std::string, latency_counts> old_latencies;
    /** Thresholds in milliseconds from the aggregators, used on routes without one of its own. */
    std::map<std::string, double> shared_thresholds;
    /** Thresholds in milliseconds as last logged, by route. */
    std::map<std::string, double> logged_thresholds;
    /** Steady time at which they were last compared with those in force. */
    time_ms thresholds_logged_at = 0;
    /** By fingerprint of the crashed request. */
    std::map<std::uint64_t, pending_crash> pending_crashes;
    std::uint64_t calls = 0;
    /** Value of `calls` when `call_rate` was last updated. */
    std::uint64_t calls_at_tick = 0;
    /** Calls per second of the service through this daemon, as exponential moving average. */
    double call_rate = 0;
    double mean_latency_ms = 0;

    // State of this daemon as aggregator or gateway.
    /** Counters of the proxies of this daemon's failure domain. */
    move_evidence proxy_evidence;
    /** Counters by instance of the proxies of this failure domain. */
    move_evidence proxy_upstream_evidence;
    /** The old version's latencies at the proxies of this failure domain, by route and proxy. */
    std::map<std::string, std::map<std::string, latency_counts>> proxy_latencies;
    /** Thresholds in milliseconds from these latencies, by route. */
    std::map<std::string, double> domain_thresholds;
    /** Sums over each failure domain. */
    move_evidence domain_sums;
    /** Sums by instance over each failure domain. */
    move_evidence domain_upstream_sums;
    /** Steady time of the last evidence received from each other failure domain. */
    std::map<std::string, time_ms> last_domain_reports;
    move_history history;
    /** Steady time at which this daemon last submitted the outcome; 0 if it has not. */
    time_ms outcome_appended_at = 0;
    /** Steady time at which this daemon first found the move done. */
    time_ms done_since = 0;
    /** Whether this daemon has submitted a record of the move's start. */
    bool start_recorded = false;
    /** Steady time of the last report of evidence. */
    time_ms reported_at = 0;
    std::string hold_reason;
    /** Steady time at which this daemon last logged the counts behind its decisions. */
    time_ms evidence_logged_at = 0;
};

/** Running and watched moves of this daemon by id. */
struct move_runtime
{
    std::map<std::string, tracked_move> moves;
};

/** Result of one attempt, as evidence for a move. */
struct attempt_evidence
{
    std::string_view service;
    std::string_view route;
    std::string_view version;
    /** Instance that ran the attempt; empty if the caller's daemon does not know it. */
    std::string_view instance;
    run_outcome outcome = run_outcome::unknown;
    int status = 0;
    time_ms elapsed = 0;
    /** A cold upstream is slow in any version. */
    bool cold = false;
    bool crashed = false;
    /** Whether record_running_attempt has counted the attempt. */
    bool counted_as_slow = false;
    std::uint64_t fingerprint = 0;
};

/** Counts an attempt if its service has a running or watched move. */
void record_attempt_evidence(node& self, const attempt_evidence& attempt);

/**
 * Counts an attempt that still runs as slow if it has already taken longer than the slow threshold;
 * returns whether it was counted. A slow version would otherwise appear sound for as long as its
 * slow calls last, because only its fast calls end early.
 */
bool record_running_attempt(node& self, const attempt_evidence& attempt);

/** Starts the timer for evidence reports and decisions. */
void start_move_timer(node& self);

/** A move's state as shown to operators; empty if the move is unknown. */
std::optional<nlohmann::json> move_view(const node& self, const std::string& move);
/** All known moves, the earliest first. */
nlohmann::json move_views(const node& self);

/** Updates the tracked moves and the sidecar's routes after a change of the configuration. */
void handle_config_change(node& self);

/** Current shares of a service's versions. */
struct version_split
{
    service_config service;
    std::optional<moved_share> moved;
};

/** Current shares; empty if the service is unknown. */
std::optional<version_split> current_version_split(const node& self, const std::string& service);

/** Share of a service's calls that a running move currently sends to the new version. */
std::optional<moved_share> current_moved_share(const node& self, std::string_view service);

/**
 * Number of the new version's upstreams to prefer while its share is small, so that load-dependent
 * faults become visible; empty if the version is not the new version of a running move.
 */
std::optional<int> preferred_upstreams(const node& self, std::string_view service,
                                       std::string_view version, int upstreams, int slots);

/** A move's progress as daemons send it to each other; an empty object if the move is unknown. */
nlohmann::json progress_json(const node& self, const std::string& move);
nlohmann::json all_progress_json(const node& self);
/** Merges progress sent by a peer and broadcasts what another failure domain has changed. */
void merge_progress_list(node& self, const nlohmann::json& values);

/** Evidence sums of this failure domain, for the gateways of other domains. */
nlohmann::json shared_evidence_json(const node& self);
/** Merges the sums sent by another domain's gateway and forwards them to the aggregators of
 * this daemon's domain. */
void merge_shared_evidence(node& self, const nlohmann::json& message);
/** Merges one move's evidence: counters of proxies, sums over failure domains, or both. Returns the
 * response: slow thresholds for the proxy, if it reported latencies. */
nlohmann::json merge_evidence_report(node& self, const nlohmann::json& message);
/** Stores the slow thresholds of an aggregator's response. */
void merge_slow_thresholds(node& self, const std::string& move, const nlohmann::json& response);

} // namespace sardinepoint
