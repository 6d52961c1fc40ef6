#define BOOST_TEST_MODULE routing
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "sardinepoint/registry.hpp"
#include "sardinepoint/routing.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <ostream>

using namespace sardinepoint;
namespace data = boost::unit_test::data;

namespace sardinepoint
{

std::ostream& operator<<(std::ostream& out, choice_reason reason)
{
    return out << to_string(reason);
}

} // namespace sardinepoint

namespace
{

constexpr time_ms now = 1'000'000;
constexpr int draws = 2000;

struct route_case
{
    const char* failure;
    const char* path;
    const char* service;
};

std::ostream& operator<<(std::ostream& out, const route_case& value)
{
    return out << value.failure;
}

config_state make_routes()
{
    config_state state;
    for (const route& value : {
             route{.name = "root-duty", .prefix = "/duty", .service = "duty"},
             route{.name = "deep", .prefix = "/duty/board", .service = "board"},
             route{.name = "slash", .prefix = "/rosters/", .service = "rosters"},
         })
    {
        state.routes[value.name] = value;
    }
    return state;
}

const route_case route_cases[] = {
    {"the prefix itself has no route", "/duty", "duty"},
    {"a shorter prefix wins", "/duty/board/7", "board"},
    {"the prefix matches inside a segment", "/duty/boards", "duty"},
    {"a longer first segment matches", "/dutyroster", ""},
    {"a prefix that ends in a slash misses its own path", "/rosters", "rosters"},
    {"a prefix that ends in a slash misses paths below it", "/rosters/3", "rosters"},
    {"a path without a route reaches some service", "/", ""},
    {"an empty path reaches some service", "", ""},
};

std::vector<endpoint_candidate> make_candidates(std::size_t count, std::string_view domain = "d0")
{
    std::vector<endpoint_candidate> candidates;
    for (std::size_t index = 0; index < count; ++index)
    {
        candidates.push_back({.member = std::string{domain} + "-" + std::to_string(index),
                              .domain = std::string{domain},
                              .version = "v1",
                              .slots = 15,
                              .latency_ms = 50,
                              .last_completion = now});
    }
    return candidates;
}

/** How often each candidate was chosen; the last element counts refusals. */
std::vector<int> count_choices(const std::vector<endpoint_candidate>& candidates,
                               const choice_request& request, const balance_options& options = {},
                               std::uint64_t seed = 1)
{
    std::mt19937_64 rng{seed};
    spill_budget budget;
    std::vector<int> counts(candidates.size() + 1);
    for (int draw = 0; draw < draws; ++draw)
    {
        const endpoint_choice choice =
            choose_endpoint(candidates, request, options, budget, now, rng);
        counts[choice.index.value_or(candidates.size())] += 1;
    }
    return counts;
}

const choice_request from_d0{.domain = "d0"};

} // namespace

BOOST_DATA_TEST_CASE(matches_routes, data::make(route_cases), value)
{
    const config_state state = make_routes();
    const route* found = match_route(state, value.path);
    BOOST_TEST((found == nullptr ? "" : found->service) == value.service);
}

// Guards against a root route that hides longer prefixes or misses paths.
BOOST_AUTO_TEST_CASE(the_root_route_takes_the_rest)
{
    config_state state = make_routes();
    state.routes["a"] = {.name = "a", .prefix = "/", .service = "rest"};
    BOOST_TEST(match_route(state, "/other")->service == "rest");
    BOOST_TEST(match_route(state, "/duty/1")->service == "duty");
}

struct version_case
{
    const char* failure;
    std::map<std::string, int> versions;
    std::optional<moved_share> moved;
    std::map<std::string, double> expected;
};

std::ostream& operator<<(std::ostream& out, const version_case& value)
{
    return out << value.failure;
}

const version_case version_cases[] = {
    {"shares are ignored", {{"v1", 70}, {"v2", 30}}, {}, {{"v1", 70}, {"v2", 30}}},
    {"a version with share 0 gets calls", {{"v1", 100}, {"v2", 0}}, {}, {{"v1", 100}}},
    {"a new version gets more than its share",
     {{"v1", 100}},
     moved_share{"v1", "v2", 5},
     {{"v1", 95}, {"v2", 5}}},
    {"a move leaves calls behind", {{"v1", 100}}, moved_share{"v1", "v2", 100}, {{"v2", 100}}},
    {"a move takes calls of a third version",
     {{"v1", 50}, {"v3", 50}},
     moved_share{"v1", "v2", 50},
     {{"v1", 25}, {"v2", 25}, {"v3", 50}}},
    {"a negative share is drawn", {{"v1", 100}}, moved_share{"v1", "v2", -5}, {{"v1", 100}}},
};

