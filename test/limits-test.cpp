#define BOOST_TEST_MODULE limits
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "sardinepoint/limits.hpp"

#include <ostream>

using namespace sardinepoint;
namespace data = boost::unit_test::data;

namespace sardinepoint
{

std::ostream& operator<<(std::ostream& out, run_outcome outcome)
{
    return out << to_string(outcome);
}

std::ostream& operator<<(std::ostream& out, slot_decision decision)
{
    return out << to_string(decision);
}

} // namespace sardinepoint

namespace
{

struct classify_case
{
    const char* failure;
    attempt_facts facts;
    run_outcome outcome;
    bool retry;
};

std::ostream& operator<<(std::ostream& out, const classify_case& value)
{
    return out << value.failure;
}

constexpr time_ms ample_time = 500;

const classify_case classify_cases[] = {
    {"a call that was never sent is reported as possibly run",
     {.outcome = call_outcome::not_sent, .idempotent = false, .time_left = ample_time},
     run_outcome::not_run,
     true},
    {"a broken connection makes a non-idempotent call run twice",
     {.outcome = call_outcome::unknown, .idempotent = false, .time_left = ample_time},
     run_outcome::unknown,
     false},
    {"an idempotent call is lost with one upstream",
     {.outcome = call_outcome::unknown, .idempotent = true, .time_left = ample_time},
     run_outcome::unknown,
     true},
    {"a daemon's refusal is not retried",
     {.outcome = call_outcome::answered,
      .outcome_header = "not-run",
      .idempotent = false,
      .time_left = ample_time},
     run_outcome::not_run,
     true},
    {"a daemon's answer without the header counts as proof",
     {.outcome = call_outcome::answered, .idempotent = false, .time_left = ample_time},
     run_outcome::unknown,
     false},
    {"a garbled header counts as proof of not run",
     {.outcome = call_outcome::answered,
      .outcome_header = "not-run, answered",
      .idempotent = false,
      .time_left = ample_time},
     run_outcome::unknown,
     false},
    {"an upstream's own header is believed and the call runs twice",
     {.outcome = call_outcome::answered,
      .from_daemon = false,
      .outcome_header = "not-run",
      .idempotent = false,
      .time_left = ample_time},
     run_outcome::answered,
     false},
    {"an answered call is repeated",
     {.outcome = call_outcome::answered,
      .outcome_header = "answered",
      .idempotent = true,
      .time_left = ample_time},
     run_outcome::answered,
     false},
    {"a daemon's unknown outcome is taken for not run",
     {.outcome = call_outcome::answered,
      .outcome_header = "unknown",
      .idempotent = false,
      .time_left = ample_time},
     run_outcome::unknown,
     false},
    {"a retry starts when the deadline is used up",
     {.outcome = call_outcome::not_sent, .idempotent = true, .time_left = 3},
     run_outcome::not_run,
     false},
};

upstream_slots make_slots(int slots, int queue)
{
    return {.options = {.slots = slots, .max_queue = queue}};
}

} // namespace

BOOST_DATA_TEST_CASE(classifies_attempts, data::make(classify_cases), value)
{
    const failure_class result = classify_failure(value.facts);
    BOOST_TEST(result.outcome == value.outcome);
    BOOST_TEST(result.retry_allowed == value.retry);
}

// Guards against more calls on an upstream than it has slots, and against an unbounded queue.
BOOST_AUTO_TEST_CASE(slots_and_queue_are_hard_limits)
{
    upstream_slots upstream = make_slots(2, 1);
    BOOST_TEST(try_acquire_slot(upstream, 1, 1000, 0) == slot_decision::run);
    BOOST_TEST(try_acquire_slot(upstream, 2, 1000, 0) == slot_decision::run);
    BOOST_TEST(try_acquire_slot(upstream, 3, 1000, 0) == slot_decision::wait);
    BOOST_TEST(try_acquire_slot(upstream, 4, 1000, 0) == slot_decision::queue_full);
    BOOST_TEST(release_slot(upstream, 10, 10).value_or(0) == 3U);
    BOOST_TEST(upstream.slots_used == 2);
    BOOST_TEST(!release_slot(upstream, 10, 20).has_value());
    BOOST_TEST(upstream.slots_used == 1);
}

