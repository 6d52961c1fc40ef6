// A daemon gets SIGTERM while its client waits for an answer. The liveness reports of the server that
// is at work on it arrive some seconds late.
#include "mesh.hh"

using namespace mesh;

int main(int, char** argv)
{
    record lines(argv[1]);
    the_record = &lines;
    const bounds limits;
    deployment fleet("late-reports");
    fleet.add("duty-board", "tallinn-a");
    fleet.add("dispatch-desk", "tallinn-b");
    fleet.add("duty-board", "rakvere");
    server& working = fleet.machines[1]->app;
    working.work_ms = 4000;
    fleet.platform->write("keyed.op", "config",
                          config_text(1, {"duty-board", "dispatch-desk"},
                                      {{.name = "duty",
                                        .prefix = "/duty/",
                                        .kind = "idempotent",
                                        .service = "duty-board"},
                                       {.name = "desk",
                                        .prefix = "/desk/",
                                        .kind = "idempotent",
                                        .service = "dispatch-desk",
                                        .timeout = 7000}}));
    fleet.start_all();
    if (!fleet.wait_ready(15000))
    {
        return cannot_run("the daemons aren't ready");
    }
    pause_ms(limits.stable_window + 2000);
    // Begins right after a report that arrived in time.
    const std::uint64_t before = working.last_sequence();
    while (working.last_sequence() == before)
    {
        pause_ms(5);
    }
    if (with_trouble())
    {
        working.report_delay_ms = 3000;
        note("reports of server " + working.instance + " arrive 3000 ms late from now on");
    }
    pause_ms(200);
    machine& leaving = *fleet.machines[0];
    leaving.signal(SIGTERM);
    const std::int64_t stopped = steady_ms();
    note("SIGTERM to " + leaving.name);
    pause_ms(300);
    const std::int64_t sent = steady_ms();
    const answer result = call(leaving, "GET", "/desk/plan", "plan-1", 7000);
    const std::int64_t ended = steady_ms();
    const auto runs = working.runs();
    if (runs.empty() || runs.front().id != "plan-1")
    {
        return cannot_run("the request has not reached the server");
    }
    const std::int64_t worked = ended - runs.front().at;
    const bool own_answer =
        result.status == 0 || result.text.header("X-Response-Stamp").empty();
    const bool at_work = worked < working.work_ms;
    // Not counted: the deadline was reached, or the server was at work in the last sixth of Grace.
    const bool counted = ended - sent < 7000 && runs.front().at + working.work_ms < stopped + 5000;
    return finish(own_answer && at_work && counted,
                  "the client got " + std::to_string(result.status) + " " +
                      std::to_string(ended - sent) + " ms after it had sent its request, " +
                      std::to_string(ended - stopped) + " ms after the SIGTERM, when its server " +
                      (at_work ? "was at work on it, with " +
                                     std::to_string(working.work_ms - worked) + " ms to go"
                               : "had ended its work"));
}
