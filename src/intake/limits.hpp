#pragma once

#include "sardinepoint/core.hpp"
#include "sardinepoint/settings.hpp"

#include <cstddef>
#include <string>

namespace sardinepoint::intake
{

/** Bounds on the time of a transfer. A transfer that makes progress may take longer. */
struct pace_limits
{
    /** Time that any transfer may take. */
    time_ms grace = 30'000;
    /** Mean rate that extends this time. */
    std::size_t min_bytes_per_s = 4096;
    /** Longest time without any progress. */
    time_ms max_stall = 15'000;
};

/** A head or body that is being received, or a response that is being sent. */
struct transfer
{
    time_ms started_at = 0;
    time_ms progressed_at = 0;
    std::size_t bytes = 0;
};

bool is_too_slow(const transfer& value, const pace_limits& limits, time_ms now);

/** Limits of one listener. */
struct listener_limits
{
    /** Name in metrics and log lines. */
    std::string name;
    std::size_t max_connections = 0;
    /** Limit on the bytes that are held for all connections of the listener. */
    std::size_t max_bytes = 0;
    std::size_t max_fields = 0;
    pace_limits pace;
};

enum class listener_role
{
    /** Calls of callers or of other daemons. */
    calls,
    /** Peers, operators and metrics. */
    control,
    /** Readiness checks or announcements. */
    platform,
};

/** Limit on all bytes that peers make the process hold. */
std::size_t budget_bytes(const settings& config, std::size_t max_body_bytes);

/**
 * Limits of a listener. `descriptor_limit` is the operating system's limit for the process. The
 * shares of all listeners together leave descriptors for files and outgoing connections.
 */
listener_limits limits_of(const settings& config, listener_role role, std::string name,
                          std::size_t descriptor_limit, std::size_t budget);

/** Whether a declared length is larger than the limit on bodies. */
bool is_oversized(std::string_view content_length, std::size_t max_body_bytes);

} // namespace sardinepoint::intake
