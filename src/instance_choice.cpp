#include "instance_choice.hpp"

#include "move_runtime.hpp"
#include "move_versions.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace sardinepoint
{

namespace
{

/** Indices of the instances that may get the call, by whether it goes to the new version. */
std::vector<std::size_t> eligible_instances(node& self, const outbound_call& call,
                                            const instance_group& group, const version_rule& rule,
                                            bool new_version)
{
    std::vector<std::size_t> positions;
    for (std::size_t i = 0; i < group.views.size(); ++i)
    {
        if (!group.views[i].evacuated &&
            may_receive_call(rule, group.views[i].version, new_version))
        {
            positions.push_back(i);
        }
    }
    if (!new_version || !rule.target)
    {
        return positions;
    }
    // While its share is small, a new version's calls go to few of its instances: this reveals
    // faults that show only under load.
    std::sort(positions.begin(), positions.end(),
              [&](std::size_t left, std::size_t right)
              { return group.views[left].instance < group.views[right].instance; });
    const int slots = positions.empty() ? 1 : group.views[positions.front()].slots;
    const auto preferred = preferred_upstreams(self, call.service, *rule.target,
                                               static_cast<int>(positions.size()), slots);
    if (preferred && *preferred > 0 && static_cast<std::size_t>(*preferred) < positions.size())
    {
        positions.resize(static_cast<std::size_t>(*preferred));
    }
    return positions;
}

double average_response_kb(const node& self, const std::string& route)
{
    constexpr double bytes_per_kb = 1024;
    const auto found = self.sidecar_state->average_response_bytes.find(route);
    return found == self.sidecar_state->average_response_bytes.end() ? 0
                                                                     : found->second / bytes_per_kb;
}

std::optional<placement> place_among(node& self, const outbound_call& call,
                                     const instance_group& group,
                                     std::span<const std::size_t> positions)
{
    const placement_request request{.own_member = self.config.id,
                                    .locality = self.config.sidecar.locality,
                                    .response_kb = average_response_kb(self, call.route),
                                    .target_time_left = static_cast<double>(std::max<time_ms>(
                                        call.latency_target_at - steady_now(), 0)),
                                    .lag_ms = current_lag_ms(self.lag, steady_now()),
                                    .tried = call.tried,
                                    .eligible = positions};
    return place_call(group.views, request, self.sidecar_state->placement_params, steady_now(),
                      self.random);
}

} // namespace

std::optional<placement> choose_instance(node& self, outbound_call& call,
                                         const instance_group& group)
{
    const version_rule rule = version_rule_of(self, call.service);
    if (call.offers == 0)
    {
        call.to_new_version =
            rule.target &&
            select_by_share(self.sidecar_state->move_shares[call.service], rule.share, self.random);
    }
    const std::vector<std::size_t> positions =
        eligible_instances(self, call, group, rule, call.to_new_version);
    const auto chosen = place_among(self, call, group, positions);
    if (!chosen && std::exchange(call.to_new_version, false))
    {
        return choose_instance(self, call, group);
    }
    return chosen;
}

std::optional<placement> choose_hedge_instance(node& self, const outbound_call& call,
                                               const instance_group& group)
{
    // A second attempt must not add to the new version's share.
    const std::vector<std::size_t> positions =
        eligible_instances(self, call, group, version_rule_of(self, call.service), false);
    const std::vector<std::size_t> candidates = hedge_candidates(
        group.views, positions, call.tried, self.sidecar_state->placement_params, steady_now());
    return candidates.empty() ? std::nullopt : place_among(self, call, group, candidates);
}

void record_response_size(node& self, const std::string& route, std::size_t bytes)
{
    constexpr double gain = 0.1;
    const auto size = static_cast<double>(bytes);
    const auto [entry, added] = self.sidecar_state->average_response_bytes.try_emplace(route, size);
    entry->second += added ? 0 : gain * (size - entry->second);
}

} // namespace sardinepoint
