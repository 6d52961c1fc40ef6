#include "sardinepoint/routing.hpp"

#include "sardinepoint/registry.hpp"

#include <algorithm>

namespace sardinepoint
{
namespace
{

using positions = std::vector<std::size_t>;

std::string_view without_trailing_slash(std::string_view prefix)
{
    while (!prefix.empty() && prefix.back() == '/')
    {
        prefix.remove_suffix(1);
    }
    return prefix;
}

bool matches_segments(std::string_view prefix, std::string_view path)
{
    return path.starts_with(prefix) && (path.size() == prefix.size() || path[prefix.size()] == '/');
}

double uniform(std::mt19937_64& rng, double limit)
{
    return std::uniform_real_distribution<double>(0, limit)(rng);
}

double median_latency(std::span<const endpoint_candidate> candidates)
{
    std::vector<double> known;
    for (const endpoint_candidate& candidate : candidates)
    {
        if (candidate.latency_ms > 0)
        {
            known.push_back(candidate.latency_ms);
        }
    }
    if (known.empty())
    {
        return 0;
    }
    const auto middle = known.begin() + static_cast<std::ptrdiff_t>((known.size() - 1) / 2);
    std::nth_element(known.begin(), middle, known.end());
    return *middle;
}

double latency_factor(const endpoint_candidate& candidate, double median,
                      const balance_options& options, time_ms now)
{
    if (candidate.latency_ms <= 0 || median <= 0)
    {
        return 1;
    }
    const double excess = candidate.latency_ms / median - 1;
    const double aged = excess * decay(now - candidate.last_completion, options.latency_decay_ms);
    return std::max(1.0, (1 + aged) / options.latency_tolerance);
}

// Reports only scale the proxy's own count, so the effect of a false one is bounded.
double report_factor(const endpoint_candidate& candidate, const balance_options& options,
                     time_ms now)
{
    constexpr double neutral_utilisation = 0.5;
    // Above 1, calls wait for a slot.
    constexpr double max_utilisation = 2;
    double utilisation = neutral_utilisation;
    if (candidate.report)
    {
        const double slots = std::max(candidate.slots, 1);
        const double reported =
            std::clamp(candidate.report->in_flight / slots, 0.0, max_utilisation);
        const time_ms age = now - candidate.report->received;
        utilisation += (reported - neutral_utilisation) * decay(age, options.report_decay_ms);
    }
    return 1 + options.report_weight * utilisation;
}

double load_score(const endpoint_candidate& candidate, double median,
                  const balance_options& options, time_ms now)
{
    const double own = (candidate.in_flight + 1.0) / std::max(candidate.slots, 1);
    return own * report_factor(candidate, options, now) *
           latency_factor(candidate, median, options, now);
}

// Draws an element of `usable` at random by slow-start weight.
std::size_t draw_weighted(std::span<const endpoint_candidate> candidates,
                          std::span<const std::size_t> usable, const balance_options& options,
                          time_ms now, std::optional<std::size_t> except, std::mt19937_64& rng)
{
    std::vector<double> weights;
    weights.reserve(usable.size());
    for (const std::size_t index : usable)
    {
        const bool skipped = except && *except == index;
        weights.push_back(skipped ? 0 : slow_start_weight(candidates[index], options, now));
    }
    return usable[std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(rng)];
}

std::size_t pick_least_loaded(std::span<const endpoint_candidate> candidates,
                              std::span<const std::size_t> usable, const balance_options& options,
                              time_ms now, std::mt19937_64& rng)
{
    const std::size_t first = draw_weighted(candidates, usable, options, now, {}, rng);
    if (usable.size() == 1)
    {
        return first;
    }
    const std::size_t second = draw_weighted(candidates, usable, options, now, first, rng);
    const double median = median_latency(candidates);
    const double first_score = load_score(candidates[first], median, options, now);
    const double second_score = load_score(candidates[second], median, options, now);
    return second_score < first_score ? second : first;
}

std::size_t pick_random(std::span<const endpoint_candidate>, std::span<const std::size_t> usable,
                        const balance_options&, time_ms, std::mt19937_64& rng)
{
    return usable[std::uniform_int_distribution<std::size_t>(0, usable.size() - 1)(rng)];
}

const registration<balancing_policy> register_least_loaded{"least_loaded", {pick_least_loaded}};
const registration<balancing_policy> register_random{"random", {pick_random}};

bool awaits_probe(const endpoint_candidate& candidate, const balance_options& options)
{
    return candidate.ejections > 0 && candidate.consecutive_failures >= options.ejection_failures;
}

// After an ejection, one call at a time probes whether the upstream has recovered.
bool is_unusable(const endpoint_candidate& candidate, const choice_request& request,
                 const balance_options& options, time_ms now)
{
    if (now < candidate.ejected_until || is_stalled(candidate, options, now))
    {
        return true;
    }
    return awaits_probe(candidate, options) && (!request.may_probe || candidate.in_flight > 0);
}

// A report counts only if own calls are in flight, so a false one can't make an idle upstream look
// full.
bool reports_full(const endpoint_candidate& candidate, const balance_options& options, time_ms now)
{
    return candidate.in_flight > 0 && candidate.report &&
           now - candidate.report->received < options.full_report_age &&
           candidate.report->in_flight >= candidate.slots;
}

bool is_full(const endpoint_candidate& candidate, time_ms now)
{
    return candidate.in_flight >= candidate.slots || now < candidate.full_until;
}

// Excludes the worst upstreams up to the configured fraction; if all are bad, all are used.
positions usable_candidates(std::span<const endpoint_candidate> candidates,
                            const choice_request& request, const balance_options& options,
                            time_ms now)
{
    positions usable;
    positions bad;
    for (std::size_t index = 0; index < candidates.size(); ++index)
    {
        (is_unusable(candidates[index], request, options, now) ? bad : usable).push_back(index);
    }
    if (usable.empty())
    {
        return bad;
    }
    const double limit = static_cast<double>(candidates.size()) * options.max_ejected_fraction;
    const auto allowed = static_cast<std::size_t>(std::max(limit, 0.0));
    if (bad.size() > allowed)
    {
        std::ranges::stable_sort(bad, std::greater{},
                                 [&](std::size_t index)
                                 { return candidates[index].consecutive_failures; });
        usable.insert(usable.end(), bad.begin() + static_cast<std::ptrdiff_t>(allowed), bad.end());
    }
    return usable;
}

template <class Predicate>
positions select(const positions& from, Predicate predicate)
{
    positions selected;
    std::ranges::copy_if(from, std::back_inserter(selected), predicate);
    return selected;
}

bool take_spill_token(spill_budget& budget)
{
    if (budget.tokens < 1)
    {
        return false;
    }
    budget.tokens -= 1;
    return true;
}

void eject(endpoint_candidate& candidate, const balance_options& options, time_ms now,
           std::mt19937_64& rng)
{
    constexpr int max_doublings = 20;
    const int doublings = std::min(candidate.ejections, max_doublings);
    const double backoff =
        std::min(static_cast<double>(options.base_ejection_ms) * (1 << doublings),
                 static_cast<double>(options.max_ejection_ms));
    // Jitter keeps the proxies from probing the upstream at the same time.
    candidate.ejected_until = now + static_cast<time_ms>(backoff * (0.75 + uniform(rng, 0.5)));
    candidate.ejections += 1;
    candidate.consecutive_failures =
        std::max(candidate.consecutive_failures, options.ejection_failures);
}

void record_latency(endpoint_candidate& candidate, const balance_options& options, time_ms latency)
{
    const double sample = std::max(static_cast<double>(latency), 0.5);
    const double gain = candidate.latency_ms > 0 ? options.latency_gain : 1;
    candidate.latency_ms += gain * (sample - candidate.latency_ms);
}

void record_report(endpoint_candidate& candidate, std::optional<int> reported, time_ms now)
{
    if (reported)
    {
        candidate.report = load_report{.in_flight = *reported, .received = now};
    }
}

} // namespace

const route* match_route(const config_state& state, std::string_view path)
{
    const route* best = nullptr;
    std::size_t best_length = 0;
    for (const auto& [name, candidate] : state.routes)
    {
        const std::string_view prefix = without_trailing_slash(candidate.prefix);
        const bool longer = best == nullptr || prefix.size() > best_length;
        if (longer && matches_segments(prefix, path))
        {
            best = &candidate;
            best_length = prefix.size();
        }
    }
    return best;
}

std::optional<std::string> choose_version(const service_config& service,
                                          const std::optional<moved_share>& moved,
                                          std::mt19937_64& rng)
{
    std::map<std::string, double> shares;
    for (const auto& [version, percent] : service.versions)
    {
        shares[version] = std::max(percent, 0);
    }
    if (moved && moved->percent > 0 && shares.contains(moved->from))
    {
        const double amount = shares[moved->from] * std::min(moved->percent, 100.0) / 100;
        shares[moved->from] -= amount;
        shares[moved->to] += amount;
    }
    double total = 0;
    for (const auto& [version, share] : shares)
    {
        total += share;
    }
    if (total <= 0)
    {
        return std::nullopt;
    }
    double point = uniform(rng, total);
    const std::string* chosen = nullptr;
    for (const auto& [version, share] : shares)
    {
        if (share <= 0)
        {
            continue;
        }
        chosen = &version;
        if (point < share)
        {
            break;
        }
        point -= share;
    }
    return *chosen;
}

std::string_view to_string(choice_reason reason)
{
    switch (reason)
    {
    case choice_reason::own_domain:
        return "own_domain";
    case choice_reason::spilled:
        return "spilled";
    case choice_reason::no_candidate:
        return "no_candidate";
    case choice_reason::spill_exhausted:
        return "spill_exhausted";
    case choice_reason::unknown_policy:
        return "unknown_policy";
    }
    return "unknown";
}

endpoint_choice choose_endpoint(std::span<const endpoint_candidate> candidates,
                                const choice_request& request, const balance_options& options,
                                spill_budget& budget, time_ms now, std::mt19937_64& rng)
{
    budget.tokens = std::min(budget.tokens + options.spill_fraction, options.spill_burst);
    const auto* policy = registry<balancing_policy>::find(options.policy);
    if (policy == nullptr)
    {
        return {.index = {}, .reason = choice_reason::unknown_policy};
    }
    if (candidates.empty())
    {
        return {.index = {}, .reason = choice_reason::no_candidate};
    }
    const auto is_own = [&](std::size_t index)
    {
        return candidates[index].domain == request.domain;
    };
    const auto is_untried = [&](std::size_t index)
    {
        return std::ranges::find(request.tried, candidates[index].member) == request.tried.end();
    };
    const auto has_free_slot = [&](std::size_t index)
    {
        return !is_full(candidates[index], now);
    };
    const auto choose = [&](const positions& from, choice_reason reason) -> endpoint_choice
    {
        return {.index = policy->pick(candidates, from, options, now, rng), .reason = reason};
    };

    const positions usable = usable_candidates(candidates, request, options, now);
    const positions own = select(usable, is_own);
    const positions remote = select(usable, std::not_fn(is_own));
    const positions own_free = select(select(own, is_untried), has_free_slot);
    const positions remote_free = select(select(remote, is_untried), has_free_slot);
    // Reports only decide whether to spill over: narrowing the choice by them would send the calls
    // of all proxies to the same few upstreams.
    const auto is_busy = [&](std::size_t index)
    {
        return reports_full(candidates[index], options, now);
    };
    const bool own_busy = std::ranges::all_of(own_free, is_busy);
    const bool remote_busy = std::ranges::all_of(remote_free, is_busy);
    const bool stay_local = !own_free.empty() && (!own_busy || remote_busy);
    // A domain without an upstream of the service may use all free slots of the others; as soon as
    // those are full, the budget protects their own callers.
    const bool has_own = std::ranges::any_of(candidates, [&](const endpoint_candidate& candidate)
                                             { return candidate.domain == request.domain; });
    if (!stay_local && !remote_free.empty() && (!has_own || take_spill_token(budget)))
    {
        return choose(remote_free, choice_reason::spilled);
    }
    if (!own_free.empty())
    {
        return choose(own_free, choice_reason::own_domain);
    }
    // The daemon of a full upstream either queues or refuses the call, and its response is
    // reliable.
    const positions own_untried = select(own, is_untried);
    if (!own_untried.empty())
    {
        return choose(own_untried, choice_reason::own_domain);
    }
    const positions remote_untried = select(remote, is_untried);
    const positions& remote_any = own.empty() && remote_untried.empty() ? remote : remote_untried;
    if (remote_free.empty() && !remote_any.empty() && take_spill_token(budget))
    {
        return choose(remote_any, choice_reason::spilled);
    }
    if (!own.empty())
    {
        return choose(own, choice_reason::own_domain);
    }
    positions all(candidates.size());
    for (std::size_t index = 0; index < all.size(); ++index)
    {
        all[index] = index;
    }
    // Bad upstreams of the own domain are better than a refusal.
    const positions own_bad = select(all, is_own);
    if (!own_bad.empty())
    {
        return choose(own_bad, choice_reason::own_domain);
    }
    return {.index = {}, .reason = choice_reason::spill_exhausted};
}

bool is_stalled(const endpoint_candidate& candidate, const balance_options& options, time_ms now)
{
    if (candidate.in_flight < options.min_stall_in_flight)
    {
        return false;
    }
    const auto expected = static_cast<time_ms>(candidate.latency_ms * options.stall_latency_factor);
    const time_ms silent = now - std::max(candidate.last_completion, candidate.busy_since);
    return silent >= std::max(options.min_stall_ms, expected);
}

double slow_start_weight(const endpoint_candidate& candidate, const balance_options& options,
                         time_ms now)
{
    const time_ms age = now - candidate.first_seen;
    if (options.slow_start <= 0 || age >= options.slow_start)
    {
        return 1;
    }
    const double ramp = static_cast<double>(age) / static_cast<double>(options.slow_start);
    return std::max(ramp, options.initial_weight);
}

void record_start(endpoint_candidate& candidate, time_ms now)
{
    if (candidate.in_flight == 0)
    {
        candidate.busy_since = now;
    }
    candidate.in_flight += 1;
}

void record_success(endpoint_candidate& candidate, const balance_options& options, time_ms latency,
                    std::optional<int> reported_in_flight, time_ms now)
{
    record_cancellation(candidate);
    record_latency(candidate, options, latency);
    record_report(candidate, reported_in_flight, now);
    candidate.last_completion = now;
    candidate.consecutive_failures = 0;
    candidate.ejections = 0;
    candidate.ejected_until = 0;
}

void record_failure(endpoint_candidate& candidate, const balance_options& options, time_ms elapsed,
                    time_ms now, std::mt19937_64& rng)
{
    const bool stalled = is_stalled(candidate, options, now);
    record_cancellation(candidate);
    record_latency(candidate, options, elapsed);
    candidate.consecutive_failures += 1;
    const bool already_ejected = now < candidate.ejected_until;
    const bool bad = stalled || candidate.consecutive_failures >= options.ejection_failures;
    // Calls that were in flight at the ejection must not extend the back-off.
    if (bad && !already_ejected)
    {
        eject(candidate, options, now, rng);
    }
}

void record_refusal(endpoint_candidate& candidate, const balance_options& options,
                    std::optional<int> reported_in_flight, time_ms now)
{
    record_cancellation(candidate);
    record_report(candidate, reported_in_flight, now);
    candidate.full_until = now + options.full_duration;
}

void record_cancellation(endpoint_candidate& candidate)
{
    candidate.in_flight = std::max(candidate.in_flight - 1, 0);
}

} // namespace sardinepoint
