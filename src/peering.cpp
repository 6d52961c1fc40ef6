#include "peering.hpp"

#include "crash_json.hpp"
#include "json_reader.hpp"
#include "move_runtime.hpp"
#include "replica.hpp"

#include "sardinepoint/logging.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace sardinepoint
{

namespace
{

using nlohmann::json;

constexpr std::size_t tree_fan_out = 4;
constexpr std::size_t gateways_per_domain = 2;
constexpr time_ms flush_delay_ms = 10;
constexpr time_ms push_timeout_ms = 1000;
constexpr time_ms sync_timeout_ms = 1500;
constexpr time_ms sync_interval_ms = 1000;
constexpr time_ms freshness_interval_ms = 2000;
constexpr time_ms summary_interval_ms = 1000;
constexpr time_ms housekeeping_interval_ms = 1000;
constexpr time_ms contacts_interval_ms = 5000;
constexpr time_ms announce_retry_ms = 1000;
constexpr int newest_contacts = 64;
constexpr std::size_t joined_contacts = 3;
constexpr std::uint64_t window_bits = 64;

endpoint own_control_endpoint(const node& self)
{
    return {self.config.address, self.config.advertised_control_port};
}

std::uint64_t hash_json(const json& value)
{
    return detail::hash_of(value.dump());
}

std::string text_in(const json& body, const char* key)
{
    const auto found = body.find(key);
    return found != body.end() && found->is_string() ? found->get<std::string>() : std::string();
}

std::uint64_t counter_in(const json& body, const char* key)
{
    const auto found = body.find(key);
    return found != body.end() && found->is_number_unsigned() ? found->get<std::uint64_t>() : 0;
}

const json& array_in(const json& body, const char* key)
{
    static const json empty = json::array();
    const auto found = body.find(key);
    return found != body.end() && found->is_array() ? *found : empty;
}

/** Whether the broadcast is new; marks it as seen. */
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

void merge_record(node& self, const json& value)
{
    error reason;
    const auto record = member_from_json(value, reason);
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
        spread_member(self, self.config.id);
    }
    if (result.changed && old_state != record->state)
    {
        log_event(log_level::info, "member_changed",
                  {{"member", record->id}, {"state", static_cast<int>(record->state)}});
    }
    note_peer_offset(self, record->served_offset);
}

void merge_members(node& self, const json& body)
{
    for (const json& value : array_in(body, "members"))
    {
        merge_record(self, value);
    }
}

void merge_domain(node& self, const json& value, std::string_view source)
{
    error reason;
    auto summary = summary_from_json(value, reason);
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

void merge_crashes(node& self, const json& body)
{
    for (const json& value : array_in(body, "crashes"))
    {
        if (const auto entry = crash_from_json(value))
        {
            merge_crash(self.quarantine, *entry, wall_now());
        }
    }
}

json crashes_json(const node& self)
{
    json all = json::array();
    for (const auto& [fingerprint, entry] : self.quarantine.entries)
    {
        all.push_back(to_json(entry));
    }
    return all;
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
    if (items.freshness && self.config_replica.ready)
    {
        body["next"] = self.config_replica.state.next_offset;
        body["age"] = freshness_age(self);
    }
    return body;
}

void forward_push(node& self, const json& body, std::string_view root)
{
    const auto ids = live_ids(self.members, self.config.domain);
    for (const std::string_view child : tree_children(ids, root, self.config.id, tree_fan_out))
    {
        if (const member_entry* entry = find_member(self.members, child))
        {
            count(self.stats, "pushes_sent");
            send_peer(self, control_endpoint(entry->record), "/peer/v1/push", body, push_timeout_ms,
                      {});
        }
    }
}

void flush(node& self)
{
    outbox items = std::exchange(self.pending, {});
    const json body = make_push(self, items);
    forward_push(self, body, self.config.id);
}

void handle_push(node& self, const json& body)
{
    const std::string root = text_in(body, "root");
    const std::string key = root + "/" + std::to_string(counter_in(body, "inc"));
    if (root.empty() || !mark_seen(self.broadcasts_seen[key], counter_in(body, "seq")))
    {
        return;
    }
    count(self.stats, "pushes_received");
    forward_push(self, body, root);
    apply_records_message(self, body, root);
    merge_members(self, body);
    merge_crashes(self, body);
    for (const json& value : array_in(body, "domains"))
    {
        merge_domain(self, value, root);
    }
    merge_progress_list(self, array_in(body, "moves"));
}

json domain_versions(const node& self)
{
    json versions = json::object();
    for (const auto& [domain, known] : self.domains)
    {
        versions[domain] = known.version;
    }
    return versions;
}

json newer_domains(const node& self, const json& versions)
{
    json all = json::array();
    for (const auto& [domain, known] : self.domains)
    {
        if (counter_in(versions, domain.c_str()) != known.version)
        {
            all.push_back(to_json(known.summary));
        }
    }
    return all;
}

json handle_sync(node& self, const json& body)
{
    merge_crashes(self, body);
    merge_progress_list(self, array_in(body, "moves"));
    json answer = records_since(self, counter_in(body, "next"));
    answer["digest"] = make_digest(self.members).root;
    answer["moves"] = all_progress_json(self);
    answer["crashes"] = crashes_json(self);
    const auto versions = body.find("domains");
    answer["domains"] = newer_domains(self, versions != body.end() ? *versions : json::object());
    return answer;
}

/** Merges the peer's members and answers with the records of buckets that differ. */
json handle_members(node& self, const json& body)
{
    merge_members(self, body);
    const auto found = body.find("digest");
    if (found == body.end())
    {
        return json::object();
    }
    error reason;
    const auto theirs = digest_from_json(*found, reason);
    if (!theirs)
    {
        return json::object();
    }
    const auto buckets = differing_buckets(make_digest(self.members), *theirs);
    json answer{{"buckets", buckets}, {"members", json::array()}};
    for (const member_record* record : entries_in(self.members, buckets))
    {
        answer["members"].push_back(to_json(*record));
    }
    return answer;
}

/** Sends the peer the records of the buckets in which the tables differ. */
void send_bucket_records(node& self, const endpoint& peer, const json& answer)
{
    std::vector<std::size_t> buckets;
    for (const json& value : array_in(answer, "buckets"))
    {
        if (value.is_number_unsigned() && value.get<std::size_t>() < digest_buckets)
        {
            buckets.push_back(value.get<std::size_t>());
        }
    }
    json body{{"id", self.config.id}, {"members", json::array()}};
    for (const member_record* record : entries_in(self.members, buckets))
    {
        body["members"].push_back(to_json(*record));
    }
    send_peer(self, peer, "/peer/v1/members", body, sync_timeout_ms, {});
}

void exchange_members(node& self, const endpoint& peer)
{
    const json body{{"id", self.config.id}, {"digest", to_json(make_digest(self.members), true)}};
    send_peer(self, peer, "/peer/v1/members", body, sync_timeout_ms,
              [&self, peer](const json* answer)
              {
                  if (answer != nullptr)
                  {
                      merge_members(self, *answer);
                      send_bucket_records(self, peer, *answer);
                  }
              });
}

void sync_with(node& self, const endpoint& peer, std::function<void(bool)> done)
{
    const json body{{"id", self.config.id},
                    {"next", self.config_replica.state.next_offset},
                    {"moves", all_progress_json(self)},
                    {"crashes", crashes_json(self)},
                    {"domains", domain_versions(self)}};
    count(self.stats, "syncs_sent");
    send_peer(self, peer, "/peer/v1/sync", body, sync_timeout_ms,
              [&self, peer, done = std::move(done)](const json* answer)
              {
                  if (answer != nullptr)
                  {
                      apply_records_message(self, *answer, "peer " + to_string(peer));
                      merge_crashes(self, *answer);
                      merge_progress_list(self, array_in(*answer, "moves"));
                      for (const json& value : array_in(*answer, "domains"))
                      {
                          merge_domain(self, value, to_string(peer));
                      }
                      if (counter_in(*answer, "digest") != make_digest(self.members).root)
                      {
                          exchange_members(self, peer);
                      }
                  }
                  if (done)
                  {
                      done(answer != nullptr);
                  }
              });
}

void sync_once(node& self)
{
    const auto peer = next_sync_peer(self.members, self.random);
    const member_entry* entry = peer ? find_member(self.members, *peer) : nullptr;
    if (entry != nullptr)
    {
        sync_with(self, control_endpoint(entry->record), {});
    }
}

void add_contact(node& self, const std::string& id, const std::string& domain,
                 const std::string& control)
{
    const auto parsed = parse_endpoint(control);
    if (!parsed || id.empty() || id == self.config.id)
    {
        return;
    }
    peer_contact& contact = self.contacts[id];
    const bool moved = to_string(contact.control) != control;
    contact.id = id;
    contact.domain = domain;
    contact.control = *parsed;
    if (moved)
    {
        contact.failures = 0;
        contact.summary_sent = 0;
    }
}

/** Contacts of a domain, the most reliable first. */
std::vector<peer_contact*> contacts_of(node& self, const std::string& domain)
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
    return live_ids(self.members, self.config.domain).size() <= 1;
}

void join_domain(node& self)
{
    std::size_t asked = 0;
    for (peer_contact* contact : contacts_of(self, self.config.domain))
    {
        if (asked++ >= joined_contacts)
        {
            break;
        }
        const std::string id = contact->id;
        sync_with(self, contact->control,
                  [&self, id](bool ok) { self.contacts[id].failures += ok ? 0 : 1; });
    }
}

void join_seeds(node& self)
{
    for (const endpoint& seed : self.config.seeds)
    {
        if (to_string(seed) != to_string(own_control_endpoint(self)))
        {
            sync_with(self, seed, {});
        }
    }
}

void read_contacts(node& self)
{
    self.contacts_read = steady_now();
    read_newest(self.log, member_stream, newest_contacts,
                [&self](const read_result& result)
                {
                    for (const log_record& record : result.records)
                    {
                        const json body = json::parse(record.body, nullptr, false);
                        if (body.is_object())
                        {
                            add_contact(self, text_in(body, "id"), text_in(body, "domain"),
                                        text_in(body, "control"));
                        }
                    }
                    join_domain(self);
                });
}

void announce_contact(node& self)
{
    const json body{{"id", self.config.id},
                    {"domain", self.config.domain},
                    {"control", to_string(own_control_endpoint(self))}};
    append_record(self.log, member_stream, body.dump(),
                  [&self](const append_result& result)
                  {
                      if (result.outcome == append_outcome::refused)
                      {
                          const time_ms delay =
                              announce_retry_ms + std::uniform_int_distribution<time_ms>(
                                                      0, announce_retry_ms)(self.random);
                          run_after(*self.loop, delay, [&self] { announce_contact(self); });
                      }
                      read_contacts(self);
                  });
}

bool is_gateway(const node& self)
{
    const auto ids = alive_ids(self.members, self.config.domain);
    const auto picked = rendezvous_pick(ids, "gateway", gateways_per_domain);
    return std::find(picked.begin(), picked.end(), self.config.id) != picked.end();
}

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

void take_summary_message(node& self, const json& body)
{
    if (body.contains("summary") && body["summary"].is_object())
    {
        const std::string domain = text_in(body, "domain");
        const std::uint64_t before = self.domains[domain].version;
        merge_domain(self, body["summary"], text_in(body, "id"));
        if (self.domains[domain].version != before)
        {
            self.pending.domains.insert(domain);
            schedule_flush(self);
        }
    }
    apply_records_message(self, body, text_in(body, "id"));
    merge_progress_list(self, array_in(body, "moves"));
    merge_shared_evidence(self, body);
}

void send_summary(node& self, peer_contact& contact, const json& summary, std::uint64_t version)
{
    json body = summary_message(self, summary, version);
    if (contact.summary_sent == version)
    {
        body.erase("summary");
    }
    const std::string id = contact.id;
    send_peer(self, contact.control, "/peer/v1/summary", body, sync_timeout_ms,
              [&self, id, version](const json* answer)
              {
                  peer_contact& target = self.contacts[id];
                  target.failures = answer == nullptr ? target.failures + 1 : 0;
                  if (answer == nullptr)
                  {
                      target.summary_sent = 0;
                      return;
                  }
                  target.summary_sent = answer->value("want", false) ? 0 : version;
                  take_summary_message(self, *answer);
              });
}

void exchange_summaries(node& self)
{
    if (!is_gateway(self) || self.leaving)
    {
        return;
    }
    std::set<std::string> foreign;
    for (const auto& [id, contact] : self.contacts)
    {
        if (contact.domain != self.config.domain)
        {
            foreign.insert(contact.domain);
        }
    }
    const json summary = to_json(summarise_domain(self.members, self.config.domain));
    const std::uint64_t version = hash_json(summary);
    for (const std::string& domain : foreign)
    {
        send_summary(self, *contacts_of(self, domain).front(), summary, version);
    }
}

json handle_summary(node& self, const json& body)
{
    const std::string domain = text_in(body, "domain");
    add_contact(self, text_in(body, "id"), domain, text_in(body, "control"));
    take_summary_message(self, body);
    json answer = records_since(self, counter_in(body, "have"));
    const json summary = to_json(summarise_domain(self.members, self.config.domain));
    answer["id"] = self.config.id;
    answer["domain"] = self.config.domain;
    answer["moves"] = all_progress_json(self);
    answer["evidence"] = shared_evidence_json(self);
    answer["want"] = self.domains[domain].version != counter_in(body, "version");
    return answer;
}

void answer_probe_via(node& self, const json& body,
                      const std::function<void(http_response)>& answer)
{
    const member_entry* target = find_member(self.members, text_in(body, "target"));
    if (target == nullptr)
    {
        answer(json_response(200, R"({"ok":false})"));
        return;
    }
    send_peer(self, control_endpoint(target->record), "/peer/v1/probe", {{"id", self.config.id}},
              self.detector.options.direct_timeout_ms,
              [answer](const json* reply)
              {
                  const json result{{"ok", reply != nullptr}};
                  answer(json_response(200, result.dump()));
              });
}

void note_probe_answer(node& self, const std::string& target, const std::string& via)
{
    if (!on_probe_answer(self.detector, self.members, target, via, steady_now()))
    {
        return;
    }
    if (const member_entry* entry = find_member(self.members, target))
    {
        const json body{{"id", self.config.id}, {"members", {to_json(entry->record)}}};
        send_peer(self, control_endpoint(entry->record), "/peer/v1/members", body, sync_timeout_ms,
                  {});
    }
}

void send_probe(node& self, const detector_action& action)
{
    const bool direct = action.via.empty();
    const member_entry* peer = find_member(self.members, direct ? action.target : action.via);
    if (peer == nullptr)
    {
        return;
    }
    json body{{"id", self.config.id}};
    if (!direct)
    {
        body["target"] = action.target;
    }
    const time_ms timeout = direct ? self.detector.options.direct_timeout_ms
                                   : self.detector.options.indirect_timeout_ms;
    send_peer(self, control_endpoint(peer->record),
              direct ? "/peer/v1/probe" : "/peer/v1/probe-via", body, timeout,
              [&self, target = action.target, via = action.via](const json* answer)
              {
                  if (answer == nullptr)
                  {
                      return;
                  }
                  if (via.empty() || answer->value("ok", false))
                  {
                      note_probe_answer(self, target, via);
                  }
              });
}

void run_detector(node& self)
{
    for (const detector_action& action :
         detector_tick(self.detector, self.members, steady_now(), self.random))
    {
        switch (action.kind)
        {
        case detector_action_kind::send_probe:
        case detector_action_kind::send_indirect_probe:
            send_probe(self, action);
            break;
        case detector_action_kind::announce_self:
            refute(self.members, steady_now());
            spread_member(self, self.config.id);
            break;
        case detector_action_kind::mark_suspect:
        case detector_action_kind::mark_dead:
        case detector_action_kind::presume_lost:
            log_event(log_level::info, "member_verdict",
                      {{"member", action.target}, {"verdict", static_cast<int>(action.kind)}});
            if (const member_record* record = apply_action(self.members, action, steady_now()))
            {
                spread_member(self, record->id);
            }
            break;
        }
    }
}

void housekeep(node& self)
{
    drop_expired(self.members, steady_now());
    expire_crashes(self.quarantine, wall_now());
    if (self.config_replica.ready && is_fetcher(self))
    {
        // Sent by each flush of a fetcher; here for times without changes.
        self.pending.freshness = true;
    }
}

void find_peers(node& self)
{
    const bool lost_domain =
        std::any_of(self.contacts.begin(), self.contacts.end(),
                    [](const auto& entry) { return entry.second.failures > 2; });
    if (!alone_in_domain(self) && !(lost_domain && is_gateway(self)) && self.config_replica.ready)
    {
        return;
    }
    read_contacts(self);
    join_seeds(self);
}

} // namespace

