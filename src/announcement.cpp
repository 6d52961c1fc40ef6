#include "sardinepoint/announcement.hpp"

#include <tuple>

namespace sardinepoint
{

namespace
{

// Announcements can arrive several seconds late.
constexpr time_ms max_announcement_delay_ms = 10'000;

} // namespace

std::string_view to_string(announcement_verdict verdict)
{
    switch (verdict)
    {
    case announcement_verdict::new_incarnation:
        return "new_incarnation";
    case announcement_verdict::refreshed:
        return "refreshed";
    case announcement_verdict::outdated:
        return "outdated";
    case announcement_verdict::rejected:
        return "rejected";
    }
    return "unknown";
}

bool is_from_departed_instance(const std::optional<departure>& departed,
                               const upstream_announcement& announced, time_ms now)
{
    if (!departed || departed->instance != announced.instance)
    {
        return false;
    }
    // Without a start time, a new start can't be distinguished from the one that left, so all
    // announcements within the delay limit count as late.
    return announced.incarnation > 0 ? announced.incarnation <= departed->incarnation
                                     : now - departed->left_at < max_announcement_delay_ms;
}

announcement_verdict classify_announcement(const std::optional<upstream_announcement>& known,
                                           const upstream_announcement& announced,
                                           const sidecar_settings& config, error& reason)
{
    if (announced.instance.empty() || announced.slots < 1)
    {
        reason = {error_kind::invalid_argument, "the announcement names no instance or no slot",
                  "announce an id and at least one slot"};
        return announcement_verdict::rejected;
    }
    if (config.upstream && to_string(*config.upstream) != to_string(announced.address))
    {
        reason = {error_kind::invalid_argument,
                  "address " + to_string(announced.address) + " is not the upstream of this VM",
                  "announce to the daemon of the upstream's own VM"};
        return announcement_verdict::rejected;
    }
    if (!known)
    {
        return announcement_verdict::new_incarnation;
    }
    if (announced.incarnation < known->incarnation)
    {
        return announcement_verdict::outdated;
    }
    if (announced.incarnation > known->incarnation || announced.instance != known->instance)
    {
        return announcement_verdict::new_incarnation;
    }
    // An incarnation that is leaving never returns to the state `up`.
    const bool resumes =
        known->state != upstream_state::up && announced.state == upstream_state::up;
    return announced.sequence <= known->sequence || resumes ? announcement_verdict::outdated
                                                            : announcement_verdict::refreshed;
}

} // namespace sardinepoint
