#pragma once

#include "sardinepoint/core.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace model
{

using sardinepoint::time_ms;

/** Calls that a run makes; it holds its slot meanwhile and fails if one of them fails. */
struct inner_calls
{
    std::string route;
    int times = 1;
    /** Part of the runs that make them. */
    double fraction = 1;
};

struct route_load
{
    std::string name;
    std::string service;
    /** Calls of all callers in a second; 0 for a route that only upstreams call. */
    double calls_per_second = 0;
    /** Time that a call works on an upstream of speed 1: mean, spread of its logarithm, highest. */
    double work_ms = 50;
    double work_log_stddev = 0.5;
    double max_work_ms = 500;
    time_ms goal = 300;
    time_ms deadline = 1000;
    double utility = 1;
    /** Worth of an answer after the goal. */
    double late_utility = 0.3;
    /** As configured: 0 is the most urgent. */
    int priority = 1;
    /** Times that a refused caller comes back. */
    int retries = 1;
    std::vector<inner_calls> calls;
};

struct service_config
{
    std::string name;
    int upstreams = 1;
    int slots = 10;
    /** Dealt out in turn. */
    std::vector<double> speeds = {1.0};
};

/** For a time, callers send more, or some upstreams of a service are slower or gone. */
struct disturbance
{
    time_ms at = 0;
    time_ms duration = 0;
    /** Empty: the callers. */
    std::string service;
    /** Factor on the calls, or on the work of the upstreams concerned. */
    double factor = 1;
    /** Part of the upstreams. */
    double fraction = 1;
    /** They take no calls at all. */
    bool unavailable = false;
};

struct scenario
{
    std::string name;
    time_ms duration = 20'000;
    int localities = 3;
    /** One way between localities, and between a caller and its daemon. */
    double locality_ms = 1.4;
    double caller_ms = 0;
    std::vector<service_config> services;
    std::vector<route_load> routes;
    std::vector<disturbance> disturbances;
    /** Weights of the parts of the figure; see model::figures. */
    double weight_utility = 0.45;
    double weight_windows = 0.15;
    double weight_route = 0.1;
    double weight_locality = 0.15;
    double weight_served = 0.15;
};

/** Reads a scenario (JSON); empty with the reason if a field is unknown, missing or out of range.
 */
std::optional<scenario> parse_scenario(std::string_view text, sardinepoint::error& reason);

} // namespace model
