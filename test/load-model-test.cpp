#define BOOST_TEST_MODULE load_model
#include <boost/test/unit_test.hpp>

#include "model/load_model.hpp"

#include <cmath>
#include <fstream>
#include <sstream>
#include <string>

using namespace model;

namespace
{

scenario load_scenario(const std::string& name)
{
    std::ifstream file(std::string(SARDINEPOINT_SOURCE_DIR) + "/support/model/scenarios/" + name);
    std::stringstream text;
    text << file.rdbuf();
    sardinepoint::error reason;
    auto plan = parse_scenario(text.str(), reason);
    BOOST_TEST_REQUIRE(plan.has_value(), describe(reason));
    return *plan;
}

policy make_policy(const std::string& text)
{
    sardinepoint::error reason;
    const auto parsed = parse_policy(text, reason);
    BOOST_TEST_REQUIRE(parsed.has_value(), describe(reason));
    return *parsed;
}

scenario scale_load(scenario plan, double factor)
{
    for (route_load& route : plan.routes)
    {
        route.calls_per_second *= factor;
    }
    return plan;
}

} // namespace

// Guards against random draws that don't depend on the seed alone.
BOOST_AUTO_TEST_CASE(same_seed_gives_the_same_figures)
{
    const scenario plan = load_scenario("burst.json");
    const run_metrics first = run_scenario(plan, {}, 3);
    const run_metrics second = run_scenario(plan, {}, 3);
    BOOST_TEST(first.total == second.total);
    BOOST_TEST(first.routes[0].within_latency_target == second.routes[0].within_latency_target);
    BOOST_TEST(first.total != run_scenario(plan, {}, 4).total);
}

// Guards against calls that the simulation counts twice or loses.
BOOST_AUTO_TEST_CASE(every_call_is_counted_once)
{
    for (const char* name : {"burst.json", "short_of_room.json"})
    {
        const run_metrics metrics = run_scenario(load_scenario(name), {}, 1);
        for (const route_metrics& route : metrics.routes)
        {
            BOOST_TEST(route.within_latency_target + route.late + route.refused + route.failed ==
                           route.calls,
                       name << " " << route.name);
        }
    }
}

// Guards against refused or late calls although the upstreams have spare capacity.
BOOST_AUTO_TEST_CASE(light_load_is_served_in_time)
{
    scenario plan = scale_load(load_scenario("burst.json"), 0.4);
    plan.disturbances.clear();
    const run_metrics metrics = run_scenario(plan, {}, 1);
    BOOST_TEST(metrics.served > 0.999);
    BOOST_TEST(metrics.utility_fraction > 0.97);
}

// Guards against a simulation that runs more calls at a time than the upstreams have slots.
BOOST_AUTO_TEST_CASE(no_policy_exceeds_the_capacity)
{
    scenario plan = scale_load(load_scenario("burst.json"), 4);
    plan.disturbances.clear();
    for (const char* text : {"", "even_share=1,least_share=0", "late_wait_part=0.45"})
    {
        const run_metrics metrics = run_scenario(plan, make_policy(text), 1);
        const route_metrics& lookups = metrics.routes[0];
        // 40 slots of mean speed 0.925 (0.7, 1.0, 1.3 and 0.7) and calls of 90 ms for 15 s; 5% more
        // for calls that end after the 15 s.
        BOOST_TEST(lookups.within_latency_target + lookups.late <= 40 * 0.925 / 0.09 * 15 * 1.05);
    }
}

// Guards against option changes that lose the gain over the earlier options under overload.
BOOST_AUTO_TEST_CASE(default_policy_beats_the_previous_one_under_high_load)
{
    const policy previous_policy =
        make_policy("goal_margin=1,late_wait_part=0.45,even_share=1,least_share=0,"
                    "knows_first_attempt=0");
    for (const char* name : {"burst.json", "short_of_room.json"})
    {
        const scenario plan = load_scenario(name);
        double gain = 0;
        for (std::uint64_t seed = 1; seed <= 3; ++seed)
        {
            gain += (run_scenario(plan, {}, seed).total -
                     run_scenario(plan, previous_policy, seed).total) /
                    3;
        }
        BOOST_TEST_MESSAGE(name << " gain " << gain);
        BOOST_TEST(gain > 0);
    }
}

