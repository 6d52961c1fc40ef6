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
    /** Time in which faults are injected; faults may overlap. */
    time_ms duration = 8000;
    int daemons = 5;
    /** Interval at which one call is sent to each daemon. */
    time_ms call_interval = 10;
    /** Prints each fault when it is injected. */
    bool verbose = false;
    /** Keeps the daemons' logs and settings at the end. */
    bool keep_files = false;
};

/** Counts over all calls, and a line for each violated guarantee with the time since the start. */
struct soak_result
{
    int calls = 0;
    int answered = 0;
    int refused = 0;
    int failed = 0;
    int faults = 0;
    /** Checks at undisturbed daemons whether a configuration is applied. */
    int config_checks = 0;
    std::vector<std::string> violations;
};

/**
 * Runs daemons as processes under faults that are injected from outside: signals, network faults in
 * a relay between them, and faults of the store and of upstreams. The seed determines the faults
 * and their times. The guarantees are checked from what callers and upstreams observe.
 */
soak_result run_soak(const soak_options& options);

} // namespace sardinepoint::rig
