#pragma once

#include "sardinepoint/core.hpp"

#include <nlohmann/json_fwd.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sardinepoint
{

enum class upstream_state
{
    up,
    draining,
    left,
};

/** An upstream as its daemon describes it to others. Its load is sent with responses instead. */
struct upstream_record
{
    std::string service;
    std::string version;
    std::string address;
    std::uint16_t port = 0;
    int slots = 0;
    int connections = 0;
    upstream_state state = upstream_state::up;
    /** Identifies one start of the upstream; empty if it announced none. */
    std::string instance;
    /** Subdivision of the failure domain in which the upstream runs. */
    std::string locality;
    /** Time left of the slow phase after the upstream's start when the record was published. */
    time_ms cold_time_left = 0;
    /** Usual time for which a call holds a slot; 0 if it is not known yet. */
    time_ms service_time = 0;
};

/** One start of an upstream that is leaving or has left. */
struct departed_instance
{
    /** Empty if there is none. */
    std::string instance;
    /** Incarnation of the start; 0 if the upstream announced none. */
    std::uint64_t incarnation = 0;

    bool operator==(const departed_instance&) const = default;
};

/** For equal incarnation and sequence, a later value overrides an earlier one. */
enum class member_state
{
    alive,
    suspect,
    leaving,
    dead,
};

/** Name of the state as used in JSON responses and log lines. */
std::string_view to_string(upstream_state state);
std::string_view to_string(member_state state);

/** A daemon as it describes itself. Other daemons only set its state to suspect or dead. */
struct member_record
{
    std::string id;
    /** Wall clock in milliseconds at which the process started. */
    std::uint64_t incarnation = 0;
    /** Incremented by the daemon with each change of its record. */
    std::uint64_t sequence = 0;
    std::string domain;
    std::string region;
    std::string address;
    std::uint16_t data_port = 0;
    std::uint16_t control_port = 0;
    /** Log offset and configuration version that the daemon has served. */
    std::uint64_t served_offset = 0;
    std::uint64_t served_version = 0;
    member_state state = member_state::alive;
    std::vector<upstream_record> upstreams;
    /** The last upstream that has left this VM. */
    departed_instance departed;
};

/** A member's record with local data that is not sent to other daemons. */
struct member_entry
{
    member_record record;
    /** Steady time of the last state change. */
    time_ms state_since = 0;
    /** Steady time at which the member was first known to leave; 0 unless its newest incarnation
     * left. It outlasts the verdict that the member is dead. */
    time_ms left_at = 0;
    /** Hash of the id: position on the probe ring and bucket of the digest. */
    std::uint64_t id_hash = 0;
    /** Hash of id, incarnation, sequence and state. */
    std::uint64_t version_hash = 0;
    /** Presumed lost because no peer can be reached. Never sent to others; see detector_tick. */
    bool presumed_lost = false;
    /** The last departure in any record of the member. It outlasts a restart of the member, which
     * forgets it and learns it from its peers. */
    departed_instance departed;
};

/** Last version of a dead member, kept after its tombstone was dropped from the table. */
struct expired_tombstone
{
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    time_ms since = 0;
};

struct member_options
{
    /**
     * How long a dead member stays in the table. Longer than the hour for which regions may be
     * partitioned, so that both sides still know each other's addresses when they reconnect.
     */
    time_ms tombstone_retention_ms = 7'200'000;
    /** How long the version is kept after the tombstone was dropped. */
    time_ms expired_tombstone_retention_ms = 86'400'000;
};

/** About five records per bucket in a domain of 650; a digest with buckets takes about 1 KB. */
inline constexpr std::size_t digest_buckets = 128;

struct member_table
{
    std::string self_id;
    member_options options;
    std::map<std::string, member_entry, std::less<>> members;
    std::map<std::string, expired_tombstone, std::less<>> expired_tombstones;
    /** XOR of the version hashes in each bucket, updated with each change. */
    std::array<std::uint64_t, digest_buckets> buckets{};
    /** Incremented with each change of the set of members, their versions or their states. */
    std::uint64_t revision = 0;
    /** Highest version that a peer claimed for this daemon's record, above the published one. */
    std::uint64_t claimed_incarnation = 0;
    std::uint64_t claimed_sequence = 0;
};

struct merge_result
{
    bool changed = false;
    /** A peer considers this daemon suspect or dead, or has a newer record of it: call refute. */
    bool refutation_due = false;
    /** The sender holds an older version than this table and should receive the newer one. */
    bool sender_stale = false;
};

/** Stores the daemon's own record under the next sequence; returns the record to broadcast. */
const member_record& publish_self(member_table& table, member_record record, time_ms now);

/**
 * Merges a record from a peer. Commutative and idempotent, provided that the owner increments the
 * sequence with each change of its record.
 */
merge_result merge_member(member_table& table, const member_record& record, time_ms now);

/** Raises this daemon's record above every version that peers claim; returns the record to
 * broadcast. */
const member_record& refute(member_table& table, time_ms now);

/**
 * Drops tombstones, and later their versions, after their retention time. Call about once a second.
 */
void drop_expired(member_table& table, time_ms now);

/** The entry with this id, or nullptr. */
const member_entry* find_member(const member_table& table, std::string_view id);

/** Alive and not presumed lost: may hold a role such as log reader or gateway. */
bool is_alive(const member_entry& entry);

/** Alive or suspect, and not presumed lost: receives pushes and calls. */
bool is_available(const member_entry& entry);

/** Ids of the alive members of the domain, in order of id. */
std::vector<std::string_view> alive_ids(const member_table& table, std::string_view domain);

/** Ids of the available members of the domain, in order of id. */
std::vector<std::string_view> available_ids(const member_table& table, std::string_view domain);

/** Hashes of a table's content. Daemons with equal tables exchange only the root. */
struct member_digest
{
    std::uint64_t root = 0;
    std::vector<std::uint32_t> buckets;
};

member_digest make_digest(const member_table& table);

/** Indexes of the buckets that differ; all of them if the roots differ but no bucket does. */
std::vector<std::size_t> differing_buckets(const member_digest& left, const member_digest& right);

/** Records in these buckets, including tombstones. */
std::vector<const member_record*> records_in_buckets(const member_table& table,
                                                     std::span<const std::size_t> buckets);

/** Random peer for the periodic digest exchange; empty if there is no suitable member. */
std::optional<std::string> random_sync_peer(const member_table& table, std::mt19937_64& rng);

/**
 * The `count` candidates that rank highest for the key by rendezvous hashing, highest first. All
 * daemons get the same result.
 */
std::vector<std::string_view> rendezvous_pick(std::span<const std::string_view> candidates,
                                              std::string_view key, std::size_t count);

/**
 * Members in the order of the broadcast tree with this root, which comes first even if it is not
 * among the members.
 */
std::vector<std::string_view> tree_order(std::span<const std::string_view> members,
                                         std::string_view root);

/** Members to which `self` forwards a broadcast of `root`. Empty if `self` is not in the tree. */
std::vector<std::string_view> tree_children(std::span<const std::string_view> members,
                                            std::string_view root, std::string_view self,
                                            std::size_t fan_out);

/** An upstream and the member on whose VM it runs. Valid until the table changes. */
struct upstream_candidate
{
    const member_record* member = nullptr;
    const upstream_record* upstream = nullptr;
};

/** Selects upstreams of all versions. */
inline constexpr std::string_view any_version;

/** Upstreams in state up on available members of the domain: the candidates for new calls. */
std::vector<upstream_candidate> available_upstreams(const member_table& table,
                                                    std::string_view service,
                                                    std::string_view version,
                                                    std::string_view domain);

struct service_summary
{
    std::string service;
    std::string version;
    int upstreams = 0;
    int slots = 0;
    /** Data endpoints of up to 4 daemons, as "address:port". */
    std::vector<std::string> daemons;
};

/** Services of a domain as its gateways report them to other domains. */
struct domain_summary
{
    std::string domain;
    std::vector<service_summary> services;
};

domain_summary summarise_domain(const member_table& table, std::string_view domain);

/**
 * With these timeouts, a member is declared dead 1.6 s after a failed probe was sent, plus up to
 * one tick per stage.
 */
struct detector_options
{
    /**
     * Members after this one on the ring that are probed. Suspects are probed but not counted, so
     * that adjacent dead members are detected in parallel.
     */
    std::size_t successors = 3;
    /** Limit for the probed members, suspects included. */
    std::size_t max_targets = 8;
    /** Members that are asked to probe a target which did not respond directly. */
    std::size_t indirect_probers = 2;
    /** Interval of detector_tick; a later tick means that this process was paused. */
    time_ms tick_ms = 100;
    /**
     * Delay of a tick above which the probes are restarted. Less than the direct timeout, so that a
     * shorter pause alone never makes a probe fail.
     */
    time_ms pause_slack_ms = 200;
    time_ms probe_interval_ms = 500;
    time_ms direct_timeout_ms = 250;
    time_ms indirect_timeout_ms = 350;
    time_ms suspicion_timeout_ms = 1000;
    /** Time without any contact to peers after which the rest of the domain is presumed lost. */
    time_ms isolation_timeout_ms = 3000;
};

enum class probe_stage
{
    idle,
    direct,
    indirect,
    /** The target did not respond, but there was no contact to any other peer either. */
    unconfirmed,
    suspected,
};

struct probe_target
{
    std::string id;
    probe_stage stage = probe_stage::idle;
    time_ms stage_since = 0;
    time_ms probed_at = 0;
    /** Version to which the verdict applies; a newer one refutes it. */
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
};

struct failure_detector
{
    detector_options options;
    std::vector<probe_target> targets;
    std::optional<std::uint64_t> targets_revision;
    /** Index of the target that was probed last. */
    std::size_t round_robin_index = 0;
    std::optional<time_ms> last_tick;
    time_ms next_probe = 0;
    time_ms last_contact_at = 0;
    /** The rest of the domain is presumed lost. */
    bool isolated = false;
};

enum class detector_action_kind
{
    send_probe,
    /** Ask `via` to probe `target`; `via` responds with the result even if the probe failed. */
    send_indirect_probe,
    mark_suspect,
    mark_dead,
    /** Presume every other member of this daemon's domain lost; not sent to others. */
    presume_lost,
    /** This process was paused and others may suspect it: call refute. */
    announce_self,
};

struct detector_action
{
    detector_action_kind kind = detector_action_kind::send_probe;
    std::string target;
    std::string via;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
};

/**
 * Advances the detector. Call every tick_ms and execute the actions, verdicts with apply_action.
 */
std::vector<detector_action> detector_tick(failure_detector& detector, const member_table& table,
                                           time_ms now, std::mt19937_64& rng);

/** Writes a verdict into the table; returns the record to broadcast, or nullptr. */
const member_record* apply_action(member_table& table, const detector_action& action, time_ms now);

/** Call for each request or response from another daemon. */
void record_peer_contact(failure_detector& detector, member_table& table, std::string_view id,
                         time_ms now);

/**
 * Call when the target responded, directly (`via` is empty) or to an indirect probe through `via`.
 * Returns whether the table lists the target as suspect or dead; the caller should then send it
 * that record, so that it can refute it.
 */
bool handle_probe_response(failure_detector& detector, member_table& table, std::string_view target,
                           std::string_view via, time_ms now);

nlohmann::json to_json(const member_record& record);
std::optional<member_record> parse_member_record(const nlohmann::json& value, error& reason);

/** Writes only the root unless `with_buckets` is set. */
nlohmann::json to_json(const member_digest& digest, bool with_buckets);
std::optional<member_digest> parse_member_digest(const nlohmann::json& value, error& reason);

nlohmann::json to_json(const domain_summary& summary);
std::optional<domain_summary> parse_domain_summary(const nlohmann::json& value, error& reason);

namespace detail
{

/** Seeded xxHash. All machines and releases must agree on its values. */
std::uint64_t hash_of(std::string_view text, std::uint64_t seed = 0);

} // namespace detail

} // namespace sardinepoint
