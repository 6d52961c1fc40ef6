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

/** Route with the longest prefix that ends on a path segment boundary, or null. */
const route* match_route(const config_state& state, std::string_view path);

/** Part of one version's calls that a move sends to another version. */
struct moved_share
{
    std::string from;
    std::string to;
    double percent = 0;
};

/** Version for one call, drawn by the configured shares; empty if there are none. */
std::optional<std::string> choose_version(const service_config& service,
                                          const std::optional<moved_share>& moved,
                                          std::mt19937_64& rng);

/** Calls running at and waiting for an upstream by a report, and when that arrived here. */
struct load_report
{
    int in_flight = 0;
    time_ms received = 0;
};

/** One upstream behind one daemon, as one proxy sees it. Times are steady. */
struct endpoint_candidate
{
    std::string member;
    std::string domain;
    std::string version;
    int slots = 1;
    time_ms first_seen = 0;
    /** Calls of this proxy that have not ended. */
    int in_flight = 0;
    std::optional<load_report> report;
    /** Exponentially weighted; 0 until the first call ends. */
    double latency_ms = 0;
    time_ms last_completion = 0;
    /** When the in-flight count last rose from zero. */
    time_ms busy_since = 0;
    int consecutive_failures = 0;
    /** Ejections since the last success; sets the back-off. */
    int ejections = 0;
    time_ms ejected_until = 0;
    /** Until then the daemon's last refusal counts as "full". */
    time_ms full_until = 0;
};

struct balance_options
{
    /** Name in registry<balancing_policy>. */
    std::string policy = "least_loaded";
    /** Weight of a new upstream rises from initial_weight to 1 over this time. */
    time_ms slow_start = 10'000;
    double initial_weight = 0.05;
    /** A report multiplies the score by at most 1 + 2 * report_weight. */
    double report_weight = 1.0;
    /** Time after which a report has lost about two thirds of its weight. */
    time_ms report_decay_ms = 500;
    /** Latencies up to this multiple of the median are not penalised. */
    double latency_tolerance = 1.5;
    /** A latency without new observations approaches the median over this time. */
    time_ms latency_decay_ms = 10'000;
    double latency_gain = 0.05;
    int ejection_failures = 3;
    time_ms ejection_base = 1'000;
    time_ms ejection_max = 30'000;
    double max_ejected_fraction = 0.5;
    /** Silence of an upstream with calls in flight that counts as a failure. */
    time_ms stall_min = 100;
    double stall_latency_factor = 4;
    int stall_min_in_flight = 2;
    /** How long a daemon's slot refusal counts as "full". */
    time_ms full_duration = 20;
    /** Age up to which a report can count as "full". */
    time_ms full_report_age = 200;
    /** With one of three domains lost at 80% load, the others have room for half its calls. */
    double spill_fraction = 0.5;
    double spill_burst = 20;
};

/** Tokens for calls to other failure domains; each call earns a fraction of one. */
struct spill_budget
{
    double tokens = 10;
};

/** What is special about the call that needs an upstream. */
struct choice_request
{
    /** The proxy's own failure domain. */
    std::string_view domain;
    /** Members already tried for this call; avoided while others are usable. */
    std::span<const std::string> tried;
    /** Whether the call may test an upstream whose ejection has just ended. */
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

/** Picks one of the given positions of the candidates; there is at least one. */
struct balancing_policy
{
    std::size_t (*pick)(std::span<const endpoint_candidate> candidates,
                        std::span<const std::size_t> usable, const balance_options& options,
                        time_ms now, std::mt19937_64& rng) = nullptr;
};

/** Chooses among the candidates of one service and version. Each call feeds the budget. */
endpoint_choice choose_endpoint(std::span<const endpoint_candidate> candidates,
                                const choice_request& request, const balance_options& options,
                                spill_budget& budget, time_ms now, std::mt19937_64& rng);

/** Whether calls are in flight and none has ended for longer than the upstream's latency explains.
 */
bool is_stalled(const endpoint_candidate& candidate, const balance_options& options, time_ms now);

/** Weight of a new upstream, rising to 1. */
double slow_start_weight(const endpoint_candidate& candidate, const balance_options& options,
                         time_ms now);

void record_start(endpoint_candidate& candidate, time_ms now);

/** The upstream answered. */
void record_success(endpoint_candidate& candidate, const balance_options& options, time_ms latency,
                    std::optional<int> reported_in_flight, time_ms now);

/** The call timed out or the upstream broke it off; ejects after several in a row. */
void record_failure(endpoint_candidate& candidate, const balance_options& options, time_ms elapsed,
                    time_ms now, std::mt19937_64& rng);

/** The upstream's daemon refused the call for lack of slots; this is no failure. */
void record_refusal(endpoint_candidate& candidate, const balance_options& options,
                    std::optional<int> reported_in_flight, time_ms now);

/** The proxy cancelled the call for a reason of its own. */
void record_cancellation(endpoint_candidate& candidate);

} // namespace sardinepoint
