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

/** An upstream as its daemon describes it to others. Load travels on answers, not here. */
struct upstream_record
{
    std::string service;
    std::string version;
    std::string address;
    std::uint16_t port = 0;
    int slots = 0;
    int connections = 0;
    upstream_state state = upstream_state::up;
    /** Names one start of the upstream; empty if it announced none. */
    std::string instance;
    /** Part of the failure domain. */
    std::string locality;
    /** How much longer the upstream was slow after its start when this was published. */
    time_ms cold_left = 0;
};

/** Later values go before earlier ones for one incarnation and sequence. */
enum class member_state
{
    alive,
    suspect,
    leaving,
    dead,
};

/** Name of the state as used in JSON answers and log lines. */
std::string_view to_string(upstream_state state);
std::string_view to_string(member_state state);

/** A daemon as it describes itself; only suspicion and death are written by others. */
struct member_record
{
    std::string id;
    /** Wall clock in milliseconds at which the process started. */
    std::uint64_t incarnation = 0;
    /** Raised by the daemon for each change of its record. */
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
};

/** A record with what this daemon alone knows about it. */
struct member_entry
{
    member_record record;
    /** Steady time at which the record last took another state. */
    time_ms state_since = 0;
    /** Hash of the id: position on the probe ring and bucket of the digest. */
    std::uint64_t id_hash = 0;
    /** Hash of id, incarnation, sequence and state. */
    std::uint64_t version_hash = 0;
    /** Nothing at all is heard from the domain. Never sent to others; see detector_tick. */
    bool presumed_lost = false;
};

/** What stays of a dropped tombstone: the last version of the member that was dead. */
struct expired_tombstone
{
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    time_ms since = 0;
};

struct member_options
{
    /** Two hours: longer than the hour for which regions may lose each other, so that both
        sides still know each other's addresses when they reconnect. */
    time_ms tombstone_ms = 7'200'000;
    /** Counted from the end of the tombstone. */
    time_ms expired_tombstone_ms = 86'400'000;
};

/** Five records per bucket for a domain of 650; a digest with buckets takes about 1 KB. */
inline constexpr std::size_t digest_buckets = 128;

struct member_table
{
    std::string self_id;
    member_options options;
    std::map<std::string, member_entry, std::less<>> members;
    std::map<std::string, expired_tombstone, std::less<>> expired_tombstones;
    /** XOR of the version hashes in each bucket, kept up to date by each change. */
    std::array<std::uint64_t, digest_buckets> buckets{};
    /** Raised by each change of the set of members, their versions or their states. */
    std::uint64_t revision = 0;
    /** The highest version of the own record that a peer claims beyond what was published. */
    std::uint64_t claimed_incarnation = 0;
    std::uint64_t claimed_sequence = 0;
};

struct merge_result
{
    bool changed = false;
    /** A peer holds this daemon for suspect, dead or newer than it is: call refute. */
    bool refutation_due = false;
    /** The sender holds an older version than this table and should receive the newer one. */
    bool sender_stale = false;
};

/** Stores the daemon's own record under the next sequence; returns what to spread. */
const member_record& publish_self(member_table& table, member_record record, time_ms now);

/** Merges a record from a peer. Commutative and idempotent, provided that the owner raises the
    sequence with each change of its record. */
merge_result merge_member(member_table& table, const member_record& record, time_ms now);

/** Raises the own record above every version that peers claim; returns what to spread. */
const member_record& refute(member_table& table, time_ms now);

/** Drops tombstones and burials whose time is over. Call about once a second. */
void drop_expired(member_table& table, time_ms now);

/** The entry with that id, or nullptr. */
const member_entry* find_member(const member_table& table, std::string_view id);

/** In state alive and not presumed lost: may hold a role such as fetcher. */
bool is_alive(const member_entry& entry);

/** Alive or suspect and not presumed lost: receives pushes and work. */
bool is_available(const member_entry& entry);

/** Ids of the alive members of the domain, in order of id. */
std::vector<std::string_view> alive_ids(const member_table& table, std::string_view domain);

/** Ids of the live members of the domain (suspects included), in order of id. */
std::vector<std::string_view> available_ids(const member_table& table, std::string_view domain);

/** Summary of a table's content. Equal tables exchange only the root. */
struct member_digest
{
    std::uint64_t root = 0;
    std::vector<std::uint32_t> buckets;
};

member_digest make_digest(const member_table& table);

/** Buckets in which the two differ; all of them when the roots differ but no bucket does. */
std::vector<std::size_t> differing_buckets(const member_digest& left, const member_digest& right);

/** Records in these buckets, tombstones included. */
std::vector<const member_record*> records_in_buckets(const member_table& table,
                                                     std::span<const std::size_t> buckets);

