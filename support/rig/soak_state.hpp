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

// The platform's bound on requests after the ack of a leaving.
inline constexpr time_ms soak_drain_limit_ms = 2000;
// The platform's bound on configurations that the store has acknowledged.
inline constexpr time_ms soak_config_limit_ms = 2500;
inline constexpr time_ms soak_call_deadline_ms = 2000;
// Calls and stops end by their bound; the rest is for processes that wait for processor time.
inline constexpr time_ms soak_scheduling_margin_ms = 500;

struct soak_call
{
    std::string id;
    std::size_t daemon = 0;
    bool non_idempotent = false;
    time_ms started = 0;
    time_ms ended = 0;
    bool after_recovery = false;
    /** With status 0 until there is an answer. */
    http_result result{.response = {.status = 0}};
};

/** Time in which a daemon was killed, frozen, stopped or started. */
struct disturbance
{
    std::size_t daemon = 0;
    time_ms from = 0;
    time_ms until = 0;
};

struct scheduled_action
{
    time_ms at = 0;
    std::function<void()> end;
};

struct published_config
{
    int version = 0;
    time_ms at = 0;
};

struct departure
{
    std::string instance;
    time_ms acknowledged = 0;
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
    /** Daemons, and upstreams, at which some fault is under way. */
    std::set<std::size_t> disturbed_daemons;
    std::set<std::size_t> disturbed_upstreams;
    std::map<std::string, relay_rule> rules;
    int version = 1;
    /** Last time at which faults of the store were begun. */
    time_ms last_store_fault = 0;
    int instances = 0;
    bool after_recovery = false;
    soak_result result;
};

void record_violation(soak& self, const std::string& what, time_ms at);

/** A number between the two, drawn by the seed. */
int pick(soak& self, int min_value, int max_value);

/** Service of the newest configuration that no upstream belongs to. */
std::string newest_service(const soak& self);

/** Lets faults begin and end for the length of the soak; at the end all are over. */
void run_faults(soak& self);

/** Checks that daemons which were left alone serve a configuration that must be in force. */
void check_config_applied(soak& self, const published_config& published);

/** Checks all calls that have ended and what the upstreams saw. */
void check_guarantees(soak& self);

} // namespace sardinepoint::rig