BOOST_DATA_TEST_CASE(chooses_versions_by_share, data::make(version_cases), value)
{
    constexpr int calls = 20'000;
    std::mt19937_64 rng{7};
    std::map<std::string, double> percents;
    for (int call = 0; call < calls; ++call)
    {
        const auto version = choose_version({"s", value.versions}, value.moved, rng);
        BOOST_TEST_REQUIRE(version.has_value());
        percents[*version] += 100.0 / calls;
    }
    BOOST_TEST(percents.size() == value.expected.size());
    for (const auto& [version, percent] : value.expected)
    {
        BOOST_TEST(std::abs(percents[version] - percent) < 1.5);
    }
}

// Guards against choosing a version that isn't configured.
BOOST_AUTO_TEST_CASE(no_version_is_chosen_from_none)
{
    std::mt19937_64 rng{1};
    BOOST_TEST(!choose_version({"s", {}}, {}, rng).has_value());
    BOOST_TEST(!choose_version({"s", {{"v1", 0}}}, {}, rng).has_value());
}

// Guards against a policy that the linker dropped, and against a silent change of policy.
BOOST_AUTO_TEST_CASE(policies_register_themselves)
{
    BOOST_TEST(registry<balancing_policy>::find("least_loaded") != nullptr);
    BOOST_TEST(registry<balancing_policy>::find("random") != nullptr);
    BOOST_TEST(!registry<balancing_policy>::add("random", {}));
    std::mt19937_64 rng{1};
    spill_budget budget;
    const auto choice =
        choose_endpoint(make_candidates(2), from_d0, {.policy = "absent"}, budget, now, rng);
    BOOST_TEST(!choice.index.has_value());
    BOOST_TEST(choice.reason == choice_reason::unknown_policy);
}

// Guards against choosing from an empty list of candidates.
BOOST_AUTO_TEST_CASE(no_candidate_is_refused)
{
    std::mt19937_64 rng{1};
    spill_budget budget;
    const auto choice = choose_endpoint({}, from_d0, {}, budget, now, rng);
    BOOST_TEST(!choice.index.has_value());
    BOOST_TEST(choice.reason == choice_reason::no_candidate);
}

// Guards against load that accumulates on the busier of two upstreams.
BOOST_AUTO_TEST_CASE(the_less_loaded_upstream_is_chosen)
{
    auto candidates = make_candidates(2);
    candidates[0].in_flight = 4;
    BOOST_TEST(count_choices(candidates, from_d0)[1] == draws);
}

// Guards against a false report that keeps all calls from an upstream or attracts all of them.
BOOST_DATA_TEST_CASE(false_reports_have_a_bounded_effect, data::make({0, 15, 1'000'000, -5}),
                     reported)
{
    auto candidates = make_candidates(2);
    candidates[0].report = {.in_flight = reported, .received = now};
    candidates[1].report = {.in_flight = 8, .received = now};
    candidates[0].in_flight = 5;
    candidates[1].in_flight = 15;
    BOOST_TEST(count_choices(candidates, from_d0)[0] == draws);
    candidates[0].in_flight = 14;
    candidates[1].in_flight = 5;
    BOOST_TEST(count_choices(candidates, from_d0)[1] == draws);
}

// Guards against refusing all calls of a service because all reports say that its upstreams are
// full.
BOOST_AUTO_TEST_CASE(full_reports_do_not_disable_a_service)
{
    auto candidates = make_candidates(3);
    for (endpoint_candidate& candidate : candidates)
    {
        candidate.report = {.in_flight = 100, .received = now};
    }
    BOOST_TEST(count_choices(candidates, from_d0).back() == 0);
}

// Guards against an outdated report that still determines the choice.
BOOST_AUTO_TEST_CASE(reports_age)
{
    auto candidates = make_candidates(2);
    candidates[0].report = {.in_flight = 15, .received = now};
    candidates[1].report = {.in_flight = 0, .received = now};
    candidates[0].in_flight = 2;
    candidates[1].in_flight = 3;
    BOOST_TEST(count_choices(candidates, from_d0)[0] == 0);
    candidates[0].report->received = now - 60'000;
    candidates[1].report->received = now - 60'000;
    BOOST_TEST(count_choices(candidates, from_d0)[0] == draws);
}

