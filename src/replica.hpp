#pragma once

#include "node.hpp"
#include "sync.hpp"

#include <cstdint>

namespace sardinepoint
{

/** Loads the newest snapshot, then catches up from the log, or from peers during a log outage. */
void start_replica(node& self);

/** Runs the periodic work: reads the log if a read is due and writes a snapshot if one is due. */
void tick_replica(node& self);

/** Reads the log now unless a read is in progress, also on a daemon that isn't a log reader. */
void request_read(node& self);

/** Whether a peer has advertised records that this daemon doesn't have yet. */
bool is_behind(const node& self);

/** Whether missing records are requested from peers, rather than only the peers' offsets. */
bool should_request_records(const node& self);

/** Records to request in the periodic exchange with a peer. */
record_request records_to_request(const node& self);

/** A peer's advertisement that it holds the records before an offset. */
struct advertised_records
{
    std::uint64_t next_offset = 0;
    endpoint peer;
    /** Some of the records, for instance large ones, aren't broadcast; each daemon reads them from
     * the log. */
    bool unpushed = false;
};

/** Fetches the records that a peer advertised, from peers if they are small, else from the log. */
void fetch_advertised_records(node& self, const advertised_records& advertised);

/** Reads the log once now, even while a long poll is in progress. */
void read_during_poll(node& self);

/** Records that a ready peer holds the configuration up to this offset. During a log outage, a
 * starting daemon must reach it before it is ready. */
void record_peer_offset(node& self, std::uint64_t next_offset);

/** Records that some daemon has served this offset, which doesn't prove that it is the newest. A
 * starting daemon must reach it before it is ready. */
void record_served_offset(node& self, std::uint64_t next_offset);

/** Marks this daemon ready once its state has reached the target offset. */
void check_ready(node& self);

/** Whether this daemon is one of the log readers of its failure domain. */
bool is_log_reader(const node& self);

/** Milliseconds since the state was last known to include all records of the log. */
time_ms freshness_age(const node& self);

/** Adopts a peer's freshness if this daemon's state is at least as new as the peer's. */
void record_freshness(node& self, std::uint64_t peer_next_offset, time_ms age);

} // namespace sardinepoint
