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
 * Peers to be probed now: those that owe an answer to a call that was offered at the given time or
 * later, and those that were silent when last probed. A daemon that is behind probes few: answers
 * may wait unread in it, and many probes would keep it and its peers from other messages.
 */
std::vector<std::string>
probes_due(const std::map<std::string, peer_liveness, std::less<>>& peers,
           const std::map<std::string, time_ms, std::less<>>& oldest_offers, double lag_ms,
           time_ms now);

/** Asks daemons from which answers are missing whether they are there, and takes calls that may be
 * repeated back from those that are not. */
void check_peers(node& self);

} // namespace sardinepoint
