#include "sardinepoint/metrics.hpp"

#include <boost/histogram/algorithm/sum.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <iterator>

namespace sardinepoint
{

namespace
{

namespace histogram = boost::histogram;

constexpr int bin_count = 70;
constexpr double min_latency_s = 1e-5;
constexpr double max_latency_s = 100.0;
constexpr std::array<double, 4> rendered_quantiles{0.5, 0.9, 0.99, 0.999};

latency_metric make_latency_metric()
{
    return histogram::make_histogram(
        histogram::axis::regular<double, histogram::axis::transform::log>(bin_count, min_latency_s,
                                                                          max_latency_s));
}

} // namespace

void count(metrics& stats, std::string_view name, std::uint64_t amount)
{
    const auto found = stats.counters.find(name);
    if (found != stats.counters.end())
    {
        found->second += amount;
        return;
    }
    stats.counters.emplace(name, amount);
}

void set_gauge(metrics& stats, std::string_view name, double value)
{
    stats.gauges[std::string(name)] = value;
}

void observe(metrics& stats, std::string_view name, double seconds)
{
    auto found = stats.latencies.find(name);
    if (found == stats.latencies.end())
    {
        found = stats.latencies.emplace(name, make_latency_metric()).first;
    }
    found->second(seconds);
}

double quantile(const latency_metric& latency, double fraction)
{
    const double total = histogram::algorithm::sum(latency);
    const auto& axis = latency.axis();
    double cumulative = 0;
    for (int i = -1; total > 0 && i <= axis.size(); ++i)
    {
        cumulative += latency.at(i);
        if (cumulative >= fraction * total)
        {
            return i >= axis.size() ? max_latency_s : axis.bin(std::max(i, 0)).upper();
        }
    }
    return 0;
}

std::string render_metrics(const metrics& stats)
{
    std::string page;
    auto out = std::back_inserter(page);
    for (const auto& [name, value] : stats.counters)
    {
        fmt::format_to(out, "sardinepoint_{} {}\n", name, value);
    }
    for (const auto& [name, value] : stats.gauges)
    {
        fmt::format_to(out, "sardinepoint_{} {}\n", name, value);
    }
    for (const auto& [name, latency] : stats.latencies)
    {
        for (const double fraction : rendered_quantiles)
        {
            fmt::format_to(out, "sardinepoint_{}{{quantile=\"{}\"}} {:.6f}\n", name, fraction,
                           quantile(latency, fraction));
        }
        fmt::format_to(out, "sardinepoint_{}_count {:.0f}\n", name,
                       histogram::algorithm::sum(latency));
    }
    return page;
}

} // namespace sardinepoint
