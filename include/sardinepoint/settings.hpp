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
 * Settings of a daemon that serves the callers of its own VM. Without `outbound` the daemon
 * serves callers on its data port only.
 */
struct sidecar_settings
{
    /** Where callers of this VM send their calls. */
    std::optional<endpoint> outbound;
    /** Where readiness is asked for. */
    std::optional<endpoint> readiness;
    /** Where the upstream of this VM announces itself. */
    std::optional<endpoint> announcements;
    /** The upstream of this VM and its service. */
    std::optional<endpoint> upstream;
    std::string service;
    /** Part of the failure domain; upstreams in the same locality are preferred. */
    std::string locality;
    /** Time between two announcements of the upstream. */
    time_ms announce_interval = 1500;
    /** Calls sent to an upstream again, as a part of the service's calls in a window. */
    double retry_ratio = 0.2;
    time_ms retry_window = 10000;
    /** Retries that all daemons together may add to that in a window. */
    int retry_extra = 64;

    bool operator==(const sidecar_settings&) const = default;
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
    /** Ports told to peers; 0 means the ports listened on. */
    std::uint16_t advertised_data_port = 0;
    std::uint16_t advertised_control_port = 0;
    time_ms shutdown_timeout = 10000;
    int memory_mb = 256;
    /** Name in registry<platform_adapter>. */
    std::string platform = "standin";
    log_level level = log_level::info;

    endpoint log;
    time_ms log_poll_wait = 2000;
    time_ms log_timeout = 3000;
    /** Pause after a read that brought records, so that a series of changes is one read. */
    time_ms log_read_pause = 0;
    /** The same for daemons that read when a reader tells them of records. */
    time_ms log_advertised_read_pause = 0;
    /** Daemons of a failure domain, or of each of its localities, that follow the log; the others
        hear of records from them. */
    int log_readers = 2;
    /** Whether the readers push new records; else they tell the others, who read them then. */
    bool log_push_records = true;
    time_ms snapshot_interval = 300000;
    std::vector<endpoint> seeds;
    /** Whether there are no other failure domains to look for. */
    bool single_domain = false;

    time_ms lease = 2000;
    int max_slots = 1000;
    int max_connections = 1000;
    time_ms queue_wait = 200;
    std::string balancing = "least_loaded";

    sidecar_settings sidecar;

    bool operator==(const settings&) const = default;
};

/** One line of the settings table. */
struct setting_help
{
    std::string section;
    std::string key;
    std::string unit;
    std::string default_value;
    std::string description;
};

/** Reads and checks a settings file; unknown sections and keys are errors. */
std::optional<settings> load_settings(const std::string& path, error& reason);

/** Checks settings given as INI text. */
std::optional<settings> parse_settings(std::string_view text, error& reason);

/** All settings with their defaults and meanings. */
std::vector<setting_help> list_settings();

/** Milliseconds as a plain number, or a number with the unit ms or s. */
std::optional<time_ms> parse_duration(std::string_view text);

/** Parses "address:port". */
std::optional<endpoint> parse_endpoint(std::string_view text);

/** The endpoint as "address:port". */
std::string to_string(const endpoint& value);

} // namespace sardinepoint
