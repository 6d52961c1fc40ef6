#define BOOST_TEST_MODULE http
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "rig/broken_responses.hpp"
#include "rig/raw_http.hpp"

#include "sardinepoint/http_client.hpp"
#include "sardinepoint/http_server.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>
#include <utility>

using namespace sardinepoint;

namespace
{

constexpr time_ms test_limit_ms = 10000;

/** An event loop and a client. The loop fails the test if the expected event never occurs. */
struct client_rig
{
    event_loop_ptr loop = make_event_loop();
    http_client_ptr client = open_http_client(*this->loop, {});

    void wait()
    {
        run_after(*this->loop, test_limit_ms,
                  [this]
                  {
                      BOOST_ERROR("time limit reached");
                      stop(*this->loop);
                  });
        run(*this->loop);
    }
};

std::string url_of(const http_server& server, std::string_view target)
{
    return "http://127.0.0.1:" + std::to_string(bound_port(server)) + std::string(target);
}

/** Answers the first request and closes the connection without a response at any later one. */
class closing_peer
{
public:
    explicit closing_peer(event_loop& loop) : loop(&loop)
    {
        this->listener = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        (void)::bind(this->listener, reinterpret_cast<sockaddr*>(&address), sizeof address);
        (void)::listen(this->listener, 16);
        socklen_t length = sizeof address;
        ::getsockname(this->listener, reinterpret_cast<sockaddr*>(&address), &length);
        this->port = ntohs(address.sin_port);
        watch_fd(loop, this->listener, {.read = true, .write = false},
                 [this](io_interest) { this->accept_one(); });
    }

    int requests = 0;
    int port = 0;

private:
    void accept_one()
    {
        const int fd = ::accept(this->listener, nullptr, nullptr);
        watch_fd(*this->loop, fd, {.read = true, .write = false},
                 [this, fd](io_interest) { this->read_some(fd); });
    }

    void read_some(int fd)
    {
        char buffer[4096];
        const ssize_t length = ::read(fd, buffer, sizeof buffer);
        const std::string_view text(buffer, length > 0 ? static_cast<std::size_t>(length) : 0);
        const bool request = text.find("HTTP/1.1") != std::string_view::npos;
        this->requests += request ? 1 : 0;
        if (request && this->requests == 1)
        {
            const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
            BOOST_TEST(::write(fd, answer.data(), answer.size()) ==
                       static_cast<ssize_t>(answer.size()));
            return;
        }
        if (request || length <= 0)
        {
            unwatch_fd(*this->loop, fd);
            ::close(fd);
        }
    }

    event_loop* loop;
    int listener = -1;
};

} // namespace

// Guards against responses that are delivered to the wrong call when they arrive out of order.
BOOST_AUTO_TEST_CASE(response_reaches_its_call)
{
    client_rig r;
    error reason;
    http_server_ptr server;
    server = open_http_server(
        *r.loop, {},
        {.on_request =
             [&](request_id id, const http_request& request)
         {
             // The first request is answered last, so the responses arrive out of order.
             const time_ms delay = request.body == "0" ? 30 : 1;
             run_after(*r.loop, delay,
                       [&, id, body = request.body] {
                           send_response(*server, id, {.status = 200, .headers = {}, .body = body});
                       });
         },
         .on_cancelled = {}},
        reason);
    BOOST_REQUIRE_MESSAGE(server, describe(reason));
    int left = 8;
    for (int i = 0; i < 8; ++i)
    {
        send_request(*r.client,
                     {.method = "POST", .url = url_of(*server, "/echo"), .body = std::to_string(i)},
                     [&, i](const http_result& result)
                     {
                         BOOST_TEST((result.outcome == call_outcome::answered));
                         BOOST_TEST(result.response.body == std::to_string(i));
                         if (--left == 0)
                         {
                             stop(*r.loop);
                         }
                     });
    }
    r.wait();
}

// Guards against libcurl resending a request by itself after a reused connection was closed.
BOOST_AUTO_TEST_CASE(non_retryable_request_is_sent_once)
{
    for (const std::string body : {"work", ""})
    {
        client_rig r;
        closing_peer peer(*r.loop);
        const std::string url = "http://127.0.0.1:" + std::to_string(peer.port) + "/";
        const http_call call{
            .method = "POST", .url = url, .headers = {}, .body = body, .retryable = false};
        send_request(*r.client, call,
                     [&](const http_result& first)
                     {
                         BOOST_TEST((first.outcome == call_outcome::answered));
                         send_request(*r.client, call,
                                      [&](const http_result& second)
                                      {
                                          BOOST_TEST((second.outcome == call_outcome::unknown));
                                          stop(*r.loop);
                                      });
                     });
        r.wait();
        BOOST_TEST(peer.requests == 2);
    }
}

