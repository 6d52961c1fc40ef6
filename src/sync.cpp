#include "sync.hpp"

#include "contacts.hpp"
#include "crash_json.hpp"
#include "gateways.hpp"
#include "member_exchange.hpp"
#include "move_runtime.hpp"
#include "peer_messages.hpp"
#include "replica.hpp"
#include "replica_messages.hpp"
#include "replica_records.hpp"
#include "sidecar.hpp"

#include <nlohmann/json.hpp>

#include <utility>

namespace sardinepoint
{

namespace
{

using nlohmann::json;

json crashes_json(const node& self)
{
    json all = json::array();
    for (const auto& [fingerprint, entry] : self.quarantine.entries)
    {
        all.push_back(to_json(entry));
    }
    return all;
}

/** Size of a message's snapshot and records. */
std::size_t records_size(const json& message)
{
    std::size_t bytes = string_field(message, "snapshot").size();
    for (const json& record : array_field(message, "records"))
    {
        bytes += string_field(record, "b").size();
    }
    return bytes;
}

/**
 * Response to a peer that is behind. All peers share one bandwidth budget for records. While it is
 * used up, only requests for small records get any.
 */
json limited_records_since(node& self, const json& body)
{
    // A quarter of a 16 Mbit/s link; calls need the rest.
    constexpr std::size_t max_bytes_per_ms = 512;
    replica& config = self.config_replica;
    const std::uint64_t from = unsigned_field(body, "next");
    const bool small = body.value("small", false);
    if (!body.value("records", true) || (!small && steady_now() < config.next_records_send) ||
        (small && records_size_since(config, from) > max_pushed_bytes))
    {
        return freshness_message(self);
    }
    json message = records_since(self, from, body.value("whole", false));
    config.next_records_send =
        steady_now() + static_cast<time_ms>(records_size(message) / max_bytes_per_ms);
    return message;
}

/** Applies the departure of this VM's upstream that a peer remembers. */
void merge_departure(node& self, const json& response)
{
    const auto departed = response.find("departed");
    if (self.sidecar_state && departed != response.end() && departed->is_object())
    {
        learn_departure(self, {.instance = string_field(*departed, "instance"),
                               .incarnation = unsigned_field(*departed, "incarnation")});
    }
}

} // namespace

void merge_crashes(node& self, const json& body)
{
    for (const json& value : array_field(body, "crashes"))
    {
        if (const auto entry = crash_from_json(value))
        {
            merge_crash(self.quarantine, *entry, wall_now());
        }
    }
}

json handle_sync(node& self, const json& body)
{
    merge_crashes(self, body);
    merge_progress_list(self, array_field(body, "moves"));
    json response = limited_records_since(self, body);
    response["digest"] = make_digest(self.members).root;
    response["domain"] = self.config.domain;
    if (body.value("alone", false))
    {
        response["contacts"] = contacts_json(self, string_field(body, "domain"));
    }
    const member_entry* peer = find_member(self.members, string_field(body, "id"));
    if (peer != nullptr && !peer->departed.instance.empty())
    {
        response["departed"] = {{"instance", peer->departed.instance},
                                {"incarnation", peer->departed.incarnation}};
    }
    response["moves"] = all_progress_json(self);
    response["crashes"] = crashes_json(self);
    const auto versions = body.find("domains");
    response["domains"] =
        differing_summaries(self, versions != body.end() ? *versions : json::object());
    return response;
}

void sync_with(node& self, const endpoint& peer, record_request request,
               std::function<void(bool)> done)
{
    json body{{"id", self.config.id},
              {"next", self.config_replica.state.next_offset},
              {"moves", all_progress_json(self)},
              {"crashes", crashes_json(self)},
              {"domains", summary_versions(self)}};
    switch (request)
    {
    case record_request::none:
        body["records"] = false;
        break;
    case record_request::small:
        body["small"] = true;
        break;
    case record_request::all:
        body["whole"] = self.config_replica.delta_unusable;
        break;
    }
    if (alone_in_domain(self))
    {
        body["alone"] = true;
        body["domain"] = self.config.domain;
    }
    count(self.stats, "syncs_sent");
    send_to_peer(self, peer, "/peer/v1/sync", body, sync_timeout_ms,
                 [&self, peer, done = std::move(done)](const json* response)
                 {
                     if (response != nullptr)
                     {
                         self.peers_heard_at = steady_now();
                         merge_departure(self, *response);
                         apply_records_message(self, *response, "peer " + to_string(peer));
                         if (!should_request_records(self))
                         {
                             // Otherwise the response already had all that the peer can send.
                             fetch_advertised_records(
                                 self,
                                 {.next_offset = unsigned_field(*response, "next"), .peer = peer});
                         }
                         merge_crashes(self, *response);
                         merge_progress_list(self, array_field(*response, "moves"));
                         for (const json& value : array_field(*response, "domains"))
                         {
                             merge_domain_summary(self, value, to_string(peer));
                         }
                         merge_contacts(self, array_field(*response, "contacts"));
                         if (string_field(*response, "domain") == self.config.domain &&
                             unsigned_field(*response, "digest") != make_digest(self.members).root)
                         {
                             exchange_members(self, peer);
                         }
                     }
                     if (done)
                     {
                         done(response != nullptr);
                     }
                 });
}

void sync_with_random_member(node& self, record_request request, std::function<void(bool)> done)
{
    const auto peer = random_sync_peer(self.members, self.random);
    const member_entry* entry = peer ? find_member(self.members, *peer) : nullptr;
    if (entry != nullptr)
    {
        sync_with(self, control_endpoint(entry->record), request, std::move(done));
    }
}

} // namespace sardinepoint
