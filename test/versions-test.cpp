#define BOOST_TEST_MODULE versions
#include <boost/test/unit_test.hpp>

#include "inbound.hpp"
#include "move_runtime.hpp"
#include "move_versions.hpp"
#include "outbound.hpp"
#include "sidecar.hpp"

#include "sardinepoint/route_table.hpp"

#include <nlohmann/json.hpp>

#include <cmath>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

using namespace sardinepoint;

namespace
{

/** A node with two orders for the service "board", first to v2 and then to v3. */
struct two_orders
{
    node self;

    explicit two_orders(std::uint64_t first = 1, std::uint64_t second = 5)
    {
        this->add(make_ordered_move({.service = "board", .to = "v2", .duration = 12000}, first,
                                    wall_now()));
        this->add(make_ordered_move({.service = "board", .to = "v3", .duration = 12000}, second,
                                    wall_now()));
    }

    void add(const move_record& record)
    {
        this->self.config_replica.state.moves[record.spec.id] = record;
        this->self.moves->moves[record.spec.id] = {};
    }

    /** Records an answer of the version; returns the moves that counted it for their new one. */
    std::vector<std::string> moves_that_count(std::string_view version)
    {
        record_attempt_evidence(this->self, {.service = "board",
                                             .route = "lookup",
                                             .version = version,
                                             .outcome = run_outcome::answered,
                                             .status = 500});
        std::vector<std::string> counting;
        for (auto& [move, tracked] : this->self.moves->moves)
        {
            const route_counters counted = std::exchange(tracked.own_counters, {})["lookup"];
            if (counted.to.calls > 0)
            {
                counting.push_back(move);
            }
        }
        return counting;
    }

    move_progress& progress(const std::string& move)
    {
        return this->self.moves->moves[move].progress;
    }
};

} // namespace

// Guards against a service without usable upstreams after a second order: once the move to v2 is
// done, only v2 remains, even if the completion is known only from peers.
BOOST_FIXTURE_TEST_CASE(completed_version_stays_the_base_of_the_next_move, two_orders)
{
    this->progress("board@1").done = true;
    const version_rule rule = version_rule_of(this->self, "board");
    BOOST_TEST(rule.target.value_or("") == "v3");
    BOOST_TEST(rule.sole_version.value_or("") == "v2");
    BOOST_TEST(may_receive_call(rule, "v2", false));
    BOOST_TEST(!may_receive_call(rule, "v1", false));
    BOOST_TEST(may_receive_call(rule, "v3", true));
    BOOST_TEST(!may_receive_call(rule, "v3", false));
}

// Guards against calls to the target of an order that was replaced before it was done.
BOOST_FIXTURE_TEST_CASE(replaced_version_gets_no_calls, two_orders)
{
    const version_rule rule = version_rule_of(this->self, "board");
    BOOST_TEST(!may_receive_call(rule, "v2", false));
    BOOST_TEST(may_receive_call(rule, "v1", false));
}

// Guards against failures of a bad version that count for an older order, so that the version is
// never withdrawn: as texts, the ids of some orders sort before those of older ones.
BOOST_AUTO_TEST_CASE(evidence_counts_for_the_newest_order)
{
    const std::vector<std::pair<std::uint64_t, std::uint64_t>> offsets{
        {1, 5}, {9, 10}, {99, 100}, {999, 1000}, {2, 10}};
    for (const auto& [first, second] : offsets)
    {
        const std::string newest = "board@" + std::to_string(second);
        two_orders test(first, second);
        BOOST_TEST(test.moves_that_count("v3") == std::vector{newest});
        BOOST_TEST(test.moves_that_count("v2").empty(), newest);
        // The end of the newest order doesn't bring back an older one.
        test.self.config_replica.state.moves[newest].state = move_state::withdrawn;
        handle_config_change(test.self);
        BOOST_TEST(test.moves_that_count("v2").empty(), newest);
        BOOST_TEST(test.moves_that_count("v3").empty(), newest);
    }
}

// Guards against a list of moves in which a later one stands before an earlier one.
BOOST_AUTO_TEST_CASE(moves_are_listed_in_the_order_of_their_start)
{
    const two_orders test(9, 10);
    const nlohmann::json views = move_views(test.self);
    BOOST_REQUIRE_EQUAL(views.size(), 2U);
    BOOST_TEST(views[0].value("move", "") == "board@9");
    BOOST_TEST(views[1].value("move", "") == "board@10");
}

