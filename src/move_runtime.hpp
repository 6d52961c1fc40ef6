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

/** A crashed attempt that is charged to its version unless the request crashes others too. */
struct pending_crash
{
    std::string route;
    bool on_new_version = false;
    time_ms since = 0;
};

/** A move under way or under watch, as this daemon sees it. */
struct tracked_move
{
    move_progress progress;
    /** Wall clock at which the domain's aggregator last found the domain isolated. */
    time_ms isolated_at = 0;

    // What this daemon's own calls showed.
    evidence_totals own_counters;
    evidence_totals sent_counters;
    std::map<std::string, slow_threshold> thresholds;
    std::map<std::uint64_t, pending_crash> pending_crashes;
    std::uint64_t calls = 0;
    std::uint64_t calls_at_tick = 0;
    /** Calls a second of the service through this daemon, exponentially weighted. */
    double call_rate = 0;
    double mean_latency_ms = 0;

    // What this daemon collects as aggregator or gateway.
    move_evidence domain_evidence;
    move_evidence domain_sums;
    std::map<std::string, time_ms> last_domain_reports;
    move_history history;
    time_ms outcome_appended_at = 0;
    /** Steady time at which the move was first found done here. */
    time_ms done_since = 0;
    /** Whether it is on record that the move has begun. */
    bool start_recorded = false;
    /** Steady time of the last report of evidence. */
    time_ms reported_at = 0;
    std::string hold_reason;
};

/** All moves under way as this daemon sees them. */
struct move_runtime
{
    std::map<std::string, tracked_move> moves;
};

/** How one attempt ended, as evidence for a move. */
struct attempt_evidence
{
    std::string_view service;
    std::string_view route;
    std::string_view version;
    run_outcome outcome = run_outcome::unknown;
    int status = 0;
    time_ms elapsed = 0;
    bool crashed = false;
    std::uint64_t fingerprint = 0;
};

/** Counts an attempt if its service has a move under way. */
void record_attempt_evidence(node& self, const attempt_evidence& attempt);

/** Starts the periodic work for moves. */
void start_move_timer(node& self);

/** What operators see of a move; empty if the move is unknown. */
std::optional<nlohmann::json> move_view(const node& self, const std::string& move);
nlohmann::json move_views(const node& self);

/** Called after each change of the folded configuration. */
void handle_config_change(node& self);

/** Shares of a service's versions in force now. */
struct version_split
{
    service_config service;
    std::optional<moved_share> moved;
};

/** Shares in force, or nothing if the service is unknown. */
std::optional<version_split> current_version_split(const node& self, const std::string& service);

/** Part of a service's calls that a running move sends to the new version. */
std::optional<moved_share> current_moved_share(const node& self, std::string_view service);

/**
 * Number of the new version's upstreams that are preferred while its share is small, so that
 * faults under load show; empty if the version is not the new one of a move under way.
 */
std::optional<int> preferred_upstreams(const node& self, std::string_view service,
                                       std::string_view version, int upstreams, int slots);

nlohmann::json progress_json(const node& self, const std::string& move);
nlohmann::json all_progress_json(const node& self);
void merge_progress_list(node& self, const nlohmann::json& values);

/** Sums of the own failure domain for the gateways of other domains. */
nlohmann::json shared_evidence_json(const node& self);
void merge_shared_evidence(node& self, const nlohmann::json& message);
void merge_evidence_report(node& self, const nlohmann::json& message);

} // namespace sardinepoint
