#include "sardinepoint/placement.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace sardinepoint
{

namespace
{

// Assumed while no instance has reported a service time.
constexpr double default_service_time_ms = 100;
// Time constant with which the service time of an instance without calls approaches the shortest
// one, so that the instance is tried again: it may have been slow because it had just started.
constexpr time_ms service_time_decay_ms = 3000;

double reported_service_time_or_default(const instance_view& view)
{
    return view.report.service_time > 0 ? static_cast<double>(view.report.service_time)
                                        : default_service_time_ms;
}

/** Service time that the instance reported or advertised; 0 if neither is known. */
time_ms known_service_time(const instance_view& view)
{
    return view.report.service_time > 0 ? view.report.service_time : view.advertised_service_time;
}

/** Shortest service time that is known of any instance. */
double shortest_service_time(std::span<const instance_view> views)
{
    double shortest = 0;
    for (const instance_view& view : views)
    {
        const auto service_time = static_cast<double>(known_service_time(view));
        shortest = service_time > 0 && (shortest <= 0 || service_time < shortest) ? service_time
                                                                                  : shortest;
    }
    return shortest > 0 ? shortest : default_service_time_ms;
}

/** Expected service time of a call at the instance. */
double estimate_service_time(const instance_view& view, const placement_options& options,
                             double shortest, time_ms now)
{
    const double usual = view.advertised_service_time > 0
                             ? static_cast<double>(view.advertised_service_time)
                             : shortest;
    if (view.report.service_time == 0)
    {
        const bool cold = view.advertised_service_time == 0 && now < view.cold_until;
        return cold ? usual * options.cold_factor : usual;
    }
    const double kept = decay(now - view.reported_at, service_time_decay_ms);
    return usual + kept * (reported_service_time_or_default(view) - usual);
}

bool has_recent_report(const instance_view& view, const placement_options& options, time_ms now)
{
    return view.reported_at != 0 && now - view.reported_at <= options.max_report_age;
}

/** Recent reports of a service's instances, to estimate the wait at the others. */
struct recent_report
{
    double log_service_time = 0;
    double wait = 0;
};

std::vector<recent_report> recent_reports(std::span<const instance_view> views,
                                          std::string_view own_member,
                                          const placement_options& options, double shortest,
                                          time_ms now)
{
    std::vector<recent_report> reports;
    for (const instance_view& view : views)
    {
        // The instance on the own VM gets the first calls of each burst, so its queue says little
        // of the others.
        if (view.member != own_member && has_recent_report(view, options, now))
        {
            reports.push_back({.log_service_time = std::log(std::max(
                                   estimate_service_time(view, options, shortest, now), 1.0)),
                               .wait = expected_wait(view, options, now)});
        }
    }
    return reports;
}

/** Average reported wait, weighted by the similarity of the instances' service times. */
double similar_wait(std::span<const recent_report> reports, double service_time)
{
    // Relative difference in speed from which on the load of one instance says little of another.
    constexpr double similarity = 0.3;
    const double own = std::log(std::max(service_time, 1.0));
    double weights = 0;
    double wait = 0;
    for (const recent_report& report : reports)
    {
        const double distance = (report.log_service_time - own) / similarity;
        const double weight = std::exp(-distance * distance / 2);
        weights += weight;
        wait += weight * report.wait;
    }
    // Without reports of similar instances, no wait is assumed. A single one is no reason to prefer
    // its instance to unknown ones.
    constexpr double no_wait_weight = 1;
    return wait / (weights + no_wait_weight);
}

/** Expected network delay of a call to the instance and back. */
double current_network_delay(const instance_view& view, const placement_options& options,
                             time_ms now)
{
    return view.network_delay * decay(now - view.network_delay_at, options.network_delay_decay_ms);
}

/** Cost of a call to another locality. */
double remote_locality_cost(const placement_request& request, const placement_options& options)
{
    return options.locality_cost + options.locality_cost_per_kb * request.response_kb;
}

/** What is known of a service's instances together. */
struct group_knowledge
{
    double shortest_service_time = 0;
    std::vector<recent_report> reports;
};

double cost_of(const instance_view& view, const placement_request& request,
               const placement_options& options, const group_knowledge& group, time_ms now,
               std::mt19937_64& rng)
{
    const double service_time =
        estimate_service_time(view, options, group.shortest_service_time, now);
    double cost = expected_wait(view, options, now) + service_time;
    cost *= now < view.reported_cold_until ? options.cold_factor : 1;
    if (!has_recent_report(view, options, now))
    {
        cost += options.similar_wait_weight * similar_wait(group.reports, service_time);
    }
    cost *= 1 + options.error_cost * view.error_fraction;
    cost += current_network_delay(view, options, now);
    cost += view.locality == request.locality ? 0 : remote_locality_cost(request, options);
    cost += view.member == request.own_member
                ? 0
                : static_cast<double>(options.hop_cost) + request.lag_ms;
    return cost * (1 + std::uniform_real_distribution<double>(0, options.noise)(rng));
}

struct priced_instance
{
    std::size_t index = 0;
    double cost = 0;
};

/** Indices of the instances that may get the call; suspended ones only if there are no others. */
std::vector<std::size_t> usable_instances(std::span<const instance_view> views,
                                          const placement_request& request, time_ms now)
{
    std::vector<std::size_t> healthy;
    std::vector<std::size_t> suspended;
    const std::size_t count = request.eligible ? request.eligible->size() : views.size();
    for (std::size_t n = 0; n < count; ++n)
    {
        const std::size_t i = request.eligible ? (*request.eligible)[n] : n;
        const bool tried = std::find(request.tried.begin(), request.tried.end(),
                                     views[i].instance) != request.tried.end();
        if (!tried && !views[i].evacuated)
        {
            const bool is_suspended = now < views[i].suspended_until || now < views[i].room_at;
            (is_suspended ? suspended : healthy).push_back(i);
        }
    }
    return healthy.empty() ? suspended : healthy;
}

/** Part of the slots in use according to recent reports of these instances; 0 without any. */
double reported_use(std::span<const instance_view> views, std::span<const std::size_t> instances,
                    const placement_options& options, time_ms now)
{
    double used = 0;
    double slots = 0;
    for (const std::size_t i : instances)
    {
        const instance_view& view = views[i];
        if (has_recent_report(view, options, now))
        {
            used += view.report.running + view.report.waiting + view.sent_since_report;
            slots += std::max(view.slots, 1);
        }
    }
    return slots > 0 ? used / slots : 0;
}

/** Moves the instances of the request's locality to the front and returns their end. */
std::vector<std::size_t>::iterator partition_local(std::span<const instance_view> views,
                                                   const placement_request& request,
                                                   std::vector<std::size_t>& instances)
{
    return std::partition(instances.begin(), instances.end(),
                          [&](std::size_t i) { return views[i].locality == request.locality; });
}

/** The usable instances, or a random sample of them together with the one on the own VM. */
std::vector<std::size_t> candidates(std::span<const instance_view> views,
                                    const placement_request& request,
                                    const placement_options& options, std::vector<std::size_t> all,
                                    std::mt19937_64& rng)
{
    if (options.choices == 0 || all.size() <= options.choices)
    {
        return all;
    }
    auto local_end = all.end();
    if (remote_locality_cost(request, options) >= options.local_sampling_cost)
    {
        local_end = partition_local(views, request, all);
    }
    std::vector<std::size_t> sampled;
    std::sample(all.begin(), local_end, std::back_inserter(sampled),
                static_cast<std::ptrdiff_t>(options.choices), rng);
    std::sample(local_end, all.end(), std::back_inserter(sampled), 1, rng);
    // No other daemon favours this instance for being on its VM, so it is always considered.
    const auto own =
        std::find_if(all.begin(), all.end(),
                     [&](std::size_t i) { return views[i].member == request.own_member; });
    if (own != all.end() && std::find(sampled.begin(), sampled.end(), *own) == sampled.end())
    {
        sampled.push_back(*own);
    }
    return sampled;
}

} // namespace

double expected_wait(const instance_view& view, const placement_options& options, time_ms now)
{
    const double slots = std::max(view.slots, 1);
    const double service_time = reported_service_time_or_default(view);
    const time_ms age = now - view.reported_at;
    if (!has_recent_report(view, options, now))
    {
        const double excess = view.in_flight - slots + 1;
        return std::max(0.0, excess) * service_time / slots;
    }
    const double free = slots - view.report.running - view.sent_since_report;
    if (view.report.waiting == 0 && free > 0)
    {
        return 0;
    }
    // The queue has shrunk since the report and grown by the calls sent from here.
    const double queued = static_cast<double>(view.report.backlog) - static_cast<double>(age);
    const double added = view.report.backlog > 0 ? static_cast<double>(view.sent_since_report)
                                                 : std::max(0.0, 1 - free);
    return std::max(0.0, queued) + added * service_time / slots;
}

std::optional<placement> place_call(std::span<const instance_view> views,
                                    const placement_request& request,
                                    const placement_options& options, time_ms now,
                                    std::mt19937_64& rng)
{
    const double shortest = shortest_service_time(views);
    const group_knowledge group{
        .shortest_service_time = shortest,
        .reports = recent_reports(views, request.own_member, options, shortest, now)};
    const auto choose = [&](std::vector<std::size_t> instances)
    {
        std::optional<priced_instance> best;
        for (const std::size_t i : candidates(views, request, options, std::move(instances), rng))
        {
            const double cost = cost_of(views[i], request, options, group, now, rng);
            if (!best || cost < best->cost)
            {
                best = {.index = i, .cost = cost};
            }
        }
        return best;
    };
    std::vector<std::size_t> usable = usable_instances(views, request, now);
    std::optional<priced_instance> best;
    const double local_limit = options.local_fraction * request.target_time_left;
    if (local_limit > 0)
    {
        const std::vector<std::size_t> local(usable.begin(),
                                             partition_local(views, request, usable));
        best = choose(local);
        // The use of the others tells that of an instance without a recent report.
        const bool is_known = best && has_recent_report(views[best->index], options, now);
        const double use = is_known ? reported_use(views, {&best->index, 1}, options, now)
                                    : reported_use(views, local, options, now);
        best =
            best && best->cost <= local_limit && use < options.max_local_use ? best : std::nullopt;
    }
    if (!best)
    {
        best = choose(std::move(usable));
    }
    if (!best)
    {
        return std::nullopt;
    }
    const instance_view& chosen = views[best->index];
    return placement{.index = best->index,
                     .wait = static_cast<time_ms>(expected_wait(chosen, options, now)),
                     .report_age = chosen.reported_at == 0 ? -1 : now - chosen.reported_at,
                     .known_service_time = known_service_time(chosen)};
}

std::optional<double> shortest_wait(std::span<const instance_view> views,
                                    const placement_options& options, time_ms now)
{
    std::optional<double> shortest;
    for (const instance_view& view : views)
    {
        if (view.evacuated)
        {
            continue;
        }
        const double wait =
            std::max(expected_wait(view, options, now), static_cast<double>(view.room_at - now));
        shortest = std::min(shortest.value_or(wait), wait);
    }
    return shortest;
}

void record_sent(instance_view& view)
{
    ++view.in_flight;
    ++view.sent_since_report;
}

void record_ended(instance_view& view)
{
    view.in_flight = std::max(view.in_flight - 1, 0);
}

void record_network_delay(instance_view& view, time_ms network_delay,
                          const placement_options& options, time_ms now)
{
    const double known = current_network_delay(view, options, now);
    view.network_delay =
        known + options.network_delay_gain *
                    (static_cast<double>(std::max<time_ms>(network_delay, 0)) - known);
    view.network_delay_at = now;
}

void record_report(instance_view& view, const queue_report& report, time_ms now)
{
    view.report = report;
    view.reported_at = now;
    view.sent_since_report = 0;
    view.reported_cold_until = now + report.cold_left;
    view.room_at = now + report.room_in;
    view.cold_until = std::max(view.cold_until, report.cold_left > 0 ? now + report.cold_left : 0);
}

void record_response(instance_view& view, bool server_error, const placement_options& options)
{
    view.consecutive_failures = 0;
    view.suspended_until = 0;
    view.error_fraction += options.error_gain * ((server_error ? 1.0 : 0.0) - view.error_fraction);
}

void record_no_response(instance_view& view, const placement_options& options, time_ms now)
{
    ++view.consecutive_failures;
    if (view.consecutive_failures >= options.failures_to_suspend)
    {
        view.suspended_until = now + options.suspension_time;
    }
}

} // namespace sardinepoint
