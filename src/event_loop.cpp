#include "sardinepoint/event_loop.hpp"

#include <ace/Dev_Poll_Reactor.h>
#include <ace/Event_Handler.h>
#include <ace/Reactor.h>
#include <ace/Recursive_Thread_Mutex.h>
#include <ace/Time_Value.h>
#include <ace/Timer_Heap.h>

#include <chrono>
#include <csignal>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

namespace sardinepoint
{

namespace
{

constexpr time_ms longest_wait_ms = 1000;
// epoll waits whole milliseconds. Without the skew the reactor polled through the last part of a
// millisecond before each timer, which took 17% of a core in an idle daemon.
constexpr suseconds_t timer_skew_us = 999;

ACE_Time_Value to_time_value(time_ms duration)
{
    constexpr time_ms ms_per_second = 1000;
    constexpr time_ms us_per_ms = 1000;
    return ACE_Time_Value(duration / ms_per_second,
                          static_cast<suseconds_t>((duration % ms_per_second) * us_per_ms));
}

ACE_Reactor_Mask to_mask(io_interest interest)
{
    ACE_Reactor_Mask mask = ACE_Event_Handler::NULL_MASK;
    if (interest.read)
    {
        mask |= ACE_Event_Handler::READ_MASK;
    }
    if (interest.write)
    {
        mask |= ACE_Event_Handler::WRITE_MASK;
    }
    return mask;
}

class io_handler : public ACE_Event_Handler
{
public:
    explicit io_handler(io_callback callback) : callback(std::move(callback)) {}

    int handle_input(ACE_HANDLE) override
    {
        this->callback({.read = true, .write = false});
        return 0;
    }

    int handle_output(ACE_HANDLE) override
    {
        this->callback({.read = false, .write = true});
        return 0;
    }

private:
    io_callback callback;
};

class timer_handler : public ACE_Event_Handler
{
public:
    explicit timer_handler(std::function<void()> callback) : callback(std::move(callback)) {}

    int handle_timeout(const ACE_Time_Value&, const void*) override
    {
        this->callback();
        return 0;
    }

private:
    std::function<void()> callback;
};

class signal_handler : public ACE_Event_Handler
{
public:
    int handle_signal(int, siginfo_t*, ucontext_t*) override
    {
        this->raised = 1;
        return 0;
    }

