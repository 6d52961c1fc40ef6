#define BOOST_TEST_MODULE evacuation
#include <boost/test/unit_test.hpp>

#include "fleet_words.hpp"
#include "hop_codec.hpp"
#include "rig/fleet.hpp"
#include "rig/free_port.hpp"

#include "sardinepoint/fold.hpp"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <iterator>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

using namespace sardinepoint;

namespace
{

constexpr time_ms start_limit_ms = 10000;
// An evacuation is binding this long after the store has acknowledged it.
constexpr time_ms evacuation_limit_ms = 5000;
// Time for a daemon that can't read the store to hear of a record from its peers.
constexpr time_ms peer_limit_ms = 10000;
constexpr double cold_rate = 17;
// 17 * 1.5 + 8 calls.
constexpr int cold_bound = 33;
constexpr time_ms second_ms = 1000;

const std::string own_locality = "zone-b";

log_record evacuation_record(const std::string& locality, bool active, std::uint64_t offset)
{
    return fleet::to_log_record(
        {.key = "evacuate/" + locality, .value = active ? "{}" : "", .offset = offset}, 0);
}

std::string read_file(const std::string& name)
{
    std::ifstream input(name);
    return {std::istreambuf_iterator<char>(input), {}};
}

/** The upstream of the first daemon is in another locality than the daemons that call it. */
struct two_localities : rig::fleet
{
    two_localities() : rig::fleet(SARDINEPOINT_BIN_DIR, "evacuation")
    {
        this->publish(1, {"board", "desk"});
        this->locality = own_locality;
        this->runner = &this->add("board");
        this->locality = "zone-a";
        this->caller = &this->add("desk");
    }

    void wait_started()
    {
        BOOST_REQUIRE(this->wait_served("board", start_limit_ms));
    }

    void evacuate(const std::string& locality)
    {
        this->store.write("keyed.op", "evacuate/" + locality, "{}");
    }

    void end_evacuation(const std::string& locality)
    {
        this->store.write("keyed.op", "evacuate/" + locality, "");
    }

    int status(const rig::fleet_daemon& daemon, const std::string& path = "/board/x")
    {
        return this->call(daemon, {.path = path}).response.status;
    }

    bool wait_status(const rig::fleet_daemon& daemon, int expected, time_ms limit)
    {
        return this->run_until(limit, [&] { return this->status(daemon) == expected; });
    }

    /** Log lines are written in batches. */
    bool wait_logged(const rig::fleet_daemon& daemon, const std::string& text)
    {
        return this->run_until(
            start_limit_ms,
            [&] { return read_file(daemon.log_file).find(text) != std::string::npos; });
    }

    rig::fleet_daemon* runner = nullptr;
    rig::fleet_daemon* caller = nullptr;
};

/** Most arrivals at the instance in any second. */
int most_in_a_second(const std::vector<rig::received_request>& requests,
                     const std::string& instance, time_ms from, time_ms until)
{
    std::vector<time_ms> times;
    for (const rig::received_request& request : requests)
    {
        if (request.instance == instance && request.at >= from && request.at < until)
        {
            times.push_back(request.at);
        }
    }
    int most = 0;
    for (auto first = times.begin(); first != times.end(); ++first)
    {
        const auto end = std::lower_bound(first, times.end(), *first + second_ms);
        most = std::max(most, static_cast<int>(end - first));
    }
    return most;
}

/** A service with a cold rate; calls come from both daemons. */
struct cold_service : two_localities
{
    cold_service()
    {
        this->cold_rates["board"] = cold_rate;
        this->publish(2, {"board", "desk"});
        this->runner->upstream->slots = 9;
        this->runner->upstream->processing_time = 20;
        this->wait_started();
        // The limit is in force once warm evidence was asked for.
        BOOST_REQUIRE(this->run_until(start_limit_ms,
                                      [&] { return this->runner->upstream->health_requests > 0; }));
    }

    /** Makes calls at a constant rate, half of them at each daemon; returns the answered ones. */
    int load(time_ms duration, time_ms interval)
    {
        auto answered = std::make_shared<int>(0);
        const time_ms end = steady_now() + duration;
        int calls = 0;
        while (steady_now() < end)
        {
            this->start_call(++calls % 2 == 0 ? *this->runner : *this->caller, {.deadline = 500},
                             [answered](const http_result& result)
                             { *answered += result.response.status == 200 ? 1 : 0; });
            this->run_for(interval);
        }
        this->run_for(second_ms);
        return *answered;
    }
};

} // namespace

