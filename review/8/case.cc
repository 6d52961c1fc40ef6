// The operator orders a second roll-out of a service while the first one is still active. The
// version of the second one is bad: it fails half of its requests.
#include "../standins-2/rig.h"

using namespace rig;

namespace
{

constexpr ms stable_window = 3000;
constexpr ms rollback = 5000;
constexpr double exposure_share = 0.1;
constexpr int exposure_slack = 50;
constexpr ms deadline = 1200;
constexpr int clients_per_machine = 4;
constexpr ms pause_between = 30;
/** Changes of the configuration before the first order: the orders' records are number 9 and 10. */
constexpr int earlier_changes = 9;

struct arrival
{
    ms at = 0;
    std::string version;
    bool bad = false;
    std::string id;
};

std::string order(const std::string& version, int seconds)
{
    return "{\"Service\":\"duty-board\",\"TargetVersion\":\"" + version + "\",\"Duration\":\"" +
           std::to_string(seconds) + "s\"}";
}

int play(const std::string& folder)
{
    const char* changes = std::getenv("EARLIER_CHANGES");
    const int configs = changes == nullptr ? earlier_changes : std::atoi(changes);
    site all(folder, {});
    std::mutex mutex;
    std::vector<arrival> arrivals;
    std::map<std::string, ms> sent;
    const bool trouble = wants_trouble();
    std::mt19937 random(11);
    const auto add = [&](const char* zone, const std::string& version)
    {
        machine& one = all.add_machine(zone, "duty-board");
        app_server& server = all.add_server(one);
        server.version = version;
        server.slots = 13;
        server.status_of = [&, version](const message& request)
        {
            const std::lock_guard lock(mutex);
            const bool bad = trouble && version == "v3" && random() % 2 == 0;
            arrivals.push_back({now(), version, bad, request.header("x-request-id")});
            all.log.line("ran %s at %s, %s", request.header("x-request-id").c_str(),
                         version.c_str(), bad ? "500" : "200");
            return bad ? 500 : 200;
        };
        if (!server.start("i-" + version + "-" + zone))
        {
            throw std::runtime_error("a server can't listen");
        }
    };
    add("tallinn-a", "v1");
    add("tallinn-b", "v1");
    all.start_checks();
    for (int i = 1; i <= configs; ++i)
    {
        all.platform_store.write(
            "keyed.op", "config",
            config(3 * i, {"duty-board"},
                   {{.name = "lookup", .prefix = "/lookup/", .service = "duty-board"},
                    {.name = "idle-" + std::to_string(i),
                     .prefix = "/idle-" + std::to_string(i) + "/",
                     .service = "duty-board"}}));
        pause_ms(200);
    }
    // The servers of the new versions are started alongside.
    add("tallinn-a", "v2");
    add("rakvere", "v3");
    if (!all.wait_ready(15'000))
    {
        all.log.say("the daemons did not become ready");
        return cannot_run;
    }
    pause_ms(stable_window + 500);
    std::atomic<bool> stopped{false};
    std::atomic<std::uint64_t> last{0};
    std::atomic<int> served{0};
    std::vector<std::thread> clients;
    for (const auto& one : all.machines)
    {
        for (int i = 0; i < clients_per_machine; ++i)
        {
            clients.emplace_back(
                [&, at = one.get()]
                {
                    while (!stopped)
                    {
                        char id[24];
                        std::snprintf(id, sizeof(id), "%016llx",
                                      static_cast<unsigned long long>(++last));
                        {
                            const std::lock_guard lock(mutex);
                            sent[id] = now();
                        }
                        const int status = call_once(
                            at->outbound,
                            client_request("GET", std::string("/lookup/") + id, id, deadline),
                            deadline);
                        all.log.line("answered %s %d", id, status);
                        served += status == 200 ? 1 : 0;
                        pause_ms(pause_between);
                    }
                });
        }
    }
    pause_ms(2000);
    all.platform_store.on_status = [&](const std::string& key, const std::string& value)
    {
        all.log.say("status: " + key + " " + value);
    };
    constexpr int duration_s = 24;
    all.log.say("first order: v2");
    all.platform_store.write("keyed.op", "rollout/duty-board", order("v2", duration_s));
    pause_ms(2000);
    all.log.say("second order: v3");
    all.platform_store.write("keyed.op", "rollout/duty-board", order("v3", duration_s));
    const ms ordered = now();
    const ms end = ordered + duration_s * 1000;
    pause_ms(end - now());
    stopped = true;
    for (std::thread& client : clients)
    {
        client.join();
    }
    const std::lock_guard lock(mutex);
    int reached = 0;
    int new_version = 0;
    int bad = 0;
    ms fiftieth = 0;
    for (const arrival& one : arrivals)
    {
        if (one.at >= ordered && one.at <= end)
        {
            ++reached;
            new_version += one.version == "v3" ? 1 : 0;
            bad += one.bad ? 1 : 0;
            fiftieth = fiftieth == 0 && bad == 50 ? one.at : fiftieth;
        }
    }
    int late = 0;
    for (const arrival& one : arrivals)
    {
        late += fiftieth > 0 && one.version == "v3" && sent[one.id] > fiftieth + rollback ? 1 : 0;
    }
    const double most = exposure_share * reached + exposure_slack;
    all.log.say(
        "requests at the service between the order and its deadline " + std::to_string(reached) +
        ", at v3 " + std::to_string(new_version) + " (at most " +
        std::to_string(static_cast<int>(most)) + "), its bad answers " + std::to_string(bad) +
        ", sent to it later than Rollback after the 50th bad answer " + std::to_string(late));
    if (served == 0)
    {
        return cannot_run;
    }
    return trouble && (new_version > most || late > 0) ? broken : held;
}

} // namespace

int main(int argc, char** argv)
{
    return run_case(argc, argv, play);
}
