// Simulates load scenarios on a virtual clock and compares two admission and placement policies
// over several seeds.

#include "model/load_model.hpp"

#include <docopt/docopt.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <fstream>
#include <iostream>
#include <sstream>

using namespace model;

namespace
{

constexpr char usage[] = R"(Simulates load scenarios on a virtual clock and compares two policies.

Usage:
  load_model SCENARIO... [--policy=P] [--against=P] [--seeds=N] [--plot=FILE]
  load_model --keys
  load_model --help

Options:
  --policy=P    Settings of the first policy, key=number,... [default: ].
  --against=P   Settings of the second policy; without it only the first is simulated.
  --seeds=N     Simulates with the seeds 1 to N [default: 10].
  --plot=FILE   Writes the achieved utility per second of both policies as SVG.
  --keys        Prints the keys of the policy settings.
)";

/** Mean and half the width of its 95% confidence interval. */
struct estimate
{
    double mean = 0;
    double half_width = 0;
};

/** Two-sided 95% quantile of Student's t distribution; beyond the table that of the normal
 * distribution. */
double t_quantile(std::size_t degrees_of_freedom)
{
    constexpr std::array<double, 15> table{12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31,
                                           2.26,  2.23, 2.20, 2.18, 2.16, 2.14, 2.13};
    constexpr double normal = 1.96;
    return degrees_of_freedom == 0              ? 0
           : degrees_of_freedom <= table.size() ? table[degrees_of_freedom - 1]
                                                : normal;
}

estimate estimate_mean(const std::vector<double>& values)
{
    estimate result;
    for (const double value : values)
    {
        result.mean += value / static_cast<double>(values.size());
    }
    if (values.size() < 2)
    {
        return result;
    }
    double squares = 0;
    for (const double value : values)
    {
        squares += (value - result.mean) * (value - result.mean);
    }
    const auto count = static_cast<double>(values.size());
    result.half_width = t_quantile(values.size() - 1) * std::sqrt(squares / (count - 1) / count);
    return result;
}

std::vector<run_metrics> run_all_seeds(const scenario& plan, const policy& evaluated_policy,
                                       int seeds)
{
    std::vector<run_metrics> all;
    for (int seed = 1; seed <= seeds; ++seed)
    {
        all.push_back(run_scenario(plan, evaluated_policy, static_cast<std::uint64_t>(seed)));
    }
    return all;
}

template <typename Field>
estimate estimate_field(const std::vector<run_metrics>& all, Field field)
{
    std::vector<double> values;
    values.reserve(all.size());
    for (const run_metrics& metrics : all)
    {
        values.push_back(field(metrics));
    }
    return estimate_mean(values);
}

void print_figures(const scenario& plan, std::string_view label,
                   const std::vector<run_metrics>& all)
{
    const auto print_metric = [&](std::string_view name, auto field)
    {
        const estimate value = estimate_field(all, field);
        fmt::print(" {}={:.3f}±{:.3f}", name, value.mean, value.half_width);
    };
    fmt::print("{} {}:", plan.name, label);
    print_metric("total", [](const run_metrics& metrics) { return metrics.total; });
    print_metric("whole", [](const run_metrics& metrics) { return metrics.utility_fraction; });
    print_metric("windows", [](const run_metrics& metrics) { return metrics.worst_seconds; });
    print_metric("route", [](const run_metrics& metrics) { return metrics.worst_route; });
    print_metric("locality", [](const run_metrics& metrics) { return metrics.worst_locality; });
    print_metric("served", [](const run_metrics& metrics) { return metrics.served; });
    print_metric("refused_again", [](const run_metrics& metrics) { return metrics.refused_again; });
    print_metric("put_behind",
                 [](const run_metrics& metrics) { return metrics.priority_inversion; });
    print_metric("failed_inner", [](const run_metrics& metrics) { return metrics.failed_inner; });
    fmt::print("\n ");
    print_metric("p99_ms", [](const run_metrics& metrics) { return metrics.p99_ms; });
    const auto print_percent = [&](std::string_view name, double run_metrics::*field)
    {
        print_metric(name, [&](const run_metrics& metrics) { return 100 * (metrics.*field); });
    };
    print_percent("late_percent", &run_metrics::late);
    print_percent("hedges_percent", &run_metrics::hedges);
    print_percent("extra_work_percent", &run_metrics::extra_work);
    fmt::print("\n");
    for (std::size_t route = 0; route < plan.routes.size(); ++route)
    {
        fmt::print("  {}:", plan.routes[route].name);
        const auto print_fraction = [&](std::string_view name, int route_metrics::*field)
        {
            print_metric(name,
                         [&](const run_metrics& metrics)
                         {
                             const route_metrics& sum = metrics.routes[route];
                             return sum.calls > 0 ? static_cast<double>(sum.*field) / sum.calls : 0;
                         });
        };
        print_fraction("in_goal", &route_metrics::within_latency_target);
        print_fraction("late", &route_metrics::late);
        print_fraction("refused", &route_metrics::refused);
        print_fraction("failed", &route_metrics::failed);
        fmt::print("\n");
    }
}

