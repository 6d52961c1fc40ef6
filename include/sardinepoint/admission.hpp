#pragma once

#include "sardinepoint/core.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sardinepoint
{

/** One call that wants a slot. Times are steady. */
struct admission_request
{
    std::uint64_t id = 0;
    std::string route;
    /** 0 is the most urgent; calls that other calls wait for have it. */
    int priority = 0;
    /** Priority of the call for which an upstream makes this one; its own if a caller made it. */
    int parent_priority = 0;
    /** When an answer is worth most; 0 if no such time was stated. */
    time_ms goal_at = 0;
    time_ms deadline = 0;
    /** When the call must have started, set by admit: if its answer will come in time for the
     * goal, and if it won't. */
    time_ms latest_start = 0;
    time_ms latest_late_start = 0;
    /** Whether the route is answered too seldom, so that its calls go first; set by the queue. */
    bool underserved = false;
};

/** Exponentially weighted time that calls of one route hold a slot. */
struct hold_time
{
    double ms = 0;
};

/** How calls wait and are turned away; docs/load.md has the figures behind the values. */
struct admission_options
{
    /** Calls per slot that may wait. Longer queues hold only calls that will be late. */
    std::size_t waiting_per_slot = 6;
    /** Part of the usual hold time that must be left when a call starts: half of all calls of a
     * skewed distribution take less than this. */
    double min_hold_fraction = 0.7;
    /** Part of its time that a call may wait. One that is refused after a long wait has lost the
     * time in which its caller could have come back. */
    double max_wait_fraction = 0.45;
    /** The same for a call whose answer will come later than its goal. */
    double max_late_wait_fraction = 0.05;
    /** Usual hold times that must be left before the goal for a call to count as in time: with one,
     * half of the calls that were started at the last moment were late. */
    double goal_margin = 1.5;
    /** Part by which a route may be answered less often than calls that upstreams make for less
     * urgent ones; beyond that its calls go first. */
    double answered_fraction_tolerance = 0.05;
    /** A route that is answered less often than this part of all calls goes first. */
    double min_relative_answered_fraction = 0.5;
};

/** What a queue knows about the calls of one route; what is past decays. */
struct route_stats
{
    int priority = 0;
    int parent_priority = 0;
    hold_time hold;
    double offered = 0;
    double answered = 0;
    time_ms share_decayed_at = 0;
    /** Part of the slots that these calls have taken lately. */
    double load = 0;
    bool underserved = false;
};

/** The calls of one upstream, held by its own daemon. */
struct admission_queue
{
    admission_options options;
    int slots = 1;
    int running = 0;
    std::vector<admission_request> waiting;
    time_ms load_decayed_at = 0;
    /** Of all routes; 0 until the first call ends. */
    hold_time hold;
    std::map<std::string, route_stats, std::less<>> routes;
    time_ms last_release = 0;
    /** When the number of running calls last rose from zero. */
    time_ms busy_since = 0;
};

enum class admission_kind
{
    run,
    wait,
    /** The queue is longer than the call's time. */
    too_late,
    queue_full,
};

std::string_view to_string(admission_kind kind);

struct admission
{
    admission_kind kind = admission_kind::run;
    /** Expected wait for a slot. */
    time_ms wait = 0;
    /** Waiting calls that can no longer be served in time because this one goes first. */
    std::vector<std::uint64_t> displaced;
};

/** Gives the call a slot, queues it by urgency, or refuses it. */
admission admit(admission_queue& queue, admission_request item, time_ms now);

/** What became of the waiting calls when a slot became free. */
struct release_result
{
    /** Holds the slot now. */
    std::optional<std::uint64_t> next;
    /** Calls whose time no longer suffices. */
    std::vector<std::uint64_t> expired;
};

/** A call that gives its slot back. */
struct finished_call
{
    std::string_view route;
    /** Time that the call held the slot. */
    time_ms held = 0;
    /** Whether the time says how long such calls take. */
    bool answered = false;
};

/** Frees a slot. */
release_result release_slot(admission_queue& queue, const finished_call& ended, time_ms now);

/** Removes calls whose time no longer suffices. */
std::vector<std::uint64_t> expire_waiting(admission_queue& queue, time_ms now);

/** Removes a waiting call; false if it doesn't wait. */
bool remove_waiting(admission_queue& queue, std::uint64_t id);

/** Wait of a new call that ranks behind all others. */
time_ms backlog(const admission_queue& queue);

/** What other daemons are told about a queue. */
struct queue_report
{
    int running = 0;
    int waiting = 0;
    /** Wait of a new call that ranks behind all others. */
    time_ms backlog = 0;
    /** Time that a call usually holds a slot there. */
    time_ms hold = 0;
};

queue_report make_report(const admission_queue& queue);

/** Expected time that a call of the route holds a slot; 0 if nothing is known. */
double expected_hold(const admission_queue& queue, std::string_view route);

/** Whether calls run and none has ended for longer than such calls explain. */
bool is_silent(const admission_queue& queue, time_ms now);

} // namespace sardinepoint
