#pragma once

#include "node.hpp"
#include "sync.hpp"

#include <cstdint>

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
bool should_request_records(const node& self);

/** What peers are asked for in the periodic exchange. */
record_request records_to_request(const node& self);

/** What a peer tells of the records that it holds. */
struct peer_offset
{
    std::uint64_t next_offset = 0;
    endpoint peer;
    /** Some of them are read from the log by each daemon, for instance large ones. */
    bool unpushed = false;
};

/** Gets the records that a peer told of: from peers, which have small ones, or from the log. */
void fetch_advertised_records(node& self, const peer_offset& advertised);

/** Reads the log once now, also while a long poll is in progress. */
void read_during_poll(node& self);

/** Notes that a ready peer holds the configuration up to this offset. */
void record_peer_offset(node& self, std::uint64_t next_offset);

/** Notes that some daemon has served this offset, which doesn't prove that no newer one exists. */
void record_served_offset(node& self, std::uint64_t next_offset);

/** Becomes ready if the target offset is reached. */
void check_ready(node& self);

/** Whether this daemon is one of the domain's readers of the log. */
bool is_log_reader(const node& self);

/** Milliseconds since the state was known to be complete. */
time_ms freshness_age(const node& self);

/** Takes over a peer's freshness if the own state is at least as new. */
void record_freshness(node& self, std::uint64_t peer_next_offset, time_ms age);

} // namespace sardinepoint
