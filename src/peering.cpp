#include "peering.hpp"

#include "contacts.hpp"
#include "gateways.hpp"
#include "json_reader.hpp"
#include "member_exchange.hpp"
#include "move_runtime.hpp"
#include "probing.hpp"
#include "replica.hpp"
#include "sync.hpp"
#include "usage/usage.hpp"

#include <nlohmann/json.hpp>

namespace sardinepoint
{

namespace
{

using nlohmann::json;

constexpr time_ms sync_interval_ms = 1000;
constexpr time_ms freshness_interval_ms = 2000;
constexpr time_ms summary_interval_ms = 1000;
constexpr time_ms housekeeping_interval_ms = 1000;
constexpr time_ms discovery_interval_ms = 2000;

void run_housekeeping(node& self)
{
    drop_expired(self.members, steady_now());
    expire_crashes(self.quarantine, wall_now());
    if (self.config_replica.ready && is_log_reader(self))
    {
        // The next flush then includes this daemon's freshness. If nothing else causes a flush, the
        // timer in start_peering does.
        self.pending.freshness = true;
    }
}

} // namespace

void start_peering(node& self)
{
    announce_control_endpoint(self);
    join_seeds(self);
    run_every(*self.loop, self.detector.options.tick_ms, [&self] { run_detector(self); });
    run_every(*self.loop, sync_interval_ms,
              [&self] { sync_with_random_member(self, records_to_request(self), {}); });
    run_every(*self.loop, summary_interval_ms, [&self] { exchange_summaries(self); });
    run_every(*self.loop, housekeeping_interval_ms, [&self] { run_housekeeping(self); });
    run_every(*self.loop, discovery_interval_ms, [&self] { discover_peers(self); });
    run_every(*self.loop, freshness_interval_ms,
              [&self]
              {
                  if (self.pending.freshness)
                  {
                      schedule_flush(self);
                  }
              });
}

void handle_peer_request(node& self, std::string_view path, const json& body,
                         const std::function<void(http_response)>& respond)
{
    const std::string sender = string_field(body, "id");
    if (!sender.empty())
    {
        record_peer_contact(self.detector, self.members, sender, steady_now());
        self.peers_heard_at = steady_now();
    }
    if (path == "/peer/v1/probe-via")
    {
        handle_indirect_probe(self, body, respond);
        return;
    }
    json result = json::object();
    if (path == "/peer/v1/push")
    {
        handle_push(self, body);
    }
    else if (path == "/peer/v1/sync")
    {
        result = handle_sync(self, body);
    }
    else if (path == "/peer/v1/members")
    {
        result = handle_members(self, body);
    }
    else if (path == "/peer/v1/summary")
    {
        result = handle_summary(self, body);
    }
    else if (path == "/peer/v1/evidence")
    {
        result = merge_evidence_report(self, body);
    }
    else if (path == "/peer/v1/usage")
    {
        result = handle_usage(self, body);
    }
    else if (path != "/peer/v1/probe")
    {
        respond(error_response(404, {error_kind::not_found,
                                     "no peer message has the path " + std::string(path),
                                     "run the same release on all daemons"}));
        return;
    }
    respond(json_response(200, detail::dump_json(result)));
}

} // namespace sardinepoint
