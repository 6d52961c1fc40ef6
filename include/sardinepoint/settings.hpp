#pragma once

#include "sardinepoint/core.hpp"
#include "sardinepoint/logging.hpp"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sardinepoint
{

/** An IPv4 address and a port. */
struct endpoint
{
    std::string address;
    std::uint16_t port = 0;

    bool operator==(const endpoint&) const = default;
};

/**
 * Settings of a daemon that proxies the calls of its own VM. Without `outbound` the daemon accepts
 * calls on its data port only.
 */
struct sidecar_settings
{
    /** Listener for calls that start on this VM. */
    std::optional<endpoint> outbound;
    /** Listener for readiness checks. */
    std::optional<endpoint> readiness;
    /** Listener for announcements of the upstream of this VM. */
    std::optional<endpoint> announcements;
    /** Address of the upstream of this VM. */
    std::optional<endpoint> upstream;
    /** Service of the upstream of this VM. */
    std::string service;
    /** Locality within the failure domain; upstreams in the same locality are preferred. */
    std::string locality;
    /** See placement_options::local_fraction. */
    double local_fraction = 0;
    /** Interval between announcements of the upstream. */
    time_ms announce_interval = 1500;
    /** Retries of a service's calls as a fraction of its calls in a window. */
    double retry_ratio = 0.2;
    time_ms retry_window = 10000;
    /** Retries that all daemons together may add to that fraction in a window. */
    int retry_extra = 64;
    /** A cold upstream may get cold_excess times its service's cold rate plus cold_slack calls in
     * any second. */
    double cold_excess = 1.5;
    double cold_slack = 8;
    /** Second attempts for slow answers as a fraction of a service's calls; 0 makes none. */
    double hedge_ratio = 0;
    /** Percentile of a route's latencies after which its calls get a second attempt. */
    double hedge_percentile = 0.95;

    bool operator==(const sidecar_settings&) const = default;
};

/** Limits on clients that misbehave; see docs/design/misbehaving-clients.md. */
struct intake_settings
{
    /** Percentage of the memory that peers may make the process hold. */
    int memory_percent = 25;
    /** Descriptors that the process may use; the operating system's limit applies too. */
    int max_descriptors = 4096;
    /** Limit on the header fields of a request. */
    int max_fields = 1024;
    /** Limits on bodies sent to the control port and to the platform's listeners. */
    int control_body_kb = 16384;
    int platform_body_kb = 64;
    /** Time that any body or response may take; more time is given for this mean rate. */
    time_ms slow_grace = 30000;
    int min_bytes_per_s = 4096;
    /** Longest time for which a body or response may make no progress. */
    time_ms stall_timeout = 15000;

    bool operator==(const intake_settings&) const = default;
};

/** Settings of a daemon, read from an INI file. */
struct settings
{
    std::string id;
    std::string region;
    std::string domain;
    std::string address = "127.0.0.1";
    std::uint16_t data_port = 0;
    std::uint16_t control_port = 0;
    /** Ports advertised to peers; 0 advertises the ports of the listeners. */
    std::uint16_t advertised_data_port = 0;
    std::uint16_t advertised_control_port = 0;
    time_ms shutdown_timeout = 10000;
    int memory_mb = 256;
    /** Name of the adapter in registry<platform_adapter>. */
    std::string platform = "standin";
    log_level level = log_level::info;

    endpoint log;
    time_ms log_poll_wait = 2000;
    time_ms log_timeout = 3000;
    /** Pause after a read that returned records, so that one read covers a series of changes. */
    time_ms log_read_pause = 0;
    /** The same pause for daemons that read the log when records are advertised; it counts from
        the start of the read. */
    time_ms log_advertised_read_pause = 0;
    /** Number of daemons in a failure domain, or in each of its localities, that poll the log; the
        others learn of records from them. */
    int log_readers = 2;
    /** Whether log readers push new records; otherwise they advertise them and the others read. */
    bool log_push_records = true;
    time_ms snapshot_interval = 300000;
    std::vector<endpoint> seeds;
    /** Whether this is the only failure domain, so that no others are discovered. */
    bool single_domain = false;

    time_ms lease = 2000;
    int max_slots = 1000;
    int max_connections = 1000;
    time_ms queue_wait = 200;
    std::string balancing = "least_loaded";

    sidecar_settings sidecar;
    intake_settings intake;

    bool operator==(const settings&) const = default;
};

/** Description of one setting for --list-settings. */
struct setting_help
{
    std::string section;
    std::string key;
    std::string unit;
    std::string default_value;
    std::string description;
};

/** Reads and validates a settings file; unknown sections and keys are errors. */
std::optional<settings> load_settings(const std::string& path, error& reason);

/** Parses and validates settings given as INI text. */
std::optional<settings> parse_settings(std::string_view text, error& reason);

/** Lists all settings with their defaults and descriptions. */
std::vector<setting_help> list_settings();

/** Parses a duration: a plain number of milliseconds, or a number with the unit ms or s. */
std::optional<time_ms> parse_duration(std::string_view text);

/** Parses "address:port" with an IPv4 address and a port above 0. */
std::optional<endpoint> parse_endpoint(std::string_view text);

/** Formats the endpoint as "address:port". */
std::string to_string(const endpoint& value);

} // namespace sardinepoint
