#include "call_keys.hpp"

#include "call_headers.hpp"
#include "call_responses.hpp"
#include "json_reader.hpp"

#include "sardinepoint/logging.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace sardinepoint
{

namespace
{

constexpr std::int64_t max_keys_per_request = 1000;

/** Forwards the call to the daemon that issued its key. */
void forward_to_owner(node& self, request_id id, const http_request& request, const endpoint& owner,
                      time_ms budget)
{
    std::vector<http_header> headers = request.headers;
    strip_connection_headers(headers);
    remove_header(headers, "Host");
    set_header(headers, call_headers::hop, std::string(hop_kind::owner));
    // The owner's response must arrive before this daemon's own timeout.
    set_header(headers, call_headers::deadline,
               std::to_string(std::max<time_ms>(1, budget - hop_margin)));
    count(self.stats, "owner_forwards");
    send_request(*self.data_client,
                 {.method = request.method,
                  .url = "http://" + to_string(owner) + request.target,
                  .headers = std::move(headers),
                  .body = request.body,
                  .timeout = budget,
                  .connect_timeout = std::min<time_ms>(budget, 500),
                  .retryable = false},
                 [&self, id](http_result result)
                 {
                     // A response without this header isn't from a daemon: another process may have
                     // taken over the port.
                     const bool from_daemon =
                         find_header(result.response.headers, call_headers::outcome).has_value();
                     if (result.outcome == call_outcome::answered && from_daemon)
                     {
                         strip_connection_headers(result.response.headers);
                         send_response(*self.data_server, id, std::move(result.response));
                         return;
                     }
                     // An earlier attempt with this key may have run at its owner.
                     send_response(*self.data_server, id,
                                   unknown_response("the daemon that issued the key can't be "
                                                    "reached: " +
                                                    result.reason));
                 });
}

/** Data endpoint of the daemon that issued the key; key ids are "id@address:port". */
std::optional<endpoint> owner_endpoint(const idempotency_key& key)
{
    const std::size_t at = key.id.rfind('@');
    return at == std::string::npos ? std::nullopt : parse_endpoint(key.id.substr(at + 1));
}

http_response key_response(start_status status, std::optional<http_response> response)
{
    switch (status)
    {
    case start_status::finished:
        set_header(response->headers, call_headers::replayed, "1");
        return std::move(*response);
    case start_status::finished_answer_dropped:
        return outcome_response(409, run_outcome::answered,
                                {error_kind::expired,
                                 "the request ran, but its answer isn't stored any more",
                                 "ask the service for the result"});
    case start_status::in_progress:
        return unknown_response("an earlier attempt with this key is still running");
    case start_status::outcome_unknown:
        return unknown_response("an earlier attempt with this key ended without a known outcome");
    case start_status::table_full:
        // No entry is stored, so a delayed copy of the request could still run.
        return unknown_response("too many idempotency keys are in use");
    case start_status::closed:
        return not_run_response("an earlier attempt with this key ended as not run",
                                "send the request with a new key from " + std::string(keys_path));
    case start_status::other_request:
        return outcome_response(422, run_outcome::not_run,
                                {error_kind::invalid_argument,
                                 "the key was used before with another request",
                                 "get a new key from " + std::string(keys_path)});
    case start_status::run:
    case start_status::expired:
    case start_status::not_owner:
    case start_status::never_issued:
        break;
    }
    return unknown_response("this daemon can't tell whether the key was used (" +
                            std::string(to_string(status)) + ")");
}

} // namespace

bool claim_key(node& self, ingress_call& call, std::string_view text, std::string_view hop)
{
    error reason;
    const auto key = parse_key(text, reason);
    if (!key)
    {
        reason.remedy = "get keys from " + std::string(keys_path);
        send_response(*self.data_server, call.id,
                      outcome_response(400, run_outcome::not_run, reason));
        return false;
    }
    const auto owner = owner_endpoint(*key);
    if (key->id != self.keys.id && hop != hop_kind::owner && owner)
    {
        forward_to_owner(self, call.id, call.request, *owner, time_left(call));
        return false;
    }
    // Unlike the fingerprint for the quarantine, this one covers the query.
    const std::uint64_t fingerprint =
        request_fingerprint(call.request.method, call.request.target, call.request.body);
    start_result start = start_call(self.keys, *key, wall_now(), fingerprint);
    if (start.status != start_status::run)
    {
        log_event(log_level::info, "key_decision",
                  {{"status", to_string(start.status)}, {"route", call.route}});
        send_response(*self.data_server, call.id,
                      key_response(start.status, std::move(start.response)));
        return false;
    }
    call.key = *key;
    return true;
}

void handle_key_request(node& self, request_id id, const http_request& request)
{
    const std::int64_t requested_count = query_integer(request.target, "count", 1);
    nlohmann::json keys = nlohmann::json::array();
    for (std::int64_t i = 0; i < std::min(requested_count, max_keys_per_request); ++i)
    {
        keys.push_back(to_string(issue_key(self.keys, wall_now())));
    }
    const nlohmann::json body{{"keys", keys}, {"expires_ms", key_lifetime}};
    send_response(*self.data_server, id, json_response(200, detail::dump_json(body)));
}

void finish_key(node& self, const ingress_call& call, run_outcome outcome,
                const http_response& response)
{
    if (!call.key)
    {
        return;
    }
    if (outcome == run_outcome::not_run)
    {
        close_key(self.keys, *call.key, wall_now());
        return;
    }
    std::optional<http_response> stored_response;
    if (outcome == run_outcome::answered)
    {
        stored_response = response;
    }
    finish_call(self.keys, *call.key, outcome, std::move(stored_response), wall_now());
}

} // namespace sardinepoint