// Guards against a fault of the latest version that counts for an earlier move, which is still
// watched and whose id sorts first.
BOOST_AUTO_TEST_CASE(evidence_counts_for_the_latest_watched_move)
{
    two_orders test;
    test.self.config_replica.state.moves.clear();
    test.self.moves->moves.clear();
    for (const int number : {1, 2})
    {
        move_record record{.spec = {.id = "move-" + std::to_string(number),
                                    .service = "board",
                                    .from = "v" + std::to_string(number),
                                    .to = "v" + std::to_string(number + 1),
                                    .start = wall_now() + number,
                                    .deadline = wall_now() + 1000},
                           .state = move_state::done};
        test.add(record);
    }
    BOOST_TEST(test.moves_that_count("v3") == std::vector<std::string>{"move-2"});
    BOOST_TEST(test.moves_that_count("v2").empty());
}

// Guards against a withdrawn version that receives calls again, and against a recorded outcome that
// is overridden by a late message of a peer.
BOOST_FIXTURE_TEST_CASE(recorded_ends_count_before_messages, two_orders)
{
    this->self.config_replica.state.moves["board@1"].state = move_state::done;
    this->progress("board@1").withdrawn = true;
    this->progress("board@5").withdrawn = true;
    const version_rule rule = version_rule_of(this->self, "board");
    BOOST_TEST(!rule.target);
    BOOST_TEST(rule.sole_version.value_or("") == "v2");
    BOOST_TEST(!may_receive_call(rule, "v3", false));
    BOOST_TEST(!may_receive_call(rule, "v3", true));
}

// Guards against a service without usable upstreams: the old upstreams end when a completion is on
// record, and an aggregator that takes over without knowing the record withdraws the new version.
BOOST_FIXTURE_TEST_CASE(recorded_completion_of_a_peer_outlasts_a_withdrawal, two_orders)
{
    this->self.config_replica.state.moves.erase("board@5");
    this->self.moves->moves.erase("board@5");
    const nlohmann::json withdrawal{
        {{"move", "board@1"}, {"step", 4}, {"withdrawn", true}, {"reason", "late failures"}}};
    const nlohmann::json completion{
        {{"move", "board@1"}, {"step", 4}, {"done", true}, {"recorded", true}}};
    merge_progress_list(this->self, withdrawal);
    BOOST_TEST(!may_receive_call(version_rule_of(this->self, "board"), "v2", false));
    merge_progress_list(this->self, completion);
    merge_progress_list(this->self, withdrawal);
    const version_rule rule = version_rule_of(this->self, "board");
    BOOST_TEST(may_receive_call(rule, "v2", false));
    BOOST_TEST(!may_receive_call(rule, "v1", false));
    // The records may be read again from a point before the outcome.
    this->self.config_replica.state.moves["board@1"].state = move_state::running;
    handle_config_change(this->self);
    BOOST_TEST(may_receive_call(version_rule_of(this->self, "board"), "v2", false));
}

// Guards against a share that always gets the same phase of calls that differ periodically: a slow
// version received only its fast calls for a whole step.
BOOST_AUTO_TEST_CASE(share_of_the_calls_follows_no_period)
{
    constexpr int calls = 4000;
    std::mt19937_64 random{17};
    for (const int period : {2, 3, 4})
    {
        for (const double percent : {3.0, 20.0, 50.0})
        {
            share_credit share;
            int selected = 0;
            int in_phase = 0;
            for (int call = 0; call < calls; ++call)
            {
                if (select_by_share(share, percent, random))
                {
                    ++selected;
                    in_phase += call % period == 0 ? 1 : 0;
                }
                // Each unit of the share selects one call, so the share is exact at all times.
                BOOST_REQUIRE(std::abs(selected - (call + 1) * percent / 100) < 2);
            }
            // Six standard deviations of an independent choice.
            const double expected = static_cast<double>(selected) / period;
            BOOST_TEST(std::abs(in_phase - expected) <= 6 * std::sqrt(expected));
        }
    }
}

// Guards against calls outside the share after it has become 0, and against calls left out of it
// at 100%.
BOOST_AUTO_TEST_CASE(empty_and_full_shares_are_exact)
{
    std::mt19937_64 random{17};
    share_credit share;
    for (int call = 0; call < 100; ++call)
    {
        select_by_share(share, 90, random);
        BOOST_TEST(!select_by_share(share, 0, random));
        BOOST_TEST(select_by_share(share, 100, random));
    }
}
