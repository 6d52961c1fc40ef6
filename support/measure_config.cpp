// Measures configuration propagation in meshes of several sizes: the time from the acceptance of a
// patch until all daemons apply it, the same after a partition heals, control traffic, log readers,
// and CPU time and memory per daemon.

#include "rig/mesh.hpp"

#include "sardinepoint/logging.hpp"

#include <docopt/docopt.h>
#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <iostream>
#include <set>
#include <sstream>
#include <string>
#include <vector>

using namespace sardinepoint;
using nlohmann::json;

namespace
{

constexpr const char* usage =
    R"(Measures configuration propagation in a mesh of real processes.

Usage:
  measure_config [--build-dir=DIR] [--spread=SIZES] [--sizes=SIZES] [--patches=N] [--heals=N]
                 [--idle-ms=N] [--only=PART]

Options:
  --build-dir=DIR  Directory of the programs [default: build].
  --spread=SIZES   Numbers of daemons for the propagation time [default: 6,12].
  --sizes=SIZES    Numbers of daemons for control traffic, CPU and memory [default: 8,16,32,64].
  --patches=N      Patches for each size in --spread [default: 200].
  --heals=N        Partitions that heal [default: 10].
  --idle-ms=N      Duration of the idle interval in ms [default: 10000].
  --only=PART      One of spread, heal, size, restart.
)";

constexpr time_ms start_limit_ms = 60000;
constexpr time_ms propagation_limit_ms = 10000;
constexpr int records_per_size = 40;
constexpr time_ms propagation_wait_ms = 1500;
const std::vector<std::string> domain_names{"tallinn-a", "tallinn-b", "rakvere"};

std::vector<std::size_t> parse_sizes(const std::string& text)
{
    std::vector<std::size_t> sizes;
    std::istringstream list(text);
    std::string item;
    while (std::getline(list, item, ','))
    {
        sizes.push_back(std::stoul(item));
    }
    return sizes;
}

void add_daemons(rig::mesh& mesh, std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i)
    {
        const std::string& domain = domain_names[i % domain_names.size()];
        mesh.add_daemon(domain + "-" + std::to_string(i), domain);
    }
}

bool start(rig::mesh& mesh, std::size_t count)
{
    add_daemons(mesh, count);
    const auto is_joined = [&mesh](const rig::daemon_node& daemon)
    {
        const json status = rig::status_of(daemon);
        const std::size_t own_domain_daemons = static_cast<std::size_t>(std::count_if(
            mesh.daemons.begin(), mesh.daemons.end(),
            [&](const rig::daemon_node& other) { return other.domain == daemon.domain; }));
        return status.is_object() && status["members"].size() == own_domain_daemons &&
               status["domains"].size() + 1 == domain_names.size();
    };
    return mesh.wait_ready(start_limit_ms) &&
           rig::wait_until(
               start_limit_ms,
               [&] { return std::all_of(mesh.daemons.begin(), mesh.daemons.end(), is_joined); });
}

/** Measures the propagation time of patches. Polls all daemons concurrently over persistent
 * connections until each has the new version. */
class propagation_meter
{
public:
    explicit propagation_meter(const rig::mesh& mesh) : mesh(&mesh)
    {
        this->client = open_http_client(*this->loop, {});
    }

