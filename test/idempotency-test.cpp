#define BOOST_TEST_MODULE idempotency
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "sardinepoint/idempotency.hpp"

#include <array>
#include <ostream>
#include <random>

using namespace sardinepoint;
namespace data = boost::unit_test::data;

namespace sardinepoint
{

std::ostream& operator<<(std::ostream& out, start_status status)
{
    return out << to_string(status);
}

} // namespace sardinepoint

namespace
{

constexpr time_ms start = 1'000'000;

key_table make_table()
{
    return {.id = "rakvere-1.board", .incarnation = 42};
}

struct key_text_case
{
    const char* failure;
    const char* text;
    bool valid;
};

std::ostream& operator<<(std::ostream& out, const key_text_case& value)
{
    return out << value.failure;
}

const key_text_case key_texts[] = {
    {"an id with dots is split wrongly", "a.b.c.42.1000.7", true},
    {"a plain key is refused", "a.42.1000.0", true},
    {"the key of a daemon is refused", "vm-1@10.0.0.1:7000.42.1000.7", true},
    {"a field is missing", "42.1000.7", false},
    {"the id is empty", ".42.1000.7", false},
    {"a leading zero gives one key two texts", "a.42.1000.07", false},
    {"a sign gives one key two texts", "a.42.+1000.7", false},
    {"a negative time is accepted", "a.42.-1000.7", false},
    {"a number overflows silently", "a.42.1000.18446744073709551616", false},
    {"a time overflows silently", "a.42.9223372036854775808.7", false},
    {"trailing text is ignored", "a.42.1000.7 ", false},
    {"control characters reach the log", "a\n.42.1000.7", false},
    {"an empty text is accepted", "", false},
};

} // namespace

BOOST_DATA_TEST_CASE(parses_keys, data::make(key_texts), value)
{
    error reason;
    const auto key = parse_key(value.text, reason);
    BOOST_TEST_REQUIRE(key.has_value() == value.valid);
    if (key)
    {
        BOOST_TEST(to_string(*key) == value.text);
    }
    else
    {
        BOOST_TEST((reason.kind == error_kind::invalid_argument));
    }
}

// Guards against an issued key that its own daemon can't parse, and against duplicate keys.
BOOST_AUTO_TEST_CASE(issued_keys_differ_and_parse)
{
    key_table table = make_table();
    error reason;
    const idempotency_key first = issue_key(table, start);
    const idempotency_key second = issue_key(table, start);
    BOOST_TEST((first != second));
    BOOST_TEST((parse_key(to_string(first), reason) == first));
}

// Guards against a second run during or after the first one, and against a lost response.
BOOST_AUTO_TEST_CASE(a_finished_call_repeats_its_answer)
{
    key_table table = make_table();
    const idempotency_key key = issue_key(table, start);
    BOOST_TEST(start_call(table, key, start).status == start_status::run);
    BOOST_TEST(start_call(table, key, start).status == start_status::in_progress);
    finish_call(table, key, run_outcome::answered, http_response{.status = 201, .body = "x"},
                start);
    const start_result repeated = start_call(table, key, start + 1);
    BOOST_TEST(repeated.status == start_status::finished);
    BOOST_TEST_REQUIRE(repeated.response.has_value());
    BOOST_TEST(repeated.response->status == 201);
    BOOST_TEST(repeated.response->body == "x");
}

// Guards against a key that stays blocked although its call provably did not run.
BOOST_AUTO_TEST_CASE(a_call_not_run_frees_its_key)
{
    key_table table = make_table();
    const idempotency_key key = issue_key(table, start);
    BOOST_TEST(start_call(table, key, start).status == start_status::run);
    finish_call(table, key, run_outcome::not_run, {}, start);
    BOOST_TEST(start_call(table, key, start).status == start_status::run);
}

