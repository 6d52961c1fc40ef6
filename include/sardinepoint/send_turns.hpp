#pragma once

#include "sardinepoint/core.hpp"
#include "sardinepoint/event_loop.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace sardinepoint
{

/** Limits on large responses, which take turns in using the network link of this VM. */
struct turn_options
{
    /**
     * Maximum number of responses that are sent at the same time. A single one can't fill the link
     * while its receiver's link is busy; each additional one adds its send window to the data that
     * small responses wait behind.
     */
    std::size_t max_active = 2;
    /**
     * A response that made no progress for this long doesn't keep others waiting. Shorter than the
     * time after which a daemon that sends nothing is probed.
     */
    time_ms stall_timeout = 200;
};

/** A response that waits to be sent or is being sent. Times are steady. */
struct send_turn
{
    std::uint64_t id = 0;
    bool active = false;
    /** When bytes of the response were last sent, or its turn started. */
    time_ms progress_at = 0;
};

/** Turns in the order in which they were requested. */
struct turn_table
{
    turn_options options;
    std::vector<send_turn> turns;
    std::uint64_t last_id = 0;
};

/** Adds a response that waits for its turn. */
std::uint64_t add_turn(turn_table& table);

/** Starts as many waiting turns as allowed and returns them. */
std::vector<std::uint64_t> start_turns(turn_table& table, time_ms now);

bool is_active(const turn_table& table, std::uint64_t id);
void record_progress(turn_table& table, std::uint64_t id, time_ms now);
void end_turn(turn_table& table, std::uint64_t id);

/** Turns of all listeners of one daemon, which share its link. */
struct send_turns
{
    event_loop* loop = nullptr;
    turn_table table;
    /** Called when the turn of a waiting response starts. */
    std::map<std::uint64_t, std::function<void()>> waiting;
    /** Set while a response waits; looks for stalled turns. */
    std::optional<timer_id> check;
};

/** Requests a turn. If it doesn't start at once, `on_start` is called later. */
std::uint64_t request_turn(send_turns& turns, std::function<void()> on_start);

/** Ends a turn or the wait for it. */
void release_turn(send_turns& turns, std::uint64_t id);

} // namespace sardinepoint