// Guards against an evacuation that is lost or doubled when records repeat or are reversed, and
// against one that the daemons which get snapshots or whole states do not hear of.
BOOST_AUTO_TEST_CASE(evacuations_are_folded_and_replicated)
{
    config_state state{.version = 3};
    const auto apply = [&](const std::string& locality, bool active)
    {
        const fold_result result =
            fold_record(state, evacuation_record(locality, active, state.next_offset));
        BOOST_TEST((result.kind == fold_kind::evacuation_set));
        BOOST_TEST(result.id == locality);
    };
    BOOST_TEST(make_snapshot(state).find("evacuated") == std::string::npos);
    apply("zone-a", false);
    BOOST_TEST(state.evacuated.empty());
    apply("zone-a", true);
    apply("zone-a", true);
    apply("zone-b", true);
    BOOST_TEST((state.evacuated == std::set<std::string>{"zone-a", "zone-b"}));
    error reason;
    const auto restored = restore_snapshot(make_snapshot(state), reason);
    BOOST_REQUIRE_MESSAGE(restored, describe(reason));
    BOOST_TEST((restored->evacuated == state.evacuated));
    apply("zone-a", false);
    BOOST_TEST((state.evacuated == std::set<std::string>{"zone-b"}));
    apply("zone-b", false);
    BOOST_TEST(make_snapshot(state).find("evacuated") == std::string::npos);
    BOOST_TEST(state.version == 3U);
}

// Guards against a whole configuration that ends an evacuation.
BOOST_AUTO_TEST_CASE(whole_configuration_keeps_evacuations)
{
    config_state state{.version = 3, .evacuated = {"zone-a"}};
    const fold_result result = fold_record(state, {.body = dump_whole_config({.version = 4})});
    BOOST_TEST((result.kind == fold_kind::state_replaced));
    BOOST_TEST(state.evacuated.contains("zone-a"));
}

// Guards against a started daemon that calls an evacuated locality, or none that was evacuated
// once.
BOOST_AUTO_TEST_CASE(whole_state_holds_present_evacuations)
{
    const config_state state = fleet::build_state({{.key = "evacuate/zone-a", .value = "{}"},
                                                   {.key = "evacuate/zone-b", .value = ""},
                                                   {.key = "evacuate/", .value = "{}"},
                                                   {.key = "evacuate/\xff", .value = "{}"}},
                                                  {}, 4, 0);
    BOOST_TEST((state.evacuated == std::set<std::string>{"zone-a"}));
}

// Guards against keys without a usable name that end the daemon or change the state.
BOOST_AUTO_TEST_CASE(evacuation_without_a_name_is_malformed)
{
    for (const std::string name : {"", "\xff\xfe"})
    {
        config_state state{.version = 3};
        BOOST_TEST(
            (fold_record(state, evacuation_record(name, true, 0)).kind == fold_kind::malformed));
        BOOST_TEST(state.evacuated.empty());
        BOOST_TEST(state.next_offset == 1U);
    }
}

// Guards against calls to an evacuated locality, from other daemons or from its own, against
// running calls that are cut, and against an evacuation that does not end.
BOOST_FIXTURE_TEST_CASE(evacuated_upstream_gets_no_calls_until_the_end, two_localities)
{
    this->wait_started();
    this->runner->upstream->processing_time = 1500;
    std::optional<int> running;
    this->start_call(*this->caller, {.id = "running"},
                     [&](const http_result& result) { running = result.response.status; });
    BOOST_REQUIRE(this->run_until(1000, [&] { return this->run_count("running") == 1; }));
    this->evacuate(own_locality);
    BOOST_REQUIRE(this->run_until(2500, [&] { return running.has_value(); }));
    BOOST_TEST(*running == 200);
    this->runner->upstream->processing_time = 5;
    BOOST_TEST(this->wait_status(*this->caller, 503, evacuation_limit_ms));
    BOOST_TEST(this->wait_status(*this->runner, 503, evacuation_limit_ms));
    this->received_requests.clear();
    for (int i = 0; i < 10; ++i)
    {
        BOOST_TEST(this->status(*this->caller) == 503);
        BOOST_TEST(this->status(*this->runner) == 503);
    }
    BOOST_TEST(this->received_requests.empty());
    // Callers on the evacuated VM are served elsewhere.
    BOOST_TEST(this->status(*this->runner, "/desk/x") == 200);
    BOOST_TEST(this->ready_status(*this->runner) == 200);
    this->end_evacuation(own_locality);
    BOOST_TEST(this->wait_status(*this->caller, 200, evacuation_limit_ms));
    BOOST_TEST(this->wait_status(*this->runner, 200, evacuation_limit_ms));
}

