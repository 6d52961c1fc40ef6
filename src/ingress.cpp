#include "ingress.hpp"

#include "call_attempts.hpp"
#include "call_headers.hpp"
#include "call_keys.hpp"
#include "call_responses.hpp"
#include "endpoints.hpp"
#include "local_hop.hpp"
#include "sidecar.hpp"

#include <algorithm>
#include <utility>

namespace sardinepoint
{

namespace
{

// Timeout when no route matches: a call with a key must still be forwarded to the key's owner.
constexpr time_ms keyed_timeout_ms = 5000;

bool is_idempotent_method(std::string_view method)
{
    return method == "GET" || method == "HEAD" || method == "PUT" || method == "DELETE" ||
           method == "OPTIONS" || method == "TRACE";
}

std::int64_t header_integer(const http_request& request, std::string_view name,
                            std::int64_t fallback)
{
    const auto value = find_header(request.headers, name);
    return value ? parse_integer(*value).value_or(fallback) : fallback;
}

void handle_hop(node& self, request_id id, http_request request)
{
    hop_request hop;
    hop.service = find_header(request.headers, call_headers::service).value_or("");
    hop.version = find_header(request.headers, call_headers::version).value_or("");
    hop.call_time_left = header_integer(request, call_headers::deadline, 0);
    hop.time_left = std::min(hop.call_time_left,
                             header_integer(request, call_headers::attempt, hop.call_time_left));
    hop.depth = static_cast<int>(header_integer(request, call_headers::depth, 0));
    hop.idempotent = find_header(request.headers, call_headers::idempotent).value_or("0") == "1";
    hop.fingerprint = request_fingerprint(request.method, path_of(request.target), request.body);
    hop.request = std::move(request);
    auto call = std::make_unique<ingress_call>();
    call->id = id;
    self.calls[id.value] = std::move(call);
    const std::uint64_t hop_id = run_local_hop(
        self, std::move(hop),
        [&self, id](hop_result result)
        {
            self.calls.erase(id.value);
            http_response response = std::move(result.response);
            if (result.outcome != run_outcome::answered)
            {
                response = result.outcome == run_outcome::not_run
                               ? not_run_response(result.reason, "choose another upstream")
                               : unknown_response(result.reason);
            }
            strip_connection_headers(response.headers);
            set_header(response.headers, call_headers::outcome,
                       std::string(to_string(result.outcome)));
            set_header(response.headers, call_headers::load, std::to_string(result.in_flight));
            if (!result.crashed_upstream.empty())
            {
                set_header(response.headers, call_headers::crash, result.crashed_upstream);
            }
            send_response(*self.data_server, id, std::move(response));
        });
    if (ingress_call* waiting = find_call(self, id.value))
    {
        waiting->local_hop = hop_id;
    }
}

/** Sets the route and the limits of a call. Returns an error response if the call can't be run. */
std::optional<http_response> prepare_call(node& self, ingress_call& call)
{
    const replica& config = self.config_replica;
    const route* matched = match_route(config.state, path_of(call.request.target));
    if (matched == nullptr)
    {
        call.deadline =
            steady_now() + header_integer(call.request, call_headers::deadline, keyed_timeout_ms);
        return outcome_response(404, run_outcome::not_run,
                                {error_kind::not_found, "no route matches the path",
                                 "see 'sardinepoint get' for the routes"});
    }
    if (!config.state.organisations.empty() && !matched->is_public)
    {
        // Keys are checked by sidecars only.
        return not_run_response("this daemon can't check the keys of organisations",
                                "send the call to the outbound listener of a sidecar");
    }
    call.route = matched->name;
    call.service = matched->service;
    call.idempotent = matched->idempotent.value_or(is_idempotent_method(call.request.method));
    const time_ms budget = std::min(
        header_integer(call.request, call_headers::deadline, matched->timeout), matched->timeout);
    call.depth = static_cast<int>(header_integer(call.request, call_headers::depth, 0)) + 1;
    call.deadline = steady_now() + budget;
    if (call.depth > max_call_depth)
    {
        return not_run_response("the call chain is deeper than " + std::to_string(max_call_depth),
                                "look for a loop of calls");
    }
    if (!call.spilled)
    {
        return std::nullopt;
    }
    // The daemon that spilled the call may have another version of the configuration. The call
    // counts as idempotent only if it does there too; otherwise it must not be retried after an
    // unknown outcome.
    call.idempotent =
        call.idempotent &&
        find_header(call.request.headers, call_headers::idempotent).value_or("0") == "1";
    if (find_header(call.request.headers, call_headers::service).value_or("") != call.service)
    {
        return not_run_response("the daemons' configurations differ", "choose another upstream");
    }
    return std::nullopt;
}

std::optional<std::string> refusal_reason(const node& self)
{
    if (self.leaving)
    {
        return "this daemon is shutting down";
    }
    if (!self.config_replica.ready)
    {
        return "this daemon is not ready: " + self.config_replica.not_ready_reason;
    }
    return std::nullopt;
}

} // namespace

time_ms time_left(const ingress_call& call)
{
    return call.deadline - steady_now();
}

void handle_data_request(node& self, request_id id, http_request request)
{
    const std::string hop(find_header(request.headers, call_headers::hop).value_or(""));
    if (self.leaving)
    {
        // Closes each connection with its next response: closing a keep-alive connection while a
        // request arrives on it would leave the outcome of that request unknown.
        close_after_responses(*self.data_server);
    }
    if (const auto reason = refusal_reason(self))
    {
        // An earlier attempt with the same key may have run; only the key's owner knows.
        const bool keyed = find_header(request.headers, call_headers::key).has_value();
        const bool claimed = hop == hop_kind::local || hop == hop_kind::spill;
        send_response(*self.data_server, id,
                      keyed && !claimed
                          ? unknown_response(*reason)
                          : not_run_response(*reason, "send the request to another daemon"));
        return;
    }
    if (hop == hop_kind::local)
    {
        handle_hop(self, id, std::move(request));
        return;
    }
    if (path_of(request.target) == keys_path)
    {
        handle_key_request(self, id, request);
        return;
    }
    auto call = std::make_unique<ingress_call>();
    call->id = id;
    call->request = std::move(request);
    call->arrived_us = steady_now_us();
    call->spilled = hop == hop_kind::spill;
    call->fingerprint = request_fingerprint(call->request.method, path_of(call->request.target),
                                            call->request.body);
    std::optional<http_response> refused = prepare_call(self, *call);
    const auto key = find_header(call->request.headers, call_headers::key);
    // A spilled call's key was claimed by the daemon that spilled it.
    if (key && !call->spilled && !claim_key(self, *call, std::string(*key), hop))
    {
        return;
    }
    self.calls[id.value] = std::move(call);
    if (refused)
    {
        complete_call(self, id.value, run_outcome::not_run, std::move(*refused));
        return;
    }
    record_call(self.ingress_retry_budget);
    start_attempt(self, id.value);
}

void handle_data_cancelled(node& self, request_id id)
{
    ingress_call* call = find_call(self, id.value);
    if (call == nullptr)
    {
        return;
    }
    count(self.stats, "calls_cancelled");
    if (call->key)
    {
        // The caller may send the key again, so the attempt continues and its response is stored.
        call->abandoned = true;
        return;
    }
    if (call->forwarded)
    {
        cancel_call(*self.data_client, *call->forwarded);
    }
    if (call->local_hop)
    {
        cancel_local_hop(self, *call->local_hop);
    }
    if (call->retry_timer)
    {
        cancel_timer(*self.loop, *call->retry_timer);
    }
    // Between two attempts, the previous one is already recorded as ended.
    const bool running = call->forwarded || call->local_hop;
    endpoint_candidate* candidate =
        running ? find_candidate(self, call->service, call->version, call->target) : nullptr;
    if (candidate != nullptr)
    {
        record_cancellation(*candidate);
    }
    self.calls.erase(id.value);
}

std::size_t calls_in_progress(const node& self)
{
    if (self.sidecar_state)
    {
        return open_sidecar_calls(self);
    }
    return self.calls.size() + self.hops.size() + pending_requests(*self.data_server);
}

} // namespace sardinepoint
