#define BOOST_TEST_MODULE running_calls
#include <boost/test/unit_test.hpp>

#include "rig/fleet.hpp"

#include "sardinepoint/http_server.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

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

namespace
{

/** Connects a caller that may leave before its responses. */
int connect_caller(const endpoint& daemon)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(daemon.port);
    inet_pton(AF_INET, daemon.address.c_str(), &address.sin_addr);
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    BOOST_REQUIRE_EQUAL(::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)), 0);
    return fd;
}

} // namespace

// Guards against a daemon that ends, with all its calls, because a caller leaves while its first
// call holds the only slot and its second one has waited for too long to be run.
BOOST_AUTO_TEST_CASE(leaving_caller_with_pipelined_calls_ends_no_other_call)
{
    constexpr time_ms caller_deadline_ms = 600;
    // Calls that can't meet their latency target wait for 5% of their time, and the daemon looks
    // for expired waits every 50 ms.
    constexpr time_ms first_leave_ms = 30;
    constexpr time_ms last_leave_ms = 46;
    rig::fleet fleet(SARDINEPOINT_BIN_DIR, "leaving-caller");
    fleet.publish(1, {"board", "desk"});
    rig::fleet_daemon& board = fleet.add("board");
    fleet.add("desk").upstream->processing_time = 100;
    BOOST_REQUIRE(fleet.wait_served("board", start_limit_ms));
    BOOST_REQUIRE(fleet.wait_served("desk", start_limit_ms));
    board.upstream->slots = 1;
    board.upstream->processing_time = deadline_ms;
    BOOST_REQUIRE_EQUAL(fleet.announce(board), 200);
    int started = 0;
    int answered = 0;
    for (time_ms leave = first_leave_ms; leave <= last_leave_ms; ++leave)
    {
        const int caller = connect_caller(board.outbound);
        std::string requests;
        for (const char* number : {"1", "2"})
        {
            requests += "GET /board/x HTTP/1.1\r\nHost: one.example\r\nX-Request-Id: " +
                        std::to_string(leave) + "-" + number +
                        "\r\nX-Deadline-Ms: " + std::to_string(caller_deadline_ms) + "\r\n\r\n";
        }
        BOOST_REQUIRE_EQUAL(::send(caller, requests.data(), requests.size(), MSG_NOSIGNAL),
                            static_cast<ssize_t>(requests.size()));
        fleet.run_for(leave - 50);
        ++started;
        fleet.start_call(board, {.path = "/desk/x"},
                         [&](const http_result& result)
                         { answered += result.response.status == 200 ? 1 : 0; });
        fleet.run_for(50);
        ::close(caller);
        BOOST_REQUIRE(fleet.run_until(1000, [&] { return answered == started; }));
        // Nothing of a caller that has left runs later.
        BOOST_TEST(fleet.run_count(std::to_string(leave) + "-2") == 0);
    }
    BOOST_TEST(board.child_process->is_running());
}
