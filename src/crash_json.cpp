#include "crash_json.hpp"

#include "json_reader.hpp"

#include <nlohmann/json.hpp>

#include <limits>

namespace sardinepoint
{

nlohmann::json to_json(const crash_entry& entry)
{
    return {{"f", entry.fingerprint},
            {"c", entry.crashes},
            {"t", entry.last_crash},
            {"s", entry.last_success}};
}

std::optional<crash_entry> crash_from_json(const nlohmann::json& value)
{
    error reason;
    detail::json_reader reader(value, "crash entry", error_kind::internal, reason);
    crash_entry entry;
    entry.last_crash = reader.integer("t", 0, std::numeric_limits<time_ms>::max());
    entry.last_success = reader.integer_or("s", 0, 0, std::numeric_limits<time_ms>::max());
    for (const auto& [upstream, crashes] : reader.object("c").items())
    {
        if (crashes.is_number_unsigned())
        {
            entry.crashes[upstream] = crashes.get<std::uint32_t>();
        }
    }
    // A fingerprint uses all 64 bits, which exceeds the range of the reader's integers.
    if (reader.failed() || !value.contains("f") || !value["f"].is_number_unsigned())
    {
        return std::nullopt;
    }
    entry.fingerprint = value["f"].get<std::uint64_t>();
    return entry;
}

} // namespace sardinepoint
