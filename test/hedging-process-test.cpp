#define BOOST_TEST_MODULE hedging_process
#include <boost/test/unit_test.hpp>

#include "hop_codec.hpp"
#include "rig/fleet.hpp"

#include "sardinepoint/http_client.hpp"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <functional>
#include <memory>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

using namespace sardinepoint;

namespace
{

constexpr time_ms start_limit_ms = 10000;
constexpr time_ms usual_ms = 20;
constexpr time_ms slow_ms = 1500;
constexpr int warm_calls = 60;

/** Three daemons with an upstream of "board" each, and one that only calls them. */
struct hedging_fleet : rig::fleet
{
    explicit hedging_fleet(const std::string& settings = "hedge_ratio = 0.5\nretry_ratio = 1\n"
                                                         "hedge_percentile = 0.9\n")
        : rig::fleet(SARDINEPOINT_BIN_DIR, "hedging")
    {
        this->sidecar_settings = settings;
        this->publish(1, {"board", "desk"});
        for (int i = 0; i < 3; ++i)
        {
            this->add("board");
        }
        this->caller = &this->add("desk");
        this->set_processing_time(usual_ms);
        BOOST_REQUIRE(this->wait_members(4, start_limit_ms));
        BOOST_REQUIRE(this->wait_served("board", start_limit_ms));
        for (int i = 0; i < warm_calls; ++i)
        {
            this->call(*this->caller, {});
        }
        this->received_requests.clear();
    }

    void set_processing_time(time_ms time)
    {
        for (const auto& daemon : this->daemons)
        {
            daemon->upstream->processing_time = time;
        }
    }

    /** Upstreams that received the call, in this order. */
    std::vector<std::string> runners_of(std::string_view id) const
    {
        std::vector<std::string> runners;
        for (const rig::received_request& request : this->received_requests)
        {
            if (request.id == id)
            {
                runners.push_back(request.instance);
            }
        }
        return runners;
    }

    bool is_cancelled(std::string_view id, std::string_view instance) const
    {
        return std::any_of(this->received_requests.begin(), this->received_requests.end(),
                           [&](const rig::received_request& request) {
                               return request.id == id && request.instance == instance &&
                                      request.cancelled;
                           });
    }

    /**
     * Makes calls, each after the disturbance and with all upstreams known to be free and fast
     * before, until the first attempt of one reaches the instance. Returns its result; empty after
     * a few calls, since calls avoid an upstream that has been slow.
     */
    std::optional<http_result> call_first_at(const rig::fleet_daemon& daemon,
                                             const std::string& instance,
                                             const std::function<void()>& disturb, std::string& id)
    {
        for (int i = 0; i < 4; ++i)
        {
            this->set_processing_time(usual_ms);
            for (const auto& each : this->daemons)
            {
                each->upstream->status = 200;
                each->upstream->requests_to_drop = 0;
            }
            // More calls at a time than one upstream has slots, so that all of them report.
            this->count_runs(daemon, 45, 9);
            // A refusal in the warm-up pauses hedging for 500 ms.
            this->run_for(550);
            this->received_requests.clear();
            disturb();
            id = "first-" + std::to_string(++this->last_call);
            // A request whose upstreams seem to crash is quarantined, so each call has its own
            // path.
            http_result result = this->call(daemon, {.path = "/board/" + id, .id = id});
            const auto runners = this->runners_of(id);
            if (!runners.empty() && runners.front() == instance)
            {
                return result;
            }
        }
        return std::nullopt;
    }

    /** A call that two upstreams received. */
    struct hedged_call
    {
        std::string id;
        http_result answer;
        /** Upstream that received the first attempt, and the one that received the second. */
        rig::fleet_daemon* first = nullptr;
        std::string second;
    };

    /**
     * Makes a call whose first attempt is disturbed and that is hedged. `local`: the call starts at
     * the daemon beside the upstream that gets the first attempt. A call isn't hedged if the
     * reports of the other upstreams happen to be old or to show too few free slots, so it is tried
     * with each upstream.
     */
    hedged_call call_hedged(bool local, const std::function<void(rig::fleet_daemon&)>& disturb)
    {
        std::string skipped;
        for (int i = 0; i < 6; ++i)
        {
            rig::fleet_daemon& first = *this->daemons[this->next_first++ % 3];
            const rig::fleet_daemon& start = local ? first : *this->caller;
            hedged_call call{.first = &first};
            const auto answer = this->call_first_at(
                start, first.upstream->instance, [&] { disturb(first); }, call.id);
            const std::vector<std::string> runners = this->runners_of(call.id);
            if (answer && runners.size() == 2)
            {
                call.answer = *answer;
                call.second = runners.back();
                return call;
            }
            skipped += this->hedge_metrics(start);
        }
        BOOST_FAIL("no call was hedged: " << skipped);
        return {};
    }

