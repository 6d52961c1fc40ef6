#include "operator_api.hpp"

#include "json_reader.hpp"
#include "local_upstreams.hpp"
#include "move_runtime.hpp"
#include "patch_submission.hpp"
#include "peering.hpp"
#include "replica.hpp"

#include "sardinepoint/logging.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace sardinepoint
{

namespace
{

using nlohmann::json;

constexpr time_ms max_watch_wait_ms = 30000;
constexpr time_ms watch_check_interval_ms = 50;
constexpr time_ms drain_timeout_ms = 2000;
constexpr std::string_view peer_path_prefix = "/peer/v1/";

json member_view(const member_record& record)
{
    json upstreams = json::array();
    for (const upstream_record& upstream : record.upstreams)
    {
        upstreams.push_back({{"service", upstream.service},
                             {"version", upstream.version},
                             {"address", upstream.address + ":" + std::to_string(upstream.port)},
                             {"slots", upstream.slots},
                             {"state", to_string(upstream.state)}});
    }
    return {{"id", record.id},
            {"domain", record.domain},
            {"state", to_string(record.state)},
            {"control", to_string(control_endpoint(record))},
            // A lower bound, because the record is not republished for each new version.
            {"version_at_least", record.served_version},
            {"upstreams", std::move(upstreams)}};
}

json domain_view(const remote_domain& known)
{
    json view = to_json(known.summary);
    view["age_ms"] = steady_now() - known.received;
    return view;
}

json status_view(const node& self)
{
    const replica& config = self.config_replica;
    json members = json::array();
    for (const auto& [id, entry] : self.members.members)
    {
        members.push_back(member_view(entry.record));
    }
    json domains = json::array();
    for (const auto& [name, known] : self.domains)
    {
        domains.push_back(domain_view(known));
    }
    return {{"id", self.config.id},
            {"domain", self.config.domain},
            {"region", self.config.region},
            {"ready", config.ready && !self.leaving},
            {"not_ready", self.leaving ? "shutting down" : config.not_ready_reason},
            {"version", config.state.version},
            {"next_offset", config.state.next_offset},
            {"freshness_ms", freshness_age(self)},
            {"log", config.log_reachable ? "reachable" : "not reachable"},
            {"control_bytes", control_bytes(self)},
            {"members", std::move(members)},
            {"domains", std::move(domains)},
            {"moves", move_views(self)}};
}

json config_view(const node& self)
{
    json view = json::parse(dump_state(self.config_replica.state));
    view.erase("patches");
    return view;
}

void handle_readiness_request(node& self, request_id id)
{
    const bool ready = self.config_replica.ready && !self.leaving;
    const std::string reason =
        self.leaving ? "shutting down" : self.config_replica.not_ready_reason;
    send_response(
        *self.control_server, id,
        {.status = ready ? 200 : 503, .headers = {}, .body = ready ? "ready\n" : reason + "\n"});
}

void handle_metrics_request(node& self, request_id id)
{
    set_gauge(self.stats, "version", static_cast<double>(self.config_replica.state.version));
    set_gauge(self.stats, "ready", self.config_replica.ready ? 1 : 0);
    set_gauge(self.stats, "members", static_cast<double>(self.members.members.size()));
    set_gauge(self.stats, "control_bytes", static_cast<double>(control_bytes(self)));
    set_gauge(self.stats, "calls_in_progress", static_cast<double>(self.calls.size()));
    send_response(*self.control_server, id,
                  {.status = 200,
                   .headers = {{"Content-Type", "text/plain; version=0.0.4"}},
                   .body = render_metrics(self.stats)});
}

void handle_announce_request(node& self, request_id id, const json& body)
{
    error reason;
    const auto lease = handle_announcement(self, body, reason);
    if (!lease)
    {
        send_response(*self.control_server, id, error_response(400, reason));
        return;
    }
    const json response_body{{"lease_ms", *lease}};
    send_response(*self.control_server, id, json_response(200, detail::dump_json(response_body)));
}

void forward_drain(node& self, request_id id, const member_record& member, const json& body)
{
    send_to_peer(self, control_endpoint(member), "/v1/drain", body, drain_timeout_ms,
                 [&self, id, name = member.id](const json* response_body)
                 {
                     if (response_body != nullptr)
                     {
                         send_response(*self.control_server, id,
                                       json_response(200, detail::dump_json(*response_body)));
                         return;
                     }
                     send_response(
                         *self.control_server, id,
                         error_response(502, {error_kind::unreachable,
                                              "daemon '" + name + "' can't be reached",
                                              "name its own control endpoint with --daemon"}));
                 });
}

void handle_drain_request(node& self, request_id id, const json& body)
{
    const auto member_field = body.find("member");
    const std::string member = member_field != body.end() && member_field->is_string()
                                   ? member_field->get<std::string>()
                                   : "";
    const auto undo = body.find("undo");
    if (member == self.config.id)
    {
        set_drained(self, undo == body.end() || !undo->is_boolean() || !undo->get<bool>());
        const json response_body{{"member", member}, {"state", self.drained ? "draining" : "up"}};
        send_response(*self.control_server, id,
                      json_response(200, detail::dump_json(response_body)));
        return;
    }
    if (const member_entry* entry = find_member(self.members, member))
    {
        forward_drain(self, id, entry->record, body);
        return;
    }
    send_response(*self.control_server, id,
                  error_response(404, {error_kind::not_found,
                                       "member '" + member + "' is not known in failure domain '" +
                                           self.config.domain + "'",
                                       "see 'sardinepoint status' for the members, or ask a daemon "
                                       "of its failure domain"}));
}

/** Returns a text that changes whenever the watch command should print a new line for the move. */
std::string change_token(const json& view)
{
    return fmt::format("{}:{}:{:.1f}", view.value("state", ""), view.value("step", 0),
                       view.value("share", 0.0));
}

error unknown_move(const node& self, const std::string& move)
{
    if (!self.config_replica.ready)
    {
        return {error_kind::not_ready,
                "this daemon is not ready: " + self.config_replica.not_ready_reason,
                "ask another daemon or retry later"};
    }
    return {error_kind::not_found, "move '" + move + "' is not known",
            "see 'sardinepoint status' for the moves"};
}

/** Responds when the move differs from the last change that was seen, or at the deadline. */
void handle_watch_request(node& self, request_id id, const std::string& move,
                          const std::string& last_change, time_ms deadline)
{
    auto view = move_view(self, move);
    if (!view)
    {
        const error reason = unknown_move(self, move);
        const int status = reason.kind == error_kind::not_ready ? 503 : 404;
        send_response(*self.control_server, id, error_response(status, reason));
        return;
    }
    (*view)["change"] = change_token(*view);
    if (view->at("change") != last_change || steady_now() >= deadline)
    {
        send_response(*self.control_server, id, json_response(200, view->dump()));
        return;
    }
    run_after(*self.loop, watch_check_interval_ms,
              [&self, id, move, last_change, deadline]
              { handle_watch_request(self, id, move, last_change, deadline); });
}

void handle_get(node& self, request_id id, std::string_view path, const http_request& request)
{
    if (path == "/healthz")
    {
        send_response(*self.control_server, id, {.status = 200, .headers = {}, .body = "ok\n"});
    }
    else if (path == "/readyz")
    {
        handle_readiness_request(self, id);
    }
    else if (path == "/metrics")
    {
        handle_metrics_request(self, id);
    }
    else if (path == "/v1/status")
    {
        send_response(*self.control_server, id,
                      json_response(200, detail::dump_json(status_view(self))));
    }
    else if (path == "/v1/config")
    {
        send_response(*self.control_server, id,
                      json_response(200, detail::dump_json(config_view(self))));
    }
    else if (path == "/v1/watch")
    {
        const time_ms wait =
            std::min(query_integer(request.target, "wait_ms", 0), max_watch_wait_ms);
        handle_watch_request(self, id, query_parameter(request.target, "move").value_or(""),
                             query_parameter(request.target, "after").value_or(""),
                             steady_now() + wait);
    }
    else
    {
        send_response(
            *self.control_server, id,
            error_response(404, {error_kind::not_found, "no resource matches " + std::string(path),
                                 "see docs/api.md for the paths"}));
    }
}

/** Handles a message of a peer. One with a field of another type changes nothing further. */
void handle_peer_message(node& self, request_id id, std::string_view path, const json& body)
{
    const auto respond = [&self, id](http_response response)
    {
        send_response(*self.control_server, id, std::move(response));
    };
    try
    {
        handle_peer_request(self, path, body, respond);
    }
    catch (const json::exception& problem)
    {
        count(self.stats, "peer_messages_rejected");
        log_event(log_level::warning, "peer_message_rejected",
                  {{"path", path}, {"reason", problem.what()}});
        respond(error_response(400, {error_kind::invalid_argument,
                                     std::string("the message can't be read: ") + problem.what(),
                                     "run the same release on all daemons"}));
    }
}

void handle_post(node& self, request_id id, std::string_view path, const http_request& request)
{
    if (path == "/v1/patches")
    {
        // Any other value is rejected, because it may be meant as a dry run, which must not
        // publish.
        const std::string dry_run = query_parameter(request.target, "dry_run").value_or("0");
        if (dry_run != "0" && dry_run != "1")
        {
            send_response(
                *self.control_server, id,
                error_response(400, {error_kind::invalid_argument,
                                     "parameter 'dry_run' has the value '" + dry_run + "'",
                                     "give 1 to check only, or 0 to publish"}));
            return;
        }
        submit_patch(self, request.body, dry_run == "1",
                     [&self, id](http_response response)
                     { send_response(*self.control_server, id, std::move(response)); });
        return;
    }
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object())
    {
        send_response(*self.control_server, id,
                      error_response(400, {error_kind::invalid_argument,
                                           "the body is not a JSON object", "send a JSON object"}));
        return;
    }
    if (path == "/v1/announce")
    {
        handle_announce_request(self, id, body);
        return;
    }
    if (path == "/v1/drain")
    {
        handle_drain_request(self, id, body);
        return;
    }
    if (path.substr(0, peer_path_prefix.size()) == peer_path_prefix)
    {
        handle_peer_message(self, id, path, body);
        return;
    }
    handle_get(self, id, "POST " + std::string(path), request);
}

} // namespace

void handle_control_request(node& self, request_id id, const http_request& request)
{
    const std::string_view path = path_of(request.target);
    if (request.method == "POST")
    {
        handle_post(self, id, path, request);
        return;
    }
    handle_get(self, id, path, request);
}

} // namespace sardinepoint
