#define BOOST_TEST_MODULE pool
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "rig/broken_responses.hpp"
#include "rig/loop.hpp"

#include "sardinepoint/connection_pool.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <functional>
#include <optional>
#include <string>
#include <vector>

using namespace sardinepoint;

namespace
{

constexpr time_ms test_limit_ms = 3000;

/** A peer on raw sockets whose output the test controls, and a pool that calls it. */
struct raw_peer
{
    event_loop_ptr loop = make_event_loop();
    static constexpr std::size_t max_received_bytes = 4U << 20U;
    connection_pool_ptr pool =
        open_connection_pool(*this->loop, {.max_received_bytes = max_received_bytes});
    int listener = -1;
    endpoint address;
    std::vector<int> accepted;

    raw_peer()
    {
        sockaddr_in bound{};
        bound.sin_family = AF_INET;
        inet_pton(AF_INET, "127.0.0.1", &bound.sin_addr);
        socklen_t size = sizeof(bound);
        this->listener = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
        BOOST_REQUIRE_EQUAL(
            ::bind(this->listener, reinterpret_cast<sockaddr*>(&bound), sizeof(bound)), 0);
        BOOST_REQUIRE_EQUAL(::listen(this->listener, 16), 0);
        ::getsockname(this->listener, reinterpret_cast<sockaddr*>(&bound), &size);
        this->address = {"127.0.0.1", ntohs(bound.sin_port)};
    }

    ~raw_peer()
    {
        this->pool.reset();
        for (const int fd : this->accepted)
        {
            ::close(fd);
        }
        this->stop_listening();
    }

    void stop_listening()
    {
        if (this->listener >= 0)
        {
            ::close(this->listener);
            this->listener = -1;
        }
    }

    /** Runs the loop and accepts connections until the condition holds. */
    bool run_until(const std::function<bool()>& condition)
    {
        return rig::run_until(*this->loop, test_limit_ms,
                              [&]
                              {
                                  const int fd = ::accept(this->listener, nullptr, nullptr);
                                  if (fd >= 0)
                                  {
                                      this->accepted.push_back(fd);
                                  }
                                  return condition();
                              });
    }

    std::optional<http_result> result;

    pool_call get(const std::string& id = "1")
    {
        return {.peer = this->address,
                .target = "/" + id,
                .headers = {{"Host", "h"}},
                .timeout = 1000,
                .connect_timeout = 300};
    }

    call_id start(pool_call call)
    {
        this->result.reset();
        return send_request(*this->pool, std::move(call),
                            [this](http_result value) { this->result = std::move(value); });
    }

    /** Waits for a request header on a connection and returns what was received. */
    std::string receive(std::size_t connection)
    {
        std::string text;
        this->run_until(
            [&]
            {
                if (this->accepted.size() <= connection)
                {
                    return false;
                }
                std::array<char, 4096> buffer{};
                const ssize_t got =
                    ::recv(this->accepted[connection], buffer.data(), buffer.size(), MSG_DONTWAIT);
                text.append(buffer.data(), static_cast<std::size_t>(std::max<ssize_t>(got, 0)));
                return text.find("\r\n\r\n") != std::string::npos;
            });
        return text;
    }

    void send(std::size_t connection, const std::string& text) const
    {
        ::send(this->accepted[connection], text.data(), text.size(), MSG_NOSIGNAL);
    }

    void close(std::size_t connection, bool with_reset = false)
    {
        if (with_reset)
        {
            const linger abort_on_close{.l_onoff = 1, .l_linger = 0};
            ::setsockopt(this->accepted[connection], SOL_SOCKET, SO_LINGER, &abort_on_close,
                         sizeof(abort_on_close));
        }
        ::close(this->accepted[connection]);
        this->accepted[connection] = -1;
    }

