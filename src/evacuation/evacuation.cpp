#include "evacuation/evacuation.hpp"

#include "inbound.hpp"
#include "instances.hpp"
#include "sidecar.hpp"

#include "sardinepoint/logging.hpp"

#include <set>

namespace sardinepoint
{

namespace
{

void log_changes(const node& self, const std::set<std::string>& before,
                 const std::set<std::string>& after, bool active)
{
    for (const std::string& locality : after)
    {
        if (!before.contains(locality))
        {
            log_event(log_level::info, "evacuation",
                      {{"locality", locality},
                       {"active", active ? "yes" : "no"},
                       {"own", locality == self.config.sidecar.locality ? "yes" : "no"},
                       {"next_offset", self.config_replica.state.next_offset}});
        }
    }
}

} // namespace

void apply_evacuations(node& self)
{
    const std::set<std::string>& current = self.config_replica.state.evacuated;
    std::set<std::string>& known = self.sidecar_state->evacuated;
    if (known == current)
    {
        return;
    }
    log_changes(self, known, current, true);
    log_changes(self, current, known, false);
    known = current;
    set_gauge(self.stats, "evacuated_localities", static_cast<double>(current.size()));
    refresh_evacuated(self);
    if (const auto reason = evacuation_refusal(self))
    {
        refuse_waiting_calls(self, *reason);
    }
}

std::optional<std::string> evacuation_refusal(const node& self)
{
    const std::string& locality = self.config.sidecar.locality;
    if (!self.config_replica.state.evacuated.contains(locality))
    {
        return std::nullopt;
    }
    return "locality '" + locality + "' is evacuated";
}

} // namespace sardinepoint
