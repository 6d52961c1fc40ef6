#pragma once

#include "node.hpp"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

namespace sardinepoint
{

/** Most that a change may have to be sent by peers: packed, a thousand added routes. */
inline constexpr std::size_t max_pushed_bytes = 32U << 10U;

/** Folds records that are next in order; others are ignored. Returns how many were folded. */
std::size_t apply_records(node& self, std::span<const log_record> records, std::string_view source);

/** Replaces the state by a snapshot that is newer; older ones are ignored. */
bool adopt_snapshot(node& self, std::string_view snapshot, std::string_view source);

/** Queues the records folded since this offset for the broadcast tree. */
void broadcast_records_since(node& self, std::uint64_t from);

/** Forgets the records that are kept for peers. */
void clear_recent_records(replica& config);

} // namespace sardinepoint