endpoint control_endpoint(const member_record& record)
{
    return {record.address, record.control_port};
}

void send_peer(node& self, const endpoint& control, std::string_view path, const json& body,
               time_ms timeout, std::function<void(const json* answer)> done)
{
    send_request(*self.control_client,
                 {.method = "POST",
                  .url = "http://" + to_string(control) + std::string(path),
                  .body = body.dump(),
                  .timeout = timeout,
                  .connect_timeout = timeout},
                 [done = std::move(done)](const http_result& result)
                 {
                     if (!done)
                     {
                         return;
                     }
                     const bool ok =
                         result.outcome == call_outcome::answered && result.response.status == 200;
                     const json answer =
                         ok ? json::parse(result.response.body, nullptr, false) : json();
                     done(answer.is_object() ? &answer : nullptr);
                 });
}

void schedule_flush(node& self)
{
    if (self.pending.scheduled)
    {
        return;
    }
    self.pending.scheduled = true;
    run_after(*self.loop, flush_delay_ms, [&self] { flush(self); });
}

void spread_member(node& self, std::string_view id)
{
    self.pending.members.insert(std::string(id));
    schedule_flush(self);
}

void spread_crash(node& self, std::uint64_t fingerprint)
{
    self.pending.crashes.insert(fingerprint);
    schedule_flush(self);
}

