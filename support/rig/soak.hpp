#pragma once

#include "sardinepoint/core.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace sardinepoint::rig
{

struct soak_options
{
    std::string build_dir;
    std::uint64_t seed = 1;
    /** Time in which faults begin; they overlap. */
    time_ms duration = 8000;
    int daemons = 5;
    /** Pause between two rounds of one call from each daemon. */
    time_ms call_interval = 10;
    /** Whether faults are printed as they begin. */
    bool verbose = false;
    /** Keeps the daemons' logs and settings. */
    bool keep_files = false;
};

/** Counts over all calls, and each broken promise in words, with the time since the start. */
struct soak_result
{
    int calls = 0;
    int answered = 0;
    int refused = 0;
    int failed = 0;
    int faults = 0;
    /** Questions to daemons that were left alone whether a configuration is in force. */
    int config_checks = 0;
    std::vector<std::string> violations;
};

/**
 * Runs daemons as processes under faults that come from outside only: signals, a relay between
 * them, misbehaviour of the store and of upstreams. The seed decides which faults come when. The
 * promises are checked from what callers and upstreams see.
 */
soak_result run_soak(const soak_options& options);

} // namespace sardinepoint::rig
