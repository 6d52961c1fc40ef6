#define BOOST_TEST_MODULE call
#include <boost/test/unit_test.hpp>

#include "rig/call_storm.hpp"
#include "rig/mesh.hpp"
#include "rig/raw_http.hpp"

#include "sardinepoint/limits.hpp"

#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <future>
#include <random>
#include <thread>

using namespace sardinepoint;
using nlohmann::json;

namespace
{

constexpr time_ms start_limit_ms = 10000;
constexpr std::uint64_t min_faults = 11;

std::string outcome_of(const http_result& result)
{
    return std::string(find_header(result.response.headers, "Sardinepoint-Outcome").value_or(""));
}

void check_storm(bool keyed, std::uint64_t calls, time_ms limit)
{
    const std::uint64_t seed = std::random_device{}() % 100'000;
    BOOST_TEST_MESSAGE("seed " << seed);
    const rig::chaos_counts counts = rig::run_chaos_test({.build_dir = SARDINEPOINT_BIN_DIR,
                                                          .seed = seed,
                                                          .calls = calls,
                                                          .min_faults = min_faults,
                                                          .keyed = keyed,
                                                          .limit = limit});
    BOOST_TEST_MESSAGE("calls " << counts.calls << ", submissions " << counts.submissions
                                << ", faults " << counts.faults << ", answered " << counts.answered
                                << ", not run " << counts.not_run << ", unknown "
                                << counts.unknown);
    BOOST_TEST(counts.calls >= calls);
    BOOST_TEST(counts.faults >= min_faults);
    BOOST_TEST(counts.answered > calls / 2);
    BOOST_TEST(counts.run_twice == 0U);
    BOOST_TEST(counts.not_run_but_ran == 0U);
    BOOST_TEST(counts.answered_but_not_run == 0U);
    BOOST_TEST(counts.mismatched == 0U);
}

/** One failure domain in which every VM has a daemon and an upstream. */
struct one_domain
{
    rig::mesh mesh{{.build_dir = SARDINEPOINT_BIN_DIR, .name = "call"}};

    void start(std::size_t count, const rig::upstream_options& options = {})
    {
        for (std::size_t i = 0; i < count; ++i)
        {
            this->mesh.add_upstream(this->mesh.add_daemon("vm-" + std::to_string(i), "tallinn-a"),
                                    options);
        }
        BOOST_REQUIRE(this->mesh.wait_ready(start_limit_ms));
        BOOST_REQUIRE(this->mesh.wait_upstreams("duty-board", count, start_limit_ms));
        this->publish();
    }

    void publish()
    {
        BOOST_REQUIRE(this->mesh.submit(
                          this->mesh.daemons[0], 0,
                          rig::service_operations("duty-board", "v1", "/duty"))["status"] == 200);
        BOOST_REQUIRE(this->mesh.wait_version(1, start_limit_ms));
    }

    std::string new_key(std::size_t daemon)
    {
        const json body =
            rig::get_json(this->mesh.daemons[daemon].data, "/.sardinepoint/keys?count=1");
        BOOST_REQUIRE(body.is_object());
        return body["keys"][0];
    }

    http_result post(std::size_t daemon, const std::string& body, const std::string& key = "",
                     const std::string& target = "/duty/crew")
    {
        http_call call{
            .method = "POST", .headers = {{"Request-Id", body}}, .body = body, .retryable = false};
        if (!key.empty())
        {
            call.headers.push_back({"Idempotency-Key", key});
        }
        return rig::call(this->mesh.daemons[daemon].data, call, target);
    }

    void set_behaviour(std::size_t upstream, const json& behaviour)
    {
        rig::post_json(this->mesh.upstreams[upstream].address, "/standin/behaviour", behaviour);
    }

