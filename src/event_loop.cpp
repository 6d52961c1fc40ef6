#include "sardinepoint/event_loop.hpp"

#include <ace/Event_Handler.h>
#include <ace/Recursive_Thread_Mutex.h>
#include <ace/Sig_Handler.h>
#include <ace/Time_Policy.h>
#include <ace/Time_Value.h>
#include <ace/Timer_Heap.h>

#include <sys/epoll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <map>
#include <stdexcept>
#include <unordered_map>
#include <utility>
#include <vector>

namespace sardinepoint
{

namespace
{

constexpr time_ms max_wait_ms = 1000;

constexpr int max_events_per_wait = 64;

// Between two checks of urgent descriptors and timers, normal descriptors are dispatched for this
// time plus at most one callback. The interval grows to the duration of the last urgent dispatch,
// so that normal descriptors get at least half of the time.
constexpr std::int64_t min_urgent_interval_us = 5000;

// A shorter wait found descriptors that were already ready when it started.
constexpr std::int64_t min_blocking_wait_us = 1000;
constexpr std::int64_t us_per_ms = 1000;

ACE_Time_Value to_time_value(time_ms duration)
{
    constexpr time_ms ms_per_second = 1000;
    constexpr time_ms us_per_ms = 1000;
    return ACE_Time_Value(duration / ms_per_second,
                          static_cast<suseconds_t>((duration % ms_per_second) * us_per_ms));
}

/** Clock of the timers. Monotonic, so that a wall clock jump neither fires nor delays them. */
ACE_Time_Value monotonic_time()
{
    constexpr std::int64_t us_per_second = 1'000'000;
    const std::int64_t now = steady_now_us();
    return ACE_Time_Value(now / us_per_second, static_cast<suseconds_t>(now % us_per_second));
}

std::uint32_t to_events(io_interest interest)
{
    return (interest.read ? EPOLLIN : 0U) | (interest.write ? EPOLLOUT : 0U);
}

/** Current watch on a file descriptor. */
struct io_watch
{
    std::shared_ptr<const io_callback> callback;
    std::uint32_t events = 0;
    /** Incremented by each new watch, so that stale events of an earlier watch are ignored. */
    std::uint32_t generation = 0;
    io_priority priority = io_priority::normal;
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
    long queue_id = -1;
    std::unique_ptr<timer_handler> handler;
};

} // namespace

class event_loop
{
public:
    event_loop()
        : epoll_fd(::epoll_create1(EPOLL_CLOEXEC)), urgent_epoll_fd(::epoll_create1(EPOLL_CLOEXEC))
    {
        if (this->epoll_fd < 0 || this->urgent_epoll_fd < 0)
        {
            throw std::runtime_error("can't open an epoll descriptor");
        }
        this->timer_queue.set_time_policy(&monotonic_time);
    }

