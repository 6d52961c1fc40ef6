#pragma once

#include "node.hpp"

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string_view>

namespace sardinepoint
{

/** Takes an upstream's announcement; returns the lease, or the reason for a refusal. */
std::optional<time_ms> handle_announcement(node& self, const nlohmann::json& body, error& reason);

/** Removes upstreams whose lease has lapsed. */
void expire_leases(node& self);

/** Takes this daemon's upstreams out of service or puts them back. */
void set_drained(node& self, bool drained);

/** State in which an upstream is described to others. */
upstream_state effective_state(const node& self, const local_upstream& upstream);

/** The usable upstream of the service and version with the most free slots, or null. */
local_upstream* pick_local_upstream(node& self, std::string_view service, std::string_view version);

/** Why pick_local_upstream found none. */
std::string_view local_refusal_reason(const node& self, std::string_view service,
                                      std::string_view version);

} // namespace sardinepoint
