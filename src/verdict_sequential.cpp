#include "sardinepoint/move.hpp"
#include "sardinepoint/registry.hpp"

#include <boost/math/tools/toms748_solve.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>

// An e-process for "the new rate exceeds the old rate by at most the tolerated increase". Each
// interval contributes the likelihood ratio of an alternative, fixed before the interval, to the
// null point that is closest to it in Kullback-Leibler divergence. The null set is convex, so the
// expectation of this ratio is at most 1 whatever the true rates are, and they may change from
// interval to interval (Turner and Grünwald, "Safe sequential testing and effect estimation in
// stratified count data"). A weighted sum over the intervals at which the fault may have begun is
// again an e-process; by Ville's inequality it ever exceeds 1/p with probability at most p.

namespace sardinepoint
{
namespace
{

/** Excess of the new rate over the tolerated one, as a fraction of what is left up to 1. */
constexpr std::array<double, 4> effect_sizes{0.04, 0.12, 0.35, 0.9};

// Weights of the possible beginnings of a fault; they sum to at most 1.
constexpr double weight_first_interval = 0.3;
constexpr double weight_share_rose = 0.04;
constexpr double most_share_rises = 5;
constexpr double weight_elapsed = 0.5;

/** Part of the error budget for intervals in which the old version receives no calls. */
constexpr double lone_budget = 0.1;
/** Part of the weight left that each such interval takes as a possible beginning. */
constexpr double lone_weight = 0.03;
/** Excess over the old version's worst period that is not harm when there is no comparison. */
constexpr double lone_margin = 0.02;
/** Calls of the old version in one period of its worst rate; a tenth of them is a coarse rate. */
constexpr double baseline_period_calls = 100;

/** Old estimates count for less after each interval, so that the bet follows a noisy version. */
constexpr double rate_decay = 0.9;
constexpr double prior_calls = 20;
constexpr double prior_hits = 0.2;
constexpr double lowest_rate = 0.0005;
constexpr double highest_rate = 0.9;

/** Fraction of the threshold above which the share must not rise. */
constexpr double suspicion_fraction = 0.02;
/** Keeps products finite; far beyond any threshold. */
constexpr double largest_value = 1e100;

constexpr int root_bits = 20;
constexpr std::uintmax_t root_iterations = 40;

/** Layout of test_state::values. */
enum index : std::size_t
{
    rate_hits,
    rate_calls,
    weight_used,
    share_rises,
    period_hits,
    period_calls,
    worst_rate,
    lone_weight_used,
    paired,
    lone = paired + effect_sizes.size(),
    index_count = lone + effect_sizes.size(),
};

struct rates
{
    double from = 0;
    double to = 0;
};

double log_likelihood(double calls, double hits, double rate)
{
    return hits * std::log(rate) + (calls - hits) * std::log1p(-rate);
}

/** The point of the null set's boundary that is closest to the alternative. */
rates project(const rates& alternative, double from_calls, double to_calls, double tolerated)
{
    const double low = alternative.from;
    const double high = alternative.to - tolerated;
    const auto slope = [&](double rate)
    {
        const double shifted = rate + tolerated;
        return from_calls * (rate - alternative.from) / (rate * (1 - rate)) +
               to_calls * (shifted - alternative.to) / (shifted * (1 - shifted));
    };
    if (from_calls == 0)
    {
        return {.from = high, .to = alternative.to};
    }
    std::uintmax_t iterations = root_iterations;
    const auto bracket = boost::math::tools::toms748_solve(
        slope, low, high, slope(low), slope(high),
        boost::math::tools::eps_tolerance<double>(root_bits), iterations);
    const double rate = (bracket.first + bracket.second) / 2;
    return {.from = rate, .to = rate + tolerated};
}

double alternative_rate(double from, double tolerated, double effect)
{
    return from + tolerated + effect * (1 - from - tolerated) * 0.99;
}

double estimated_rate(const std::vector<double>& values, double tolerated)
{
    const double rate = (values[rate_hits] + prior_hits) / (values[rate_calls] + prior_calls);
    return std::clamp(rate, lowest_rate, std::min(highest_rate, 0.95 - tolerated));
}

double bounded_exp(double logarithm)
{
    return std::exp(std::min(logarithm, 200.0));
}

/** Weight of a fault that begins with this interval. */
double start_weight(std::vector<double>& values, const interval_counts& interval)
{
    double weight = weight_elapsed * interval.elapsed_fraction;
    if (values[weight_used] == 0)
    {
        weight += weight_first_interval;
    }
    else if (interval.share_rose && values[share_rises] < most_share_rises)
    {
        values[share_rises] += 1;
        weight += weight_share_rose;
    }
    weight = std::min(weight, 1 - values[weight_used]);
    values[weight_used] += weight;
    return weight;
}

void observe_paired(std::vector<double>& values, const interval_counts& interval, double tolerated)
{
    const double weight = start_weight(values, interval) / effect_sizes.size();
    const double from = estimated_rate(values, tolerated);
    const auto from_calls = static_cast<double>(interval.from_calls);
    const auto from_hits = static_cast<double>(interval.from_hits);
    const auto to_calls = static_cast<double>(interval.to_calls);
    const auto to_hits = static_cast<double>(interval.to_hits);
    for (std::size_t effect = 0; effect < effect_sizes.size(); ++effect)
    {
        const rates bet{.from = from,
                        .to = alternative_rate(from, tolerated, effect_sizes[effect])};
        const rates null = project(bet, from_calls, to_calls, tolerated);
        const double gain = log_likelihood(from_calls, from_hits, bet.from) -
                            log_likelihood(from_calls, from_hits, null.from) +
                            log_likelihood(to_calls, to_hits, bet.to) -
                            log_likelihood(to_calls, to_hits, null.to);
        double& value = values[paired + effect];
        value = std::min(largest_value, (value + weight) * bounded_exp(gain));
    }
}

/** Compares the new version with the old one's worst period: there are no old calls to pair. */
void observe_lone(std::vector<double>& values, const interval_counts& interval, double tolerated)
{
    const double total = lone_weight * (1 - values[lone_weight_used]);
    const double weight = total / effect_sizes.size();
    values[lone_weight_used] += total;
    const double worst = std::max(values[worst_rate], estimated_rate(values, tolerated));
    const double null = std::min(highest_rate, worst + tolerated + lone_margin);
    const auto calls = static_cast<double>(interval.to_calls);
    const auto hits = static_cast<double>(interval.to_hits);
    for (std::size_t effect = 0; effect < effect_sizes.size(); ++effect)
    {
        const double bet = alternative_rate(null, 0, effect_sizes[effect]);
        const double gain = log_likelihood(calls, hits, bet) - log_likelihood(calls, hits, null);
        double& value = values[lone + effect];
        value = std::min(largest_value, (value + weight) * bounded_exp(gain));
    }
}

void learn_old_rate(std::vector<double>& values, const interval_counts& interval)
{
    const auto calls = static_cast<double>(interval.from_calls);
    const auto hits = static_cast<double>(interval.from_hits);
    values[rate_hits] = values[rate_hits] * rate_decay + hits;
    values[rate_calls] = values[rate_calls] * rate_decay + calls;
    values[period_hits] += hits;
    values[period_calls] += calls;
    if (values[period_calls] >= baseline_period_calls)
    {
        values[worst_rate] =
            std::max(values[worst_rate], values[period_hits] / values[period_calls]);
        values[period_hits] = 0;
        values[period_calls] = 0;
    }
}

void observe_sequential(test_state& state, const interval_counts& interval,
                        const test_parameters& parameters)
{
    std::vector<double>& values = state.values;
    values.resize(index_count, 0);
    if (interval.to_calls > 0 && interval.from_calls > 0)
    {
        observe_paired(values, interval, parameters.tolerated_increase);
    }
    else if (interval.to_calls > 0)
    {
        observe_lone(values, interval, parameters.tolerated_increase);
    }
    // The estimate is updated after the bet: a bet that knows its own interval isn't valid.
    if (interval.from_calls > 0)
    {
        learn_old_rate(values, interval);
    }
}

double sum_of_bets(const std::vector<double>& values, std::size_t first)
{
    double sum = 0;
    for (std::size_t effect = 0; effect < effect_sizes.size(); ++effect)
    {
        sum += values[first + effect];
    }
    return sum;
}

verdict judge_sequential(const test_state& state, const test_parameters& parameters)
{
    if (state.values.empty())
    {
        return {};
    }
    // The weight of beginnings that have not come yet stays at its value.
    const double paired_value = sum_of_bets(state.values, paired) + 1 - state.values[weight_used];
    const double lone_value = sum_of_bets(state.values, lone) + 1 - state.values[lone_weight_used];
    const double value = (1 - lone_budget) * paired_value + lone_budget * lone_value;
    const double threshold = 1 / parameters.error_probability;
    return {.harmful = value >= threshold, .suspicious = value >= suspicion_fraction * threshold};
}

const registration<verdict_test> sequential("sequential", {.observe = observe_sequential,
                                                           .judge = judge_sequential});

} // namespace
} // namespace sardinepoint
