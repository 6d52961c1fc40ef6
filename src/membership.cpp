#include "sardinepoint/membership.hpp"

#include <xxhash.h>

#include <algorithm>
#include <compare>
#include <tuple>
#include <utility>

namespace sardinepoint
{

namespace detail
{

std::uint64_t hash_of(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

} // namespace detail

namespace
{

constexpr std::size_t max_summary_daemons = 4;
// One exchange in ten leaves the domain; the gateways carry most data between domains.
constexpr int sync_remote_percent = 10;
// After a partition whose sides declared each other dead, only exchanges with dead members
// reconnect them.
constexpr int sync_dead_percent = 5;

std::uint64_t hash_combine(std::uint64_t hash, std::uint64_t value)
{
    // Serialised as little-endian, so that the hash does not depend on the machine's byte order.
    std::array<char, sizeof(value)> bytes{};
    for (std::size_t i = 0; i < bytes.size(); ++i)
    {
        bytes.at(i) = static_cast<char>((value >> (8 * i)) & 0xffU);
    }
    return detail::hash_of({bytes.data(), bytes.size()}, hash);
}

std::uint64_t version_hash_of(const member_record& record, std::uint64_t id_hash)
{
    std::uint64_t hash = hash_combine(id_hash, record.incarnation);
    hash = hash_combine(hash, record.sequence);
    return hash_combine(hash, static_cast<std::uint64_t>(record.state));
}

std::size_t bucket_index(std::uint64_t id_hash)
{
    return id_hash % digest_buckets;
}

std::strong_ordering compare_versions(const member_record& left, const member_record& right)
{
    return std::tie(left.incarnation, left.sequence, left.state) <=>
           std::tie(right.incarnation, right.sequence, right.state);
}

void store_record(member_table& table, const member_record& record, time_ms now)
{
    auto [position, added] = table.members.try_emplace(record.id);
    member_entry& entry = position->second;
    if (added)
    {
        entry.id_hash = detail::hash_of(record.id);
    }
    if (added || entry.record.state != record.state)
    {
        entry.state_since = now;
    }
    if (record.state == member_state::leaving)
    {
        entry.left_at = entry.left_at > 0 ? entry.left_at : now;
    }
    else if (record.state != member_state::dead || entry.record.incarnation != record.incarnation)
    {
        entry.left_at = 0;
    }
    const bool newer_version = std::tie(entry.record.incarnation, entry.record.sequence) <
                               std::tie(record.incarnation, record.sequence);
    if (newer_version)
    {
        // Only the member itself raises its version, so it was running after it was presumed lost.
        entry.presumed_lost = false;
    }
    std::uint64_t& bucket = table.buckets.at(bucket_index(entry.id_hash));
    bucket ^= entry.version_hash;
    entry.record = record;
    if (!record.departed.instance.empty())
    {
        entry.departed = record.departed;
    }
    entry.version_hash = version_hash_of(record, entry.id_hash);
    bucket ^= entry.version_hash;
    ++table.revision;
}

/** Peers never overwrite this daemon's record; their claims only set the version to exceed. */
merge_result merge_self(member_table& table, const member_record& record)
{
    const member_entry* own = find_member(table, table.self_id);
    if (own != nullptr)
    {
        const std::strong_ordering order = compare_versions(record, own->record);
        if (std::is_lteq(order))
        {
            return {.sender_stale = std::is_lt(order)};
        }
    }
    const auto claimed = std::pair{record.incarnation, record.sequence};
    if (claimed > std::pair{table.claimed_incarnation, table.claimed_sequence})
    {
        std::tie(table.claimed_incarnation, table.claimed_sequence) = claimed;
    }
    return {.refutation_due = own != nullptr};
}

bool covered_by_expired_tombstone(const member_table& table, const member_record& record)
{
    const auto position = table.expired_tombstones.find(record.id);
    if (position == table.expired_tombstones.end())
    {
        return false;
    }
    const expired_tombstone& tombstone = position->second;
    // A higher version can only come from the member itself, for instance after a long pause.
    return std::tie(record.incarnation, record.sequence) <=
           std::tie(tombstone.incarnation, tombstone.sequence);
}

template <typename Predicate>
std::vector<std::string_view> ids_where(const member_table& table, std::string_view domain,
                                        Predicate wanted)
{
    std::vector<std::string_view> ids;
    for (const auto& [id, entry] : table.members)
    {
        if (entry.record.domain == domain && wanted(entry))
        {
            ids.emplace_back(id);
        }
    }
    return ids;
}

struct service_group
{
    service_summary summary;
    std::map<std::string_view, const member_record*> members;
};

using service_key = std::pair<std::string_view, std::string_view>;

std::map<service_key, service_group> group_upstreams(const member_table& table,
                                                     std::string_view domain)
{
    std::map<service_key, service_group> groups;
    for (const auto& [id, entry] : table.members)
    {
        if (entry.record.domain != domain || !is_available(entry))
        {
            continue;
        }
        for (const upstream_record& upstream : entry.record.upstreams)
        {
            if (upstream.state != upstream_state::up)
            {
                continue;
            }
            service_group& group = groups[{upstream.service, upstream.version}];
            ++group.summary.upstreams;
            group.summary.slots += upstream.slots;
            group.members.emplace(id, &entry.record);
        }
    }
    return groups;
}

} // namespace

std::string_view to_string(member_state state)
{
    switch (state)
    {
    case member_state::alive:
        return "alive";
    case member_state::suspect:
        return "suspect";
    case member_state::leaving:
        return "leaving";
    case member_state::dead:
        return "dead";
    }
    return "dead";
}

std::string_view to_string(upstream_state state)
{
    switch (state)
    {
    case upstream_state::up:
        return "up";
    case upstream_state::draining:
        return "draining";
    case upstream_state::left:
        return "left";
    }
    return "left";
}

const member_record& publish_self(member_table& table, member_record record, time_ms now)
{
    record.id = table.self_id;
    if (const member_entry* own = find_member(table, table.self_id))
    {
        record.incarnation = std::max(record.incarnation, own->record.incarnation);
        record.sequence = std::max(record.sequence, own->record.sequence + 1);
    }
    if (record.incarnation < table.claimed_incarnation)
    {
        // The clock of this VM was set back since the previous process with this id started.
        record.incarnation = table.claimed_incarnation + 1;
    }
    if (record.incarnation == table.claimed_incarnation)
    {
        record.sequence = std::max(record.sequence, table.claimed_sequence + 1);
    }
    store_record(table, record, now);
    return table.members.at(table.self_id).record;
}

merge_result merge_member(member_table& table, const member_record& record, time_ms now)
{
    if (record.id == table.self_id)
    {
        return merge_self(table, record);
    }
    const auto position = table.members.find(record.id);
    if (position == table.members.end())
    {
        if (covered_by_expired_tombstone(table, record))
        {
            return {.sender_stale = record.state != member_state::dead};
        }
        store_record(table, record, now);
        return {.changed = true};
    }
    const std::strong_ordering order = compare_versions(record, position->second.record);
    if (std::is_lteq(order))
    {
        return {.sender_stale = std::is_lt(order)};
    }
    store_record(table, record, now);
    return {.changed = true};
}

const member_record& refute(member_table& table, time_ms now)
{
    return publish_self(table, table.members.at(table.self_id).record, now);
}

void drop_expired(member_table& table, time_ms now)
{
    for (auto position = table.members.begin(); position != table.members.end();)
    {
        const member_entry& entry = position->second;
        const bool expired = entry.record.state == member_state::dead &&
                             now - entry.state_since >= table.options.tombstone_retention_ms;
        if (!expired)
        {
            ++position;
            continue;
        }
        table.buckets.at(bucket_index(entry.id_hash)) ^= entry.version_hash;
        table.expired_tombstones[position->first] = {.incarnation = entry.record.incarnation,
                                                     .sequence = entry.record.sequence,
                                                     .since = now};
        position = table.members.erase(position);
        ++table.revision;
    }
    std::erase_if(
        table.expired_tombstones, [&](const auto& item)
        { return now - item.second.since >= table.options.expired_tombstone_retention_ms; });
}

const member_entry* find_member(const member_table& table, std::string_view id)
{
    const auto position = table.members.find(id);
    return position == table.members.end() ? nullptr : &position->second;
}

bool is_alive(const member_entry& entry)
{
    return entry.record.state == member_state::alive && !entry.presumed_lost;
}

bool is_available(const member_entry& entry)
{
    // Suspects still receive calls, so that a false suspicion does not remove capacity.
    return entry.record.state <= member_state::suspect && !entry.presumed_lost;
}

std::vector<std::string_view> alive_ids(const member_table& table, std::string_view domain)
{
    return ids_where(table, domain, is_alive);
}

std::vector<std::string_view> available_ids(const member_table& table, std::string_view domain)
{
    return ids_where(table, domain, is_available);
}

member_digest make_digest(const member_table& table)
{
    member_digest digest;
    digest.buckets.reserve(digest_buckets);
    for (const std::uint64_t bucket : table.buckets)
    {
        digest.root = hash_combine(digest.root, bucket);
        digest.buckets.push_back(static_cast<std::uint32_t>(bucket));
    }
    return digest;
}

std::vector<std::size_t> differing_buckets(const member_digest& left, const member_digest& right)
{
    if (left.root == right.root)
    {
        return {};
    }
    const bool comparable =
        left.buckets.size() == digest_buckets && right.buckets.size() == digest_buckets;
    std::vector<std::size_t> differing;
    for (std::size_t i = 0; comparable && i < digest_buckets; ++i)
    {
        if (left.buckets[i] != right.buckets[i])
        {
            differing.push_back(i);
        }
    }
    if (differing.empty())
    {
        // Digests carry only 32 of the 64 bits of each bucket, but the root covers all bits.
        for (std::size_t i = 0; i < digest_buckets; ++i)
        {
            differing.push_back(i);
        }
    }
    return differing;
}

std::vector<const member_record*> records_in_buckets(const member_table& table,
                                                     std::span<const std::size_t> buckets)
{
    std::array<bool, digest_buckets> wanted{};
    for (const std::size_t bucket : buckets)
    {
        wanted.at(bucket % digest_buckets) = true;
    }
    std::vector<const member_record*> records;
    for (const auto& [id, entry] : table.members)
    {
        if (wanted.at(bucket_index(entry.id_hash)))
        {
            records.push_back(&entry.record);
        }
    }
    return records;
}

std::optional<std::string> random_sync_peer(const member_table& table, std::mt19937_64& rng)
{
    const member_entry* self = find_member(table, table.self_id);
    const std::string_view domain = self == nullptr ? "" : std::string_view{self->record.domain};
    std::vector<std::string_view> local;
    std::vector<std::string_view> remote;
    std::vector<std::string_view> dead;
    for (const auto& [id, entry] : table.members)
    {
        if (id == table.self_id || entry.record.state == member_state::leaving)
        {
            continue;
        }
        if (entry.record.state == member_state::dead)
        {
            dead.emplace_back(id);
            continue;
        }
        (entry.record.domain == domain ? local : remote).emplace_back(id);
    }
    std::uniform_int_distribution<int> percent{0, 99};
    const int draw = percent(rng);
    const bool alone = local.empty() && remote.empty();
    const std::vector<std::string_view>* peers = local.empty() ? &remote : &local;
    if (!dead.empty() && (alone || draw < sync_dead_percent))
    {
        peers = &dead;
    }
    else if (!remote.empty() && draw >= 100 - sync_remote_percent)
    {
        peers = &remote;
    }
    if (peers->empty())
    {
        return std::nullopt;
    }
    std::uniform_int_distribution<std::size_t> index{0, peers->size() - 1};
    return std::string{(*peers)[index(rng)]};
}

std::vector<upstream_candidate> available_upstreams(const member_table& table,
                                                    std::string_view service,
                                                    std::string_view version,
                                                    std::string_view domain)
{
    std::vector<upstream_candidate> candidates;
    for (const auto& [id, entry] : table.members)
    {
        if (entry.record.domain != domain || !is_available(entry))
        {
            continue;
        }
        for (const upstream_record& upstream : entry.record.upstreams)
        {
            if (upstream.state == upstream_state::up && upstream.service == service &&
                (version == any_version || upstream.version == version))
            {
                candidates.push_back({.member = &entry.record, .upstream = &upstream});
            }
        }
    }
    return candidates;
}

domain_summary summarise_domain(const member_table& table, std::string_view domain)
{
    domain_summary summary{.domain = std::string{domain}};
    for (auto& [key, group] : group_upstreams(table, domain))
    {
        service_summary& service = group.summary;
        service.service = key.first;
        service.version = key.second;
        std::vector<std::string_view> candidates;
        for (const auto& [id, record] : group.members)
        {
            candidates.push_back(id);
        }
        const std::string pick_key = summary.domain + '/' + service.service + '/' + service.version;
        for (const std::string_view id : rendezvous_pick(candidates, pick_key, max_summary_daemons))
        {
            const member_record& record = *group.members.at(id);
            service.daemons.push_back(record.address + ':' + std::to_string(record.data_port));
        }
        summary.services.push_back(std::move(service));
    }
    return summary;
}

} // namespace sardinepoint
