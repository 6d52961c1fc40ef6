#pragma once

#include "node.hpp"
#include "sidecar.hpp"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace sardinepoint
{

/**
 * Returns the peers to probe now: those that have not answered a call offered at the given time or
 * later, and those that did not answer the last probe. A daemon with a high event loop lag probes
 * few peers, since responses may wait unread in it, and many probes would delay other messages of
 * the daemon and its peers.
 */
std::vector<std::string>
probes_due(const std::map<std::string, peer_liveness, std::less<>>& peers,
           const std::map<std::string, time_ms, std::less<>>& oldest_offers, double lag_ms,
           time_ms now);

/**
 * Probes daemons from which responses are overdue, and takes back calls that may be retried from
 * those that don't answer.
 */
void check_peers(node& self);

} // namespace sardinepoint
