#include "sardinepoint/move.hpp"
#include "sardinepoint/registry.hpp"

#include <boost/math/tools/roots.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <utility>

// An e-process for "the new rate exceeds the old rate by at most the tolerated increase". Each
// interval contributes the likelihood ratio of an alternative, fixed before the interval, to the
// null point that is closest to it in Kullback-Leibler divergence. The null set is convex, so the
// expectation of this ratio is at most 1 whatever the true rates are, and they may change from
// interval to interval (Turner and Grünwald, "Safe sequential testing and effect estimation in
// stratified count data"). A weighted sum over the intervals in which the fault may have started is
// again an e-process; by Ville's inequality it ever exceeds 1/p with probability at most p.

namespace sardinepoint
{
namespace
{

/** Excess of the new rate over the tolerated one, as a fraction of the distance from it to 1. */
constexpr std::array<double, 4> effect_sizes{0.04, 0.12, 0.35, 0.9};

// Prior weights of the possible onsets of a fault; they sum to 1. The ramp and the time after it
// are short and load-dependent faults start there, so each of their intervals has more weight than
// one before the ramp.
constexpr double weight_first_interval = 0.25;
constexpr double weight_elapsed = 0.25;
constexpr double weight_ramp = 0.3;
constexpr double weight_full_share = 0.2;
/** Fraction of the remaining weight that each interval of the ramp or at full share takes. */
constexpr double ramp_fraction = 0.025;
constexpr double full_share_fraction = 0.05;

/** Fraction of the error budget for the comparison with the old version's history. */
constexpr double history_budget_fraction = 0.3;
/** Excess over the old version's history that is tolerated on top of the tolerated increase. */
constexpr double history_margin = 0.005;
/** Factor by which a burst without a paired comparison may exceed the worst one observed. */
constexpr double burst_factor = 2.5;
/** Calls of the old version per period of its worst rate; shorter periods give no usable rate. */
constexpr double baseline_period_calls = 100;

// The old rate is the recent one, smoothed by `smoothing_calls` calls at the long-term rate. The
// alternative thus follows a version that fails in bursts.
constexpr double long_term_decay = 0.95;
constexpr double recent_decay = 0.5;
constexpr double smoothing_calls = 100;
constexpr double prior_calls = 20;
constexpr double prior_hits = 0.2;
constexpr double min_rate = 0.0005;
constexpr double max_rate = 0.9;

/** Fraction of the threshold above which the share must not rise. */
constexpr double suspicion_fraction = 0.002;
/** Value above which the share must not rise yet. A harmless version exceeds it with a probability
 * of at most 1/4. */
constexpr double doubtful_value = 4;
/** Keeps products finite; far above any threshold. */
constexpr double max_e_value = 1e100;

// For the Newton iteration that finds the point of the null set closest to an alternative.
constexpr int newton_precision_bits = 20;
constexpr std::uintmax_t max_newton_iterations = 40;

/** Layout of test_state::values. Recent, long-term and period counts and the worst rate are those
 * of the old version. Pending values are those of the new version's calls that wait for a paired
 * comparison. Used weights are the parts of the prior weights that earlier intervals took. */
enum state_index : std::size_t
{
    recent_hits,
    recent_calls,
    long_term_hits,
    long_term_calls,
    period_hits,
    period_calls,
    worst_rate,
    weight_used,
    ramp_started,
    ramp_used,
    full_share_used,
    pending_weight,
    pending_to_calls,
    pending_to_hits,
    paired_e_values,
    history_e_values = paired_e_values + effect_sizes.size(),
    index_count = history_e_values + effect_sizes.size(),
};

struct rates
{
    double from = 0;
    double to = 0;
};

/** Logarithm of the likelihood ratio of an alternative hit rate to a null hit rate. */
double log_likelihood_ratio(double calls, double hits, double alternative, double null)
{
    const double misses = (calls - hits) * std::log((1 - alternative) / (1 - null));
    return hits > 0 ? hits * std::log(alternative / null) + misses : misses;
}

/** The point on the boundary of the null set that is closest to the alternative. */
rates project_onto_null(const rates& alternative, double from_calls, double to_calls,
                        double tolerated)
{
    const double low = alternative.from;
    const double high = alternative.to - tolerated;
    // First two derivatives of the divergence with respect to the old rate; it is convex.
    const auto slope = [&](double rate)
    {
        const double shifted = rate + tolerated;
        const double from_variance = rate * (1 - rate);
        const double to_variance = shifted * (1 - shifted);
        const double from_part = from_calls * (rate - alternative.from) / from_variance;
        const double to_part = to_calls * (shifted - alternative.to) / to_variance;
        const double curvature = (from_calls - from_part * (1 - 2 * rate)) / from_variance +
                                 (to_calls - to_part * (1 - 2 * shifted)) / to_variance;
        return std::pair(from_part + to_part, curvature);
    };
    const double from_weight = from_calls / (low * (1 - low));
    const double to_weight = to_calls / (alternative.to * (1 - alternative.to));
    const double guess = (from_weight * low + to_weight * high) / (from_weight + to_weight);
    std::uintmax_t iterations = max_newton_iterations;
    const double rate = boost::math::tools::newton_raphson_iterate(
        slope, guess, low, high, newton_precision_bits, iterations);
    return {.from = rate, .to = rate + tolerated};
}

double alternative_rate(double from, double tolerated, double effect)
{
    return from + tolerated + effect * (1 - from - tolerated) * 0.99;
}

double estimated_rate(const std::vector<double>& values, double tolerated)
{
    const double long_term_rate =
        (values[long_term_hits] + prior_hits) / (values[long_term_calls] + prior_calls);
    const double rate = (values[recent_hits] + smoothing_calls * long_term_rate) /
                        (values[recent_calls] + smoothing_calls);
    return std::clamp(rate, min_rate, std::min(max_rate, 0.95 - tolerated));
}

double bounded_exp(double logarithm)
{
    return std::exp(std::min(logarithm, 200.0));
}

/** Takes a fraction of the remaining weight of one kind. */
double take_fraction(double& used, double total, double fraction)
{
    const double taken = fraction * (total - used);
    used += taken;
    return taken;
}

/** Weight of a fault that starts in this interval. */
double onset_weight(std::vector<double>& values, const interval_counts& interval)
{
    double weight = weight_elapsed * interval.elapsed_fraction;
    if (values[weight_used] == 0)
    {
        weight += weight_first_interval;
    }
    else if (interval.share_rose)
    {
        values[ramp_started] = 1;
    }
    if (interval.full_share)
    {
        weight += take_fraction(values[full_share_used], weight_full_share, full_share_fraction);
    }
    else if (values[ramp_started] > 0)
    {
        weight += take_fraction(values[ramp_used], weight_ramp, ramp_fraction);
    }
    weight = std::min(weight, 1 - values[weight_used]);
    values[weight_used] += weight;
    return weight;
}

/** Adds the weight of an onset in this interval and multiplies by the likelihood ratio. */
void update_e_value(double& value, double weight, double log_factor)
{
    value = std::min(max_e_value, (value + weight / effect_sizes.size()) * bounded_exp(log_factor));
}

void record_paired_comparison(std::vector<double>& values, const interval_counts& interval,
                              double tolerated)
{
    const double from = estimated_rate(values, tolerated);
    const auto from_calls = static_cast<double>(interval.from_calls);
    const auto from_hits = static_cast<double>(interval.from_hits);
    const double to_calls = values[pending_to_calls];
    const double to_hits = values[pending_to_hits];
    for (std::size_t effect = 0; effect < effect_sizes.size(); ++effect)
    {
        const rates alternative{.from = from,
                                .to = alternative_rate(from, tolerated, effect_sizes[effect])};
        const rates null = project_onto_null(alternative, from_calls, to_calls, tolerated);
        const double log_factor =
            log_likelihood_ratio(from_calls, from_hits, alternative.from, null.from) +
            log_likelihood_ratio(to_calls, to_hits, alternative.to, null.to);
        update_e_value(values[paired_e_values + effect], values[pending_weight], log_factor);
    }
    values[pending_weight] = 0;
    values[pending_to_calls] = 0;
    values[pending_to_hits] = 0;
}

/** The highest rate that is consistent with the old version's history. */
double history_rate_bound(const std::vector<double>& values, double old_burst_excess,
                          double tolerated)
{
    const double long_term_rate =
        (values[long_term_hits] + prior_hits) / (values[long_term_calls] + prior_calls);
    const double standard_error =
        std::sqrt(long_term_rate * (1 - long_term_rate) / (values[long_term_calls] + prior_calls));
    const double bursts = std::max(old_burst_excess, values[worst_rate] - long_term_rate);
    return std::min(max_rate, long_term_rate + standard_error + burst_factor * bursts + tolerated +
                                  history_margin);
}

/** Compares the new version with the old version's history. Unlike the paired comparison, it has
 * statistical power while the old version receives few calls, but it relies on a history that
 * includes the noise. */
void record_history_comparison(std::vector<double>& values, const interval_counts& interval,
                               double weight, double tolerated)
{
    const double null = history_rate_bound(values, interval.old_burst_excess, tolerated);
    const auto calls = static_cast<double>(interval.to_calls);
    const auto hits = static_cast<double>(interval.to_hits);
    for (std::size_t effect = 0; effect < effect_sizes.size(); ++effect)
    {
        const double alternative = alternative_rate(null, 0, effect_sizes[effect]);
        const double log_factor = log_likelihood_ratio(calls, hits, alternative, null);
        update_e_value(values[history_e_values + effect], weight, log_factor);
    }
}

void update_old_rate(std::vector<double>& values, double calls, double hits)
{
    values[recent_hits] = values[recent_hits] * recent_decay + hits;
    values[recent_calls] = values[recent_calls] * recent_decay + calls;
    values[long_term_hits] = values[long_term_hits] * long_term_decay + hits;
    values[long_term_calls] = values[long_term_calls] * long_term_decay + calls;
    values[period_hits] += hits;
    values[period_calls] += calls;
    if (values[period_calls] >= baseline_period_calls)
    {
        const double rate = values[period_hits] / values[period_calls];
        // Uses a lower confidence bound: the highest raw rate of many short periods is due to
        // chance.
        const double standard_error = std::sqrt(rate * (1 - rate) / values[period_calls]);
        values[worst_rate] = std::max(values[worst_rate], rate - 2 * standard_error);
        values[period_hits] = 0;
        values[period_calls] = 0;
    }
}

void record_sequential_interval(test_state& state, const interval_counts& interval,
                                const test_parameters& parameters)
{
    std::vector<double>& values = state.values;
    values.resize(index_count, 0);
    double weight = 0;
    if (interval.to_calls > 0)
    {
        weight = onset_weight(values, interval);
        // Calls accumulate until an interval has calls of the old version to compare them with.
        values[pending_weight] += weight;
        values[pending_to_calls] += static_cast<double>(interval.to_calls);
        values[pending_to_hits] += static_cast<double>(interval.to_hits);
    }
    // Near the end of a move the proxies switch to a share of 100% one after another. The old
    // version's calls of such an interval precede those of the new version, and a burst between
    // them would be attributed to the new version.
    if (!interval.full_share && values[pending_to_calls] > 0 && interval.from_calls > 0)
    {
        record_paired_comparison(values, interval, parameters.tolerated_increase);
    }
    // The alternative of the paired comparison must not depend on its own interval, so the old rate
    // is updated after it. The comparison with the history comes last, because the history has to
    // include a burst that starts in this interval.
    if (interval.from_calls > 0)
    {
        update_old_rate(values, static_cast<double>(interval.from_calls),
                        static_cast<double>(interval.from_hits));
    }
    if (interval.to_calls > 0)
    {
        record_history_comparison(values, interval, weight, parameters.tolerated_increase);
    }
}

double sum_e_values(const std::vector<double>& values, std::size_t first)
{
    double sum = 0;
    for (std::size_t effect = 0; effect < effect_sizes.size(); ++effect)
    {
        sum += values[first + effect];
    }
    return sum;
}

verdict evaluate_sequential(const test_state& state, const test_parameters& parameters)
{
    if (state.values.empty())
    {
        return {};
    }
    // The weight of onsets that are still to come counts unchanged.
    const double unused_weight = 1 - state.values[weight_used];
    const double paired_value =
        sum_e_values(state.values, paired_e_values) + unused_weight + state.values[pending_weight];
    const double history_value = sum_e_values(state.values, history_e_values) + unused_weight;
    const double value =
        (1 - history_budget_fraction) * paired_value + history_budget_fraction * history_value;
    const double threshold = 1 / parameters.error_probability;
    return {.harmful = value >= threshold,
            .suspicious = value >= suspicion_fraction * threshold,
            .doubtful = value >= doubtful_value};
}

const registration<verdict_test> sequential("sequential",
                                            {.record_interval = record_sequential_interval,
                                             .evaluate = evaluate_sequential});

} // namespace
} // namespace sardinepoint
