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

using namespace sardinepoint;

namespace
{

/** A node with two orders for the service "board", first to v2 and then to v3. */
struct two_orders
{
    node self;

    two_orders()
    {
        for (const std::uint64_t offset : {1U, 5U})
        {
            const move_record record = make_ordered_move(
                {.service = "board", .to = offset == 1 ? "v2" : "v3", .duration = 12000}, offset,
                wall_now());
            this->self.config_replica.state.moves[record.spec.id] = record;
            this->self.moves->moves[record.spec.id] = {};
        }
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
