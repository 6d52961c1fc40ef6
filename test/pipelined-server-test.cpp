#define BOOST_TEST_MODULE pipelined_server
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "rig/loop.hpp"

#include "sardinepoint/pipelined_server.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <ostream>
#include <string>
#include <thread>
#include <vector>

using namespace sardinepoint;

namespace
{

constexpr time_ms test_limit_ms = 3000;

/** A server whose requests the test answers, and a caller on a raw socket. */
struct server_fixture
{
    event_loop_ptr loop = make_event_loop();
    send_turns turns{.loop = this->loop.get(), .table = {.options = {.max_active = 1}}};
    std::vector<std::pair<request_id, http_request>> requests;
    std::vector<std::uint64_t> cancelled;
    /** Called for each cancelled request; may be empty. */
    std::function<void()> react;
    /** Whether requests are answered in the callback that passes them on. */
    bool answers_at_once = false;
    pipelined_server_ptr server;
    int caller = -1;

    /** Closes a descriptor at the end of the scope. */
    struct close_fd
    {
        int fd;

        explicit close_fd(int fd) : fd(fd) {}

        ~close_fd()
        {
            ::close(this->fd);
        }
    };

    explicit server_fixture(caller_limits limits = {}, std::size_t max_pipelined = 64)
    {
        error reason;
        this->server =
            open_pipelined_server(*this->loop,
                                  {.address = {"127.0.0.1", 0},
                                   .max_pipelined = max_pipelined,
                                   .limits = limits,
                                   .turns = &this->turns},
                                  {.on_request =
                                       [this](request_id id, http_request request)
                                   {
                                       this->requests.emplace_back(id, std::move(request));
                                       if (this->answers_at_once)
                                       {
                                           this->answer(this->requests.size() - 1, "at once");
                                       }
                                   },
                                   .on_cancelled =
                                       [this](request_id id)
                                   {
                                       this->cancelled.push_back(id.value);
                                       if (this->react)
                                       {
                                           this->react();
                                       }
                                   }},
                                  reason);
        BOOST_REQUIRE_MESSAGE(this->server, describe(reason));
        this->connect();
    }

    ~server_fixture()
    {
        this->drop_connections();
        this->server.reset();
    }

    void connect()
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(bound_port(*this->server));
        inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
        this->caller = ::socket(AF_INET, SOCK_STREAM, 0);
        BOOST_REQUIRE_EQUAL(
            ::connect(this->caller, reinterpret_cast<sockaddr*>(&address), sizeof(address)), 0);
    }

    void drop_connections()
    {
        if (this->caller >= 0)
        {
            ::close(this->caller);
            this->caller = -1;
        }
    }

    void send(const std::string& text) const
    {
        BOOST_REQUIRE_EQUAL(::send(this->caller, text.data(), text.size(), MSG_NOSIGNAL),
                            static_cast<ssize_t>(text.size()));
    }

    bool run_until(const std::function<bool()>& condition) const
    {
        return rig::run_until(*this->loop, test_limit_ms, condition);
    }

    /**
     * Returns what the caller receives until it has `min_bytes`, the connection is closed or the
     * time limit of the test is reached.
     */
    std::string receive(std::size_t min_bytes = 1)
    {
        std::string text;
        this->run_until(
            [&]
            {
                std::array<char, 65536> buffer{};
                const ssize_t got =
                    ::recv(this->caller, buffer.data(), buffer.size(), MSG_DONTWAIT);
                if (got > 0)
                {
                    text.append(buffer.data(), static_cast<std::size_t>(got));
                }
                return text.size() >= min_bytes || got == 0;
            });
        return text;
    }

    bool is_closed()
    {
        return this->run_until(
            [&]
            {
                char byte = 0;
                return ::recv(this->caller, &byte, 1, MSG_DONTWAIT) == 0;
            });
    }

    void answer(std::size_t index, const std::string& body)
    {
        send_response(*this->server, this->requests[index].first,
                      {.status = 200, .headers = {}, .body = body});
    }
};

std::string get(const std::string& path, const std::string& more = "")
{
    return "GET " + path + " HTTP/1.1\r\nHost: h\r\n" + more + "\r\n";
}

} // namespace

// Guards against head-of-line blocking: a slow request must not delay the start of the next ones.
BOOST_AUTO_TEST_CASE(pipelined_requests_run_together_and_are_answered_in_order)
{
    server_fixture test;
    test.send(get("/1") + get("/2") + get("/3"));
    BOOST_REQUIRE(test.run_until([&] { return test.requests.size() == 3; }));
    test.answer(2, "third");
    test.answer(1, "second");
    BOOST_TEST(test.receive().find("HTTP") == std::string::npos);
    test.answer(0, "first");
    const std::string all = test.receive(150);
    BOOST_TEST(all.find("first") < all.find("second"));
    BOOST_TEST(all.find("second") < all.find("third"));
    BOOST_TEST(all.find("third") != std::string::npos);
}

