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

/** What a sampler saw. */
struct sampler_report
{
    std::uint64_t samples = 0;
    /** One line for each sample with a lower version or offset than an earlier one. */
    std::vector<std::string> regressions;
};

/**
 * Reads the status of all daemons continuously on its own thread. Within one process neither
 * version nor offset may decrease; over restarts they may not while the daemon is ready.
 */
class status_sampler
{
public:
    status_sampler() = default;
    ~status_sampler();
    status_sampler(const status_sampler&) = delete;
    status_sampler& operator=(const status_sampler&) = delete;

    void watch(const std::deque<daemon_node>& daemons);
    /** To be called before a daemon is ended, so that answers of its successor are told apart. */
    void record_stop(const std::string& id);
    void record_start(const std::string& id);
    /** Stops the thread. */
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
        /** Raised at each end and start of the process; odd while it is down. */
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
