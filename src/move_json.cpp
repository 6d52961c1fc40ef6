#include "move_json.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace sardinepoint
{

namespace
{

using nlohmann::json;

// Daemons of earlier releases send no counters of untimed calls.
constexpr std::size_t timed_counters_per_route = 6;
constexpr std::size_t counters_per_route = 8;

} // namespace

json to_json(const evidence_totals& totals)
{
    json routes = json::object();
    for (const auto& [name, counters] : totals)
    {
        routes[name] = {counters.from.calls,   counters.from.failures, counters.from.slow,
                        counters.to.calls,     counters.to.failures,   counters.to.slow,
                        counters.from.untimed, counters.to.untimed};
    }
    return routes;
}

evidence_totals parse_evidence_totals(const json& value)
{
    evidence_totals totals;
    if (!value.is_object())
    {
        return totals;
    }
    for (const auto& [name, counters] : value.items())
    {
        const bool valid =
            counters.is_array() &&
            (counters.size() == counters_per_route ||
             counters.size() == timed_counters_per_route) &&
            std::all_of(counters.begin(), counters.end(),
                        [](const json& counter) { return counter.is_number_unsigned(); });
        if (!valid)
        {
            continue;
        }
        const auto at = [&routes = counters](std::size_t i)
        {
            return i < routes.size() ? routes[i].get<std::uint64_t>() : 0;
        };
        totals[name] = {
            .from = {.calls = at(0), .failures = at(1), .slow = at(2), .untimed = at(6)},
            .to = {.calls = at(3), .failures = at(4), .slow = at(5), .untimed = at(7)}};
    }
    return totals;
}

json to_json(const latency_counts& counts)
{
    json pairs = json::array();
    for (const auto& [bin, count] : counts)
    {
        pairs.push_back({bin, count});
    }
    return pairs;
}

latency_counts parse_latency_counts(const json& value)
{
    latency_counts counts;
    if (!value.is_array())
    {
        return counts;
    }
    for (const json& pair : value)
    {
        const bool valid = pair.is_array() && pair.size() == 2 && pair[0].is_number_integer() &&
                           pair[1].is_number_unsigned();
        if (valid)
        {
            counts[pair[0].get<int>()] = pair[1].get<std::uint64_t>();
        }
    }
    return counts;
}

json to_json(const move_progress& progress)
{
    json value{{"step", progress.step},     {"withdrawn", progress.withdrawn},
               {"done", progress.done},     {"recorded", progress.recorded},
               {"spread", progress.spread}, {"reason", progress.reason}};
    if (progress.holds > 0)
    {
        value["holds"] = progress.holds;
    }
    return value;
}

move_progress parse_progress(const json& value)
{
    move_progress progress;
    const auto number = [&](const char* key)
    {
        const auto found = value.find(key);
        return found != value.end() && found->is_number_integer() ? std::max(0, found->get<int>())
                                                                  : 0;
    };
    progress.step = number("step");
    progress.holds = number("holds");
    const auto flag = [&](const char* key)
    {
        const auto found = value.find(key);
        return found != value.end() && found->is_boolean() && found->get<bool>();
    };
    progress.withdrawn = flag("withdrawn");
    progress.done = flag("done");
    progress.recorded = flag("recorded") && progress.done != progress.withdrawn;
    progress.spread = flag("spread");
    const auto reason = value.find("reason");
    if (reason != value.end() && reason->is_string())
    {
        progress.reason = reason->get<std::string>();
    }
    return progress;
}

} // namespace sardinepoint
