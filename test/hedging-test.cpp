#define BOOST_TEST_MODULE hedging
#include <boost/test/unit_test.hpp>

#include "call_headers.hpp"
#include "hedging/hedge_policy.hpp"
#include "hop_codec.hpp"

#include "sardinepoint/admission.hpp"
#include "sardinepoint/retry_ledger.hpp"

#include <algorithm>
#include <numeric>
#include <random>
#include <string>
#include <vector>

using namespace sardinepoint;

namespace
{

constexpr time_ms start = 100'000;
const std::string route = "lookup";
const std::string service = "board";

/** State with 1,000 recent latencies of 1 to 100 ms. */
hedge_state make_state(double ratio = 0.05, double percentile = 0.95)
{
    hedge_state state{.options = {.ratio = ratio, .percentile = percentile}};
    for (int i = 0; i < 1000; ++i)
    {
        record_attempt_latency(state, route, 1 + i % 100, start);
    }
    return state;
}

hedge_request make_request()
{
    return {.route = route,
            .service = service,
            .is_idempotent = true,
            .arrivals = 1,
            .max_arrivals = 2,
            .load = 0.3};
}

/** An instance with four slots, one in use, and a report 100 ms old. */
instance_view make_view(const std::string& name)
{
    instance_view view;
    view.member = "vm-" + name;
    view.instance = name;
    view.slots = 4;
    view.report = {.running = 1, .service_time = 20};
    view.reported_at = start - 100;
    return view;
}

std::vector<std::size_t> candidates_of(const std::vector<instance_view>& views,
                                       const std::vector<std::string>& tried = {})
{
    std::vector<std::size_t> all(views.size());
    std::iota(all.begin(), all.end(), 0);
    return hedge_candidates(views, all, tried, {}, start);
}

} // namespace

// Guards against hedges of ordinary calls: a percentile that is too low hedges more calls than the
// setting says. The bins are 25% wide.
BOOST_AUTO_TEST_CASE(percentile_is_within_a_bin_of_the_true_one)
{
    std::mt19937_64 random(1);
    std::lognormal_distribution<double> distribution(3, 0.6);
    decaying_latencies latencies;
    std::vector<double> values;
    for (int i = 0; i < 4000; ++i)
    {
        values.push_back(distribution(random));
        record_latency(latencies, values.back(), start);
    }
    std::sort(values.begin(), values.end());
    for (const double percentile : {0.5, 0.9, 0.95, 0.99})
    {
        const double exact = values.at(static_cast<std::size_t>(percentile * 4000));
        const double estimated = latency_percentile(latencies, percentile).value_or(0);
        BOOST_TEST(estimated > exact / 1.25);
        BOOST_TEST(estimated < exact * 1.25);
    }
}

// Guards against percentiles that are determined by one or two calls.
BOOST_AUTO_TEST_CASE(percentile_needs_enough_calls)
{
    decaying_latencies latencies;
    for (int i = 0; i < 39; ++i)
    {
        record_latency(latencies, 10, start);
    }
    BOOST_TEST(!latency_percentile(latencies, 0.95));
    record_latency(latencies, 10, start);
    record_latency(latencies, 10, start);
    BOOST_TEST(latency_percentile(latencies, 0.95).has_value());
    BOOST_TEST(!latency_percentile(latencies, 0.99));
    BOOST_TEST(!hedge_delay(make_state(), "unknown", 0));
}