// Guards against a refused connection being reported as a call that may have run.
BOOST_AUTO_TEST_CASE(refused_connection_is_proven_not_sent)
{
    client_rig r;
    error reason;
    http_server_ptr server = open_http_server(
        *r.loop, {}, {.on_request = [](request_id, const http_request&) {}, .on_cancelled = {}},
        reason);
    const std::string url = url_of(*server, "/");
    server.reset();
    send_request(*r.client, {.method = "GET", .url = url},
                 [&](const http_result& result)
                 {
                     BOOST_TEST((result.outcome == call_outcome::not_sent));
                     stop(*r.loop);
                 });
    r.wait();
}

// Guards against requests that continue after their caller has disconnected. The server must detect
// this while the connection is suspended.
BOOST_AUTO_TEST_CASE(cancelled_call_is_reported_to_the_server)
{
    client_rig r;
    error reason;
    http_server_ptr server;
    call_id call;
    server = open_http_server(*r.loop, {},
                              {.on_request = [&](request_id, const http_request&)
                               { run_after(*r.loop, 1, [&] { cancel_call(*r.client, call); }); },
                               .on_cancelled =
                                   [&](request_id)
                               {
                                   stop(*r.loop);
                               }},
                              reason);
    call =
        send_request(*r.client, {.method = "GET", .url = url_of(*server, "/")},
                     [](const http_result&) { BOOST_ERROR("a cancelled call must not complete"); });
    r.wait();
}

// Guards against a call that timed out after it was sent being reported as not sent.
BOOST_AUTO_TEST_CASE(timed_out_call_is_unknown)
{
    client_rig r;
    error reason;
    http_server_ptr server = open_http_server(
        *r.loop, {}, {.on_request = [](request_id, const http_request&) {}, .on_cancelled = {}},
        reason);
    send_request(*r.client, {.method = "GET", .url = url_of(*server, "/"), .timeout = 50},
                 [&](const http_result& result)
                 {
                     BOOST_TEST((result.outcome == call_outcome::unknown));
                     BOOST_TEST(result.timed_out);
                     stop(*r.loop);
                 });
    r.wait();
}

// Guards against a broken response that is delivered, and against reuse of its connection.
BOOST_DATA_TEST_CASE(broken_responses_are_never_delivered,
                     boost::unit_test::data::make(rig::broken_responses()), broken)
{
    client_rig r;
    rig::raw_server peer({"127.0.0.1", 0},
                         [&](int fd, const std::string&, int number)
                         {
                             const std::string next =
                                 "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnext";
                             rig::write_text(fd, number == 1 ? rig::to_text(broken) : next);
                         });
    const std::string url = "http://" + to_string(peer.where) + "/a";
    constexpr time_ms call_limit_ms = 1000;
    http_result result;
    const auto finish = [&](http_result value)
    {
        result = std::move(value);
        stop(*r.loop);
    };
    send_request(*r.client, {.url = url, .timeout = call_limit_ms}, finish);
    r.wait();
    BOOST_TEST((result.outcome == call_outcome::unknown));
    BOOST_TEST(!result.timed_out);
    BOOST_TEST(!result.connection_lost);
    BOOST_TEST(result.response.headers.empty());
    BOOST_TEST(result.response.body.empty());
    resume(*r.loop);
    send_request(*r.client, {.url = url, .timeout = call_limit_ms}, finish);
    r.wait();
    BOOST_TEST((result.outcome == call_outcome::answered));
    BOOST_TEST(result.response.body == "next");
}

// Guards against a call that waits for the rest of a response that is already known to be broken.
BOOST_DATA_TEST_CASE(unfinished_broken_response_ends_its_call,
                     boost::unit_test::data::make(rig::unfinished_broken_responses()), text)
{
    client_rig r;
    rig::raw_server peer({"127.0.0.1", 0},
                         [&](int fd, const std::string&, int) { rig::write_text(fd, text); });
    http_result result;
    send_request(*r.client, {.url = "http://" + to_string(peer.where) + "/a", .timeout = 1000},
                 [&](http_result value)
                 {
                     result = std::move(value);
                     stop(*r.loop);
                 });
    r.wait();
    BOOST_TEST((result.outcome == call_outcome::unknown));
    BOOST_TEST(!result.timed_out);
}

// Guards against checks that reject what HTTP allows.
BOOST_DATA_TEST_CASE(unusual_responses_are_delivered,
                     boost::unit_test::data::make(rig::unusual_responses()), unusual)
{
    client_rig r;
    rig::raw_server peer({"127.0.0.1", 0}, [&](int fd, const std::string&, int)
                         { rig::write_text(fd, rig::to_text(unusual)); });
    http_result result;
    send_request(*r.client, {.url = "http://" + to_string(peer.where) + "/a"},
                 [&](http_result value)
                 {
                     result = std::move(value);
                     stop(*r.loop);
                 });
    r.wait();
    BOOST_TEST((result.outcome == call_outcome::answered));
    BOOST_TEST(result.response.body == rig::broken_body);
    if (unusual.name == "folded value")
    {
        BOOST_TEST(find_header(result.response.headers, "X-Trouble").value_or("") == "1 2");
    }
}
