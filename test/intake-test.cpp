#define BOOST_TEST_MODULE intake
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "intake/budget.hpp"
#include "intake/limits.hpp"

#include <algorithm>
#include <cstdint>
#include <ostream>
#include <string>
#include <vector>

using namespace sardinepoint;
using namespace sardinepoint::intake;

namespace
{

constexpr std::size_t mb = 1U << 20U;

/** A budget of 100 bytes and two listeners that may hold 100 and 40 of them. */
struct budget_fixture
{
    byte_budget budget{.max_bytes = 100};
    std::size_t calls = add_listener(this->budget, 100);
    std::size_t control = add_listener(this->budget, 40);

    void add(std::size_t listener, std::uint64_t id, std::size_t bytes, time_ms progressed_at = 0,
             std::uint32_t peer = 1)
    {
        add_connection(this->budget, {listener, id}, peer, progressed_at);
        set_held_bytes(this->budget, {listener, id}, bytes);
    }

    std::vector<std::uint64_t> shed(time_ms now) const
    {
        std::vector<std::uint64_t> ids;
        for (const connection_key& key : choose_to_shed(this->budget, now))
        {
            ids.push_back(key.connection);
        }
        return ids;
    }
};

using ids = std::vector<std::uint64_t>;

settings settings_of(int memory_mb)
{
    settings config;
    config.memory_mb = memory_mb;
    return config;
}

struct length_sample
{
    std::string text;
    bool oversized = false;
};

std::ostream& operator<<(std::ostream& out, const length_sample& sample)
{
    return out << sample.text;
}

const std::vector<length_sample> length_samples{
    {"0", false},     {"1000", false}, {"1001", true},
    {"", false},      {"-5", false},   {"99999999999999999999999", true},
    {"10x01", false},
};

} // namespace

// Guards against closed connections although the budget holds.
BOOST_FIXTURE_TEST_CASE(nothing_is_shed_within_the_budget, budget_fixture)
{
    this->add(this->calls, 1, 60);
    this->add(this->control, 2, 40);
    BOOST_TEST(!is_exceeded(this->budget));
    BOOST_TEST(this->shed(1000).empty());
}

// Guards against dropping small callers while one holds most.
BOOST_FIXTURE_TEST_CASE(largest_connection_is_shed_first, budget_fixture)
{
    this->add(this->calls, 1, 10);
    this->add(this->calls, 2, 80);
    this->add(this->calls, 3, 20);
    BOOST_TEST(this->shed(0) == ids{2}, boost::test_tools::per_element());
}

// Guards against dropping a client that sends while an equal one has stopped.
BOOST_FIXTURE_TEST_CASE(stalled_connection_is_shed_before_an_active_one, budget_fixture)
{
    this->add(this->calls, 1, 52, 9000);
    this->add(this->calls, 2, 50, 1000);
    BOOST_TEST(this->shed(9000) == ids{2}, boost::test_tools::per_element());
}

// Guards against dropping a caller that is being served while an equal one never was.
BOOST_FIXTURE_TEST_CASE(connection_with_completed_requests_is_shed_later, budget_fixture)
{
    this->add(this->calls, 1, 52);
    this->add(this->calls, 2, 50);
    record_completed(this->budget, {this->calls, 1});
    BOOST_TEST(this->shed(0) == ids{2}, boost::test_tools::per_element());
}

// Guards against a peer address that holds most of the budget on many small connections.
BOOST_FIXTURE_TEST_CASE(connections_of_a_peer_that_holds_most_are_shed_first, budget_fixture)
{
    this->add(this->calls, 1, 23, 0, 7);
    for (std::uint64_t id = 2; id <= 5; ++id)
    {
        this->add(this->calls, id, 20, 0, 8);
    }
    const ids chosen = this->shed(0);
    BOOST_TEST(!chosen.empty());
    BOOST_TEST(std::count(chosen.begin(), chosen.end(), 1U) == 0);
}

// Guards against a control port whose clients use the memory of calls.
BOOST_FIXTURE_TEST_CASE(listener_above_its_own_limit_pays_alone, budget_fixture)
{
    this->add(this->calls, 1, 50);
    this->add(this->control, 2, 20);
    this->add(this->control, 3, 22);
    BOOST_TEST(this->shed(0) == ids{3}, boost::test_tools::per_element());
}

// Guards against a total that is brought down at the cost of a listener that uses little.
BOOST_FIXTURE_TEST_CASE(listener_with_the_largest_part_of_its_limit_pays_for_the_total,
                        budget_fixture)
{
    this->add(this->calls, 1, 70);
    this->add(this->control, 2, 39);
    BOOST_TEST(this->shed(0) == ids{2}, boost::test_tools::per_element());
}

