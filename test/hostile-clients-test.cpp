// Real daemons on loopback addresses and small crowds of clients that misbehave. Each case checks
// only that the daemon lives within its memory and descriptors and that it answers an ordinary
// request while the crowd is still connected.
#define BOOST_TEST_ALTERNATIVE_INIT_API
#define BOOST_TEST_NO_MAIN
#include <boost/test/unit_test.hpp>

#include "rig/fleet.hpp"
#include "rig/mesh.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <functional>
#include <memory>
#include <string>
#include <vector>

using namespace sardinepoint;

namespace
{

constexpr time_ms start_limit_ms = 10'000;
constexpr time_ms crowd_time_ms = 2000;
constexpr time_ms settle_time_ms = 200;
constexpr time_ms ordinary_request_limit_ms = 15'000;
constexpr std::size_t bytes_per_mb = 1U << 20U;

// Memory and descriptors of the daemon under test; both are lower than those of a small VM.
constexpr int memory_mb = 64;
constexpr rlim_t descriptor_limit = 400;
// The rest is for files, the store and connections to peers and upstreams.
constexpr std::size_t max_descriptors = descriptor_limit * 7 / 8;

// MaxBodyBytes of the configuration that rig::fleet publishes.
constexpr std::size_t max_body_bytes = 1'000'000;
// Larger than the limit of every listener.
constexpr std::size_t oversized_body_bytes = 300 * bytes_per_mb;
constexpr std::size_t large_response_bytes = 1'000'000;

struct listener_kind
{
    std::string name;
    /** Size of a head that the listener accepts. */
    std::size_t head_bytes = 16'000;
    std::string routed_path = "/board/x";
    std::string unrouted_path = "/none/x";
};

/** What one client of a crowd sends: the prefix, and then the unit again and again. */
struct client_script
{
    std::string prefix;
    std::string unit;
    std::size_t total = 0;
    /** Largest number of bytes of one send. */
    std::size_t piece = 256U << 10U;
    time_ms pause = 0;
    int receive_buffer_bytes = 0;
};

struct crowd_kind
{
    std::string name;
    int clients = 0;
    std::function<client_script(const listener_kind&, const std::string& path)> script;
};

std::string head(const std::string& method, const std::string& path, const std::string& fields)
{
    return method + " " + path +
           " HTTP/1.1\r\nHost: one.example\r\nX-Request-Id: hostile\r\nX-Deadline-Ms: 2000\r\n" +
           fields + "\r\n";
}

std::string length_field(std::size_t bytes)
{
    return "Content-Length: " + std::to_string(bytes) + "\r\n";
}

/** Body of the declared length that stops before its last byte. */
client_script unfinished_body(const std::string& path, std::size_t bytes)
{
    const std::string prefix = head("POST", path, length_field(bytes));
    return {.prefix = prefix, .unit = std::string(4096, 'x'), .total = prefix.size() + bytes - 1};
}

client_script unfinished_chunks(const std::string& path, std::size_t bytes)
{
    const std::string prefix = head("POST", path, "Transfer-Encoding: chunked\r\n");
    return {.prefix = prefix,
            .unit = "1000\r\n" + std::string(4096, 'x') + "\r\n",
            .total = prefix.size() + bytes - 1};
}

client_script short_fields(const listener_kind& listener, const std::string& path)
{
    std::string fields = length_field(2);
    while (fields.size() + 200 < listener.head_bytes)
    {
        fields += "a:b\r\n";
    }
    const std::string prefix = head("POST", path, fields) + "x";
    return {.prefix = prefix, .unit = {}, .total = prefix.size()};
}

client_script unread_pipeline(const std::string& path)
{
    const std::string request = head("GET", path, "");
    return {
        .prefix = request, .unit = request, .total = max_body_bytes, .receive_buffer_bytes = 4096};
}

client_script half_request(const std::string& path)
{
    const std::string prefix = head("POST", path, length_field(1000));
    return {.prefix = prefix, .unit = "x", .total = prefix.size() + 500};
}

const std::vector<crowd_kind>& crowds()
{
    static const std::vector<crowd_kind> all{
        {"whole_bodies_left_open", 96,
         [](const listener_kind&, const std::string& path)
         {
             return unfinished_body(path, max_body_bytes);
         }},
        {"bodies_in_small_pieces_left_open", 96,
         [](const listener_kind&, const std::string& path)
         {
             client_script script = unfinished_body(path, max_body_bytes);
             script.piece = 8000;
             return script;
         }},
        {"chunked_bodies_left_open", 96,
         [](const listener_kind&, const std::string& path)
         {
             return unfinished_chunks(path, max_body_bytes);
         }},
        {"bodies_over_the_limit", 24,
         [](const listener_kind&, const std::string& path)
         {
             client_script script = unfinished_body(path, oversized_body_bytes);
             script.total = 8 * bytes_per_mb;
             return script;
         }},
        {"chunked_bodies_over_the_limit", 24,
         [](const listener_kind&, const std::string& path)
         {
             return unfinished_chunks(path, 8 * bytes_per_mb);
         }},
        {"many_short_fields", 200, &short_fields},
        {"unread_pipelines", 96,
         [](const listener_kind&, const std::string& path)
         {
             return unread_pipeline(path);
         }},
        {"slow_senders", 200,
         [](const listener_kind&, const std::string& path)
         {
             client_script script = half_request(path);
             script.piece = 1;
             script.pause = 10;
             return script;
         }},
        {"slow_readers", 96,
         [](const listener_kind&, const std::string& path)
         {
             const std::string request = head("GET", path, "");
             return client_script{.prefix = request,
                                  .unit = {},
                                  .total = request.size(),
                                  .receive_buffer_bytes = 4096};
         }},
        {"half_heads", 200,
         [](const listener_kind&, const std::string& path)
         {
             client_script script = half_request(path);
             script.total = script.prefix.size() / 2;
             return script;
         }},
        {"half_bodies", 200,
         [](const listener_kind&, const std::string& path)
         {
             return half_request(path);
         }},
        {"idle_connections", 500,
         [](const listener_kind&, const std::string&)
         {
             return client_script{};
         }},
    };
    return all;
}

/**
 * A client that sends its script, reads nothing and stays connected. It connects again when it has
 * been disconnected, up to a limit.
 */
struct hostile_client
{
    endpoint target;
    client_script script;
    int fd = -1;
    std::size_t sent = 0;
    time_ms next_send = 0;
    int reconnects_left = 3;
    bool closed = false;

