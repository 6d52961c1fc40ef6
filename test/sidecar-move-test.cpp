#define BOOST_TEST_MODULE sidecar_move
#include <boost/test/unit_test.hpp>

#include "three_upstreams.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

using namespace sardinepoint;
using nlohmann::json;

namespace
{

/** New upstreams of the version v2 and the calls that are sent during the move to it. */
struct move_scenario
{
    std::size_t new_upstreams = 2;
    int new_status = 200;
    /** Processing time of a new upstream from a call on, by their numbers; empty for the usual. */
    std::function<time_ms(std::size_t upstream, std::uint64_t call)> new_processing_time;
    time_ms call_interval = 8;
    time_ms duration = 12000;
};

/** Makes each new upstream slow in every other round of calls to all daemons. */
std::function<time_ms(std::size_t, std::uint64_t)> half_slow(time_ms usual, time_ms slow)
{
    return [usual, slow](std::size_t, std::uint64_t call)
    {
        return call / 3 % 2 == 0 ? usual : slow;
    };
}

void order_move(rig::fleet& fleet, const std::string& version, time_ms duration)
{
    fleet.store.write("keyed.op", "rollout/board",
                      json{{"Service", "board"},
                           {"TargetVersion", version},
                           {"Duration", std::to_string(duration) + "ms"}}
                          .dump());
}

/** Starts a move to v2, sends calls until it ends or its time is up, and returns its recorded
 * state. */
std::string move_to_v2(three_upstreams& fleet, const move_scenario& scenario)
{
    const time_ms duration = scenario.duration;
    std::vector<rig::fleet_upstream*> added;
    for (std::size_t i = 0; i < scenario.new_upstreams; ++i)
    {
        added.push_back(fleet.add("board", "v2").upstream.get());
        added.back()->status = scenario.new_status;
    }
    order_move(fleet, "v2", duration);
    const time_ms end = steady_now() + duration;
    std::string state;
    std::uint64_t next = 0;
    while (steady_now() < end && (state.empty() || state == "active"))
    {
        for (std::size_t i = 0; scenario.new_processing_time && i < added.size(); ++i)
        {
            added[i]->processing_time = scenario.new_processing_time(i, next);
        }
        fleet.start_call(fleet.daemon(next++ % 3), {}, [](const http_result&) {});
        fleet.run_for(scenario.call_interval);
        const std::string status = fleet.store.newest("keyed.status", "rollout/board");
        state = status.empty() ? "" : json::parse(status).value("State", "");
    }
    return state;
}

double calls_of_version(const rig::fleet& fleet, std::string_view version)
{
    return static_cast<double>(std::count_if(
        fleet.received_requests.begin(), fleet.received_requests.end(),
        [version](const rig::received_request& request) { return request.version == version; }));
}

/** Number of calls that a bad version may receive. */
double exposure_limit(const rig::fleet& fleet)
{
    constexpr double exposure_share = 0.1;
    constexpr double exposure_slack = 50;
    return exposure_share * static_cast<double>(fleet.received_requests.size()) + exposure_slack;
}

} // namespace

// Guards against a good version that isn't rolled out completely before the deadline.
BOOST_FIXTURE_TEST_CASE(good_version_is_complete_in_time, three_upstreams)
{
    BOOST_TEST(move_to_v2(*this, {.new_status = 200}) == "complete");
    this->received_requests.clear();
    for (std::size_t i = 0; i < 30; ++i)
    {
        this->call(this->daemon(i % 3), {});
    }
    for (const rig::received_request& request : this->received_requests)
    {
        BOOST_TEST(request.version == "v2", request.id + " ran on " + request.instance);
    }
}

// Guards against a bad version that gets many calls, or any calls after it was withdrawn.
BOOST_FIXTURE_TEST_CASE(bad_version_is_withdrawn, three_upstreams)
{
    BOOST_TEST(move_to_v2(*this, {.new_status = 500}) == "rolled_back");
    int bad = 0;
    for (const rig::received_request& request : this->received_requests)
    {
        bad += request.version == "v2" ? 1 : 0;
    }
    BOOST_TEST(bad >= 1);
    BOOST_TEST(bad <= 50);
    this->run_for(500);
    this->received_requests.clear();
    for (std::size_t i = 0; i < 30; ++i)
    {
        BOOST_TEST(this->call(this->daemon(i % 3), {}).response.status == 200);
    }
    for (const rig::received_request& request : this->received_requests)
    {
        BOOST_TEST(request.version == "v1");
    }
    BOOST_TEST(this->store.write_count("keyed.status", "rollout/board") <= 2);
}

