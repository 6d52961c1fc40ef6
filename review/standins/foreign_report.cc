// A liveness report of another writer has a field of another type. Later the server beside that
// daemon says that it is draining, and the daemon acknowledges it.
#include "mesh.hh"

using namespace mesh;

int main(int, char** argv)
{
    record lines(argv[1]);
    the_record = &lines;
    const bounds limits;
    deployment fleet("foreign-report");
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
    pause_ms(limits.stable_window + 1500);
    server& leaving = fleet.machines[0]->app;
    if (with_trouble())
    {
        // "born" is always a whole number; here it has a fraction. Everything else is as it should.
        std::string body = leaving.announcement(1, "ready");
        const std::string whole = "\"born\":" + std::to_string(leaving.born);
        body.replace(body.find(whole), whole.size(),
                     "\"born\":" + std::to_string(leaving.born * 1000) + ".5");
        note("a liveness report of another writer is sent to vm-1: " + body);
        note("its answer: " + std::to_string(leaving.send("Heartbeat", leaving.instance, body)));
    }
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
    pause_ms(2000);
    const int status = leaving.drain();
    const std::int64_t acked = steady_ms();
    note("server " + leaving.instance + " says draining; the daemon's answer: " +
         std::to_string(status));
    // It serves on for Drain after the ack and some seconds more.
    pause_ms(limits.drain + 5000);
    sending = false;
    for (std::thread& each : clients)
    {
        each.join();
    }
    if (status / 100 != 2)
    {
        return cannot_run("the leaving was not acknowledged");
    }
    int late = 0;
    std::int64_t last = 0;
    for (const run& seen : leaving.runs())
    {
        if (seen.at > acked + limits.drain + 200)
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