// Guards against shedding that stops just below the limit and so scans again for each piece.
BOOST_FIXTURE_TEST_CASE(shedding_leaves_room, budget_fixture)
{
    for (std::uint64_t id = 1; id <= 101; ++id)
    {
        this->add(this->calls, id, 1);
    }
    BOOST_TEST(this->shed(0).size() >= 101 - 100 + 100 / 8);
}

// Guards against sums that drift when connections change and close.
BOOST_FIXTURE_TEST_CASE(sums_return_to_zero, budget_fixture)
{
    this->add(this->calls, 1, 30, 0, 5);
    this->add(this->control, 1, 20, 0, 5);
    set_held_bytes(this->budget, {this->calls, 1}, 10);
    BOOST_TEST(this->budget.bytes == 30U);
    BOOST_TEST(this->budget.bytes_by_peer.at(5) == 30U);
    remove_connection(this->budget, {this->calls, 1});
    remove_connection(this->budget, {this->control, 1});
    remove_connection(this->budget, {this->control, 9});
    set_held_bytes(this->budget, {this->control, 1}, 50);
    BOOST_TEST(this->budget.bytes == 0U);
    BOOST_TEST(this->budget.listeners[this->calls].bytes == 0U);
    BOOST_TEST(this->budget.listeners[this->control].bytes == 0U);
    BOOST_TEST(this->budget.bytes_by_peer.empty());
    BOOST_TEST(this->budget.connections.empty());
}

// Guards against a new caller that replaces a connection with a running request or a reused one.
BOOST_AUTO_TEST_CASE(unused_connection_is_evicted_first)
{
    const std::vector<connection_state> states{
        {.connection = 1, .busy = true, .last_activity = 0},
        {.connection = 2, .completed = 5, .last_activity = 10},
        {.connection = 3, .last_activity = 30},
        {.connection = 4, .last_activity = 20},
    };
    BOOST_TEST(choose_to_evict(states).value() == 4U);
    BOOST_TEST(choose_to_evict(std::span(states).first(2)).value() == 2U);
    BOOST_TEST(!choose_to_evict(std::span(states).first(1)).has_value());
}

// Guards against cutting a large body that arrives steadily, and against a client that sends just
// enough never to be silent.
BOOST_AUTO_TEST_CASE(transfers_are_bounded_by_progress)
{
    const pace_limits limits{.grace = 30'000, .min_bytes_per_s = 1000, .max_stall = 15'000};
    BOOST_TEST(!is_too_slow({.started_at = 0, .progressed_at = 0, .bytes = 0}, limits, 15'000));
    BOOST_TEST(is_too_slow({.started_at = 0, .progressed_at = 0, .bytes = 0}, limits, 15'001));
    BOOST_TEST(
        !is_too_slow({.started_at = 0, .progressed_at = 40'000, .bytes = 100'000}, limits, 50'000));
    BOOST_TEST(
        is_too_slow({.started_at = 0, .progressed_at = 40'000, .bytes = 100}, limits, 40'000));
}

// Guards against a legal body that no daemon of a small VM can hold, and against a budget that
// leaves nothing for the daemon itself.
BOOST_AUTO_TEST_CASE(budget_holds_one_body_of_the_largest_size)
{
    for (const int memory_mb : {88, 128, 160, 256})
    {
        const std::size_t bytes = budget_bytes(settings_of(memory_mb), 64 * mb);
        BOOST_TEST(bytes >= 64 * mb);
        BOOST_TEST(bytes <= static_cast<std::size_t>(memory_mb - 24) * mb);
    }
    BOOST_TEST(budget_bytes(settings_of(256), mb) == 256 * mb / 100 * 25);
    BOOST_TEST(budget_bytes(settings_of(16), 64 * mb) == 4 * mb);
}

// Guards against listeners that together use up the descriptors that outgoing connections need.
BOOST_AUTO_TEST_CASE(listeners_share_the_descriptors)
{
    for (const std::size_t limit : {400U, 1024U, 4096U, 65536U})
    {
        const settings config = settings_of(160);
        std::size_t total = 0;
        for (const listener_role role :
             {listener_role::calls, listener_role::calls, listener_role::control,
              listener_role::platform, listener_role::platform})
        {
            total += limits_of(config, role, "x", limit, 40 * mb).max_connections;
        }
        const std::size_t usable =
            std::min<std::size_t>(limit, static_cast<std::size_t>(config.intake.max_descriptors));
        BOOST_TEST(total <= usable * 7 / 8);
    }
}

// Guards against bodies that are read although their declared length is too large.
BOOST_DATA_TEST_CASE(declared_length_is_compared_with_the_limit,
                     boost::unit_test::data::make(length_samples), sample)
{
    BOOST_TEST(is_oversized(sample.text, 1000) == sample.oversized);
}
