#include "sardinepoint/admission.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace sardinepoint
{

namespace
{

// Smoothing factor of the average service time: a change in speed shows after about ten calls.
constexpr double service_time_gain = 0.1;
// Span of the long-term average in calls. Its standard error is 8% for usual service times.
constexpr int long_term_span = 80;
// Calls after which the service time is first advertised.
constexpr int min_advertised_calls = 24;
// A change by a larger factor is advertised. Smaller ones would mostly be chance, and each change
// costs a message to each daemon.
constexpr double advertised_change_factor = 1.5;
constexpr time_ms min_advertised_interval_ms = 2000;
// Time constant of the counts of offered and answered calls. It is longer than a burst of arrivals,
// so that a few refusals don't move a route to the front.
constexpr time_ms count_decay_ms = 2000;
// Minimum number of offered calls for a meaningful answered fraction.
constexpr double min_offered_calls = 10;
// Number of routes from which on unused ones are removed. A service has a few routes.
constexpr std::size_t max_routes = 256;
constexpr double max_unused_offered_calls = 0.01;
// Time constant of the load by route: several long calls, but shorter than a burst.
constexpr time_ms load_decay_ms = 1000;
constexpr double max_preceding_load = 0.9;
// Ranks behind every call; used to estimate the backlog of the whole queue.
constexpr int lowest_priority = 1000;
// An upstream counts as stalled if no call ends for this multiple of the average service time. With
// one call running, about one in twenty takes that long; the probe that follows is cheap.
constexpr double stall_service_time_factor = 3;
constexpr time_ms min_stall_ms = 300;

void update_average(average_service_time& average, time_ms sample)
{
    const double gain = average.ms > 0 ? service_time_gain : 1;
    average.ms += gain * (static_cast<double>(sample) - average.ms);
}

void update_long_term(admission_queue& queue, time_ms sample)
{
    queue.long_term_calls = std::min(queue.long_term_calls + 1, long_term_span);
    queue.long_term_service_time.ms +=
        (static_cast<double>(sample) - queue.long_term_service_time.ms) / queue.long_term_calls;
}

bool meets_latency_target(const admission_queue& queue, const admission_request& item, time_ms now)
{
    return static_cast<double>(now) +
               queue.options.latency_target_margin * expected_service_time(queue, item.route) <=
           static_cast<double>(item.latency_target_at);
}

void decay_counts(route_stats& stats, time_ms now)
{
    const double kept = decay(now - stats.counts_decayed_at, count_decay_ms);
    stats.offered *= kept;
    stats.answered *= kept;
    stats.counts_decayed_at = now;
}

/**
 * Removes routes without recent calls once there are many, since configuration changes add and
 * remove routes.
 */
void drop_unused_routes(admission_queue& queue, time_ms now)
{
    if (queue.routes.size() < max_routes)
    {
        return;
    }
    std::erase_if(queue.routes,
                  [now](const auto& entry)
                  {
                      const route_stats& stats = entry.second;
                      return stats.offered * decay(now - stats.counts_decayed_at, count_decay_ms) <
                             max_unused_offered_calls;
                  });
}

/** Statistics of the route, decayed to the present time; added if missing. */
route_stats& stats_of(admission_queue& queue, std::string_view route, time_ms now)
{
    auto found = queue.routes.find(route);
    if (found == queue.routes.end())
    {
        drop_unused_routes(queue, now);
        found = queue.routes.emplace(route, route_stats{}).first;
    }
    decay_counts(found->second, now);
    return found->second;
}

double answered_fraction(const route_stats& stats)
{
    return stats.answered / std::max(stats.offered, 1.0);
}

/**
 * Whether calls of the route must go first despite their lower priority: either calls that
 * upstreams make on behalf of less urgent ones are answered much more often, or hardly any call of
 * the route is answered.
 */
bool is_underserved(const admission_queue& queue, const route_stats& own)
{
    if (own.offered < min_offered_calls)
    {
        return false;
    }
    const double own_fraction = answered_fraction(own);
    double offered = 0;
    double answered = 0;
    for (const auto& [name, other] : queue.routes)
    {
        offered += other.offered;
        answered += other.answered;
        if (other.offered >= min_offered_calls && other.parent_priority > own.parent_priority &&
            other.priority < own.priority &&
            own_fraction < answered_fraction(other) - queue.options.answered_fraction_tolerance)
        {
            return true;
        }
    }
    return own_fraction < queue.options.min_relative_answered_fraction * answered / offered;
}

void update_underserved(admission_queue& queue, time_ms now)
{
    for (auto& [name, stats] : queue.routes)
    {
        decay_counts(stats, now);
    }
    for (auto& [name, stats] : queue.routes)
    {
        stats.underserved = is_underserved(queue, stats);
    }
    for (admission_request& item : queue.waiting)
    {
        const auto stats = queue.routes.find(item.route);
        item.underserved = stats != queue.routes.end() && stats->second.underserved;
    }
}

/**
 * Sort key of a waiting call. Calls of underserved routes go first, then those with a higher
 * priority, since running calls hold slots while they wait for them. Among equal priorities, calls
 * that can still meet their latency target go first, ordered by that target; a call that is late
 * already must not make another one late.
 */
auto rank(const admission_queue& queue, const admission_request& item, time_ms now)
{
    const bool in_time = meets_latency_target(queue, item, now);
    return std::tuple(!item.underserved, item.priority, !in_time,
                      in_time ? item.latency_target_at : item.deadline, item.id);
}

/** Fraction of the slots recently used by calls that go before this one. */
double preceding_load(const admission_queue& queue, const admission_request& item)
{
    double load = 0;
    for (const auto& [name, stats] : queue.routes)
    {
        const bool before = stats.underserved != item.underserved ? stats.underserved
                                                                  : stats.priority < item.priority;
        load += before ? stats.load : 0;
    }
    return std::min(load, max_preceding_load);
}

/** Expected time until a slot is free for a call with the given amount of work before it. */
double estimate_wait(const admission_queue& queue, const admission_request& item, double work_ms)
{
    const double slots = std::max(queue.slots, 1);
    // Calls that arrive meanwhile and go first are accounted for by their recent load.
    return (queue.service_time.ms + work_ms) / slots / (1 - preceding_load(queue, item));
}

bool can_finish(const admission_queue& queue, const admission_request& item, double start)
{
    const double latest =
        static_cast<double>(item.deadline) -
        queue.options.min_service_time_fraction * expected_service_time(queue, item.route);
    const bool in_time = meets_latency_target(queue, item, static_cast<time_ms>(start));
    const time_ms latest_start = in_time ? item.latest_start : item.latest_late_start;
    return start <= std::min(latest, static_cast<double>(latest_start));
}

/** Adds the service time of a call to the decayed load of its route. */
void record_load(admission_queue& queue, std::string_view route, time_ms service_time, time_ms now)
{
    const double kept = decay(now - queue.load_decayed_at, load_decay_ms);
    queue.load_decayed_at = now;
    for (auto& [name, stats] : queue.routes)
    {
        stats.load *= kept;
    }
    stats_of(queue, route, now).load +=
        static_cast<double>(service_time) /
        static_cast<double>(load_decay_ms * std::max(queue.slots, 1));
}

/** Removes and returns the waiting calls that can't finish in time in their present order. */
std::vector<std::uint64_t> drop_unservable(admission_queue& queue, time_ms now)
{
    std::vector<std::uint64_t> dropped;
    double work = 0;
    std::erase_if(queue.waiting,
                  [&](const admission_request& item)
                  {
                      const double start =
                          static_cast<double>(now) + estimate_wait(queue, item, work);
                      if (can_finish(queue, item, start))
                      {
                          work += expected_service_time(queue, item.route);
                          return false;
                      }
                      dropped.push_back(item.id);
                      return true;
                  });
    return dropped;
}

void sort_waiting(admission_queue& queue, time_ms now)
{
    std::sort(queue.waiting.begin(), queue.waiting.end(),
              [&](const admission_request& left, const admission_request& right)
              { return rank(queue, left, now) < rank(queue, right, now); });
}

void take_slot(admission_queue& queue, time_ms now)
{
    if (queue.running == 0)
    {
        queue.busy_since = now;
    }
    ++queue.running;
}

} // namespace

std::string_view to_string(admission_kind kind)
{
    switch (kind)
    {
    case admission_kind::run:
        return "run";
    case admission_kind::wait:
        return "wait";
    case admission_kind::too_late:
        return "too_late";
    case admission_kind::queue_full:
        return "queue_full";
    }
    return "unknown";
}

double expected_service_time(const admission_queue& queue, std::string_view route)
{
    const auto found = queue.routes.find(route);
    const bool known = found != queue.routes.end() && found->second.service_time.ms > 0;
    return known ? found->second.service_time.ms : queue.service_time.ms;
}

time_ms backlog(const admission_queue& queue)
{
    if (queue.running < queue.slots)
    {
        return 0;
    }
    double work = 0;
    for (const admission_request& item : queue.waiting)
    {
        work += expected_service_time(queue, item.route);
    }
    return static_cast<time_ms>(estimate_wait(queue, {.priority = lowest_priority}, work));
}

queue_report make_report(const admission_queue& queue)
{
    return {.running = queue.running,
            .waiting = static_cast<int>(queue.waiting.size()),
            .backlog = backlog(queue),
            .service_time = static_cast<time_ms>(std::ceil(queue.service_time.ms))};
}

bool has_free_slot(const admission_queue& queue)
{
    return queue.running < queue.slots && queue.waiting.empty();
}

admission admit(admission_queue& queue, admission_request item, time_ms now)
{
    route_stats& stats = stats_of(queue, item.route, now);
    stats.priority = item.priority;
    stats.parent_priority = item.parent_priority;
    stats.offered += 1;
    if (has_free_slot(queue))
    {
        take_slot(queue, now);
        return {.kind = admission_kind::run};
    }
    update_underserved(queue, now);
    item.underserved = stats.underserved;
    double work = 0;
    const auto own_rank = rank(queue, item, now);
    for (const admission_request& other : queue.waiting)
    {
        work += rank(queue, other, now) < own_rank ? expected_service_time(queue, other.route) : 0;
    }
    const double wait = estimate_wait(queue, item, work);
    const auto left = static_cast<double>(item.deadline - now);
    item.latest_start = now + static_cast<time_ms>(queue.options.max_wait_fraction * left);
    item.latest_late_start =
        now + static_cast<time_ms>(queue.options.max_late_wait_fraction * left);
    admission result{.wait = static_cast<time_ms>(wait)};
    if (!can_finish(queue, item, static_cast<double>(now) + wait))
    {
        result.kind = admission_kind::too_late;
        return result;
    }
    sort_waiting(queue, now);
    const std::size_t max_waiting =
        queue.options.max_waiting_per_slot * static_cast<std::size_t>(std::max(queue.slots, 1));
    if (queue.waiting.size() >= max_waiting)
    {
        if (rank(queue, queue.waiting.back(), now) < own_rank)
        {
            result.kind = admission_kind::queue_full;
            return result;
        }
        result.displaced.push_back(queue.waiting.back().id);
        queue.waiting.pop_back();
    }
    const std::uint64_t own_id = item.id;
    queue.waiting.push_back(std::move(item));
    sort_waiting(queue, now);
    for (const std::uint64_t id : drop_unservable(queue, now))
    {
        if (id == own_id)
        {
            result.kind = admission_kind::too_late;
            return result;
        }
        result.displaced.push_back(id);
    }
    result.kind = admission_kind::wait;
    return result;
}

bool take_free_slot(admission_queue& queue, time_ms now)
{
    if (queue.running >= queue.slots)
    {
        return false;
    }
    take_slot(queue, now);
    return true;
}

release_result release_slot(admission_queue& queue, const finished_call& ended, time_ms now)
{
    record_finished(queue, ended, now);
    return pass_on_slot(queue, now);
}

void record_finished(admission_queue& queue, const finished_call& ended, time_ms now)
{
    record_load(queue, ended.route, ended.service_time, now);
    if (ended.answered)
    {
        update_average(queue.service_time, ended.service_time);
        update_long_term(queue, ended.service_time);
        route_stats& stats = stats_of(queue, ended.route, now);
        update_average(stats.service_time, ended.service_time);
        stats.answered += 1;
    }
    queue.last_release = now;
}

release_result pass_on_slot(admission_queue& queue, time_ms now)
{
    queue.running = std::max(queue.running - 1, 0);
    release_result result;
    result.expired = expire_waiting(queue, now);
    if (queue.running >= queue.slots || queue.waiting.empty())
    {
        return result;
    }
    update_underserved(queue, now);
    sort_waiting(queue, now);
    result.next = queue.waiting.front().id;
    queue.waiting.erase(queue.waiting.begin());
    take_slot(queue, now);
    return result;
}

std::vector<std::uint64_t> expire_waiting(admission_queue& queue, time_ms now)
{
    std::vector<std::uint64_t> expired;
    std::erase_if(queue.waiting,
                  [&](const admission_request& item)
                  {
                      if (can_finish(queue, item, static_cast<double>(now)))
                      {
                          return false;
                      }
                      expired.push_back(item.id);
                      return true;
                  });
    return expired;
}

bool remove_waiting(admission_queue& queue, std::uint64_t id)
{
    return std::erase_if(queue.waiting,
                         [id](const admission_request& item) { return item.id == id; }) > 0;
}

std::optional<time_ms> service_time_to_advertise(const admission_queue& queue,
                                                 const advertised_service_time& advertised,
                                                 time_ms now)
{
    if ((advertised.value == 0 && queue.long_term_calls < min_advertised_calls) ||
        (advertised.value > 0 && now - advertised.changed_at < min_advertised_interval_ms))
    {
        return std::nullopt;
    }
    const double current = std::max(queue.long_term_service_time.ms, 1.0);
    const auto known = static_cast<double>(advertised.value);
    const bool close =
        current < known * advertised_change_factor && known < current * advertised_change_factor;
    return close ? std::nullopt : std::optional(static_cast<time_ms>(std::llround(current)));
}

bool is_stalled(const admission_queue& queue, time_ms now)
{
    if (queue.running == 0)
    {
        return false;
    }
    const time_ms since = std::max(queue.last_release, queue.busy_since);
    const auto limit = static_cast<time_ms>(stall_service_time_factor * queue.service_time.ms);
    return now - since > std::max(limit, min_stall_ms);
}

} // namespace sardinepoint
