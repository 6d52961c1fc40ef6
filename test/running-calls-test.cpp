#define BOOST_TEST_MODULE running_calls
#include <boost/test/unit_test.hpp>

#include "rig/fleet.hpp"

#include "sardinepoint/http_server.hpp"

#include <csignal>
#include <optional>
#include <string>

using namespace sardinepoint;

namespace
{

constexpr time_ms start_limit_ms = 10000;
constexpr time_ms processing_time_ms = 2500;
constexpr time_ms deadline_ms = 6000;

/** A long call of one VM that runs on the only upstream of its service, on another VM. */
struct long_call : rig::fleet
{
    long_call() : rig::fleet(SARDINEPOINT_BIN_DIR, "running-calls")
    {
        this->route_timeout = deadline_ms;
        this->publish(1, {"board", "desk"});
        this->runner = &this->add("board");
        this->caller = &this->add("desk");
        BOOST_REQUIRE(this->wait_served("board", start_limit_ms));
        this->runner->upstream->processing_time = processing_time_ms;
        this->start_call(*this->caller, {.deadline = deadline_ms, .id = "long"},
                         [this](const http_result& result)
                         { this->status = result.response.status; });
        BOOST_REQUIRE(this->run_until(1000, [this] { return this->run_count("long") == 1; }));
    }

    /** Status of the long call, 0 without a response. */
    int finish()
    {
        this->run_until(deadline_ms, [this] { return this->status.has_value(); });
        return this->status.value_or(0);
    }

    rig::fleet_daemon* runner = nullptr;
    rig::fleet_daemon* caller = nullptr;
    std::optional<int> status;
};

} // namespace

// Guards against giving up a call in progress because its upstream, whose announcements are late,
// refuses a new connection. It refuses one also while all its connections are in use.
BOOST_FIXTURE_TEST_CASE(refused_probe_ends_no_running_call, long_call)
{
    stop_accepting(*this->runner->upstream->server);
    this->runner->upstream->sends_announcements = false;
    this->caller->child_process->signal(SIGTERM);
    BOOST_TEST(this->finish() == 200);
}

// Guards against giving up a call because the daemon beside its upstream is silent for a while,
// although no other upstream could run it.
BOOST_FIXTURE_TEST_CASE(silent_daemon_keeps_the_call_of_the_only_upstream, long_call)
{
    constexpr time_ms silence_ms = 1500;
    this->runner->child_process->signal(SIGSTOP);
    this->run_for(silence_ms);
    this->runner->child_process->signal(SIGCONT);
    BOOST_TEST(this->finish() == 200);
}

// Guards against giving up the calls in progress when another call finds no connection.
BOOST_FIXTURE_TEST_CASE(refused_call_ends_no_other_running_call, long_call)
{
    stop_accepting(*this->runner->upstream->server);
    BOOST_TEST(this->call(*this->caller, {.id = "refused"}).response.status == 503);
    BOOST_TEST(this->run_count("refused") == 0);
    BOOST_TEST(this->finish() == 200);
}
