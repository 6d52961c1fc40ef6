#pragma once

#include "node.hpp"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

namespace sardinepoint
{

/** Size limit of a change that peers send: about a thousand added routes, compressed. */
inline constexpr std::size_t max_pushed_bytes = 32U << 10U;

/**
 * Applies the records that are next in order and returns their number. Later ones are buffered up
 * to a size limit, except whole configurations, and older ones are ignored.
 */
std::size_t apply_records(node& self, std::span<const log_record> records, std::string_view source);

/**
 * Replaces the state by the snapshot. Returns false and keeps the state if the snapshot is invalid
 * or isn't newer.
 */
bool adopt_snapshot(node& self, std::string_view snapshot, std::string_view source);

/** Queues the kept records from this offset on for the broadcast tree. */
void broadcast_records_since(node& self, std::uint64_t from);

/** Drops the records that are kept for peers. */
void clear_recent_records(replica& config);

} // namespace sardinepoint