// Guards against decisions that get worse as the fleet grows: in a fleet of 295 upstreams a daemon
// hears from each of them twice a minute, and without their service times a quarter of the calls
// more were late.
BOOST_AUTO_TEST_CASE(advertised_service_times_help_a_large_fleet)
{
    const policy previous_policy = make_policy("advertises_service_time=0,similar_wait_weight=0");
    const scenario plan = load_scenario("large_fleet.json");
    const auto late = [](const run_metrics& metrics)
    {
        double sum = 0;
        for (const route_metrics& route : metrics.routes)
        {
            sum += route.late;
        }
        return sum;
    };
    const run_metrics now = run_scenario(plan, {}, 1);
    const run_metrics before = run_scenario(plan, previous_policy, 1);
    BOOST_TEST_MESSAGE("late " << late(now) << " before " << late(before));
    BOOST_TEST(now.total > before.total);
    BOOST_TEST(late(now) < late(before));
}

// Guards against calls that hedging counts twice or loses, and against hedges beyond the ratio.
BOOST_AUTO_TEST_CASE(hedged_calls_are_counted_once)
{
    const policy hedging = make_policy("hedge_ratio=0.03,hedge_percentile=0.9");
    for (const char* name : {"calm.json", "slow_upstreams.json", "burst.json"})
    {
        const run_metrics metrics = run_scenario(load_scenario(name), hedging, 1);
        for (const route_metrics& route : metrics.routes)
        {
            BOOST_TEST(route.within_latency_target + route.late + route.refused + route.failed ==
                           route.calls,
                       name << " " << route.name);
        }
        BOOST_TEST(metrics.hedges > 0);
        BOOST_TEST(metrics.hedges <= 0.03);
    }
}

// Guards against hedges that don't shorten the tail when some upstreams are slow.
BOOST_AUTO_TEST_CASE(hedging_helps_with_slow_upstreams)
{
    const policy hedging = make_policy("hedge_ratio=0.05");
    const scenario plan = load_scenario("slow_upstreams.json");
    constexpr int seeds = 5;
    double p99_change = 0;
    double late_change = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        const run_metrics with = run_scenario(plan, hedging, seed);
        const run_metrics without = run_scenario(plan, {}, seed);
        p99_change += (with.p99_ms - without.p99_ms) / seeds;
        late_change += (with.late - without.late) / seeds;
        BOOST_TEST(with.served >= without.served - 0.001);
    }
    BOOST_TEST_MESSAGE("change of p99 " << p99_change << " ms, of late calls " << late_change);
    BOOST_TEST(p99_change < 0);
    BOOST_TEST(late_change < 0);
}

// Guards against hedges that take slots from other calls when slots are short: the 95% interval of
// the change must not lie below 0, and there must be fewer hedges than in normal operation.
BOOST_AUTO_TEST_CASE(hedging_does_no_harm_in_a_burst)
{
    const policy hedging = make_policy("hedge_ratio=0.05");
    constexpr int seeds = 10;
    // Two-sided 95% quantile of Student's t distribution with 9 degrees of freedom.
    constexpr double t_quantile = 2.26;
    const double calm_hedges = run_scenario(load_scenario("calm.json"), hedging, 1).hedges;
    for (const char* name : {"burst.json", "short_of_room.json"})
    {
        const scenario plan = load_scenario(name);
        double sum = 0;
        double squares = 0;
        double hedges = 0;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed)
        {
            const run_metrics with = run_scenario(plan, hedging, seed);
            const double change = with.total - run_scenario(plan, {}, seed).total;
            sum += change;
            squares += change * change;
            hedges += with.hedges / seeds;
        }
        const double mean = sum / seeds;
        const double deviation = std::sqrt((squares - sum * mean) / (seeds - 1) / seeds);
        BOOST_TEST_MESSAGE(name << " change " << mean << " +- " << t_quantile * deviation
                                << ", hedges " << hedges << ", calm " << calm_hedges);
        BOOST_TEST(mean + t_quantile * deviation > 0);
        BOOST_TEST(hedges < calm_hedges / 2);
    }
}

// Guards against errors that don't name the invalid item, and against errors without a remedy.
BOOST_AUTO_TEST_CASE(errors_name_the_invalid_input)
{
    sardinepoint::error reason;
    BOOST_TEST(!parse_policy("late_wait_part=much", reason));
    BOOST_TEST(reason.message.find("late_wait_part=much") != std::string::npos);
    BOOST_TEST(!parse_policy("colour=1", reason));
    BOOST_TEST(reason.remedy.find("goal_margin") != std::string::npos);
    for (const char* text :
         {"", "[]", R"({"name": "x"})",
          R"({"name": "x", "length_ms": 1, "services": [], "routes": [], "unknown": 1})",
          R"({"name": "x", "length_ms": 1, "services": [], "routes": [{"name": "r", "service": "s",
              "work_ms": 1, "goal_ms": 1, "deadline_ms": 1}]})"})
    {
        BOOST_TEST(!parse_scenario(text, reason));
        BOOST_TEST(!reason.remedy.empty());
    }
}
