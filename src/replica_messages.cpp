#include "replica_messages.hpp"

#include "peer_messages.hpp"
#include "replica.hpp"
#include "replica_records.hpp"

#include <nlohmann/json.hpp>

#include <limits>
#include <string>
#include <utility>

namespace sardinepoint
{

namespace
{

using nlohmann::json;

constexpr std::size_t max_records_per_message = 256;

/** Stores the range of records that a newer whole configuration replaces, as a peer advertises. */
void record_advertised_superseded(replica& config, const json& message)
{
    const superseded_records advertised{.from = unsigned_field(message, "superseded_from"),
                                        .newest = unsigned_field(message, "newest_whole")};
    if (advertised.newest > config.advertised_superseded.newest)
    {
        config.advertised_superseded = advertised;
    }
}

} // namespace

json to_json(const log_record& record)
{
    return {{"o", record.offset}, {"t", record.appended}, {"b", record.body}};
}

std::vector<log_record> parse_records(const json& values)
{
    std::vector<log_record> records;
    if (!values.is_array())
    {
        return records;
    }
    for (const json& value : values)
    {
        const bool valid = value.is_object() && value.contains("o") &&
                           value["o"].is_number_unsigned() && value.contains("t") &&
                           value["t"].is_number_integer() && value.contains("b") &&
                           value["b"].is_string();
        if (!valid)
        {
            return {};
        }
        records.push_back({.offset = value["o"].get<std::uint64_t>(),
                           .appended = value["t"].get<time_ms>(),
                           .body = value["b"].get<std::string>()});
    }
    return records;
}

json freshness_message(const node& self)
{
    if (!self.config_replica.ready)
    {
        // An incomplete state must not become the target offset of a starting daemon.
        return json::object();
    }
    const replica& config = self.config_replica;
    json message{{"next", config.state.next_offset}, {"age", freshness_age(self)}};
    if (config.superseded)
    {
        message["superseded_from"] = config.superseded->from;
        message["newest_whole"] = config.superseded->newest;
    }
    return message;
}

std::size_t records_size_since(const replica& config, std::uint64_t from)
{
    if (from < config.state.next_offset &&
        (config.recent.empty() || from < config.recent.front().offset))
    {
        return std::numeric_limits<std::size_t>::max();
    }
    std::size_t bytes = 0;
    for (const log_record& record : config.recent)
    {
        bytes += record.offset >= from ? record.body.size() : 0;
    }
    return bytes;
}

json records_since(const node& self, std::uint64_t from, bool force_snapshot)
{
    const replica& config = self.config_replica;
    json message = freshness_message(self);
    if (!config.ready || from >= config.state.next_offset)
    {
        return message;
    }
    if (force_snapshot || config.recent.empty() || from < config.recent.front().offset)
    {
        message["snapshot"] = make_snapshot(config.state);
        return message;
    }
    json records = json::array();
    for (const log_record& record : config.recent)
    {
        if (record.offset >= from && records.size() < max_records_per_message)
        {
            records.push_back(to_json(record));
        }
    }
    message["records"] = std::move(records);
    return message;
}

void apply_records_message(node& self, const json& message, std::string_view source)
{
    record_advertised_superseded(self.config_replica, message);
    if (message.contains("snapshot") && message["snapshot"].is_string())
    {
        adopt_snapshot(self, message["snapshot"].get_ref<const std::string&>(), source);
    }
    if (message.contains("records"))
    {
        apply_records(self, parse_records(message["records"]), source);
    }
    const bool has_next = message.contains("next") && message["next"].is_number_unsigned();
    const bool has_age = message.contains("age") && message["age"].is_number_integer();
    if (has_next)
    {
        record_peer_offset(self, message["next"].get<std::uint64_t>());
        check_ready(self);
    }
    if (has_next && has_age)
    {
        record_freshness(self, message["next"].get<std::uint64_t>(), message["age"].get<time_ms>());
    }
}

} // namespace sardinepoint
