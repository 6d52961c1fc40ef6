#pragma once

#include "model/move_cases.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

/** Random properties of a case and the distributions they are drawn from. */
namespace sardinepoint::bench::detail
{

inline constexpr std::size_t domains = 3;
inline constexpr std::size_t route_count = 3;

double uniform(generator& random, double low, double high);
std::uint64_t poisson(generator& random, double mean);
std::uint64_t binomial(generator& random, std::uint64_t trials, double probability);

struct time_window
{
    time_ms begin = 0;
    time_ms end = 0;

    bool contains(time_ms time) const
    {
        return time >= this->begin && time < this->end;
    }
};

struct crash
{
    time_ms time = 0;
    bool on_new_version = false;
};

/** True properties of one case, which the decision functions don't see. */
struct case_properties
{
    service_size size;
    double arrival_rate = 0;
    double service_seconds = 0;
    std::array<double, route_count> failure_rates{};
    std::array<double, route_count> slow_rates{};
    /** Differences of the new version from the old one that are no fault. */
    double failure_factor = 1;
    double slow_factor = 1;
    bool bad = false;
    bool slowness = false;
    /** Probability that a call is affected by the fault. */
    double magnitude = 0;
    time_ms fault_start = 0;
    /** Busy fraction of slots from which a load-dependent fault is active; 0 for other faults. */
    double fault_utilization = 0;
    int fault_route = -1;
    double load_report_factor = 1;
    time_window outage;
    time_window partition;
    std::vector<crash> crashes;
};

case_properties draw_properties(const case_kind& kind, const service_size& size, time_ms length,
                                generator& random);

/** Bursts of failures and slow calls that affect both versions alike. */
struct noise
{
    bool burst = false;
    double failures = 0;
    double slow = 0;
};

void step_noise(noise& state, generator& random);

} // namespace sardinepoint::bench::detail
