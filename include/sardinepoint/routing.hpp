#pragma once

#include "sardinepoint/config.hpp"

#include <cstddef>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sardinepoint
{

/** Returns the route with the longest prefix that ends on a path segment boundary, or null. */
const route* match_route(const config_state& state, std::string_view path);

/** Percentage of one version's calls that a move sends to another version. */
struct moved_share
{
    std::string from;
    std::string to;
    double percent = 0;
};

/** Draws the version for one call by the configured shares; empty if there are none. */
std::optional<std::string> choose_version(const service_config& service,
                                          const std::optional<moved_share>& moved,
                                          std::mt19937_64& rng);

/**
 * Number of calls running at or waiting for an upstream, as reported by its daemon, and when the
 * report was received.
 */
struct load_report
{
    int in_flight = 0;
    time_ms received = 0;
};

/** State of one upstream behind one daemon, as known to one proxy. Times are steady. */
struct endpoint_candidate
{
    std::string member;
    std::string domain;
    std::string version;
    int slots = 1;
    time_ms first_seen = 0;
    /** Calls of this proxy that are in progress. */
    int in_flight = 0;
    std::optional<load_report> report;
    /** Exponentially weighted moving average; 0 until the first call ends. */
    double latency_ms = 0;
    time_ms last_completion = 0;
    /** When the in-flight count last rose from 0. */
    time_ms busy_since = 0;
    int consecutive_failures = 0;
    /** Ejections since the last success; determines the back-off. */
    int ejections = 0;
    time_ms ejected_until = 0;
    /** The upstream counts as full until this time because its daemon refused a call. */
    time_ms full_until = 0;
};

struct balance_options
{
    /** Name in registry<balancing_policy>. */
    std::string policy = "least_loaded";
    /** Time over which the weight of a new upstream rises from initial_weight to 1. */
    time_ms slow_start = 10'000;
    double initial_weight = 0.05;
    /** A report multiplies the score by at most 1 + 2 * report_weight. */
    double report_weight = 1.0;
    /** Time after which a report has lost about two thirds of its weight. */
    time_ms report_decay_ms = 500;
    /** Latencies up to this multiple of the median are not penalised. */
    double latency_tolerance = 1.5;
    /** Time constant with which a latency without new observations approaches the median. */
    time_ms latency_decay_ms = 10'000;
    double latency_gain = 0.05;
    int ejection_failures = 3;
    time_ms base_ejection_ms = 1'000;
    time_ms max_ejection_ms = 30'000;
    double max_ejected_fraction = 0.5;
    /**
     * Minimum time without a completed call after which an upstream with calls in flight counts as
     * stalled, which is a failure.
     */
    time_ms min_stall_ms = 100;
    double stall_latency_factor = 4;
    int min_stall_in_flight = 2;
    /** How long an upstream counts as full after its daemon refused a call for lack of slots. */
    time_ms full_duration = 20;
    /** Maximum age of a report by which an upstream can count as full. */
    time_ms full_report_age = 200;
    /**
     * If one of three domains is lost at 80% load, the others have free slots for half of its
     * calls.
     */
    double spill_fraction = 0.5;
    double spill_burst = 20;
};

/** Token bucket for calls to other failure domains; each call earns a fraction of a token. */
struct spill_budget
{
    double tokens = 10;
};

/** Properties of the call for which an upstream is chosen. */
struct choice_request
{
    /** The proxy's own failure domain. */
    std::string_view domain;
    /** Members already tried for this call; avoided while others are usable. */
    std::span<const std::string> tried;
    /** Whether the call may probe an upstream whose ejection has just ended. */
    bool may_probe = true;
};

enum class choice_reason
{
    own_domain,
    spilled,
    no_candidate,
    spill_exhausted,
    unknown_policy,
};

std::string_view to_string(choice_reason reason);

struct endpoint_choice
{
    std::optional<std::size_t> index;
    choice_reason reason = choice_reason::no_candidate;
};

/** Picks one of the given candidate indices, of which there is at least one. */
struct balancing_policy
{
    std::size_t (*pick)(std::span<const endpoint_candidate> candidates,
                        std::span<const std::size_t> usable, const balance_options& options,
                        time_ms now, std::mt19937_64& rng) = nullptr;
};

/** Chooses among the candidates of one service and version. Each call adds to the budget. */
endpoint_choice choose_endpoint(std::span<const endpoint_candidate> candidates,
                                const choice_request& request, const balance_options& options,
                                spill_budget& budget, time_ms now, std::mt19937_64& rng);

/**
 * Whether calls are in flight and none has ended for longer than the upstream's latency explains.
 */
bool is_stalled(const endpoint_candidate& candidate, const balance_options& options, time_ms now);

/** Weight of a new upstream, which rises to 1. */
double slow_start_weight(const endpoint_candidate& candidate, const balance_options& options,
                         time_ms now);

void record_start(endpoint_candidate& candidate, time_ms now);

/** The upstream answered. */
void record_success(endpoint_candidate& candidate, const balance_options& options, time_ms latency,
                    std::optional<int> reported_in_flight, time_ms now);

/**
 * The call timed out or the upstream closed the connection; ejects the upstream after several
 * consecutive failures.
 */
void record_failure(endpoint_candidate& candidate, const balance_options& options, time_ms elapsed,
                    time_ms now, std::mt19937_64& rng);

/** The upstream's daemon refused the call for lack of slots, which is not a failure. */
void record_refusal(endpoint_candidate& candidate, const balance_options& options,
                    std::optional<int> reported_in_flight, time_ms now);

/** The proxy cancelled the call for a reason of its own. */
void record_cancellation(endpoint_candidate& candidate);

} // namespace sardinepoint