void spread_move(node& self, const std::string& move)
{
    self.pending.moves.insert(move);
    schedule_flush(self);
}

void announce_leaving(node& self)
{
    member_record record = describe_self(self);
    record.state = member_state::leaving;
    publish_self(self.members, std::move(record), steady_now());
    self.pending.members.insert(self.config.id);
    flush(self);
}

void start_peering(node& self)
{
    announce_contact(self);
    join_seeds(self);
    run_every(*self.loop, self.detector.options.tick_ms, [&self] { run_detector(self); });
    run_every(*self.loop, sync_interval_ms, [&self] { sync_once(self); });
    run_every(*self.loop, summary_interval_ms, [&self] { exchange_summaries(self); });
    run_every(*self.loop, housekeeping_interval_ms, [&self] { housekeep(self); });
    run_every(*self.loop, contacts_interval_ms, [&self] { find_peers(self); });
    run_every(*self.loop, freshness_interval_ms,
              [&self]
              {
                  if (self.pending.freshness)
                  {
                      schedule_flush(self);
                  }
              });
}

void handle_peer_request(node& self, std::string_view path, const json& body,
                         const std::function<void(http_response)>& answer)
{
    const std::string sender = text_in(body, "id");
    if (!sender.empty())
    {
        on_peer_heard(self.detector, self.members, sender, steady_now());
    }
    if (path == "/peer/v1/probe-via")
    {
        answer_probe_via(self, body, answer);
        return;
    }
    json result = json::object();
    if (path == "/peer/v1/push")
    {
        handle_push(self, body);
    }
    else if (path == "/peer/v1/sync")
    {
        result = handle_sync(self, body);
    }
    else if (path == "/peer/v1/members")
    {
        result = handle_members(self, body);
    }
    else if (path == "/peer/v1/summary")
    {
        result = handle_summary(self, body);
    }
    else if (path == "/peer/v1/evidence")
    {
        merge_evidence_report(self, body);
    }
    else if (path != "/peer/v1/probe")
    {
        answer(error_response(404, {error_kind::not_found,
                                    "no peer message has the path " + std::string(path),
                                    "run the same release on all daemons"}));
        return;
    }
    answer(json_response(200, result.dump()));
}

} // namespace sardinepoint
