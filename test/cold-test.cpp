#define BOOST_TEST_MODULE cold
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "cold/cold_gate.hpp"
#include "config_json.hpp"
#include "fleet_words.hpp"
#include "hop_codec.hpp"

#include "sardinepoint/admission.hpp"
#include "sardinepoint/placement.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

using namespace sardinepoint;
using nlohmann::json;

namespace
{

constexpr cold_rate usual_rate{.per_s = 17, .excess = 1.5, .slack = 8};

struct limits_sample
{
    const char* name;
    cold_rate rate;
    cold_limits expected;
};

std::ostream& operator<<(std::ostream& out, const limits_sample& sample)
{
    return out << sample.name;
}

const std::vector<limits_sample> limits_samples{
    {"usual", usual_rate, {.cold = 17, .unproven = 30, .probe_from = 20}},
    {"no excess", {.per_s = 17, .excess = 1, .slack = 0}, {14, 14, 7}},
    {"small", {.per_s = 1, .excess = 1.5, .slack = 8}, {1, 6, 3}},
    {"below one a second", {.per_s = 0.5, .excess = 1, .slack = 0}, {1, 1, 0}},
    {"large", {.per_s = 1000, .excess = 1.5, .slack = 8}, {1000, 1505, 1495}},
};

/** A gate without the starts of an earlier process. */
cold_gate open_gate()
{
    return {.limits = make_cold_limits(usual_rate)};
}

/** Starts calls as long as there is room; returns their number. */
int fill(cold_gate& gate, time_ms now)
{
    int starts = 0;
    while (time_until_room(gate, now) == 0)
    {
        record_start(gate, now);
        ++starts;
    }
    return starts;
}

} // namespace

// Guards against limits that exceed the bound, or that let no call through.
BOOST_DATA_TEST_CASE(limits_stay_within_the_bound, boost::unit_test::data::make(limits_samples),
                     sample)
{
    const cold_limits limits = make_cold_limits(sample.rate);
    BOOST_TEST(limits.cold == sample.expected.cold);
    BOOST_TEST(limits.unproven == sample.expected.unproven);
    BOOST_TEST(limits.probe_from == sample.expected.probe_from);
}

// Guards against more calls than the cold rate while the upstream is known to be cold.
BOOST_AUTO_TEST_CASE(known_cold_upstream_gets_its_rate)
{
    cold_gate gate = open_gate();
    record_announced_cold(gate, 3000, 5000);
    BOOST_TEST(cold_time_left(gate, 6000) == 2000);
    BOOST_TEST(fill(gate, 5000) == 17);
    BOOST_TEST(fill(gate, 5999) == 0);
    BOOST_TEST(time_until_room(gate, 5999) == 26);
    BOOST_TEST(fill(gate, 6025) == 17);
    BOOST_TEST(!wants_probe(gate, 6025));
    BOOST_TEST(fill(gate, 8000) == 30);
}

// Guards against the calls of two cold times in one second, with warm evidence between them.
BOOST_AUTO_TEST_CASE(starts_of_a_cold_time_count_after_its_end)
{
    cold_gate gate = open_gate();
    record_announced_cold(gate, 500, 1000);
    BOOST_TEST(fill(gate, 1400) == 17);
    record_probe_sent(gate, 1600);
    record_probe_result(gate, 0, 1610);
    BOOST_TEST(fill(gate, 1610) == 13);
    record_probe_sent(gate, 2400);
    record_probe_result(gate, 0, 2410);
    BOOST_TEST(fill(gate, 2425) == 30);
}