// Guards against calls that wait through an evacuation and run late, or are not answered.
BOOST_FIXTURE_TEST_CASE(waiting_calls_are_refused_at_the_change, two_localities)
{
    // A call that misses its latency target waits for a twentieth of its time.
    constexpr time_ms deadline_ms = 60'000;
    this->route_timeout = deadline_ms;
    this->publish(2, {"board", "desk"});
    this->runner->upstream->slots = 1;
    this->wait_started();
    BOOST_REQUIRE(this->run_until(start_limit_ms,
                                  [&]
                                  {
                                      this->status(*this->runner);
                                      return read_file(this->runner->log_file).find(" config=2 ") !=
                                             std::string::npos;
                                  }));
    this->runner->upstream->processing_time = 5000;
    this->start_call(*this->runner, {.deadline = deadline_ms, .id = "running"},
                     [](const http_result&) {});
    BOOST_REQUIRE(this->run_until(1000, [&] { return this->run_count("running") == 1; }));
    std::optional<int> waiting;
    this->start_call(*this->runner, {.deadline = deadline_ms, .id = "waiting"},
                     [&](const http_result& result) { waiting = result.response.status; });
    this->run_for(200);
    BOOST_REQUIRE(!waiting.has_value());
    this->evacuate(own_locality);
    BOOST_REQUIRE(this->run_until(2000, [&] { return waiting.has_value(); }));
    BOOST_TEST(*waiting == 503);
    BOOST_TEST(this->run_count("waiting") == 0);
    BOOST_TEST(this->wait_logged(*this->runner, "locality 'zone-b' is evacuated"));
    BOOST_TEST(this->wait_logged(*this->runner, "event=evacuation locality=zone-b active=yes"));
}

// Guards against an evacuated upstream that gets calls of daemons that do not know of it yet.
BOOST_FIXTURE_TEST_CASE(daemon_beside_the_upstream_refuses_calls, two_localities)
{
    this->wait_started();
    const auto offer = [&]
    {
        http_request request{.headers = {{"X-Request-Id", "offered"}}};
        write_terms(request, {.id = "offered",
                              .instance = this->runner->upstream->instance,
                              .caller_service = "desk",
                              .route = "board",
                              .latency_target_time_left = 300,
                              .time_left = 1000});
        std::optional<http_result> result;
        send_request(
            *this->http,
            {.url = "http://127.0.0.1:" + std::to_string(this->runner->data_port) + "/board/x",
             .headers = request.headers,
             .timeout = 1000},
            [&](http_result value) { result = std::move(value); });
        this->run_until(2 * second_ms, [&] { return result.has_value(); });
        return result ? take_report(result->response) : std::nullopt;
    };
    const auto before = offer();
    BOOST_REQUIRE(before);
    BOOST_TEST((before->outcome == run_outcome::answered));
    this->evacuate(own_locality);
    BOOST_REQUIRE(this->wait_status(*this->runner, 503, evacuation_limit_ms));
    this->received_requests.clear();
    const auto after = offer();
    BOOST_REQUIRE(after);
    BOOST_TEST((after->outcome == run_outcome::not_run));
    BOOST_TEST(after->gone);
    BOOST_TEST(!after->arrived);
    BOOST_TEST(this->received_requests.empty());
}

// Guards against a daemon that does not hear of an evacuation because the store refuses it.
BOOST_FIXTURE_TEST_CASE(daemon_without_the_store_learns_it_from_peers, two_localities)
{
    this->relayed_store = endpoint{"127.0.0.1", rig::free_port("127.0.0.1")};
    this->locality = own_locality;
    rig::fleet_daemon& refused = this->add("board");
    BOOST_REQUIRE(this->wait_members(3, start_limit_ms));
    this->wait_started();
    this->evacuate(own_locality);
    BOOST_TEST(this->wait_status(*this->caller, 503, evacuation_limit_ms));
    BOOST_TEST(this->wait_status(refused, 503, peer_limit_ms));
    BOOST_TEST(this->wait_logged(refused, "event=evacuation locality=zone-b active=yes"));
    this->received_requests.clear();
    BOOST_TEST(this->status(refused) == 503);
    BOOST_TEST(this->received_requests.empty());
    this->end_evacuation(own_locality);
    BOOST_TEST(this->wait_status(refused, 200, peer_limit_ms));
}

