#include "broadcast.hpp"

#include "crash_json.hpp"
#include "gateways.hpp"
#include "member_exchange.hpp"
#include "move_runtime.hpp"
#include "peer_messages.hpp"
#include "replica.hpp"
#include "replica_messages.hpp"
#include "sync.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace sardinepoint
{

namespace
{

using nlohmann::json;

constexpr std::size_t tree_fan_out = 4;
constexpr time_ms flush_delay_ms = 10;
constexpr time_ms push_timeout_ms = 1000;
constexpr std::uint64_t window_bits = 64;

/** Marks the broadcast as seen. Returns false if it already was, or if it is older than the window
 * and may have been seen. */
bool mark_seen(broadcast_window& window, std::uint64_t sequence)
{
    if (sequence > window.highest)
    {
        const std::uint64_t shift = sequence - window.highest;
        window.seen = shift >= window_bits ? 0 : window.seen << shift;
        window.seen |= 1U;
        window.highest = sequence;
        return true;
    }
    const std::uint64_t age = window.highest - sequence;
    if (age >= window_bits || ((window.seen >> age) & 1U) != 0)
    {
        return false;
    }
    window.seen |= std::uint64_t{1} << age;
    return true;
}

json make_push(node& self, outbox& items)
{
    json body{
        {"root", self.config.id}, {"inc", self.incarnation}, {"seq", ++self.broadcast_sequence}};
    for (const log_record& record : items.records)
    {
        body["records"].push_back(to_json(record));
    }
    for (const std::string& id : items.members)
    {
        if (const member_entry* entry = find_member(self.members, id))
        {
            body["members"].push_back(to_json(entry->record));
        }
    }
    for (const std::uint64_t fingerprint : items.crashes)
    {
        const auto found = self.quarantine.entries.find(fingerprint);
        if (found != self.quarantine.entries.end())
        {
            body["crashes"].push_back(to_json(found->second));
        }
    }
    for (const std::string& domain : items.domains)
    {
        body["domains"].push_back(to_json(self.domains[domain].summary));
    }
    for (const std::string& move : items.moves)
    {
        body["moves"].push_back(progress_json(self, move));
    }
    if (items.unpushed)
    {
        body["unpushed"] = true;
    }
    if (items.freshness)
    {
        body.update(freshness_message(self));
    }
    return body;
}

/** Fetches the records that the broadcast's root has and this daemon lacks. */
void repair_gap(node& self, const json& body, std::string_view root)
{
    std::uint64_t root_next_offset = unsigned_field(body, "next");
    for (const json& record : array_field(body, "records"))
    {
        root_next_offset = std::max(root_next_offset, unsigned_field(record, "o") + 1);
    }
    if (const member_entry* entry = find_member(self.members, root))
    {
        fetch_advertised_records(self, {.next_offset = root_next_offset,
                                        .peer = control_endpoint(entry->record),
                                        .unpushed = body.value("unpushed", false)});
    }
}

void forward_push(node& self, const json& body, std::string_view root)
{
    const auto ids = available_ids(self.members, self.config.domain);
    for (const std::string_view child : tree_children(ids, root, self.config.id, tree_fan_out))
    {
        if (const member_entry* entry = find_member(self.members, child))
        {
            count(self.stats, "pushes_sent");
            send_to_peer(self, control_endpoint(entry->record), "/peer/v1/push", body,
                         push_timeout_ms, {});
        }
    }
}

void flush(node& self)
{
    outbox items = std::exchange(self.pending, {});
    const json body = make_push(self, items);
    forward_push(self, body, self.config.id);
}

} // namespace

void schedule_flush(node& self)
{
    if (self.pending.scheduled)
    {
        return;
    }
    self.pending.scheduled = true;
    run_after(*self.loop, flush_delay_ms, [&self] { flush(self); });
}

void broadcast_member(node& self, std::string_view id)
{
    self.pending.members.insert(std::string(id));
    schedule_flush(self);
}

void broadcast_crash(node& self, std::uint64_t fingerprint)
{
    self.pending.crashes.insert(fingerprint);
    schedule_flush(self);
}

void broadcast_move(node& self, const std::string& move)
{
    self.pending.moves.insert(move);
    schedule_flush(self);
}

void announce_leaving(node& self)
{
    self.left = true;
    member_record record = describe_self(self);
    publish_self(self.members, std::move(record), steady_now());
    self.pending.members.insert(self.config.id);
    flush(self);
}

void handle_push(node& self, const json& body)
{
    const std::string root = string_field(body, "root");
    const std::string key = root + "/" + std::to_string(unsigned_field(body, "inc"));
    if (root.empty() || !mark_seen(self.broadcasts_seen[key], unsigned_field(body, "seq")))
    {
        return;
    }
    count(self.stats, "pushes_received");
    forward_push(self, body, root);
    apply_records_message(self, body, root);
    repair_gap(self, body, root);
    merge_members(self, body);
    merge_crashes(self, body);
    for (const json& value : array_field(body, "domains"))
    {
        merge_domain_summary(self, value, root);
    }
    merge_progress_list(self, array_field(body, "moves"));
}

} // namespace sardinepoint