// Guards against a bad version that is never withdrawn because the order to it came while an older
// one was active, and against the older order that is decided without evidence once it is replaced.
BOOST_FIXTURE_TEST_CASE(bad_version_of_a_second_order_is_withdrawn, three_upstreams)
{
    constexpr time_ms duration_ms = 12000;
    constexpr time_ms withdrawal_limit_ms = 5000;
    constexpr std::size_t first_offset = 9;
    this->add("board", "v2");
    int answers = 0;
    this->add("board", "v3").upstream->modify_response = [&](http_response& response)
    {
        response.status = ++answers % 2 == 0 ? 500 : 200;
    };
    while (this->store.topics["keyed.op"].records.size() < first_offset)
    {
        this->store.write("keyed.op", "padding", "");
    }
    time_ms fiftieth_failure = 0;
    int late_calls = 0;
    const auto send_calls = [&](time_ms time)
    {
        const time_ms end = steady_now() + time;
        for (std::size_t next = 0; steady_now() < end; ++next)
        {
            this->start_call(this->daemon(next % 3), {}, [](const http_result&) {});
            this->run_for(8);
        }
    };
    order_move(*this, "v2", duration_ms);
    send_calls(2000);
    order_move(*this, "v3", duration_ms);
    send_calls(duration_ms);
    int calls = 0;
    for (const rig::received_request& request : this->received_requests)
    {
        calls += request.version == "v3" ? 1 : 0;
        // Every second call fails.
        fiftieth_failure = calls == 100 && fiftieth_failure == 0 ? request.at : fiftieth_failure;
        late_calls += request.version == "v3" && fiftieth_failure > 0 &&
                              request.at > fiftieth_failure + withdrawal_limit_ms
                          ? 1
                          : 0;
    }
    BOOST_TEST(calls >= 1);
    BOOST_TEST(calls <= exposure_limit(*this));
    BOOST_TEST(late_calls == 0);
    const json status = json::parse(this->store.newest("keyed.status", "rollout/board"));
    BOOST_TEST(status.value("State", "") == "rolled_back");
    BOOST_TEST(status.value("TargetVersion", "") == "v3");
    // The first order gets no outcome, as its version got no calls from the second one on.
    std::uint64_t newest_order = 0;
    for (const auto& [key, value] : this->store.topics["keyed.status"].records)
    {
        if (key == "rollout/board")
        {
            const json written = json::parse(value);
            const auto order = written.value("order", std::uint64_t{0});
            BOOST_TEST(order >= newest_order);
            BOOST_TEST((order > first_offset + 1 || written.value("State", "") == "active"));
            newest_order = std::max(newest_order, order);
        }
    }
}

// Guards against a slow version that is completed because each daemon alone has too few calls to
// learn what is slow.
BOOST_FIXTURE_TEST_CASE(slow_version_is_withdrawn_under_little_traffic, three_upstreams)
{
    BOOST_TEST(move_to_v2(*this, {.new_processing_time = half_slow(5, 60), .call_interval = 35}) ==
               "rolled_back");
    BOOST_TEST(calls_of_version(*this, "v2") <= exposure_limit(*this));
}

// Guards against a good version that is withdrawn because the one upstream that gets its first
// calls is slow.
BOOST_FIXTURE_TEST_CASE(good_version_with_a_slow_upstream_is_complete, three_upstreams)
{
    const auto first_is_slow = [](std::size_t upstream, std::uint64_t) -> time_ms
    {
        return upstream == 0 ? 60 : 5;
    };
    BOOST_TEST(move_to_v2(*this, {.new_upstreams = 4,
                                  .new_processing_time = first_is_slow,
                                  .call_interval = 35}) == "complete");
}

// Guards against a slow version whose share rises while its slow calls still run, because only its
// fast calls have ended.
BOOST_FIXTURE_TEST_CASE(running_calls_show_that_a_version_is_slow, three_upstreams)
{
    BOOST_TEST(move_to_v2(*this, {.new_processing_time = half_slow(5, 1500),
                                  .call_interval = 20}) == "rolled_back");
    BOOST_TEST(calls_of_version(*this, "v2") <= exposure_limit(*this));
}
