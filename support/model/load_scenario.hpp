#pragma once

#include "sardinepoint/core.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace model
{

using sardinepoint::time_ms;

/** Calls to another route that an upstream makes while it processes a call. The outer call keeps
 * its slot meanwhile and fails if one of them fails. */
struct inner_calls
{
    std::string route;
    int times = 1;
    /** Fraction of the outer calls that make them. */
    double fraction = 1;
};

struct route_load
{
    std::string name;
    std::string service;
    /** Rate over all callers; 0 for a route that only upstreams call. */
    double calls_per_second = 0;
    /** Processing time on an upstream of speed 1, which is lognormal: mean, standard deviation of
     * the logarithm, and upper bound. */
    double work_ms = 50;
    double work_log_stddev = 0.5;
    double max_work_ms = 500;
    time_ms latency_target = 300;
    time_ms deadline = 1000;
    /** Utility of a response within the latency target, and of one between it and the deadline. */
    double utility = 1;
    double late_utility = 0.3;
    /** 0 is the most urgent. */
    int priority = 1;
    /** Retries of a refused caller. */
    int retries = 1;
    /** Whether calls may run twice. */
    bool idempotent = true;
    std::vector<inner_calls> calls;
};

struct service_config
{
    std::string name;
    int upstreams = 1;
    int slots = 10;
    /** Relative speeds, assigned to the upstreams round-robin. */
    std::vector<double> speeds = {1.0};
};

/** A period in which the callers' rate changes, or some upstreams of a service are slower or
 * unavailable. */
struct disturbance
{
    time_ms at = 0;
    time_ms duration = 0;
    /** Service whose upstreams are affected; empty if the callers' rate changes. */
    std::string service;
    /** Factor on the call rate, or on the processing time of the affected upstreams. */
    double factor = 1;
    /** Fraction of the service's upstreams that is affected. */
    double fraction = 1;
    /** Whether the affected upstreams refuse all calls. */
    bool unavailable = false;
};

struct scenario
{
    std::string name;
    time_ms duration = 20'000;
    int localities = 3;
    /** One-way network delays: between localities, and between a caller and its daemon. */
    double locality_ms = 1.4;
    double caller_ms = 0;
    std::vector<service_config> services;
    std::vector<route_load> routes;
    std::vector<disturbance> disturbances;
    /** Weights of the fractions in run_metrics::total. */
    double weight_utility = 0.45;
    double weight_worst_seconds = 0.15;
    double weight_route = 0.1;
    double weight_locality = 0.15;
    double weight_served = 0.15;
};

/** Parses a scenario in JSON. Returns no value and sets the reason if a field is unknown, missing
 * or out of range. */
std::optional<scenario> parse_scenario(std::string_view text, sardinepoint::error& reason);

} // namespace model
