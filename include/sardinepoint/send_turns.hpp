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

/** How large answers take turns on the link of this VM. */
struct turn_options
{
    /** Answers that are sent at the same time. One alone can't fill the link while its receiver's
     * link is busy; each further one adds its send window to what small answers wait behind. */
    std::size_t max_active = 2;
    /** An answer of which nothing could be sent for this long doesn't keep others waiting. Less
     * than the time after which a daemon that sends nothing is probed. */
    time_ms stall_timeout = 200;
};

/** An answer from its first byte or its wait for one to its last. Times are steady. */
struct send_turn
{
    std::uint64_t id = 0;
    bool active = false;
    /** When bytes of it were last sent, or its turn began. */
    time_ms progress_at = 0;
};

/** Turns in the order in which they were asked for. */
struct turn_table
{
    turn_options options;
    std::vector<send_turn> turns;
    std::uint64_t last_id = 0;
};

/** Adds an answer that waits for its turn. */
std::uint64_t add_turn(turn_table& table);

/** Begins the turns that may begin now; returns them. */
std::vector<std::uint64_t> start_turns(turn_table& table, time_ms now);

bool is_active(const turn_table& table, std::uint64_t id);
void record_progress(turn_table& table, std::uint64_t id, time_ms now);
void end_turn(turn_table& table, std::uint64_t id);

/** Turns of all listeners of one daemon, which share its link. */
struct send_turns
{
    event_loop* loop = nullptr;
    turn_table table;
    /** Called when the turn of an answer that waits begins. */
    std::map<std::uint64_t, std::function<void()>> waiting;
    /** Set while an answer waits: looks for turns that have stalled. */
    std::optional<timer_id> check;
};

/** Asks for a turn; `begin` is called later unless it begins at once. */
std::uint64_t request_turn(send_turns& turns, std::function<void()> begin);

/** Ends a turn or the wait for one. */
void release_turn(send_turns& turns, std::uint64_t id);

} // namespace sardinepoint
