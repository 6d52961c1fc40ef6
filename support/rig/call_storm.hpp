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

/** Kinds of faults that are injected while calls run. */
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
    /** The test runs until both numbers are reached. */
    std::uint64_t calls = 10'000;
    std::uint64_t min_faults = 0;
    /** Number of concurrent calls. */
    int callers = 48;
    bool keyed = true;
    chaos_faults faults;
    /** After this time no calls are submitted, even if the numbers are not reached. */
    time_ms limit = 60'000;
};

/** Counts over all calls of a test; the upstreams count how often each call ran. */
struct chaos_counts
{
    std::uint64_t calls = 0;
    std::uint64_t submissions = 0;
    std::uint64_t answered = 0;
    /** Calls whose final outcome is "not run". */
    std::uint64_t not_run = 0;
    std::uint64_t unknown = 0;
    std::uint64_t run_twice = 0;
    std::uint64_t not_run_but_ran = 0;
    std::uint64_t answered_but_not_run = 0;
    std::uint64_t mismatched = 0;
    std::uint64_t faults = 0;
};

/**
 * Sends non-idempotent calls to daemons in three failure domains while faults are injected. A call
 * with an idempotency key is retried at a random daemon: with the same key after a timeout or an
 * unknown outcome, with a new key after "not run". A call without a key is retried only after "not
 * run".
 */
chaos_counts run_chaos_test(const chaos_options& options);

} // namespace sardinepoint::rig
