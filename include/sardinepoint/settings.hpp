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
    log_level level = log_level::info;

    endpoint log;
    time_ms log_poll_wait = 2000;
    time_ms log_timeout = 3000;
    time_ms snapshot_interval = 300000;
    std::vector<endpoint> seeds;

    time_ms lease = 2000;
    int max_slots = 1000;
    int max_connections = 1000;
    time_ms queue_wait = 200;
    std::string balancing = "least_loaded";
};

/** One line of the settings table. */
struct setting_help
{
    std::string section;
    std::string key;
    std::string unit;
    std::string default_value;
    std::string meaning;
};

/** Reads and checks a settings file; unknown sections and keys are errors. */
std::optional<settings> load_settings(const std::string& path, error& reason);

/** Checks settings given as INI text. */
std::optional<settings> parse_settings(std::string_view text, error& reason);

/** All settings with their defaults and meanings. */
std::vector<setting_help> list_settings();

/** Parses "address:port". */
std::optional<endpoint> parse_endpoint(std::string_view text);

/** The endpoint as "address:port". */
std::string to_string(const endpoint& value);

} // namespace sardinepoint
