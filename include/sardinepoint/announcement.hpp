#pragma once

#include "sardinepoint/core.hpp"
#include "sardinepoint/membership.hpp"
#include "sardinepoint/settings.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sardinepoint
{

/** What an upstream says about itself. */
struct upstream_announcement
{
    /** Names one start of the upstream, mostly. */
    std::string instance;
    /** Wall clock in milliseconds at which the upstream started. */
    std::uint64_t incarnation = 0;
    /** Rises with each announcement of one start. */
    std::uint64_t sequence = 0;
    std::string service;
    std::string version;
    endpoint address;
    std::string locality;
    int slots = 0;
    upstream_state state = upstream_state::up;
    /** How much longer the upstream is slow after its start. */
    time_ms cold_time_left = 0;
};

/** An upstream that has told the daemon that it leaves. */
struct departure
{
    std::string instance;
    /** Starts of the upstream up to this wall clock time, in milliseconds, have left. */
    std::uint64_t incarnation = 0;
    /** Steady time. */
    time_ms left_at = 0;
};

/** Whether an announcement comes from a start of an upstream that has left. */
bool is_from_departed_instance(const std::optional<departure>& departed,
                               const upstream_announcement& announced, time_ms now);

enum class announcement_verdict
{
    /** Another start than the one known. */
    new_incarnation,
    refreshed,
    /** Overtaken by a later one; acknowledged without an effect. */
    outdated,
    rejected,
};

std::string_view to_string(announcement_verdict verdict);

/** Judges an announcement against the last one that was taken, if any. */
announcement_verdict classify_announcement(const std::optional<upstream_announcement>& known,
                                           const upstream_announcement& announced,
                                           const sidecar_settings& config, error& reason);

} // namespace sardinepoint
