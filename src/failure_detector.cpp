#include "sardinepoint/membership.hpp"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace sardinepoint
{

namespace
{

struct ring_position
{
    std::uint64_t distance = 0;
    std::string_view id;
    bool suspect = false;
};

/**
 * The other members of this daemon's domain that are not dead, unsorted, with their distance from
 * this daemon on the ring of id hashes.
 */
std::vector<ring_position> ring_after_self(const member_table& table, const member_entry& self)
{
    std::vector<ring_position> ring;
    for (const auto& [id, entry] : table.members)
    {
        if (id == table.self_id || entry.record.domain != self.record.domain ||
            entry.record.state == member_state::dead)
        {
            continue;
        }
        // Unsigned wraparound makes the distance circular.
        ring.push_back({.distance = entry.id_hash - self.id_hash,
                        .id = id,
                        .suspect = entry.record.state == member_state::suspect});
    }
    return ring;
}

std::vector<std::string_view> choose_targets(const failure_detector& detector,
                                             const member_table& table, const member_entry& self)
{
    std::vector<ring_position> ring = ring_after_self(table, self);
    const std::size_t limit = std::min(detector.options.max_targets, ring.size());
    std::partial_sort(
        ring.begin(), ring.begin() + static_cast<std::ptrdiff_t>(limit), ring.end(),
        [](const ring_position& left, const ring_position& right)
        { return std::tie(left.distance, left.id) < std::tie(right.distance, right.id); });
    std::vector<std::string_view> chosen;
    std::size_t not_suspect = 0;
    for (std::size_t i = 0; i < limit && not_suspect < detector.options.successors; ++i)
    {
        chosen.push_back(ring[i].id);
        not_suspect += ring[i].suspect ? 0 : 1;
    }
    return chosen;
}

void refresh_targets(failure_detector& detector, const member_table& table,
                     const member_entry& self)
{
    if (detector.targets_revision == table.revision)
    {
        return;
    }
    detector.targets_revision = table.revision;
    std::vector<probe_target> targets;
    for (const std::string_view id : choose_targets(detector, table, self))
    {
        const auto known = std::find_if(detector.targets.begin(), detector.targets.end(),
                                        [&](const probe_target& item) { return item.id == id; });
        probe_target target =
            known == detector.targets.end() ? probe_target{.id = std::string{id}} : *known;
        const member_record& record = table.members.find(id)->second.record;
        if (std::tie(record.incarnation, record.sequence) >
            std::tie(target.incarnation, target.sequence))
        {
            // A newer version comes from the member itself, so it refutes earlier failed probes.
            target.stage = probe_stage::idle;
            target.incarnation = record.incarnation;
            target.sequence = record.sequence;
        }
        targets.push_back(std::move(target));
    }
    detector.targets = std::move(targets);
}

void restart_probes(failure_detector& detector, time_ms now)
{
    for (probe_target& target : detector.targets)
    {
        target.stage = probe_stage::idle;
    }
    detector.last_contact_at = now;
    detector.next_probe = now;
}

void enter_stage(probe_target& target, probe_stage stage, time_ms now)
{
    target.stage = stage;
    target.stage_since = now;
}

detector_action make_verdict(detector_action_kind kind, const probe_target& target)
{
    return {.kind = kind,
            .target = target.id,
            .incarnation = target.incarnation,
            .sequence = target.sequence};
}

void request_indirect_probes(const failure_detector& detector, const member_table& table,
                             const member_entry& self, const probe_target& target,
                             std::mt19937_64& rng, std::vector<detector_action>& actions)
{
    std::vector<std::string_view> indirect_probers = alive_ids(table, self.record.domain);
    std::erase_if(indirect_probers,
                  [&](std::string_view id) { return id == table.self_id || id == target.id; });
    std::vector<std::string_view> picked;
    std::sample(indirect_probers.begin(), indirect_probers.end(), std::back_inserter(picked),
                static_cast<std::ptrdiff_t>(detector.options.indirect_probers), rng);
    for (const std::string_view prober : picked)
    {
        actions.push_back({.kind = detector_action_kind::send_indirect_probe,
                           .target = target.id,
                           .via = std::string{prober}});
    }
}

/**
 * Whether there was contact to any peer since then. If not, this daemon itself may be cut off, so
 * it must give no verdict.
 */
bool had_contact_since(const failure_detector& detector, time_ms since)
{
    return detector.last_contact_at > since;
}

void advance_target(const failure_detector& detector, const member_table& table,
                    const member_entry& self, probe_target& target, time_ms now,
                    std::mt19937_64& rng, std::vector<detector_action>& actions)
{
    const detector_options& options = detector.options;
    const time_ms elapsed = now - target.stage_since;
    if (target.stage == probe_stage::direct && elapsed >= options.direct_timeout_ms)
    {
        request_indirect_probes(detector, table, self, target, rng, actions);
        enter_stage(target, probe_stage::indirect, now);
    }
    else if (target.stage == probe_stage::indirect && elapsed >= options.indirect_timeout_ms)
    {
        const bool confirmed = had_contact_since(detector, target.probed_at);
        enter_stage(target, confirmed ? probe_stage::suspected : probe_stage::unconfirmed, now);
        if (confirmed)
        {
            actions.push_back(make_verdict(detector_action_kind::mark_suspect, target));
        }
    }
    else if (target.stage == probe_stage::unconfirmed &&
             had_contact_since(detector, target.stage_since))
    {
        // The probes failed while no peer could be reached, so they are no evidence of a failure.
        enter_stage(target, probe_stage::idle, now);
    }
    else if (target.stage == probe_stage::suspected && elapsed >= options.suspicion_timeout_ms)
    {
        // Without contact to peers, a refutation by the target could not have arrived.
        const bool confirmed = had_contact_since(detector, target.stage_since);
        enter_stage(target, confirmed ? probe_stage::idle : probe_stage::unconfirmed, now);
        if (confirmed)
        {
            actions.push_back(make_verdict(detector_action_kind::mark_dead, target));
        }
    }
}

bool all_peers_silent(const failure_detector& detector, time_ms now)
{
    const bool all_fail = std::all_of(detector.targets.begin(), detector.targets.end(),
                                      [](const probe_target& target)
                                      { return target.stage >= probe_stage::unconfirmed; });
    return !detector.targets.empty() && all_fail &&
           now - detector.last_contact_at >= detector.options.isolation_timeout_ms;
}

/** Target of a probe while isolated: any member of the domain may be the first to respond again. */
std::string random_member(const member_table& table, const member_entry& self, std::mt19937_64& rng)
{
    std::vector<ring_position> others = ring_after_self(table, self);
    std::uniform_int_distribution<std::size_t> index{0, others.size() - 1};
    return std::string{others[index(rng)].id};
}

/** Next idle target in round-robin order; if all are being probed, simply the next one. */
probe_target& next_probe_target(failure_detector& detector)
{
    const std::size_t count = detector.targets.size();
    const std::size_t start = detector.round_robin_index;
    for (std::size_t i = 1; i <= count; ++i)
    {
        detector.round_robin_index = (start + i) % count;
        if (detector.targets[detector.round_robin_index].stage == probe_stage::idle)
        {
            return detector.targets[detector.round_robin_index];
        }
    }
    detector.round_robin_index = (start + 1) % count;
    return detector.targets[detector.round_robin_index];
}

void send_next_probe(failure_detector& detector, const member_table& table,
                     const member_entry& self, time_ms now, std::mt19937_64& rng,
                     std::vector<detector_action>& actions)
{
    if (now < detector.next_probe || detector.targets.empty())
    {
        return;
    }
    detector.next_probe = now + detector.options.probe_interval_ms;
    if (detector.isolated)
    {
        actions.push_back(
            {.kind = detector_action_kind::send_probe, .target = random_member(table, self, rng)});
        return;
    }
    probe_target& target = next_probe_target(detector);
    if (target.stage == probe_stage::idle)
    {
        target.probed_at = now;
        enter_stage(target, probe_stage::direct, now);
    }
    actions.push_back({.kind = detector_action_kind::send_probe, .target = target.id});
}

} // namespace

std::vector<detector_action> detector_tick(failure_detector& detector, const member_table& table,
                                           time_ms now, std::mt19937_64& rng)
{
    std::vector<detector_action> actions;
    const detector_options& options = detector.options;
    const member_entry* self = find_member(table, table.self_id);
    if (self == nullptr)
    {
        return actions;
    }
    const time_ms tick_delay = detector.last_tick ? now - *detector.last_tick - options.tick_ms : 0;
    if (!detector.last_tick || tick_delay > options.pause_slack_ms)
    {
        restart_probes(detector, now);
    }
    // A pause as long as both probe timeouts may have made others suspect this daemon.
    if (tick_delay >= options.direct_timeout_ms + options.indirect_timeout_ms)
    {
        actions.push_back({.kind = detector_action_kind::announce_self, .target = table.self_id});
    }
    detector.last_tick = now;
    refresh_targets(detector, table, *self);
    for (probe_target& target : detector.targets)
    {
        advance_target(detector, table, *self, target, now, rng, actions);
    }
    if (!detector.isolated && all_peers_silent(detector, now))
    {
        detector.isolated = true;
        actions.push_back({.kind = detector_action_kind::presume_lost});
    }
    send_next_probe(detector, table, *self, now, rng, actions);
    return actions;
}

const member_record* apply_action(member_table& table, const detector_action& action, time_ms now)
{
    if (action.kind == detector_action_kind::presume_lost)
    {
        const std::string domain = table.members.at(table.self_id).record.domain;
        for (auto& [id, entry] : table.members)
        {
            entry.presumed_lost |= id != table.self_id && entry.record.domain == domain;
        }
        ++table.revision;
        return nullptr;
    }
    const bool suspect = action.kind == detector_action_kind::mark_suspect;
    const bool dead = action.kind == detector_action_kind::mark_dead;
    const member_entry* entry = find_member(table, action.target);
    if ((!suspect && !dead) || entry == nullptr)
    {
        return nullptr;
    }
    member_record record = entry->record;
    if (std::tie(record.incarnation, record.sequence) !=
        std::tie(action.incarnation, action.sequence))
    {
        return nullptr;
    }
    record.state = suspect ? member_state::suspect : member_state::dead;
    const merge_result merged = merge_member(table, record, now);
    return merged.changed ? &entry->record : nullptr;
}

void record_peer_contact(failure_detector& detector, member_table& table, std::string_view id,
                         time_ms now)
{
    detector.last_contact_at = std::max(detector.last_contact_at, now);
    detector.isolated = false;
    const member_entry* sender = find_member(table, id);
    if (sender == nullptr || !sender->presumed_lost)
    {
        return;
    }
    // A member that was presumed lost is alive, so this daemon was cut off and the domain not lost.
    for (auto& [other, entry] : table.members)
    {
        entry.presumed_lost = false;
    }
    ++table.revision;
    restart_probes(detector, now);
}

bool handle_probe_response(failure_detector& detector, member_table& table, std::string_view target,
                           std::string_view via, time_ms now)
{
    if (!via.empty())
    {
        record_peer_contact(detector, table, via, now);
    }
    record_peer_contact(detector, table, target, now);
    for (probe_target& item : detector.targets)
    {
        if (item.id == target)
        {
            enter_stage(item, probe_stage::idle, now);
        }
    }
    const member_entry* entry = find_member(table, target);
    return entry != nullptr && (entry->record.state == member_state::suspect ||
                                entry->record.state == member_state::dead);
}

} // namespace sardinepoint