// Guards against an announcement or a health response that ends a cold time that another one told
// later.
BOOST_AUTO_TEST_CASE(newest_information_on_the_cold_time_counts)
{
    cold_gate gate = open_gate();
    record_announced_cold(gate, 3000, 1000);
    record_announced_cold(gate, 0, 2000);
    BOOST_TEST(cold_time_left(gate, 2000) == 0);
    record_announced_cold(gate, 2500, 2500);
    BOOST_TEST(cold_time_left(gate, 2500) == 2500);
    // Sent before the announcement arrived.
    record_probe_sent(gate, 2400);
    record_probe_result(gate, 0, 2600);
    BOOST_TEST(cold_time_left(gate, 2600) == 2400);
    record_probe_sent(gate, 2700);
    record_probe_result(gate, 0, 2800);
    BOOST_TEST(cold_time_left(gate, 2800) == 0);
    record_probe_sent(gate, 2900);
    record_probe_result(gate, 1500, 3000);
    record_announced_cold(gate, 0, 3100);
    BOOST_TEST(cold_time_left(gate, 3100) == 1400);
}

// Guards against a limit on upstreams that are known to be warm, and against health requests at
// upstreams with few calls.
BOOST_AUTO_TEST_CASE(warm_evidence_makes_room)
{
    cold_gate gate = open_gate();
    for (int i = 0; i < 19; ++i)
    {
        record_start(gate, 100);
        BOOST_TEST(!wants_probe(gate, 100));
    }
    record_start(gate, 100);
    BOOST_TEST(wants_probe(gate, 100));
    record_probe_sent(gate, 100);
    BOOST_TEST(!wants_probe(gate, 101));
    BOOST_TEST(fill(gate, 150) == 10);
    record_probe_result(gate, 0, 160);
    // The starts within the arrival delay before the request still count.
    BOOST_TEST(fill(gate, 160) == 0);
    record_probe_sent(gate, 200);
    record_probe_result(gate, 0, 210);
    BOOST_TEST(fill(gate, 230) == 30);
    BOOST_TEST(!wants_probe(gate, 299));
    BOOST_TEST(wants_probe(gate, 300));
}

// Guards against health requests in quick succession to an upstream that does not answer them.
BOOST_AUTO_TEST_CASE(failed_health_requests_are_spaced)
{
    cold_gate gate = open_gate();
    fill(gate, 1000);
    record_probe_sent(gate, 1000);
    record_probe_result(gate, std::nullopt, 1010);
    BOOST_TEST(!wants_probe(gate, 1399));
    BOOST_TEST(wants_probe(gate, 1400));
}

// Guards against a restarted daemon that adds its calls to those of the process before it.
BOOST_AUTO_TEST_CASE(new_gate_is_closed_until_earlier_starts_are_old)
{
    cold_gate gate = make_cold_gate(make_cold_limits(usual_rate), 1000);
    BOOST_TEST(fill(gate, 1000) == 0);
    BOOST_TEST(wants_probe(gate, 1000));
    BOOST_TEST(fill(gate, 2024) == 0);
    BOOST_TEST(fill(gate, 2025) == 30);
    gate = make_cold_gate(make_cold_limits(usual_rate), 1000);
    record_probe_sent(gate, 1100);
    record_probe_result(gate, 0, 1110);
    BOOST_TEST(fill(gate, 1110) == 13);
}

// Guards against a cold rate that is lost when daemons pass the configuration on, and against a
// change of what they send about services without one.
BOOST_AUTO_TEST_CASE(cold_rate_is_part_of_the_service)
{
    json body{{"Version", "00000002"},
              {"Services",
               {{{"Name", "board"},
                 {"HealthPath", "/healthz"},
                 {"ColdStart", "3000ms"},
                 {"ColdPerS", 17}},
                {{"Name", "desk"}, {"HealthPath", "/healthz"}, {"ColdStart", "3000ms"}},
                {{"Name", "depot"}, {"HealthPath", "/healthz"}, {"ColdPerS", 0}}}},
              {"Limits",
               {{"MaxHeaderBytes", 16384},
                {"MaxBodyBytes", 1000000},
                {"HeaderTimeout", "3000ms"},
                {"IdleTimeout", "15000ms"}}},
              {"Hosts", json::array()}};
    error reason;
    const auto config = fleet::decode_config(body.dump(), reason);
    BOOST_REQUIRE_MESSAGE(config, describe(reason));
    const service_config& board = config->services.at("board");
    BOOST_TEST(board.cold_rate == 17);
    BOOST_TEST(board.cold_time == 3000);
    BOOST_TEST(board.health_path == "/healthz");
    for (const char* name : {"desk", "depot"})
    {
        BOOST_TEST(detail::to_json(config->services.at(name)).size() == 2U, name);
    }
    const auto parsed = parse_whole_config(dump_whole_config(*config), reason);
    BOOST_REQUIRE_MESSAGE(parsed, describe(reason));
    BOOST_TEST(dump_whole_config(*parsed) == dump_whole_config(*config));
    body["Services"][0]["ColdPerS"] = -1;
    BOOST_TEST(!fleet::decode_config(body.dump(), reason));
    body["Services"][0]["ColdPerS"] = 17;
    body["Services"][0]["HealthPath"] = "healthz";
    BOOST_TEST(!fleet::decode_config(body.dump(), reason));
}

