#include "probing.hpp"

#include "broadcast.hpp"
#include "json_reader.hpp"
#include "peer_messages.hpp"

#include "sardinepoint/logging.hpp"

#include <nlohmann/json.hpp>

#include <string>

namespace sardinepoint
{

namespace
{

using nlohmann::json;

void handle_probe_result(node& self, const std::string& target, const std::string& via)
{
    if (!handle_probe_response(self.detector, self.members, target, via, steady_now()))
    {
        return;
    }
    if (const member_entry* entry = find_member(self.members, target))
    {
        const json body{{"id", self.config.id}, {"members", {to_json(entry->record)}}};
        send_to_peer(self, control_endpoint(entry->record), "/peer/v1/members", body,
                     sync_timeout_ms, {});
    }
}

void send_probe(node& self, const detector_action& action)
{
    const bool direct = action.via.empty();
    const member_entry* peer = find_member(self.members, direct ? action.target : action.via);
    if (peer == nullptr)
    {
        return;
    }
    json body{{"id", self.config.id}};
    if (!direct)
    {
        body["target"] = action.target;
    }
    const time_ms timeout = direct ? self.detector.options.direct_timeout_ms
                                   : self.detector.options.indirect_timeout_ms;
    send_to_peer(self, control_endpoint(peer->record),
                 direct ? "/peer/v1/probe" : "/peer/v1/probe-via", body, timeout,
                 [&self, target = action.target, via = action.via](const json* response)
                 {
                     if (response == nullptr)
                     {
                         return;
                     }
                     if (via.empty() || response->value("ok", false))
                     {
                         handle_probe_result(self, target, via);
                     }
                 });
}

} // namespace

void handle_indirect_probe(node& self, const json& body,
                           const std::function<void(http_response)>& respond)
{
    const member_entry* target = find_member(self.members, string_field(body, "target"));
    if (target == nullptr)
    {
        respond(json_response(200, R"({"ok":false})"));
        return;
    }
    send_to_peer(self, control_endpoint(target->record), "/peer/v1/probe", {{"id", self.config.id}},
                 self.detector.options.direct_timeout_ms,
                 [respond](const json* response)
                 {
                     const json result{{"ok", response != nullptr}};
                     respond(json_response(200, detail::dump_json(result)));
                 });
}

std::string_view verdict_name(detector_action_kind kind)
{
    switch (kind)
    {
    case detector_action_kind::mark_suspect:
        return "suspect";
    case detector_action_kind::mark_dead:
        return "dead";
    case detector_action_kind::presume_lost:
        return "all_others_presumed_lost";
    default:
        return "none";
    }
}

void run_detector(node& self)
{
    for (const detector_action& action :
         detector_tick(self.detector, self.members, steady_now(), self.random))
    {
        switch (action.kind)
        {
        case detector_action_kind::send_probe:
        case detector_action_kind::send_indirect_probe:
            send_probe(self, action);
            break;
        case detector_action_kind::announce_self:
            refute(self.members, steady_now());
            broadcast_member(self, self.config.id);
            break;
        case detector_action_kind::mark_suspect:
        case detector_action_kind::mark_dead:
        case detector_action_kind::presume_lost:
            log_event(log_level::info, "member_verdict",
                      {{"member", action.target}, {"verdict", verdict_name(action.kind)}});
            if (const member_record* record = apply_action(self.members, action, steady_now()))
            {
                broadcast_member(self, record->id);
            }
            break;
        }
    }
}

} // namespace sardinepoint
