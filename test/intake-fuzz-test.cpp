#define BOOST_TEST_MODULE intake_fuzz
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "rig/fleet.hpp"
#include "rig/loop.hpp"
#include "rig/mesh.hpp"

#include "sardinepoint/pipelined_server.hpp"

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

using namespace sardinepoint;
using nlohmann::json;

namespace
{

constexpr int connections_per_seed = 300;
constexpr int messages_per_seed = 3000;
constexpr time_ms answer_limit_ms = 3000;
const std::vector<std::uint64_t> seeds{1, 2, 3, 4};

using generator = std::mt19937_64;

std::size_t random_below(generator& random, std::size_t limit)
{
    return std::uniform_int_distribution<std::size_t>(0, limit - 1)(random);
}

template <typename Items>
const auto& pick(generator& random, const Items& items)
{
    return items[random_below(random, std::size(items))];
}

/** A request that is valid, or has framing that contradicts itself or is cut. */
std::string random_request(generator& random)
{
    static const std::vector<std::string> starts{"GET / HTTP/1.1\r\n",
                                                 "POST /a HTTP/1.1\r\n",
                                                 "HEAD /a?b=c HTTP/1.1\r\n",
                                                 "POST /a HTTP/1.0\r\n",
                                                 "GET  / HTTP/1.1\r\n",
                                                 "G\x01T / HTTP/1.1\r\n",
                                                 "GET /\xff\xfe HTTP/9.9\r\n",
                                                 "\r\n",
                                                 "POST /a\r\n"};
    static const std::vector<std::string> fields{"Host: h\r\n",
                                                 "Content-Length: 5\r\n",
                                                 "Content-Length: 6\r\n",
                                                 "Content-Length: -1\r\n",
                                                 "Content-Length: 99999999999999999999\r\n",
                                                 "Transfer-Encoding: chunked\r\n",
                                                 "Transfer-Encoding: gzip, chunked\r\n",
                                                 "Expect: 100-continue\r\n",
                                                 "Connection: close\r\n",
                                                 "Connection: keep-alive, x\r\n",
                                                 "a:b\r\n",
                                                 " folded\r\n",
                                                 "no colon\r\n",
                                                 ": empty\r\n",
                                                 "X: " + std::string(3000, 'x') + "\r\n"};
    static const std::vector<std::string> bodies{"",
                                                 "hello",
                                                 "5\r\nhello\r\n0\r\n\r\n",
                                                 "5;x=" + std::string(2000, 'y') +
                                                     "\r\nhello\r\n0\r\n\r\n",
                                                 "ffffffffffffffffff\r\nhello",
                                                 "5\r\nhelloworld",
                                                 "0\r\nTrailer: t\r\n\r\n",
                                                 "-1\r\n\r\n",
                                                 "5 \r\nhello\r\n0\r\n" + std::string(5000, 'z')};
    std::string text = pick(random, starts);
    const std::size_t count = random_below(random, 6);
    for (std::size_t i = 0; i < count; ++i)
    {
        text += pick(random, fields);
    }
    text += "\r\n" + pick(random, bodies);
    if (random_below(random, 4) == 0)
    {
        text[random_below(random, text.size())] = static_cast<char>(random_below(random, 256));
    }
    if (random_below(random, 4) == 0)
    {
        text.resize(random_below(random, text.size() + 1));
    }
    return text;
}

int connect_to(std::uint16_t port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    const int result = ::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    BOOST_REQUIRE((result == 0 || errno == EINPROGRESS));
    return fd;
}

/** A server that answers each request with its body, at once or later. */
struct echo_server
{
    event_loop_ptr loop = make_event_loop();
    pipelined_server_ptr server;
    metrics stats;
    intake::gate gate{*this->loop, this->stats, 1U << 20U};