// Guards against a slow upstream that gets an equal share of the calls, or is never tried again.
BOOST_AUTO_TEST_CASE(a_slow_upstream_is_avoided_for_a_time)
{
    auto candidates = make_candidates(4);
    candidates[0].latency_ms = 500;
    BOOST_TEST(count_choices(candidates, from_d0)[0] == 0);
    candidates[0].last_completion = now - 120'000;
    BOOST_TEST(count_choices(candidates, from_d0)[0] > 0);
}

// Guards against a cold upstream that gets its full share of the calls at once.
BOOST_AUTO_TEST_CASE(a_new_upstream_starts_slowly)
{
    auto candidates = make_candidates(4);
    const balance_options options;
    candidates[0].first_seen = now;
    const int at_first = count_choices(candidates, from_d0)[0];
    candidates[0].first_seen = now - options.slow_start / 2;
    const int half_way = count_choices(candidates, from_d0)[0];
    candidates[0].first_seen = now - options.slow_start;
    const int at_last = count_choices(candidates, from_d0)[0];
    BOOST_TEST(at_first > 0);
    BOOST_TEST(at_first < draws / 20);
    BOOST_TEST(at_first < half_way);
    BOOST_TEST(half_way < at_last);
    for (endpoint_candidate& candidate : candidates)
    {
        candidate.first_seen = now;
    }
    BOOST_TEST(count_choices(candidates, from_d0).back() == 0);
}

// Guards against calls to a failing upstream, against a back-off that never grows or has no bound,
// and against calls from before the ejection that extend it.
BOOST_AUTO_TEST_CASE(failures_eject_with_growing_backoff)
{
    const balance_options options;
    std::mt19937_64 rng{1};
    auto candidates = make_candidates(4);
    endpoint_candidate& bad = candidates[0];
    time_ms at = now;
    time_ms previous = 0;
    for (int round = 0; round < 12; ++round)
    {
        while (bad.ejected_until <= at)
        {
            record_start(bad, at);
            record_failure(bad, options, 10, at, rng);
        }
        const time_ms until = bad.ejected_until;
        record_start(bad, at);
        record_failure(bad, options, 10, at, rng);
        BOOST_TEST(bad.ejected_until == until);
        const time_ms backoff = until - at;
        BOOST_TEST(backoff <= options.max_ejection_ms * 5 / 4);
        BOOST_TEST((round > 4 || backoff > previous));
        previous = backoff;
        at = until;
    }
    record_start(bad, at);
    record_success(bad, options, 50, {}, at);
    BOOST_TEST(bad.ejections == 0);
    BOOST_TEST(bad.consecutive_failures == 0);
}

// Guards against ejecting too many upstreams, up to all of them.
BOOST_DATA_TEST_CASE(ejection_is_bounded, data::xrange(1, 7), ejected)
{
    auto candidates = make_candidates(6);
    for (int index = 0; index < ejected; ++index)
    {
        candidates[static_cast<std::size_t>(index)].ejected_until = now + 1000;
    }
    const auto counts = count_choices(candidates, from_d0);
    const auto used = std::count_if(counts.begin(), counts.end() - 1, [](int n) { return n > 0; });
    BOOST_TEST(counts.back() == 0);
    BOOST_TEST(used >= 3);
    BOOST_TEST((ejected > 3 || used == 6 - ejected));
    BOOST_TEST((ejected < 6 || used == 6));
}

// Guards against many calls that probe an upstream after its ejection, and against probing it with
// a call that can't be retried.
BOOST_AUTO_TEST_CASE(one_call_probes_an_ejected_upstream)
{
    auto candidates = make_candidates(3);
    endpoint_candidate& tested = candidates[0];
    tested.ejections = 1;
    tested.consecutive_failures = 3;
    tested.ejected_until = now;
    BOOST_TEST(count_choices(candidates, from_d0)[0] > 0);
    BOOST_TEST(count_choices(candidates, {.domain = "d0", .may_probe = false})[0] == 0);
    tested.in_flight = 1;
    for (std::size_t other : {1, 2})
    {
        candidates[other].in_flight = 5;
    }
    BOOST_TEST(count_choices(candidates, from_d0)[0] == 0);
}

