#pragma once

#include "node.hpp"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string_view>
#include <vector>

namespace sardinepoint
{

/**
 * This daemon's next offset and the time since its state was known to include the whole log. Empty
 * if it isn't ready.
 */
nlohmann::json freshness_message(const node& self);

/**
 * The freshness message with the records from offset `from`. It has a snapshot instead if the
 * records are no longer kept or `force_snapshot` is set.
 */
nlohmann::json records_since(const node& self, std::uint64_t from, bool force_snapshot = false);

/** Size of the records since this offset; the maximum of the type if they are no longer kept. */
std::size_t records_size_since(const replica& config, std::uint64_t from);

/** Applies a message made by records_since(). */
void apply_records_message(node& self, const nlohmann::json& message, std::string_view source);

nlohmann::json to_json(const log_record& record);

/** Parses an array of records. Returns an empty vector if any of them is invalid. */
std::vector<log_record> parse_records(const nlohmann::json& values);

} // namespace sardinepoint
