#include "local_upstreams.hpp"

#include "json_reader.hpp"
#include "local_hop.hpp"

#include "sardinepoint/logging.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace sardinepoint
{

namespace
{

constexpr int max_port = 65535;
constexpr int max_reported_load = 1'000'000;

std::optional<upstream_state> parse_upstream_state(std::string_view name)
{
    if (name == "up")
    {
        return upstream_state::up;
    }
    if (name == "draining")
    {
        return upstream_state::draining;
    }
    if (name == "left")
    {
        return upstream_state::left;
    }
    return std::nullopt;
}

struct announcement
{
    upstream_record record;
    int load = 0;
};

/**
 * Load in an announcement; 0 if it isn't a number. Load reports can be wrong, so their range is
 * limited.
 */
int read_load(const nlohmann::json& body)
{
    const auto found = body.find("load");
    if (found == body.end() || !found->is_number())
    {
        return 0;
    }
    return static_cast<int>(
        std::clamp(found->get<double>(), 0.0, static_cast<double>(max_reported_load)));
}

std::optional<announcement> parse_announcement(const node& self, nlohmann::json body, error& reason)
{
    announcement result;
    // An invalid load value must not cause the announcement to be rejected.
    result.load = read_load(body);
    body.erase("load");
    detail::json_reader reader(body, "announcement", error_kind::invalid_argument, reason);
    upstream_record& record = result.record;
    record.service = reader.text("service");
    record.version = reader.text("version");
    record.address = reader.text_or("address", self.config.address);
    record.port = static_cast<std::uint16_t>(reader.integer("port", 1, max_port));
    record.slots = static_cast<int>(reader.integer("slots", 1, self.config.max_slots));
    record.connections =
        static_cast<int>(reader.integer("connections", 1, self.config.max_connections));
    const auto state = parse_upstream_state(reader.text_or("state", "up"));
    if (!state)
    {
        reader.fail("state", "is not a state", "use up, draining or left");
    }
    record.state = state.value_or(upstream_state::up);
    if (!parse_endpoint(record.address + ":" + std::to_string(record.port)))
    {
        reader.fail("address", "is not an IPv4 address", "give an address such as 127.0.0.1");
    }
    if (!reader.finish())
    {
        return std::nullopt;
    }
    return result;
}

void log_upstream_event(std::string_view event, const upstream_record& record)
{
    log_event(log_level::info, event,
              {{"service", record.service},
               {"version", record.version},
               {"upstream", record.address + ":" + std::to_string(record.port)},
               {"slots", record.slots},
               {"state", to_string(record.state)}});
}

} // namespace

std::optional<time_ms> handle_announcement(node& self, const nlohmann::json& body, error& reason)
{
    const auto announced = parse_announcement(self, body, reason);
    if (!announced)
    {
        return std::nullopt;
    }
    const upstream_record& record = announced->record;
    const std::string key = record.address + ":" + std::to_string(record.port);
    if (record.state == upstream_state::left)
    {
        if (self.upstreams.erase(key) > 0)
        {
            log_upstream_event("upstream_left", record);
        }
        publish_self_record(self);
        return 0;
    }
    const bool is_new = !self.upstreams.contains(key);
    local_upstream& upstream = self.upstreams[key];
    if (is_new || upstream.record.state != record.state)
    {
        log_upstream_event("upstream_announced", record);
    }
    if (is_new)
    {
        // Calls that started before an earlier lease expired still occupy slots.
        upstream.slots.slots_used = running_hops(self, key);
    }
    upstream.record = record;
    // Each running call holds a connection, so the connection limit bounds the calls as well.
    upstream.slots.options.slots = std::min(record.slots, record.connections);
    upstream.reported_load = announced->load;
    upstream.lease_until = steady_now() + self.config.lease;
    publish_self_record(self);
    return self.config.lease;
}

void expire_leases(node& self)
{
    const time_ms now = steady_now();
    const std::size_t removed =
        std::erase_if(self.upstreams,
                      [now](const auto& entry)
                      {
                          const local_upstream& upstream = entry.second;
                          const bool expired = upstream.lease_until < now;
                          if (expired)
                          {
                              log_upstream_event("upstream_lease_lapsed", upstream.record);
                          }
                          return expired;
                      });
    if (removed > 0)
    {
        publish_self_record(self);
    }
}

upstream_state effective_state(const node& self, const local_upstream& upstream)
{
    const bool out_of_service = self.drained || self.leaving;
    return out_of_service ? upstream_state::draining : upstream.record.state;
}

void set_drained(node& self, bool drained)
{
    self.drained = drained;
    log_event(log_level::info, drained ? "drain" : "drain_undone",
              {{"upstreams", static_cast<std::uint64_t>(self.upstreams.size())}});
    publish_self_record(self);
}

local_upstream* pick_local_upstream(node& self, std::string_view service, std::string_view version)
{
    local_upstream* best = nullptr;
    int max_free_slots = 0;
    for (auto& [key, upstream] : self.upstreams)
    {
        const bool usable = upstream.record.service == service &&
                            upstream.record.version == version &&
                            effective_state(self, upstream) == upstream_state::up &&
                            upstream.lease_until >= steady_now();
        const int free = upstream.slots.options.slots - upstream.slots.slots_used;
        if (usable && (best == nullptr || free > max_free_slots))
        {
            best = &upstream;
            max_free_slots = free;
        }
    }
    return best;
}

std::string_view local_refusal_reason(const node& self, std::string_view service,
                                      std::string_view version)
{
    for (const auto& [key, upstream] : self.upstreams)
    {
        if (upstream.record.service == service && upstream.record.version == version)
        {
            return effective_state(self, upstream) == upstream_state::up ? "lease lapsed"
                                                                         : "draining";
        }
    }
    return "no such upstream on this VM";
}

} // namespace sardinepoint
