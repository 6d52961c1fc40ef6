#include "instances.hpp"

#include "sidecar.hpp"

#include <algorithm>
#include <utility>

namespace sardinepoint
{

namespace
{

instance_view make_view(const instance_group& previous, const member_record& member,
                        const upstream_record& upstream)
{
    const auto existing =
        std::find_if(previous.views.begin(), previous.views.end(),
                     [&](const instance_view& other)
                     { return other.member == member.id && other.instance == upstream.instance; });
    instance_view view;
    if (existing != previous.views.end())
    {
        view = *existing;
    }
    else
    {
        view.member = member.id;
        view.instance = upstream.instance;
        view.cold_until = steady_now() + upstream.cold_time_left;
    }
    view.version = upstream.version;
    view.locality = upstream.locality;
    view.slots = upstream.slots;
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
    instance_group next;
    // Zero means that the group was never built.
    next.revision = self.members.revision + 1;
    for (const upstream_candidate& choice :
         available_upstreams(self.members, service, any_version, self.config.domain))
    {
        next.views.push_back(make_view(group, *choice.member, *choice.upstream));
        next.daemons.push_back({choice.member->address, choice.member->data_port});
    }
    group = std::move(next);
    return group;
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