// Guards against upstreams executing requests of callers that have disconnected.
BOOST_AUTO_TEST_CASE(closed_caller_cancels_all_its_requests)
{
    server_fixture test;
    test.send(get("/1") + get("/2"));
    BOOST_REQUIRE(test.run_until([&] { return test.requests.size() == 2; }));
    test.drop_connections();
    BOOST_TEST(test.run_until([&] { return test.cancelled.size() == 2; }));
    BOOST_TEST(pending_requests(*test.server) == 0U);
    // A late response must not reach another connection.
    test.answer(0, "late");
}

// Guards against the use of a connection that is being dropped: cancelling its first request frees
// what another one waits for, which may be answered then.
BOOST_AUTO_TEST_CASE(cancelled_request_may_lead_to_a_response_to_another)
{
    server_fixture test;
    test.react = [&]
    {
        for (std::size_t i = 0; i < test.requests.size(); ++i)
        {
            test.answer(i, "late");
        }
    };
    test.send(get("/1") + get("/2") + get("/3"));
    BOOST_REQUIRE(test.run_until([&] { return test.requests.size() == 3; }));
    test.drop_connections();
    BOOST_TEST(test.run_until([&] { return test.cancelled.size() == 3; }));
    BOOST_TEST(open_connections(*test.server) == 0U);
}

