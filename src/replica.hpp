#pragma once

#include "node.hpp"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <span>

namespace sardinepoint
{

/** Loads the newest snapshot and catches up with the log or, when it is out, with peers. */
void start_replica(node& self);

/** Called often; reads the log if it is this daemon's turn, and writes snapshots. */
void tick_replica(node& self);

/** Reads the log at the next opportunity even if that is another daemon's turn. */
void request_read(node& self);

/** Whether peers hold records that are missing here, as far as they told. */
bool is_behind(const node& self);

/** Whether peers are asked for the records themselves, not just how far they got. */
bool wants_records(const node& self);

/** A peer holds records up to this offset: reads the log for them, or asks that peer. */
void follow_peer(node& self, std::uint64_t next_offset, const endpoint& peer);

/** Reads the log once now, also while a long poll is in progress. */
void read_beside_poll(node& self);

/** Folds records that are next in order; others are ignored. Returns how many were folded. */
std::size_t apply_records(node& self, std::span<const log_record> records, std::string_view source);

/** Replaces the state by a snapshot that is newer; older ones are ignored. */
bool adopt_snapshot(node& self, std::string_view snapshot, std::string_view source);

/** Notes that a ready peer holds the configuration up to this offset. */
void note_peer_offset(node& self, std::uint64_t next_offset);

/** Notes that some daemon has served this offset, which doesn't prove that no newer one exists. */
void note_served_offset(node& self, std::uint64_t next_offset);

/** Queues the records folded since this offset for the broadcast tree. */
void spread_records_since(node& self, std::uint64_t from);

/** Becomes ready if the target offset is reached. */
void check_ready(node& self);

/** Whether this daemon is one of the domain's readers of the log. */
bool is_fetcher(const node& self);

/** Milliseconds since the state was known to be complete. */
time_ms freshness_age(const node& self);

/** Takes over a peer's freshness if the own state is at least as new. */
void note_freshness(node& self, std::uint64_t peer_next_offset, time_ms age);

/** How far this daemon got and how long ago that was known to be all; empty if it isn't ready. */
nlohmann::json freshness_message(const node& self);

/**
 * The freshness and what a peer that has folded up to `from` lacks: records, or a snapshot if it is
 * too far back or asks for the whole state.
 */
nlohmann::json records_since(const node& self, std::uint64_t from, bool whole = false);

/** Applies the answer of records_since. */
void apply_records_message(node& self, const nlohmann::json& message, std::string_view source);

nlohmann::json to_json(const log_record& record);
std::vector<log_record> records_from_json(const nlohmann::json& values);

} // namespace sardinepoint
