// The daemons' open connections to the store go silent without a reset, new ones work. Shortly
// after, the operator moves a route to another service.
#include "mesh.hh"

using namespace mesh;

int main(int, char** argv)
{
    record lines(argv[1]);
    the_record = &lines;
    const bounds limits;
    std::vector<std::unique_ptr<relay>> relays;
    deployment fleet("silent-store");
    fleet.add("duty-board", "tallinn-a");
    fleet.add("dispatch-desk", "tallinn-b");
    fleet.add("duty-board", "rakvere");
    fleet.add("dispatch-desk", "tallinn-a");
    for (const auto& each : fleet.machines)
    {
        const address at{each->ip, free_port({each->ip})};
        relays.push_back(std::make_unique<relay>(at, fleet.platform->at()));
        each->store_at = at;
    }
    const std::vector<std::string> services{"duty-board", "dispatch-desk"};
    const auto routes = [&](const std::string& target)
    {
        return std::vector<route>{
            {.name = "duty", .prefix = "/duty/", .kind = "idempotent", .service = "duty-board"},
            {.name = "moved", .prefix = "/moved/", .kind = "idempotent", .service = target}};
    };
    fleet.platform->write("keyed.op", "config", config_text(1, services, routes("duty-board")));
    fleet.start_all();
    if (!fleet.wait_ready(15000))
    {
        return cannot_run("the daemons aren't ready");
    }
    pause_ms(limits.stable_window + 3000);
    std::mutex mutex;
    std::map<std::string, std::int64_t> sent;
    std::atomic<bool> sending{true};
    std::atomic<int> next{0};
    std::vector<std::thread> clients;
    for (const auto& each : fleet.machines)
    {
        clients.emplace_back(
            [&, at = each.get()]
            {
                while (sending)
                {
                    const std::string id = "lookup-" + std::to_string(++next);
                    {
                        const std::lock_guard lock(mutex);
                        sent[id] = steady_ms();
                    }
                    call(*at, "GET", "/moved/today", id, 2000);
                    pause_ms(20);
                }
            });
    }
    pause_ms(500);
    const std::int64_t silent_at = steady_ms();
    if (with_trouble())
    {
        note("the open connections to the store go silent");
        for (const auto& each : relays)
        {
            each->silence_open_connections();
        }
    }
    pause_ms(250);
    const std::int64_t acked = fleet.platform->write("keyed.op", "config",
                                                     config_text(4, services, routes("dispatch-desk")));
    note("version 4, which moves the route to dispatch-desk, is acknowledged");
    pause_ms(9000);
    sending = false;
    for (std::thread& each : clients)
    {
        each.join();
    }
    // In touch again StableWindow after the silence began; 500 ms are added for its course.
    const std::int64_t from = std::max(silent_at + limits.stable_window + 500,
                                       acked + limits.config_apply + 100);
    int stale = 0;
    int later = 0;
    std::int64_t last = 0;
    for (const auto& each : fleet.machines)
    {
        for (const run& seen : each->app.runs())
        {
            if (sent.contains(seen.id) && sent[seen.id] > from)
            {
                ++later;
                if (seen.service == "duty-board")
                {
                    ++stale;
                    last = std::max(last, sent[seen.id] - acked);
                }
            }
        }
    }
    if (later == 0)
    {
        return cannot_run("no request ran after the change");
    }
    return finish(stale > 0, std::to_string(stale) + " of " + std::to_string(later) +
                                 " requests sent in touch and later than ConfigApply after the ack "
                                 "were run by the old service" +
                                 (stale > 0 ? ", the last sent " + std::to_string(last) +
                                                  " ms after the ack"
                                            : ""));
}