    bool ended()
    {
        return this->run_until([&] { return this->result.has_value(); });
    }
};

std::string ok(const std::string& body)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

// Guards against a new connection being opened for each call.
BOOST_FIXTURE_TEST_CASE(connections_are_reused, raw_peer)
{
    for (int i = 0; i < 3; ++i)
    {
        this->start(this->get());
        BOOST_REQUIRE(!this->receive(0).empty());
        this->send(0, ok("x"));
        BOOST_REQUIRE(this->ended());
        BOOST_TEST(this->result->response.body == "x");
    }
    BOOST_TEST(this->accepted.size() == 1U);
}

// Guards against a second response on a connection being taken for the response to the next call.
BOOST_FIXTURE_TEST_CASE(late_bytes_close_an_idle_connection, raw_peer)
{
    this->start(this->get());
    BOOST_REQUIRE(!this->receive(0).empty());
    this->send(0, ok("first"));
    BOOST_REQUIRE(this->ended());
    this->send(0, ok("extra"));
    BOOST_TEST(this->run_until([&] { return open_connections(*this->pool) == 0; }));
    this->start(this->get());
    BOOST_REQUIRE(!this->receive(1).empty());
    this->send(1, ok("second"));
    BOOST_REQUIRE(this->ended());
    BOOST_TEST(this->result->response.body == "second");
}

// Guards against reuse of a connection on which bytes follow the response.
BOOST_FIXTURE_TEST_CASE(extra_response_in_the_same_packet_closes_the_connection, raw_peer)
{
    this->start(this->get());
    BOOST_REQUIRE(!this->receive(0).empty());
    this->send(0, ok("first") + ok("extra"));
    BOOST_REQUIRE(this->ended());
    BOOST_TEST(this->result->response.body == "first");
    BOOST_TEST(open_connections(*this->pool) == 0U);
}

// Guards against a response to another call being delivered.
BOOST_FIXTURE_TEST_CASE(mismatched_response_is_never_delivered, raw_peer)
{
    pool_call call = this->get();
    call.validate_response = [](const http_response& response)
    {
        return find_header(response.headers, "Id").value_or("") == "mine";
    };
    this->start(std::move(call));
    BOOST_REQUIRE(!this->receive(0).empty());
    this->send(0, "HTTP/1.1 200 OK\r\nId: yours\r\nContent-Length: 100\r\n\r\n");
    BOOST_REQUIRE(this->ended());
    BOOST_TEST(this->result->mismatched);
    BOOST_TEST((this->result->outcome == call_outcome::unknown));
    BOOST_TEST(open_connections(*this->pool) == 0U);
}

// Guards against calls that are executed twice and against retries that bypass the retry budget. If
// a reused connection closes during a call, it is unknown whether the peer has read the call. The
// other idle connections to the peer must be closed too.
BOOST_FIXTURE_TEST_CASE(no_call_is_resent, raw_peer)
{
    for (const bool reset : {true, false})
    {
        const std::size_t first = this->accepted.size();
        std::optional<http_result> other;
        this->start(this->get());
        send_request(*this->pool, this->get(),
                     [&](http_result value) { other = std::move(value); });
        BOOST_REQUIRE(!this->receive(first).empty());
        BOOST_REQUIRE(!this->receive(first + 1).empty());
        this->send(first, ok("x"));
        this->send(first + 1, ok("x"));
        BOOST_REQUIRE(this->run_until([&] { return this->result && other; }));
        BOOST_TEST(open_connections(*this->pool) == 2U);
        this->start(this->get("again"));
        // The most recently used connection is reused first.
        BOOST_REQUIRE(this->receive(first + 1).find("/again") != std::string::npos);
        this->close(first + 1, reset);
        BOOST_REQUIRE(this->ended());
        BOOST_TEST((this->result->outcome == call_outcome::unknown));
        BOOST_TEST(this->result->connection_lost);
        BOOST_TEST(this->accepted.size() == first + 2);
        BOOST_TEST(open_connections(*this->pool) == 0U);
    }
}

// Guards against truncated responses being reported as complete.
BOOST_FIXTURE_TEST_CASE(truncated_responses_are_not_complete, raw_peer)
{
    for (const char* start : {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
                              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
                              "HTTP/1.1 200 OK\r\nA"})
    {
        pool_call call = this->get();
        call.accept_unframed = true;
        this->start(std::move(call));
        const std::size_t connection = this->accepted.size();
        BOOST_REQUIRE(!this->receive(connection).empty());
        this->send(connection, start);
        this->close(connection);
        BOOST_REQUIRE(this->ended());
        BOOST_TEST((this->result->outcome == call_outcome::unknown));
        BOOST_TEST(this->result->response.body.empty());
    }
}

// Guards against a broken response that is delivered or waited for, and against reuse of its
// connection.
BOOST_DATA_TEST_CASE(broken_responses_are_never_delivered,
                     boost::unit_test::data::make(rig::broken_responses()), broken)
{
    raw_peer peer;
    peer.start(peer.get());
    BOOST_REQUIRE(!peer.receive(0).empty());
    peer.send(0, rig::to_text(broken));
    BOOST_REQUIRE(peer.ended());
    BOOST_TEST((peer.result->outcome == call_outcome::unknown));
    BOOST_TEST(!peer.result->timed_out);
    BOOST_TEST(!peer.result->connection_lost);
    BOOST_TEST(peer.result->response.headers.empty());
    BOOST_TEST(peer.result->response.body.empty());
    BOOST_TEST(open_connections(*peer.pool) == 0U);
    peer.start(peer.get("2"));
    BOOST_REQUIRE(!peer.receive(1).empty());
    peer.send(1, ok("next"));
    BOOST_REQUIRE(peer.ended());
    BOOST_TEST(peer.result->response.body == "next");
}

// Guards against a call that waits for the rest of a response that is already known to be broken.
BOOST_DATA_TEST_CASE(unfinished_broken_response_ends_its_call,
                     boost::unit_test::data::make(rig::unfinished_broken_responses()), text)
{
    raw_peer peer;
    peer.start(peer.get());
    BOOST_REQUIRE(!peer.receive(0).empty());
    peer.send(0, text);
    BOOST_REQUIRE(peer.ended());
    BOOST_TEST((peer.result->outcome == call_outcome::unknown));
    BOOST_TEST(!peer.result->timed_out);
    BOOST_TEST(open_connections(*peer.pool) == 0U);
}

// Guards against a response in pieces that is taken for a broken one.
BOOST_FIXTURE_TEST_CASE(response_may_arrive_in_pieces, raw_peer)
{
    const std::string text = "HTTP/1.1 100 Continue\r\nX-A: 1\r\n\r\n"
                             "HTTP/1.1 200 OK\r\nX-B: 2\r\nContent-Length: 4\r\nX-C: 3\r\n\r\nbody";
    for (std::size_t first = 1; first < text.size(); ++first)
    {
        BOOST_TEST_CONTEXT(first)
        {
            this->start(this->get());
            BOOST_REQUIRE(!this->receive(0).empty());
            this->send(0, text.substr(0, first));
            rig::run_for(*this->loop, 2);
            BOOST_TEST(!this->result.has_value());
            this->send(0, text.substr(first));
            BOOST_REQUIRE(this->ended());
            BOOST_TEST(this->result->response.body == "body");
            BOOST_TEST(this->result->response.headers.size() == 3U);
        }
    }
}

// Guards against checks that reject what HTTP allows.
BOOST_DATA_TEST_CASE(unusual_responses_are_delivered,
                     boost::unit_test::data::make(rig::unusual_responses()), unusual)
{
    raw_peer peer;
    peer.start(peer.get());
    BOOST_REQUIRE(!peer.receive(0).empty());
    peer.send(0, rig::to_text(unusual));
    BOOST_REQUIRE(peer.ended());
    BOOST_TEST((peer.result->outcome == call_outcome::answered));
    BOOST_TEST(peer.result->response.body == rig::broken_body);
    if (unusual.name == "folded value")
    {
        BOOST_TEST(find_header(peer.result->response.headers, "X-Trouble").value_or("") == "1 2");
    }
}

// Guards against truncated responses without a length: only a close ends them, not a reset.
BOOST_FIXTURE_TEST_CASE(response_without_length_ends_at_connection_close, raw_peer)
{
    for (const bool reset : {false, true})
    {
        pool_call call = this->get();
        call.accept_unframed = true;
        this->start(std::move(call));
        const std::size_t connection = this->accepted.size();
        BOOST_REQUIRE(!this->receive(connection).empty());
        this->send(connection, "HTTP/1.1 200 OK\r\n\r\nwhole");
        this->run_until([&, since = steady_now()] { return steady_now() - since > 20; });
        this->close(connection, reset);
        BOOST_REQUIRE(this->ended());
        BOOST_TEST((this->result->outcome == call_outcome::answered) == !reset);
    }
}

// Guards against a refused connection being reported as a call that may have run.
BOOST_FIXTURE_TEST_CASE(refused_connection_proves_that_nothing_was_sent, raw_peer)
{
    this->stop_listening();
    this->start(this->get());
    BOOST_REQUIRE(this->ended());
    BOOST_TEST((this->result->outcome == call_outcome::not_sent));
    std::optional<bool> accepted;
    probe_peer(*this->pool, this->address, 200, [&](bool value) { accepted = value; });
    BOOST_REQUIRE(this->run_until([&] { return accepted.has_value(); }));
    BOOST_TEST(!*accepted);
}

// Guards against reuse of dead connections: after a timeout, the idle ones to the peer are closed.
BOOST_FIXTURE_TEST_CASE(timeout_closes_all_idle_connections_to_a_peer, raw_peer)
{
    std::optional<http_result> other;
    this->start(this->get());
    send_request(*this->pool, this->get(), [&](http_result value) { other = std::move(value); });
    BOOST_REQUIRE(!this->receive(0).empty());
    BOOST_REQUIRE(!this->receive(1).empty());
    this->send(0, ok("x"));
    this->send(1, ok("x"));
    BOOST_REQUIRE(this->run_until([&] { return this->result && other; }));
    BOOST_TEST(open_connections(*this->pool) == 2U);
    pool_call call = this->get();
    call.timeout = 50;
    this->start(std::move(call));
    BOOST_REQUIRE(this->ended());
    BOOST_TEST(this->result->timed_out);
    BOOST_TEST(open_connections(*this->pool) == 0U);
}

// Guards against a cancelled call whose connection stays open, so that the peer goes on with it.
BOOST_FIXTURE_TEST_CASE(cancelled_call_closes_its_connection, raw_peer)
{
    const call_id call = this->start(this->get());
    BOOST_REQUIRE(!this->receive(0).empty());
    cancel_call(*this->pool, call);
    char byte = 0;
    BOOST_TEST(
        this->run_until([&] { return ::recv(this->accepted[0], &byte, 1, MSG_DONTWAIT) == 0; }));
    BOOST_TEST(!this->result);
}

// Guards against more connections than concurrent calls, as idle ones count towards a peer's limit.
BOOST_FIXTURE_TEST_CASE(connection_idle_for_too_long_is_replaced, raw_peer)
{
    this->start(this->get());
    BOOST_REQUIRE(!this->receive(0).empty());
    this->send(0, ok("x"));
    BOOST_REQUIRE(this->ended());
    this->run_until([&, since = steady_now()] { return steady_now() - since > 20; });
    pool_call call = this->get();
    call.max_idle = 10;
    this->start(std::move(call));
    BOOST_REQUIRE(!this->receive(1).empty());
    BOOST_TEST(open_connections(*this->pool) == 1U);
    this->send(1, ok("x"));
    BOOST_REQUIRE(this->ended());
}

// Guards against retries that bypass the retry budget. A probed connection has not answered a call
// yet, so its loss doesn't show that the peer closed it before reading the call.
BOOST_FIXTURE_TEST_CASE(call_lost_on_a_probed_connection_is_not_resent, raw_peer)
{
    std::optional<bool> accepted;
    probe_peer(*this->pool, this->address, 200, [&](bool value) { accepted = value; });
    BOOST_REQUIRE(this->run_until([&] { return accepted && this->accepted.size() == 1; }));
    this->start(this->get());
    BOOST_REQUIRE(!this->receive(0).empty());
    this->close(0);
    BOOST_REQUIRE(this->ended());
    BOOST_TEST((this->result->outcome == call_outcome::unknown));
    BOOST_TEST(this->accepted.size() == 1U);
}

// Guards against a call that the peer has read being reported as not sent because the peer can't be
// reached afterwards. The caller would then exceed its limit of upstreams to try.
BOOST_FIXTURE_TEST_CASE(call_lost_with_its_peer_may_have_run, raw_peer)
{
    this->start(this->get());
    BOOST_REQUIRE(!this->receive(0).empty());
    this->send(0, ok("x"));
    BOOST_REQUIRE(this->ended());
    this->start(this->get("again"));
    BOOST_REQUIRE(!this->receive(0).empty());
    this->stop_listening();
    this->close(0, true);
    BOOST_REQUIRE(this->ended());
    BOOST_TEST((this->result->outcome == call_outcome::unknown));
}

// Guards against a 1xx response being taken for the final response.
BOOST_FIXTURE_TEST_CASE(informational_responses_are_skipped, raw_peer)
{
    this->start(this->get());
    BOOST_REQUIRE(!this->receive(0).empty());
    this->send(0, "HTTP/1.1 100 Continue\r\n\r\n" + ok("x"));
    BOOST_REQUIRE(this->ended());
    BOOST_TEST(this->result->response.status == 200);
}

// Guards against losing calls that can't be retried to an unreachable peer. An idle connection to
// it would take the call without a response, while a new connection fails before anything is sent.
BOOST_FIXTURE_TEST_CASE(non_retryable_call_avoids_idle_connection_to_a_silent_peer, raw_peer)
{
    constexpr time_ms pause_ms = 300;
    const auto call_after_pause = [&](bool retryable)
    {
        this->run_until([since = steady_now()] { return steady_now() - since > pause_ms; });
        pool_call call = this->get();
        call.max_idle = max_peer_reuse_idle(retryable);
        this->start(std::move(call));
    };
    this->start(this->get());
    BOOST_REQUIRE(!this->receive(0).empty());
    this->send(0, ok("x"));
    BOOST_REQUIRE(this->ended());
    call_after_pause(true);
    BOOST_REQUIRE(!this->receive(0).empty());
    this->send(0, ok("x"));
    BOOST_REQUIRE(this->ended());
    // The peer is unreachable for new connections, but the idle one would still accept the call.
    this->stop_listening();
    call_after_pause(false);
    BOOST_REQUIRE(this->ended());
    BOOST_TEST((this->result->outcome == call_outcome::not_sent));
}

namespace
{

constexpr std::array endless_response_starts{
    "HTTP/1.1 200 OK\r\nX-Fill: ", "HTTP/1.1 200 OK\r\nContent-Length: 100000000\r\n\r\n",
    "HTTP/1.1 200 OK\r\n\r\n"};

} // namespace

// Guards against a faulty upstream exhausting the daemon's memory with an endless response header
// or body.
BOOST_DATA_TEST_CASE(endless_response_is_aborted,
                     boost::unit_test::data::make(endless_response_starts), head)
{
    raw_peer peer;
    peer.start(peer.get("endless"));
    BOOST_REQUIRE(!peer.receive(0).empty());
    std::optional<http_result> other;
    send_request(*peer.pool, peer.get("other"),
                 [&](http_result value) { other = std::move(value); });
    BOOST_REQUIRE(!peer.receive(1).empty());
    peer.send(1, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nha");
    peer.send(0, head);
    const std::string fill(64U << 10U, 'x');
    std::size_t sent = 0;
    const bool ended = peer.run_until(
        [&]
        {
            ssize_t taken = 0;
            do
            {
                taken =
                    ::send(peer.accepted[0], fill.data(), fill.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
                sent += static_cast<std::size_t>(std::max<ssize_t>(taken, 0));
            } while (taken > 0);
            return peer.result.has_value() || sent > 8 * raw_peer::max_received_bytes;
        });
    BOOST_TEST(ended);
    // The socket buffers hold a part of the sent bytes.
    BOOST_TEST(sent <= 4 * raw_peer::max_received_bytes);
    BOOST_REQUIRE(peer.result.has_value());
    BOOST_TEST((peer.result->outcome == call_outcome::unknown));
    BOOST_TEST(!peer.result->reason.empty());
    BOOST_TEST(open_connections(*peer.pool) == 1U);
    // Other calls are not affected.
    peer.send(1, "lf");
    BOOST_TEST(peer.run_until([&] { return other.has_value(); }));
    BOOST_TEST(other->response.body == "half");
}
