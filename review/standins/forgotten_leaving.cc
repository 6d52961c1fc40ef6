// A server deregisters and its daemon acknowledges that. Then all daemons are killed at the same
// moment and started again. A liveness report from before the leaving arrives seconds late.
#include "mesh.hh"

using namespace mesh;

int main(int, char** argv)
{
    record lines(argv[1]);
    the_record = &lines;
    const bounds limits;
    deployment fleet("forgotten-leaving");
    fleet.add("duty-board", "tallinn-a");
    fleet.add("duty-board", "tallinn-b");
    fleet.add("duty-board", "rakvere");
    fleet.platform->write("keyed.op", "config",
                          config_text(1, {"duty-board"},
                                      {{.name = "duty",
                                        .prefix = "/duty/",
                                        .kind = "idempotent",
                                        .service = "duty-board"}}));
    fleet.start_all();
    if (!fleet.wait_ready(15000))
    {
        return cannot_run("the daemons aren't ready");
    }
    pause_ms(limits.stable_window + 3000);
    server& leaving = fleet.machines[0]->app;
    // This report is under way when the server leaves and arrives seconds later.
    const std::string late_report = leaving.announcement(leaving.last_sequence(), "ready");
    const int status = leaving.deregister();
    const std::int64_t acked = steady_ms();
    note("server " + leaving.instance + " deregisters; the daemon's answer: " +
         std::to_string(status));
    if (status / 100 != 2)
    {
        return cannot_run("the leaving was not acknowledged");
    }
    pause_ms(700);
    if (with_trouble())
    {
        for (const auto& each : fleet.machines)
        {
            each->kill();
        }
        pause_ms(500);
        for (const auto& each : fleet.machines)
        {
            each->start();
        }
    }
    const std::int64_t restarted = steady_ms();
    if (!fleet.wait_ready(10000))
    {
        return cannot_run("the daemons aren't ready again");
    }
    pause_until(acked + 4000);
    note("the late report is sent: " + late_report);
    note("its answer: " +
         std::to_string(leaving.send("Heartbeat", leaving.instance, late_report)));
    pause_until(restarted + limits.stable_window + 300);
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
                    call(*at, "GET", "/duty/today", "lookup-" + std::to_string(++next), 2000);
                    pause_ms(40);
                }
            });
    }
    pause_ms(3500);
    sending = false;
    for (std::thread& each : clients)
    {
        each.join();
    }
    int late = 0;
    std::int64_t last = 0;
    for (const run& seen : leaving.runs())
    {
        // The clients begin when all machines have been in touch for StableWindow.
        if (seen.at > std::max(acked + limits.drain + 200, restarted + limits.stable_window))
        {
            ++late;
            last = seen.at - acked;
        }
    }
    return finish(late > 0, std::to_string(late) +
                                " requests reached the server later than Drain + 200 ms after the "
                                "ack of its leaving" +
                                (late > 0 ? ", the last " + std::to_string(last) + " ms after it"
                                          : ""));
}
