#include "outbound_internal.hpp"

#include "instances.hpp"
#include "replica.hpp"
#include "sidecar.hpp"
#include "usage/usage.hpp"

#include "sardinepoint/logging.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace sardinepoint::outbound
{

outbound_call* find_call(node& self, std::uint64_t id)
{
    const auto found = self.sidecar_state->outbound.find(id);
    return found == self.sidecar_state->outbound.end() ? nullptr : found->second.get();
}

time_ms time_left(const outbound_call& call)
{
    return call.deadline - steady_now();
}

bool is_permitted(const node& self, const outbound_call& call)
{
    const key_directory& keys = self.sidecar_state->keys;
    if (!keys.required || call.is_public)
    {
        return true;
    }
    const std::string* owner = find_organisation(keys, call.key_digest);
    return owner != nullptr && *owner == call.organisation;
}

void respond(node& self, std::uint64_t id, http_response response, std::string_view outcome,
             std::string_view reason)
{
    auto entry = self.sidecar_state->outbound.extract(id);
    if (entry.empty())
    {
        return;
    }
    const outbound_call& call = *entry.mapped();
    if (call.deadline_timer)
    {
        cancel_timer(*self.loop, *call.deadline_timer);
    }
    const std::int64_t elapsed_us = steady_now_us() - call.arrived_us;
    observe(self.stats, "outbound_seconds", static_cast<double>(elapsed_us) * seconds_per_us);
    count(self.stats, "outbound{outcome=\"" + std::string(outcome) + "\"}");
    log_event(log_level::info, "outbound",
              {{"id", call.caller.id},
               {"route", call.route},
               {"service", call.service},
               {"instance", call.instance},
               {"version", call.version},
               {"organisation", call.organisation},
               {"outcome", outcome},
               {"status", response.status},
               {"told_ms", call.caller.time_left.value_or(-1)},
               {"offers", call.offers},
               {"arrivals", call.arrivals},
               {"expected_wait_ms", call.expected_wait},
               {"report_age_ms", call.report_age},
               {"service_time_ms", call.known_service_time},
               {"config", self.config_replica.state.version},
               {"unread_us", call.read_us - call.arrived_us},
               {"us", elapsed_us},
               {"reason", reason}});
    send_response(*self.sidecar_state->outbound_server, call.id, std::move(response));
}

void respond_outcome_unknown(node& self, std::uint64_t id, const std::string& reason, int status)
{
    respond(self, id,
            error_response(status, {error_kind::outcome_unknown, reason,
                                    "ask the service whether the call took effect"}),
            "unknown", reason);
}

void set_retry_after(http_response& response, time_ms retry_after)
{
    const double ms_per_second = 1000;
    set_header(response.headers, "Retry-After",
               fmt::format("{:.3f}", static_cast<double>(retry_after) / ms_per_second));
}

void refuse(node& self, std::uint64_t id, const std::string& reason, time_ms retry_after)
{
    outbound_call* call = find_call(self, id);
    if (call == nullptr)
    {
        return;
    }
    if (call->may_have_run)
    {
        respond_outcome_unknown(self, id, reason, 502);
        return;
    }
    return_usage(self, *call);
    http_response response = error_response(
        503, {error_kind::not_ready, reason, "send the request again after Retry-After"});
    set_retry_after(response, retry_after);
    respond(self, id, std::move(response), "not-run", reason);
}

time_ms capped_retry_after(const outbound_call& call, time_ms wait)
{
    return std::min(wait, time_left(call) / 3);
}

void deny(node& self, std::uint64_t id)
{
    outbound_call* call = find_call(self, id);
    if (call->may_have_run)
    {
        respond_outcome_unknown(self, id, "the call's key was removed", 502);
        return;
    }
    return_usage(self, *call);
    if (is_behind(self))
    {
        refuse(self, id, "the key is unknown, and a newer configuration is being read",
               capped_retry_after(*call, newer_config_retry_after_ms));
        return;
    }
    respond(self, id,
            error_response(401, {error_kind::invalid_argument, "the call has no known key",
                                 "send a key of an organisation as 'Authorization: Bearer KEY'"}),
            "denied",
            fmt::format("the call has no known key; the configuration was complete {} ms ago",
                        freshness_age(self)));
}

time_ms retry_after(node& self, const outbound_call& call)
{
    const auto shortest = shortest_wait(instances_of(self, call.service).views,
                                        self.sidecar_state->placement_params, steady_now());
    if (!shortest)
    {
        return std::min(no_upstream_retry_after_ms,
                        std::max(time_left(call) / 3, min_time_left_ms));
    }
    // A caller should wait for at most a third of its remaining time.
    const time_ms longest = std::max(time_left(call) / 3, min_retry_after_ms);
    return std::clamp(static_cast<time_ms>(*shortest), min_retry_after_ms, longest);
}

} // namespace sardinepoint::outbound