/** Peer for the periodic digest exchange; empty when there is no other member. */
std::optional<std::string> next_sync_peer(const member_table& table, std::mt19937_64& rng);

/** The best `count` candidates for the key, best first; the same on every machine. */
std::vector<std::string_view> rendezvous_pick(std::span<const std::string_view> candidates,
                                              std::string_view key, std::size_t count);

/** Members in the order of the tree of this root. The root is first even if not listed. */
std::vector<std::string_view> tree_order(std::span<const std::string_view> members,
                                         std::string_view root);

/** Members to which `self` forwards what `root` sends. Empty if `self` is not in the tree. */
std::vector<std::string_view> tree_children(std::span<const std::string_view> members,
                                            std::string_view root, std::string_view self,
                                            std::size_t fan_out);

/** An upstream together with the member on whose VM it runs. Valid until the table changes. */
struct upstream_candidate
{
    const member_record* member = nullptr;
    const upstream_record* upstream = nullptr;
};

/** Matches upstreams of all versions. */
inline constexpr std::string_view any_version;

/** Upstreams in state up on live members of the domain: the candidates for new work. */
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
    /** Address and data port of up to 4 daemons, "address:port". */
    std::vector<std::string> daemons;
};

/** What the gateways of a domain tell other domains. */
struct domain_summary
{
    std::string domain;
    std::vector<service_summary> services;
};

domain_summary summarise_domain(const member_table& table, std::string_view domain);

/** A failed probe leads to a verdict after 1.6 s and up to one tick per stage. */
struct detector_options
{
    std::size_t successors = 3;
    /** Suspects do not count as successors, so that a run of dead members is found in parallel. */
    std::size_t max_targets = 8;
    std::size_t indirect_probers = 2;
    /** The caller's timer; a later tick is taken for a pause of this process. */
    time_ms tick_ms = 100;
    /** Less than the direct timeout: a shorter pause alone never makes a probe fail. */
    time_ms pause_slack_ms = 200;
    time_ms probe_interval_ms = 500;
    time_ms direct_timeout_ms = 250;
    time_ms indirect_timeout_ms = 350;
    time_ms suspicion_ms = 1000;
    /** Silence from every peer after which the rest of the domain is presumed lost. */
    time_ms isolation_ms = 3000;
};

enum class probe_stage
{
    idle,
    direct,
    indirect,
    /** All probes failed, but nothing was heard from any peer meanwhile. */
    unconfirmed,
    suspected,
};

struct probe_target
{
    std::string id;
    probe_stage stage = probe_stage::idle;
    time_ms stage_since = 0;
    time_ms probed_at = 0;
    /** Version against which the verdict is formed; a newer one refutes it. */
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
};

struct failure_detector
{
    detector_options options;
    std::vector<probe_target> targets;
    std::optional<std::uint64_t> targets_revision;
    std::size_t round_robin_index = 0;
    std::optional<time_ms> last_tick;
    time_ms next_probe = 0;
    time_ms last_heard = 0;
    /** The rest of the domain is presumed lost. */
    bool isolated = false;
};

enum class detector_action_kind
{
    send_probe,
    /** Ask `via` to probe `target`; it answers in any case, also that it failed. */
    send_indirect_probe,
    mark_suspect,
    mark_dead,
    /** Every other member of the own domain; local only. */
    presume_lost,
    /** This process was paused: call refute, as others may have suspected it. */
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

/** Advances the detector. Call every tick_ms, carry out the actions, then call apply_action. */
std::vector<detector_action> detector_tick(failure_detector& detector, const member_table& table,
                                           time_ms now, std::mt19937_64& rng);

/** Writes a verdict into the table; returns the record to spread, or nullptr. */
const member_record* apply_action(member_table& table, const detector_action& action, time_ms now);

/** Any message from another daemon, whether answer or request. */
void record_peer_contact(failure_detector& detector, member_table& table, std::string_view id,
                         time_ms now);

/** The target answered, directly or through a helper (`via`, else empty). Returns whether the
    table holds it for suspect or dead, so that it should be sent that record to refute it. */
bool handle_probe_response(failure_detector& detector, member_table& table, std::string_view target,
                           std::string_view via, time_ms now);

nlohmann::json to_json(const member_record& record);
std::optional<member_record> member_from_json(const nlohmann::json& value, error& reason);

/** Only the root unless `with_buckets`. */
nlohmann::json to_json(const member_digest& digest, bool with_buckets);
std::optional<member_digest> digest_from_json(const nlohmann::json& value, error& reason);

nlohmann::json to_json(const domain_summary& summary);
std::optional<domain_summary> summary_from_json(const nlohmann::json& value, error& reason);

namespace detail
{

/** xxHash with a seed; the same on every machine. */
std::uint64_t hash_of(std::string_view text, std::uint64_t seed = 0);

} // namespace detail

} // namespace sardinepoint
