#include "model/move_draw.hpp"

#include <boost/random/binomial_distribution.hpp>
#include <boost/random/poisson_distribution.hpp>
#include <boost/random/uniform_01.hpp>

#include <algorithm>
#include <cmath>

namespace sardinepoint::bench::detail
{

namespace
{

double log_uniform(generator& random, double low, double high)
{
    return std::exp(uniform(random, std::log(low), std::log(high)));
}

} // namespace

double uniform(generator& random, double low, double high)
{
    return low + (high - low) * boost::random::uniform_01<double>()(random);
}

std::uint64_t poisson(generator& random, double mean)
{
    return mean <= 0 ? 0 : boost::random::poisson_distribution<std::int64_t>(mean)(random);
}

std::uint64_t binomial(generator& random, std::uint64_t trials, double probability)
{
    if (trials == 0 || probability <= 0)
    {
        return 0;
    }
    return boost::random::binomial_distribution<std::int64_t>(static_cast<std::int64_t>(trials),
                                                              std::min(probability, 1.0))(random);
}

case_properties draw_properties(const case_kind& kind, const service_size& size, time_ms length,
                                generator& random)
{
    case_properties drawn{.size = size};
    drawn.service_seconds = uniform(random, 0.04, 0.15);
    drawn.arrival_rate =
        uniform(random, 0.3, 0.7) * size.upstreams * size.slots / drawn.service_seconds;
    for (std::size_t route = 0; route < route_count; ++route)
    {
        drawn.failure_rates[route] = log_uniform(random, 0.0005, 0.01);
        drawn.slow_rates[route] = uniform(random, 0.04, 0.05);
    }
    drawn.failure_factor = uniform(random, 0.8, 1.2);
    drawn.slow_factor = uniform(random, 0.8, 1.2);
    drawn.bad = kind.signal != fault_signal::none;
    drawn.slowness = kind.signal == fault_signal::slowness ||
                     (kind.signal == fault_signal::either && uniform(random, 0, 1) < 0.5);
    drawn.magnitude = drawn.slowness ? uniform(random, 0.25, 1) : log_uniform(random, 0.05, 1);
    const auto duration = static_cast<double>(length);
    if (kind.onset == fault_onset::later)
    {
        drawn.fault_start = std::llround(uniform(random, 0.1, 1) * duration);
    }
    if (kind.onset == fault_onset::any_time)
    {
        drawn.fault_start = std::llround(uniform(random, 0, 1) * duration);
    }
    if (kind.onset == fault_onset::under_load)
    {
        drawn.fault_utilization = uniform(random, 0.5, 0.75);
    }
    if (kind.single_route)
    {
        drawn.fault_route = static_cast<int>(uniform(random, 0, route_count));
    }
    if (kind.active_disturbance == disturbance::little_traffic)
    {
        drawn.arrival_rate = uniform(random, 0.5, 3);
    }
    if (kind.active_disturbance == disturbance::misleading_reports)
    {
        drawn.load_report_factor = log_uniform(random, 1.0 / 3, 3);
    }
    if (kind.active_disturbance == disturbance::log_unavailable)
    {
        drawn.outage.begin = std::llround(uniform(random, 0, 0.95) * duration);
        drawn.outage.end = drawn.outage.begin + std::llround(uniform(random, 30'000, 600'000));
    }
    if (has_partition(kind))
    {
        drawn.partition.begin = std::llround(uniform(random, 0, 0.95) * duration);
        drawn.partition.end =
            drawn.partition.begin + std::llround(uniform(random, 10'000, 120'000));
    }
    if (kind.active_disturbance == disturbance::crashing_request)
    {
        const int count = 1 + static_cast<int>(uniform(random, 0, 3));
        for (int event = 0; event < count; ++event)
        {
            drawn.crashes.push_back({.time = std::llround(uniform(random, 0, 1) * duration),
                                     .on_new_version = uniform(random, 0, 1) < 0.5});
        }
    }
    return drawn;
}

void step_noise(noise& state, generator& random)
{
    const double change = uniform(random, 0, 1);
    if (!state.burst && change < 0.02)
    {
        state = {.burst = true,
                 .failures = uniform(random, 0.05, 0.5),
                 .slow = uniform(random, 0.1, 0.8)};
    }
    else if (state.burst && change < 0.1)
    {
        state = {};
    }
}

} // namespace sardinepoint::bench::detail