    /** Submits patches one after the other and returns, for each, the milliseconds from its
     * acceptance until all daemons have it. Stops at the first patch that is rejected or exceeds
     * the time limit. */
    std::vector<double> measure(int patches)
    {
        this->patches = patches;
        this->submit();
        run(*this->loop);
        return this->times;
    }

private:
    void submit()
    {
        const std::uint64_t base = this->times.size();
        this->target_version = base + 1;
        this->accepted_at = 0;
        this->last_seen = 0;
        this->pending_daemons = this->mesh->daemons.size();
        const std::string name = "service-" + std::to_string(base % 20);
        const json patch{
            {"id", "measured-" + std::to_string(base)},
            {"base", base},
            {"ops", rig::service_operations(name, "v" + std::to_string(base + 1), "/" + name)}};
        const rig::daemon_node& submitter = this->mesh->daemons[base % this->mesh->daemons.size()];
        send_request(*this->client,
                     {.method = "POST",
                      .url = "http://" + to_string(submitter.control) + "/v1/patches",
                      .body = patch.dump()},
                     [this](const http_result& result)
                     {
                         if (result.response.status != 200)
                         {
                             std::cout << "the patch was rejected: " << result.response.body
                                       << "\n";
                             stop(*this->loop);
                             return;
                         }
                         this->accepted_at = steady_now_us();
                         this->finish_if_done();
                     });
        for (const rig::daemon_node& daemon : this->mesh->daemons)
        {
            this->poll_version(daemon);
        }
        this->limit_timer =
            run_after(*this->loop, propagation_limit_ms, [this] { stop(*this->loop); });
    }

    void poll_version(const rig::daemon_node& daemon)
    {
        send_request(*this->client, {.url = "http://" + to_string(daemon.control) + "/metrics"},
                     [this, &daemon](const http_result& result)
                     {
                         if (parse_version(result.response.body) >= this->target_version)
                         {
                             --this->pending_daemons;
                             this->last_seen = steady_now_us();
                             this->finish_if_done();
                             return;
                         }
                         run_after(*this->loop, 1, [this, &daemon] { this->poll_version(daemon); });
                     });
    }

    static std::uint64_t parse_version(const std::string& metrics)
    {
        std::istringstream lines(metrics);
        std::string line;
        while (std::getline(lines, line))
        {
            const std::size_t found = line.find("version ");
            if (line[0] != '#' && found != std::string::npos)
            {
                return static_cast<std::uint64_t>(std::stod(line.substr(found + 8)));
            }
        }
        return 0;
    }

    void finish_if_done()
    {
        if (this->pending_daemons > 0 || this->accepted_at == 0)
        {
            return;
        }
        constexpr double us_per_ms = 1000;
        this->times.push_back(
            std::max(0.0, static_cast<double>(this->last_seen - this->accepted_at) / us_per_ms));
        cancel_timer(*this->loop, this->limit_timer);
        if (this->times.size() == static_cast<std::size_t>(this->patches))
        {
            stop(*this->loop);
            return;
        }
        run_after(*this->loop, 1, [this] { this->submit(); });
    }

    const rig::mesh* mesh;
    event_loop_ptr loop = make_event_loop();
    http_client_ptr client;
    std::uint64_t target_version = 0;
    std::int64_t accepted_at = 0;
    std::int64_t last_seen = 0;
    std::size_t pending_daemons = 0;
    int patches = 0;
    timer_id limit_timer;
    std::vector<double> times;
};

double quantile(std::vector<double> values, double fraction)
{
    if (values.empty())
    {
        return -1;
    }
    std::sort(values.begin(), values.end());
    const auto rank =
        static_cast<std::size_t>(std::ceil(fraction * static_cast<double>(values.size())));
    return values[std::max<std::size_t>(rank, 1) - 1];
}

void measure_propagation(const std::string& build_dir, const std::vector<std::size_t>& sizes,
                         int patches)
{
    std::cout << "| daemons | patches | median ms | 99% ms | max ms | not applied within 10 s |\n"
                 "| --- | --- | --- | --- | --- | --- |\n";
    for (const std::size_t size : sizes)
    {
        rig::mesh mesh{{.build_dir = build_dir, .log_level = "warning", .name = "measure"}};
        if (!start(mesh, size))
        {
            std::cout << "| " << size << " | the mesh did not start |\n";
            continue;
        }
        propagation_meter watch(mesh);
        const std::vector<double> times = watch.measure(patches);
        const std::size_t failed = static_cast<std::size_t>(patches) - times.size();
        std::cout << fmt::format("| {} | {} | {:.1f} | {:.1f} | {:.1f} | {} |\n", size,
                                 times.size(), quantile(times, 0.5), quantile(times, 0.99),
                                 quantile(times, 1), failed)
                  << std::flush;
    }
}