// Guards against calls to an upstream that accepts them and never answers.
BOOST_AUTO_TEST_CASE(a_frozen_upstream_is_left_before_any_timeout)
{
    const balance_options options;
    std::mt19937_64 rng{1};
    auto candidates = make_candidates(3);
    endpoint_candidate& frozen = candidates[0];
    frozen.last_completion = now - 250;
    frozen.busy_since = now - 250;
    frozen.in_flight = 2;
    for (std::size_t other : {1, 2})
    {
        candidates[other].in_flight = 10;
    }
    BOOST_TEST(is_stalled(frozen, options, now));
    BOOST_TEST(count_choices(candidates, from_d0)[0] == 0);
    record_failure(frozen, options, 250, now, rng);
    BOOST_TEST(frozen.ejected_until > now);
}

// Guards against an upstream that counts as stalled because it was idle before, or is only slow.
BOOST_AUTO_TEST_CASE(an_idle_or_slow_upstream_is_not_stalled)
{
    const balance_options options;
    auto idle = make_candidates(1).front();
    idle.last_completion = now - 60'000;
    BOOST_TEST(!is_stalled(idle, options, now));
    record_start(idle, now);
    record_start(idle, now);
    BOOST_TEST(!is_stalled(idle, options, now + 150));
    BOOST_TEST(is_stalled(idle, options, now + 200));
    idle.latency_ms = 500;
    BOOST_TEST(!is_stalled(idle, options, now + 200));
}

// Guards against calls that leave their failure domain although it has free slots.
BOOST_AUTO_TEST_CASE(the_own_domain_comes_first)
{
    auto candidates = make_candidates(2);
    candidates[0].in_flight = candidates[1].in_flight = 14;
    candidates.push_back(make_candidates(1, "d1").front());
    BOOST_TEST(count_choices(candidates, from_d0)[2] == 0);
}

// Guards against unbounded spillover that overloads another domain, and against no spillover at
// all.
BOOST_AUTO_TEST_CASE(spill_is_bounded)
{
    auto candidates = make_candidates(2);
    candidates[0].in_flight = 15;
    candidates[1].full_until = now + 10;
    candidates.push_back(make_candidates(1, "d1").front());
    const balance_options options{.spill_fraction = 0.25};
    const auto counts = count_choices(candidates, from_d0, options);
    BOOST_TEST(counts[2] >= draws / 4);
    BOOST_TEST(counts[2] <= draws * options.spill_fraction + spill_budget{}.tokens);
    BOOST_TEST(counts.back() == 0);
}

// Guards against refusing callers of a domain without upstreams while other domains have free
// slots.
BOOST_AUTO_TEST_CASE(a_domain_without_upstreams_uses_the_room_of_others)
{
    const auto candidates = make_candidates(2, "d1");
    const auto counts = count_choices(candidates, from_d0, {.spill_fraction = 0.25});
    BOOST_TEST(counts.back() == 0);
    BOOST_TEST(counts[0] + counts[1] == draws);
}

// Guards against unbounded spillover to full upstreams if the own domain has no upstreams.
BOOST_AUTO_TEST_CASE(spill_to_full_upstreams_is_bounded_without_own_upstreams)
{
    auto candidates = make_candidates(2, "d1");
    for (endpoint_candidate& candidate : candidates)
    {
        candidate.in_flight = candidate.slots;
    }
    const auto counts = count_choices(candidates, from_d0, {.spill_fraction = 0.25});
    BOOST_TEST(counts.back() >= draws / 2);
    BOOST_TEST(counts[0] + counts[1] >= draws / 4);
}

// Guards against a domain whose bad upstreams stay unused while the spillover budget is exhausted.
BOOST_AUTO_TEST_CASE(bad_own_upstreams_are_better_than_a_refusal)
{
    auto candidates = make_candidates(1);
    candidates[0].ejected_until = now + 1000;
    candidates.push_back(make_candidates(1, "d1").front());
    const auto counts = count_choices(candidates, from_d0, {.spill_fraction = 0.25});
    BOOST_TEST(counts[0] >= draws / 2);
    BOOST_TEST(counts.back() == 0);
}

// Guards against a retry that goes to the upstream that has just failed.
BOOST_AUTO_TEST_CASE(a_retry_goes_elsewhere)
{
    const auto candidates = make_candidates(2);
    const std::array<std::string, 1> first{candidates[0].member};
    BOOST_TEST(count_choices(candidates, {.domain = "d0", .tried = first})[1] == draws);
    const std::array<std::string, 2> both{candidates[0].member, candidates[1].member};
    BOOST_TEST(count_choices(candidates, {.domain = "d0", .tried = both}).back() == 0);
}
