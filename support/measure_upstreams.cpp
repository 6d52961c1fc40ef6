// Measures the data path with real processes: added latency, behaviour under failures, throughput.

#include "rig/load.hpp"
#include "rig/mesh.hpp"

#include <docopt/docopt.h>
#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>

using namespace sardinepoint;
using nlohmann::json;

namespace
{

constexpr const char* usage =
    R"(Measures latency, failure handling and throughput of calls to upstreams; prints a table.

Usage:
  measure_upstreams [options]

Options:
  --build-dir=DIR  Directory of the programs [default: build].
  --rounds=N       Rounds of the latency and the frozen upstream measurements [default: 3].
  --only=NAME      One of latency, frozen, detection, drain, storm, throughput [default: all].
  --seed=N         Seed of the load generator [default: 1].
)";

constexpr time_ms wait_limit_ms = 15000;
constexpr double cpu_measurement_calls = 1000;
const std::string service = "duty-board";

struct measurement_options
{
    std::string build_dir;
    int rounds = 3;
    std::string only;
    std::uint64_t seed = 1;
};

void print_row(std::string_view what, const std::string& value)
{
    std::cout << "| " << what << " | " << value << " |" << std::endl;
}

void require(bool condition, std::string_view what)
{
    if (!condition)
    {
        std::cerr << "measure_upstreams: " << what << " did not happen within the time limit\n";
        std::exit(1);
    }
}

std::unique_ptr<rig::mesh> make_mesh(const measurement_options& settings, std::size_t daemons)
{
    auto mesh = std::make_unique<rig::mesh>(
        rig::mesh_options{.build_dir = settings.build_dir, .name = "measure-upstreams"});
    for (std::size_t i = 0; i < daemons; ++i)
    {
        mesh->add_daemon("vm-" + std::to_string(i), "tallinn-a");
    }
    return mesh;
}

void start_service(rig::mesh& mesh, std::size_t upstreams, const rig::upstream_options& options)
{
    for (std::size_t i = 0; i < upstreams; ++i)
    {
        mesh.add_upstream(mesh.daemons[i], options);
    }
    require(mesh.wait_ready(wait_limit_ms), "readiness");
    mesh.submit(mesh.daemons[0], 0, rig::service_operations(service, "v1", "/duty"));
    require(mesh.wait_version(1, wait_limit_ms), "version 1");
    require(mesh.wait_upstreams(service, upstreams, wait_limit_ms), "announcement");
}

rig::load_options make_load_options(const measurement_options& settings,
                                    std::vector<endpoint> targets, double rate, time_ms duration,
                                    time_ms deadline)
{
    return {.targets = std::move(targets),
            .calls_per_second = rate,
            .duration = duration,
            .deadline = deadline,
            .seed = settings.seed};
}

std::vector<endpoint> data_endpoints(const rig::mesh& mesh)
{
    std::vector<endpoint> targets;
    for (const rig::daemon_node& daemon : mesh.daemons)
    {
        targets.push_back(daemon.data);
    }
    return targets;
}

void measure_latency(const measurement_options& settings)
{
    constexpr double rate = 100;
    constexpr time_ms duration = 4000;
    const auto mesh = make_mesh(settings, 2);
    start_service(*mesh, 1, {});
    const auto run = [&](const endpoint& target)
    {
        return rig::run_load(make_load_options(settings, {target}, rate, duration, 1000));
    };
    run(mesh->daemons[1].data);
    for (int round = 1; round <= settings.rounds; ++round)
    {
        const rig::load_report direct = run(mesh->upstreams[0].address);
        const rig::load_report one_hop = run(mesh->daemons[0].data);
        const double hop_before = rig::cpu_seconds(mesh->daemons[0].child_process->id());
        const double ingress_before = rig::cpu_seconds(mesh->daemons[1].child_process->id());
        const rig::load_report two_hops = run(mesh->daemons[1].data);
        const auto per_thousand = [&](std::size_t daemon, double before)
        {
            return (rig::cpu_seconds(mesh->daemons[daemon].child_process->id()) - before) *
                   cpu_measurement_calls / static_cast<double>(two_hops.calls.size());
        };
        const auto added = [&](const rig::load_report& report, double quantile)
        {
            return rig::latency_quantile(report, quantile) -
                   rig::latency_quantile(direct, quantile);
        };
        print_row(fmt::format("round {}: direct, median / 99%", round),
                  fmt::format("{:.2f} / {:.2f} ms", rig::latency_quantile(direct, 0.5),
                              rig::latency_quantile(direct, 0.99)));
        print_row(fmt::format("round {}: added by one hop, median / 99%", round),
                  fmt::format("{:.2f} / {:.2f} ms", added(one_hop, 0.5), added(one_hop, 0.99)));
        print_row(fmt::format("round {}: added by two hops, median / 99%", round),
                  fmt::format("{:.2f} / {:.2f} ms", added(two_hops, 0.5), added(two_hops, 0.99)));
        print_row(fmt::format("round {}: CPU per 1,000 calls, ingress / local hop", round),
                  fmt::format("{:.2f} / {:.2f} s", per_thousand(1, ingress_before),
                              per_thousand(0, hop_before)));
    }
}