    volatile std::sig_atomic_t raised = 0;
};

struct timer_entry
{
    long reactor_id = -1;
    std::unique_ptr<timer_handler> handler;
};

} // namespace

class event_loop
{
public:
    ACE_Timer_Heap timer_queue;
    ACE_Dev_Poll_Reactor implementation{nullptr, &this->timer_queue};
    ACE_Reactor reactor{&this->implementation};
    std::unordered_map<std::uint64_t, timer_entry> timers;
    std::unordered_map<int, std::unique_ptr<io_handler>> watches;
    // The reactor may still touch a handler after its callback removed it, so handlers are
    // destroyed only between two iterations.
    std::vector<std::unique_ptr<ACE_Event_Handler>> retired;
    std::map<std::uint64_t, std::function<time_ms()>> wait_limits;
    signal_handler terminate_signal;
    std::function<void()> terminate_callback;
    std::uint64_t last_timer = 0;
    std::uint64_t last_wait_limit = 0;
    bool stopped = false;
};

void event_loop_deleter::operator()(event_loop* loop) const
{
    for (auto& [fd, handler] : loop->watches)
    {
        loop->reactor.remove_handler(fd, ACE_Event_Handler::ALL_EVENTS_MASK |
                                             ACE_Event_Handler::DONT_CALL);
    }
    for (auto& [id, entry] : loop->timers)
    {
        loop->reactor.cancel_timer(entry.reactor_id);
    }
    delete loop;
}

event_loop_ptr make_event_loop()
{
    event_loop_ptr loop(new event_loop);
    loop->timer_queue.timer_skew(ACE_Time_Value(0, timer_skew_us));
    return loop;
}

void stop(event_loop& loop)
{
    loop.stopped = true;
}

void run(event_loop& loop)
{
    while (!loop.stopped)
    {
        time_ms wait = longest_wait_ms;
        for (const auto& [id, limit] : loop.wait_limits)
        {
            const time_ms allowed = limit();
            if (allowed >= 0 && allowed < wait)
            {
                wait = allowed;
            }
        }
        ACE_Time_Value timeout = to_time_value(wait);
        loop.reactor.handle_events(timeout);
        loop.retired.clear();
        if (loop.terminate_signal.raised != 0)
        {
            loop.terminate_signal.raised = 0;
            loop.terminate_callback();
        }
    }
}

timer_id run_after(event_loop& loop, time_ms delay, std::function<void()> callback)
{
    const std::uint64_t id = ++loop.last_timer;
    auto handler = std::make_unique<timer_handler>(
        [&loop, id, callback = std::move(callback)]
        {
            auto entry = loop.timers.extract(id);
            if (!entry.empty())
            {
                loop.retired.push_back(std::move(entry.mapped().handler));
            }
            callback();
        });
    // The skew lets a timer run early; this one must not.
    const ACE_Time_Value skew(0, delay > 0 ? timer_skew_us : 0);
    const long reactor_id =
        loop.reactor.schedule_timer(handler.get(), nullptr, to_time_value(delay) + skew);
    loop.timers[id] = {reactor_id, std::move(handler)};
    return {id};
}

timer_id run_every(event_loop& loop, time_ms interval, std::function<void()> callback)
{
    const std::uint64_t id = ++loop.last_timer;
    auto handler = std::make_unique<timer_handler>(std::move(callback));
    const ACE_Time_Value period = to_time_value(interval);
    const long reactor_id = loop.reactor.schedule_timer(handler.get(), nullptr, period, period);
    loop.timers[id] = {reactor_id, std::move(handler)};
    return {id};
}

void cancel_timer(event_loop& loop, timer_id id)
{
    auto entry = loop.timers.extract(id.value);
    if (entry.empty())
    {
        return;
    }
    loop.reactor.cancel_timer(entry.mapped().reactor_id);
    loop.retired.push_back(std::move(entry.mapped().handler));
}

void watch_fd(event_loop& loop, int fd, io_interest interest, io_callback callback)
{
    unwatch_fd(loop, fd);
    auto handler = std::make_unique<io_handler>(std::move(callback));
    loop.reactor.register_handler(fd, handler.get(), to_mask(interest));
    loop.watches[fd] = std::move(handler);
}

void unwatch_fd(event_loop& loop, int fd)
{
    auto entry = loop.watches.extract(fd);
    if (entry.empty())
    {
        return;
    }
    loop.reactor.remove_handler(fd,
                                ACE_Event_Handler::ALL_EVENTS_MASK | ACE_Event_Handler::DONT_CALL);
    loop.retired.push_back(std::move(entry.mapped()));
}

wait_limit_id add_wait_limit(event_loop& loop, std::function<time_ms()> limit)
{
    const std::uint64_t id = ++loop.last_wait_limit;
    loop.wait_limits[id] = std::move(limit);
    return {id};
}

void remove_wait_limit(event_loop& loop, wait_limit_id id)
{
    loop.wait_limits.erase(id.value);
}

void on_terminate(event_loop& loop, std::function<void()> callback)
{
    loop.terminate_callback = std::move(callback);
    loop.reactor.register_handler(SIGTERM, &loop.terminate_signal);
    loop.reactor.register_handler(SIGINT, &loop.terminate_signal);
    std::signal(SIGPIPE, SIG_IGN);
}

time_ms wall_now()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

time_ms steady_now()
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

std::int64_t steady_now_us()
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

} // namespace sardinepoint
