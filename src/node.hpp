#pragma once

#include "loop_lag.hpp"

#include "sardinepoint/config.hpp"
#include "sardinepoint/connection_pool.hpp"
#include "sardinepoint/event_loop.hpp"
#include "sardinepoint/fold.hpp"
#include "sardinepoint/http_client.hpp"
#include "sardinepoint/http_server.hpp"
#include "sardinepoint/idempotency.hpp"
#include "sardinepoint/limits.hpp"
#include "sardinepoint/log_client.hpp"
#include "sardinepoint/membership.hpp"
#include "sardinepoint/metrics.hpp"
#include "sardinepoint/routing.hpp"
#include "sardinepoint/settings.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace sardinepoint
{

/**
 * A range of records that a newer whole configuration replaces. Each record from `from` up to
 * `newest` is a whole configuration or has no effect, so a daemon that holds all records before
 * `from` needs only `newest`.
 */
struct superseded_records
{
    std::uint64_t from = 0;
    std::uint64_t newest = 0;
};

/** A record received from a peer ahead of a record that is still missing. */
struct out_of_order_record
{
    log_record record;
    std::string source;
};

/** Configuration built from the log's records, and the state needed to keep it current. */
struct replica
{
    config_state state;
    /** Newest records, kept for peers that are behind. */
    std::deque<log_record> recent;
    std::size_t recent_bytes = 0;
    /** By offset; each record is applied as soon as the state reaches its offset. */
    std::map<std::uint64_t, out_of_order_record> out_of_order_records;
    std::size_t out_of_order_bytes = 0;
    bool ready = false;
    std::string not_ready_reason = "the configuration isn't loaded yet";
    /** Value that state.next_offset must reach before the daemon is ready. */
    std::optional<std::uint64_t> target;
    /** Whether the target includes the end of the log as of the first successful read. */
    bool target_from_log = false;
    /** Steady time before which a gap in the pushed records triggers no further exchange. */
    time_ms next_gap_repair = 0;
    /** Steady time before which no records are sent to peers, except small ones on request. */
    time_ms next_records_send = 0;
    /** Highest next offset that a peer has advertised. The daemon is behind if its own is lower. */
    std::uint64_t advertised_offset = 0;
    /** Whether advertised records were still missing after the time allowed for reading them. Only
     * meaningful while the daemon is behind. */
    bool advertised_read_late = false;
    /** Steady time until which peers are expected to send the records that they advertised. */
    time_ms await_peers_until = 0;
    /** Empty if the newest record that has an effect isn't a whole configuration. */
    std::optional<superseded_records> superseded;
    /** The range with the highest `newest` that a peer has advertised. */
    superseded_records advertised_superseded;
    /** Latest steady time at which the state is known to have included all records of the log. */
    time_ms fresh_at = 0;
    bool log_reachable = false;
    /** The next record is available only as a delta against a version other than the state's. */
    bool delta_unusable = false;
    bool reading = false;
    time_ms next_read = 0;
    time_ms snapshot_at = 0;
    bool writing_snapshot = false;
};

/** An upstream that announced itself on this daemon's VM. */
struct local_upstream
{
    upstream_record record;
    upstream_slots slots;
    time_ms lease_until = 0;
    int reported_load = 0;
};

/** Control endpoint of a daemon that may not be in the member table yet. */
struct peer_contact
{
    std::string id;
    std::string domain;
    endpoint control;
    int failures = 0;
    /** Hash of the summary that this contact's domain is known to hold. */
    std::uint64_t summary_sent = 0;
};

/** Latest summary that another failure domain advertised. */
struct remote_domain
{
    domain_summary summary;
    std::uint64_t version = 0;
    time_ms received = 0;
};

/** Items to send through the broadcast tree at the next flush. */
struct outbox
{
    std::vector<log_record> records;
    std::set<std::string> members;
    std::set<std::uint64_t> crashes;
    std::set<std::string> domains;
    std::set<std::string> moves;
    /** Records were applied that aren't broadcast; other daemons read them from the log. */
    bool unpushed = false;
    bool freshness = false;
    bool scheduled = false;
};

/** Candidate upstreams for calls to one service and version. */
struct endpoint_group
{
    std::vector<endpoint_candidate> candidates;
    /** Data endpoint of each candidate. */
    std::vector<endpoint> addresses;
    std::uint64_t revision = 0;
    std::uint64_t domains_revision = 0;
};

/** Broadcasts seen from one root, so that each is forwarded once. */
struct broadcast_window
{
    std::uint64_t highest = 0;
    /** Bit i is set if the broadcast highest - i was seen. */
    std::uint64_t seen = 0;
};

/** Event loop iterations that exceeded the time limit since the last report. */
struct slow_loop_stats
{
    std::uint64_t count = 0;
    std::int64_t longest_us = 0;
    time_ms reported_at = 0;
};

struct ingress_call;
struct hop_call;
struct move_runtime;
struct sidecar;

/** State of one daemon. Each component is a set of functions over it in a source file of its own.
 */
struct node
{
    node();
    ~node();
    node(const node&) = delete;
    node& operator=(const node&) = delete;

    settings config;
    event_loop* loop = nullptr;
    /** Limits that all listeners share; outlives them. */
    std::unique_ptr<intake::gate> intake;
    http_client_ptr data_client;
    http_client_ptr control_client;
    http_server_ptr data_server;
    http_server_ptr control_server;
    log_client log;
    metrics stats;
    slow_loop_stats slow_iterations;
    loop_lag lag;
    std::mt19937_64 random{std::random_device{}()};
    std::uint64_t incarnation = 0;
    bool leaving = false;
    /** Steady time at which the planned shutdown started. */
    time_ms leaving_since = 0;
    /** Peers have been told of the shutdown, and calls for upstreams of this VM are refused. */
    bool left = false;
    bool drained = false;

    replica config_replica;

    member_table members;
    failure_detector detector;
    std::map<std::string, peer_contact> contacts;
    std::map<std::string, remote_domain> domains;
    std::uint64_t domains_revision = 0;
    outbox pending;
    std::uint64_t broadcast_sequence = 0;
    /** By the id and incarnation of the root. */
    std::map<std::string, broadcast_window> broadcasts_seen;
    time_ms contacts_read_at = 0;
    /** Steady time of the last message or response from another daemon. */
    time_ms peers_heard_at = 0;
    /** Steady time of the last announcement as gateway; 0 if one is due. */
    time_ms gateway_announced_at = 0;
    time_ms first_peer_response_at = 0;

    std::map<std::string, local_upstream> upstreams;
    /** Keep-alive connections to the upstreams of this VM: at most one for each slot. */
    connection_pool_ptr upstream_pool;
    quarantine_table quarantine;
    /** Frequently answered requests, which are likely to be running on any upstream that crashes
     * and so are weak suspects. */
    answered_requests answered;
    key_table keys;

    std::map<std::pair<std::string, std::string>, endpoint_group> endpoint_groups;
    balance_options balancing;
    spill_budget spill;
    retry_budget ingress_retry_budget;
    std::unordered_map<std::uint64_t, std::unique_ptr<ingress_call>> calls;
    std::unordered_map<std::uint64_t, std::unique_ptr<hop_call>> hops;
    /** Number of slots per upstream that abandoned calls still hold for a short time. */
    std::map<std::string, int> abandoned_slots;
    std::uint64_t last_hop_id = 0;

    std::unique_ptr<move_runtime> moves;
    /** Set only in a daemon that serves the callers of its VM. */
    std::unique_ptr<sidecar> sidecar_state;
};

/** Returns the daemon's current member record for publication. */
member_record describe_self(const node& self);

/** Publishes the daemon's own record to its failure domain if it changed. */
void publish_self_record(node& self);

/** Options of a connection pool. A daemon has two, and each may use a quarter of its memory. */
connection_pool_options pool_options(const settings& config);

/** Limits of a listener that is opened for the daemon. */
intake::gate_options intake_options(const node& self, intake::listener_role role, std::string name);

/** Total bytes sent and received on control connections. */
std::uint64_t control_bytes(const node& self);

} // namespace sardinepoint
