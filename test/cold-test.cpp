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
#include <array>
#include <optional>
#include <random>
#include <string>
#include <vector>

using namespace sardinepoint;
using nlohmann::json;

namespace
{

constexpr time_ms second_ms = 1000;
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

/** What a wrong daemon does differently in the property test. */
enum class fault
{
    none,
    /** Takes the evidence as of the receipt of the health response. */
    evidence_from_receipt,
    /** Forgets at a restart that calls may have started just before. */
    forgets_starts,
    /** Believes each late announcement that says "not cold". */
    trusts_announcements,
};

/** A message that arrives later than it was sent. */
struct delayed_message
{
    time_ms arrives_at = 0;
    time_ms cold_left = 0;
    std::uint64_t sequence = 0;
    /** Empty if the message is a health response. */
    bool is_announcement = false;
};

/** An upstream that becomes cold at any moment, and the daemon beside it, in virtual time. */
struct simulation
{
    std::mt19937_64 random;
    fault broken = fault::none;
    cold_gate gate = make_cold_gate(make_cold_limits(usual_rate), 0);
    std::vector<std::pair<time_ms, time_ms>> cold_phases;
    /** Arrivals at the upstream while it is cold. */
    std::vector<time_ms> cold_arrivals;
    std::vector<delayed_message> messages;
    std::optional<time_ms> health_lost_at;
    std::uint64_t sequence = 0;
    std::uint64_t known_sequence = 0;
    int started = 0;
    int health_requests = 0;
    time_ms serves_from = 0;

    time_ms uniform(time_ms low, time_ms high)
    {
        return std::uniform_int_distribution<time_ms>(low, high)(this->random);
    }

    bool chance(double probability)
    {
        return std::bernoulli_distribution(probability)(this->random);
    }

    time_ms cold_left_at(time_ms now) const
    {
        for (const auto& [from, until] : this->cold_phases)
        {
            if (now >= from && now < until)
            {
                return until - now;
            }
        }
        return 0;
    }

    void add_cold_phases(time_ms end)
    {
        for (time_ms at = this->uniform(0, 3000); at < end;)
        {
            const time_ms until = at + this->uniform(1500, 4000);
            this->cold_phases.emplace_back(at, until);
            at = until + this->uniform(100, 6000);
        }
    }

    void arrive(time_ms now)
    {
        // The delay that the gate allows for.
        const time_ms at = now + this->uniform(0, 25);
        if (this->cold_left_at(at) > 0)
        {
            this->cold_arrivals.push_back(at);
        }
    }

    void send_health_request(time_ms now)
    {
        ++this->health_requests;
        record_probe_sent(this->gate, now);
        this->arrive(now);
        if (this->chance(0.2))
        {
            this->health_lost_at = now + 500;
            return;
        }
        const time_ms answered_at = now + this->uniform(1, 100);
        this->messages.push_back({.arrives_at = answered_at + this->uniform(0, 200),
                                  .cold_left = this->cold_left_at(answered_at)});
    }

    void receive(const delayed_message& message, time_ms now)
    {
        if (!message.is_announcement)
        {
            if (this->broken == fault::evidence_from_receipt && this->gate.probe_sent_at)
            {
                record_probe_sent(this->gate, now);
            }
            record_probe_result(this->gate, message.cold_left, now);
            return;
        }
        if (message.sequence <= this->known_sequence)
        {
            return;
        }
        this->known_sequence = message.sequence;
        record_announced_cold(this->gate, message.cold_left, now);
        if (this->broken == fault::trusts_announcements && message.cold_left == 0)
        {
            this->gate.warm_at = now;
        }
    }

    void deliver(time_ms now)
    {
        std::vector<delayed_message> due;
        std::erase_if(this->messages,
                      [&](const delayed_message& message)
                      {
                          const bool is_due = message.arrives_at <= now;
                          if (is_due)
                          {
                              due.push_back(message);
                          }
                          return is_due;
                      });
        for (const delayed_message& message : due)
        {
            this->receive(message, now);
        }
        if (this->health_lost_at && *this->health_lost_at <= now)
        {
            this->health_lost_at.reset();
            record_probe_result(this->gate, std::nullopt, now);
        }
    }

    void restart(time_ms now)
    {
        this->serves_from = now + this->uniform(20, 300);
        this->gate = make_cold_gate(make_cold_limits(usual_rate), this->serves_from);
        if (this->broken == fault::forgets_starts)
        {
            this->gate.starts.clear();
        }
        this->health_lost_at.reset();
        this->known_sequence = 0;
        // The responses to the former process's requests are lost; announcements are not.
        std::erase_if(this->messages,
                      [](const delayed_message& message) { return !message.is_announcement; });
    }

