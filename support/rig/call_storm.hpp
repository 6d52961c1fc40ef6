#pragma once

#include "rig/mesh.hpp"

#include <atomic>
#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace sardinepoint::rig
{

/** Which faults hit the system while the calls run. */
struct chaos_faults
{
    bool daemon_kills = true;
    bool daemon_restarts = true;
    bool upstream_kills = true;
    bool freezes = true;
    bool partitions = true;
};

struct chaos_options
{
    std::string build_dir;
    std::uint64_t seed = 1;
    /** The storm goes on until both numbers are reached. */
    std::uint64_t calls = 10'000;
    std::uint64_t min_faults = 0;
    /** Calls in progress at the same time. */
    int callers = 48;
    bool keyed = true;
    chaos_faults faults;
    /** Calls end early when the time is up. */
    time_ms limit = 60'000;
};

/** Counts over all calls of a storm; the runs are counted at the upstreams. */
struct chaos_counts
{
    std::uint64_t calls = 0;
    std::uint64_t submissions = 0;
    std::uint64_t answered = 0;
    /** Calls that ended as "not run" and were not sent again. */
    std::uint64_t not_run = 0;
    std::uint64_t unknown = 0;
    std::uint64_t run_twice = 0;
    std::uint64_t not_run_but_ran = 0;
    std::uint64_t answered_but_not_run = 0;
    std::uint64_t mismatched = 0;
    std::uint64_t faults = 0;
};

/**
 * Sends non-idempotent calls to three failure domains while faults hit them. A keyed call is sent
 * again with its key to another daemon after a timeout or an unknown outcome, and with a new key
 * after "not run"; a call without key only after "not run".
 */
chaos_counts run_chaos_test(const chaos_options& options);

} // namespace sardinepoint::rig