    // ACE's epoll reactor rearms each descriptor after each event, which doubled the system calls
    // of a request. ACE is therefore used for timers and signals only.
    int epoll_fd;
    /** Holds the urgent descriptors and is itself watched by epoll_fd. */
    int urgent_epoll_fd;
    std::int64_t last_urgent_check_us = 0;
    /** Time given to normal descriptors before the urgent ones are checked again. */
    std::int64_t current_urgent_interval_us = 0;
    /** Set when epoll_fd reports that an urgent descriptor is ready. */
    bool urgent_ready = false;
    /** End of the last wait that was not interrupted by a signal. */
    std::int64_t wait_end_us = 0;
    std::int64_t ready_since_us = 0;
    ACE_Timer_Heap timer_queue;
    ACE_Sig_Handler signals;
    std::unordered_map<std::uint64_t, timer_entry> timers;
    std::unordered_map<int, io_watch> watches;
    // The timer queue may still access a handler after its callback cancelled the timer, so
    // handlers are destroyed only between two iterations.
    std::vector<std::unique_ptr<ACE_Event_Handler>> retired_handlers;
    std::map<std::uint64_t, std::function<time_ms()>> wait_limits;
    signal_handler terminate_signal;
    std::function<void()> terminate_callback;
    signal_handler reload_signal;
    std::function<void()> reload_callback;
    std::function<void(std::int64_t)> iteration_callback;
    std::uint64_t last_timer = 0;
    std::uint64_t last_wait_limit = 0;
    bool stopped = false;
};

namespace
{

/** Milliseconds until the next timer, rounded up and limited to `max_wait`. */
time_ms time_until_next_timer(event_loop& loop, time_ms max_wait)
{
    if (loop.timer_queue.is_empty())
    {
        return max_wait;
    }
    ACE_Time_Value left = loop.timer_queue.earliest_time() - monotonic_time();
    ACE_UINT64 left_us = 0;
    if (left <= ACE_Time_Value::zero)
    {
        return 0;
    }
    left.to_usec(left_us);
    const auto left_ms =
        static_cast<time_ms>((left_us + us_per_ms - 1) / static_cast<ACE_UINT64>(us_per_ms));
    return std::min(left_ms, max_wait);
}

std::uint64_t event_data(int fd, std::uint32_t generation)
{
    return (std::uint64_t{generation} << 32U) | static_cast<std::uint32_t>(fd);
}

void dispatch(event_loop& loop, const epoll_event& event)
{
    const int fd = static_cast<int>(event.data.u64 & 0xffffffffU);
    const auto generation = static_cast<std::uint32_t>(event.data.u64 >> 32U);
    const auto found = loop.watches.find(fd);
    if (found == loop.watches.end() || found->second.generation != generation ||
        !found->second.callback)
    {
        return;
    }
    // Keeps the callback alive, since it may replace or remove its own watch.
    const std::shared_ptr<const io_callback> callback = found->second.callback;
    const bool failed = (event.events & (EPOLLERR | EPOLLHUP)) != 0;
    const bool watches_read = (found->second.events & EPOLLIN) != 0;
    (*callback)({.read = (event.events & EPOLLIN) != 0 || (failed && watches_read),
                 .write = (event.events & EPOLLOUT) != 0 || (failed && !watches_read)});
}

void dispatch_urgent(event_loop& loop)
{
    const std::int64_t start_us = steady_now_us();
    std::array<epoll_event, max_events_per_wait> events{};
    const int count = ::epoll_wait(loop.urgent_epoll_fd, events.data(), max_events_per_wait, 0);
    for (int i = 0; i < count && !loop.stopped; ++i)
    {
        dispatch(loop, events.at(static_cast<std::size_t>(i)));
    }
    loop.last_urgent_check_us = steady_now_us();
    loop.current_urgent_interval_us =
        std::max(min_urgent_interval_us, loop.last_urgent_check_us - start_us);
}

/** Records since when the descriptors found by a wait of at most `wait` may have been ready. */
void record_wait(event_loop& loop, std::int64_t wait_start_us, std::int64_t wait_end_us,
                 time_ms wait)
{
    const std::int64_t waited_us = wait_end_us - wait_start_us;
    // A wait that exceeds its limit shows that the process was not scheduled.
    const bool was_delayed = waited_us > wait * us_per_ms + min_blocking_wait_us;
    loop.ready_since_us = was_delayed ? wait_start_us : wait_end_us;
    if (waited_us < min_blocking_wait_us && loop.wait_end_us > 0)
    {
        loop.ready_since_us = loop.wait_end_us;
    }
    loop.wait_end_us = wait_end_us;
}

/** Waits for events and dispatches them. Returns the time at which the wait ended. */
std::int64_t poll_descriptors(event_loop& loop, time_ms wait)
{
    std::array<epoll_event, max_events_per_wait> events{};
    const std::int64_t wait_start_us = steady_now_us();
    const int count =
        ::epoll_wait(loop.epoll_fd, events.data(), max_events_per_wait, static_cast<int>(wait));
    const std::int64_t wait_end_us = steady_now_us();
    // A wait interrupted by a signal has reported no descriptors and isn't recorded.
    if (count >= 0)
    {
        record_wait(loop, wait_start_us, wait_end_us, wait);
    }
    loop.last_urgent_check_us = wait_end_us;
    loop.urgent_ready = false;
    bool urgent_served = false;
    for (int i = 0; i < count && !loop.stopped; ++i)
    {
        dispatch(loop, events.at(static_cast<std::size_t>(i)));
        if (steady_now_us() - loop.last_urgent_check_us >= loop.current_urgent_interval_us &&
            !loop.stopped)
        {
            loop.timer_queue.expire();
            dispatch_urgent(loop);
            urgent_served = true;
        }
    }
    if (loop.urgent_ready && !urgent_served && !loop.stopped)
    {
        dispatch_urgent(loop);
    }
    return wait_end_us;
}

int epoll_fd_for(const event_loop& loop, io_priority priority)
{
    return priority == io_priority::urgent ? loop.urgent_epoll_fd : loop.epoll_fd;
}

} // namespace

void event_loop_deleter::operator()(event_loop* loop) const
{
    for (auto& [id, entry] : loop->timers)
    {
        loop->timer_queue.cancel(entry.queue_id);
    }
    ::close(loop->urgent_epoll_fd);
    ::close(loop->epoll_fd);
    delete loop;
}

event_loop_ptr make_event_loop()
{
    event_loop_ptr loop(new event_loop);
    watch_fd(*loop, loop->urgent_epoll_fd, {.read = true},
             [raw = loop.get()](io_interest) { raw->urgent_ready = true; });
    return loop;
}

void stop(event_loop& loop)
{
    loop.stopped = true;
}

void resume(event_loop& loop)
{
    loop.stopped = false;
}

void run(event_loop& loop)
{
    while (!loop.stopped)
    {
        time_ms wait = max_wait_ms;
        for (const auto& [id, limit] : loop.wait_limits)
        {
            const time_ms allowed = limit();
            if (allowed >= 0 && allowed < wait)
            {
                wait = allowed;
            }
        }
        const std::int64_t wait_end_us = poll_descriptors(loop, time_until_next_timer(loop, wait));
        loop.timer_queue.expire();
        loop.retired_handlers.clear();
        if (loop.iteration_callback)
        {
            loop.iteration_callback(steady_now_us() - wait_end_us);
        }
        if (loop.terminate_signal.raised != 0)
        {
            loop.terminate_signal.raised = 0;
            loop.terminate_callback();
        }
        if (loop.reload_signal.raised != 0)
        {
            loop.reload_signal.raised = 0;
            loop.reload_callback();
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
                loop.retired_handlers.push_back(std::move(entry.mapped().handler));
            }
            callback();
        });
    const long queue_id =
        loop.timer_queue.schedule(handler.get(), nullptr, monotonic_time() + to_time_value(delay));
    loop.timers[id] = {queue_id, std::move(handler)};
    return {id};
}

