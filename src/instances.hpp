#pragma once

#include "node.hpp"

#include "sardinepoint/placement.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace sardinepoint
{

/** Instances of one service with this daemon's observations about them. */
struct instance_group
{
    std::vector<instance_view> views;
    /** Data endpoint of the daemon of each view, in the same order. */
    std::vector<endpoint> daemons;
    /** Revision of the member table from which the group was built, plus one. */
    std::uint64_t revision = 0;
};

/** Current instances of the service, rebuilt if the member table has changed. */
instance_group& instances_of(node& self, const std::string& service);

/** Marks the instances in evacuated localities after a change of the configuration. */
void refresh_evacuated(node& self);

/** View of an instance, or null if it is no longer in the member table. */
instance_view* find_instance(node& self, const std::string& service, std::string_view instance);

} // namespace sardinepoint