// Guards against a call that waits for a slot until its deadline has passed.
BOOST_AUTO_TEST_CASE(waiting_takes_a_part_of_the_deadline)
{
    upstream_slots upstream = make_slots(1, 4);
    BOOST_TEST(try_acquire_slot(upstream, 1, 1000, 0) == slot_decision::run);
    BOOST_TEST(try_acquire_slot(upstream, 2, 1000, 0) == slot_decision::wait);
    BOOST_TEST(expire_waiting(upstream, 249).empty());
    BOOST_TEST(expire_waiting(upstream, 250) == std::vector<std::uint64_t>{2},
               boost::test_tools::per_element());
    BOOST_TEST(!release_slot(upstream, 300, 300).has_value());
    BOOST_TEST(try_acquire_slot(upstream, 3, 0, 300) == slot_decision::deadline_too_short);
}

// Guards against queueing a call that by the known hold time can't get a slot in time.
BOOST_AUTO_TEST_CASE(a_deadline_that_cannot_be_met_refuses_at_once)
{
    upstream_slots upstream = make_slots(1, 4);
    BOOST_TEST(try_acquire_slot(upstream, 1, 1000, 0) == slot_decision::run);
    release_slot(upstream, 400, 400);
    BOOST_TEST(try_acquire_slot(upstream, 2, 1000, 400) == slot_decision::run);
    BOOST_TEST(try_acquire_slot(upstream, 3, 1000, 400) == slot_decision::deadline_too_short);
    BOOST_TEST(try_acquire_slot(upstream, 4, 2000, 400) == slot_decision::wait);
}

// Guards against refusing calls that a short queue would still serve well before their deadline.
BOOST_AUTO_TEST_CASE(call_that_can_finish_in_time_is_queued)
{
    constexpr int slots = 15;
    constexpr time_ms service_time = 200;
    constexpr time_ms time_left = 800;
    upstream_slots upstream = make_slots(slots, 100);
    BOOST_TEST(try_acquire_slot(upstream, 0, time_left, 0) == slot_decision::run);
    release_slot(upstream, service_time, service_time);
    std::uint64_t call = 0;
    while (upstream.slots_used < slots)
    {
        try_acquire_slot(upstream, ++call, time_left, service_time);
    }
    while (try_acquire_slot(upstream, ++call, time_left, service_time) == slot_decision::wait)
    {
    }
    // The 15 slots finish two runs each before the last one starts, and two more fit into its time.
    BOOST_TEST(upstream.waiting.size() == 2U * slots);
    BOOST_TEST(upstream.waiting.back().expires_at == time_left - service_time);
}

// Guards against a free slot that stays unused because expired calls are still queued.
BOOST_AUTO_TEST_CASE(expired_waiting_calls_do_not_block_others)
{
    upstream_slots upstream = make_slots(1, 4);
    BOOST_TEST(try_acquire_slot(upstream, 1, 1000, 0) == slot_decision::run);
    BOOST_TEST(try_acquire_slot(upstream, 2, 100, 0) == slot_decision::wait);
    BOOST_TEST(!release_slot(upstream, 50, 50).has_value());
    BOOST_TEST(try_acquire_slot(upstream, 3, 1000, 50) == slot_decision::run);
    BOOST_TEST(!cancel_waiting(upstream, 3));
    BOOST_TEST(cancel_waiting(upstream, 2));
}

// Guards against a retry storm when every call fails.
BOOST_AUTO_TEST_CASE(retries_are_a_bounded_part_of_calls)
{
    constexpr int calls = 10'000;
    retry_budget budget;
    int retries = 0;
    for (int call = 0; call < calls; ++call)
    {
        record_call(budget);
        retries += take_retry_token(budget, 0) ? 1 : 0;
    }
    BOOST_TEST(retries <= calls * budget.retries_per_call + budget.bucket.capacity);
    BOOST_TEST(retries >= calls * budget.retries_per_call * 0.99);
}

