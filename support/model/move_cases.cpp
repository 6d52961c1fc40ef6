#include "model/move_cases.hpp"

namespace sardinepoint::bench
{

bool has_partition(const case_kind& kind)
{
    return kind.active_disturbance == disturbance::partition ||
           kind.active_disturbance == disturbance::partition_stop;
}

const std::vector<case_kind>& case_kinds()
{
    using enum fault_signal;
    using enum fault_onset;
    static const std::vector<case_kind> kinds{
        {.name = "good"},
        {.name = "at once, errors", .signal = errors, .onset = at_once},
        {.name = "at once, slowness", .signal = slowness, .onset = at_once},
        {.name = "later, errors", .signal = errors, .onset = later},
        {.name = "later, slowness", .signal = slowness, .onset = later},
        {.name = "under load, errors", .signal = errors, .onset = under_load},
        {.name = "under load, slowness", .signal = slowness, .onset = under_load},
        {.name = "one route, errors", .signal = errors, .onset = any_time, .single_route = true},
        {.name = "one route, slowness",
         .signal = slowness,
         .onset = any_time,
         .single_route = true},
        {.name = "misleading reports, good", .active_disturbance = disturbance::misleading_reports},
        {.name = "misleading reports, bad",
         .signal = either,
         .onset = any_time,
         .active_disturbance = disturbance::misleading_reports},
        {.name = "little traffic, good", .active_disturbance = disturbance::little_traffic},
        {.name = "little traffic, bad",
         .signal = either,
         .onset = at_once,
         .active_disturbance = disturbance::little_traffic},
        {.name = "noisy old version, good", .active_disturbance = disturbance::noisy_old_version},
        {.name = "noisy old version, bad",
         .signal = either,
         .onset = any_time,
         .active_disturbance = disturbance::noisy_old_version},
        {.name = "log unavailable, good", .active_disturbance = disturbance::log_unavailable},
        {.name = "log unavailable, bad",
         .signal = either,
         .onset = any_time,
         .active_disturbance = disturbance::log_unavailable},
        {.name = "partition, good", .active_disturbance = disturbance::partition},
        {.name = "partition, bad",
         .signal = either,
         .onset = any_time,
         .active_disturbance = disturbance::partition},
        {.name = "partition, stop when isolated, good",
         .active_disturbance = disturbance::partition_stop},
        {.name = "partition, stop when isolated, bad",
         .signal = either,
         .onset = any_time,
         .active_disturbance = disturbance::partition_stop},
        {.name = "crashing request, good", .active_disturbance = disturbance::crashing_request},
        {.name = "crashing request, bad",
         .signal = either,
         .onset = any_time,
         .active_disturbance = disturbance::crashing_request},
    };
    return kinds;
}

strategy gated_strategy()
{
    return {.name = "gated",
            .steps = default_move_steps(),
            .verdict_test = "sequential",
            .concentrated = true};
}

strategy timetable_strategy()
{
    return {.name = "timetable",
            .steps = {{.share = 10, .start_fraction = 0},
                      {.share = 25, .start_fraction = 0.2},
                      {.share = 50, .start_fraction = 0.4},
                      {.share = 75, .start_fraction = 0.6},
                      {.share = 100, .start_fraction = 0.8}},
            .verdict_test = "threshold"};
}

strategy all_at_once_strategy()
{
    return {.name = "all at once",
            .steps = {{.share = 100, .start_fraction = 0}},
            .verdict_test = "threshold",
            .done_at_start = true};
}

} // namespace sardinepoint::bench
