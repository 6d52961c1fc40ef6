#include "peer_silence.hpp"

#include "outbound.hpp"
#include "peer_messages.hpp"
#include "sidecar.hpp"

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
constexpr time_ms silence_ms = 250;
constexpr time_ms silence_probe_timeout_ms = 250;
// With the timeout less than the suspension, so that no call meets a peer that is still silent.
constexpr time_ms silence_reprobe_ms = 700;
// A daemon behind a full link, or without processor time for the moment, is late but not gone.
constexpr double ways_more = 2;

time_ms allowance_for(const peer_silence& peer)
{
    return static_cast<time_ms>(ways_more * peer.way);
}

/** New calls avoid the instances of a daemon for some time; at 0 they no longer do. */
void suspend_member(node& self, std::string_view member, time_ms time)
{
    for (auto& [service, group] : self.side->groups)
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

/** Further calls would be lost to a peer that still can't be reached, so probes find out. */
void handle_probe_end(node& self, const std::string& member, time_ms probed_at, bool answered)
{
    peer_silence& peer = self.side->peers[member];
    const bool was_silent = std::exchange(peer.silent, !answered);
    if (!answered)
    {
        suspend_member(self, member, self.side->placing.suspension);
        // The silence says nothing about calls that were offered after the probe was sent.
        take_back_calls(self, member, probed_at);
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
        self.side->peers[member].silent = false;
        return;
    }
    const time_ms now = steady_now();
    self.side->peers[member].probed_at = now;
    send_peer(self, control_endpoint(entry->record), "/peer/v1/probe", {{"id", self.config.id}},
              silence_probe_timeout_ms + allowance_for(self.side->peers[member]),
              [&self, member, now](const nlohmann::json* answer)
              { handle_probe_end(self, member, now, answer != nullptr); });
}

/** Peers that did not answer and are due to be probed again. */
std::vector<std::string> silent_peers(const node& self, time_ms now)
{
    std::vector<std::string> due;
    for (const auto& [member, peer] : self.side->peers)
    {
        if (peer.silent && now - peer.probed_at > silence_reprobe_ms)
        {
            due.push_back(member);
        }
    }
    return due;
}

} // namespace

void check_peers(node& self)
{
    const time_ms now = steady_now();
    std::map<std::string, time_ms> oldest;
    for (const auto& [id, call] : self.side->outbound)
    {
        if (call->forwarded)
        {
            const auto [entry, added] = oldest.try_emplace(call->member, call->offered_at);
            entry->second = std::min(entry->second, call->offered_at);
        }
    }
    for (const auto& [member, offered_at] : oldest)
    {
        const peer_silence& peer = self.side->peers[member];
        if (now - std::max({offered_at, peer.heard_at, peer.probed_at}) >
            silence_ms + allowance_for(peer))
        {
            probe_silent_peer(self, member);
        }
    }
    for (const std::string& member : silent_peers(self, now))
    {
        probe_silent_peer(self, member);
    }
}

} // namespace sardinepoint