// Guards against a delayed copy of a request that runs after its caller was told "not run".
BOOST_AUTO_TEST_CASE(a_closed_key_never_runs)
{
    key_table table = make_table();
    const idempotency_key key = issue_key(table, start);
    BOOST_TEST(start_call(table, key, start).status == start_status::run);
    close_key(table, key, start);
    BOOST_TEST(start_call(table, key, start + 1).status == start_status::closed);
    finish_call(table, key, run_outcome::not_run, {}, start);
    BOOST_TEST(start_call(table, key, start + 1).status == start_status::closed);
    BOOST_TEST(start_call(table, key, start + key_lifetime).status == start_status::expired);
}

// Guards against running a call again after an attempt that may have run.
BOOST_AUTO_TEST_CASE(an_unknown_outcome_stays_unknown)
{
    key_table table = make_table();
    const idempotency_key key = issue_key(table, start);
    BOOST_TEST(start_call(table, key, start).status == start_status::run);
    finish_call(table, key, run_outcome::unknown, {}, start);
    finish_call(table, key, run_outcome::not_run, {}, start);
    BOOST_TEST(start_call(table, key, start + 1).status == start_status::outcome_unknown);
    BOOST_TEST(start_call(table, key, start + key_lifetime - key_issue_resolution).status ==
               start_status::outcome_unknown);
    BOOST_TEST(start_call(table, key, start + key_lifetime).status == start_status::expired);
}

// Guards against running calls with keys of other daemons or incarnations, keys that were never
// issued, and keys with a changed issue time.
BOOST_AUTO_TEST_CASE(only_keys_of_this_table_run)
{
    key_table table = make_table();
    const idempotency_key key = issue_key(table, start);
    idempotency_key other = key;
    other.id = "callao-1";
    BOOST_TEST(start_call(table, other, start).status == start_status::not_owner);
    other = key;
    other.incarnation -= 1;
    BOOST_TEST(start_call(table, other, start).status == start_status::not_owner);
    other = key;
    other.sequence += 1;
    BOOST_TEST(start_call(table, other, start).status == start_status::never_issued);
    other = key;
    other.issued_ms += key_issue_resolution;
    BOOST_TEST(start_call(table, other, start).status == start_status::never_issued);
    BOOST_TEST(table.entries.empty());
}

// Guards against a key that runs a second time after its entry was dropped.
BOOST_AUTO_TEST_CASE(expired_keys_never_run)
{
    key_table table = make_table();
    const idempotency_key key = issue_key(table, start);
    BOOST_TEST(start_call(table, key, start).status == start_status::run);
    finish_call(table, key, run_outcome::answered, {}, start);
    drop_expired_keys(table, start + key_lifetime);
    BOOST_TEST(table.entries.empty());
    BOOST_TEST(start_call(table, key, start + key_lifetime).status == start_status::expired);
    // The clock steps back and the issue time is forged.
    idempotency_key forged = key;
    forged.issued_ms += key_lifetime;
    BOOST_TEST(start_call(table, key, start).status == start_status::expired);
    BOOST_TEST(start_call(table, forged, start).status == start_status::expired);
}

// Guards against one request receiving the response to another.
BOOST_AUTO_TEST_CASE(a_key_belongs_to_one_request)
{
    key_table table = make_table();
    const idempotency_key key = issue_key(table, start);
    BOOST_TEST(start_call(table, key, start, 1).status == start_status::run);
    BOOST_TEST(start_call(table, key, start, 2).status == start_status::other_request);
}

// Guards against unbounded growth; a full table must not drop keys that can still be used.
BOOST_AUTO_TEST_CASE(a_full_table_refuses)
{
    key_table table = make_table();
    table.options.max_entries = 2;
    const std::array keys{issue_key(table, start), issue_key(table, start),
                          issue_key(table, start)};
    BOOST_TEST(start_call(table, keys[0], start).status == start_status::run);
    BOOST_TEST(start_call(table, keys[1], start).status == start_status::run);
    BOOST_TEST(start_call(table, keys[2], start).status == start_status::table_full);
    finish_call(table, keys[0], run_outcome::answered, {}, start);
    BOOST_TEST(start_call(table, keys[2], start).status == start_status::table_full);
    finish_call(table, keys[1], run_outcome::not_run, {}, start);
    BOOST_TEST(start_call(table, keys[2], start).status == start_status::run);
}