    void try_start(time_ms now)
    {
        if (time_until_room(this->gate, now) == 0)
        {
            record_start(this->gate, now);
            ++this->started;
            this->arrive(now);
        }
    }

    /** Plays arrivals of calls whose rate changes each half second, from none to bursts. */
    void run(time_ms end)
    {
        this->add_cold_phases(end);
        double calls_per_ms = 0;
        for (time_ms now = 0; now < end; ++now)
        {
            if (now % 500 == 0)
            {
                constexpr std::array<double, 5> rates{0.005, 0.017, 0.04, 0.09, 0.5};
                calls_per_ms = rates.at(static_cast<std::size_t>(this->uniform(0, 4)));
            }
            if (now % 1500 == 0)
            {
                this->messages.push_back(
                    {.arrives_at = now + (this->chance(0.3) ? this->uniform(0, 4000) : 5),
                     .cold_left = this->cold_left_at(now),
                     .sequence = ++this->sequence,
                     .is_announcement = true});
            }
            if (this->chance(0.0001))
            {
                this->restart(now);
            }
            if (now < this->serves_from)
            {
                continue;
            }
            this->deliver(now);
            const int calls = std::poisson_distribution<int>(calls_per_ms)(this->random);
            for (int i = 0; i < calls; ++i)
            {
                this->try_start(now);
            }
            if (calls > 0 && wants_probe(this->gate, now))
            {
                this->send_health_request(now);
            }
        }
    }

    /** Most arrivals in any second while the upstream was cold. */
    std::size_t most_in_a_second()
    {
        std::sort(this->cold_arrivals.begin(), this->cold_arrivals.end());
        std::size_t most = 0;
        for (auto first = this->cold_arrivals.begin(); first != this->cold_arrivals.end(); ++first)
        {
            const auto end = std::lower_bound(first, this->cold_arrivals.end(), *first + second_ms);
            most = std::max(most, static_cast<std::size_t>(end - first));
        }
        return most;
    }
};

/** Number of runs, of those with consecutive seeds, in which the bound was exceeded. */
int runs_above_bound(fault broken, int runs)
{
    const double bound = usual_rate.per_s * usual_rate.excess + usual_rate.slack;
    constexpr time_ms run_ms = 30'000;
    int above = 0;
    for (int seed = 1; seed <= runs; ++seed)
    {
        simulation run{.random = std::mt19937_64(static_cast<std::uint64_t>(seed)),
                       .broken = broken};
        run.run(run_ms);
        const std::size_t most = run.most_in_a_second();
        above += static_cast<double>(most) > bound ? 1 : 0;
        if (broken == fault::none)
        {
            BOOST_TEST(static_cast<double>(most) <= bound, "seed " << seed << ": " << most);
        }
    }
    return above;
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

// Guards against more starts in a second than a cold upstream bears, for any pattern of arrivals,
// moment of the cold time, restart, late announcement and lost health response.
BOOST_AUTO_TEST_CASE(bound_holds_in_every_second)
{
    BOOST_TEST(runs_above_bound(fault::none, 400) == 0);
}

// Guards against a property test that finds nothing.
BOOST_AUTO_TEST_CASE(broken_variants_exceed_the_bound)
{
    for (const fault broken :
         {fault::evidence_from_receipt, fault::forgets_starts, fault::trusts_announcements})
    {
        const int above = runs_above_bound(broken, 400);
        BOOST_TEST_MESSAGE("variant " << static_cast<int>(broken) << " exceeds the bound in "
                                      << above << " of 400 runs");
        BOOST_TEST(above > 0);
    }
}

// Guards against health requests that cost a large share of the calls at a warm upstream.
BOOST_AUTO_TEST_CASE(warm_upstream_runs_at_full_rate_with_few_health_requests)
{
    simulation run{.random = std::mt19937_64(1)};
    run.gate = open_gate();
    int offered = 0;
    for (time_ms now = 0; now < 60'000; ++now)
    {
        run.deliver(now);
        if (now % 20 == 0)
        {
            ++offered;
            run.try_start(now);
            if (wants_probe(run.gate, now))
            {
                ++run.health_requests;
                record_probe_sent(run.gate, now);
                run.messages.push_back({.arrives_at = now + 20});
            }
        }
    }
    BOOST_TEST(run.started == offered);
    BOOST_TEST_MESSAGE(run.health_requests << " health requests for " << run.started << " calls");
    BOOST_TEST(run.health_requests * 10 < run.started);
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
