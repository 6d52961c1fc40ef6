// Clients that pipeline requests leave before their deadline while the only server of their service
// is busy. The machine's daemon must survive that: it counts as running all the while, so requests
// that it had passed on from kept connections must get their answers.
#include "../standins-2/rig.h"

using namespace rig;

namespace
{

constexpr ms stable_window = 3000;
// Clients leave in spans of this length; the site's days have up to 6.25 s.
constexpr ms span = 5500;
constexpr ms between_spans = 1500;
constexpr int spans = 11;
// Share of the clients that leave in a span; the site's days have up to 0.3.
constexpr double leaving_share = 0.25;
// They leave about half a deadline after they began to send; the site's days have up to 1500 ms.
constexpr ms first_leave = 250;
constexpr ms last_leave = 350;
constexpr ms deadline = 600;
constexpr int board_clients = 8;
constexpr int pipelined = 6;
constexpr ms pause_between_requests = 5;
constexpr int desk_clients = 12;

std::atomic<std::uint64_t> last_id{0};

std::string next_id()
{
    char text[24];
    std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(++last_id));
    return text;
}

/** What the clients on the observed machine have seen. */
struct tally
{
    std::mutex mutex;
    std::map<std::string, ms> runs;
    std::atomic<int> sent{0};
    std::atomic<int> answered{0};
    std::atomic<int> left{0};
    /** Requests on a kept connection that ended without an answer, though the client stayed. */
    std::mutex lost_mutex;
    std::vector<std::pair<std::string, ms>> lost;
};

struct client_options
{
    address daemon;
    std::string path;
    int depth = 1;
    bool may_leave = false;
};

/** A client that keeps its connection and sends up to `depth` requests before the first answer. */
void run_client(site& all, tally& seen, const client_options& options, ms start,
                const std::atomic<bool>& stopped, unsigned seed)
{
    std::mt19937 random(seed);
    std::uniform_real_distribution<double> uniform(0, 1);
    int fd = -1;
    std::unique_ptr<reader> input;
    bool has_answers = false;
    while (!stopped)
    {
        if (fd < 0)
        {
            fd = connect_to(options.daemon, 1000);
            if (fd < 0)
            {
                pause_ms(100);
                continue;
            }
            input = std::make_unique<reader>(fd);
            has_answers = false;
        }
        std::vector<std::string> ids;
        bool open = true;
        const ms started = now();
        for (int i = 0; i < options.depth && open; ++i)
        {
            if (i > 0)
            {
                pause_ms(static_cast<ms>(uniform(random) * 2 * pause_between_requests));
            }
            ids.push_back(next_id());
            ++seen.sent;
            all.log.line("sent %s %s", ids.back().c_str(), options.path.c_str());
            open = send_all(fd,
                            client_request("GET", options.path + ids.back(), ids.back(), deadline));
        }
        const ms since = now() - start;
        const bool in_span = since % (span + between_spans) < span;
        const bool leaves = options.may_leave && in_span && uniform(random) < leaving_share;
        const ms until =
            started + (leaves ? std::uniform_int_distribution<ms>(first_leave, last_leave)(random)
                              : deadline + 100);
        bool kept = open;
        std::size_t got = 0;
        bool cut = !open;
        bool timed_out = false;
        while (got < ids.size() && !cut && !timed_out)
        {
            message answer;
            const read_status status = input->read(answer, until, true);
            if (status == read_status::complete)
            {
                all.log.line("answered %s %d", ids[got].c_str(), answer.status);
                ++seen.answered;
                ++got;
                has_answers = true;
                kept = answer.header("connection") != "close";
                if (!kept)
                {
                    break;
                }
                continue;
            }
            cut = status != read_status::timed_out;
            timed_out = !cut;
        }
        if (cut && has_answers)
        {
            const std::lock_guard lock(seen.lost_mutex);
            for (std::size_t i = got; i < ids.size(); ++i)
            {
                all.log.line("cut %s", ids[i].c_str());
                seen.lost.emplace_back(ids[i], now());
            }
        }
        if (timed_out && leaves)
        {
            ++seen.left;
            all.log.line("left after %s", ids[got].c_str());
        }
        if (cut || timed_out || !kept)
        {
            ::close(fd);
            fd = -1;
        }
        pause_ms(static_cast<ms>(uniform(random) * 2 * pause_between_requests));
    }
    if (fd >= 0)
    {
        ::close(fd);
    }
}