    hostile_client(endpoint target, client_script script)
        : target(std::move(target)), script(std::move(script))
    {
        this->connect();
    }

    void connect()
    {
        this->sent = 0;
        this->fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        BOOST_REQUIRE(this->fd >= 0);
        if (const int bytes = this->script.receive_buffer_bytes; bytes > 0)
        {
            ::setsockopt(this->fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
        }
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(this->target.port);
        inet_pton(AF_INET, this->target.address.c_str(), &address.sin_addr);
        const int result =
            ::connect(this->fd, reinterpret_cast<sockaddr*>(&address), sizeof(address));
        BOOST_REQUIRE((result == 0 || errno == EINPROGRESS));
    }

    void handle_disconnect()
    {
        if (this->reconnects_left == 0)
        {
            this->closed = true;
            return;
        }
        --this->reconnects_left;
        ::close(this->fd);
        this->connect();
    }

    ~hostile_client()
    {
        ::close(this->fd);
    }

    hostile_client(const hostile_client&) = delete;
    hostile_client& operator=(const hostile_client&) = delete;

    std::string_view next_bytes() const
    {
        const std::size_t prefix = this->script.prefix.size();
        std::string_view rest = this->sent < prefix
                                    ? std::string_view(this->script.prefix).substr(this->sent)
                                    : std::string_view(this->script.unit)
                                          .substr((this->sent - prefix) % this->script.unit.size());
        return rest.substr(0, std::min(this->script.total - this->sent, this->script.piece));
    }

    bool is_done() const
    {
        return this->closed || this->sent >= this->script.total;
    }

    void send_some()
    {
        std::size_t left = this->script.piece;
        while (!this->is_done() && left > 0 && steady_now() >= this->next_send)
        {
            const std::string_view bytes = this->next_bytes().substr(0, left);
            const ssize_t result = ::send(this->fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (result < 0)
            {
                if (errno != EAGAIN && errno != ENOTCONN && errno != EINTR)
                {
                    this->handle_disconnect();
                }
                return;
            }
            this->sent += static_cast<std::size_t>(result);
            left -= static_cast<std::size_t>(result);
            this->next_send = steady_now() + this->script.pause;
        }
    }
};

/** Lowers the descriptor limit of processes that are started in its scope. */
struct child_descriptor_limit
{
    rlimit previous{};

    child_descriptor_limit()
    {
        ::getrlimit(RLIMIT_NOFILE, &this->previous);
        const rlimit lowered{.rlim_cur = descriptor_limit, .rlim_max = this->previous.rlim_max};
        ::setrlimit(RLIMIT_NOFILE, &lowered);
    }

    ~child_descriptor_limit()
    {
        ::setrlimit(RLIMIT_NOFILE, &this->previous);
    }

    child_descriptor_limit(const child_descriptor_limit&) = delete;
    child_descriptor_limit& operator=(const child_descriptor_limit&) = delete;
};

struct test_target
{
    endpoint address;
    rig::process* daemon = nullptr;
    /** Runs for a time, or until the condition holds. */
    std::function<bool(time_ms, const std::function<bool()>&)> run_until;
    /** Sends one ordinary request to the listener; returns whether it was answered. */
    std::function<bool()> send_ordinary_request;
};

/** Opens the crowd at the target and lets it send. Every second client uses an unrouted path. */
std::vector<std::unique_ptr<hostile_client>>
start_crowd(const test_target& target, const listener_kind& listener, const crowd_kind& crowd)
{
    std::vector<std::unique_ptr<hostile_client>> clients;
    const time_ms end = steady_now() + crowd_time_ms;
    target.run_until(crowd_time_ms + settle_time_ms,
                     [&]
                     {
                         constexpr int opened_per_step = 32;
                         for (int i = 0; i < opened_per_step &&
                                         clients.size() < static_cast<std::size_t>(crowd.clients);
                              ++i)
                         {
                             const std::string& path = clients.size() % 2 == 0
                                                           ? listener.routed_path
                                                           : listener.unrouted_path;
                             clients.push_back(std::make_unique<hostile_client>(
                                 target.address, crowd.script(listener, path)));
                         }
                         bool done = clients.size() == static_cast<std::size_t>(crowd.clients);
                         for (const auto& client : clients)
                         {
                             client->send_some();
                             done = done && client->is_done();
                         }
                         return done || steady_now() > end;
                     });
    return clients;
}

void run_case(const test_target& target, const listener_kind& listener, const crowd_kind& crowd)
{
    const auto clients = start_crowd(target, listener, crowd);
    target.run_until(settle_time_ms, [] { return false; });
    const std::size_t descriptors = rig::open_descriptors(target.daemon->id());
    bool answered = false;
    const time_ms limit = steady_now() + ordinary_request_limit_ms;
    while (!answered && steady_now() < limit && target.daemon->is_running())
    {
        answered = target.send_ordinary_request();
    }
    BOOST_REQUIRE_MESSAGE(target.daemon->is_running(), "the daemon has ended");
    const std::uint64_t peak = rig::peak_resident_bytes(target.daemon->id());
    BOOST_TEST_MESSAGE("peak " << peak / bytes_per_mb << " MB, " << descriptors
                               << " descriptors, ordinary request "
                               << (answered ? "answered" : "not answered"));
    BOOST_TEST(peak <= memory_mb * bytes_per_mb);
    BOOST_TEST(descriptors <= max_descriptors);
    BOOST_TEST(answered, "no ordinary request was answered");
}

void pause_between_requests(rig::fleet& self)
{
    self.run_for(50);
}

/** A sidecar with an upstream and a second daemon whose calls reach it on its data port. */
void run_sidecar_case(const listener_kind& listener, const crowd_kind& crowd)
{
    rig::fleet fleet(SARDINEPOINT_BIN_DIR, "hostile-clients");
    fleet.memory_mb = memory_mb;
    fleet.publish(1, {"board", "desk"});
    rig::fleet_daemon* runner = nullptr;
    {
        const child_descriptor_limit lowered;
        runner = &fleet.add("board");
    }
    rig::fleet_daemon& caller = fleet.add("desk");
    BOOST_REQUIRE(fleet.wait_served("board", start_limit_ms));
    runner->upstream->modify_response = [](http_response& response)
    {
        response.body.assign(large_response_bytes, 'y');
    };
    const auto is_served = [&](const rig::fleet_daemon& daemon)
    {
        pause_between_requests(fleet);
        return fleet.call(daemon, {.path = "/board/x"}).response.status == 200;
    };
    const auto has_metrics = [&]
    {
        pause_between_requests(fleet);
        std::optional<int> status;
        send_request(
            *fleet.http,
            {.method = "GET",
             .url = "http://127.0.0.1:" + std::to_string(runner->control_port) + "/metrics",
             .timeout = 2000},
            [&](const http_result& result) { status = result.response.status; });
        fleet.run_until(3000, [&] { return status.has_value(); });
        return status.value_or(0) == 200;
    };
    test_target target{.daemon = runner->child_process.get(),
                       .run_until = [&](time_ms time, const std::function<bool()>& condition)
                       {
                           return fleet.run_until(time, condition);
                       }};
    if (listener.name == "outbound")
    {
        target.address = runner->outbound;
        target.send_ordinary_request = [&]
        {
            return is_served(*runner);
        };
    }
    else if (listener.name == "data")
    {
        target.address = {"127.0.0.1", runner->data_port};
        target.send_ordinary_request = [&]
        {
            return is_served(caller);
        };
    }
    else if (listener.name == "control")
    {
        target.address = {"127.0.0.1", runner->control_port};
        target.send_ordinary_request = has_metrics;
    }
    else if (listener.name == "readiness")
    {
        target.address = runner->readiness;
        target.send_ordinary_request = [&]
        {
            pause_between_requests(fleet);
            return fleet.ready_status(*runner) == 200;
        };
    }
    else
    {
        target.address = runner->announcements;
        target.send_ordinary_request = [&]
        {
            pause_between_requests(fleet);
            return fleet.announce(*runner) == 200;
        };
    }
    run_case(target, listener, crowd);
}

/** The data port of a daemon that is no sidecar. */
void run_ingress_case(const listener_kind& listener, const crowd_kind& crowd)
{
    rig::mesh mesh({.build_dir = SARDINEPOINT_BIN_DIR,
                    .extra_settings = "[daemon]\nmemory_mb = " + std::to_string(memory_mb) + "\n",
                    .name = "hostile-clients"});
    rig::daemon_node* daemon = nullptr;
    {
        const child_descriptor_limit lowered;
        daemon = &mesh.add_daemon("vm-1", "d1");
    }
    BOOST_REQUIRE(mesh.wait_ready(start_limit_ms));
    mesh.add_upstream(*daemon, {.service = "board"});
    mesh.submit(*daemon, 0, rig::service_operations("board", "v1", "/board"));
    BOOST_REQUIRE(mesh.wait_version(1, start_limit_ms));
    BOOST_REQUIRE(mesh.wait_upstreams("board", 1, start_limit_ms));
    const test_target target{.address = daemon->data,
                             .daemon = daemon->child_process.get(),
                             .run_until =
                                 [](time_ms time, const std::function<bool()>& condition)
                             {
                                 const time_ms end = steady_now() + time;
                                 while (!condition() && steady_now() < end)
                                 {
                                     rig::pause(1);
                                 }
                                 return true;
                             },
                             .send_ordinary_request =
                                 [&]
                             {
                                 rig::pause(50);
                                 return rig::call(daemon->data, {.method = "GET", .timeout = 2000},
                                                  "/board/x")
                                            .response.status == 200;
                             }};
    run_case(target, listener, crowd);
}

/** A body of the largest size that the configuration permits, without any other client. */
void run_large_body_case(bool through_peer)
{
    constexpr int vm_memory_mb = 160;
    constexpr std::size_t legal_body_bytes = 64 * bytes_per_mb;
    constexpr time_ms time_limit = 8000;
    rig::fleet fleet(SARDINEPOINT_BIN_DIR, "hostile-clients");
    fleet.memory_mb = vm_memory_mb;
    fleet.max_body_bytes = legal_body_bytes;
    fleet.route_timeout = time_limit;
    fleet.publish(1, {"board", "desk"});
    rig::fleet_daemon& runner = fleet.add("board");
    rig::fleet_daemon& caller = fleet.add("desk");
    BOOST_REQUIRE(fleet.wait_served("board", start_limit_ms));
    const http_result result =
        fleet.call(through_peer ? caller : runner, {.method = "POST",
                                                    .path = "/board/x",
                                                    .body = std::string(legal_body_bytes, 'x'),
                                                    .deadline = time_limit});
    BOOST_TEST(result.response.status == 200);
    for (const rig::fleet_daemon* daemon : {&runner, &caller})
    {
        BOOST_REQUIRE_MESSAGE(daemon->child_process->is_running(), "the daemon has ended");
        const std::uint64_t peak = rig::peak_resident_bytes(daemon->child_process->id());
        BOOST_TEST_MESSAGE("peak " << peak / bytes_per_mb << " MB");
        BOOST_TEST(peak <= vm_memory_mb * bytes_per_mb);
    }
}

void add_case(const std::string& name, const std::function<void()>& body)
{
    boost::unit_test::framework::master_test_suite().add(
        boost::unit_test::make_test_case(body, name, __FILE__, __LINE__));
}

bool add_cases()
{
    add_case("large_body_is_served_on_this_vm", [] { run_large_body_case(false); });
    add_case("large_body_is_served_through_a_peer", [] { run_large_body_case(true); });
    // The data port of a sidecar accepts heads of 256 KB from peers.
    const std::vector<listener_kind> listeners{
        {.name = "outbound"},
        {.name = "data", .head_bytes = 250'000},
        {.name = "control", .routed_path = "/status"},
        {.name = "readiness", .routed_path = "/api/readyz"},
        {.name = "announcements", .routed_path = "/api/Instances.Heartbeat/i-vm-1"},
        {.name = "ingress"},
    };
    for (const listener_kind& listener : listeners)
    {
        for (const crowd_kind& crowd : crowds())
        {
            add_case(listener.name + "_" + crowd.name,
                     [listener, crowd]
                     {
                         listener.name == "ingress" ? run_ingress_case(listener, crowd)
                                                    : run_sidecar_case(listener, crowd);
                     });
        }
    }
    return true;
}

} // namespace

int main(int argc, char** argv)
{
    return boost::unit_test::unit_test_main(&add_cases, argc, argv);
}
