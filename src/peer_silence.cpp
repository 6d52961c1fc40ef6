#include "peer_silence.hpp"

#include "outbound.hpp"
#include "peer_messages.hpp"

#include "sardinepoint/logging.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace sardinepoint
{

namespace
{

// A daemon with calls from here usually answers one of them within this time.
constexpr time_ms silence_timeout_ms = 250;
constexpr time_ms silence_probe_timeout_ms = 250;
// The sum of this and the probe timeout is less than the suspension time, so that no call is sent
// to a peer that is still silent.
constexpr time_ms silence_reprobe_ms = 700;
// A daemon behind a saturated link, or briefly without processor time, is late but not unreachable.
constexpr double network_delay_factor = 2;
// In a daemon with spare processor time, events wait for a few milliseconds.
constexpr double high_lag_ms = 100;
constexpr std::size_t max_probes_at_high_lag = 2;

time_ms delay_allowance(const peer_liveness& peer, double lag_ms)
{
    return static_cast<time_ms>(network_delay_factor * peer.network_delay + lag_ms);
}

bool is_response_overdue(const peer_liveness& peer, time_ms offered_at, double lag_ms, time_ms now)
{
    return now - std::max({offered_at, peer.heard_at, peer.probed_at}) >
           silence_timeout_ms + delay_allowance(peer, lag_ms);
}

bool is_reprobe_due(const peer_liveness& peer, time_ms now)
{
    return peer.silent && now - peer.probed_at > silence_reprobe_ms;
}

/** Keeps new calls from the instances of a daemon for the given time; 0 lifts the suspension. */
void suspend_member(node& self, std::string_view member, time_ms time)
{
    for (auto& [service, group] : self.sidecar_state->instance_groups)
    {
        for (instance_view& view : group.views)
        {
            if (view.member == member)
            {
                view.suspended_until = steady_now() + time;
            }
        }
    }
}

/** Suspends a peer that did not answer until a probe is answered, since calls would be lost. */
void handle_probe_result(node& self, const std::string& member, time_ms probed_at, bool answered)
{
    peer_liveness& peer = self.sidecar_state->peers[member];
    peer.probing = false;
    const bool was_silent = std::exchange(peer.silent, !answered);
    if (!answered)
    {
        suspend_member(self, member, self.sidecar_state->placement_params.suspension_time);
        // The silence says nothing about calls that were offered after the probe was sent.
        reroute_calls(self, member, probed_at);
        return;
    }
    peer.heard_at = steady_now();
    if (was_silent)
    {
        log_event(log_level::info, "peer_heard_again", {{"member", member}});
        suspend_member(self, member, 0);
    }
}

void probe_silent_peer(node& self, const std::string& member)
{
    const member_entry* entry = find_member(self.members, member);
    if (entry == nullptr || entry->record.state == member_state::dead)
    {
        self.sidecar_state->peers[member].silent = false;
        return;
    }
    const time_ms now = steady_now();
    peer_liveness& peer = self.sidecar_state->peers[member];
    peer.probed_at = now;
    peer.probing = true;
    send_to_peer(self, control_endpoint(entry->record), "/peer/v1/probe", {{"id", self.config.id}},
                 silence_probe_timeout_ms + delay_allowance(peer, current_lag_ms(self.lag, now)),
                 [&self, member, now](const nlohmann::json* response)
                 { handle_probe_result(self, member, now, response != nullptr); });
}

} // namespace

std::vector<std::string>
probes_due(const std::map<std::string, peer_liveness, std::less<>>& peers,
           const std::map<std::string, time_ms, std::less<>>& oldest_offers, double lag_ms,
           time_ms now)
{
    std::vector<std::pair<time_ms, std::string>> due;
    std::size_t probes_in_flight = 0;
    for (const auto& [member, peer] : peers)
    {
        probes_in_flight += peer.probing ? 1 : 0;
        const auto offered = oldest_offers.find(member);
        const bool response_overdue = offered != oldest_offers.end() &&
                                      is_response_overdue(peer, offered->second, lag_ms, now);
        if (response_overdue || is_reprobe_due(peer, now))
        {
            due.emplace_back(peer.probed_at, member);
        }
    }
    // Peers with the oldest probe first.
    std::sort(due.begin(), due.end());
    if (lag_ms >= high_lag_ms)
    {
        due.resize(std::min(due.size(), max_probes_at_high_lag -
                                            std::min(probes_in_flight, max_probes_at_high_lag)));
    }
    std::vector<std::string> members;
    members.reserve(due.size());
    for (auto& [probed_at, member] : due)
    {
        members.push_back(std::move(member));
    }
    return members;
}

void check_peers(node& self)
{
    const time_ms now = steady_now();
    std::map<std::string, time_ms, std::less<>> oldest;
    for (const auto& [id, call] : self.sidecar_state->outbound)
    {
        if (call->forwarded)
        {
            const auto [entry, added] = oldest.try_emplace(call->member, call->offered_at);
            entry->second = std::min(entry->second, call->offered_at);
            // A peer that was never heard from is treated like one heard from long ago.
            self.sidecar_state->peers.try_emplace(call->member);
        }
    }
    for (const std::string& member :
         probes_due(self.sidecar_state->peers, oldest, current_lag_ms(self.lag, now), now))
    {
        probe_silent_peer(self, member);
    }
}

} // namespace sardinepoint
