#pragma once

#include "sardinepoint/core.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace sardinepoint
{

/** A weighted target of a route that splits its calls between services. */
struct split_target
{
    std::string service;
    /** Relative to the weights of the route's other targets. */
    double weight = 0;

    bool operator==(const split_target&) const = default;
};

/** Sends calls whose path starts with the prefix to a service. */
struct route
{
    std::string name;
    /** Virtual host of the route; empty matches any. */
    std::string host;
    std::string prefix;
    std::string service;
    /** Weighted targets; empty if all calls go to `service`. */
    std::vector<split_target> split;
    time_ms timeout = 5000;
    /** Overrides the idempotency that the HTTP method implies. */
    std::optional<bool> idempotent;
    /** Response time up to which a response has its full value to the caller; 0 if none is set. */
    time_ms latency_target = 0;
    /** 0 is the most urgent priority. */
    int priority = 0;
    /** Maximum number of upstreams that a call may be sent to; 0 selects the daemon's default. */
    int max_attempts = 0;
    /** Whether calls need no key although the configuration has organisations. */
    bool is_public = false;

    bool operator==(const route&) const = default;
};

/** A customer whose callers identify themselves by a key. */
struct organisation
{
    std::string name;
    /** Digests of the keys, see key_digest(). The keys themselves are not part of the state. */
    std::vector<std::string> key_digests;
    /** Replaces the priority of the routes. */
    std::optional<int> priority;
    /** Calls per second that all daemons together accept; 0 if there is no limit. */
    double rate_per_s = 0;
    /** Calls beyond the rate that may come at once. */
    double burst = 0;

    bool operator==(const organisation&) const = default;
};

/** A service and the traffic shares of its versions, in whole percent that add up to 100. */
struct service_config
{
    std::string name;
    /** Empty if the configuration names no versions; any announced version may then be used. */
    std::map<std::string, int> versions;
    /** Maximum number of connections that an upstream accepts from all callers together; 0 if not
     * configured. */
    int max_connections = 0;
    /** Calls per second that an upstream bears while it is cold; 0 if there is no limit. */
    double cold_rate = 0;
    /** Usual duration of the cold time after an upstream's start; informative. */
    time_ms cold_time = 0;
    /** Path of requests that ask an upstream of a service with a cold rate for its state. */
    std::string health_path;
};

/** Limits on the requests and connections of callers. */
struct caller_limits
{
    std::size_t max_header_bytes = 16U << 10U;
    std::size_t max_body_bytes = 16U << 20U;
    time_ms header_timeout = 3'000;
    time_ms idle_timeout = 60'000;
};

/** One step of a move: a share of the calls and the time from which it applies. */
struct move_step
{
    /** Share of the service's calls that the new version receives, in percent. */
    double share = 0;
    /** Start of the step as a fraction of the time from the move's start to its deadline. */
    double start_fraction = 0;
};

/** Trade-offs between meeting the deadline of a move and withdrawing a bad version. */
struct move_policy
{
    /** Whether the move completes at the deadline if there were too few calls for a verdict. */
    bool advance_on_little_evidence = true;
    /** Whether the new version's share may rise while the log is unavailable. */
    bool rise_without_log = true;
    /** Whether daemons that lost contact with the other failure domains send the new version no
     * calls until the move is done. */
    bool stop_when_isolated = false;
    /** Increase of the failure probability that is tolerated, 0 to 1. */
    double tolerated_increase = 0.01;
    /** Increase of the probability of a slow call that is tolerated, 0 to 1. */
    double tolerated_slow_increase = 0.05;
    /** Upper bound on the probability that one aggregator withdraws a good version. */
    double wrong_withdrawal_probability = 0.001;
    /** Name of the registered verdict test. */
    std::string verdict_test = "sequential";
    /** Time after the deadline during which the old version is kept and failures of the new one
     * may still withdraw it. */
    time_ms watch_period = 30'000;
};

enum class move_state
{
    running,
    done,
    withdrawn,
};

/** A move of a service's traffic from one version to another. */
struct move_spec
{
    std::string id;
    std::string service;
    std::string from;
    std::string to;
    /** Wall-clock time at which the patch was created or the order was given. */
    time_ms start = 0;
    /** Wall-clock time by which all traffic must have moved. */
    time_ms deadline = 0;
    /** Log offset of the order's record plus 1, which distinguishes orders with the same service
     * and version; 0 if the move was started by a patch. */
    std::uint64_t order = 0;
    move_policy policy;
    std::vector<move_step> steps;
};

/** A move with its state and outcome. */
struct move_record
{
    move_spec spec;
    move_state state = move_state::running;
    std::string reason;
    /** Shares before the move, restored when it is withdrawn, even after its completion. */
    std::map<std::string, int> previous_versions;
};

/** Result of a patch, kept so that a patch submitted again with the same id isn't applied twice. */
struct patch_outcome
{
    std::string id;
    std::uint64_t offset = 0;
    /** Version of the configuration after the patch. */
    std::uint64_t version = 0;
    /** Why the patch was rejected; its kind is `none` if the patch was accepted. */
    error reason;
};

/** The configuration built by applying log records; identical on all daemons at the same offset. */
struct config_state
{
    /** Incremented by each accepted patch; a whole configuration sets its own, higher version. */
    std::uint64_t version = 0;
    /** Offset of the next log record to apply. */
    std::uint64_t next_offset = 0;
    std::map<std::string, route> routes;
    std::map<std::string, service_config> services;
    caller_limits limits;
    /** Calls need a key, except on public routes, if this is not empty. */
    std::map<std::string, organisation> organisations;
    /** Localities whose upstreams get no calls. */
    std::set<std::string> evacuated;
    std::map<std::string, move_record> moves;
    /** Ids of ended moves, oldest first; when there are too many, the oldest moves are dropped. */
    std::deque<std::string> ended_moves;
    /** Outcomes of the newest patches, oldest first. */
    std::deque<patch_outcome> recent_patches;
};

struct put_route
{
    route value;
};

struct remove_route
{
    std::string name;
};

struct put_service
{
    service_config value;
};

struct remove_service
{
    std::string name;
};

struct start_move
{
    move_spec value;
};

struct cancel_move
{
    std::string id;
};

using patch_operation =
    std::variant<put_route, remove_route, put_service, remove_service, start_move, cancel_move>;

/** An operator's change to a numbered version; all of its operations are applied, or none. */
struct patch
{
    std::string id;
    std::uint64_t base = 0;
    time_ms created = 0;
    std::vector<patch_operation> operations;
};

/** The end of a move as a daemon appends it to the log. */
struct move_outcome
{
    std::string move;
    move_state state = move_state::done;
    std::string reason;
};

std::string_view to_string(move_state state);

/** A complete configuration that is published at once instead of through patches. */
struct whole_config
{
    /** Assigned by the operator; higher with each publication, but not necessarily by 1. */
    std::uint64_t version = 0;
    std::map<std::string, route> routes;
    std::map<std::string, service_config> services;
    caller_limits limits;
    std::map<std::string, organisation> organisations = {};
};

/** The difference between the configuration of one version and a newer whole configuration. */
struct config_delta
{
    /** Version that the delta applies to. */
    std::uint64_t base = 0;
    std::uint64_t version = 0;
    /** New and changed routes. */
    std::map<std::string, route> routes;
    std::vector<std::string> removed_routes;
    /** All services, not only changed ones, since there are few. */
    std::map<std::string, service_config> services;
    caller_limits limits;
    /** New and changed organisations. */
    std::map<std::string, organisation> organisations = {};
    std::vector<std::string> removed_organisations = {};
};

/** An operator's order to send no calls to the upstreams of a locality, or its withdrawal. */
struct evacuation
{
    std::string locality;
    bool active = true;
};

/** An operator's order to move a service's traffic to one version within a given time. */
struct move_order
{
    std::string service;
    std::string to;
    time_ms duration = 0;
};

/** Default steps of a patch's move: small shares for most of the time, then a fast ramp. */
std::vector<move_step> default_move_steps();

/** Steps of an ordered move; the last one starts early enough for calls in progress on the old
 * version to finish before the deadline. */
std::vector<move_step> ordered_move_steps();

/** Serialises a whole configuration, an order or an evacuation as the JSON text of a log record. */
std::string dump_whole_config(const whole_config& config);
std::string dump_order(const move_order& order);
std::string dump_evacuation(const evacuation& order);

/** Checks that each route has a valid prefix, timeout and split and that its services exist. */
bool check_routes(const std::map<std::string, route>& routes,
                  const std::map<std::string, service_config>& services, error& reason);

/** Checks that each organisation has valid limits and keys, and that no two share a key. */
bool check_organisations(const std::map<std::string, organisation>& organisations, error& reason);

/** Computes the delta from the state to the configuration, and the configuration after a delta. */
config_delta make_delta(const config_state& state, const whole_config& next);
whole_config apply_delta(const config_state& state, const config_delta& delta);

/** Serialises a delta as the JSON text of a record that daemons send each other; large deltas are
 * compressed into a packed record. */
std::string dump_delta(const config_delta& delta);

/** Decompresses a packed delta; returns nothing if it is corrupt. */
std::optional<std::string> unpack_delta(std::string_view json, error& reason);

/** Parses the text of the dump function for the same type; rejects unknown keys and wrong types
 * with an error that names the key and the remedy. */
std::optional<config_delta> parse_delta(std::string_view json, error& reason);
std::optional<whole_config> parse_whole_config(std::string_view json, error& reason);
std::optional<move_order> parse_order(std::string_view json, error& reason);
std::optional<evacuation> parse_evacuation(std::string_view json, error& reason);

/** Creates the move that an order starts. `offset` is that of the order's record, `start` the
 * wall-clock time at which the order was given. */
move_record make_ordered_move(const move_order& order, std::uint64_t offset, time_ms start);

/** Parses a patch; rejects unknown keys and wrong types with an error that names the key and the
 * remedy. */
std::optional<patch> parse_patch(std::string_view json, error& reason);

/** Serialises a patch as the JSON text of a log record. */
std::string dump_patch(const patch& change);

/** Serialises a move outcome as the JSON text of a log record. */
std::string dump_outcome(const move_outcome& outcome);

/** Serialises the whole state as JSON text with a fixed key order. */
std::string dump_state(const config_state& state);

/** Parses the text written by dump_state. */
std::optional<config_state> parse_state(std::string_view json, error& reason);

} // namespace sardinepoint
