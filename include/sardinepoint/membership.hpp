#pragma once

#include "sardinepoint/core.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace sardinepoint
{

enum class upstream_state
{
    up,
    draining,
    left,
};

/** An upstream as its daemon describes it to others. Load travels on answers, not here. */
struct upstream_record
{
    std::string service;
    std::string version;
    std::string address;
    std::uint16_t port = 0;
    int slots = 0;
    int connections = 0;
    upstream_state state = upstream_state::up;
};

/** Later values go before earlier ones for one incarnation and sequence. */
enum class member_state
{
    alive,
    suspect,
    leaving,
    dead,
};

/** A daemon as it describes itself; only suspicion and death are written by others. */
struct member_record
{
    std::string id;
    /** Wall clock in milliseconds at which the process started. */
    std::uint64_t incarnation = 0;
    /** Raised by the daemon for each change of its record. */
    std::uint64_t sequence = 0;
    std::string domain;
    std::string region;
    std::string address;
    std::uint16_t data_port = 0;
    std::uint16_t control_port = 0;
    /** Log offset and configuration version that the daemon has served. */
    std::uint64_t served_offset = 0;
    std::uint64_t served_version = 0;
    member_state state = member_state::alive;
    std::vector<upstream_record> upstreams;
};

} // namespace sardinepoint
