#include "gateways.hpp"

#include "broadcast.hpp"
#include "contacts.hpp"
#include "move_runtime.hpp"
#include "peer_messages.hpp"
#include "replica.hpp"
#include "replica_messages.hpp"
#include "replica_records.hpp"
#include "sync.hpp"

#include "sardinepoint/logging.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace sardinepoint
{

namespace
{

using nlohmann::json;

constexpr std::size_t gateways_per_domain = 2;

json summary_message(node& self, const json& summary, std::uint64_t version)
{
    json body = records_since(self, self.config_replica.state.next_offset);
    body["id"] = self.config.id;
    body["domain"] = self.config.domain;
    body["control"] = to_string(own_control_endpoint(self));
    body["have"] = self.config_replica.state.next_offset;
    body["version"] = version;
    body["summary"] = summary;
    body["moves"] = all_progress_json(self);
    body["evidence"] = shared_evidence_json(self);
    return body;
}

void merge_summary_message(node& self, const json& body)
{
    if (body.contains("summary") && body["summary"].is_object())
    {
        const std::string domain = string_field(body, "domain");
        const std::uint64_t before = self.domains[domain].version;
        merge_domain_summary(self, body["summary"], string_field(body, "id"));
        if (self.domains[domain].version != before)
        {
            self.pending.domains.insert(domain);
            schedule_flush(self);
        }
    }
    const std::uint64_t before = self.config_replica.state.next_offset;
    apply_records_message(self, body, string_field(body, "id"));
    if (self.config_replica.state.next_offset > before)
    {
        // In a domain that is cut off from the log, new records arrive only through its gateways.
        broadcast_records_since(self, before);
    }
    merge_progress_list(self, array_field(body, "moves"));
    merge_shared_evidence(self, body);
}

void send_summary(node& self, peer_contact& contact, const json& summary, std::uint64_t version)
{
    json body = summary_message(self, summary, version);
    if (contact.summary_sent == version)
    {
        // The peer already has this version of the summary.
        body.erase("summary");
    }
    const std::string id = contact.id;
    send_to_peer(self, contact.control, "/peer/v1/summary", body, sync_timeout_ms,
                 [&self, id, version](const json* response)
                 {
                     peer_contact& target = self.contacts[id];
                     target.failures = response == nullptr ? target.failures + 1 : 0;
                     if (response == nullptr)
                     {
                         target.summary_sent = 0;
                         return;
                     }
                     target.summary_sent = response->value("want", false) ? 0 : version;
                     merge_summary_message(self, *response);
                 });
}

} // namespace

std::vector<std::string> gateway_ids(const node& self)
{
    const auto ids = alive_ids(self.members, self.config.domain);
    const auto picked = rendezvous_pick(ids, "gateway", gateways_per_domain);
    return {picked.begin(), picked.end()};
}

bool is_gateway(const node& self)
{
    const auto gateways = gateway_ids(self);
    return std::find(gateways.begin(), gateways.end(), self.config.id) != gateways.end();
}

void merge_domain_summary(node& self, const json& value, std::string_view source)
{
    error reason;
    auto summary = parse_domain_summary(value, reason);
    if (!summary || summary->domain == self.config.domain)
    {
        return;
    }
    const std::uint64_t version = hash_json(to_json(*summary));
    remote_domain& known = self.domains[summary->domain];
    known.received = steady_now();
    if (known.version == version)
    {
        return;
    }
    log_event(log_level::info, "domain_summary",
              {{"domain", summary->domain},
               {"services", static_cast<std::uint64_t>(summary->services.size())},
               {"source", source}});
    known.version = version;
    known.summary = std::move(*summary);
    ++self.domains_revision;
}

json summary_versions(const node& self)
{
    json versions = json::object();
    for (const auto& [domain, known] : self.domains)
    {
        versions[domain] = known.version;
    }
    return versions;
}

json differing_summaries(const node& self, const json& versions)
{
    json all = json::array();
    for (const auto& [domain, known] : self.domains)
    {
        if (unsigned_field(versions, domain.c_str()) != known.version)
        {
            all.push_back(to_json(known.summary));
        }
    }
    return all;
}

void exchange_summaries(node& self)
{
    if (!is_gateway(self) || self.leaving)
    {
        return;
    }
    std::set<std::string> remote_domains;
    for (const auto& [id, contact] : self.contacts)
    {
        if (contact.domain != self.config.domain)
        {
            remote_domains.insert(contact.domain);
        }
    }
    const json summary = to_json(summarise_domain(self.members, self.config.domain));
    const std::uint64_t version = hash_json(summary);
    for (const std::string& domain : remote_domains)
    {
        send_summary(self, *contacts_in_domain(self, domain).front(), summary, version);
    }
}

json handle_summary(node& self, const json& body)
{
    const std::string domain = string_field(body, "domain");
    add_contact(self, string_field(body, "id"), domain, string_field(body, "control"));
    merge_summary_message(self, body);
    const auto sender = parse_endpoint(string_field(body, "control"));
    if (!self.config_replica.ready && sender)
    {
        sync_with(self, *sender, records_to_request(self), {});
    }
    json response = records_since(self, unsigned_field(body, "have"));
    const json summary = to_json(summarise_domain(self.members, self.config.domain));
    response["id"] = self.config.id;
    response["domain"] = self.config.domain;
    response["moves"] = all_progress_json(self);
    response["evidence"] = shared_evidence_json(self);
    // Asks the sender to include its summary in the next message.
    response["want"] = self.domains[domain].version != unsigned_field(body, "version");
    return response;
}

} // namespace sardinepoint
