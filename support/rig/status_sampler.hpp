#pragma once

#include "rig/mesh.hpp"

#include <atomic>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace sardinepoint::rig
{

/** Result of a sampler. */
struct sampler_report
{
    std::uint64_t samples = 0;
    /** A line for each sample with a lower version or offset than an earlier sample. */
    std::vector<std::string> regressions;
};

/**
 * Reads the status of all daemons periodically on a separate thread. Neither version nor offset may
 * decrease within one process, nor across restarts between the samples in which the daemon is
 * ready.
 */
class status_sampler
{
public:
    status_sampler() = default;
    ~status_sampler();
    status_sampler(const status_sampler&) = delete;
    status_sampler& operator=(const status_sampler&) = delete;

    void watch(const std::deque<daemon_node>& daemons);
    /** Must be called before a daemon is stopped, so that its late responses are ignored. */
    void record_stop(const std::string& id);
    void record_start(const std::string& id);
    /** Stops the thread and returns the report. */
    sampler_report finish();

private:
    struct position
    {
        std::uint64_t version = 0;
        std::uint64_t offset = 0;
    };

    struct watched_daemon
    {
        std::string id;
        endpoint control;
        /** Incremented at each stop and start of the process; odd while it is stopped. */
        std::uint64_t process_epoch = 0;
        bool request_pending = false;
        position in_process;
        position while_ready;
    };

    void sample();
    void request_status(http_client& client, watched_daemon& daemon);
    void record_status(watched_daemon& daemon, const nlohmann::json& status);
    void check_monotonic(const watched_daemon& daemon, const char* scope, position& highest,
                         const position& now);

    std::mutex state_mutex;
    std::deque<watched_daemon> daemons;
    sampler_report report;
    std::atomic<bool> stopping = false;
    std::thread thread;
};

} // namespace sardinepoint::rig
