#include "model/move_cases.hpp"

#include <docopt/docopt.h>
#include <fmt/format.h>

#include <cstdlib>
#include <exception>
#include <string>
#include <vector>

namespace
{

using namespace sardinepoint;

constexpr const char* usage =
    R"(Evaluates the decisions of moves over seeded random cases on a virtual clock.

Usage:
  move_bench [--cases=N] [--seed=N] [--threads=N] [--kind=TEXT] [--schedule=NAME]
             [--aggregators=N] [--list]
  move_bench --help

Options:
  --cases=N        cases per kind and deployment [default: 1000]
  --seed=N         seed of the first case [default: 1]
  --threads=N      worker threads [default: 8]
  --kind=TEXT      run only the kinds whose name contains the text [default: ]
  --schedule=NAME  default, five-percent or even [default: default]
  --aggregators=N  simulated aggregators with the same evidence [default: 1]
  --list           list the late and the wrongly decided cases instead of the table
)";

std::vector<move_step> named_schedule(const std::string& name)
{
    if (name == "five-percent")
    {
        return {{.share = 5, .start_fraction = 0},
                {.share = 25, .start_fraction = 0.9},
                {.share = 50, .start_fraction = 0.93},
                {.share = 100, .start_fraction = 0.96}};
    }
    if (name == "even")
    {
        return {{.share = 1, .start_fraction = 0},    {.share = 5, .start_fraction = 0.15},
                {.share = 10, .start_fraction = 0.3}, {.share = 25, .start_fraction = 0.45},
                {.share = 50, .start_fraction = 0.6}, {.share = 75, .start_fraction = 0.75},
                {.share = 100, .start_fraction = 0.9}};
    }
    return default_move_steps();
}

std::string describe_targets(const bench::target_check& check)
{
    std::string missed;
    const auto add = [&](bool met, const char* name)
    {
        if (!met)
        {
            missed += missed.empty() ? "missed: " : ", ";
            missed += name;
        }
    };
    add(check.on_time, "on time");
    add(check.withdrawn, "withdrawn");
    add(check.wrongly_withdrawn, "wrongly withdrawn");
    add(check.share_before, "share before");
    add(check.late_calls, "calls after 2 s");
    return missed.empty() ? "met" : missed;
}

std::string describe_baseline(const bench::case_kind& kind, const bench::kind_summary& summary)
{
    if (kind.signal == bench::fault_signal::none)
    {
        return fmt::format("{:.1f} on time, {:.1f} wrong", summary.on_time_percent,
                           summary.withdrawn_percent);
    }
    return fmt::format("{:.1f} withdrawn, {:.0f} before, {:.0f} after", summary.withdrawn_percent,
                       summary.share_before_percent, summary.calls_after_median);
}

void print_row(const bench::case_kind& kind, const bench::kind_summary& gated,
               const bench::kind_summary& timetable, const bench::kind_summary& all_at_once)
{
    const bool bad = kind.signal != bench::fault_signal::none;
    const std::string dash = "-";
    const auto for_good = [&](double value)
    {
        return bad ? dash : fmt::format("{:.2f}", value);
    };
    const auto for_bad = [&](const std::string& text)
    {
        return bad ? text : dash;
    };
    fmt::print(
        "| {} | {} | {} | {} | {} | {} | {} | {} | {} | {} | {} | {} | {} |\n", kind.name,
        gated.counted, for_good(gated.on_time_percent),
        for_bad(fmt::format("{:.2f}", gated.withdrawn_percent)),
        for_bad(fmt::format("{} of {}", gated.shown_withdrawn, gated.shown_cases)),
        for_good(gated.withdrawn_percent),
        for_bad(fmt::format("{:.2f} / {:.2f}", gated.share_before_percent,
                            gated.max_share_before_percent)),
        for_bad(fmt::format("{:.0f} / {:.0f}", gated.calls_after_median, gated.calls_after_p99)),
        for_bad(fmt::format("{:.1f} / {:.1f}", gated.seconds_median, gated.seconds_p99)),
        for_bad(fmt::format("{:.0f}", gated.late_calls)),
        describe_targets(bench::check_targets(kind, gated)), describe_baseline(kind, timetable),
        describe_baseline(kind, all_at_once));
    std::fflush(stdout);
}

void list_missed(const bench::case_kind& kind, const std::vector<bench::case_result>& results)
{
    for (const bench::case_result& result : results)
    {
        if (bench::is_missed(kind, result))
        {
            fmt::print("kind=\"{}\" seed={} signal={} magnitude={:.3f} shown_at={:.4f} affected={} "
                       "on_time={} withdrawn_at={:.4f}\n",
                       kind.name, result.seed, result.slowness ? "slowness" : "errors",
                       result.magnitude, result.fault_fraction, result.affected, result.on_time,
                       result.withdrawn_fraction);
        }
    }
}

void print_header(const bench::bench_options& options)
{
    fmt::print("seed {}, {} cases per kind and deployment\n\n", options.seed, options.cases);
    fmt::print("| kind | cases | on time % | withdrawn % | of those with 50 affected calls | "
               "wrongly withdrawn % | share before the "
               "fault showed %, all / most | calls after, median / 99% | s to zero share, median "
               "/ 99% | calls > 2 s after withdrawal | targets | timetable | all at once |\n");
    fmt::print("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
}

int run(int argc, char** argv)
{
    const auto arguments = docopt::docopt(usage, {argv + 1, argv + argc}, true);
    const bench::bench_options options{
        .seed = static_cast<std::uint64_t>(arguments.at("--seed").asLong()),
        .cases = static_cast<std::size_t>(arguments.at("--cases").asLong()),
        .threads = static_cast<unsigned>(arguments.at("--threads").asLong()),
        .aggregators = static_cast<std::size_t>(arguments.at("--aggregators").asLong())};
    const std::string kind_filter = arguments.at("--kind").asString();
    bench::strategy gated = bench::gated_strategy();
    gated.steps = named_schedule(arguments.at("--schedule").asString());
    if (!arguments.at("--list").asBool())
    {
        print_header(options);
    }
    for (std::size_t index = 0; index < bench::case_kinds().size(); ++index)
    {
        const bench::case_kind& kind = bench::case_kinds()[index];
        if (kind.name.find(kind_filter) == std::string_view::npos)
        {
            continue;
        }
        if (arguments.at("--list").asBool())
        {
            list_missed(kind, bench::run_kind(index, gated, options));
            continue;
        }
        const auto measure = [&](const bench::strategy& plan)
        {
            return bench::summarize(kind, bench::run_kind(index, plan, options));
        };
        print_row(kind, measure(gated), measure(bench::timetable_strategy()),
                  measure(bench::all_at_once_strategy()));
    }
    return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        return run(argc, argv);
    }
    catch (const std::exception& failure)
    {
        fmt::print(stderr, "move_bench: {}\n", failure.what());
        return EXIT_FAILURE;
    }
}