    echo_server()
    {
        error reason;
        this->server = open_pipelined_server(
            *this->loop,
            {.address = {"127.0.0.1", 0},
             .limits = {.max_header_bytes = 4096, .max_body_bytes = 4096, .header_timeout = 200},
             .intake = {&this->gate,
                        {.name = "fuzz",
                         .max_connections = 16,
                         .max_bytes = 1U << 20U,
                         .max_fields = 32}}},
            {.on_request =
                 [this](request_id id, http_request request)
             {
                 http_response response{.body = std::move(request.body)};
                 if (id.value % 2 == 0)
                 {
                     send_response(*this->server, id, std::move(response));
                     return;
                 }
                 run_after(*this->loop, 1,
                           [this, id, response] { send_response(*this->server, id, response); });
             },
             .on_cancelled = {}},
            reason);
        BOOST_REQUIRE_MESSAGE(this->server, describe(reason));
    }

    bool answers_request()
    {
        const int fd = connect_to(bound_port(*this->server));
        std::string request = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nping";
        std::string received;
        bool sent = false;
        const bool answered = rig::run_until(
            *this->loop, answer_limit_ms,
            [&]
            {
                sent = sent || ::send(fd, request.data(), request.size(), MSG_NOSIGNAL) > 0;
                std::array<char, 1024> buffer{};
                const ssize_t got = ::recv(fd, buffer.data(), buffer.size(), 0);
                received.append(buffer.data(), static_cast<std::size_t>(std::max<ssize_t>(got, 0)));
                return received.ends_with("ping");
            });
        ::close(fd);
        return answered && received.starts_with("HTTP/1.1 200 ");
    }
};

/** Sends random requests in pieces of random size on one connection. */
void send_random_requests(echo_server& target, generator& random)
{
    const int fd = connect_to(bound_port(*target.server));
    std::string text;
    const std::size_t requests = 1 + random_below(random, 5);
    for (std::size_t i = 0; i < requests; ++i)
    {
        text += random_request(random);
    }
    std::size_t sent = 0;
    bool closed = false;
    rig::run_until(*target.loop, 20,
                   [&]
                   {
                       const std::size_t piece = std::min(
                           text.size() - sent,
                           random_below(random, 4) == 0 ? 1 : 1 + random_below(random, 2000));
                       const ssize_t result =
                           ::send(fd, text.data() + sent, piece, MSG_NOSIGNAL | MSG_DONTWAIT);
                       closed = result < 0 && errno != EAGAIN && errno != ENOTCONN;
                       sent += static_cast<std::size_t>(std::max<ssize_t>(result, 0));
                       return closed || sent == text.size();
                   });
    ::close(fd);
}

json random_json(generator& random, int depth)
{
    // Keys of messages between daemons, and unknown ones.
    static const std::vector<std::string> keys{"id",          "a",
                                               "b",           "base",
                                               "c",           "contacts",
                                               "control",     "crashes",
                                               "d",           "delta",
                                               "departed",    "digest",
                                               "domain",      "domains",
                                               "e",           "evidence",
                                               "f",           "gateway",
                                               "have",        "host",
                                               "i",           "inc",
                                               "k",           "kind",
                                               "l",           "latencies",
                                               "log",         "m",
                                               "member",      "members",
                                               "move",        "moves",
                                               "n",           "newest_whole",
                                               "next",        "next_offset",
                                               "o",           "offset",
                                               "ok",          "order",
                                               "p",           "packed",
                                               "port",        "prefix",
                                               "proxies",     "r",
                                               "records",     "root",
                                               "routes",      "s",
                                               "seq",         "service",
                                               "services",    "small",
                                               "snapshot",    "spread",
                                               "state",       "step",
                                               "summary",     "superseded_from",
                                               "t",           "target",
                                               "u",           "unpushed",
                                               "v",           "version",
                                               "want",        "w",
                                               "x",           "y",
                                               "incarnation", "ops",
                                               "timeout_ms",  "slots",
                                               "connections", "address"};
    static const std::vector<std::string> texts{
        "",   "vm-1", "vm-2",         "d1",       "127.0.0.1:1",           "board", "alive", "dead",
        "{}", "[1]",  "{\"a\":null}", "\xc3\xa9", "999999999999999999999", "-1",    "null"};
    const std::size_t kind = random_below(random, depth > 0 ? 9 : 7);
    switch (kind)
    {
    case 0:
        return nullptr;
    case 1:
        return random_below(random, 2) == 0;
    case 2:
        return static_cast<std::int64_t>(random()) >> random_below(random, 64);
    case 3:
        return random() >> random_below(random, 64);
    case 4:
        return std::uniform_real_distribution<double>(-1e300, 1e300)(random);
    case 5:
    case 6:
        return pick(random, texts);
    case 7:
    {
        json list = json::array();
        for (std::size_t i = random_below(random, 5); i > 0; --i)
        {
            list.push_back(random_json(random, depth - 1));
        }
        return list;
    }
    default:
        break;
    }
    json object = json::object();
    for (std::size_t i = 1 + random_below(random, 12); i > 0; --i)
    {
        object[pick(random, keys)] = random_json(random, depth - 1);
    }
    return object;
}

} // namespace

