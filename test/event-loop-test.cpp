#define BOOST_TEST_MODULE event_loop
#include <boost/test/unit_test.hpp>

#include "rig/loop.hpp"

#include "sardinepoint/event_loop.hpp"

#include <array>
#include <chrono>
#include <thread>
#include <vector>

#include <sys/socket.h>
#include <unistd.h>

using namespace sardinepoint;

namespace
{

constexpr time_ms test_limit_ms = 2000;

/** A connected socket pair. The loop watches the first end. */
struct socket_pair
{
    std::array<int, 2> ends{-1, -1};

    socket_pair()
    {
        BOOST_REQUIRE_EQUAL(::socketpair(AF_UNIX, SOCK_STREAM, 0, this->ends.data()), 0);
    }

    void close_both()
    {
        ::close(this->ends[0]);
        ::close(this->ends[1]);
    }

    void send_byte() const
    {
        BOOST_REQUIRE_EQUAL(::write(this->ends[1], "x", 1), 1);
    }
};

} // namespace

// Guards against events dispatched to a destroyed callback of an earlier watch: libcurl closes
// descriptors before it reports their removal, and the kernel reuses their numbers.
BOOST_AUTO_TEST_CASE(descriptor_closed_before_its_removal_can_be_used_again)
{
    const event_loop_ptr loop = make_event_loop();
    constexpr int rounds = 50;
    int first_calls = 0;
    int second_calls = 0;
    for (int round = 0; round < rounds; ++round)
    {
        socket_pair first;
        watch_fd(*loop, first.ends[0], {.read = true},
                 [&, guard = std::string(64, 'g')](io_interest)
                 { first_calls += guard.empty() ? 2 : 1; });
        const int closed_fd = first.ends[0];
        first.close_both();
        unwatch_fd(*loop, closed_fd);
        // Runs the loop so that it releases what belongs to the removed watch.
        rig::run_for(*loop, 1);

        socket_pair second;
        BOOST_REQUIRE_EQUAL(second.ends[0], closed_fd);
        watch_fd(*loop, second.ends[0], {.read = true},
                 [&](io_interest)
                 {
                     ++second_calls;
                     stop(*loop);
                 });
        second.send_byte();
        const timer_id limit = run_after(*loop, test_limit_ms, [&] { stop(*loop); });
        run(*loop);
        resume(*loop);
        cancel_timer(*loop, limit);
        unwatch_fd(*loop, second.ends[0]);
        second.close_both();
    }
    BOOST_TEST(first_calls == 0);
    BOOST_TEST(second_calls == rounds);
}

// Guards against a callback being destroyed while it runs, which happens when it replaces its
// watch.
BOOST_AUTO_TEST_CASE(callback_may_replace_itself)
{
    const event_loop_ptr loop = make_event_loop();
    socket_pair pair;
    int replaced_calls = 0;
    const std::string text(100, 't');
    watch_fd(*loop, pair.ends[0], {.read = true},
             [&, text](io_interest)
             {
                 watch_fd(*loop, pair.ends[0], {.read = true},
                          [&](io_interest)
                          {
                              ++replaced_calls;
                              stop(*loop);
                          });
                 BOOST_TEST(text.size() == 100U);
             });
    pair.send_byte();
    run(*loop);
    BOOST_TEST(replaced_calls == 1);
    unwatch_fd(*loop, pair.ends[0]);
    pair.close_both();
}

// Guards against messages between daemons being delayed by a backlog of calls, which delayed new
// configurations without a bound.
BOOST_AUTO_TEST_CASE(urgent_descriptors_and_timers_are_served_amid_a_backlog)
{
    const event_loop_ptr loop = make_event_loop();
    constexpr std::size_t backlog = 100;
    constexpr int ready_at_call = 10;
    // Longer than the interval at which urgent descriptors are checked.
    constexpr std::chrono::milliseconds call_time{6};
    std::vector<socket_pair> pairs(backlog);
    const socket_pair urgent;
    int calls = 0;
    int calls_before_urgent = 0;
    int calls_before_timer = 0;
    for (const socket_pair& pair : pairs)
    {
        pair.send_byte();
        watch_fd(*loop, pair.ends[0], {.read = true},
                 [&](io_interest)
                 {
                     std::this_thread::sleep_for(call_time);
                     if (++calls == ready_at_call)
                     {
                         urgent.send_byte();
                         run_after(*loop, 0, [&] { calls_before_timer = calls - ready_at_call; });
                     }
                 });
    }
    watch_fd(
        *loop, urgent.ends[0], {.read = true},
        [&](io_interest)
        {
            calls_before_urgent = calls - ready_at_call;
            stop(*loop);
        },
        io_priority::urgent);
    run(*loop);
    BOOST_TEST(calls_before_urgent <= 1);
    BOOST_TEST(calls_before_timer <= 2);
    for (socket_pair& pair : pairs)
    {
        unwatch_fd(*loop, pair.ends[0]);
        pair.close_both();
    }
}

// Guards against calls being starved by an endless stream of control messages.
BOOST_AUTO_TEST_CASE(urgent_descriptors_leave_half_of_the_time)
{
    const event_loop_ptr loop = make_event_loop();
    constexpr int urgent_passes = 20;
    constexpr std::chrono::milliseconds urgent_time{10};
    constexpr std::chrono::milliseconds call_time{1};
    const socket_pair urgent;
    std::chrono::steady_clock::duration total_call_time{};
    std::chrono::steady_clock::duration total_urgent_time{};
    int passes = 0;
    urgent.send_byte();
    const auto measure_sleep = [](std::chrono::milliseconds time)
    {
        const auto start = std::chrono::steady_clock::now();
        std::this_thread::sleep_for(time);
        return std::chrono::steady_clock::now() - start;
    };
    std::vector<socket_pair> backlog(50);
    for (const socket_pair& pair : backlog)
    {
        pair.send_byte();
        watch_fd(*loop, pair.ends[0], {.read = true},
                 [&](io_interest) { total_call_time += measure_sleep(call_time); });
    }
    watch_fd(
        *loop, urgent.ends[0], {.read = true},
        [&](io_interest)
        {
            // Not counted, since no calls are dispatched after the last urgent callback.
            if (++passes == urgent_passes)
            {
                stop(*loop);
                return;
            }
            total_urgent_time += measure_sleep(urgent_time);
        },
        io_priority::urgent);
    run(*loop);
    // Tolerates the overhead of the loop, which counts against the calls' half.
    constexpr int percent = 90;
    BOOST_TEST(total_call_time.count() * 100 >= total_urgent_time.count() * percent);
    unwatch_fd(*loop, urgent.ends[0]);
    for (socket_pair& pair : backlog)
    {
        unwatch_fd(*loop, pair.ends[0]);
        pair.close_both();
    }
}
