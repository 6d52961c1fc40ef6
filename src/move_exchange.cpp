#include "move_internal.hpp"
#include "move_json.hpp"
#include "peer_messages.hpp"
#include "peering.hpp"

#include "sardinepoint/logging.hpp"

#include <algorithm>
#include <utility>

namespace sardinepoint
{

namespace
{

using nlohmann::json;

void log_progress(const std::string& move, const move_progress& progress, std::string_view source)
{
    log_event(log_level::info, "move_progress",
              {{"move", move},
               {"step", progress.step},
               {"withdrawn", progress.withdrawn ? "yes" : "no"},
               {"done", progress.done ? "yes" : "no"},
               {"recorded", progress.recorded ? "yes" : "no"},
               {"spread", progress.spread ? "yes" : "no"},
               {"held", is_held(progress) ? "yes" : "no"},
               {"source", source},
               {"reason", progress.reason}});
}

json object_or_empty(const json& message, const char* key)
{
    const auto found = message.find(key);
    return found != message.end() && found->is_object() ? *found : json::object();
}

move_evidence parse_evidence(const json& values)
{
    move_evidence evidence;
    for (const auto& [name, totals] : values.items())
    {
        evidence.totals_by_source[name] = parse_evidence_totals(totals);
    }
    return evidence;
}

} // namespace

bool advance_move(node& self, const std::string& move, const move_progress& progress,
                  std::string_view source)
{
    apply_recorded_outcome(self, move, progress);
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
        const std::string move = value.is_object() ? string_field(value, "move") : "";
        const auto found = self.moves->moves.find(move);
        if (found == self.moves->moves.end())
        {
            continue;
        }
        const std::string domain = string_field(value, "domain");
        if (advance_move(self, move, parse_progress(value), domain) && domain != self.config.domain)
        {
            broadcast_move(self, move);
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
        const auto own = tracked.domain_sums.totals_by_source.find(self.config.domain);
        if (own != tracked.domain_sums.totals_by_source.end())
        {
            json value{{"move", id}, {"domains", {{self.config.domain, to_json(own->second)}}}};
            const auto upstreams =
                tracked.domain_upstream_sums.totals_by_source.find(self.config.domain);
            if (upstreams != tracked.domain_upstream_sums.totals_by_source.end() &&
                !upstreams->second.empty())
            {
                value["upstreams"]["domains"][self.config.domain] = to_json(upstreams->second);
            }
            values.push_back(std::move(value));
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
        for (const std::string& member : aggregators_of(self, string_field(value, "move")))
        {
            if (member != self.config.id)
            {
                deliver_evidence(self, member, forwarded);
            }
        }
    }
}

json merge_evidence_report(node& self, const json& message)
{
    json response = json::object();
    const auto found = self.moves->moves.find(string_field(message, "move"));
    if (found == self.moves->moves.end())
    {
        return response;
    }
    tracked_move& tracked = found->second;
    merge_evidence(tracked.proxy_evidence, parse_evidence(object_or_empty(message, "proxies")));
    const json domains = object_or_empty(message, "domains");
    merge_evidence(tracked.domain_sums, parse_evidence(domains));
    for (const auto& [domain, totals] : domains.items())
    {
        if (domain != self.config.domain)
        {
            tracked.last_domain_reports[domain] = steady_now();
        }
    }
    const json upstreams = object_or_empty(message, "upstreams");
    merge_evidence(tracked.proxy_upstream_evidence,
                   parse_evidence(object_or_empty(upstreams, "proxies")));
    merge_evidence(tracked.domain_upstream_sums,
                   parse_evidence(object_or_empty(upstreams, "domains")));
    const json latencies = object_or_empty(message, "latencies");
    for (const auto& [proxy, routes] : latencies.items())
    {
        if (!routes.is_object())
        {
            continue;
        }
        for (const auto& [route, counts] : routes.items())
        {
            merge_latency_counts(tracked.proxy_latencies[route][proxy],
                                 parse_latency_counts(counts));
            const auto threshold = tracked.domain_thresholds.find(route);
            if (threshold != tracked.domain_thresholds.end())
            {
                response["slow_thresholds"][route] = threshold->second;
            }
        }
    }
    return response;
}

void merge_slow_thresholds(node& self, const std::string& move, const json& response)
{
    const auto found = self.moves->moves.find(move);
    if (found == self.moves->moves.end())
    {
        return;
    }
    const json thresholds = object_or_empty(response, "slow_thresholds");
    for (const auto& [route, threshold] : thresholds.items())
    {
        if (threshold.is_number())
        {
            found->second.shared_thresholds[route] = threshold.get<double>();
        }
    }
}

} // namespace sardinepoint