// Guards against a bucket that earns tokens while time stands still or steps back.
BOOST_AUTO_TEST_CASE(token_bucket_earns_by_time_only)
{
    token_bucket bucket{.rate_per_second = 10, .capacity = 2, .tokens = 2, .refilled = 1000};
    BOOST_TEST(take_tokens(bucket, 2, 1000));
    BOOST_TEST(!take_tokens(bucket, 1, 500));
    BOOST_TEST(!take_tokens(bucket, 1, 1050));
    BOOST_TEST(take_tokens(bucket, 1, 1100));
    BOOST_TEST(!take_tokens(bucket, 3, 100'000));
}

// Guards against call loops and against hops that outlive their caller.
BOOST_AUTO_TEST_CASE(hops_use_up_time_and_depth)
{
    error reason;
    const auto next = next_hop({.time_left = 100, .depth = 3}, 20, reason);
    BOOST_TEST_REQUIRE(next.has_value());
    BOOST_TEST(next->time_left == 100 - 20 - hop_margin);
    BOOST_TEST(next->depth == 4);
    BOOST_TEST(next_hop({.time_left = 100, .depth = max_call_depth - 1}, 0, reason).has_value());
    BOOST_TEST(!next_hop({.time_left = 100, .depth = max_call_depth}, 0, reason).has_value());
    BOOST_TEST(!next_hop({.time_left = 100, .depth = 0}, 100 - hop_margin, reason).has_value());
    BOOST_TEST((reason.kind == error_kind::expired));
}

// Guards against an attempt that leaves an idempotent call no time for a retry.
BOOST_DATA_TEST_CASE(attempts_leave_time, data::make({1, 40, 60, 1000, 60'000}), left)
{
    BOOST_TEST(attempt_timeout(left, false, false) == left);
    BOOST_TEST(attempt_timeout(left, true, false) <= left);
    BOOST_TEST((left < 100 || attempt_timeout(left, true, false) <= left / 2));
}

// Guards against retries that nearly full upstreams refuse because an earlier attempt used up the
// time to wait for a slot.
BOOST_AUTO_TEST_CASE(attempt_after_a_lost_one_gets_most_of_the_time)
{
    BOOST_TEST(attempt_timeout(1000, true, true) == 800);
    BOOST_TEST(attempt_timeout(40, true, true) == 40);
    BOOST_TEST(attempt_timeout(1000, false, true) == 1000);
}

// Guards against requests that collide because their parts are hashed without separation.
BOOST_AUTO_TEST_CASE(fingerprints_tell_parts_apart)
{
    BOOST_TEST(request_fingerprint("GET", "/a", "b") == request_fingerprint("GET", "/a", "b"));
    BOOST_TEST(request_fingerprint("GET", "/a", "b") != request_fingerprint("GET", "/ab", ""));
    BOOST_TEST(request_fingerprint("GET", "/a", "") != request_fingerprint("PUT", "/a", ""));
}

// Guards against one bad upstream that quarantines a good request, and against a quarantine that
// never ends.
BOOST_AUTO_TEST_CASE(two_upstreams_quarantine_a_request)
{
    quarantine_table table;
    record_crash(table, 7, "a", 1000);
    record_crash(table, 7, "a", 1100);
    BOOST_TEST(!is_quarantined(table, 7, 1100));
    record_crash(table, 7, "b", 2000);
    BOOST_TEST(is_quarantined(table, 7, 2000));
    BOOST_TEST(!is_quarantined(table, 8, 2000));
    BOOST_TEST(is_quarantined(table, 7, 2000 + quarantine_duration_ms - 1));
    BOOST_TEST(!is_quarantined(table, 7, 2000 + quarantine_duration_ms));
    record_crash(table, 7, "c", 2000 + quarantine_duration_ms);
    BOOST_TEST(!is_quarantined(table, 7, 2000 + quarantine_duration_ms));
}

// Guards against entries that keep changing while daemons exchange them, and against crashes that
// are counted twice.
BOOST_AUTO_TEST_CASE(merging_is_idempotent_and_ignores_order)
{
    quarantine_table left;
    quarantine_table right;
    const crash_entry first = record_crash(left, 7, "a", 1000);
    const crash_entry second = record_crash(right, 7, "b", 1500);
    BOOST_TEST(merge_crash(left, second, 1600));
    BOOST_TEST(!merge_crash(left, second, 1700));
    BOOST_TEST(merge_crash(right, first, 1600));
    BOOST_TEST(is_quarantined(left, 7, 1700));
    BOOST_TEST((left.entries.at(7).crashes == right.entries.at(7).crashes));
    BOOST_TEST(left.entries.at(7).last_crash == right.entries.at(7).last_crash);
}

// Guards against a clock that is ahead and extends the quarantine of a request.
BOOST_AUTO_TEST_CASE(crashes_in_the_future_count_as_now)
{
    quarantine_table table;
    const crash_entry entry{
        .fingerprint = 7, .crashes = {{"a", 1}, {"b", 1}}, .last_crash = 900'000};
    BOOST_TEST(merge_crash(table, entry, 1000));
    BOOST_TEST(!is_quarantined(table, 7, 1000 + quarantine_duration_ms));
}

// Guards against the quarantine of popular requests that merely were in flight on crashing
// upstreams.
BOOST_AUTO_TEST_CASE(a_success_after_the_last_crash_ends_the_quarantine)
{
    quarantine_table table;
    BOOST_TEST(!record_success(table, 7, 500));
    BOOST_TEST(table.entries.empty());
    record_crash(table, 7, "a", 1000);
    record_crash(table, 7, "b", 1000);
    BOOST_TEST(!record_success(table, 7, 1000));
    BOOST_TEST(is_quarantined(table, 7, 1000));
    BOOST_TEST(record_success(table, 7, 1001));
    BOOST_TEST(!is_quarantined(table, 7, 1001));
    record_crash(table, 7, "c", 1002);
    BOOST_TEST(is_quarantined(table, 7, 1002));
}

// Guards against suspecting popular requests whenever an upstream crashes.
BOOST_AUTO_TEST_CASE(answered_requests_are_known_for_a_second)
{
    answered_requests answered;
    BOOST_TEST(!answered_recently(answered, 7, 0));
    BOOST_TEST(!answered_recently(answered, 0, 0));
    record_answered(answered, 7, 5000);
    BOOST_TEST(answered_recently(answered, 7, 5000 + answered_retention_ms - 1));
    BOOST_TEST(!answered_recently(answered, 7, 5000 + answered_retention_ms));
    const std::uint64_t same_bucket = 7 + answered.buckets.size();
    BOOST_TEST(!answered_recently(answered, same_bucket, 5000));
    record_answered(answered, same_bucket, 5001);
    BOOST_TEST(answered_recently(answered, same_bucket, 5001));
    BOOST_TEST(!answered_recently(answered, 7, 5001));
}

// Guards against a broadcast for every success of a popular request.
BOOST_AUTO_TEST_CASE(successes_are_broadcast_at_a_bounded_rate)
{
    quarantine_table table;
    int spread = 0;
    constexpr time_ms duration = 10'000;
    for (time_ms now = 1; now <= duration; ++now)
    {
        record_crash(table, 7, "a", now - 1);
        spread += record_success(table, 7, now) ? 1 : 0;
    }
    BOOST_TEST(spread > 0);
    BOOST_TEST(spread <= duration / success_broadcast_interval_ms + 1);
}

// Guards against a success that other daemons don't learn of, and against one in the future.
BOOST_AUTO_TEST_CASE(merging_takes_the_latest_success)
{
    quarantine_table left;
    quarantine_table right;
    record_crash(left, 7, "a", 1000);
    record_crash(left, 7, "b", 1000);
    merge_crash(right, left.entries.at(7), 1000);
    BOOST_TEST(is_quarantined(right, 7, 1100));
    record_success(left, 7, 1200);
    BOOST_TEST(merge_crash(right, left.entries.at(7), 1300));
    BOOST_TEST(!merge_crash(right, left.entries.at(7), 1300));
    BOOST_TEST(!is_quarantined(right, 7, 1300));
    crash_entry ahead = left.entries.at(7);
    ahead.last_success = 900'000;
    merge_crash(right, ahead, 1400);
    BOOST_TEST(right.entries.at(7).last_success == 1400);
}

// Guards against unbounded growth when many different requests crash upstreams.
BOOST_AUTO_TEST_CASE(quarantine_is_bounded_and_keeps_the_newest)
{
    quarantine_table table{.max_entries = 4};
    for (std::uint64_t fingerprint = 0; fingerprint < 100; ++fingerprint)
    {
        record_crash(table, fingerprint, "a", static_cast<time_ms>(fingerprint));
    }
    BOOST_TEST(table.entries.size() == 4U);
    BOOST_TEST(table.entries.contains(99));
    BOOST_TEST(!table.entries.contains(95));
}