    /** Makes the given number of calls, a few at a time, and returns how often they ran. */
    int count_runs(const rig::fleet_daemon& daemon, int calls, int concurrency)
    {
        this->received_requests.clear();
        int started = 0;
        int ended = 0;
        const std::function<void()> start_next = [&]
        {
            if (started < calls)
            {
                ++started;
                this->start_call(daemon, {},
                                 [&](const http_result&)
                                 {
                                     ++ended;
                                     start_next();
                                 });
            }
        };
        for (int i = 0; i < concurrency; ++i)
        {
            start_next();
        }
        BOOST_REQUIRE(this->run_until(30'000, [&] { return ended == calls; }));
        return static_cast<int>(this->received_requests.size());
    }

    /** Number of lines of the caller's log that contain both texts. */
    int logged(const std::string& text, const std::string& other = "") const
    {
        std::ifstream file(this->caller->log_file);
        int lines = 0;
        for (std::string line; std::getline(file, line);)
        {
            const bool matches =
                line.find(text) != std::string::npos && line.find(other) != std::string::npos;
            lines += matches ? 1 : 0;
        }
        return lines;
    }

    /** Metrics of a daemon that show why calls were not hedged. */
    std::string hedge_metrics(const rig::fleet_daemon& daemon)
    {
        std::optional<std::string> page;
        send_request(
            *this->http,
            {.url = "http://127.0.0.1:" + std::to_string(daemon.control_port) + "/metrics"},
            [&](const http_result& result) { page = result.response.body; });
        this->run_until(start_limit_ms, [&] { return page.has_value(); });
        std::istringstream text(page.value_or(""));
        std::string found;
        for (std::string line; std::getline(text, line);)
        {
            found += line.starts_with("sardinepoint_hedges") ? line + "; " : "";
        }
        return found;
    }

    rig::fleet_daemon* caller = nullptr;
    /** Index of the daemon whose upstream gets the next hedged call first. */
    std::size_t next_first = 0;
};

/** The same with few hedges. */
struct small_ratio_fleet : hedging_fleet
{
    small_ratio_fleet()
        : hedging_fleet("hedge_ratio = 0.04\nretry_ratio = 1\nhedge_percentile = 0.9\n")
    {
    }
};

struct default_fleet : hedging_fleet
{
    default_fleet() : hedging_fleet("") {}
};

} // namespace

// Guards against waiting for a slow upstream, and against runs that go on after the answer was
// chosen: the slow upstream must see its connection closed.
BOOST_FIXTURE_TEST_CASE(slow_upstream_is_overtaken_and_cancelled, hedging_fleet)
{
    // The first attempt goes to another VM or stays on the caller's.
    for (const bool local : {false, true})
    {
        const hedged_call call = this->call_hedged(local, [](rig::fleet_daemon& first)
                                                   { first.upstream->processing_time = slow_ms; });
        const std::string slow = call.first->upstream->instance;
        BOOST_TEST(call.answer.response.status == 200);
        BOOST_TEST(call.second != slow);
        BOOST_TEST(call.answer.response.body == "answer of " + call.second);
        BOOST_TEST(this->run_until(slow_ms / 2, [&] { return this->is_cancelled(call.id, slow); }));
        BOOST_TEST(!this->is_cancelled(call.id, call.second));
    }
}

// Guards against a change in deployments that don't ask for hedging.
BOOST_FIXTURE_TEST_CASE(calls_are_not_hedged_by_default, default_fleet)
{
    std::string id;
    std::optional<http_result> answer;
    for (std::size_t i = 0; i < 3 && !answer; ++i)
    {
        rig::fleet_upstream& slow = *this->daemons[i]->upstream;
        answer = this->call_first_at(
            *this->caller, slow.instance, [&] { slow.processing_time = 300; }, id);
    }
    BOOST_REQUIRE(answer.has_value());
    BOOST_TEST(answer->response.status == 200);
    BOOST_TEST(this->run_count(id) == 1);
    BOOST_TEST(this->logged("event=hedge ") == 0);
}

// Guards against a second run of a call that may run only once.
BOOST_FIXTURE_TEST_CASE(non_idempotent_calls_are_never_hedged, hedging_fleet)
{
    for (int i = 0; i < warm_calls; ++i)
    {
        this->call(*this->caller, {.method = "POST", .path = "/once/board/a", .body = "b"});
    }
    this->daemons[0]->upstream->processing_time = 200;
    for (int i = 0; i < 20; ++i)
    {
        const std::string id = "once-" + std::to_string(i);
        const http_result answer = this->call(
            *this->caller, {.method = "POST", .path = "/once/board/a", .body = "b", .id = id});
        BOOST_TEST(answer.response.status == 200);
        BOOST_TEST(this->run_count(id) == 1);
    }
    BOOST_TEST(this->logged("event=hedge ", "route=once-board") == 0);
}

// Guards against more second attempts than the setting permits while an upstream stays slow.
BOOST_FIXTURE_TEST_CASE(hedges_keep_to_the_ratio, small_ratio_fleet)
{
    constexpr int calls_each = 70;
    constexpr int calls = 3 * calls_each;
    int runs = 0;
    // Another upstream is slow after a while, since calls avoid one that has been slow.
    for (int slow = 0; slow < 3; ++slow)
    {
        this->set_processing_time(usual_ms);
        this->daemons[static_cast<std::size_t>(slow)]->upstream->processing_time = 150;
        runs += this->count_runs(*this->caller, calls_each, 3);
    }
    const int hedges = this->logged("event=hedge ");
    BOOST_TEST_MESSAGE("hedges " << hedges << ", runs " << runs);
    BOOST_TEST(hedges > 0);
    // The warm-up calls and one readiness call of each daemon count as calls of the window.
    BOOST_TEST(hedges <= 0.04 * (calls + warm_calls + 20));
    BOOST_TEST(runs <= calls + hedges);
}

// Guards against doubling the work when a second attempt can't be faster than the first.
BOOST_FIXTURE_TEST_CASE(no_hedges_while_all_upstreams_are_slow, hedging_fleet)
{
    this->set_processing_time(150);
    // The first calls show that all are slow. As many slow calls as usual ones would make 150 ms
    // the usual time.
    this->count_runs(*this->caller, 12, 3);
    constexpr int calls = 40;
    BOOST_TEST(this->count_runs(*this->caller, calls, 3) == calls);
}

// Guards against second attempts that take slots in a burst.
BOOST_FIXTURE_TEST_CASE(no_hedges_while_all_slots_are_in_use, hedging_fleet)
{
    // The upstreams have 12 slots.
    constexpr int calls = 150;
    const int runs = this->count_runs(*this->caller, calls, 30);
    const int hedges =
        this->logged("event=hedge ") - this->logged("event=hedge ", "outcome=refused");
    BOOST_TEST_MESSAGE("runs " << runs << ", hedges that ran " << hedges);
    BOOST_TEST(runs == calls);
}

// Guards against a call that fails because its second attempt did.
BOOST_FIXTURE_TEST_CASE(failed_hedge_changes_nothing, hedging_fleet)
{
    for (const bool drop : {false, true})
    {
        const auto disturb = [&](const rig::fleet_daemon& first)
        {
            for (std::size_t i = 0; i < 3; ++i)
            {
                rig::fleet_upstream& other = *this->daemons[i]->upstream;
                other.status = drop ? 200 : 500;
                other.requests_to_drop = drop ? 1 : 0;
            }
            first.upstream->processing_time = 400;
            first.upstream->status = 200;
            first.upstream->requests_to_drop = 0;
        };
        const hedged_call call = this->call_hedged(true, disturb);
        BOOST_TEST(call.answer.response.status == 200);
        BOOST_TEST(call.answer.response.body == "answer of " + call.first->upstream->instance);
        BOOST_TEST(this->run_count(call.id) == 2);
    }
}

// Guards against a third attempt when the first fails, and against giving up a call whose second
// attempt is still running.
BOOST_FIXTURE_TEST_CASE(hedge_replaces_a_failed_first_attempt, hedging_fleet)
{
    const hedged_call call = this->call_hedged(true,
                                               [this](rig::fleet_daemon& first)
                                               {
                                                   this->set_processing_time(400);
                                                   first.upstream->processing_time = 150;
                                                   first.upstream->requests_to_drop = 1;
                                               });
    BOOST_TEST(call.answer.response.status == 200);
    BOOST_TEST(call.answer.response.body == "answer of " + call.second);
    BOOST_TEST(this->run_count(call.id) == 2);
}

// Guards against attempts that go on after the caller has gone or the deadline has passed.
BOOST_FIXTURE_TEST_CASE(both_attempts_end_with_the_call, hedging_fleet)
{
    this->set_processing_time(slow_ms);
    const auto both_cancelled = [this](const std::string& id)
    {
        const auto runners = this->runners_of(id);
        return runners.size() == 2 && this->is_cancelled(id, runners[0]) &&
               this->is_cancelled(id, runners[1]);
    };
    const call_id left = this->start_call(*this->caller, {.id = "left"}, [](const http_result&) {});
    BOOST_REQUIRE(this->run_until(slow_ms / 2, [this] { return this->run_count("left") == 2; }));
    cancel_call(*this->http, left);
    BOOST_TEST(this->run_until(slow_ms / 2, [&] { return both_cancelled("left"); }));

    this->set_processing_time(usual_ms);
    this->count_runs(*this->caller, warm_calls, 3);
    this->received_requests.clear();
    this->set_processing_time(slow_ms);
    const http_result late = this->call(*this->caller, {.deadline = 500, .id = "late"});
    // The upstream's daemon gives up a little earlier, which gives 502.
    BOOST_TEST((late.response.status == 504 || late.response.status == 502));
    BOOST_TEST(this->run_until(slow_ms / 2, [&] { return both_cancelled("late"); }));
}

// Guards against losing a call whose one attempt is at a silent daemon while the other one runs.
BOOST_FIXTURE_TEST_CASE(silent_daemon_of_one_attempt_leaves_the_other, hedging_fleet)
{
    for (const std::size_t silent : {std::size_t{0}, std::size_t{1}})
    {
        const std::string id = "silent-" + std::to_string(silent);
        this->set_processing_time(usual_ms);
        this->count_runs(*this->caller, 45, 9);
        this->run_for(550);
        this->set_processing_time(slow_ms);
        this->received_requests.clear();
        http_result answer;
        bool ended = false;
        this->start_call(*this->caller, {.id = id},
                         [&](http_result result)
                         {
                             answer = std::move(result);
                             ended = true;
                         });
        BOOST_REQUIRE(this->run_until(slow_ms / 2, [&] { return this->run_count(id) == 2; }));
        const std::vector<std::string> runners = this->runners_of(id);
        const auto stopped = std::find_if(
            this->daemons.begin(), this->daemons.end(),
            [&](const auto& daemon) { return daemon->upstream->instance == runners.at(silent); });
        (*stopped)->child_process->signal(SIGSTOP);
        BOOST_TEST(this->run_until(2 * slow_ms, [&] { return ended; }));
        (*stopped)->child_process->signal(SIGCONT);
        BOOST_TEST(answer.response.status == 200);
        BOOST_TEST(answer.response.body == "answer of " + runners.at(1 - silent));
        BOOST_TEST(this->run_count(id) == 2);
        // Until the daemon that was stopped is heard again.
        this->run_for(2000);
    }
}

// Guards against second attempts that a daemon starts while it shuts down.
BOOST_FIXTURE_TEST_CASE(no_hedges_during_shutdown, hedging_fleet)
{
    this->set_processing_time(300);
    this->caller->child_process->signal(SIGTERM);
    this->run_for(100);
    const http_result answer = this->call(*this->caller, {.id = "during-shutdown"});
    BOOST_TEST(answer.response.status == 200);
    BOOST_TEST(this->run_count("during-shutdown") == 1);
}

// Guards against second attempts that wait for a slot and take it from first attempts.
BOOST_FIXTURE_TEST_CASE(daemon_returns_a_hedge_without_a_free_slot, default_fleet)
{
    rig::fleet_daemon& daemon = *this->daemons[0];
    daemon.upstream->processing_time = slow_ms;
    const auto send = [&](const std::string& id, bool needs_free_slot)
    {
        http_request request{.headers = {{"X-Request-Id", id}}};
        write_terms(request, {.id = id,
                              .instance = daemon.upstream->instance,
                              .route = "board",
                              .latency_target_time_left = 4000,
                              .time_left = 5000,
                              .idempotent = true,
                              .needs_free_slot = needs_free_slot});
        auto answer = std::make_shared<std::optional<http_response>>();
        send_request(*this->http,
                     {.url = "http://127.0.0.1:" + std::to_string(daemon.data_port) + "/board/x",
                      .headers = request.headers,
                      .timeout = 5000},
                     [answer](const http_result& result) { *answer = result.response; });
        return answer;
    };
    const auto ran = send("with-a-slot", true);
    BOOST_REQUIRE(this->run_until(1000, [&] { return this->run_count("with-a-slot") == 1; }));
    for (int i = 1; i < daemon.upstream->slots; ++i)
    {
        send("fill-" + std::to_string(i), false);
    }
    BOOST_REQUIRE(this->run_until(1000,
                                  [&] {
                                      return this->received_requests.size() ==
                                             static_cast<std::size_t>(daemon.upstream->slots);
                                  }));
    const auto refused = send("without-a-slot", true);
    BOOST_REQUIRE(this->run_until(slow_ms / 2, [&] { return refused->has_value(); }));
    const auto report = take_report(**refused);
    BOOST_REQUIRE(report.has_value());
    BOOST_TEST(to_string(report->outcome) == to_string(run_outcome::not_run));
    BOOST_TEST(!report->arrived);
    BOOST_TEST(this->run_count("without-a-slot") == 0);
    BOOST_TEST(this->run_until(2 * slow_ms, [&] { return ran->has_value(); }));
}
