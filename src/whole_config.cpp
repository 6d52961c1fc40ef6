#include "config_json.hpp"
#include "packed_text.hpp"

#include "sardinepoint/config.hpp"

#include <limits>
#include <utility>

namespace sardinepoint
{

namespace
{

using detail::json_reader;
using nlohmann::json;

constexpr error_kind config_error = error_kind::invalid_patch;
constexpr time_ms max_order_duration_ms = 24LL * 3600 * 1000;

// Most deltas are a few hundred bytes long, where compression gains nothing.
constexpr std::size_t max_uncompressed_delta_bytes = 4U << 10U;
// Bounds the memory for decompression; a record of the platform's store has at most 256 KB.
constexpr std::size_t max_unpacked_delta_bytes = 1U << 20U;

// Faulty versions in ordered moves fail or slow down a large fraction of their responses, while
// calls to other services fail occasionally on both versions.
constexpr double order_tolerated_increase = 0.08;
constexpr double order_tolerated_slow_increase = 0.25;
// The published outcome of an ordered move is final, so there is no watch period.
constexpr time_ms order_watch_ms = 0;

bool check_target(const route& value, std::string_view service,
                  const std::map<std::string, service_config>& services, error& reason)
{
    if (services.contains(std::string(service)))
    {
        return true;
    }
    reason = {error_kind::unknown_service,
              "route '" + value.name + "' names the unknown service '" + std::string(service) + "'",
              "add the service in the same change or correct the name"};
    return false;
}

bool check_split(const route& value, const std::map<std::string, service_config>& services,
                 error& reason)
{
    double sum = 0;
    for (const split_target& target : value.split)
    {
        if (!check_target(value, target.service, services, reason))
        {
            return false;
        }
        if (!(target.weight >= 0))
        {
            reason = {config_error, "route '" + value.name + "' has a negative weight",
                      "give weights of 0 or more"};
            return false;
        }
        sum += target.weight;
    }
    if (!(sum > 0))
    {
        reason = {config_error, "route '" + value.name + "' has no weight above 0",
                  "give one service of the split a weight"};
        return false;
    }
    return true;
}

std::vector<std::string> parse_names(json_reader& reader, std::string_view key)
{
    std::vector<std::string> names;
    for (const json& name : reader.array(key))
    {
        if (!name.is_string())
        {
            reader.fail(key, "has a name that is not a string", "give a list of names");
            break;
        }
        names.push_back(name.get<std::string>());
    }
    return names;
}

template <typename Value>
json to_json_array(const std::map<std::string, Value>& values)
{
    json all = json::array();
    for (const auto& [name, value] : values)
    {
        all.push_back(detail::to_json(value));
    }
    return all;
}

} // namespace

std::vector<move_step> ordered_move_steps()
{
    // Until the 50% step the new version receives less than 5% of the calls of the whole move,
    // below the 10% that a bad version may receive. The time after the last step is left for calls
    // in progress on the old version to finish.
    return {
        {.share = 3, .start_fraction = 0},      {.share = 8, .start_fraction = 0.25},
        {.share = 20, .start_fraction = 0.42},  {.share = 50, .start_fraction = 0.53},
        {.share = 100, .start_fraction = 0.60},
    };
}

std::string dump_whole_config(const whole_config& config)
{
    json out{{"kind", "whole"},
             {"version", config.version},
             {"routes", to_json_array(config.routes)},
             {"services", to_json_array(config.services)},
             {"limits", detail::to_json(config.limits)}};
    if (!config.organisations.empty())
    {
        out["organisations"] = to_json_array(config.organisations);
    }
    return out.dump();
}

bool check_routes(const std::map<std::string, route>& routes,
                  const std::map<std::string, service_config>& services, error& reason)
{
    for (const auto& [name, value] : routes)
    {
        if (!value.prefix.starts_with('/'))
        {
            reason = {config_error, "route '" + name + "' has the prefix '" + value.prefix + "'",
                      "begin prefixes with a slash"};
            return false;
        }
        if (value.timeout <= 0)
        {
            reason = {config_error, "route '" + name + "' has no timeout above 0",
                      "give it a timeout"};
            return false;
        }
        const bool valid = value.split.empty()
                               ? check_target(value, value.service, services, reason)
                               : check_split(value, services, reason);
        if (!valid)
        {
            return false;
        }
    }
    return true;
}

bool check_organisations(const std::map<std::string, organisation>& organisations, error& reason)
{
    std::map<std::string_view, std::string_view> owners;
    for (const auto& [name, value] : organisations)
    {
        if (!(value.rate_per_s >= 0) || !(value.burst >= 0))
        {
            reason = {config_error, "organisation '" + name + "' has a negative limit",
                      "give a rate and a burst of 0 or more"};
            return false;
        }
        for (const std::string& digest : value.key_digests)
        {
            const auto [owner, is_new] = owners.emplace(digest, name);
            if (!is_new && owner->second != name)
            {
                reason = {config_error,
                          "organisations '" + std::string(owner->second) + "' and '" + name +
                              "' share a key",
                          "give each organisation keys of its own"};
                return false;
            }
        }
    }
    return true;
}

config_delta make_delta(const config_state& state, const whole_config& next)
{
    config_delta delta{.base = state.version,
                       .version = next.version,
                       .services = next.services,
                       .limits = next.limits};
    for (const auto& [name, value] : next.routes)
    {
        const auto before = state.routes.find(name);
        if (before == state.routes.end() || before->second != value)
        {
            delta.routes[name] = value;
        }
    }
    for (const auto& [name, value] : state.routes)
    {
        if (!next.routes.contains(name))
        {
            delta.removed_routes.push_back(name);
        }
    }
    for (const auto& [name, value] : next.organisations)
    {
        const auto before = state.organisations.find(name);
        if (before == state.organisations.end() || before->second != value)
        {
            delta.organisations[name] = value;
        }
    }
    for (const auto& [name, value] : state.organisations)
    {
        if (!next.organisations.contains(name))
        {
            delta.removed_organisations.push_back(name);
        }
    }
    return delta;
}

whole_config apply_delta(const config_state& state, const config_delta& delta)
{
    whole_config config{.version = delta.version,
                        .routes = state.routes,
                        .services = delta.services,
                        .limits = delta.limits,
                        .organisations = state.organisations};
    for (const std::string& name : delta.removed_routes)
    {
        config.routes.erase(name);
    }
    for (const std::string& name : delta.removed_organisations)
    {
        config.organisations.erase(name);
    }
    for (const auto& [name, value] : delta.organisations)
    {
        config.organisations[name] = value;
    }
    for (const auto& [name, value] : delta.routes)
    {
        config.routes[name] = value;
    }
    return config;
}

std::string dump_delta(const config_delta& delta)
{
    json out{{"kind", "delta"},
             {"base", delta.base},
             {"version", delta.version},
             {"routes", to_json_array(delta.routes)},
             {"removed_routes", delta.removed_routes},
             {"services", to_json_array(delta.services)},
             {"limits", detail::to_json(delta.limits)}};
    if (!delta.organisations.empty())
    {
        out["organisations"] = to_json_array(delta.organisations);
    }
    if (!delta.removed_organisations.empty())
    {
        out["removed_organisations"] = delta.removed_organisations;
    }
    std::string text = out.dump();
    return text.size() <= max_uncompressed_delta_bytes
               ? text
               : json{{"kind", "packed"}, {"text", pack_text(text)}}.dump();
}

std::optional<std::string> unpack_delta(std::string_view text, error& reason)
{
    reason = {};
    const auto parsed = detail::parse_json(text, config_error, reason);
    if (!parsed)
    {
        return std::nullopt;
    }
    json_reader reader(*parsed, "packed delta", config_error, reason);
    reader.text("kind");
    const std::string packed = reader.text("text");
    if (!reader.finish())
    {
        return std::nullopt;
    }
    auto unpacked = unpack_text(packed, max_unpacked_delta_bytes);
    if (!unpacked)
    {
        reason = {config_error, "the packed text is damaged or too long",
                  "read the record from the log"};
    }
    return unpacked;
}

std::optional<config_delta> parse_delta(std::string_view text, error& reason)
{
    reason = {};
    const auto parsed = detail::parse_json(text, config_error, reason);
    if (!parsed)
    {
        return std::nullopt;
    }
    json_reader reader(*parsed, "delta", config_error, reason);
    reader.text_or("kind", "delta");
    config_delta delta{.base = reader.unsigned_integer("base"),
                       .version = reader.unsigned_integer("version")};
    delta.routes = detail::parse_routes(reader, config_error, reason);
    delta.removed_routes = parse_names(reader, "removed_routes");
    delta.services = detail::parse_services(reader, config_error, reason);
    delta.organisations = detail::parse_organisations(reader, config_error, reason);
    if (reader.has("removed_organisations"))
    {
        delta.removed_organisations = parse_names(reader, "removed_organisations");
    }
    delta.limits = detail::parse_limits(reader.object("limits"), config_error, reason);
    if (!reader.finish() || reason.kind != error_kind::none)
    {
        return std::nullopt;
    }
    return delta;
}

std::optional<whole_config> parse_whole_config(std::string_view text, error& reason)
{
    reason = {};
    const auto parsed = detail::parse_json(text, config_error, reason);
    if (!parsed)
    {
        return std::nullopt;
    }
    json_reader reader(*parsed, "configuration", config_error, reason);
    reader.text_or("kind", "whole");
    whole_config config;
    config.version = reader.unsigned_integer("version");
    config.routes = detail::parse_routes(reader, config_error, reason);
    config.services = detail::parse_services(reader, config_error, reason);
    config.limits = detail::parse_limits(reader.object("limits"), config_error, reason);
    config.organisations = detail::parse_organisations(reader, config_error, reason);
    if (!reader.finish() || reason.kind != error_kind::none)
    {
        return std::nullopt;
    }
    return config;
}

std::string dump_order(const move_order& order)
{
    return json{{"kind", "order"},
                {"service", order.service},
                {"to", order.to},
                {"duration_ms", order.duration}}
        .dump();
}

std::optional<move_order> parse_order(std::string_view text, error& reason)
{
    reason = {};
    const auto parsed = detail::parse_json(text, config_error, reason);
    if (!parsed)
    {
        return std::nullopt;
    }
    json_reader reader(*parsed, "order", config_error, reason);
    reader.text_or("kind", "order");
    move_order order{.service = reader.text("service"),
                     .to = reader.text("to"),
                     .duration = reader.integer("duration_ms", 1, max_order_duration_ms)};
    if (!reader.finish())
    {
        return std::nullopt;
    }
    return order;
}

std::string dump_evacuation(const evacuation& order)
{
    return json{{"kind", "evacuation"}, {"locality", order.locality}, {"active", order.active}}
        .dump();
}

std::optional<evacuation> parse_evacuation(std::string_view text, error& reason)
{
    reason = {};
    const auto parsed = detail::parse_json(text, config_error, reason);
    if (!parsed)
    {
        return std::nullopt;
    }
    json_reader reader(*parsed, "evacuation", config_error, reason);
    reader.text_or("kind", "evacuation");
    evacuation order{.locality = reader.text("locality"),
                     .active = reader.boolean_or("active", true)};
    if (!reader.finish())
    {
        return std::nullopt;
    }
    return order;
}

move_record make_ordered_move(const move_order& order, std::uint64_t offset, time_ms start)
{
    move_record record;
    record.spec = {.id = order.service + "@" + std::to_string(offset),
                   .service = order.service,
                   .from = {},
                   .to = order.to,
                   .start = start,
                   .deadline = start + order.duration,
                   // 0 marks a move that was not started by an order.
                   .order = offset + 1,
                   .policy = {.tolerated_increase = order_tolerated_increase,
                              .tolerated_slow_increase = order_tolerated_slow_increase,
                              .watch_period = order_watch_ms},
                   .steps = ordered_move_steps()};
    return record;
}

} // namespace sardinepoint
