#include "move_runtime.hpp"

#include "move_internal.hpp"
#include "sidecar.hpp"

#include "sardinepoint/logging.hpp"

#include <algorithm>
#include <tuple>
#include <utility>
#include <vector>

namespace sardinepoint
{

namespace
{

using nlohmann::json;

constexpr time_ms isolation_valid_ms = 3000;

bool has_upstream(const node& self, const std::string& service, const std::string& version)
{
    if (!available_upstreams(self.members, service, version, self.config.domain).empty())
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

/** Whether a move is running, or is done and still watched. */
bool is_tracked(const move_record& record)
{
    const time_ms watch_end = record.spec.deadline + record.spec.policy.watch_period;
    return record.state == move_state::running ||
           (record.state == move_state::done && wall_now() < watch_end);
}

/** Whether the left one of two moves of a service is the one that its calls count for. */
bool takes_precedence(const move_record& left, const move_record& right)
{
    const auto rank = [](const move_record& record)
    {
        return std::pair(record.state == move_state::running, record.spec.start);
    };
    return rank(left) > rank(right);
}

} // namespace

const move_record* find_move_record(const node& self, const std::string& move)
{
    const auto& moves = self.config_replica.state.moves;
    const auto found = moves.find(move);
    return found == moves.end() ? nullptr : &found->second;
}

void apply_recorded_outcome(node& self, const std::string& move, const move_progress& progress)
{
    const auto found = self.config_replica.state.moves.find(move);
    if (progress.recorded && found != self.config_replica.state.moves.end())
    {
        found->second.state = progress.withdrawn ? move_state::withdrawn : move_state::done;
    }
}

bool is_replaced(const node& self, const move_record& record)
{
    const auto& moves = self.config_replica.state.moves;
    return record.spec.order > 0 && std::any_of(moves.begin(), moves.end(),
                                                [&](const auto& entry)
                                                {
                                                    const move_spec& other = entry.second.spec;
                                                    return other.order > record.spec.order &&
                                                           other.service == record.spec.service;
                                                });
}

std::pair<const move_record*, tracked_move*> move_of_service(const node& self,
                                                             std::string_view service)
{
    std::pair<const move_record*, tracked_move*> found{nullptr, nullptr};
    for (auto& [id, tracked] : self.moves->moves)
    {
        const move_record* record = find_move_record(self, id);
        // The map sorts ids as texts, which says nothing about the order of the moves.
        if (record != nullptr && record->spec.service == service && !is_replaced(self, *record) &&
            (found.first == nullptr || takes_precedence(*record, *found.first)))
        {
            found = {record, &tracked};
        }
    }
    return found;
}

double current_share(const move_spec& spec, const tracked_move& tracked)
{
    return is_isolated(tracked) ? isolated_share_at(spec, tracked.progress, wall_now())
                                : share_at(spec, tracked.progress, wall_now());
}

void handle_config_change(node& self)
{
    if (self.sidecar_state)
    {
        refresh_routes(self);
    }
    std::erase_if(self.moves->moves,
                  [&](const auto& entry)
                  {
                      const move_record* record = find_move_record(self, entry.first);
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
        // The records just read may be older than the outcome.
        apply_recorded_outcome(self, id, tracked.progress);
    }
}

std::optional<version_split> current_version_split(const node& self, const std::string& service)
{
    const auto& services = self.config_replica.state.services;
    const auto found = services.find(service);
    if (found == services.end())
    {
        return std::nullopt;
    }
    version_split split{.service = found->second, .moved = current_moved_share(self, service)};
    const auto [record, tracked] = move_of_service(self, service);
    if (record != nullptr && record->state == move_state::done && tracked->progress.withdrawn)
    {
        // The withdrawal is known to this daemon before its record has been applied.
        split.service.versions = record->previous_versions;
        split.moved.reset();
    }
    return split;
}

std::optional<moved_share> current_moved_share(const node& self, std::string_view service)
{
    const auto [record, tracked] = move_of_service(self, service);
    if (record == nullptr || record->state != move_state::running)
    {
        return std::nullopt;
    }
    const double percent = current_share(record->spec, *tracked);
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
    if (record == nullptr || record->state != move_state::running || record->spec.to != version ||
        tracked->progress.spread)
    {
        return std::nullopt;
    }
    // Assumes that callers are distributed evenly over the daemons of the failure domain.
    const auto daemons = static_cast<double>(alive_ids(self.members, self.config.domain).size());
    return preferred_upstream_count(
        {.upstreams = upstreams,
         .slots_per_upstream = slots,
         .arrival_rate = tracked->call_rate * daemons,
         .mean_service_time = static_cast<time_ms>(tracked->mean_latency_ms) + 1,
         .share = current_share(record->spec, *tracked)});
}

std::optional<json> move_view(const node& self, const std::string& move)
{
    const move_record* record = find_move_record(self, move);
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
            view["share"] = current_share(record->spec, tracked);
        }
        if (tracked.progress.withdrawn)
        {
            // Daemons learn of a withdrawal from each other before the log records it.
            view["state"] = to_string(move_state::withdrawn);
            view["reason"] = tracked.progress.reason;
            view["share"] = 0.0;
        }
    }
    return view;
}

json move_views(const node& self)
{
    std::vector<const move_spec*> specs;
    for (const auto& [id, record] : self.config_replica.state.moves)
    {
        specs.push_back(&record.spec);
    }
    std::sort(specs.begin(), specs.end(),
              [](const move_spec* left, const move_spec* right)
              {
                  return std::tie(left->start, left->order, left->id) <
                         std::tie(right->start, right->order, right->id);
              });
    json views = json::array();
    for (const move_spec* spec : specs)
    {
        views.push_back(*move_view(self, spec->id));
    }
    return views;
}

} // namespace sardinepoint