// Guards against an evacuation that is forgotten by daemons that start later, from the store's
// newest records or, without the store, from a peer's snapshot.
BOOST_FIXTURE_TEST_CASE(evacuation_outlasts_restarts, two_localities)
{
    this->wait_started();
    this->evacuate(own_locality);
    BOOST_REQUIRE(this->wait_status(*this->runner, 503, evacuation_limit_ms));
    BOOST_REQUIRE(this->wait_status(*this->caller, 503, evacuation_limit_ms));
    this->publish(2, {"board", "desk"});
    this->received_requests.clear();
    this->runner->child_process->signal(SIGKILL);
    this->runner->child_process->wait();
    this->start(*this->runner);
    this->relayed_store = endpoint{"127.0.0.1", rig::free_port("127.0.0.1")};
    const rig::fleet_daemon& late = this->add("desk");
    for (const rig::fleet_daemon* daemon : {&late, static_cast<const rig::fleet_daemon*>(runner)})
    {
        BOOST_TEST(
            this->run_until(start_limit_ms, [&] { return this->ready_status(*daemon) == 200; }));
        BOOST_TEST(this->status(*daemon) == 503);
        BOOST_TEST(this->status(*daemon, "/desk/x") == 200);
    }
    const bool any_run = std::any_of(this->received_requests.begin(), this->received_requests.end(),
                                     [](const rig::received_request& request)
                                     { return request.service == "board"; });
    BOOST_TEST(!any_run);
}

// Guards against a cold upstream that gets more than it can take: from the announcement on, and
// when it becomes cold without telling it.
BOOST_FIXTURE_TEST_CASE(rate_of_a_cold_upstream_is_held, cold_service)
{
    const std::string instance = this->runner->upstream->instance;
    BOOST_TEST(this->load(2 * second_ms, 8) > 0);
    BOOST_TEST(this->runner->upstream->health_requests > 1);
    // The announcements keep saying that it is warm; only a health response tells.
    this->runner->upstream->announces_cold = false;
    const time_ms start = steady_now();
    this->runner->upstream->cold_until = start + 3 * second_ms;
    const int answered = this->load(3 * second_ms, 8);
    const int most = most_in_a_second(this->received_requests, instance, start,
                                      this->runner->upstream->cold_until);
    BOOST_TEST_MESSAGE("at most " << most << " calls in a second while cold, " << answered
                                  << " answered");
    BOOST_TEST(most <= cold_bound);
    BOOST_TEST(answered > 0);
    BOOST_TEST(this->wait_logged(*this->runner, "event=upstream_cold"));
    BOOST_TEST(this->wait_logged(*this->runner, "event=cold_rate_reached"));
}

// Guards against announced cold times that are not applied, or that do not rise again.
BOOST_FIXTURE_TEST_CASE(announced_cold_time_is_applied, cold_service)
{
    this->runner->upstream->answers_health = false;
    const time_ms start = steady_now();
    this->runner->upstream->cold_until = start + 3 * second_ms;
    BOOST_TEST(this->announce(*this->runner) == 200);
    const int answered = this->load(3 * second_ms, 8);
    const int most = most_in_a_second(this->received_requests, this->runner->upstream->instance,
                                      start, this->runner->upstream->cold_until);
    BOOST_TEST_MESSAGE("at most " << most << " calls in a second, " << answered << " answered");
    BOOST_TEST(most <= cold_rate);
    BOOST_TEST(answered > 0);
}

// Guards against a bound that depends on health responses.
BOOST_FIXTURE_TEST_CASE(rate_is_held_without_health_responses, cold_service)
{
    this->runner->upstream->answers_health = false;
    this->runner->upstream->announces_cold = false;
    const time_ms start = steady_now();
    this->runner->upstream->cold_until = start + 10 * second_ms;
    this->load(3 * second_ms, 8);
    const int most = most_in_a_second(this->received_requests, this->runner->upstream->instance,
                                      start, start + 4 * second_ms);
    BOOST_TEST_MESSAGE("at most " << most << " calls in a second");
    BOOST_TEST(most <= cold_bound);
}

// Guards against a warm upstream that is held at the rate of a cold one, and against a restarted
// daemon that exceeds the rate because it forgot the calls of the one before.
BOOST_FIXTURE_TEST_CASE(warm_upstream_is_not_limited_and_a_restart_keeps_the_bound, cold_service)
{
    const int answered = this->load(2 * second_ms, 10);
    BOOST_TEST_MESSAGE(answered << " answered while warm");
    // More than the limit without evidence, 30 in a second, allows in the 2 s.
    BOOST_TEST(answered > 2 * cold_bound);
    const time_ms start = steady_now();
    this->runner->upstream->announces_cold = false;
    this->runner->upstream->cold_until = start + 10 * second_ms;
    this->load(second_ms / 2, 8);
    this->runner->child_process->signal(SIGKILL);
    this->runner->child_process->wait();
    this->start(*this->runner);
    this->load(3 * second_ms, 8);
    const int most = most_in_a_second(this->received_requests, this->runner->upstream->instance,
                                      start, this->runner->upstream->cold_until);
    BOOST_TEST_MESSAGE("at most " << most << " calls in a second across a restart");
    BOOST_TEST(most <= cold_bound);
}
