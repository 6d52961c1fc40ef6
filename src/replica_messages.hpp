#pragma once

#include "node.hpp"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string_view>
#include <vector>

namespace sardinepoint
{

/** How far this daemon got and how long ago that was known to be all; empty if it isn't ready. */
nlohmann::json freshness_message(const node& self);

/**
 * The freshness and what a peer that has folded up to `from` lacks: records, or a snapshot if it is
 * too far back or asks for the whole state.
 */
nlohmann::json records_since(const node& self, std::uint64_t from, bool force_snapshot = false);

/** Bytes of the records since this offset; the highest number if they aren't kept any more. */
std::size_t bytes_since(const replica& config, std::uint64_t from);

/** Applies the answer of records_since. */
void apply_records_message(node& self, const nlohmann::json& message, std::string_view source);

nlohmann::json to_json(const log_record& record);
std::vector<log_record> parse_records(const nlohmann::json& values);

} // namespace sardinepoint
