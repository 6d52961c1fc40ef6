#include "sardinepoint/send_turns.hpp"

#include <algorithm>
#include <utility>

namespace sardinepoint
{

namespace
{

send_turn* find_turn(turn_table& table, std::uint64_t id)
{
    const auto found = std::find_if(table.turns.begin(), table.turns.end(),
                                    [id](const send_turn& turn) { return turn.id == id; });
    return found == table.turns.end() ? nullptr : &*found;
}

void check_turns(send_turns& turns);

/** Schedules another check while a response waits. */
void schedule_check(send_turns& turns)
{
    if (turns.check || turns.waiting.empty())
    {
        return;
    }
    turns.check = run_after(*turns.loop, turns.table.options.stall_timeout / 2,
                            [&turns]
                            {
                                turns.check.reset();
                                check_turns(turns);
                            });
}

void check_turns(send_turns& turns)
{
    for (const std::uint64_t id : start_turns(turns.table, steady_now()))
    {
        auto entry = turns.waiting.extract(id);
        if (!entry.empty())
        {
            // Deferred, since the caller may be in the middle of sending another response.
            run_after(*turns.loop, 0, std::move(entry.mapped()));
        }
    }
    schedule_check(turns);
}

} // namespace

std::uint64_t add_turn(turn_table& table)
{
    table.turns.push_back({.id = ++table.last_id});
    return table.last_id;
}

std::vector<std::uint64_t> start_turns(turn_table& table, time_ms now)
{
    auto sending = static_cast<std::size_t>(std::count_if(
        table.turns.begin(), table.turns.end(),
        [&](const send_turn& turn)
        { return turn.active && now - turn.progress_at < table.options.stall_timeout; }));
    std::vector<std::uint64_t> started;
    for (send_turn& turn : table.turns)
    {
        if (sending >= table.options.max_active)
        {
            break;
        }
        if (!turn.active)
        {
            turn.active = true;
            turn.progress_at = now;
            started.push_back(turn.id);
            ++sending;
        }
    }
    return started;
}

bool is_active(const turn_table& table, std::uint64_t id)
{
    return std::any_of(table.turns.begin(), table.turns.end(),
                       [id](const send_turn& turn) { return turn.id == id && turn.active; });
}

void record_progress(turn_table& table, std::uint64_t id, time_ms now)
{
    if (send_turn* turn = find_turn(table, id))
    {
        turn->progress_at = now;
    }
}

void end_turn(turn_table& table, std::uint64_t id)
{
    std::erase_if(table.turns, [id](const send_turn& turn) { return turn.id == id; });
}

std::uint64_t request_turn(send_turns& turns, std::function<void()> on_start)
{
    const std::uint64_t id = add_turn(turns.table);
    check_turns(turns);
    if (!is_active(turns.table, id))
    {
        turns.waiting[id] = std::move(on_start);
        schedule_check(turns);
    }
    return id;
}

void release_turn(send_turns& turns, std::uint64_t id)
{
    end_turn(turns.table, id);
    turns.waiting.erase(id);
    check_turns(turns);
}

} // namespace sardinepoint
