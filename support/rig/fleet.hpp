#pragma once

#include "rig/process.hpp"
#include "rig/relay.hpp"
#include "rig/store.hpp"

#include "sardinepoint/event_loop.hpp"
#include "sardinepoint/http_client.hpp"
#include "sardinepoint/http_server.hpp"
#include "sardinepoint/settings.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace sardinepoint::rig
{

/** A request that an upstream received. */
struct received_request
{
    std::string id;
    std::string instance;
    std::string service;
    std::string version;
    http_request request;
    time_ms at = 0;
    /** Whether the daemon closed the connection before the response. */
    bool cancelled = false;
};

/** An upstream that speaks the fleet platform's protocol; it runs in the test's process. */
struct fleet_upstream
{
    http_server_ptr server;
    endpoint address;
    std::string instance;
    std::string service;
    std::string version = "v1";
    std::string state = "ready";
    int slots = 4;
    int sequence = 0;
    std::int64_t started_at = 1'700'000'000'000;
    /** Time between a request and its response. */
    time_ms processing_time = 5;
    int status = 200;
    /** Number of next requests that get no response because all connections are closed. */
    int requests_to_drop = 0;
    /** Incremented each time the listener is opened; earlier requests get no response. */
    int listener_generation = 0;
    /** Whether the upstream announces itself periodically. */
    bool sends_announcements = true;
    /** Changes a response before it is sent; may be empty. */
    std::function<void(http_response&)> modify_response;
};

/** An organisation in the published configuration. */
struct fleet_organisation
{
    std::vector<std::string> keys;
    int priority = 1;
    double rate_per_s = 0;
    double burst = 0;
};

/** A daemon process that runs as the sidecar of an upstream. */
struct fleet_daemon
{
    std::string id;
    endpoint outbound;
    endpoint readiness;
    endpoint announcements;
    std::uint16_t control_port = 0;
    std::uint16_t data_port = 0;
    /** Ports of the relay in front of the daemon; 0 without a relay. */
    std::uint16_t relayed_control_port = 0;
    std::uint16_t relayed_data_port = 0;
    std::string settings_file;
    std::string log_file;
    std::unique_ptr<process> child_process;
    std::unique_ptr<fleet_upstream> upstream;
};

/**
 * Daemons with their upstreams and a store. The daemons are processes; everything else runs on one
 * event loop.
 */
struct fleet
{
    std::string build_dir;
    std::string work_dir;
    event_loop_ptr loop = make_event_loop();
    rig::store store{*this->loop};
    /** If set, daemons added later are reached through it; forwards are named by daemon id. */
    std::optional<rig::relay> relay;
    http_client_ptr http;
    std::vector<std::unique_ptr<fleet_daemon>> daemons;
    std::vector<received_request> received_requests;
    std::uint64_t last_call = 0;
    /** Setting of daemons added later: how many daemons read the store and inform the others. */
    int readers = 100;
    /** Settings of daemons added later: how long the store may hold a read back, and the additional
     * time for its response. */
    time_ms store_poll_wait = 500;
    time_ms store_timeout = 300;
    /** Lines added to the section [sidecar] in the settings of daemons added later. */
    std::string sidecar_settings;
    /** Address of the store for daemons added later; empty for its own. */
    std::optional<endpoint> relayed_store;
    /** Keeps logs and settings at the end, like the environment variable KEEP_RIG. */
    bool keep_files = false;
    /** Timeout of routes that are published later. */
    time_ms route_timeout = 2000;
    /** Services and weights of the route "/split/"; the route is published if this is not empty. */
    std::map<std::string, int> split;
    /** Organisations of configurations that are published later. */
    std::map<std::string, fleet_organisation> organisations;
    /** Services whose routes need no key. */
    std::set<std::string> public_services;

    fleet(std::string build_dir, std::string_view name);
    ~fleet();
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;

    /** Starts a daemon and its upstream. */
    fleet_daemon& add(const std::string& service, const std::string& version = "v1");
    void start(fleet_daemon& daemon);
    /** Opens the listener of an upstream, on its previous port if it had one. */
    void open_upstream(fleet_upstream& upstream);

    /** Publishes a configuration with the routes "/SERVICE/" and "/once/SERVICE/" per service. */
    void publish(int version, const std::set<std::string>& services);

    /** Sends the announcement of an upstream now; returns the status of the response. */
    int announce(fleet_daemon& daemon);
    /** Deregisters the upstream at its daemon; returns the status of the response. */
    int deregister(fleet_daemon& daemon);

    /** Runs the loop until the condition holds; returns false if the time limit expires first. */
    bool run_until(time_ms limit, const std::function<bool()>& condition);
    void run_for(time_ms time);

    struct call_options
    {
        std::string method = "GET";
        std::string path = "/board/x";
        std::string body;
        time_ms deadline = 2000;
        std::string id;
        /** Headers in addition to those of every call. */
        std::vector<http_header> headers = {};
    };

    /** Starts a call; the callback gets the result, with status 0 if there is no response. */
    call_id start_call(const fleet_daemon& daemon, const call_options& options,
                       std::function<void(http_result)> done);
    /** Makes a call and waits for its result. */
    http_result call(const fleet_daemon& daemon, const call_options& options);
    int ready_status(const fleet_daemon& daemon);
    /** Waits until a call to the service succeeds at each daemon. */
    bool wait_served(const std::string& service, time_ms limit);

    /** Waits until each daemon knows at least this many upstreams. */
    bool wait_members(std::size_t upstreams, time_ms limit);

    /** Number of times that upstreams received the call. */
    int run_count(std::string_view id) const;
};

} // namespace sardinepoint::rig
