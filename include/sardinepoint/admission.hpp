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

/** A call that asks for a slot of an upstream. Times are steady. */
struct admission_request
{
    std::uint64_t id = 0;
    std::string route;
    /** 0 is the most urgent, for calls that running calls depend on. */
    int priority = 0;
    /**
     * Priority of the call on whose behalf an upstream makes this one; equal to `priority` if a
     * caller made it.
     */
    int parent_priority = 0;
    /**
     * Time by which the response should arrive; a later one is worth less. A call without a latency
     * target has 0 and is queued like a late one.
     */
    time_ms latency_target_at = 0;
    time_ms deadline = 0;
    /**
     * Latest times at which the call may start, set by admit(): if its response is expected to meet
     * the latency target, and if it is expected to miss it.
     */
    time_ms latest_start = 0;
    time_ms latest_late_start = 0;
    /**
     * Whether too few calls of the route are answered, so that its calls go first; set by the
     * queue.
     */
    bool underserved = false;
};

/** Exponentially weighted moving average of the time for which a call holds a slot. */
struct average_service_time
{
    double ms = 0;
};

/** Limits of queueing and load shedding; docs/load.md has the measurements behind the values. */
struct admission_options
{
    /**
     * Maximum number of waiting calls per slot. Calls at the end of a longer queue would be late
     * anyway.
     */
    std::size_t max_waiting_per_slot = 6;
    /**
     * Fraction of the average service time that must be left before the deadline when a call
     * starts. Service times are skewed: half of all calls take less than this.
     */
    double min_service_time_fraction = 0.7;
    /**
     * Fraction of its time left that a call may wait. A call that is refused after a longer wait
     * leaves its caller no time to retry.
     */
    double max_wait_fraction = 0.45;
    /** The same for a call whose response is expected after its latency target. */
    double max_late_wait_fraction = 0.05;
    /**
     * Multiple of the average service time that must be left before the latency target for a call
     * to count as in time. With a factor of 1, half of the calls that started at the last moment
     * were late.
     */
    double latency_target_margin = 1.5;
    /**
     * A route goes first if its answered fraction is lower by more than this than that of a more
     * urgent route whose calls are made on behalf of less urgent ones.
     */
    double answered_fraction_tolerance = 0.05;
    /** A route goes first if its answered fraction is below this fraction of that of all calls. */
    double min_relative_answered_fraction = 0.5;
};

/** Statistics of the calls of one route, decayed exponentially. */
struct route_stats
{
    int priority = 0;
    int parent_priority = 0;
    average_service_time service_time;
    /** Decayed counts of the calls that asked for a slot and of those that were answered. */
    double offered = 0;
    double answered = 0;
    time_ms counts_decayed_at = 0;
    /** Fraction of the slots that calls of the route used recently. */
    double load = 0;
    bool underserved = false;
};

/** The running and waiting calls of one upstream, kept by the daemon on its VM. */
struct admission_queue
{
    admission_options options;
    int slots = 1;
    int running = 0;
    std::vector<admission_request> waiting;
    time_ms load_decayed_at = 0;
    /** Average over all routes; 0 until the first call is answered. */
    average_service_time service_time;
    /** The same over more calls, for other daemons. */
    average_service_time long_term_service_time;
    /** Number of answered calls, counted up to the span of the long-term average. */
    int long_term_calls = 0;
    std::map<std::string, route_stats, std::less<>> routes;
    time_ms last_release = 0;
    /** When the number of running calls last rose from 0. */
    time_ms busy_since = 0;
};

enum class admission_kind
{
    run,
    wait,
    /** The expected wait exceeds the time that the call has. */
    too_late,
    queue_full,
};

std::string_view to_string(admission_kind kind);

struct admission
{
    admission_kind kind = admission_kind::run;
    /** Expected wait for a slot. */
    time_ms wait = 0;
    /**
     * Waiting calls that were removed because this one goes first: the queue was full, or they can
     * no longer finish in time.
     */
    std::vector<std::uint64_t> displaced;
};

/** Gives the call a slot, queues it by priority, or refuses it. */
admission admit(admission_queue& queue, admission_request item, time_ms now);

/** Whether a new call would run at once. */
bool has_free_slot(const admission_queue& queue);

/** Outcome of freeing a slot. */
struct release_result
{
    /** The call that holds the slot now. */
    std::optional<std::uint64_t> next;
    /** Waiting calls that were removed because too little time is left for them. */
    std::vector<std::uint64_t> expired;
};

/** A call that returns its slot. */
struct finished_call
{
    std::string_view route;
    /** Time for which the call held the slot. */
    time_ms service_time = 0;
    /** Whether the upstream answered, so that the service time counts towards the averages. */
    bool answered = false;
};

/** Frees a slot and gives it to the next waiting call. */
release_result release_slot(admission_queue& queue, const finished_call& ended, time_ms now);

/** Takes a slot if one is free; returns whether it did. */
bool take_free_slot(admission_queue& queue, time_ms now);

/** Records the end of a call, whose slot is kept until pass_on_slot(). */
void record_finished(admission_queue& queue, const finished_call& ended, time_ms now);

/** Frees a slot without a finished call and gives it to the next waiting call. */
release_result pass_on_slot(admission_queue& queue, time_ms now);

/** Removes and returns waiting calls that have too little time left. */
std::vector<std::uint64_t> expire_waiting(admission_queue& queue, time_ms now);

/** Removes a waiting call; returns false if it isn't waiting. */
bool remove_waiting(admission_queue& queue, std::uint64_t id);

/** Expected wait of a new call with the lowest priority. */
time_ms backlog(const admission_queue& queue);

/** State of a queue as reported to other daemons. */
struct queue_report
{
    int running = 0;
    int waiting = 0;
    /** Expected wait of a new call with the lowest priority. */
    time_ms backlog = 0;
    /** Average time for which a call holds a slot. */
    time_ms service_time = 0;
    /** Remaining time for which the upstream is known to be cold. */
    time_ms cold_left = 0;
    /** Time until the upstream gets calls again, if it is or may be cold. */
    time_ms room_in = 0;
};

queue_report make_report(const admission_queue& queue);

/**
 * Average service time of the route's calls, or of all calls if the route has none yet; 0 if
 * nothing is known.
 */
double expected_service_time(const admission_queue& queue, std::string_view route);

/** Service time of an upstream as told to other daemons. */
struct advertised_service_time
{
    /** 0 until enough calls were answered. */
    time_ms value = 0;
    /** Steady time of the last change. */
    time_ms changed_at = 0;
};

/**
 * Service time to tell other daemons in place of the advertised one, or nullopt if that is close
 * enough or was changed too recently.
 */
std::optional<time_ms> service_time_to_advertise(const admission_queue& queue,
                                                 const advertised_service_time& advertised,
                                                 time_ms now);

/**
 * Whether the upstream may have stalled: calls are running, but none has ended for several times
 * the average service time.
 */
bool is_stalled(const admission_queue& queue, time_ms now);

} // namespace sardinepoint