// Guards against calls that are cancelled in the middle of work on another one, because a response
// can't be sent to their caller.
BOOST_AUTO_TEST_CASE(response_to_a_lost_caller_cancels_nothing_at_once)
{
    server_fixture test;
    test.send(get("/1") + get("/2"));
    BOOST_REQUIRE(test.run_until([&] { return test.requests.size() == 2; }));
    const linger reset{.l_onoff = 1, .l_linger = 0};
    ::setsockopt(test.caller, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    test.drop_connections();
    test.answer(0, "first");
    BOOST_TEST(test.cancelled.empty());
    BOOST_TEST(test.run_until([&] { return test.cancelled.size() == 1; }));
    BOOST_TEST(open_connections(*test.server) == 0U);
}

// Guards against requests that are started after a response to the same caller could not be sent.
BOOST_AUTO_TEST_CASE(lost_caller_starts_no_further_requests)
{
    server_fixture test;
    test.answers_at_once = true;
    test.send(get("/1") + get("/2") + get("/3") + get("/4"));
    test.drop_connections();
    // The first response makes the caller's system reset the connection, and the second fails.
    BOOST_TEST(test.run_until([&] { return !test.requests.empty(); }));
    BOOST_TEST(test.run_until([&] { return open_connections(*test.server) == 0; }));
    BOOST_TEST(test.requests.size() == 2U);
}

// Guards against timeouts that start when a request is read, after it waited behind a backlog.
BOOST_AUTO_TEST_CASE(request_reports_its_earliest_arrival_time)
{
    constexpr std::chrono::milliseconds unread_time{300};
    constexpr std::int64_t tolerance_us = 20'000;
    server_fixture test;
    rig::run_for(*test.loop, 1);
    for (const char* path : {"/on-a-new-connection", "/on-a-known-one"})
    {
        const std::int64_t sent_us = steady_now_us();
        test.send(get(path));
        std::this_thread::sleep_for(unread_time);
        BOOST_REQUIRE(test.run_until([&] { return !test.requests.empty(); }));
        BOOST_TEST(test.requests.back().second.arrived_us <= sent_us);
        BOOST_TEST(test.requests.back().second.arrived_us >= sent_us - tolerance_us);
        test.requests.clear();
    }
    // An idle loop reads input without delay.
    constexpr time_ms send_delay_ms = 100;
    std::int64_t sent_us = 0;
    run_after(*test.loop, send_delay_ms,
              [&]
              {
                  sent_us = steady_now_us();
                  test.send(get("/in-time"));
              });
    BOOST_REQUIRE(test.run_until([&] { return !test.requests.empty(); }));
    BOOST_TEST(test.requests.back().second.arrived_us >= sent_us - tolerance_us);
}

// Guards against calls being started although their callers disconnected before they were read.
BOOST_AUTO_TEST_CASE(unread_request_of_a_disconnected_caller_is_dropped)
{
    constexpr std::chrono::milliseconds unread_time{150};
    constexpr time_ms read_ms = 50;
    server_fixture test;
    rig::run_for(*test.loop, 1);
    test.send(get("/left"));
    test.drop_connections();
    std::this_thread::sleep_for(unread_time);
    rig::run_for(*test.loop, read_ms);
    BOOST_TEST(test.requests.empty());
    BOOST_TEST(open_connections(*test.server) == 0U);
}

// Guards against losing a part of a chunked body, or the pipelined request that follows it.
BOOST_AUTO_TEST_CASE(body_in_chunks_arrives_whole)
{
    server_fixture test;
    test.send(
        "POST /p?q=%20 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
    BOOST_TEST(test.receive().empty());
    test.send("4\r\ndefg\r\n0\r\n\r\n" + get("/next"));
    BOOST_REQUIRE(test.run_until([&] { return test.requests.size() == 2; }));
    BOOST_TEST(test.requests[0].second.body == "abcdefg");
    BOOST_TEST(test.requests[0].second.target == "/p?q=%20");
    BOOST_TEST(test.requests[1].second.target == "/next");
}

// Guards against a deadlock with callers that send the body only after 100 Continue.
BOOST_AUTO_TEST_CASE(body_may_wait_for_100_continue)
{
    server_fixture test;
    test.send("POST /p HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
    BOOST_TEST(test.receive(25).find("100 Continue") != std::string::npos);
    test.send("ok");
    BOOST_REQUIRE(test.run_until([&] { return test.requests.size() == 1; }));
    BOOST_TEST(test.requests[0].second.body == "ok");
}

// Guards against requests that run although the caller treats them as unread: only the last
// response on a connection may close it.
BOOST_AUTO_TEST_CASE(only_the_last_response_closes_the_connection)
{
    server_fixture test;
    test.send(get("/1") + get("/2"));
    BOOST_REQUIRE(test.run_until([&] { return test.requests.size() == 2; }));
    close_after_responses(*test.server);
    test.answer(0, "first");
    BOOST_TEST(test.receive(40).find("close") == std::string::npos);
    test.answer(1, "second");
    BOOST_TEST(test.receive(40).find("Connection: close") != std::string::npos);
    BOOST_TEST(test.is_closed());
}

// Guards against running requests that follow one with "Connection: close".
BOOST_AUTO_TEST_CASE(nothing_is_read_after_a_request_with_connection_close)
{
    server_fixture test;
    test.send(get("/1", "Connection: close\r\n") + get("/2"));
    BOOST_REQUIRE(test.run_until([&] { return test.requests.size() == 1; }));
    test.answer(0, "only");
    BOOST_TEST(test.receive(40).find("Connection: close") != std::string::npos);
    BOOST_TEST(test.is_closed());
    BOOST_TEST(test.requests.size() == 1U);
}

// Guards against requests that stay unread after the pipeline was full.
BOOST_AUTO_TEST_CASE(full_pipeline_is_read_again_after_a_response)
{
    server_fixture test({}, 2);
    test.send(get("/1") + get("/2") + get("/3"));
    BOOST_REQUIRE(test.run_until([&] { return test.requests.size() == 2; }));
    test.receive();
    BOOST_TEST(test.requests.size() == 2U);
    test.answer(0, "first");
    BOOST_TEST(test.run_until([&] { return test.requests.size() == 3; }));
}

namespace
{

struct bad_request
{
    std::string text;
    std::string status;
};

std::ostream& operator<<(std::ostream& out, const bad_request& value)
{
    return out << value.status << " for " << value.text.substr(0, 30);
}

const std::vector<bad_request> bad_requests{
    {"\x01\x02\x03 nonsense\r\n\r\n", "400"},
    {"GET / HTTP/1.1\r\nno colon\r\n\r\n", "400"},
    {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: x\r\n\r\n", "400"},
    {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n", "400"},
    {"GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(2000, 'x') + "\r\n\r\n", "431"},
    {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\n", "413"},
    // Never completed, so it times out.
    {"GET / HTTP/1.1\r\nHost:", "408"},
};

} // namespace

// Guards against invalid, oversized or incomplete requests that hold a connection or memory.
BOOST_DATA_TEST_CASE(bad_requests_are_answered_and_close_the_connection,
                     boost::unit_test::data::make(bad_requests), sample)
{
    server_fixture test({.max_header_bytes = 1000, .max_body_bytes = 1000, .header_timeout = 300});
    test.send(sample.text);
    const std::string answer = test.receive(12);
    BOOST_TEST(answer.substr(9, 3) == sample.status);
    BOOST_TEST(test.is_closed());
    BOOST_TEST(test.requests.empty());
}

// Guards against callers being blocked by one that doesn't read its responses.
BOOST_AUTO_TEST_CASE(unread_responses_do_not_block_other_callers)
{
    server_fixture test;
    test.send(get("/big"));
    BOOST_REQUIRE(test.run_until([&] { return test.requests.size() == 1; }));
    test.answer(0, std::string(8U << 20U, 'b'));
    const int first = test.caller;
    test.connect();
    test.send(get("/small"));
    BOOST_REQUIRE(test.run_until([&] { return test.requests.size() == 2; }));
    test.answer(1, "small");
    BOOST_TEST(test.receive(40).find("small") != std::string::npos);
    ::close(first);
    BOOST_TEST(test.run_until([&] { return open_connections(*test.server) == 1; }));
}

// Guards against large responses that are sent concurrently and delay small ones, and against a
// response whose caller doesn't read blocking the next one forever.
BOOST_AUTO_TEST_CASE(large_responses_are_sent_in_turn)
{
    constexpr std::size_t large_bytes = 8U << 20U;
    server_fixture test;
    test.turns.table.options.stall_timeout = 600;
    test.send(get("/first"));
    BOOST_REQUIRE(test.run_until([&] { return test.requests.size() == 1; }));
    test.answer(0, std::string(large_bytes, 'a'));
    const server_fixture::close_fd first{test.caller};
    test.connect();
    test.send(get("/small") + get("/second"));
    BOOST_REQUIRE(test.run_until([&] { return test.requests.size() == 3; }));
    test.answer(1, "small");
    test.answer(2, std::string(large_bytes, 'b'));
    rig::run_for(*test.loop, 300);
    std::string received_before_turn(large_bytes, ' ');
    const ssize_t sent =
        ::recv(test.caller, received_before_turn.data(), received_before_turn.size(), MSG_DONTWAIT);
    BOOST_TEST_REQUIRE(sent > 0);
    received_before_turn.resize(static_cast<std::size_t>(sent));
    BOOST_TEST(received_before_turn.find("small") != std::string::npos);
    // At most large_output_bytes of the large response are sent before its turn.
    BOOST_TEST(received_before_turn.size() < 20U << 10U);
    BOOST_TEST(received_before_turn.size() + test.receive(large_bytes).size() >= large_bytes);
}

// Guards against calls lost in a planned stop: the kernel has completed their connection, but the
// daemon exits without accepting it.
BOOST_AUTO_TEST_CASE(pending_connections_are_accepted_before_the_listener_closes)
{
    server_fixture test;
    server_fixture::close_fd other{::socket(AF_INET, SOCK_STREAM, 0)};
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(bound_port(*test.server));
    inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    const auto connect = [&]
    {
        return ::connect(other.fd, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    };
    // The loop has not run since the caller connected.
    test.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    BOOST_TEST(stop_accepting(*test.server));
    BOOST_TEST(!stop_accepting(*test.server));
    BOOST_TEST(connect() != 0);
    BOOST_REQUIRE(test.run_until([&] { return test.requests.size() == 1; }));
    test.answer(0, "one");
    BOOST_TEST(test.receive().find("one") != std::string::npos);
}

// Guards against calls lost in a planned stop under load: more connections wait at the listener
// than the server accepts for one event, and closing the listener resets the rest without an
// answer.
BOOST_AUTO_TEST_CASE(all_pending_connections_are_accepted_before_the_listener_closes)
{
    constexpr std::size_t callers = 300;
    server_fixture test;
    std::vector<std::unique_ptr<server_fixture::close_fd>> open;
    // The loop has not run since the callers connected.
    for (std::size_t i = 0; i < callers; ++i)
    {
        test.connect();
        open.push_back(std::make_unique<server_fixture::close_fd>(test.caller));
        test.send(get("/" + std::to_string(i), "Connection: close\r\n"));
    }
    test.caller = -1;
    BOOST_TEST(stop_accepting(*test.server));
    BOOST_TEST(test.run_until([&] { return test.requests.size() == callers; }));
    BOOST_TEST(test.requests.size() == callers);
    for (std::size_t i = 0; i < test.requests.size(); ++i)
    {
        test.answer(i, "answer");
    }
    std::size_t answered = 0;
    for (const auto& caller : open)
    {
        test.caller = caller->fd;
        answered += test.receive().find("answer") != std::string::npos ? 1 : 0;
    }
    test.caller = -1;
    BOOST_TEST(answered == callers);
}
