#pragma once

#include "rig/fleet.hpp"
#include "rig/soak.hpp"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace sardinepoint::rig
{

// The platform's limit on how long requests may arrive after a departure is acknowledged.
inline constexpr time_ms soak_drain_limit_ms = 2000;
// The platform's limit on the time until a configuration that the store acknowledged is applied.
inline constexpr time_ms soak_config_limit_ms = 2500;
inline constexpr time_ms soak_call_deadline_ms = 2000;
// Added to the limits of calls and stops, as processes may wait for processor time.
inline constexpr time_ms soak_scheduling_margin_ms = 500;

struct soak_call
{
    std::string id;
    std::size_t daemon = 0;
    bool non_idempotent = false;
    time_ms started = 0;
    time_ms ended = 0;
    bool after_recovery = false;
    /** Has status 0 until there is a response. */
    http_result result{.response = {.status = 0}};
};

/** Period in which a daemon was killed, frozen, stopped or being started. */
struct disturbance
{
    std::size_t daemon = 0;
    time_ms from = 0;
    time_ms until = 0;
};

struct scheduled_action
{
    time_ms at = 0;
    std::function<void()> run;
};

struct published_config
{
    int version = 0;
    time_ms at = 0;
};

struct departure
{
    std::string instance;
    time_ms acknowledged_at = 0;
};

struct soak
{
    const soak_options& options;
    fleet system;
    std::mt19937_64 random;
    time_ms started_at = 0;
    std::vector<std::unique_ptr<soak_call>> calls;
    std::vector<disturbance> disturbances;
    std::vector<departure> departures;
    std::vector<scheduled_action> scheduled_actions;
    /** Daemons and upstreams that are affected by a fault. */
    std::set<std::size_t> disturbed_daemons;
    std::set<std::size_t> disturbed_upstreams;
    std::map<std::string, relay_rule> rules;
    int version = 1;
    /** Time at which store faults were last injected. */
    time_ms last_store_fault = 0;
    int instances = 0;
    bool after_recovery = false;
    soak_result result;
};

void record_violation(soak& self, const std::string& what, time_ms at);

/** Random number between both values, inclusive; determined by the seed. */
int pick(soak& self, int min_value, int max_value);

/** Name of the service that only the newest configuration has; no upstream belongs to it. */
std::string newest_service(const soak& self);

/** Injects faults for the duration of the test, and ends all of them before it returns. */
void run_faults(soak& self);

/** Checks that undisturbed daemons have applied a configuration within the limit. */
void check_config_applied(soak& self, const published_config& published);

/** Checks the results of all calls and the requests that the upstreams received. */
void check_guarantees(soak& self);

} // namespace sardinepoint::rig
