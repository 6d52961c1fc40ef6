#pragma once

#include "sardinepoint/core.hpp"

#include <cstdint>
#include <functional>
#include <memory>

namespace sardinepoint
{

/** Single-threaded event loop based on epoll. Timers and signals are handled by ACE. */
class event_loop;

struct event_loop_deleter
{
    void operator()(event_loop* loop) const;
};

using event_loop_ptr = std::unique_ptr<event_loop, event_loop_deleter>;

/** Identifies a scheduled timer. Values are never reused. */
struct timer_id
{
    std::uint64_t value = 0;
};

/** The events to watch on a file descriptor, or those that are ready. */
struct io_interest
{
    bool read = false;
    bool write = false;
};

/** Order in which ready descriptors are dispatched. */
enum class io_priority
{
    normal,
    /**
     * Dispatched, together with due timers, between two callbacks of normal descriptors once these
     * have run for 5 ms, or for as long as the last urgent dispatch took if that is longer. For
     * messages that must not wait behind a backlog of calls.
     */
    urgent,
};

using io_callback = std::function<void(io_interest ready)>;

event_loop_ptr make_event_loop();

/** Runs until stop() is called. */
void run(event_loop& loop);

/** Makes run() return after the current event. */
void stop(event_loop& loop);

/** Lets run() be called again after stop(). */
void resume(event_loop& loop);

/** Calls the function once after the delay. */
timer_id run_after(event_loop& loop, time_ms delay, std::function<void()> callback);

/** Calls the function repeatedly, first after one interval. */
timer_id run_every(event_loop& loop, time_ms interval, std::function<void()> callback);

/** Cancels a timer. Expired and unknown timers are ignored. */
void cancel_timer(event_loop& loop, timer_id id);

/** Watches a file descriptor, replacing any earlier watch on it. */
void watch_fd(event_loop& loop, int fd, io_interest interest, io_callback callback,
              io_priority priority = io_priority::normal);

/** Stops watching a file descriptor. */
void unwatch_fd(event_loop& loop, int fd);

/** Identifies a function registered with add_wait_limit(). */
struct wait_limit_id
{
    std::uint64_t value = 0;
};

/**
 * Registers a function that is called before each wait and returns the longest allowed wait in
 * milliseconds, or -1 for no limit.
 */
wait_limit_id add_wait_limit(event_loop& loop, std::function<time_ms()> limit);

void remove_wait_limit(event_loop& loop, wait_limit_id id);

/** Calls the function on SIGTERM and SIGINT. */
void on_terminate(event_loop& loop, std::function<void()> callback);

/** Calls the function on SIGHUP. */
void on_reload(event_loop& loop, std::function<void()> callback);

/**
 * Calls the function after each iteration of the loop with the time spent in callbacks, in
 * microseconds.
 */
void on_iteration(event_loop& loop, std::function<void(std::int64_t busy_us)> callback);

/**
 * Earliest time at which the descriptors being dispatched may have become ready, in microseconds on
 * the steady clock. It precedes the current time by at least the lag of the loop.
 */
std::int64_t ready_since_us(const event_loop& loop);

/** Wall clock, milliseconds since the Unix epoch. */
time_ms wall_now();

/** Monotonic clock in milliseconds. */
time_ms steady_now();

/** Monotonic clock in microseconds, for latency measurements. */
std::int64_t steady_now_us();

} // namespace sardinepoint
