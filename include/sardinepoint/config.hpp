#pragma once

#include "sardinepoint/core.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace sardinepoint
{

/** One service of a route whose calls are split. */
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
    /** Shares of several services; empty if all calls go to `service`. */
    std::vector<split_target> split;
    time_ms timeout = 5000;
    /** Overrides what the HTTP method says about idempotency. */
    std::optional<bool> idempotent;
    /** Time within which an answer is worth most to its caller; 0 if none is stated. */
    time_ms goal = 0;
    /** 0 is the most urgent. */
    int priority = 0;
    /** Most upstreams that one call may be sent to; 0 leaves it to the daemon. */
    int max_attempts = 0;

    bool operator==(const route&) const = default;
};

/** Traffic shares of a service's versions, in whole percent with sum 100. */
struct service_config
{
    std::string name;
    /** Empty if the configuration names no versions: whatever version is announced may be used. */
    std::map<std::string, int> versions;
    /** Most connections that an upstream takes from all callers; 0 if not stated. */
    int max_connections = 0;
};

/** Bounds on what callers may send. */
struct caller_limits
{
    std::size_t max_header_bytes = 16U << 10U;
    std::size_t max_body_bytes = 16U << 20U;
    time_ms header_timeout = 3'000;
    time_ms idle_timeout = 60'000;
};

/** One step of a move: from a fraction of the time up to the deadline on, this share. */
struct move_step
{
    /** Share of the service's calls that the new version receives, in percent. */
    double share = 0;
    /** Start of the step as a fraction of the time from the move's start to its deadline. */
    double start_fraction = 0;
};

/** How a move weighs being on time against withdrawing a bad version. */
struct move_policy
{
    /** Whether to go on at the deadline when calls were too few for a verdict. */
    bool advance_on_little_evidence = true;
    /** Whether shares may rise while the log is unavailable. */
    bool rise_without_log = true;
    /** Whether daemons that lost contact with the other failure domains send the new version no
     * calls until the move is done. */
    bool stop_when_isolated = false;
    /** Increase of the failure probability that is tolerated, 0 to 1. */
    double tolerated_increase = 0.01;
    /** Increase of the probability of a slow call that is tolerated, 0 to 1. */
    double tolerated_slow_increase = 0.05;
    /** Bound on the probability that one aggregator withdraws a good version. */
    double wrong_withdrawal_probability = 0.001;
    /** Name of the registered verdict test. */
    std::string verdict_test = "sequential";
    /** Time after the last step during which the old version is kept and faults still count. */
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
    /** Wall clock at which the patch was submitted. */
    time_ms start = 0;
    /** Wall clock by which all traffic must have moved. */
    time_ms deadline = 0;
    /** Offset of the order's record, for orders that are not patches; names one order of several
     * with the same service and version. */
    std::uint64_t order = 0;
    move_policy policy;
    std::vector<move_step> steps;
};

/** A move with its outcome. */
struct move_record
{
    move_spec spec;
    move_state state = move_state::running;
    std::string reason;
    /** Shares before the move, restored when a withdrawal follows a completion. */
    std::map<std::string, int> previous_versions;
};

/** What became of a patch; kept so that a repeated patch id is folded once. */
struct patch_outcome
{
    std::string id;
    std::uint64_t offset = 0;
    std::uint64_t version = 0;
    error reason;
};

/** The folded configuration; the same on every daemon for the same offset. */
struct config_state
{
    /** Grows by one for each accepted patch. */
    std::uint64_t version = 0;
    /** First log offset that isn't folded yet. */
    std::uint64_t next_offset = 0;
    std::map<std::string, route> routes;
    std::map<std::string, service_config> services;
    caller_limits limits;
    std::map<std::string, move_record> moves;
    /** Ids of ended moves, oldest first. */
    std::deque<std::string> ended_moves;
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

/** An operator's change against a numbered version; applied whole or rejected whole. */
struct patch
{
    std::string id;
    std::uint64_t base = 0;
    time_ms created = 0;
    std::vector<patch_operation> operations;
};

/** The end of a move as appended by a daemon. */
struct move_outcome
{
    std::string move;
    move_state state = move_state::done;
    std::string reason;
};

std::string_view to_string(move_state state);

/** A whole configuration as published by a source other than patches. */
struct whole_config
{
    /** The operator's number; versions rise, with gaps. */
    std::uint64_t version = 0;
    std::map<std::string, route> routes;
    std::map<std::string, service_config> services;
    caller_limits limits;
};

/** What changes from the configuration of one version to a whole configuration. */
struct config_delta
{
    /** Version that it applies to. */
    std::uint64_t base = 0;
    std::uint64_t version = 0;
    /** New and changed routes. */
    std::map<std::string, route> routes;
    std::vector<std::string> removed_routes;
    /** All services: they are few. */
    std::map<std::string, service_config> services;
    caller_limits limits;
};

/** An operator's order to move a service's traffic to one version within a time. */
struct move_order
{
    std::string service;
    std::string to;
    time_ms duration = 0;
};

/** Steps used when a patch names none: small for most of the time, then a fast ramp. */
std::vector<move_step> default_move_steps();

/** Steps of an ordered move: ends early enough for the old version's work to finish in time. */
std::vector<move_step> ordered_move_steps();

/** The configuration and the order as the JSON text of a log record. */
std::string dump_whole_config(const whole_config& config);
std::string dump_order(const move_order& order);

/** Whether each route has a usable prefix and time limit and leads to services that are there. */
bool check_routes(const std::map<std::string, route>& routes,
                  const std::map<std::string, service_config>& services, error& reason);

/** The steps from the state to the configuration, and the state after them. */
config_delta make_delta(const config_state& state, const whole_config& next);
whole_config apply_delta(const config_state& state, const config_delta& delta);

/** The delta as the JSON text of a record that daemons pass on to each other; packed if large. */
std::string dump_delta(const config_delta& delta);

/** The text of a packed delta; nothing if it is damaged. */
std::optional<std::string> unpack_delta(std::string_view json, error& reason);

/** Inverses; unknown keys and wrong types are rejected, naming the key and the remedy. */
std::optional<config_delta> parse_delta(std::string_view json, error& reason);
std::optional<whole_config> parse_whole_config(std::string_view json, error& reason);
std::optional<move_order> parse_order(std::string_view json, error& reason);

/** The move that an order starts; `start` is the wall clock at which it was given. */
move_record make_ordered_move(const move_order& order, std::uint64_t offset, time_ms start);

/** Parses a patch; rejects unknown keys and wrong types, naming the key and the remedy. */
std::optional<patch> parse_patch(std::string_view json, error& reason);

/** The patch as JSON text. */
std::string dump_patch(const patch& change);

/** The move outcome as the JSON text of a log record. */
std::string dump_outcome(const move_outcome& outcome);

/** The whole state as JSON text with a fixed key order. */
std::string dump_state(const config_state& state);

/** Parses the text written by dump_state. */
std::optional<config_state> parse_state(std::string_view json, error& reason);

} // namespace sardinepoint