/** Prints the number of failed calls by verdict, outcome and reason. */
void print_failures(const rig::load_report& report)
{
    std::map<std::string, int> reasons;
    for (const rig::load_call& call : report.calls)
    {
        if (call.verdict != rig::load_verdict::success)
        {
            ++reasons[fmt::format("{}, {}, {}", to_string(call.verdict), call.outcome,
                                  call.reason)];
        }
    }
    for (const auto& [reason, count] : reasons)
    {
        print_row("- failed: " + reason, std::to_string(count));
    }
}

/** Freezes one of six upstreams while 80% of the slots are in use. */
void measure_frozen(const measurement_options& settings, time_ms processing_time, time_ms deadline)
{
    constexpr double used_slots = 72;
    constexpr double ms_per_second = 1000;
    const double rate = used_slots * ms_per_second / static_cast<double>(processing_time);
    for (int round = 1; round <= settings.rounds; ++round)
    {
        const auto mesh = make_mesh(settings, 6);
        start_service(*mesh, 6, {.slots = 15, .processing_time = processing_time});
        rig::background_load load(
            make_load_options(settings, data_endpoints(*mesh), rate, 7000, deadline));
        require(rig::wait_until(wait_limit_ms,
                                [&] { return static_cast<double>(load.ended()) > 2 * rate; }),
                "load before the freeze");
        mesh->upstreams[2].child_process->signal(SIGSTOP);
        const rig::load_report report = load.finish();
        print_row(fmt::format("round {}: one of six frozen, {} ms calls, {} ms deadline", round,
                              processing_time, deadline),
                  fmt::format("{} of {} calls succeed ({:.3f}%), 99% in {:.0f} ms",
                              rig::count_verdict(report, rig::load_verdict::success),
                              report.calls.size(), 100 * rig::success_fraction(report),
                              rig::latency_quantile(report, 0.99)));
        print_failures(report);
    }
}

time_ms measure_detection_time(const rig::mesh& mesh, std::size_t count)
{
    const time_ms started = steady_now();
    require(rig::wait_until(wait_limit_ms,
                            [&]
                            {
                                const json status = rig::status_of(mesh.daemons[0]);
                                std::size_t found = 0;
                                for (const json& member : status["members"])
                                {
                                    found +=
                                        member["state"] == "alive" ? member["upstreams"].size() : 0;
                                }
                                return found == count;
                            }),
            "detection");
    return steady_now() - started;
}

void measure_detection(const measurement_options& settings)
{
    const auto mesh = make_mesh(settings, 5);
    start_service(*mesh, 5, {});
    const auto measure =
        [&](std::string_view what, const rig::process& failing, int signal, std::size_t remaining)
    {
        failing.signal(signal);
        print_row(what, fmt::format("{} ms", measure_detection_time(*mesh, remaining)));
    };
    measure("detection of a killed upstream", *mesh->upstreams[1].child_process, SIGKILL, 4);
    measure("detection of a frozen upstream", *mesh->upstreams[2].child_process, SIGSTOP, 3);
    measure("detection of a killed daemon", *mesh->daemons[3].child_process, SIGKILL, 2);
    measure("detection of a frozen daemon", *mesh->daemons[4].child_process, SIGSTOP, 1);
}