int play(const std::string& folder)
{
    site all(folder, {});
    tally seen;
    machine& first = all.add_machine("tallinn-a", "duty-board");
    machine& second = all.add_machine("tallinn-a", "dispatch-desk");
    std::mt19937 work_random(7);
    std::mutex work_mutex;
    for (machine* one : {&first, &second})
    {
        app_server& server = all.add_server(*one);
        const bool is_board = one == &first;
        server.slots = is_board ? 4 : 13;
        server.on_run = [&](const run& began)
        {
            const std::lock_guard lock(seen.mutex);
            seen.runs[began.id] = began.at;
            all.log.line("ran %s at %s", began.id.c_str(), began.instance.c_str());
        };
        server.work_of = [&, is_board](const message&) -> ms
        {
            const std::lock_guard lock(work_mutex);
            if (!is_board)
            {
                return std::uniform_int_distribution<ms>(60, 180)(work_random);
            }
            // Some lookups are quick and some are long.
            return work_random() % 5 < 3 ? 500
                                         : std::uniform_int_distribution<ms>(20, 60)(work_random);
        };
        if (!server.start("i-" + one->service))
        {
            return cannot_run;
        }
    }
    all.platform_store.write(
        "keyed.op", "config",
        config(
            1, {"duty-board", "dispatch-desk"},
            {{.name = "lookup", .prefix = "/lookup/", .service = "duty-board", .goal = "600ms"},
             {.name = "check", .prefix = "/check/", .service = "dispatch-desk", .goal = "600ms"}}));
    all.start_checks();
    if (!all.wait_ready(15'000))
    {
        all.log.say("the daemons did not become ready");
        return cannot_run;
    }
    pause_ms(stable_window + 500); // the machines are in touch from here on
    const ms start = now();
    const ms end = start + spans * (span + between_spans);
    const bool trouble = wants_trouble();
    std::atomic<bool> stopped{false};
    std::vector<std::thread> clients;
    for (int i = 0; i < board_clients; ++i)
    {
        clients.emplace_back(
            [&, i]
            {
                run_client(all, seen, {first.outbound, "/lookup/", pipelined, trouble}, start,
                           stopped, 100U + static_cast<unsigned>(i));
            });
    }
    for (int i = 0; i < desk_clients; ++i)
    {
        clients.emplace_back(
            [&, i]
            {
                run_client(all, seen, {first.outbound, "/check/", 1, false}, start, stopped,
                           500U + static_cast<unsigned>(i));
            });
    }
    const auto count_lost = [&]
    {
        const std::scoped_lock lock(seen.mutex, seen.lost_mutex);
        return std::count_if(seen.lost.begin(), seen.lost.end(),
                             [&](const auto& one) { return seen.runs.contains(one.first); });
    };
    int ended = 0;
    while (now() < end && count_lost() <= 3)
    {
        for (machine* one : {&first, &second})
        {
            if (one->has_ended())
            {
                ++ended;
                all.log.say("the daemon of " + one->name + " ended by itself with status " +
                            std::to_string(one->ended_with) + ", " + std::to_string(now() - start) +
                            " ms after the clients started");
                // The platform starts it again after a short delay.
                pause_ms(500);
                one->start(all.command);
            }
        }
        pause_ms(5);
    }
    stopped = true;
    for (std::thread& client : clients)
    {
        client.join();
    }
    if (first.has_ended())
    {
        ++ended;
        all.log.say("the daemon of " + first.name + " ended by itself with status " +
                    std::to_string(first.ended_with));
    }
    const auto lost = count_lost();
    all.log.say("sent " + std::to_string(seen.sent) + ", answered " +
                std::to_string(seen.answered) + ", connections left by their client " +
                std::to_string(seen.left) + ", processes that ended by themselves " +
                std::to_string(ended) +
                ", requests passed on from kept connections and cut without an answer " +
                std::to_string(lost));
    if (seen.answered == 0 || (trouble && seen.left == 0))
    {
        return cannot_run;
    }
    // LOST: more than three times.
    return lost > 3 ? broken : held;
}

} // namespace

int main(int argc, char** argv)
{
    return run_case(argc, argv, play);
}
