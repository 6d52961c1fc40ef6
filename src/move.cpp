#include "sardinepoint/move.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace sardinepoint
{
namespace
{

/** Time for the old version's calls in progress before the end of an ordered move is recorded. */
constexpr time_ms order_drain_ms = 2'500;
/** The end of an ordered move is sent to the store this long before the deadline, which leaves time
 * for two calls to a slow store. */
constexpr time_ms order_deadline_reserve_ms = 500;

int outcome_precedence(const move_progress& progress)
{
    if (progress.withdrawn)
    {
        return 2;
    }
    return progress.done ? 1 : 0;
}

} // namespace

std::vector<move_step> default_move_steps()
{
    // The new version receives 4.5% of all calls up to the deadline, so a fault that appears at any
    // time before the deadline has affected less than 5% of the calls until then. The old version
    // keeps half of the calls until the end: at a share of 95% for the new version, too few of its
    // calls would be left for a comparison.
    return {
        {.share = 2, .start_fraction = 0},       {.share = 8, .start_fraction = 0.93},
        {.share = 25, .start_fraction = 0.9425}, {.share = 50, .start_fraction = 0.955},
        {.share = 100, .start_fraction = 1},
    };
}

move_progress merge_progress(const move_progress& left, const move_progress& right)
{
    if (left.recorded != right.recorded)
    {
        // The old version's upstreams end as soon as a completion is on record, so a daemon that
        // decides otherwise without knowing the record must not take the new version away too.
        move_progress merged = left.recorded ? left : right;
        merged.step = std::max(left.step, right.step);
        merged.spread = left.spread || right.spread;
        merged.holds = std::max(left.holds, right.holds);
        return merged;
    }
    // Takes the reason of the outcome with the higher precedence. Ties go to the lexicographically
    // greater text, so that the result does not depend on the order of merging.
    const auto left_key = std::pair(outcome_precedence(left), std::string_view(left.reason));
    const auto right_key = std::pair(outcome_precedence(right), std::string_view(right.reason));
    return {
        .step = std::max(left.step, right.step),
        .withdrawn = left.withdrawn || right.withdrawn,
        .done = left.done || right.done,
        .recorded = left.recorded,
        .spread = left.spread || right.spread,
        .holds = std::max(left.holds, right.holds),
        .reason = left_key < right_key ? right.reason : left.reason,
    };
}

time_ms step_start(const move_spec& spec, int step)
{
    const double length = static_cast<double>(spec.deadline - spec.start);
    const double fraction = spec.steps.at(static_cast<std::size_t>(step)).start_fraction;
    return spec.start + std::llround(fraction * length);
}

bool is_held(const move_progress& progress)
{
    return progress.holds % 2 != 0;
}

double share_at(const move_spec& spec, const move_progress& progress, time_ms now)
{
    if (progress.withdrawn)
    {
        return 0;
    }
    if (progress.done)
    {
        return 100;
    }
    double share = 0;
    for (int step = 0; step < static_cast<int>(spec.steps.size()); ++step)
    {
        if (now < step_start(spec, step) || step > progress.step)
        {
            break;
        }
        share = spec.steps[static_cast<std::size_t>(step)].share;
    }
    if (is_held(progress) && !spec.steps.empty())
    {
        share = std::min(share, spec.steps.front().share);
    }
    return std::clamp(share, 0.0, 100.0);
}

double isolated_share_at(const move_spec& spec, const move_progress& progress, time_ms now)
{
    // A withdrawal by another failure domain can't reach an isolated one. Once the move is done,
    // the old version may have no upstreams left.
    if (spec.policy.stop_when_isolated && !progress.done)
    {
        return 0;
    }
    return share_at(spec, progress, now);
}

bool is_watched(const move_spec& spec, const move_progress& progress, time_ms now)
{
    if (progress.withdrawn)
    {
        return false;
    }
    return !progress.done || now < spec.deadline + spec.policy.watch_period;
}

time_ms drain_time_left(const move_spec& spec, const move_progress& progress,
                        time_ms time_since_done, time_ms now)
{
    if (spec.order == 0 || progress.withdrawn)
    {
        return 0;
    }
    const time_ms until_reserve = spec.deadline - order_deadline_reserve_ms - now;
    return std::max<time_ms>(std::min(order_drain_ms - time_since_done, until_reserve), 0);
}

int preferred_upstream_count(const version_load& input)
{
    if (input.upstreams <= 0)
    {
        return 0;
    }
    // Little's law: the arrival rate times the mean time that a call occupies a slot.
    const double seconds = static_cast<double>(input.mean_service_time) / 1000;
    const double busy_slots = input.arrival_rate * input.share / 100 * seconds;
    const double filled_slots = input.slots_per_upstream * input.target_utilization;
    if (filled_slots <= 0 || input.share >= 100)
    {
        return input.upstreams;
    }
    // Rounds down, because rounding up leaves two upstreams half full where one would be full, and
    // a load-dependent fault then appears only for seconds. Excess calls go to the other upstreams.
    const double needed = std::floor(busy_slots / filled_slots);
    return static_cast<int>(std::clamp(needed, 1.0, static_cast<double>(input.upstreams)));
}

} // namespace sardinepoint
