#include "member_exchange.hpp"

#include "broadcast.hpp"
#include "peer_messages.hpp"
#include "replica.hpp"

#include "sardinepoint/logging.hpp"

#include <nlohmann/json.hpp>

#include <utility>
#include <vector>

namespace sardinepoint
{

namespace
{

using nlohmann::json;

void merge_member_record(node& self, const json& value)
{
    error reason;
    const auto record = parse_member_record(value, reason);
    if (!record)
    {
        log_event(log_level::warning, "member_rejected", {{"reason", describe(reason)}});
        return;
    }
    if (record->domain != self.config.domain)
    {
        return;
    }
    const member_entry* before = find_member(self.members, record->id);
    const member_state old_state = before == nullptr ? member_state::dead : before->record.state;
    const merge_result result = merge_member(self.members, *record, steady_now());
    if (result.refutation_due)
    {
        refute(self.members, steady_now());
        broadcast_member(self, self.config.id);
    }
    if (result.changed && old_state != record->state)
    {
        log_event(log_level::info, "member_changed",
                  {{"member", record->id}, {"state", to_string(record->state)}});
    }
    record_served_offset(self, record->served_offset);
}

/** Sends the peer this daemon's records in the buckets that its response names as different. */
void send_bucket_records(node& self, const endpoint& peer, const json& response)
{
    std::vector<std::size_t> buckets;
    for (const json& value : array_field(response, "buckets"))
    {
        if (value.is_number_unsigned() && value.get<std::size_t>() < digest_buckets)
        {
            buckets.push_back(value.get<std::size_t>());
        }
    }
    json body{{"id", self.config.id}, {"members", json::array()}};
    for (const member_record* record : records_in_buckets(self.members, buckets))
    {
        body["members"].push_back(to_json(*record));
    }
    send_to_peer(self, peer, "/peer/v1/members", body, sync_timeout_ms, {});
}

} // namespace

void merge_members(node& self, const json& body)
{
    for (const json& value : array_field(body, "members"))
    {
        merge_member_record(self, value);
    }
}

json handle_members(node& self, const json& body)
{
    merge_members(self, body);
    const auto found = body.find("digest");
    if (found == body.end())
    {
        return json::object();
    }
    error reason;
    const auto peer_digest = parse_member_digest(*found, reason);
    if (!peer_digest)
    {
        return json::object();
    }
    const auto buckets = differing_buckets(make_digest(self.members), *peer_digest);
    json response{{"buckets", buckets}, {"members", json::array()}};
    for (const member_record* record : records_in_buckets(self.members, buckets))
    {
        response["members"].push_back(to_json(*record));
    }
    return response;
}

void exchange_members(node& self, const endpoint& peer)
{
    const json body{{"id", self.config.id}, {"digest", to_json(make_digest(self.members), true)}};
    send_to_peer(self, peer, "/peer/v1/members", body, sync_timeout_ms,
                 [&self, peer](const json* response)
                 {
                     if (response != nullptr)
                     {
                         merge_members(self, *response);
                         send_bucket_records(self, peer, *response);
                     }
                 });
}

} // namespace sardinepoint
