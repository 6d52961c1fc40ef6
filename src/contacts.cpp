#include "contacts.hpp"

#include "gateways.hpp"
#include "json_reader.hpp"
#include "peer_messages.hpp"
#include "replica.hpp"
#include "sync.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <functional>
#include <utility>
#include <vector>

namespace sardinepoint
{

namespace
{

using nlohmann::json;

constexpr time_ms announce_retry_ms = 1000;
// Other failure domains often start at about the same time, so until this uptime a missing one is
// searched for at each call of discover_peers; after that, less often.
constexpr time_ms startup_period_ms = 30'000;
constexpr time_ms steady_discovery_interval_ms = 10'000;
constexpr int max_announcements_read = 64;
constexpr std::size_t max_join_contacts = 3;
constexpr std::size_t max_shared_contacts = 8;

void join_domain(node& self)
{
    std::size_t contacted = 0;
    for (peer_contact* contact : contacts_in_domain(self, self.config.domain))
    {
        if (contacted++ >= max_join_contacts)
        {
            break;
        }
        const std::string id = contact->id;
        sync_with(self, contact->control, records_to_request(self),
                  [&self, id](bool ok) { self.contacts[id].failures += ok ? 0 : 1; });
    }
}

/**
 * Log stream for the announcements of the daemons of one failure domain. Only the newest records of
 * a stream are read, so in a shared stream the restart of one domain would displace the
 * announcements of the others.
 */
std::string domain_stream(const node& self)
{
    return std::string(member_stream) + "-" + self.config.domain;
}

/**
 * Streams in which this daemon announces itself and finds others: that of its domain, then the one
 * shared by all domains.
 */
std::vector<std::string> announcement_streams(const node& self)
{
    std::vector<std::string> streams{domain_stream(self)};
    if (!self.config.single_domain)
    {
        streams.emplace_back(member_stream);
    }
    return streams;
}

void read_announcements(node& self, std::string_view stream)
{
    read_newest(self.log, stream, max_announcements_read,
                [&self](const read_result& result)
                {
                    for (const log_record& record : result.records)
                    {
                        const json body = json::parse(record.body, nullptr, false);
                        if (body.is_object())
                        {
                            add_contact(self, string_field(body, "id"),
                                        string_field(body, "domain"),
                                        string_field(body, "control"));
                        }
                    }
                    join_domain(self);
                });
}

void read_all_announcements(node& self)
{
    self.contacts_read_at = steady_now();
    for (const std::string& stream : announcement_streams(self))
    {
        read_announcements(self, stream);
    }
}

void append_announcement(node& self, const std::string& stream,
                         std::function<void(const append_result&)> done)
{
    const json body{{"id", self.config.id},
                    {"domain", self.config.domain},
                    {"control", to_string(own_control_endpoint(self))}};
    append_record(self.log, stream, detail::dump_json(body), std::move(done));
}

/** Gateways repeat their announcements, because the log retains records for a limited time. */
void repeat_gateway_announcements(node& self)
{
    const bool due = self.gateway_announced_at == 0 ||
                     steady_now() - self.gateway_announced_at >= self.config.snapshot_interval;
    if (!is_gateway(self) || !due || self.leaving)
    {
        return;
    }
    self.gateway_announced_at = steady_now();
    for (const std::string& stream : announcement_streams(self))
    {
        append_announcement(self, stream,
                            [&self](const append_result& result)
                            {
                                if (result.outcome != append_outcome::appended)
                                {
                                    self.gateway_announced_at = 0;
                                }
                            });
    }
}

} // namespace

void add_contact(node& self, const std::string& id, const std::string& domain,
                 const std::string& control)
{
    const auto parsed = parse_endpoint(control);
    if (!parsed || id.empty() || id == self.config.id)
    {
        return;
    }
    peer_contact& contact = self.contacts[id];
    const bool endpoint_changed = to_string(contact.control) != control;
    contact.id = id;
    contact.domain = domain;
    contact.control = *parsed;
    if (endpoint_changed)
    {
        contact.failures = 0;
        contact.summary_sent = 0;
    }
}

std::vector<peer_contact*> contacts_in_domain(node& self, const std::string& domain)
{
    std::vector<peer_contact*> found;
    for (auto& [id, contact] : self.contacts)
    {
        if (contact.domain == domain)
        {
            found.push_back(&contact);
        }
    }
    std::shuffle(found.begin(), found.end(), self.random);
    std::stable_sort(found.begin(), found.end(),
                     [](const peer_contact* left, const peer_contact* right)
                     { return left->failures < right->failures; });
    return found;
}

bool alone_in_domain(const node& self)
{
    return available_ids(self.members, self.config.domain).size() <= 1;
}

json contacts_json(node& self, const std::string& domain)
{
    json all = json::array();
    for (const peer_contact* contact : contacts_in_domain(self, domain))
    {
        if (all.size() < max_shared_contacts)
        {
            all.push_back({{"id", contact->id}, {"control", to_string(contact->control)}});
        }
    }
    return all;
}

void merge_contacts(node& self, const json& values)
{
    const std::size_t known = self.contacts.size();
    for (const json& value : values)
    {
        if (value.is_object())
        {
            add_contact(self, string_field(value, "id"), self.config.domain,
                        string_field(value, "control"));
        }
    }
    if (self.contacts.size() > known)
    {
        join_domain(self);
    }
}

void join_seeds(node& self)
{
    for (const endpoint& seed : self.config.seeds)
    {
        if (to_string(seed) != to_string(own_control_endpoint(self)))
        {
            sync_with(self, seed, records_to_request(self), {});
        }
    }
}

void announce_control_endpoint(node& self)
{
    if (!self.config.single_domain)
    {
        // Other domains find this one at once; repeat_gateway_announcements keeps the record in the
        // log.
        append_announcement(self, std::string(member_stream), [](const append_result&) {});
    }
    append_announcement(
        self, domain_stream(self),
        [&self](const append_result& result)
        {
            if (result.outcome == append_outcome::refused)
            {
                const time_ms delay = announce_retry_ms + std::uniform_int_distribution<time_ms>(
                                                              0, announce_retry_ms)(self.random);
                run_after(*self.loop, delay, [&self] { announce_control_endpoint(self); });
            }
            read_all_announcements(self);
        });
}

void discover_peers(node& self)
{
    repeat_gateway_announcements(self);
    // As long as no other domain is known, its gateways may just not have announced themselves yet.
    const bool other_domain_known =
        self.config.single_domain ||
        std::any_of(self.contacts.begin(), self.contacts.end(),
                    [&](const auto& entry) { return entry.second.domain != self.config.domain; });
    const bool has_unreachable_contact =
        std::any_of(self.contacts.begin(), self.contacts.end(),
                    [](const auto& entry) { return entry.second.failures > 2; });
    const bool lacks_other_domains = has_unreachable_contact || !other_domain_known;
    if (!alone_in_domain(self) && !(lacks_other_domains && is_gateway(self)) &&
        self.config_replica.ready)
    {
        return;
    }
    const time_ms uptime = wall_now() - static_cast<time_ms>(self.incarnation);
    const time_ms interval = uptime < startup_period_ms ? 0 : steady_discovery_interval_ms;
    if (self.config_replica.ready && steady_now() - self.contacts_read_at < interval)
    {
        return;
    }
    read_all_announcements(self);
    join_seeds(self);
}

} // namespace sardinepoint