    json stats(std::size_t upstream)
    {
        return rig::get_json(this->mesh.upstreams[upstream].address, "/standin/stats");
    }
};

std::string complete_response(const std::string& body)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

// Guards against a keyed request that runs twice, or runs although its caller was told otherwise.
BOOST_AUTO_TEST_CASE(keyed_calls_run_at_most_once_under_faults)
{
    check_storm(true, 10'000, 40'000);
}

// Guards against a request without a key that is sent to an upstream twice.
BOOST_AUTO_TEST_CASE(calls_without_keys_run_at_most_once_under_faults)
{
    check_storm(false, 10'000, 40'000);
}

// Guards against issued keys that daemons reject, and against a second run of a keyed request that
// is sent through another daemon.
BOOST_FIXTURE_TEST_CASE(key_runs_once_through_any_daemon, one_domain)
{
    this->start(2);
    const std::string key = this->new_key(0);
    const http_result first = this->post(1, "crew 1", key);
    const http_result second = this->post(0, "crew 1", key);
    BOOST_TEST(outcome_of(first) == "answered");
    BOOST_TEST(outcome_of(second) == "answered");
    BOOST_TEST(first.response.body == second.response.body);
    BOOST_TEST(this->stats(0)["calls"].get<int>() + this->stats(1)["calls"].get<int>() == 1);
    BOOST_TEST(outcome_of(this->post(0, "crew 1", key, "/duty/crew?other=1")) == "not-run");
}

// Guards against a delayed copy of a keyed request that runs after its caller was told "not run".
BOOST_FIXTURE_TEST_CASE(not_run_is_final_for_a_key, one_domain)
{
    this->start(1);
    const std::string key = this->new_key(0);
    BOOST_TEST(outcome_of(this->post(0, "crew 1", key, "/elsewhere")) == "not-run");
    json route = rig::service_operations("duty-board", "v1", "/elsewhere")[1];
    route["name"] = "elsewhere";
    BOOST_REQUIRE(this->mesh.submit(this->mesh.daemons[0], 1, json::array({route}))["status"] ==
                  200);
    BOOST_REQUIRE(this->mesh.wait_version(2, start_limit_ms));
    BOOST_TEST(outcome_of(this->post(0, "crew 1", key, "/elsewhere")) == "not-run");
    BOOST_TEST(outcome_of(this->post(0, "crew 1", this->new_key(0), "/elsewhere")) == "answered");
    BOOST_TEST(outcome_of(this->post(0, "crew 1", this->new_key(0))) == "answered");
}

// Guards against reporting "not run" for a key whose owner has stopped or restarted: the request
// may have run there.
BOOST_FIXTURE_TEST_CASE(key_of_a_gone_or_restarted_owner_is_unknown, one_domain)
{
    this->start(2);
    const std::string key = this->new_key(0);
    BOOST_TEST(outcome_of(this->post(0, "crew 1", key)) == "answered");
    this->mesh.daemons[0].child_process->signal(SIGKILL);
    BOOST_REQUIRE(rig::wait_until(start_limit_ms, [&]
                                  { return !this->mesh.daemons[0].child_process->is_running(); }));
    BOOST_TEST(outcome_of(this->post(1, "crew 1", key)) == "unknown");
    this->mesh.restart(this->mesh.daemons[0]);
    BOOST_REQUIRE(this->mesh.wait_ready(start_limit_ms));
    BOOST_TEST(outcome_of(this->post(0, "crew 1", key)) == "unknown");
    BOOST_TEST(outcome_of(this->post(1, "crew 1", key)) == "unknown");
}

// Guards against truncated responses that are passed on as complete, and against responses that are
// matched to the wrong request.
BOOST_FIXTURE_TEST_CASE(broken_responses_are_unknown_and_never_mixed_up, one_domain)
{
    this->mesh.add_daemon("vm-0", "tallinn-a");
    BOOST_REQUIRE(this->mesh.wait_ready(start_limit_ms));
    this->publish();
    rig::raw_server upstream(
        {"127.0.0.1", 0},
        [](int fd, const std::string& request, int)
        {
            const std::string body = rig::body_of(request);
            if (body == "short")
            {
                rig::write_text(fd, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf");
                ::shutdown(fd, SHUT_RDWR);
            }
            else if (body == "chunked")
            {
                rig::write_text(
                    fd, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n");
                ::shutdown(fd, SHUT_RDWR);
            }
            else if (body == "endless")
            {
                rig::write_text(fd, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf");
                ::shutdown(fd, SHUT_RDWR);
            }
            else if (body == "late")
            {
                std::thread(
                    [fd = ::dup(fd)]
                    {
                        rig::pause(300);
                        rig::write_text(fd, complete_response("late"));
                        ::close(fd);
                    })
                    .detach();
            }
            else if (body == "drop")
            {
                ::shutdown(fd, SHUT_RDWR);
            }
            else if (body == "twice")
            {
                rig::write_text(fd, complete_response("twice") + complete_response("extra"));
            }
            else if (body == "claims")
            {
                rig::write_text(fd, "HTTP/1.1 503 No\r\nSardinepoint-Outcome: not-run\r\n"
                                    "Sardinepoint-Crash: x\r\nContent-Length: 0\r\n\r\n");
            }
            else
            {
                rig::write_text(fd, complete_response(body));
            }
        });
    for (const char* broken : {"short", "chunked", "endless"})
    {
        BOOST_REQUIRE(rig::announce_upstream(this->mesh.daemons[0], upstream.where));
        BOOST_REQUIRE(this->mesh.wait_upstreams("duty-board", 1, start_limit_ms));
        const int before = upstream.requests;
        BOOST_TEST_CONTEXT(broken)
        {
            BOOST_TEST(outcome_of(this->post(0, broken)) == "unknown");
            BOOST_TEST(upstream.requests == before + 1);
        }
    }
    BOOST_REQUIRE(rig::announce_upstream(this->mesh.daemons[0], upstream.where));
    http_call late{.method = "POST",
                   .headers = {{"Sardinepoint-Deadline-Ms", "150"}},
                   .body = "late",
                   .retryable = false};
    BOOST_TEST(outcome_of(rig::call(this->mesh.daemons[0].data, late, "/duty/a")) == "unknown");
    for (int i = 0; i < 50; ++i)
    {
        BOOST_REQUIRE(rig::announce_upstream(this->mesh.daemons[0], upstream.where));
        const std::string body = i % 5 == 0 ? "twice" : "body " + std::to_string(i);
        const http_result result = this->post(0, body);
        BOOST_TEST(outcome_of(result) == "answered");
        BOOST_TEST(result.response.body == body);
    }
    // The upstream closes a keep-alive connection without a response; the HTTP library must not
    // send the request again.
    const int before_drop = upstream.requests;
    BOOST_TEST(outcome_of(this->post(0, "kept")) == "answered");
    BOOST_TEST(outcome_of(this->post(0, "drop")) == "unknown");
    BOOST_TEST(upstream.requests == before_drop + 2);
    const http_result claims = this->post(0, "claims");
    BOOST_TEST(outcome_of(claims) == "answered");
    BOOST_TEST(claims.response.status == 503);
}

// Guards against cancellation that doesn't reach the upstream, and against leaked connections.
BOOST_FIXTURE_TEST_CASE(abandoned_call_is_cancelled_without_key_and_kept_with_key, one_domain)
{
    this->start(2, {.processing_time = 400});
    constexpr time_ms caller_timeout_ms = 100;
    const std::string key = this->new_key(0);
    http_call call{.method = "POST", .body = "x", .timeout = caller_timeout_ms, .retryable = false};
    for (int i = 0; i < 4; ++i)
    {
        rig::call(this->mesh.daemons[0].data, call, "/duty/a");
    }
    const auto cancelled = [&]
    {
        return this->stats(0)["cancelled"].get<int>() + this->stats(1)["cancelled"].get<int>();
    };
    BOOST_TEST(rig::wait_until(start_limit_ms, [&] { return cancelled() == 4; }));
    call.headers = {{"Idempotency-Key", key}};
    rig::call(this->mesh.daemons[1].data, call, "/duty/a");
    call.timeout = start_limit_ms;
    BOOST_TEST(rig::wait_until(start_limit_ms,
                               [&] {
                                   return outcome_of(rig::call(this->mesh.daemons[1].data, call,
                                                               "/duty/a")) == "answered";
                               }));
    BOOST_TEST(cancelled() == 4);
    for (rig::daemon_node& daemon : this->mesh.daemons)
    {
        const time_ms asked = steady_now();
        daemon.child_process->signal(SIGTERM);
        BOOST_TEST(daemon.child_process->wait() == 0);
        constexpr time_ms idle_shutdown_ms = 2000;
        BOOST_TEST(steady_now() - asked < idle_shutdown_ms);
    }
}

// Guards against a shutdown that aborts calls in progress or leaves new ones without an outcome.
BOOST_FIXTURE_TEST_CASE(graceful_shutdown_aborts_no_call, one_domain)
{
    this->start(2, {.processing_time = 300});
    const std::string key = this->new_key(0);
    constexpr int load = 20;
    std::vector<std::future<http_result>> running;
    running.reserve(load);
    for (int i = 0; i < load; ++i)
    {
        running.push_back(
            std::async(std::launch::async, [this, i] { return this->post(0, std::to_string(i)); }));
    }
    const auto in_progress = [&]
    {
        return this->stats(0)["running"].get<int>() + this->stats(1)["running"].get<int>();
    };
    BOOST_REQUIRE(rig::wait_until(start_limit_ms, [&] { return in_progress() == load; }));
    this->mesh.daemons[0].child_process->signal(SIGTERM);
    const auto refused = [&]
    {
        return outcome_of(this->post(0, "late")) == "not-run";
    };
    BOOST_TEST(rig::wait_until(start_limit_ms, refused));
    BOOST_TEST(outcome_of(this->post(1, "elsewhere")) == "answered");
    for (std::future<http_result>& call : running)
    {
        BOOST_TEST(outcome_of(call.get()) == "answered");
    }
    BOOST_TEST(this->mesh.daemons[0].child_process->wait() == 0);
}

// Guards against a request that crashes one upstream after another, and against the quarantine of
// popular requests that were only in flight on a crashing upstream.
BOOST_FIXTURE_TEST_CASE(request_is_quarantined_after_two_crashes_while_popular_ones_keep_working,
                        one_domain)
{
    this->start(5);
    for (std::size_t i = 0; i < 5; ++i)
    {
        this->set_behaviour(i, {{"crash_body", "poison"}, {"work_ms", 20}});
    }
    constexpr time_ms refused_pause_ms = 10;
    std::atomic<bool> stopping{false};
    std::atomic<int> quarantined{0};
    std::atomic<int> answered{0};
    std::vector<std::jthread> popular;
    for (std::size_t i = 0; i < 5; ++i)
    {
        popular.emplace_back(
            [&, i]
            {
                while (!stopping)
                {
                    const http_result got = rig::call(this->mesh.daemons[i].data, {}, "/duty/all");
                    answered += outcome_of(got) == "answered" ? 1 : 0;
                    if (got.response.body.find("quarantined") != std::string::npos)
                    {
                        ++quarantined;
                        rig::pause(refused_pause_ms);
                    }
                }
            });
    }
    BOOST_REQUIRE(rig::wait_until(start_limit_ms, [&] { return answered > 50; }));
    for (std::size_t i = 0; i < 30; ++i)
    {
        this->post(i % 5, "poison");
    }
    const int before = answered;
    BOOST_TEST(rig::wait_until(start_limit_ms, [&] { return answered > before + 50; }));
    const int refused_before = quarantined;
    const int after = answered;
    BOOST_TEST(rig::wait_until(start_limit_ms, [&] { return answered > after + 100; }));
    BOOST_TEST(quarantined == refused_before);
    stopping = true;
    popular.clear();
    const auto lost = std::ranges::count_if(this->mesh.upstreams, [](rig::upstream_node& upstream)
                                            { return !upstream.child_process->is_running(); });
    BOOST_TEST_MESSAGE("popular calls answered " << answered << ", refused " << quarantined);
    BOOST_TEST(lost == 2);
    // Between the second crash and the next success of the request, each of five callers may be
    // refused for some tens of milliseconds.
    BOOST_TEST(quarantined < 40);
}

// Guards against retries that multiply the load when every upstream fails.
BOOST_FIXTURE_TEST_CASE(attempts_stay_bounded_when_everything_fails, one_domain)
{
    this->mesh.add_daemon("vm-0", "tallinn-a");
    BOOST_REQUIRE(this->mesh.wait_ready(start_limit_ms));
    this->publish();
    rig::raw_server upstream({"127.0.0.1", 0},
                             [](int fd, const std::string&, int) { ::shutdown(fd, SHUT_RDWR); });
    constexpr int calls = 400;
    const time_ms started = steady_now();
    for (int i = 0; i < calls; ++i)
    {
        if (i % 20 == 0)
        {
            BOOST_REQUIRE(rig::announce_upstream(this->mesh.daemons[0], upstream.where));
            BOOST_REQUIRE(this->mesh.wait_upstreams("duty-board", 1, start_limit_ms));
        }
        rig::call(this->mesh.daemons[0].data, {}, "/duty/" + std::to_string(i));
    }
    // The retry budget allows a fifth of the calls, a burst of 20 and one retry per second.
    const auto seconds = static_cast<int>((steady_now() - started) / 1000 + 1);
    BOOST_TEST_MESSAGE("attempts " << upstream.requests << " for " << calls << " calls");
    BOOST_TEST(upstream.requests <= calls + calls / 5 + 20 + seconds);
}

// Guards against a deadline or depth that is lost along a chain of calls.
BOOST_FIXTURE_TEST_CASE(deadline_and_depth_are_carried_through_a_chain_of_eight, one_domain)
{
    this->start(2);
    constexpr int deepest = 8;
    constexpr time_ms deadline_ms = 3000;
    const endpoint& via = this->mesh.daemons[0].data;
    const auto chain = [&](int calls_below)
    {
        return rig::call(via,
                         {.headers = {{"Chain-Left", std::to_string(calls_below)},
                                      {"Chain-Via", to_string(via)},
                                      {"Sardinepoint-Deadline-Ms", std::to_string(deadline_ms)}},
                          .timeout = deadline_ms},
                         "/duty/board");
    };
    const http_result result = chain(deepest - 1);
    BOOST_REQUIRE(result.response.status == 200);
    const json body = json::parse(result.response.body);
    BOOST_TEST(body["depth"] == std::to_string(deepest));
    const auto left = parse_integer(body["deadline_ms"].get<std::string>());
    BOOST_REQUIRE(left.has_value());
    // Each hop subtracts only the time that passed and a margin for its own response.
    BOOST_TEST(*left <= deadline_ms - deepest * hop_margin);
    BOOST_TEST(*left > deadline_ms / 2);
    // A loop of calls ends at the depth limit, and the refusal of the innermost call is returned.
    const http_result loop = chain(max_call_depth);
    BOOST_TEST(loop.response.status == 503);
    BOOST_TEST(loop.response.body.find("deeper") != std::string::npos);
}

// Guards against an upstream at the end of a chain that keeps working after the caller
// disconnected.
BOOST_FIXTURE_TEST_CASE(cancellation_reaches_the_end_of_a_chain, one_domain)
{
    this->start(1, {.processing_time = 500});
    const endpoint& via = this->mesh.daemons[0].data;
    const http_result result = rig::call(
        via, {.headers = {{"Chain-Left", "1"}, {"Chain-Via", to_string(via)}}, .timeout = 700},
        "/duty/board");
    BOOST_TEST(result.timed_out);
    BOOST_TEST(rig::wait_until(
        start_limit_ms,
        [&]
        {
            const json stats = rig::get_json(this->mesh.upstreams[0].address, "/standin/stats");
            return stats.is_object() && stats["running"] == 0 && stats["cancelled"].get<int>() >= 1;
        }));
}
