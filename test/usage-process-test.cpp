#define BOOST_TEST_MODULE usage process
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "rig/fleet.hpp"

#include <algorithm>
#include <csignal>
#include <map>
#include <optional>
#include <string>
#include <vector>

using namespace sardinepoint;

namespace
{

constexpr time_ms start_limit_ms = 20'000;
constexpr time_ms window_ms = 5000;
constexpr double rate_per_s = 40;
constexpr double burst = 20;
constexpr double bound = (rate_per_s * 5 + burst) * 1.1 + 20;

/** Three daemons behind a relay, each with an upstream of the same service. */
struct three_daemons : rig::fleet
{
    three_daemons() : rig::fleet(SARDINEPOINT_BIN_DIR, "usage")
    {
        this->relay.emplace(*this->loop);
        this->organisations = {
            {"north", {.keys = {"key-north"}, .rate_per_s = rate_per_s, .burst = burst}}};
        // Calls without a key show that the daemons are ready; those with one count all the same.
        this->public_services = {"board"};
        this->publish(1, {"board"});
        for (int i = 0; i < 3; ++i)
        {
            this->add("board").upstream->slots = 50;
        }
        BOOST_REQUIRE(this->wait_served("board", start_limit_ms));
        BOOST_REQUIRE(this->wait_members(3, start_limit_ms));
        BOOST_REQUIRE(this->run_until(start_limit_ms,
                                      [&]
                                      {
                                          bool served = true;
                                          for (const auto& daemon : this->daemons)
                                          {
                                              served = served && this->call_once(*daemon) == 200;
                                          }
                                          return served;
                                      }));
    }

    rig::fleet::call_options keyed_call() const
    {
        return {.headers = {{"Authorization", "Bearer key-north"}}};
    }

    int call_once(const rig::fleet_daemon& daemon)
    {
        return this->call(daemon, this->keyed_call()).response.status;
    }

    /** Starts calls at every daemon until the timer is cancelled. */
    timer_id start_load(time_ms interval)
    {
        return run_every(*this->loop, interval,
                         [this]
                         {
                             for (const auto& daemon : this->daemons)
                             {
                                 ++this->started;
                                 this->start_call(*daemon, this->keyed_call(),
                                                  [this](const http_result& result)
                                                  {
                                                      ++this->statuses[result.response.status];
                                                      this->check_refusal(result);
                                                  });
                             }
                         });
    }

    void check_refusal(const http_result& result)
    {
        if (result.response.status == 429)
        {
            const auto retry_after = find_header(result.response.headers, "Retry-After");
            this->refusals_without_time += retry_after ? 0 : 1;
        }
    }

    /** The most calls that reached an upstream in a window; repeated attempts count once. */
    int most_runs() const
    {
        std::map<std::string, time_ms> first;
        for (const rig::received_request& request : this->received_requests)
        {
            if (find_header(request.request.headers, "X-Tenant").value_or("") == "north")
            {
                first.try_emplace(request.id, request.at);
            }
        }
        std::vector<time_ms> times;
        times.reserve(first.size());
        for (const auto& [id, at] : first)
        {
            times.push_back(at);
        }
        std::sort(times.begin(), times.end());
        std::size_t most = 0;
        for (std::size_t i = 0; i < times.size(); ++i)
        {
            const auto end = std::lower_bound(times.begin() + static_cast<std::ptrdiff_t>(i),
                                              times.end(), times[i] + window_ms);
            most = std::max(most, static_cast<std::size_t>(end - times.begin()) - i);
        }
        return static_cast<int>(most);
    }

    /** Holds all traffic between the daemons. */
    void cut_all()
    {
        std::vector<rig::relay_rule> rules;
        rules.reserve(this->daemons.size());
        for (const auto& daemon : this->daemons)
        {
            rules.push_back({.target = daemon->id, .action = rig::relay_action::hold});
        }
        apply_rules(*this->relay, std::move(rules));
    }

    int started = 0;
    std::map<int, int> statuses;
    int refusals_without_time = 0;
};

} // namespace

// Guards against daemons that exceed the limit together while they are cut off from each other, and
// against a daemon that takes itself for the only one after a restart during the partition.
BOOST_DATA_TEST_CASE_F(three_daemons, bound_holds_through_a_partition_and_a_restart,
                       boost::unit_test::data::xrange(3), killed)
{
    this->received_requests.clear();
    constexpr time_ms load_interval_ms = 16;
    const timer_id load = this->start_load(load_interval_ms);
    this->run_for(6000);
    const int before_cut = this->most_runs();
    // In touch, the limit is used: refusals below it would be a loss.
    BOOST_TEST(before_cut > rate_per_s * 5 * 0.8);
    this->cut_all();
    this->run_for(1000);
    rig::fleet_daemon& daemon = *this->daemons.at(static_cast<std::size_t>(killed));
    daemon.child_process->signal(SIGKILL);
    daemon.child_process->wait();
    this->start(daemon);
    this->run_for(9000);
    apply_rules(*this->relay, {});
    this->run_for(6000);
    cancel_timer(*this->loop, load);
    this->run_for(2500);
    BOOST_TEST_MESSAGE("most calls in 5 s: " << this->most_runs() << ", before the partition "
                                             << before_cut << ", bound " << bound);
    for (const auto& [status, count] : this->statuses)
    {
        BOOST_TEST_MESSAGE("status " << status << ": " << count);
    }
    BOOST_TEST(this->most_runs() <= bound);
    BOOST_TEST(this->refusals_without_time == 0);
}

// Guards against refusals below the limit.
BOOST_FIXTURE_TEST_CASE(nothing_is_refused_below_the_limit, three_daemons)
{
    this->run_for(3000);
    constexpr time_ms load_interval_ms = 125; // 24 calls/s at three daemons
    const timer_id load = this->start_load(load_interval_ms);
    this->run_for(10'000);
    cancel_timer(*this->loop, load);
    this->run_for(2500);
    BOOST_TEST(this->statuses[429] == 0);
    BOOST_TEST(this->statuses[200] == this->started);
}

// Guards against a limit that stays in force after it was removed from the configuration, and
// against waiting calls that are lost when the organisation changes.
BOOST_FIXTURE_TEST_CASE(removed_limit_lets_all_calls_through, three_daemons)
{
    this->organisations["north"].rate_per_s = 0;
    this->organisations["north"].burst = 0;
    const timer_id load = this->start_load(20);
    this->run_for(1000);
    this->publish(2, {"board"});
    this->run_for(3000);
    this->statuses.clear();
    this->run_for(2000);
    cancel_timer(*this->loop, load);
    BOOST_TEST(this->statuses[429] == 0);
    BOOST_TEST(this->statuses[200] > 200);
    this->run_for(2500);
}