void measure_heal(const std::string& build_dir, int heals)
{
    constexpr std::size_t size = 6;
    constexpr time_ms partition_ms = 2500;
    rig::mesh mesh{
        {.build_dir = build_dir, .log_level = "warning", .relayed = true, .name = "measure"}};
    if (!start(mesh, size))
    {
        std::cout << "the mesh did not start\n";
        return;
    }
    std::vector<double> times;
    for (int i = 0; i < heals; ++i)
    {
        mesh.isolate("rakvere", true, i % 2 == 0 ? "hold" : "close");
        const auto version = static_cast<std::uint64_t>(i);
        mesh.submit(mesh.daemons[0], version, rig::service_operations("duty", "v1", "/duty"));
        // Lasts long enough for the suspicion period and the request timeouts to expire.
        rig::pause(partition_ms);
        mesh.set_link_faults({});
        const std::int64_t healed = steady_now_us();
        if (mesh.wait_version(version + 1, propagation_limit_ms))
        {
            constexpr double us_per_ms = 1000;
            times.push_back(static_cast<double>(steady_now_us() - healed) / us_per_ms);
        }
    }
    std::cout << "| healed partitions | applied in time | median ms | max ms |\n| --- | --- | --- "
                 "| --- |\n"
              << fmt::format("| {} | {} | {:.0f} | {:.0f} |\n", heals, times.size(),
                             quantile(times, 0.5), quantile(times, 1))
              << std::flush;
}

/** Totals over all daemons at one time. Sizes are in bytes, CPU time is in seconds. */
struct totals
{
    double control_bytes = 0;
    /** Size of the status responses that were read here; the daemons count them as control bytes
     * afterwards. */
    double status_bytes = 0;
    double version_sum = 0;
    double cpu_s = 0;
    double resident_bytes = 0;
    std::int64_t read_at = 0;
};

totals read_totals(const rig::mesh& mesh)
{
    totals sum;
    sum.read_at = steady_now_us();
    for (const rig::daemon_node& daemon : mesh.daemons)
    {
        const json status = rig::status_of(daemon);
        sum.control_bytes += status.is_object() ? status.value("control_bytes", 0.0) : 0;
        sum.status_bytes += static_cast<double>(status.dump().size());
        sum.version_sum += status.is_object() ? status.value("version", 0.0) : 0;
        sum.cpu_s += rig::cpu_seconds(daemon.child_process->id());
        sum.resident_bytes += static_cast<double>(rig::resident_bytes(daemon.child_process->id()));
    }
    return sum;
}

/** Maximum, over the failure domains, of the number of daemons that read the log between two states
 * of its counters. */
std::size_t max_readers(const json& before, const json& after)
{
    std::map<std::string, std::size_t> readers;
    for (const auto& [client, reads] : after["reads_by_client"].items())
    {
        if (reads > before["reads_by_client"].value(client, std::uint64_t{0}))
        {
            ++readers[client.substr(0, client.rfind('-'))];
        }
    }
    std::size_t max_count = 0;
    for (const auto& [domain, count] : readers)
    {
        max_count = std::max(max_count, count);
    }
    return max_count;
}