// Guards against a percentile of a time that is long past.
BOOST_AUTO_TEST_CASE(old_latencies_lose_their_weight)
{
    decaying_latencies latencies;
    for (int i = 0; i < 1000; ++i)
    {
        record_latency(latencies, 500, start);
    }
    for (int i = 0; i < 1000; ++i)
    {
        record_latency(latencies, 10, start + 120'000 + i);
    }
    BOOST_TEST(latency_percentile(latencies, 0.95).value_or(0) < 13);
}

// Guards against out-of-range bins.
BOOST_AUTO_TEST_CASE(extreme_latencies_are_counted)
{
    decaying_latencies latencies;
    for (int i = 0; i < 50; ++i)
    {
        record_latency(latencies, i % 2 == 0 ? 0 : 1e9, start);
    }
    BOOST_TEST(latency_percentile(latencies, 0.3).value_or(0) <= 1);
    BOOST_TEST(latency_percentile(latencies, 0.9).value_or(0) > 40'000);
}

// Guards against hedges and state in deployments that did not ask for them.
BOOST_AUTO_TEST_CASE(nothing_is_kept_while_hedging_is_disabled)
{
    hedge_state state = make_state(0);
    record_capacity_refusal(state, service, start);
    BOOST_TEST(state.attempts_by_route.empty());
    BOOST_TEST(state.refused_at_by_service.empty());
    BOOST_TEST(!hedge_delay(state, route, 0));
}

// Guards against taking responses for slow that wait unread in a busy or just resumed daemon.
BOOST_AUTO_TEST_CASE(delay_allows_for_the_lag_of_the_daemon)
{
    const hedge_state state = make_state();
    const time_ms delay = hedge_delay(state, route, 0).value_or(0);
    BOOST_TEST(delay >= 95 / 1.25);
    BOOST_TEST(delay <= 95 * 1.25);
    BOOST_TEST(hedge_delay(state, route, 200).value_or(0) == delay + 200);
    BOOST_TEST(timer_postponement(start, start + 2) == 0);
    BOOST_TEST(timer_postponement(start, start + 700) == 700);
}

// Guards against hedges in each of the cases in which they are ruled out.
BOOST_AUTO_TEST_CASE(each_condition_alone_prevents_a_hedge)
{
    const hedge_state state = make_state();
    BOOST_TEST(hedge_refusal(state, make_request(), start) == "");
    hedge_request request = make_request();
    request.is_idempotent = false;
    BOOST_TEST(hedge_refusal(state, request, start) == "not_idempotent");
    request = make_request();
    request.is_quarantined = true;
    BOOST_TEST(hedge_refusal(state, request, start) == "quarantined");
    request = make_request();
    request.shutting_down = true;
    BOOST_TEST(hedge_refusal(state, request, start) == "shutdown");
    request = make_request();
    request.arrivals = 2;
    BOOST_TEST(hedge_refusal(state, request, start) == "max_attempts");
    request = make_request();
    request.load = 0.9;
    BOOST_TEST(hedge_refusal(state, request, start) == "load");
}

// Guards against hedges in a burst: one refusal shows that slots are short somewhere.
BOOST_AUTO_TEST_CASE(refusal_pauses_hedging_of_its_service)
{
    hedge_state state = make_state();
    record_capacity_refusal(state, service, start);
    BOOST_TEST(hedge_refusal(state, make_request(), start + 499) == "load");
    BOOST_TEST(hedge_refusal(state, make_request(), start + 500) == "");
    hedge_request other = make_request();
    other.service = "desk";
    BOOST_TEST(hedge_refusal(state, other, start + 1) == "");
}

// Guards against hedges that can't help because every upstream is slow.
BOOST_AUTO_TEST_CASE(slow_attempts_everywhere_stop_hedging)
{
    hedge_state state = make_state();
    for (int i = 0; i < 100; ++i)
    {
        if (i % 20 == 0)
        {
            record_overdue(state, route);
        }
        else
        {
            record_in_time(state, route, 50);
        }
    }
    BOOST_TEST(hedge_refusal(state, make_request(), start) == "");
    for (int i = 0; i < 6; ++i)
    {
        record_overdue(state, route);
    }
    BOOST_TEST(hedge_refusal(state, make_request(), start) == "all_slow");
    for (int i = 0; i < 10; ++i)
    {
        record_in_time(state, route, 50);
    }
    BOOST_TEST(hedge_refusal(state, make_request(), start) == "");
}

// Guards against hedges after the percentile has risen to the time of the slow attempts, so that
// they end within it.
BOOST_AUTO_TEST_CASE(slow_attempts_within_a_raised_delay_stop_hedging)
{
    hedge_state state = make_state();
    for (int i = 0; i < 200; ++i)
    {
        record_in_time(state, route, 400);
        record_attempt_latency(state, route, 400, start);
    }
    BOOST_TEST(hedge_delay(state, route, 0).value_or(0) > 300);
    BOOST_TEST(hedge_refusal(state, make_request(), start) == "all_slow");
}

// Guards against a load estimate that one slow instance with a long queue dominates, and against
// hedging on guesses.
BOOST_AUTO_TEST_CASE(load_counts_recent_reports_only)
{
    std::vector<instance_view> views{make_view("a"), make_view("b")};
    BOOST_TEST(reported_load(views, {}, start) == 0.25);
    views[0].report = {.running = 4, .waiting = 20};
    BOOST_TEST(reported_load(views, {}, start) == 0.625);
    views[0].reported_at = start - 5000;
    BOOST_TEST(reported_load(views, {}, start) == 0.25);
    views[1].reported_at = 0;
    BOOST_TEST(reported_load(views, {}, start) == 1);
}

// Guards against hedges at instances that are, or may be, short of slots, cold or unavailable.
BOOST_AUTO_TEST_CASE(hedges_go_only_to_instances_known_to_be_free)
{
    const instance_view free = make_view("free");
    BOOST_TEST(candidates_of({free}).size() == 1);
    BOOST_TEST(candidates_of({free}, {"free"}).empty());
    instance_view changed = free;
    changed.reported_at = start - 1001;
    BOOST_TEST(candidates_of({changed}).empty());
    changed = free;
    changed.reported_at = 0;
    BOOST_TEST(candidates_of({changed}).empty());
    changed = free;
    changed.report.waiting = 1;
    BOOST_TEST(candidates_of({changed}).empty());
    changed = free;
    changed.sent_since_report = 2;
    BOOST_TEST(candidates_of({changed}).empty());
    changed = free;
    changed.cold_until = start + 1;
    BOOST_TEST(candidates_of({changed}).empty());
    changed = free;
    changed.suspended_until = start + 1;
    BOOST_TEST(candidates_of({changed}).empty());
    BOOST_TEST(hedge_candidates(std::vector{free}, {}, {}, {}, start).empty());
}

// Guards against a second attempt that the deadline is sure to cut off.
BOOST_AUTO_TEST_CASE(hedge_needs_the_usual_service_time)
{
    const hedge_state state = make_state();
    BOOST_TEST(has_time_for_hedge(state, route, 31, 30));
    BOOST_TEST(!has_time_for_hedge(state, route, 30, 30));
    // The median of the route is about 50 ms.
    BOOST_TEST(has_time_for_hedge(state, route, 70, 0));
    BOOST_TEST(!has_time_for_hedge(state, route, 35, 0));
}

// Guards against hedges beyond their ratio of the calls in any window.
BOOST_AUTO_TEST_CASE(hedges_keep_to_their_ratio)
{
    const retry_limits limits{.ratio = 1, .window = 10'000, .extra = 1000};
    retry_counts counts;
    std::vector<time_ms> hedges;
    constexpr int calls = 10'000;
    constexpr time_ms interval = 7;
    for (int i = 0; i < calls; ++i)
    {
        const time_ms now = start + i * interval;
        record_call(counts, service, 0, limits, now);
        if (take_hedge(counts, service, limits, 0.02, 10, now))
        {
            hedges.push_back(now);
        }
    }
    BOOST_TEST(hedges.size() > calls * 0.02 * 0.9);
    BOOST_TEST(hedges.size() <= calls * 0.02);
    // Calls in a window and in the bucket that may be counted with it.
    const double calls_in_window = 10'000.0 * 20 / 19 / interval;
    for (std::size_t i = 0; i < hedges.size(); ++i)
    {
        const auto last = std::upper_bound(hedges.begin(), hedges.end(), hedges[i] + 10'000);
        const auto count = static_cast<double>(last - hedges.begin()) - static_cast<double>(i);
        BOOST_TEST(count <= 0.02 * calls_in_window + 1);
    }
}

// Guards against hedges that leave no budget for retries after failures, and against more hedges
// and retries together than the budget allows.
BOOST_AUTO_TEST_CASE(hedges_take_at_most_half_of_the_retry_budget)
{
    const retry_limits limits{.ratio = 0.2, .window = 10'000, .extra = 0};
    retry_counts counts;
    for (int i = 0; i < 1000; ++i)
    {
        record_call(counts, service, 0, limits, start);
    }
    int hedges = 0;
    while (take_hedge(counts, service, limits, 0.5, 10, start))
    {
        ++hedges;
    }
    // 60% of the budget of 200 is used, and half of that by hedges.
    BOOST_TEST(hedges == 60);
    int retries = 0;
    while (take_retry(counts, service, limits, 10, start))
    {
        ++retries;
    }
    BOOST_TEST(retries == 60);
    retry_counts used;
    for (int i = 0; i < 1000; ++i)
    {
        record_call(used, service, 0, limits, start);
    }
    while (take_retry(used, service, limits, 10, start))
    {
    }
    BOOST_TEST(!take_hedge(used, service, limits, 0.5, 10, start));
}

// Guards against a change on the wire for deployments without hedging.
BOOST_AUTO_TEST_CASE(terms_name_the_free_slot_only_if_set)
{
    http_request request;
    hop_terms terms{.id = "a", .instance = "i"};
    write_terms(request, terms);
    BOOST_TEST(find_header(request.headers, call_headers::terms).value_or("").find("now") ==
               std::string_view::npos);
    BOOST_TEST(!take_terms(request).value().needs_free_slot);
    terms.needs_free_slot = true;
    write_terms(request, terms);
    BOOST_TEST(take_terms(request).value().needs_free_slot);
}

// Guards against a hedge that displaces or delays waiting calls.
BOOST_AUTO_TEST_CASE(free_slot_means_no_queue)
{
    admission_queue queue{.slots = 1};
    BOOST_TEST(has_free_slot(queue));
    admit(queue, {.id = 1, .deadline = start + 1000}, start);
    BOOST_TEST(!has_free_slot(queue));
}
