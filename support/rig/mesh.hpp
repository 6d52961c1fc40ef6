#pragma once

#include "rig/process.hpp"

#include "sardinepoint/event_loop.hpp"
#include "sardinepoint/http_client.hpp"
#include "sardinepoint/settings.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sardinepoint::rig
{

/** Sends a request and waits for its result. */
http_result call(const endpoint& peer, http_call request, std::string_view target);

/** Sends a GET and parses the JSON response; returns null if there is no valid response. */
nlohmann::json get_json(const endpoint& peer, std::string_view target, time_ms timeout = 2000);

/** Posts JSON and parses the JSON response; returns null if there is no valid response. */
nlohmann::json post_json(const endpoint& peer, std::string_view target, const nlohmann::json& body,
                         time_ms timeout = 5000);

/** Polls the condition until it holds; returns false if the time limit expires first. */
bool wait_until(time_ms limit, const std::function<bool()>& condition);

/** Sleeps where there is no condition to wait for, e.g. between load steps. */
void pause(time_ms duration);

/** A daemon process of the mesh and the settings needed to restart it. */
struct daemon_node
{
    std::string id;
    std::string domain;
    std::string settings_file;
    /** Appended to the settings file at the next restart. */
    std::string extra_settings;
    std::string log_file;
    endpoint data;
    endpoint control;
    /** Ports of the relay in front of the daemon; 0 without a relay. */
    std::uint16_t relayed_data_port = 0;
    std::uint16_t relayed_control_port = 0;
    std::unique_ptr<process> child_process;
};

/** A stand-in upstream process of the mesh. */
struct upstream_node
{
    std::vector<std::string> arguments;
    std::string log_file;
    endpoint address;
    std::unique_ptr<process> child_process;
};

/** A network fault: traffic between two addresses is held, delayed, or its connections closed. */
struct link_fault
{
    std::string source;
    std::string target;
    std::string action = "hold";
    time_ms delay = 0;
};

struct mesh_options
{
    std::string build_dir;
    /** Appended to each daemon's settings file. */
    std::string extra_settings;
    std::string log_level = "info";
    time_ms log_poll_wait = 1000;
    time_ms snapshot_interval = 300000;
    std::uint64_t appends_per_second = 500;
    std::uint64_t retention = 100000;
    /** Routes traffic between daemons and to the log through a relay, which injects faults. */
    bool relayed = false;
    /** Prefix of the temporary directory with logs, which is removed unless KEEP_RIG is set. */
    std::string name = "mesh";
};

struct upstream_options
{
    std::string service = "duty-board";
    std::string version = "v1";
    int slots = 15;
    int connections = 130;
    time_ms processing_time = 5;
    time_ms announce_interval = 300;
    /** File to which the Request-Id of each run is appended; empty: none. */
    std::string runs_file;
};

/** All processes of a system under test on this machine. */
class mesh
{
public:
    explicit mesh(mesh_options options);
    ~mesh();
    mesh(const mesh&) = delete;
    mesh& operator=(const mesh&) = delete;

    /** Starts a daemon on free ports, which it keeps across restarts. */
    daemon_node& add_daemon(const std::string& id, const std::string& domain);
    /** Starts an upstream that announces itself to the daemon. */
    upstream_node& add_upstream(const daemon_node& daemon, const upstream_options& options);

    /** Starts a process again on the same ports; kills it first if it still runs. */
    void restart(daemon_node& daemon);
    void restart(upstream_node& upstream);

    /** Loopback address of a failure domain's processes; each domain has its own. */
    std::string address_of(const std::string& domain);
    /** IP address under which the daemons reach the log. */
    std::string log_address() const;
    /** Replaces all network faults. */
    void set_link_faults(const std::vector<link_fault>& link_faults);
    /** Disconnects a failure domain from all others and optionally from the log. */
    void isolate(const std::string& domain, bool from_log, const std::string& action = "hold");

    endpoint log_endpoint() const;
    void set_log_faults(const nlohmann::json& faults);
    nlohmann::json log_stats();

    /** Submits a patch to a daemon; returns the response's body with "status" added. */
    nlohmann::json submit(const daemon_node& daemon, std::uint64_t base,
                          const nlohmann::json& operations, const std::string& id = "");

    bool wait_ready(time_ms limit);
    bool wait_version(std::uint64_t version, time_ms limit);
    /** Waits until each daemon lists exactly `count` available upstreams of the service. */
    bool wait_upstreams(const std::string& service, std::size_t count, time_ms limit);

    std::deque<daemon_node> daemons;
    std::deque<upstream_node> upstreams;

private:
    std::uint16_t add_forward(const endpoint& target);
    void write_settings(daemon_node& daemon) const;
    void start(daemon_node& daemon);

    mesh_options options;
    std::string work_dir;
    std::unique_ptr<process> log;
    std::unique_ptr<process> relay;
    std::uint16_t relayed_log_port = 0;
    std::vector<std::string> domains;
    int last_patch_number = 0;
};

nlohmann::json status_of(const daemon_node& daemon);

/** Announces an upstream of "duty-board" v1 once; returns false on failure. */
bool announce_upstream(const daemon_node& daemon, const endpoint& upstream);

/** Operations that add a service, whose only version gets all traffic, and a route to it. */
nlohmann::json service_operations(const std::string& service, const std::string& version,
                                  const std::string& prefix);

} // namespace sardinepoint::rig
