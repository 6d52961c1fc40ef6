#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include <boost/histogram.hpp>

namespace sardinepoint
{

/** Latency histogram with logarithmic bins from 10 us to 100 s. */
using latency_metric = decltype(boost::histogram::make_histogram(
    boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>(70, 1e-5,
                                                                                    100.0)));

/** Counters, gauges and latency histograms of one process. */
struct metrics
{
    std::map<std::string, std::uint64_t, std::less<>> counters;
    std::map<std::string, double, std::less<>> gauges;
    std::map<std::string, latency_metric, std::less<>> latencies;
};

/** Increments a counter. The name may carry labels as in name{key="value"}. */
void count(metrics& stats, std::string_view name, std::uint64_t amount = 1);

/** Sets a gauge; the name may carry labels as well. */
void set_gauge(metrics& stats, std::string_view name, double value);

/** Adds a sample in seconds to a latency histogram. */
void observe(metrics& stats, std::string_view name, double seconds);

/** Returns the upper edge in seconds of the bin that holds the quantile; 0 without samples. */
double quantile(const latency_metric& latency, double fraction);

/** Renders all metrics in the Prometheus text format; histograms as quantiles and a count. */
std::string render_metrics(const metrics& stats);

} // namespace sardinepoint