void measure_sizes(const std::string& build_dir, const std::vector<std::size_t>& sizes,
                   time_ms idle_ms)
{
    std::cout
        << "| daemons | idle B/s per daemon | B per record and daemon | log readers per domain "
           "| % of a core per daemon | resident MB per daemon |\n"
           "| --- | --- | --- | --- | --- | --- |\n";
    for (const std::size_t size : sizes)
    {
        rig::mesh mesh{{.build_dir = build_dir, .log_level = "warning", .name = "measure"}};
        if (!start(mesh, size))
        {
            std::cout << "| " << size << " | the mesh did not start |\n";
            continue;
        }
        const auto count = static_cast<double>(size);
        constexpr double us_per_s = 1e6;
        const json log_before = mesh.log_stats();
        const totals before = read_totals(mesh);
        rig::pause(idle_ms);
        const totals after = read_totals(mesh);
        const json log_after = mesh.log_stats();
        const double seconds = static_cast<double>(after.read_at - before.read_at) / us_per_s;
        const double idle_rate =
            (after.control_bytes - before.control_bytes - before.status_bytes) / count / seconds;
        for (int i = 0; i < records_per_size; ++i)
        {
            const auto base = static_cast<std::uint64_t>(i);
            mesh.submit(mesh.daemons[0], base, rig::service_operations("duty", "v1", "/duty"));
        }
        // Polling the daemons' status instead would add the responses to the measured traffic.
        rig::pause(propagation_wait_ms);
        const totals loaded = read_totals(mesh);
        const double loaded_seconds =
            static_cast<double>(loaded.read_at - after.read_at) / us_per_s;
        const double per_record =
            ((loaded.control_bytes - after.control_bytes - after.status_bytes) / count -
             idle_rate * loaded_seconds) /
            records_per_size;
        if (loaded.version_sum < count * records_per_size)
        {
            std::cout << "not all daemons have applied all records\n";
        }
        constexpr double megabyte = 1e6;
        constexpr double percent = 100;
        std::cout << fmt::format("| {} | {:.0f} | {:.0f} | {} | {:.2f} | {:.1f} |\n", size,
                                 idle_rate, per_record, max_readers(log_before, log_after),
                                 (after.cpu_s - before.cpu_s) / count / seconds * percent,
                                 after.resident_bytes / count / megabyte)
                  << std::flush;
    }
}

void measure_restart(const std::string& build_dir)
{
    constexpr std::size_t size = 24;
    rig::mesh mesh{{.build_dir = build_dir, .log_level = "warning", .name = "measure"}};
    if (!start(mesh, size))
    {
        std::cout << "the mesh did not start\n";
        return;
    }
    mesh.submit(mesh.daemons[0], 0, rig::service_operations("duty", "v1", "/duty"));
    mesh.wait_version(1, propagation_limit_ms);
    mesh.set_log_faults({{"reset_peaks", true}});
    const std::int64_t started = steady_now_us();
    std::size_t restarted = 0;
    for (rig::daemon_node& daemon : mesh.daemons)
    {
        if (daemon.domain == "rakvere")
        {
            daemon.child_process.reset();
            ++restarted;
        }
    }
    for (rig::daemon_node& daemon : mesh.daemons)
    {
        if (daemon.domain == "rakvere")
        {
            mesh.restart(daemon);
        }
    }
    const bool ready = mesh.wait_ready(start_limit_ms);
    const double elapsed_s = static_cast<double>(steady_now_us() - started) / 1e6;
    // The log reads of the peer exchanges that follow the restart are part of the burst.
    rig::pause(3000);
    const json stats = mesh.log_stats();
    std::cout
        << "| daemons restarted | all ready after s | most log reads in 1 s | most appends in "
           "1 s |\n| --- | --- | --- | --- |\n"
        << fmt::format("| {} of {} | {} | {} | {} |\n", restarted, size,
                       ready ? fmt::format("{:.1f}", elapsed_s) : "never",
                       stats.value("most_reads_in_second", 0),
                       stats.value("most_appends_in_second", 0));
}

} // namespace

int main(int argc, char** argv)
{
    auto args = docopt::docopt(usage, {argv + 1, argv + argc}, true);
    set_up_logging(log_level::warning, "measure_config");
    const std::string build_dir = args["--build-dir"].asString();
    const std::string selected = args["--only"] ? args["--only"].asString() : "";
    if (selected.empty() || selected == "spread")
    {
        measure_propagation(build_dir, parse_sizes(args["--spread"].asString()),
                            static_cast<int>(args["--patches"].asLong()));
    }
    if (selected.empty() || selected == "heal")
    {
        measure_heal(build_dir, static_cast<int>(args["--heals"].asLong()));
    }
    if (selected.empty() || selected == "size")
    {
        measure_sizes(build_dir, parse_sizes(args["--sizes"].asString()),
                      args["--idle-ms"].asLong());
    }
    if (selected.empty() || selected == "restart")
    {
        measure_restart(build_dir);
    }
    return 0;
}
