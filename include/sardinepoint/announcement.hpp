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

/** Self-description that an upstream sends to the daemon of its VM at regular intervals. */
struct upstream_announcement
{
    /** Usually unique to one start of the upstream; some upstreams keep it over restarts. */
    std::string instance;
    /** Wall clock time in milliseconds at which the upstream started; 0 if unknown. */
    std::uint64_t incarnation = 0;
    /** Increases with each announcement of the same incarnation. */
    std::uint64_t sequence = 0;
    std::string service;
    std::string version;
    endpoint address;
    std::string locality;
    int slots = 0;
    upstream_state state = upstream_state::up;
    /** Remaining warm-up time, during which the upstream is slower than usual. */
    time_ms cold_time_left = 0;
};

/** An upstream that has deregistered. */
struct departure
{
    std::string instance;
    /** All incarnations up to this wall clock time, in milliseconds, have left. */
    std::uint64_t incarnation = 0;
    /** Steady time of the deregistration. */
    time_ms left_at = 0;
};

/** Whether an announcement comes from an incarnation that has deregistered. */
bool is_from_departed_instance(const std::optional<departure>& departed,
                               const upstream_announcement& announced, time_ms now);

enum class announcement_verdict
{
    /** From another instance, or a later start of the known one. */
    new_incarnation,
    refreshed,
    /** Older than the accepted one; acknowledged without effect. */
    outdated,
    rejected,
};

std::string_view to_string(announcement_verdict verdict);

/** Classifies an announcement relative to the last accepted one, if any. The reason is set if it is
 * rejected. */
announcement_verdict classify_announcement(const std::optional<upstream_announcement>& known,
                                           const upstream_announcement& announced,
                                           const sidecar_settings& config, error& reason);

} // namespace sardinepoint