std::string make_polyline(const std::vector<run_metrics>& all, std::string_view colour)
{
    constexpr double width = 640;
    constexpr double height = 240;
    std::string points;
    const std::size_t seconds = all.front().seconds.size();
    for (std::size_t second = 0; second < seconds; ++second)
    {
        double offered_utility = 0;
        double achieved_utility = 0;
        for (const run_metrics& metrics : all)
        {
            offered_utility += metrics.seconds[second].offered_utility;
            achieved_utility += metrics.seconds[second].achieved_utility;
        }
        if (offered_utility > 0)
        {
            points +=
                fmt::format("{:.1f},{:.1f} ",
                            static_cast<double>(second) * width / static_cast<double>(seconds),
                            height * (1 - achieved_utility / offered_utility));
        }
    }
    return fmt::format("<polyline fill=\"none\" stroke=\"{}\" points=\"{}\"/>\n", colour, points);
}

bool write_plot(const std::string& path, const scenario& plan,
                const std::vector<run_metrics>& first, const std::vector<run_metrics>& second)
{
    std::ofstream file(path);
    file << "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"-40 -30 700 300\" "
            "font-family=\"sans-serif\" font-size=\"11\">\n"
         << "<text x=\"0\" y=\"-12\">" << plan.name
         << ": achieved fraction of the offered utility per second (blue: first policy, red: "
            "second)</text>\n"
         << "<rect width=\"640\" height=\"240\" fill=\"none\" stroke=\"#999\"/>\n"
         << "<text x=\"-30\" y=\"8\">1.0</text><text x=\"-30\" y=\"240\">0.0</text>\n"
         << make_polyline(first, "#1f5fbf");
    if (!second.empty())
    {
        file << make_polyline(second, "#bf2f1f");
    }
    file << "</svg>\n";
    return static_cast<bool>(file);
}

std::optional<scenario> load_scenario(const std::string& path)
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    sardinepoint::error reason;
    auto plan = parse_scenario(text.str(), reason);
    if (!file || !plan)
    {
        std::cerr << "scenario '" << path << "': "
                  << (file ? describe(reason)
                           : std::string("cannot be read; check the path and its permissions"))
                  << "\n";
        return std::nullopt;
    }
    return plan;
}

int fail(const sardinepoint::error& reason)
{
    std::cerr << describe(reason) << "\n";
    return 2;
}

} // namespace

int main(int argc, char** argv)
{
    const auto arguments = docopt::docopt(usage, {argv + 1, argv + argc}, true);
    if (arguments.at("--keys").asBool())
    {
        for (const std::string& key : policy_keys())
        {
            fmt::print("{}\n", key);
        }
        return 0;
    }
    sardinepoint::error reason;
    const auto first = parse_policy(arguments.at("--policy").asString(), reason);
    const bool has_second_policy = static_cast<bool>(arguments.at("--against"));
    const auto second = parse_policy(
        has_second_policy ? arguments.at("--against").asString() : std::string(), reason);
    if (!first || !second)
    {
        return fail(reason);
    }
    const int seeds = std::max(1, static_cast<int>(arguments.at("--seeds").asLong()));
    for (const std::string& path : arguments.at("SCENARIO").asStringList())
    {
        const auto plan = load_scenario(path);
        if (!plan)
        {
            return 2;
        }
        const auto first_metrics = run_all_seeds(*plan, *first, seeds);
        print_figures(*plan, "first", first_metrics);
        std::vector<run_metrics> second_metrics;
        if (has_second_policy)
        {
            second_metrics = run_all_seeds(*plan, *second, seeds);
            print_figures(*plan, "second", second_metrics);
            const auto print_change = [&](std::string_view name, double run_metrics::*field)
            {
                std::vector<double> changes;
                for (std::size_t i = 0; i < first_metrics.size(); ++i)
                {
                    changes.push_back(second_metrics[i].*field - first_metrics[i].*field);
                }
                const estimate change = estimate_mean(changes);
                fmt::print("{} change of {}: {:.4f}±{:.4f} (95%, {} seeds)\n", plan->name, name,
                           change.mean, change.half_width, seeds);
            };
            print_change("p99_ms", &run_metrics::p99_ms);
            print_change("late", &run_metrics::late);
            std::vector<double> gains;
            for (std::size_t i = 0; i < first_metrics.size(); ++i)
            {
                // Pairs the runs by seed, since both start from the same random state.
                gains.push_back(second_metrics[i].total - first_metrics[i].total);
            }
            const estimate gain = estimate_mean(gains);
            fmt::print("{} gain of the second: {:.4f}±{:.4f} (95%, {} seeds)\n", plan->name,
                       gain.mean, gain.half_width, seeds);
        }
        if (arguments.at("--plot") &&
            !write_plot(arguments.at("--plot").asString(), *plan, first_metrics, second_metrics))
        {
            std::cerr << "the plot cannot be written; check the path of --plot\n";
            return 2;
        }
    }
    return 0;
}