// Guards against heads, chunks and pipelines that end the server, block it or leak what is
// accounted for them.
BOOST_DATA_TEST_CASE(random_requests_leave_the_server_working, boost::unit_test::data::make(seeds),
                     seed)
{
    generator random(seed);
    echo_server target;
    for (int i = 0; i < connections_per_seed; ++i)
    {
        send_random_requests(target, random);
    }
    BOOST_TEST(target.answers_request());
    BOOST_TEST(rig::run_until(*target.loop, answer_limit_ms,
                              [&] { return open_connections(*target.server) == 0; }));
    BOOST_TEST(target.gate.budget.bytes == 0U);
    BOOST_TEST(target.gate.budget.connections.empty());
}

// Guards against a caller on a bad network that is throttled and then forgotten.
BOOST_AUTO_TEST_CASE(request_in_single_bytes_is_answered)
{
    echo_server target;
    const int fd = connect_to(bound_port(*target.server));
    const std::string request =
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n" + std::string(100, 'x');
    std::size_t sent = 0;
    std::string received;
    rig::run_until(*target.loop, answer_limit_ms,
                   [&]
                   {
                       if (sent < request.size() &&
                           ::send(fd, &request[sent], 1, MSG_NOSIGNAL | MSG_DONTWAIT) == 1)
                       {
                           ++sent;
                       }
                       std::array<char, 1024> buffer{};
                       const ssize_t got = ::recv(fd, buffer.data(), buffer.size(), MSG_DONTWAIT);
                       received.append(buffer.data(),
                                       static_cast<std::size_t>(std::max<ssize_t>(got, 0)));
                       return received.ends_with("xxx");
                   });
    ::close(fd);
    BOOST_TEST(received.starts_with("HTTP/1.1 200 "));
}

// Guards against messages of peers and operators that end a daemon.
BOOST_DATA_TEST_CASE(random_messages_leave_the_daemon_working, boost::unit_test::data::make(seeds),
                     seed)
{
    static const std::vector<std::string> paths{
        "/peer/v1/push",     "/peer/v1/sync",        "/peer/v1/members", "/peer/v1/summary",
        "/peer/v1/evidence", "/peer/v1/probe-via",   "/peer/v1/probe",   "/v1/announce",
        "/v1/drain",         "/v1/patches?dry_run=1"};
    generator random(seed);
    rig::mesh mesh({.build_dir = SARDINEPOINT_BIN_DIR, .name = "intake-fuzz"});
    rig::daemon_node& daemon = mesh.add_daemon("vm-1", "d1");
    BOOST_REQUIRE(mesh.wait_ready(10'000));
    for (int i = 0; i < messages_per_seed; ++i)
    {
        const std::string& path = pick(random, paths);
        json message = random_json(random, 4);
        if (random_below(random, 4) != 0 && !message.is_object())
        {
            message = json{{"id", "vm-2"},
                           {pick(random, std::vector<std::string>{"m", "r", "s"}), message}};
        }
        const std::string body = message.dump(-1, ' ', false, json::error_handler_t::replace);
        rig::call(daemon.control, {.method = "POST", .body = body, .timeout = 500}, path);
        BOOST_REQUIRE_MESSAGE(daemon.child_process->is_running(),
                              "the daemon ended after " << path << " " << body);
    }
    BOOST_TEST(
        rig::call(daemon.control, {.method = "GET", .timeout = 2000}, "/healthz").response.status ==
        200);
}
