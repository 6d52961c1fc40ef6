#pragma once

#include "node.hpp"

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string_view>

namespace sardinepoint
{

/**
 * Handles an upstream's announcement. Returns the duration of the lease, 0 for an upstream that
 * leaves; empty with the reason if the announcement is invalid.
 */
std::optional<time_ms> handle_announcement(node& self, const nlohmann::json& body, error& reason);

/** Removes upstreams whose lease has expired. */
void expire_leases(node& self);

/** Starts or ends draining of this daemon's upstreams. */
void set_drained(node& self, bool drained);

/** Published state of an upstream: draining while the daemon is drained or shutting down. */
upstream_state effective_state(const node& self, const local_upstream& upstream);

/** The usable upstream of the service and version with the most free slots, or null. */
local_upstream* pick_local_upstream(node& self, std::string_view service, std::string_view version);

/** Reason why pick_local_upstream found none. */
std::string_view local_refusal_reason(const node& self, std::string_view service,
                                      std::string_view version);

} // namespace sardinepoint
