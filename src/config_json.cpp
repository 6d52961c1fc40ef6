#include "config_json.hpp"

#include <utility>

namespace sardinepoint::detail
{

namespace
{

using nlohmann::json;

constexpr time_ms max_call_timeout_ms = 600'000;
constexpr int lowest_priority = 1000;
constexpr int max_call_attempts = 100;
constexpr double max_weight = 1e9;
constexpr std::int64_t max_configurable_bytes = std::int64_t{1} << 32U;
constexpr int max_upstream_connections = 1'000'000;
constexpr double max_call_rate = 1e9;

std::vector<split_target> parse_split(const json& values, json_reader& route_reader)
{
    std::vector<split_target> targets;
    error unused;
    double sum = 0;
    for (const json& value : values)
    {
        json_reader reader(value, "split", error_kind::invalid_patch, unused);
        split_target target{.service = reader.text("service"),
                            .weight = reader.number("weight", 0, max_weight)};
        if (!reader.finish())
        {
            route_reader.fail("split", "has a target that can't be read",
                              "give each target a service and a weight");
            return {};
        }
        sum += target.weight;
        targets.push_back(std::move(target));
    }
    if (sum <= 0)
    {
        route_reader.fail("split", "has no weight", "give one target a weight above 0");
    }
    return targets;
}

organisation parse_organisation(json_reader& reader)
{
    organisation value;
    value.name = reader.text("name");
    for (const json& digest : reader.array("key_digests"))
    {
        if (!digest.is_string())
        {
            reader.fail("key_digests", "has an entry that is not a string",
                        "give the digests of the keys");
            break;
        }
        value.key_digests.push_back(digest.get<std::string>());
    }
    if (reader.has("priority"))
    {
        value.priority = static_cast<int>(reader.integer("priority", 0, lowest_priority));
    }
    value.rate_per_s = reader.number_or("rate_per_s", 0, 0, max_call_rate);
    value.burst = reader.number_or("burst", 0, 0, max_call_rate);
    return value;
}

} // namespace

json to_json(const route& value)
{
    json out{{"name", value.name},
             {"prefix", value.prefix},
             {"service", value.service},
             {"timeout_ms", value.timeout}};
    if (value.idempotent)
    {
        out["idempotent"] = *value.idempotent;
    }
    if (!value.host.empty())
    {
        out["host"] = value.host;
    }
    for (const split_target& target : value.split)
    {
        out["split"].push_back({{"service", target.service}, {"weight", target.weight}});
    }
    if (value.latency_target > 0)
    {
        out["goal_ms"] = value.latency_target;
    }
    if (value.priority > 0)
    {
        out["priority"] = value.priority;
    }
    if (value.max_attempts > 0)
    {
        out["max_attempts"] = value.max_attempts;
    }
    if (value.is_public)
    {
        out["public"] = true;
    }
    return out;
}

json to_json(const organisation& value)
{
    json out{{"name", value.name}, {"key_digests", value.key_digests}};
    if (value.priority)
    {
        out["priority"] = *value.priority;
    }
    if (value.rate_per_s > 0)
    {
        out["rate_per_s"] = value.rate_per_s;
        out["burst"] = value.burst;
    }
    return out;
}

json to_json(const service_config& value)
{
    json out{{"name", value.name}, {"versions", value.versions}};
    if (value.max_connections > 0)
    {
        out["max_connections"] = value.max_connections;
    }
    if (value.cold_rate > 0)
    {
        out["cold_rate"] = value.cold_rate;
    }
    if (value.cold_time > 0)
    {
        out["cold_time_ms"] = value.cold_time;
    }
    if (!value.health_path.empty())
    {
        out["health_path"] = value.health_path;
    }
    return out;
}

json to_json(const caller_limits& value)
{
    return {{"max_header_bytes", value.max_header_bytes},
            {"max_body_bytes", value.max_body_bytes},
            {"header_timeout_ms", value.header_timeout},
            {"idle_timeout_ms", value.idle_timeout}};
}

route parse_route(json_reader& reader)
{
    route value;
    value.name = reader.text("name");
    value.host = reader.text_or("host", "");
    value.prefix = reader.text("prefix");
    if (reader.has("split"))
    {
        value.split = parse_split(reader.array("split"), reader);
    }
    // The service of a split route is optional: it only names the route's statistics.
    value.service = value.split.empty() ? reader.text("service") : reader.text_or("service", "");
    value.timeout = reader.integer_or("timeout_ms", value.timeout, 1, max_call_timeout_ms);
    if (reader.has("idempotent"))
    {
        value.idempotent = reader.boolean_or("idempotent", false);
    }
    value.latency_target = reader.integer_or("goal_ms", 0, 0, max_call_timeout_ms);
    value.priority = static_cast<int>(reader.integer_or("priority", 0, 0, lowest_priority));
    value.max_attempts =
        static_cast<int>(reader.integer_or("max_attempts", 0, 0, max_call_attempts));
    value.is_public = reader.boolean_or("public", false);
    if (!value.prefix.empty() && value.prefix.front() != '/')
    {
        reader.fail("prefix", "does not start with '/'", "give a path such as /duty");
    }
    return value;
}

std::map<std::string, int> parse_shares(json_reader& reader, std::string_view key)
{
    constexpr int full_percent = 100;
    std::map<std::string, int> shares;
    int sum = 0;
    for (const auto& [version, share] : reader.object(key).items())
    {
        if (version.empty() || !share.is_number_integer() || share < 0 || share > full_percent)
        {
            reader.fail(key, "has a share that is not a whole percentage",
                        "give each version a whole number from 0 to 100");
            return {};
        }
        shares[version] = share.get<int>();
        sum += shares[version];
    }
    if (sum != full_percent)
    {
        reader.fail(key, "has shares with the sum " + std::to_string(sum),
                    "make the shares add up to 100");
    }
    return shares;
}

service_config parse_service(json_reader& reader, bool versions_required)
{
    service_config value;
    value.name = reader.text("name");
    if (versions_required || (reader.has("versions") && !reader.object("versions").empty()))
    {
        value.versions = parse_shares(reader, "versions");
    }
    value.max_connections =
        static_cast<int>(reader.integer_or("max_connections", 0, 0, max_upstream_connections));
    value.cold_rate = reader.number_or("cold_rate", 0, 0, max_call_rate);
    value.cold_time = reader.integer_or("cold_time_ms", 0, 0, max_call_timeout_ms);
    value.health_path = reader.text_or("health_path", "");
    if (!value.health_path.empty() && value.health_path.front() != '/')
    {
        reader.fail("health_path", "does not start with '/'", "give a path such as /health");
    }
    return value;
}

std::map<std::string, route> parse_routes(json_reader& reader, error_kind kind, error& reason)
{
    std::map<std::string, route> routes;
    for (const json& value : reader.array("routes"))
    {
        json_reader item(value, "route", kind, reason);
        route parsed = parse_route(item);
        item.finish();
        std::string name = parsed.name;
        routes[std::move(name)] = std::move(parsed);
    }
    return routes;
}

std::map<std::string, service_config> parse_services(json_reader& reader, error_kind kind,
                                                     error& reason)
{
    std::map<std::string, service_config> services;
    for (const json& value : reader.array("services"))
    {
        json_reader item(value, "service", kind, reason);
        service_config parsed = parse_service(item, false);
        item.finish();
        std::string name = parsed.name;
        services[std::move(name)] = std::move(parsed);
    }
    return services;
}

std::map<std::string, organisation> parse_organisations(json_reader& reader, error_kind kind,
                                                        error& reason)
{
    std::map<std::string, organisation> organisations;
    if (!reader.has("organisations"))
    {
        return organisations;
    }
    for (const json& value : reader.array("organisations"))
    {
        json_reader item(value, "organisation", kind, reason);
        organisation parsed = parse_organisation(item);
        item.finish();
        std::string name = parsed.name;
        organisations[std::move(name)] = std::move(parsed);
    }
    return organisations;
}

caller_limits parse_limits(const json& value, error_kind kind, error& reason)
{
    json_reader reader(value, "limits", kind, reason);
    caller_limits limits;
    limits.max_header_bytes = static_cast<std::size_t>(
        reader.integer_or("max_header_bytes", static_cast<std::int64_t>(limits.max_header_bytes), 1,
                          max_configurable_bytes));
    limits.max_body_bytes = static_cast<std::size_t>(
        reader.integer_or("max_body_bytes", static_cast<std::int64_t>(limits.max_body_bytes), 1,
                          max_configurable_bytes));
    limits.header_timeout =
        reader.integer_or("header_timeout_ms", limits.header_timeout, 1, max_call_timeout_ms);
    limits.idle_timeout =
        reader.integer_or("idle_timeout_ms", limits.idle_timeout, 1, max_call_timeout_ms);
    reader.finish();
    return limits;
}

} // namespace sardinepoint::detail
