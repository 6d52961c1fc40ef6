#include "model/load_figures.hpp"

#include <algorithm>
#include <string>

namespace model
{

namespace
{

// Penalty as a fraction of the utility of the call concerned, and the difference between the
// served fractions of two routes up to which there is none.
constexpr double priority_inversion_penalty = 0.5;
constexpr double priority_inversion_tolerance = 0.05;
// Number of the worst seconds whose mean is worst_seconds.
constexpr int worst_second_count = 2;

/** Returns count / total, or 1 if the total is 0. */
double fraction(double count, double total)
{
    return total > 0 ? count / total : 1;
}

/** Penalty for routes whose calls are served less often than those of a less urgent route that
 * needs the same service: half of their utility times the difference beyond the tolerance. */
double priority_inversion(const scenario& plan, const std::vector<route_metrics>& routes)
{
    const auto served = [](const route_metrics& sum)
    {
        return fraction(sum.within_latency_target + sum.late, sum.calls);
    };
    const auto needs_service = [&](const route_load& route, const std::string& service)
    {
        return route.service == service ||
               std::any_of(route.calls.begin(), route.calls.end(),
                           [&](const inner_calls& inner)
                           {
                               return std::any_of(plan.routes.begin(), plan.routes.end(),
                                                  [&](const route_load& other) {
                                                      return other.name == inner.route &&
                                                             other.service == service;
                                                  });
                           });
    };
    double price = 0;
    for (std::size_t i = 0; i < plan.routes.size(); ++i)
    {
        double max_gap = 0;
        for (std::size_t j = 0; j < plan.routes.size(); ++j)
        {
            const bool comparable = plan.routes[i].utility > 0 && plan.routes[j].utility > 0 &&
                                    plan.routes[i].priority < plan.routes[j].priority &&
                                    needs_service(plan.routes[j], plan.routes[i].service);
            max_gap =
                comparable ? std::max(max_gap, served(routes[j]) - served(routes[i])) : max_gap;
        }
        price += priority_inversion_penalty *
                 std::max(max_gap - priority_inversion_tolerance, 0.0) * routes[i].calls *
                 plan.routes[i].utility;
    }
    return price;
}

} // namespace

run_metrics summarize_run(const scenario& plan, const run_totals& totals)
{
    run_metrics result{.routes = totals.routes, .seconds = totals.seconds};
    double offered_utility = 0;
    double achieved_utility = 0;
    double calls = 0;
    double served = 0;
    result.worst_route = 1;
    for (std::size_t i = 0; i < plan.routes.size(); ++i)
    {
        const double utility = plan.routes[i].utility * totals.routes[i].calls;
        result.routes[i].utility = fraction(totals.routes[i].utility, utility);
        if (utility <= 0)
        {
            continue;
        }
        offered_utility += utility;
        achieved_utility += totals.routes[i].utility;
        calls += totals.routes[i].calls;
        served += totals.routes[i].within_latency_target + totals.routes[i].late;
        result.worst_route = std::min(result.worst_route, result.routes[i].utility);
    }
    std::vector<double> second_fractions;
    for (const utility_totals& second : totals.seconds)
    {
        if (second.offered_utility > 0)
        {
            second_fractions.push_back(fraction(second.achieved_utility, second.offered_utility));
        }
    }
    std::sort(second_fractions.begin(), second_fractions.end());
    const std::size_t count = std::min<std::size_t>(worst_second_count, second_fractions.size());
    for (std::size_t i = 0; i < count; ++i)
    {
        result.worst_seconds += second_fractions[i] / static_cast<double>(count);
    }
    std::vector<double> latencies = totals.latencies;
    if (!latencies.empty())
    {
        const auto rank = static_cast<std::ptrdiff_t>(0.99 * static_cast<double>(latencies.size()));
        std::nth_element(latencies.begin(), latencies.begin() + rank, latencies.end());
        result.p99_ms = latencies[static_cast<std::size_t>(rank)];
    }
    double late = 0;
    for (std::size_t i = 0; i < plan.routes.size(); ++i)
    {
        late += plan.routes[i].utility > 0 ? totals.routes[i].late : 0;
    }
    result.late = calls > 0 ? late / calls : 0;
    result.hedges = totals.calls > 0 ? static_cast<double>(totals.hedges) / totals.calls : 0;
    const double used_ms = totals.slot_ms - totals.lost_slot_ms;
    result.extra_work = used_ms > 0 ? totals.lost_slot_ms / used_ms : 0;
    result.worst_locality = 1;
    for (const utility_totals& locality : totals.localities)
    {
        result.worst_locality = std::min(
            result.worst_locality, fraction(locality.achieved_utility, locality.offered_utility));
    }
    result.utility_fraction = fraction(achieved_utility, offered_utility);
    result.served = fraction(served, calls);
    result.refused_again = offered_utility > 0 ? totals.refused_again / offered_utility : 0;
    result.failed_inner = offered_utility > 0 ? totals.failed_inner / offered_utility : 0;
    result.priority_inversion =
        offered_utility > 0 ? priority_inversion(plan, totals.routes) / offered_utility : 0;
    result.total =
        plan.weight_utility * result.utility_fraction +
        plan.weight_worst_seconds * result.worst_seconds + plan.weight_route * result.worst_route +
        plan.weight_locality * result.worst_locality + plan.weight_served * result.served -
        result.refused_again - result.priority_inversion - result.failed_inner;
    return result;
}

} // namespace model
