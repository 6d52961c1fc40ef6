#include "model/move_cases.hpp"

#include <algorithm>
#include <atomic>
#include <cmath>
#include <thread>

namespace sardinepoint::bench
{

namespace
{

double quantile(std::vector<double> values, double fraction)
{
    if (values.empty())
    {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const double position = std::ceil(fraction * static_cast<double>(values.size())) - 1;
    return values[static_cast<std::size_t>(std::max(position, 0.0))];
}

/** Affected calls from which on a bad version is expected to be withdrawn. */
constexpr std::uint64_t min_affected_calls = 50;

/** Whether a bad version affected enough calls and was not withdrawn. */
bool is_missed_fault(const case_kind& kind, const case_result& result)
{
    return kind.signal != fault_signal::none && result.affected >= min_affected_calls &&
           !result.withdrawn;
}

} // namespace

bool is_missed(const case_kind& kind, const case_result& result)
{
    return kind.signal == fault_signal::none ? !result.on_time : is_missed_fault(kind, result);
}

kind_summary summarize(const case_kind& kind, const std::vector<case_result>& results)
{
    // With fewer calls, the random routing of single calls dominates the share.
    constexpr std::uint64_t min_calls_for_share = 1'000;
    const bool bad = kind.signal != fault_signal::none;
    kind_summary summary{.cases = results.size()};
    std::size_t withdrawn = 0;
    std::size_t on_time = 0;
    double new_calls_before_fault = 0;
    double all_calls_before_fault = 0;
    std::vector<double> calls_after;
    std::vector<double> seconds;
    for (const case_result& result : results)
    {
        summary.late_calls += result.late_calls;
        on_time += result.on_time ? 1 : 0;
        if (bad && result.affected >= min_affected_calls)
        {
            ++summary.shown_cases;
            summary.shown_withdrawn += result.withdrawn ? 1 : 0;
        }
        if (is_missed_fault(kind, result) || !bad || result.withdrawn)
        {
            ++summary.counted;
        }
        else
        {
            continue;
        }
        withdrawn += result.withdrawn ? 1 : 0;
        if (!bad)
        {
            continue;
        }
        const auto before = static_cast<double>(result.new_calls_before_fault);
        const auto all = static_cast<double>(result.all_calls_before_fault);
        new_calls_before_fault += before;
        all_calls_before_fault += all;
        if (result.all_calls_before_fault >= min_calls_for_share)
        {
            summary.max_share_before_percent =
                std::max(summary.max_share_before_percent, 100 * before / all);
        }
        calls_after.push_back(static_cast<double>(result.new_calls_after_fault));
        if (result.withdrawn)
        {
            seconds.push_back(result.seconds_to_zero);
        }
    }
    const auto percent = [](std::size_t count, std::size_t total)
    {
        return total == 0 ? 0 : 100.0 * static_cast<double>(count) / static_cast<double>(total);
    };
    summary.on_time_percent = percent(on_time, summary.cases);
    summary.withdrawn_percent = percent(withdrawn, summary.counted);
    summary.share_before_percent =
        all_calls_before_fault > 0 ? 100 * new_calls_before_fault / all_calls_before_fault : 0;
    summary.calls_after_median = quantile(calls_after, 0.5);
    summary.calls_after_p99 = quantile(calls_after, 0.99);
    summary.seconds_median = quantile(seconds, 0.5);
    summary.seconds_p99 = quantile(seconds, 0.99);
    return summary;
}

target_check check_targets(const case_kind& kind, const kind_summary& summary)
{
    if (kind.signal == fault_signal::none)
    {
        return {.on_time = summary.on_time_percent >= 99.5,
                .wrongly_withdrawn = summary.withdrawn_percent <= 0.5};
    }
    return {.withdrawn = summary.counted == 0 || summary.withdrawn_percent >= 99.5,
            .share_before =
                summary.share_before_percent <= 5 && summary.max_share_before_percent <= 5,
            .late_calls = summary.late_calls == 0};
}

std::vector<case_result> run_kind(std::size_t kind_index, const strategy& plan,
                                  const bench_options& options)
{
    const case_kind& kind = case_kinds().at(kind_index);
    const std::size_t total = options.cases * deployments.size();
    std::vector<case_result> results(total);
    std::atomic<std::size_t> next = 0;
    const auto work = [&]()
    {
        for (std::size_t index = next++; index < total; index = next++)
        {
            const auto& services = deployments[index / options.cases];
            const service_size& size = services[index % services.size()];
            const std::uint64_t seed =
                (options.seed << 40) + (static_cast<std::uint64_t>(kind_index) << 24) + index;
            results[index] = run_case(kind, plan, size, seed, options.aggregators);
        }
    };
    std::vector<std::thread> workers;
    for (unsigned thread = 1; thread < options.threads; ++thread)
    {
        workers.emplace_back(work);
    }
    work();
    for (std::thread& worker : workers)
    {
        worker.join();
    }
    return results;
}

} // namespace sardinepoint::bench