void measure_drain(const measurement_options& settings)
{
    const auto mesh = make_mesh(settings, 4);
    start_service(*mesh, 4, {.processing_time = 60});
    rig::background_load load(make_load_options(settings, data_endpoints(*mesh), 200, 5500, 1000));
    require(rig::wait_until(wait_limit_ms, [&] { return load.ended() > 200; }), "load");
    const time_ms started = wall_now();
    rig::post_json(mesh->daemons[0].control, "/v1/drain", {{"member", "vm-1"}});
    const rig::load_report report = load.finish();
    const json stats = rig::get_json(mesh->upstreams[1].address, "/standin/stats");
    print_row("drain: last new call after the operator's request",
              fmt::format("{} ms, {} cancelled, {:.3f}% of calls succeed",
                          std::max<time_ms>(stats["last_call_ms"].get<time_ms>() - started, 0),
                          stats["cancelled"].get<int>(), 100 * rig::success_fraction(report)));
}

void measure_restart(const measurement_options& settings)
{
    constexpr std::size_t daemons = 6;
    const auto mesh = make_mesh(settings, daemons);
    start_service(*mesh, daemons, {});
    rig::background_load load(make_load_options(settings, data_endpoints(*mesh), 300, 9000, 1000));
    require(rig::wait_until(wait_limit_ms, [&] { return load.ended() > 300; }), "load");
    for (rig::daemon_node& daemon : mesh->daemons)
    {
        daemon.child_process->signal(SIGKILL);
    }
    const time_ms started = steady_now();
    for (rig::daemon_node& daemon : mesh->daemons)
    {
        mesh->restart(daemon);
    }
    require(mesh->wait_upstreams(service, daemons, wait_limit_ms), "recovery");
    print_row("restart of all 6 daemons: time until every daemon knows all upstreams",
              fmt::format("{} ms", steady_now() - started));
    load.finish();
    std::uint64_t max_calls = 0;
    for (const rig::upstream_node& upstream : mesh->upstreams)
    {
        const json stats = rig::get_json(upstream.address, "/standin/stats");
        max_calls = std::max(max_calls, stats["most_calls_in_second"].get<std::uint64_t>());
    }
    print_row("restart of all 6 daemons: maximum calls per second at one upstream (offered: 300/s "
              "in total)",
              std::to_string(max_calls));
    print_row("restart of all 6 daemons: maximum log reads per second",
              mesh->log_stats()["most_reads_in_second"].dump());
}

void measure_throughput(const measurement_options& settings)
{
    const auto mesh = make_mesh(settings, 1);
    start_service(*mesh, 1, {.slots = 100, .connections = 200, .processing_time = 5});
    constexpr time_ms step = 2000;
    for (const double rate : {500.0, 1000.0, 1500.0, 2000.0, 3000.0, 4000.0})
    {
        const rig::load_report report =
            rig::run_load(make_load_options(settings, {mesh->daemons[0].data}, rate, step, 1000));
        print_row(fmt::format("one daemon at {:.0f} calls/s, one hop", rate),
                  fmt::format("{:.2f}% succeed, 99% in {:.1f} ms",
                              100 * rig::success_fraction(report),
                              rig::latency_quantile(report, 0.99)));
        print_failures(report);
    }
}

void print_load_average()
{
    std::ifstream file("/proc/loadavg");
    double last_minute = 0;
    file >> last_minute;
    print_row("load average of the machine, last minute", fmt::format("{:.1f}", last_minute));
}

} // namespace

int main(int argc, char** argv)
{
    auto args = docopt::docopt(usage, {argv + 1, argv + argc}, true);
    const measurement_options settings{
        .build_dir = std::filesystem::absolute(args["--build-dir"].asString()),
        .rounds = static_cast<int>(args["--rounds"].asLong()),
        .only = args["--only"].asString(),
        .seed = static_cast<std::uint64_t>(args["--seed"].asLong())};
    const auto chosen = [&](std::string_view name)
    {
        return settings.only == "all" || settings.only == name;
    };
    std::cout << "| measurement | value |\n| --- | --- |" << std::endl;
    print_load_average();
    if (chosen("latency"))
    {
        measure_latency(settings);
    }
    if (chosen("frozen"))
    {
        measure_frozen(settings, 200, 2000);
        measure_frozen(settings, 100, 1000);
    }
    if (chosen("detection"))
    {
        measure_detection(settings);
    }
    if (chosen("drain"))
    {
        measure_drain(settings);
    }
    if (chosen("storm"))
    {
        measure_restart(settings);
    }
    if (chosen("throughput"))
    {
        measure_throughput(settings);
    }
    print_load_average();
    return 0;
}