timer_id run_every(event_loop& loop, time_ms interval, std::function<void()> callback)
{
    const std::uint64_t id = ++loop.last_timer;
    auto handler = std::make_unique<timer_handler>(std::move(callback));
    const ACE_Time_Value period = to_time_value(interval);
    const long queue_id =
        loop.timer_queue.schedule(handler.get(), nullptr, monotonic_time() + period, period);
    loop.timers[id] = {queue_id, std::move(handler)};
    return {id};
}

void cancel_timer(event_loop& loop, timer_id id)
{
    auto entry = loop.timers.extract(id.value);
    if (entry.empty())
    {
        return;
    }
    loop.timer_queue.cancel(entry.mapped().queue_id);
    loop.retired_handlers.push_back(std::move(entry.mapped().handler));
}

void watch_fd(event_loop& loop, int fd, io_interest interest, io_callback callback,
              io_priority priority)
{
    io_watch& watch = loop.watches[fd];
    if (watch.priority != priority)
    {
        // The descriptor was closed without unwatch_fd() and its number has been reused.
        unwatch_fd(loop, fd);
    }
    const bool already_watched = watch.callback != nullptr;
    const std::uint32_t events = to_events(interest);
    watch.callback = std::make_shared<const io_callback>(std::move(callback));
    if (already_watched && watch.events == events)
    {
        return;
    }
    watch.events = events;
    watch.priority = priority;
    watch.generation += already_watched ? 0 : 1;
    const int epoll_fd = epoll_fd_for(loop, priority);
    epoll_event event{.events = events, .data = {.u64 = event_data(fd, watch.generation)}};
    const int failed =
        ::epoll_ctl(epoll_fd, already_watched ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, fd, &event);
    if (failed != 0 && already_watched)
    {
        // The kernel removes a descriptor from epoll when it is closed.
        ::epoll_ctl(epoll_fd, EPOLL_CTL_ADD, fd, &event);
    }
}

void unwatch_fd(event_loop& loop, int fd)
{
    const auto found = loop.watches.find(fd);
    if (found == loop.watches.end() || !found->second.callback)
    {
        return;
    }
    found->second.callback.reset();
    // Fails harmlessly if the descriptor is already closed.
    ::epoll_ctl(epoll_fd_for(loop, found->second.priority), EPOLL_CTL_DEL, fd, nullptr);
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
    loop.signals.register_handler(SIGTERM, &loop.terminate_signal);
    loop.signals.register_handler(SIGINT, &loop.terminate_signal);
    std::signal(SIGPIPE, SIG_IGN);
}

void on_reload(event_loop& loop, std::function<void()> callback)
{
    loop.reload_callback = std::move(callback);
    loop.signals.register_handler(SIGHUP, &loop.reload_signal);
}

void on_iteration(event_loop& loop, std::function<void(std::int64_t)> callback)
{
    loop.iteration_callback = std::move(callback);
}

std::int64_t ready_since_us(const event_loop& loop)
{
    return loop.ready_since_us;
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
