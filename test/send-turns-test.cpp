#define BOOST_TEST_MODULE send_turns
#include <boost/test/unit_test.hpp>

#include "rig/loop.hpp"

#include "sardinepoint/send_turns.hpp"

#include <algorithm>
#include <vector>

using namespace sardinepoint;

namespace
{

using ids = std::vector<std::uint64_t>;

} // namespace

// Guards against turns that overtake others or exceed the limit.
BOOST_AUTO_TEST_CASE(turns_start_in_the_order_of_the_requests)
{
    turn_table table{.options = {.max_active = 2, .stall_timeout = 200}};
    const std::uint64_t first = add_turn(table);
    const std::uint64_t second = add_turn(table);
    const std::uint64_t third = add_turn(table);
    const std::uint64_t fourth = add_turn(table);
    BOOST_TEST((start_turns(table, 0) == ids{first, second}));
    BOOST_TEST(!is_active(table, third));
    BOOST_TEST(start_turns(table, 1).empty());
    end_turn(table, second);
    BOOST_TEST((start_turns(table, 2) == ids{third}));
    end_turn(table, first);
    end_turn(table, third);
    BOOST_TEST((start_turns(table, 3) == ids{fourth}));
}

// Guards against a receiver that reads nothing or was disconnected and keeps all others waiting.
BOOST_AUTO_TEST_CASE(stalled_turns_do_not_block_others)
{
    turn_table table{.options = {.max_active = 1, .stall_timeout = 200}};
    const std::uint64_t stalled = add_turn(table);
    const std::uint64_t next = add_turn(table);
    const std::uint64_t last = add_turn(table);
    BOOST_TEST((start_turns(table, 0) == ids{stalled}));
    record_progress(table, stalled, 100);
    BOOST_TEST(start_turns(table, 299).empty());
    BOOST_TEST((start_turns(table, 300) == ids{next}));
    // It continues when its receiver reads again, and counts as active from then on.
    BOOST_TEST(is_active(table, stalled));
    record_progress(table, stalled, 400);
    end_turn(table, next);
    BOOST_TEST(start_turns(table, 401).empty());
    end_turn(table, stalled);
    BOOST_TEST((start_turns(table, 402) == ids{last}));
}

// Guards against waiting responses that are never sent, and against calling one that was cancelled.
BOOST_AUTO_TEST_CASE(waiting_turns_are_called_when_they_start)
{
    const event_loop_ptr loop = make_event_loop();
    send_turns turns{.loop = loop.get(),
                     .table = {.options = {.max_active = 1, .stall_timeout = 50}}};
    int started = 0;
    const std::uint64_t first = request_turn(turns, [&] { started += 100; });
    BOOST_TEST(is_active(turns.table, first));
    const std::uint64_t second = request_turn(turns, [&] { ++started; });
    const std::uint64_t third = request_turn(turns, [&] { ++started; });
    release_turn(turns, second);
    BOOST_TEST(started == 0);
    // The first one makes no progress.
    BOOST_TEST(rig::run_until(*loop, 1000, [&] { return started == 1; }));
    BOOST_TEST(is_active(turns.table, third));
}

// Guards against small responses that wait behind large ones: a response of 400 bytes took 0.5 s
// and more while ten responses of 280 KB shared a link of 15 Mbit/s. Simulates that load with a
// virtual clock: each connection has up to 64 KB in flight, and the link sends in order of arrival.
BOOST_AUTO_TEST_CASE(small_responses_overtake_large_ones_on_a_slow_link)
{
    static constexpr double link_bytes_per_ms = 1875;
    static constexpr double window = 65'536;
    static constexpr double large = 280'000;
    static constexpr int downloads = 10;
    const auto small_response_wait = [](std::size_t max_active)
    {
        turn_table table{.options = {.max_active = max_active}};
        std::vector<double> left(downloads, large);
        for (int i = 0; i < downloads; ++i)
        {
            add_turn(table);
        }
        double longest = 0;
        for (time_ms now = 0; !table.turns.empty(); now += 10)
        {
            start_turns(table, now);
            double queued = 0;
            for (const send_turn& turn : table.turns)
            {
                queued += turn.active ? std::min(window, left[turn.id - 1]) : 0;
            }
            longest = std::max(longest, queued / link_bytes_per_ms);
            double sent = 10 * link_bytes_per_ms;
            for (const send_turn turn : std::vector(table.turns))
            {
                if (turn.active && sent > 0)
                {
                    const double sent_bytes = std::min(sent, left[turn.id - 1]);
                    left[turn.id - 1] -= sent_bytes;
                    sent -= sent_bytes;
                    record_progress(table, turn.id, now);
                }
                if (left[turn.id - 1] <= 0)
                {
                    end_turn(table, turn.id);
                }
            }
        }
        return longest;
    };
    BOOST_TEST(small_response_wait(downloads) > 300);
    BOOST_TEST(small_response_wait(turn_options{}.max_active) < 100);
}