// Guards against stored responses that exhaust the memory, and against a second run after a
// response was dropped.
BOOST_AUTO_TEST_CASE(answers_stay_within_their_budget)
{
    key_table table = make_table();
    table.options.max_response_bytes = 1000;
    std::vector<idempotency_key> keys;
    for (int call = 0; call < 5; ++call)
    {
        keys.push_back(issue_key(table, start));
        BOOST_TEST(start_call(table, keys.back(), start).status == start_status::run);
        const http_response response{.body = std::string(call == 4 ? 2000 : 300, 'x')};
        finish_call(table, keys.back(), run_outcome::answered, response, start);
        BOOST_TEST(table.response_bytes <= 1000U);
    }
    BOOST_TEST(start_call(table, keys[0], start).status == start_status::finished_answer_dropped);
    BOOST_TEST(start_call(table, keys[3], start).status == start_status::finished);
    BOOST_TEST(start_call(table, keys[4], start).status == start_status::finished_answer_dropped);
    drop_expired_keys(table, start + key_lifetime);
    BOOST_TEST(table.response_bytes == 0U);
    BOOST_TEST(table.stored_responses.empty());
}

// Guards against any order of events that lets a key run twice.
BOOST_DATA_TEST_CASE(a_key_runs_at_most_once, data::xrange(200), seed)
{
    BOOST_TEST_MESSAGE("seed " << seed);
    std::mt19937_64 rng(static_cast<std::uint64_t>(seed));
    const auto draw = [&rng](std::int64_t limit)
    {
        return std::uniform_int_distribution<std::int64_t>(0, limit - 1)(rng);
    };
    key_table table = make_table();
    table.options = {.max_entries = 20, .max_response_bytes = 2000};
    struct issued_key
    {
        idempotency_key key;
        time_ms issued = 0;
        bool running = false;
        bool may_have_run = false;
    };
    std::vector<issued_key> keys;
    time_ms now = start;
    time_ms latest = start;
    for (int step = 0; step < 2000; ++step)
    {
        const std::int64_t action = draw(10);
        if (action == 0 || keys.empty())
        {
            keys.push_back({.key = issue_key(table, now), .issued = latest});
            continue;
        }
        issued_key& chosen = keys[static_cast<std::size_t>(draw(std::ssize(keys)))];
        if (action < 6)
        {
            idempotency_key key = chosen.key;
            key.issued_ms += draw(8) == 0 ? draw(key_lifetime) : 0;
            const start_status status = start_call(table, key, now).status;
            if (status == start_status::run)
            {
                BOOST_TEST_REQUIRE(!chosen.running);
                BOOST_TEST_REQUIRE(!chosen.may_have_run);
                BOOST_TEST_REQUIRE(latest - chosen.issued < key_lifetime);
                chosen.running = true;
            }
        }
        else if (action < 8 && chosen.running)
        {
            const auto outcome = static_cast<run_outcome>(draw(3));
            const http_response response{.body =
                                             std::string(static_cast<std::size_t>(draw(900)), 'x')};
            finish_call(table, chosen.key, outcome, response, now);
            chosen.running = false;
            chosen.may_have_run = outcome != run_outcome::not_run;
        }
        else
        {
            now += draw(20) == 0 ? draw(key_lifetime) : draw(2000) - 500;
            latest = std::max(latest, now);
        }
        BOOST_TEST_REQUIRE(table.entries.size() <= 20U);
        BOOST_TEST_REQUIRE(table.response_bytes <= 2000U);
    }
}
