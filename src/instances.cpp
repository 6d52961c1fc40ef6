#include "instances.hpp"

#include "sidecar.hpp"

#include <algorithm>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace sardinepoint
{

namespace
{

/** Views of a group by instance; several daemons may have announced the same instance. */
using view_index = std::unordered_multimap<std::string_view, instance_view*>;

view_index index_views(instance_group& group)
{
    view_index index;
    index.reserve(group.views.size());
    for (instance_view& view : group.views)
    {
        index.emplace(view.instance, &view);
    }
    return index;
}

instance_view make_view(const view_index& previous, const std::set<std::string>& evacuated,
                        const member_record& member, const upstream_record& upstream)
{
    const auto [first, last] = previous.equal_range(upstream.instance);
    const auto existing = std::find_if(
        first, last, [&](const auto& entry) { return entry.second->member == member.id; });
    instance_view view;
    if (existing != last)
    {
        view = *existing->second;
    }
    else
    {
        view.member = member.id;
        view.instance = upstream.instance;
        view.cold_until = steady_now() + upstream.cold_time_left;
    }
    view.version = upstream.version;
    view.locality = upstream.locality;
    view.evacuated = evacuated.contains(upstream.locality);
    view.slots = upstream.slots;
    view.advertised_service_time = upstream.service_time;
    return view;
}

} // namespace

instance_group& instances_of(node& self, const std::string& service)
{
    instance_group& group = self.sidecar_state->instance_groups[service];
    if (group.revision == self.members.revision + 1)
    {
        return group;
    }
    // The whole group is rebuilt with each change of the table, so views are found by hash.
    const view_index previous = index_views(group);
    instance_group next;
    // Zero means that the group was never built.
    next.revision = self.members.revision + 1;
    for (const upstream_candidate& choice :
         available_upstreams(self.members, service, any_version, self.config.domain))
    {
        next.views.push_back(make_view(previous, self.config_replica.state.evacuated,
                                       *choice.member, *choice.upstream));
        next.daemons.push_back({choice.member->address, choice.member->data_port});
    }
    group = std::move(next);
    return group;
}

void refresh_evacuated(node& self)
{
    for (auto& [service, group] : self.sidecar_state->instance_groups)
    {
        for (instance_view& view : group.views)
        {
            view.evacuated = self.config_replica.state.evacuated.contains(view.locality);
        }
    }
}

instance_view* find_instance(node& self, const std::string& service, std::string_view instance)
{
    instance_group& group = instances_of(self, service);
    const auto found =
        std::find_if(group.views.begin(), group.views.end(),
                     [instance](const instance_view& view) { return view.instance == instance; });
    return found == group.views.end() ? nullptr : &*found;
}

} // namespace sardinepoint
