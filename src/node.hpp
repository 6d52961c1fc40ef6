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
 * Each record from `from` up to the newest whole configuration's is one itself or says nothing: who
 * holds all records before `from` needs only the newest.
 */
struct superseded_records
{
    std::uint64_t from = 0;
    std::uint64_t newest = 0;
};

/** A record of a peer that comes after one that is missing. */
struct out_of_order_record
{
    log_record record;
    std::string source;
};

/** The folded configuration of this daemon and how it is kept current. */
struct replica
{
    config_state state;
    /** Newest records, kept for peers that lag. */
    std::deque<log_record> recent;
    std::size_t recent_bytes = 0;
    /** By offset; folded as soon as the state reaches it. */
    std::map<std::uint64_t, out_of_order_record> out_of_order_records;
    std::size_t out_of_order_bytes = 0;
    bool ready = false;
    std::string not_ready_reason = "the configuration isn't loaded yet";
    /** Next offset that must be reached before the daemon is ready. */
    std::optional<std::uint64_t> target;
    /** Whether the target covers the end of the log as first seen. */
    bool target_from_log = false;
    /** Steady time before which a gap in the pushed records starts no other exchange. */
    time_ms next_gap_repair = 0;
    /** Steady time before which no records are sent to peers. */
    time_ms next_records_send = 0;
    /** Highest offset that a peer told of; beyond the own state there is something to read. */
    std::uint64_t advertised_offset = 0;
    /** Whether the log has not given them in time; counts while something is missing. */
    bool advertised_read_late = false;
    /** Steady time until which peers are expected to send what they told of. */
    time_ms await_peers_until = 0;
    /** Empty if the newest record that says something isn't a whole configuration. */
    std::optional<superseded_records> superseded;
    /** As told by the peer that is furthest. */
    superseded_records advertised_superseded;
    /** Steady time up to which the state is known to have held all records of the log. */
    time_ms fresh_at = 0;
    bool log_reachable = false;
    /** The next record is known only as a delta to another version than the state's. */
    bool delta_unusable = false;
    bool reading = false;
    time_ms next_read = 0;
    time_ms snapshot_at = 0;
    bool writing_snapshot = false;
};

/** An upstream on this daemon's VM. */
struct local_upstream
{
    upstream_record record;
    upstream_slots slots;
    time_ms lease_until = 0;
    int reported_load = 0;
};

/** Where to find daemons of which no record is held. */
struct peer_contact
{
    std::string id;
    std::string domain;
    endpoint control;
    int failures = 0;
    /** Hash of the summary that this contact's domain is known to hold. */
    std::uint64_t summary_sent = 0;
};

/** What another failure domain last told about itself. */
struct remote_domain
{
    domain_summary summary;
    std::uint64_t version = 0;
    time_ms received = 0;
};

/** What is sent through the broadcast tree at the next flush. */
struct outbox
{
    std::vector<log_record> records;
    std::set<std::string> members;
    std::set<std::uint64_t> crashes;
    std::set<std::string> domains;
    std::set<std::string> moves;
    /** Records were folded that aren't passed on: the others read them from the log. */
    bool unpushed = false;
    bool freshness = false;
    bool scheduled = false;
};

/** Identity of the upstreams that one call can go to. */
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

/** Rounds of the event loop that took long since the last report. */
struct long_rounds
{
    std::uint64_t count = 0;
    std::int64_t longest_us = 0;
    time_ms reported_at = 0;
};

struct ingress_call;
struct hop_call;
struct move_runtime;
struct sidecar;

/** All state of one daemon. Parts are functions over it, one file each. */
struct node
{
    node();
    ~node();
    node(const node&) = delete;
    node& operator=(const node&) = delete;

    settings config;
    event_loop* loop = nullptr;
    http_client_ptr data_client;
    http_client_ptr control_client;
    http_server_ptr data_server;
    http_server_ptr control_server;
    log_client log;
    metrics stats;
    long_rounds rounds;
    loop_lag lag;
    std::mt19937_64 random{std::random_device{}()};
    std::uint64_t incarnation = 0;
    bool leaving = false;
    /** Steady time at which the planned stop began. */
    time_ms leaving_since = 0;
    bool drained = false;

    replica config_replica;

    member_table members;
    failure_detector detector;
    std::map<std::string, peer_contact> contacts;
    std::map<std::string, remote_domain> domains;
    std::uint64_t domains_revision = 0;
    outbox pending;
    std::uint64_t broadcast_sequence = 0;
    /** By root id and incarnation. */
    std::map<std::string, broadcast_window> broadcasts_seen;
    time_ms contacts_read_at = 0;
    /** Steady time of the last message or answer of another daemon. */
    time_ms peers_heard_at = 0;
    /** Steady time of the last announcement as gateway; 0 if one is due. */
    time_ms gateway_announced_at = 0;
    time_ms first_peer_response_at = 0;

    std::map<std::string, local_upstream> upstreams;
    /** Kept connections to the upstreams of this VM: at most one for each slot. */
    connection_pool_ptr upstream_pool;
    quarantine_table quarantine;
    /** Popular requests, which are often running on an upstream that crashes. */
    answered_requests answered;
    key_table keys;

    std::map<std::pair<std::string, std::string>, endpoint_group> endpoint_groups;
    balance_options balancing;
    spill_budget spill;
    retry_budget retries;
    std::unordered_map<std::uint64_t, std::unique_ptr<ingress_call>> calls;
    std::unordered_map<std::uint64_t, std::unique_ptr<hop_call>> hops;
    /** Slots by upstream that calls which were given up hold for a moment. */
    std::map<std::string, int> abandoned_slots;
    std::uint64_t last_hop_id = 0;

    std::unique_ptr<move_runtime> moves;
    /** Only in a daemon that serves the callers of its VM. */
    std::unique_ptr<sidecar> sidecar_state;
};

/** The daemon's own member record as it should be published now. */
member_record describe_self(const node& self);

/** Publishes the own record to the failure domain if it changed. */
void publish_self_record(node& self);

/** Options of a pool of which a daemon has two: each may take a quarter of the memory. */
connection_pool_options pool_options(const settings& config);

/** Bytes sent and received for control so far. */
std::uint64_t control_bytes(const node& self);

} // namespace sardinepoint
