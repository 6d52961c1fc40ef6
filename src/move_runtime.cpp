#include "move_runtime.hpp"

#include "move_json.hpp"
#include "peer_messages.hpp"
#include "peering.hpp"
#include "replica.hpp"

#include "sardinepoint/logging.hpp"

#include <algorithm>
#include <utility>

namespace sardinepoint
{

namespace
{

using nlohmann::json;

constexpr time_ms report_interval_ms = 1000;
constexpr time_ms report_timeout_ms = 1000;
// A report is at most one interval old when it is sent and arrives within the rest.
constexpr time_ms evidence_lag_ms = 1500;
constexpr std::size_t aggregators_per_move = 2;
constexpr std::size_t gateways_per_domain = 2;
constexpr time_ms isolation_after_ms = 5000;
constexpr time_ms isolation_valid_ms = 3000;
constexpr time_ms log_stale_after_ms = 10000;
constexpr time_ms outcome_retry_ms = 3000;
constexpr time_ms crash_decision_ms = 3000;
constexpr double rate_gain = 0.2;
constexpr double ms_per_second = 1000;
constexpr int first_server_error = 500;

const move_record* find_record(const node& self, const std::string& move)
{
    const auto& moves = self.config_replica.state.moves;
    const auto found = moves.find(move);
    return found == moves.end() ? nullptr : &found->second;
}

/** The move of a service that runs or is watched; a service has at most one that runs. */
std::pair<const move_record*, tracked_move*> move_of_service(const node& self,
                                                             std::string_view service)
{
    std::pair<const move_record*, tracked_move*> found{nullptr, nullptr};
    for (auto& [id, tracked] : self.moves->moves)
    {
        const move_record* record = find_record(self, id);
        if (record == nullptr || record->spec.service != service)
        {
            continue;
        }
        if (found.first == nullptr || record->state == move_state::running)
        {
            found = {record, &tracked};
        }
    }
    return found;
}

bool has_upstream(const node& self, const std::string& service, const std::string& version)
{
    if (!live_upstreams(self.members, service, version, self.config.domain).empty())
    {
        return true;
    }
    return std::any_of(self.domains.begin(), self.domains.end(),
                       [&](const auto& entry)
                       {
                           const auto& services = entry.second.summary.services;
                           return std::any_of(services.begin(), services.end(),
                                              [&](const service_summary& summary) {
                                                  return summary.service == service &&
                                                         summary.version == version &&
                                                         summary.upstreams > 0;
                                              });
                       });
}

bool is_isolated(const tracked_move& tracked)
{
    return wall_now() - tracked.isolated_at < isolation_valid_ms;
}

double share_now(const move_spec& spec, const tracked_move& tracked)
{
    return is_isolated(tracked) ? isolated_share_at(spec, tracked.progress, wall_now())
                                : share_at(spec, tracked.progress, wall_now());
}

void log_progress(const std::string& move, const move_progress& progress, std::string_view source)
{
    log_event(log_level::info, "move_progress",
              {{"move", move},
               {"step", progress.step},
               {"withdrawn", progress.withdrawn ? "yes" : "no"},
               {"done", progress.done ? "yes" : "no"},
               {"source", source},
               {"reason", progress.reason}});
}

/** Merges progress; returns whether it changed. */
bool advance(node& self, const std::string& move, const move_progress& progress,
             std::string_view source)
{
    const auto found = self.moves->moves.find(move);
    if (found == self.moves->moves.end())
    {
        return false;
    }
    const move_progress merged = merge_progress(found->second.progress, progress);
    if (merged == found->second.progress)
    {
        return false;
    }
    found->second.progress = merged;
    log_progress(move, merged, source);
    return true;
}

version_counters& counters_of(tracked_move& tracked, std::string_view route, bool new_version)
{
    route_counters& counters = tracked.own[std::string(route)];
    return new_version ? counters.to : counters.from;
}

void count_attempt(tracked_move& tracked, const attempt_evidence& attempt, bool new_version)
{
    version_counters& counters = counters_of(tracked, attempt.route, new_version);
    slow_threshold& threshold = tracked.thresholds[std::string(attempt.route)];
    const auto latency = static_cast<double>(attempt.elapsed);
    const bool answered = attempt.outcome == run_outcome::answered;
    const bool failed = !answered || attempt.status >= first_server_error;
    ++counters.calls;
    counters.failures += failed ? 1 : 0;
    counters.slow += !answered || is_slow(threshold, latency) ? 1 : 0;
    if (answered && !new_version)
    {
        observe_old_latency(threshold, latency);
    }
}

/** A crash is charged once the same request was answered elsewhere, or when time has shown that
    it didn't crash a second upstream. */
void settle_crash(tracked_move& tracked, std::uint64_t fingerprint)
{
    const auto found = tracked.crashes.find(fingerprint);
    if (found == tracked.crashes.end())
    {
        return;
    }
    version_counters& counters =
        counters_of(tracked, found->second.route, found->second.on_new_version);
    ++counters.calls;
    ++counters.failures;
    tracked.crashes.erase(found);
}

void settle_old_crashes(node& self, tracked_move& tracked)
{
    std::vector<std::uint64_t> due;
    for (const auto& [fingerprint, crash] : tracked.crashes)
    {
        if (steady_now() - crash.since >= crash_decision_ms)
        {
            due.push_back(fingerprint);
        }
    }
    for (const std::uint64_t fingerprint : due)
    {
        if (is_quarantined(self.quarantine, fingerprint, wall_now()))
        {
            tracked.crashes.erase(fingerprint);
            continue;
        }
        settle_crash(tracked, fingerprint);
    }
}

std::vector<std::string> pick_members(const node& self, std::string_view key, std::size_t count)
{
    const auto ids = alive_ids(self.members, self.config.domain);
    std::vector<std::string> picked;
    for (const std::string_view id : rendezvous_pick(ids, key, count))
    {
        picked.emplace_back(id);
    }
    return picked;
}

std::vector<std::string> aggregators_of(const node& self, const std::string& move)
{
    return pick_members(self, "move/" + move, aggregators_per_move);
}

/** Sends evidence to a member, or takes it over if that is this daemon. */
void deliver(node& self, const std::string& member, const json& message)
{
    if (member == self.config.id)
    {
        merge_evidence_report(self, message);
        return;
    }
    if (const member_entry* entry = find_member(self.members, member))
    {
        count(self.stats, "evidence_sent");
        send_peer(self, control_endpoint(entry->record), "/peer/v1/evidence", message,
                  report_timeout_ms, {});
    }
}

std::string proxy_name(const node& self)
{
    return self.config.id + "/" + std::to_string(self.incarnation);
}

void report_own_evidence(node& self, const std::string& move, tracked_move& tracked)
{
    if (tracked.own == tracked.reported)
    {
        return;
    }
    tracked.reported = tracked.own;
    const json message{{"id", self.config.id},
                       {"move", move},
                       {"proxies", {{proxy_name(self), to_json(tracked.own)}}}};
    for (const std::string& member : aggregators_of(self, move))
    {
        deliver(self, member, message);
    }
}

/** Passes the failure domain's sum on to the gateways. */
void report_domain_sum(node& self, const std::string& move, tracked_move& tracked)
{
    move_evidence sum;
    sum.proxies[self.config.domain] = sum_evidence(tracked.domain_evidence);
    merge_evidence(tracked.domain_sums, sum);
    const json message{
        {"id", self.config.id},
        {"move", move},
        {"domains",
         {{self.config.domain, to_json(tracked.domain_sums.proxies[self.config.domain])}}}};
    for (const std::string& member : pick_members(self, "gateway", gateways_per_domain))
    {
        if (member != self.config.id)
        {
            deliver(self, member, message);
        }
    }
}

bool lost_other_domains(const tracked_move& tracked)
{
    return !tracked.domains_heard.empty() &&
           std::all_of(tracked.domains_heard.begin(), tracked.domains_heard.end(),
                       [](const auto& entry)
                       { return steady_now() - entry.second > isolation_after_ms; });
}

void append_outcome(node& self, const move_record& record, tracked_move& tracked)
{
    const bool ended = tracked.progress.withdrawn || tracked.progress.done;
    const move_state wanted = tracked.progress.withdrawn ? move_state::withdrawn : move_state::done;
    const bool folded = record.state == wanted || record.state == move_state::withdrawn;
    if (!ended || folded || steady_now() - tracked.outcome_appended < outcome_retry_ms)
    {
        return;
    }
    tracked.outcome_appended = steady_now();
    const move_outcome outcome{
        .move = record.spec.id, .state = wanted, .reason = tracked.progress.reason};
    append_record(self.log, config_stream, dump_outcome(outcome),
                  [&self, move = record.spec.id](const append_result& result)
                  {
                      log_event(log_level::info, "move_outcome_appended",
                                {{"move", move},
                                 {"ok", result.outcome == append_outcome::appended ? "yes" : "no"},
                                 {"reason", result.reason}});
                      request_read(self);
                  });
}

void decide(node& self, const move_record& record, tracked_move& tracked)
{
    const move_spec& spec = record.spec;
    const auto& routes = self.config_replica.state.routes;
    const bool isolated = lost_other_domains(tracked);
    const move_context context{.now = wall_now(),
                               .log_available = freshness_age(self) < log_stale_after_ms,
                               .isolated = isolated,
                               .evidence_until = wall_now() - evidence_lag_ms,
                               .routes = static_cast<std::size_t>(std::max<std::ptrdiff_t>(
                                   1, std::count_if(routes.begin(), routes.end(),
                                                    [&](const auto& entry) {
                                                        return entry.second.service == spec.service;
                                                    })))};
    observe_evidence(tracked.history, spec, tracked.progress, sum_evidence(tracked.domain_sums),
                     context);
    const move_decision decision = decide_move(spec, tracked.progress, tracked.history, context);
    if (decision.hold_reason != tracked.hold_reason)
    {
        tracked.hold_reason = decision.hold_reason;
        log_event(log_level::info, "move_hold",
                  {{"move", spec.id}, {"reason", decision.hold_reason}});
    }
    bool spread = advance(self, spec.id, decision.progress, "aggregator");
    if (isolated && spec.policy.stop_when_isolated)
    {
        tracked.isolated_at = wall_now();
        spread = true;
    }
    if (spread)
    {
        spread_move(self, spec.id);
    }
}

void tick_move(node& self, const std::string& move, tracked_move& tracked)
{
    const move_record* record = find_record(self, move);
    if (record == nullptr)
    {
        return;
    }
    for (auto& [route, threshold] : tracked.thresholds)
    {
        update_slow_threshold(threshold, wall_now());
    }
    const auto calls = static_cast<double>(tracked.calls - tracked.calls_at_tick);
    tracked.calls_at_tick = tracked.calls;
    tracked.call_rate +=
        rate_gain * (calls * ms_per_second / report_interval_ms - tracked.call_rate);
    settle_old_crashes(self, tracked);
    report_own_evidence(self, move, tracked);
    const std::vector<std::string> aggregators = aggregators_of(self, move);
    const auto rank = std::find(aggregators.begin(), aggregators.end(), self.config.id);
    if (rank == aggregators.end())
    {
        return;
    }
    report_domain_sum(self, move, tracked);
    if (!is_watched(record->spec, tracked.progress, wall_now()))
    {
        append_outcome(self, *record, tracked);
        return;
    }
    // The second aggregator only observes, so that it can take over at once.
    if (rank == aggregators.begin())
    {
        decide(self, *record, tracked);
        append_outcome(self, *record, tracked);
    }
}

void tick_moves(node& self)
{
    std::vector<std::string> ids;
    for (const auto& [id, tracked] : self.moves->moves)
    {
        ids.push_back(id);
    }
    for (const std::string& id : ids)
    {
        tick_move(self, id, self.moves->moves[id]);
    }
}

/** A move whose service's shares still follow from it. */
bool is_tracked(const move_record& record)
{
    const time_ms watch_end = record.spec.deadline + record.spec.policy.watch;
    return record.state == move_state::running ||
           (record.state == move_state::done && wall_now() < watch_end);
}

json parse_or_empty(const json& message, const char* key)
{
    const auto found = message.find(key);
    return found != message.end() && found->is_object() ? *found : json::object();
}

move_evidence evidence_by_name(const json& values)
{
    move_evidence evidence;
    for (const auto& [name, totals] : values.items())
    {
        evidence.proxies[name] = evidence_from_json(totals);
    }
    return evidence;
}

} // namespace

void start_moves(node& self)
{
    run_every(*self.loop, report_interval_ms, [&self] { tick_moves(self); });
}

void note_evidence(node& self, const attempt_evidence& attempt)
{
    const auto [record, tracked] = move_of_service(self, attempt.service);
    if (record == nullptr || tracked->progress.withdrawn || attempt.outcome == run_outcome::not_run)
    {
        return;
    }
    const bool new_version = attempt.version == record->spec.to;
    if (!new_version && attempt.version != record->spec.from)
    {
        return;
    }
    ++tracked->calls;
    tracked->mean_latency_ms +=
        rate_gain * (static_cast<double>(attempt.elapsed) - tracked->mean_latency_ms);
    if (attempt.crashed)
    {
        const bool second = tracked->crashes.contains(attempt.fingerprint);
        tracked->crashes[attempt.fingerprint] = {.route = std::string(attempt.route),
                                                 .on_new_version = new_version,
                                                 .since = steady_now()};
        if (second)
        {
            // The request crashes both versions, so neither is charged.
            tracked->crashes.erase(attempt.fingerprint);
        }
        return;
    }
    if (attempt.outcome == run_outcome::answered)
    {
        settle_crash(*tracked, attempt.fingerprint);
    }
    count_attempt(*tracked, attempt, new_version);
}

void config_changed(node& self)
{
    std::erase_if(self.moves->moves,
                  [&](const auto& entry)
                  {
                      const move_record* record = find_record(self, entry.first);
                      return record == nullptr || !is_tracked(*record);
                  });
    for (const auto& [id, record] : self.config_replica.state.moves)
    {
        if (!is_tracked(record))
        {
            continue;
        }
        const bool known = self.moves->moves.contains(id);
        tracked_move& tracked = self.moves->moves[id];
        if (!known)
        {
            log_event(log_level::info, "move_started",
                      {{"move", id},
                       {"service", record.spec.service},
                       {"from", record.spec.from},
                       {"to", record.spec.to},
                       {"deadline_ms", record.spec.deadline}});
        }
        tracked.progress.done = tracked.progress.done || record.state == move_state::done;
    }
}

std::optional<version_split> split_of(const node& self, const std::string& service)
{
    const auto& services = self.config_replica.state.services;
    const auto found = services.find(service);
    if (found == services.end())
    {
        return std::nullopt;
    }
    version_split split{.service = found->second, .moved = share_of_move(self, service)};
    const auto [record, tracked] = move_of_service(self, service);
    if (record != nullptr && record->state == move_state::done && tracked->progress.withdrawn)
    {
        // The withdrawal is known here before its record is folded.
        split.service.versions = record->previous_versions;
        split.moved.reset();
    }
    return split;
}

std::optional<moved_share> share_of_move(const node& self, std::string_view service)
{
    const auto [record, tracked] = move_of_service(self, service);
    if (record == nullptr || record->state != move_state::running)
    {
        return std::nullopt;
    }
    const double percent = share_now(record->spec, *tracked);
    if (percent <= 0 || !has_upstream(self, record->spec.service, record->spec.to))
    {
        return std::nullopt;
    }
    return moved_share{.from = record->spec.from, .to = record->spec.to, .percent = percent};
}

std::optional<int> preferred_upstreams(const node& self, std::string_view service,
                                       std::string_view version, int upstreams, int slots)
{
    const auto [record, tracked] = move_of_service(self, service);
    if (record == nullptr || record->state != move_state::running || record->spec.to != version)
    {
        return std::nullopt;
    }
    // Callers are assumed to spread evenly over the daemons of the failure domain.
    const auto daemons = static_cast<double>(alive_ids(self.members, self.config.domain).size());
    return upstreams_in_use(
        {.upstreams = upstreams,
         .slots_per_upstream = slots,
         .arrival_rate = tracked->call_rate * daemons,
         .mean_service_time = static_cast<time_ms>(tracked->mean_latency_ms) + 1,
         .share = share_now(record->spec, *tracked)});
}

json progress_json(const node& self, const std::string& move)
{
    const auto found = self.moves->moves.find(move);
    if (found == self.moves->moves.end())
    {
        return json::object();
    }
    json value = to_json(found->second.progress);
    value["move"] = move;
    value["domain"] = self.config.domain;
    value["isolated_at"] = found->second.isolated_at;
    return value;
}

json all_progress_json(const node& self)
{
    json values = json::array();
    for (const auto& [id, tracked] : self.moves->moves)
    {
        values.push_back(progress_json(self, id));
    }
    return values;
}

void merge_progress_list(node& self, const json& values)
{
    if (!values.is_array())
    {
        return;
    }
    for (const json& value : values)
    {
        const std::string move = value.is_object() ? text_in(value, "move") : "";
        const auto found = self.moves->moves.find(move);
        if (found == self.moves->moves.end())
        {
            continue;
        }
        const std::string domain = text_in(value, "domain");
        if (advance(self, move, progress_from_json(value), domain) && domain != self.config.domain)
        {
            spread_move(self, move);
        }
        const auto isolated = value.find("isolated_at");
        if (domain == self.config.domain && isolated != value.end() &&
            isolated->is_number_integer())
        {
            found->second.isolated_at =
                std::max(found->second.isolated_at, isolated->get<time_ms>());
        }
    }
}

json shared_evidence_json(const node& self)
{
    json values = json::array();
    for (const auto& [id, tracked] : self.moves->moves)
    {
        const auto own = tracked.domain_sums.proxies.find(self.config.domain);
        if (own != tracked.domain_sums.proxies.end())
        {
            values.push_back(
                {{"move", id}, {"domains", {{self.config.domain, to_json(own->second)}}}});
        }
    }
    return values;
}

void merge_shared_evidence(node& self, const json& message)
{
    const auto values = message.find("evidence");
    if (values == message.end() || !values->is_array())
    {
        return;
    }
    for (const json& value : *values)
    {
        if (!value.is_object())
        {
            continue;
        }
        merge_evidence_report(self, value);
        json forwarded = value;
        forwarded["id"] = self.config.id;
        for (const std::string& member : aggregators_of(self, text_in(value, "move")))
        {
            if (member != self.config.id)
            {
                deliver(self, member, forwarded);
            }
        }
    }
}

void merge_evidence_report(node& self, const json& message)
{
    const auto found = self.moves->moves.find(text_in(message, "move"));
    if (found == self.moves->moves.end())
    {
        return;
    }
    tracked_move& tracked = found->second;
    merge_evidence(tracked.domain_evidence, evidence_by_name(parse_or_empty(message, "proxies")));
    const json domains = parse_or_empty(message, "domains");
    merge_evidence(tracked.domain_sums, evidence_by_name(domains));
    for (const auto& [domain, totals] : domains.items())
    {
        if (domain != self.config.domain)
        {
            tracked.domains_heard[domain] = steady_now();
        }
    }
}

std::optional<json> move_view(const node& self, const std::string& move)
{
    const move_record* record = find_record(self, move);
    if (record == nullptr)
    {
        return std::nullopt;
    }
    json view{{"move", move},
              {"service", record->spec.service},
              {"from", record->spec.from},
              {"to", record->spec.to},
              {"deadline_ms", record->spec.deadline},
              {"state", to_string(record->state)},
              {"reason", record->reason},
              {"share", record->state == move_state::done ? 100.0 : 0.0}};
    const auto found = self.moves->moves.find(move);
    if (found != self.moves->moves.end())
    {
        const tracked_move& tracked = found->second;
        view["step"] = tracked.progress.step;
        view["hold_reason"] = tracked.hold_reason;
        if (record->state == move_state::running)
        {
            view["share"] = share_now(record->spec, tracked);
        }
        if (tracked.progress.withdrawn)
        {
            // Known by gossip before the log can record it.
            view["state"] = to_string(move_state::withdrawn);
            view["reason"] = tracked.progress.reason;
            view["share"] = 0.0;
        }
    }
    return view;
}

json move_views(const node& self)
{
    json views = json::array();
    for (const auto& [id, record] : self.config_replica.state.moves)
    {
        views.push_back(*move_view(self, id));
    }
    return views;
}

} // namespace sardinepoint