// Guards against reports that lose the cold time, and against larger ones for other services.
BOOST_AUTO_TEST_CASE(report_tells_the_cold_time_while_there_is_one)
{
    http_response response;
    write_report(response, {.outcome = run_outcome::not_run,
                            .queue = {.running = 3, .cold_left = 1200, .room_in = 300}});
    const auto report = take_report(response);
    BOOST_REQUIRE(report);
    BOOST_TEST(report->queue.cold_left == 1200);
    BOOST_TEST(report->queue.room_in == 300);
    write_report(response, {.outcome = run_outcome::not_run});
    const std::string value = response.headers.back().value;
    BOOST_TEST(value.find("cold") == std::string::npos);
    BOOST_TEST(value.find("room") == std::string::npos);
}

// Guards against calls that are sent to a cold or evacuated upstream while another one is free.
BOOST_AUTO_TEST_CASE(cold_and_evacuated_instances_are_avoided)
{
    constexpr time_ms now = 1000;
    const auto place = [&](const std::vector<instance_view>& views)
    {
        std::mt19937_64 random{7};
        const auto chosen = place_call(views, {}, {}, now, random);
        return chosen ? views[chosen->index].instance : "";
    };
    const auto view = [&](const std::string& name, const queue_report& report)
    {
        instance_view made{.member = "vm-" + name, .instance = name, .slots = 9};
        record_report(made, report, now - 10);
        return made;
    };
    const queue_report warm{.running = 1, .service_time = 100};
    queue_report cold = warm;
    cold.cold_left = 2000;
    queue_report closed = warm;
    closed.room_in = 500;
    BOOST_TEST(place({view("cold", cold), view("warm", warm)}) == "warm");
    BOOST_TEST(place({view("closed", closed), view("cold", cold)}) == "cold");
    BOOST_TEST(place({view("closed", closed)}) == "closed");
    instance_view evacuated = view("evacuated", warm);
    evacuated.evacuated = true;
    BOOST_TEST(place({evacuated, view("cold", cold)}) == "cold");
    BOOST_TEST(place({evacuated}).empty());
    BOOST_TEST(!shortest_wait(std::vector{evacuated}, {}, now));
    BOOST_TEST(*shortest_wait(std::vector{view("closed", closed)}, {}, now) == 490);
}

// Guards against a health request that takes a slot in use, or keeps the one that it took.
BOOST_AUTO_TEST_CASE(slot_without_a_call_is_passed_on)
{
    admission_queue queue{.slots = 1};
    BOOST_TEST(take_free_slot(queue, 0));
    BOOST_TEST(!take_free_slot(queue, 0));
    const admission waiting =
        admit(queue, {.id = 7, .route = "r", .latency_target_at = 1000, .deadline = 1000}, 0);
    BOOST_TEST((waiting.kind == admission_kind::wait));
    BOOST_TEST(*pass_on_slot(queue, 10).next == 7U);
    BOOST_TEST(queue.running == 1);
    BOOST_TEST(!pass_on_slot(queue, 20).next);
    BOOST_TEST(queue.running == 0);
}
