// A liveness report whose id has bytes that can't be read arrives while clients wait for answers on
// kept connections.
#include "mesh.hh"

using namespace mesh;

namespace
{

struct attempt
{
    std::string id;
    bool passed_on = false;
    bool answered = false;
    bool closed = false;
};

/** A client that keeps its connection: one short request, then the one that counts. */
void keep_and_send(const machine& at, attempt& result, std::int64_t second_at)
{
    const int fd = connect_to(at.outbound, 1000);
    if (fd < 0)
    {
        return;
    }
    reader input(fd);
    message reply;
    const std::string first = result.id + "-first";
    note("client sends " + first + " to " + at.name);
    send_all(fd, request_text("GET", "/duty/today", first, 3000));
    if (input.next(reply, steady_ms() + 4000) != read_end::complete || reply.status() != 200)
    {
        note("client gets no answer for " + first);
        ::close(fd);
        return;
    }
    note("client gets 200 for " + first + " and keeps the connection");
    pause_until(second_at);
    note("client sends " + result.id + " to " + at.name + " on the kept connection");
    send_all(fd, request_text("POST", "/desk/assign", result.id, 3000, "crew 7 to site 12"));
    const read_end end = input.next(reply, steady_ms() + 4500);
    result.answered = end == read_end::complete;
    result.closed = end == read_end::closed;
    note("client gets " +
         (result.answered ? std::to_string(reply.status())
                          : std::string(result.closed ? "a closed connection" : "nothing")) +
         " for " + result.id);
    ::close(fd);
}

} // namespace

int main(int, char** argv)
{
    record lines(argv[1]);
    the_record = &lines;
    const bounds limits;
    deployment fleet("unreadable-id");
    fleet.add("duty-board", "tallinn-a");
    fleet.add("dispatch-desk", "tallinn-b");
    fleet.add("duty-board", "rakvere");
    fleet.machines[1]->app.work_ms = 1200;
    fleet.platform->write(
        "keyed.op", "config",
        config_text(1, {"duty-board", "dispatch-desk"},
                    {{.name = "duty", .prefix = "/duty/", .kind = "idempotent", .service = "duty-board"},
                     {.name = "desk", .prefix = "/desk/", .kind = "non_idempotent", .service = "dispatch-desk"}}));
    fleet.start_all();
    if (!fleet.wait_ready(15000))
    {
        return cannot_run("the daemons aren't ready");
    }
    // Longer than StableWindow, so that all machines are in touch.
    pause_ms(limits.stable_window + 2000);
    machine& hit = *fleet.machines[0];
    std::vector<attempt> attempts(6);
    std::vector<std::thread> clients;
    const std::int64_t second_at = steady_ms() + 1500;
    for (std::size_t i = 0; i < attempts.size(); ++i)
    {
        attempts[i].id = "assign-" + std::to_string(i + 1);
        clients.emplace_back([&, i] { keep_and_send(hit, attempts[i], second_at); });
    }
    pause_until(second_at + 400);
    if (with_trouble())
    {
        const std::string id = std::string("i-") + "\xff\xfe" + "91c2";
        server other = {};
        other.service = hit.app.service;
        other.zone = hit.app.zone;
        other.app = hit.app.app;
        other.daemon_control = hit.control;
        note("a liveness report with an unreadable id is sent to " + hit.name);
        const int status = other.send("Heartbeat", id, other.announcement(1, "ready"));
        note("its answer: " + std::to_string(status));
    }
    pause_ms(300);
    const bool ended = hit.has_ended();
    for (std::thread& each : clients)
    {
        each.join();
    }
    int lost = 0;
    int answered = 0;
    for (attempt& each : attempts)
    {
        for (const run& seen : fleet.machines[1]->app.runs())
        {
            each.passed_on = each.passed_on || seen.id == each.id;
        }
        lost += each.passed_on && each.closed ? 1 : 0;
        answered += each.answered ? 1 : 0;
    }
    if (!ended && answered < 6)
    {
        return cannot_run("not all requests were answered although the process runs");
    }
    return finish(lost > 3, std::to_string(lost) +
                                " requests were passed on to a sound server and their kept "
                                "connections closed without an answer; the process has " +
                                (ended ? "ended by itself" : "not ended"));
}
