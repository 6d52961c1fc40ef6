#include "model/load_scenario.hpp"

#include "json_reader.hpp"

#include <algorithm>

namespace model
{

namespace
{

using nlohmann::json;
using sardinepoint::error;
using sardinepoint::error_kind;
using sardinepoint::detail::json_reader;

constexpr double max_number = 1e6;
constexpr time_ms max_time_ms = 3'600'000;

json_reader make_reader(const json& value, const std::string& where, error& reason)
{
    return {value, where, error_kind::invalid_argument, reason};
}

bool parse_service(const json& value, service_config& out, error& reason)
{
    json_reader reader = make_reader(value, "service", reason);
    out.name = reader.text("name");
    out.upstreams = static_cast<int>(reader.integer("upstreams", 1, 10'000));
    out.slots = static_cast<int>(reader.integer("slots", 1, 10'000));
    out.speeds.clear();
    for (const json& speed : reader.array("speeds"))
    {
        if (!speed.is_number() || speed.get<double>() <= 0)
        {
            reader.fail("speeds", "contains a value that is not a positive number",
                        "use 1 for the normal speed");
            return false;
        }
        out.speeds.push_back(speed.get<double>());
    }
    if (out.speeds.empty())
    {
        reader.fail("speeds", "is empty", "give at least one speed");
    }
    return reader.finish();
}

bool parse_route(const json& value, route_load& out, error& reason)
{
    json_reader reader = make_reader(value, "route", reason);
    out.name = reader.text("name");
    out.service = reader.text("service");
    out.calls_per_second = reader.number_or("per_second", 0, 0, max_number);
    out.work_ms = reader.number("work_ms", 0, max_number);
    out.work_log_stddev = reader.number_or("spread", out.work_log_stddev, 0, 5);
    out.max_work_ms = reader.number_or("most_work_ms", out.work_ms * 6, 0, max_number);
    out.latency_target = reader.integer("goal_ms", 1, max_time_ms);
    out.deadline = reader.integer("deadline_ms", 1, max_time_ms);
    out.utility = reader.number_or("worth", 0, 0, max_number);
    out.late_utility = reader.number_or("late_worth", 0, 0, max_number);
    out.priority = static_cast<int>(reader.integer_or("priority", 1, 0, 100));
    out.retries = static_cast<int>(reader.integer_or("retries", 0, 0, 10));
    out.idempotent = reader.boolean_or("idempotent", true);
    if (reader.has("calls"))
    {
        for (const json& inner : reader.array("calls"))
        {
            json_reader call = make_reader(inner, "call of " + out.name, reason);
            out.calls.push_back({.route = call.text("route"),
                                 .times = static_cast<int>(call.integer_or("times", 1, 1, 100)),
                                 .fraction = call.number_or("share", 1, 0, 1)});
            if (!call.finish())
            {
                return false;
            }
        }
    }
    return reader.finish();
}

bool parse_disturbance(const json& value, disturbance& out, error& reason)
{
    json_reader reader = make_reader(value, "disturbance", reason);
    out.at = reader.integer("at_ms", 0, max_time_ms);
    out.duration = reader.integer("length_ms", 0, max_time_ms);
    out.service = reader.text_or("service", "");
    out.factor = reader.number_or("factor", 1, 0, max_number);
    out.fraction = reader.number_or("share", 1, 0, 1);
    out.unavailable = reader.boolean_or("gone", false);
    return reader.finish();
}

/** Parses each element of an array. Returns false and sets the reason at the first invalid one. */
template <typename Element, typename Read>
bool parse_all(const json& values, std::vector<Element>& out, Read read, error& reason)
{
    for (const json& value : values)
    {
        out.emplace_back();
        if (!read(value, out.back(), reason))
        {
            return false;
        }
    }
    return true;
}

bool has_service(const scenario& all, const std::string& name)
{
    return std::any_of(all.services.begin(), all.services.end(),
                       [&](const service_config& service) { return service.name == name; });
}

bool check_references(const scenario& all, error& reason)
{
    for (const route_load& route : all.routes)
    {
        if (!has_service(all, route.service))
        {
            reason = {error_kind::invalid_argument,
                      "route '" + route.name + "' names the unknown service '" + route.service +
                          "'",
                      "add the service to 'services' or correct the name"};
            return false;
        }
        for (const inner_calls& inner : route.calls)
        {
            const bool known =
                std::any_of(all.routes.begin(), all.routes.end(),
                            [&](const route_load& other) { return other.name == inner.route; });
            if (!known)
            {
                reason = {error_kind::invalid_argument,
                          "route '" + route.name + "' calls the unknown route '" + inner.route +
                              "'",
                          "add the route to 'routes' or correct the name"};
                return false;
            }
        }
    }
    return true;
}

} // namespace

std::optional<scenario> parse_scenario(std::string_view text, error& reason)
{
    const auto parsed =
        sardinepoint::detail::parse_json(text, error_kind::invalid_argument, reason);
    if (!parsed)
    {
        return std::nullopt;
    }
    scenario result;
    json_reader reader = make_reader(*parsed, "scenario", reason);
    result.name = reader.text("name");
    result.duration = reader.integer("length_ms", 1, max_time_ms);
    result.localities = static_cast<int>(reader.integer_or("localities", 1, 1, 1000));
    result.locality_ms = reader.number_or("locality_ms", result.locality_ms, 0, max_number);
    result.caller_ms = reader.number_or("caller_ms", 0, 0, max_number);
    result.weight_utility = reader.number_or("weight_whole", result.weight_utility, 0, 1);
    result.weight_worst_seconds =
        reader.number_or("weight_windows", result.weight_worst_seconds, 0, 1);
    result.weight_route = reader.number_or("weight_route", result.weight_route, 0, 1);
    result.weight_locality = reader.number_or("weight_locality", result.weight_locality, 0, 1);
    result.weight_served = reader.number_or("weight_served", result.weight_served, 0, 1);
    const bool read =
        parse_all(reader.array("services"), result.services, parse_service, reason) &&
        parse_all(reader.array("routes"), result.routes, parse_route, reason) &&
        (!reader.has("disturbances") ||
         parse_all(reader.array("disturbances"), result.disturbances, parse_disturbance, reason));
    if (!read || !reader.finish() || !check_references(result, reason))
    {
        return std::nullopt;
    }
    return result;
}

} // namespace model
