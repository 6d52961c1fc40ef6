#define BOOST_TEST_MODULE move_process
#include <boost/test/unit_test.hpp>

#include "rig/mesh.hpp"

#include "sardinepoint/membership.hpp"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <map>
#include <mutex>
#include <string>
#include <thread>

using namespace sardinepoint;
using nlohmann::json;

namespace
{

constexpr time_ms start_limit_ms = 10000;
constexpr time_ms move_time_ms = 14000;
constexpr time_ms watch_ms = 4000;
// Time for the log to accept the outcome and for the daemons to apply it.
constexpr time_ms outcome_limit_ms = 3000;

/** Sends idempotent calls to all daemons from several threads until it is stopped. */
class load_generator
{
public:
    explicit load_generator(const rig::mesh& mesh)
    {
        constexpr int thread_count = 3;
        for (int i = 0; i < thread_count; ++i)
        {
            this->threads.emplace_back([this, &mesh, i] { this->run(mesh, i); });
        }
    }

    ~load_generator()
    {
        this->finish();
    }
    load_generator(const load_generator&) = delete;
    load_generator& operator=(const load_generator&) = delete;

    void finish()
    {
        this->stopping = true;
        for (std::thread& thread : this->threads)
        {
            if (thread.joinable())
            {
                thread.join();
            }
        }
    }

    /** Time of the last response from the version; 0 if there was none. */
    time_ms last_call(const std::string& version)
    {
        const std::lock_guard lock(this->guard);
        return this->last_call_times[version];
    }

    int calls = 0;
    int failed = 0;

private:
    void run(const rig::mesh& mesh, int offset)
    {
        for (int i = offset; !this->stopping; ++i)
        {
            const rig::daemon_node& daemon =
                mesh.daemons[static_cast<std::size_t>(i) % mesh.daemons.size()];
            const http_result answer = rig::call(daemon.data, {.timeout = 2000}, "/duty/board");
            const std::lock_guard lock(this->guard);
            ++this->calls;
            this->failed += answer.response.status == 200 ? 0 : 1;
            if (const auto version = find_header(answer.response.headers, "Sardinepoint-Version"))
            {
                this->last_call_times[std::string(*version)] = wall_now();
            }
        }
    }

    std::atomic<bool> stopping = false;
    std::mutex guard;
    std::map<std::string, time_ms> last_call_times;
    std::vector<std::thread> threads;
};

/** Ids of a failure domain's daemons that aggregate the move's evidence, the deciding one first. */
std::vector<std::string> aggregators(const rig::mesh& mesh, const std::string& domain)
{
    std::vector<std::string_view> ids;
    for (const rig::daemon_node& daemon : mesh.daemons)
    {
        if (daemon.domain == domain)
        {
            ids.push_back(daemon.id);
        }
    }
    std::vector<std::string> picked;
    for (const std::string_view id : rendezvous_pick(ids, "move/m1", 2))
    {
        picked.emplace_back(id);
    }
    return picked;
}

/** Two failure domains, each with two upstreams of v1 and one of v2 on separate VMs. */
struct two_versions
{
    rig::mesh mesh{{.build_dir = SARDINEPOINT_BIN_DIR, .relayed = true, .name = "moves"}};

    two_versions()
    {
        for (const std::string domain : {"callao", "miraflores"})
        {
            for (const std::string version : {"v1", "v1", "v2"})
            {
                const std::string id =
                    "vm-" + domain + "-" + std::to_string(this->mesh.daemons.size());
                rig::daemon_node& daemon = this->mesh.add_daemon(id, domain);
                this->mesh.add_upstream(daemon, {.version = version, .processing_time = 2});
            }
        }
        BOOST_REQUIRE(this->mesh.wait_ready(start_limit_ms));
        BOOST_REQUIRE(this->mesh.wait_upstreams("duty-board", 3, start_limit_ms));
        const json accepted = this->mesh.submit(
            this->mesh.daemons[0], 0, rig::service_operations("duty-board", "v1", "/duty"));
        BOOST_REQUIRE(accepted["status"] == 200);
        BOOST_REQUIRE(this->mesh.wait_version(1, start_limit_ms));
    }

    /** Submits the move and returns its deadline. */
    time_ms start_move()
    {
        const time_ms deadline = wall_now() + move_time_ms;
        const json accepted = this->mesh.submit(this->mesh.daemons[0], 1,
                                                {{{"op", "start_move"},
                                                  {"id", "m1"},
                                                  {"service", "duty-board"},
                                                  {"from", "v1"},
                                                  {"to", "v2"},
                                                  {"deadline_ms", deadline},
                                                  {"policy", {{"watch_ms", watch_ms}}}}});
        BOOST_REQUIRE_MESSAGE(accepted["status"] == 200, accepted.dump());
        return deadline;
    }

    /** Whether every daemon reports the state for the move. */
    bool all_daemons_report(const std::string& state)
    {
        for (const rig::daemon_node& daemon : this->mesh.daemons)
        {
            const json view = rig::get_json(daemon.control, "/v1/watch?move=m1");
            if (!view.is_object() || view.value("state", "") != state)
            {
                return false;
            }
        }
        return true;
    }

    void set_behaviour(const std::string& version, const json& behaviour)
    {
        for (const rig::upstream_node& upstream : this->mesh.upstreams)
        {
            if (upstream.arguments[1] == "--version=" + version)
            {
                rig::post_json(upstream.address, "/standin/behaviour", behaviour);
            }
        }
    }
};

time_ms time_until(time_ms wall)
{
    return std::max<time_ms>(0, wall - wall_now());
}

} // namespace

// Guards against good versions that miss their deadline, and outcomes that daemons do not report.
BOOST_FIXTURE_TEST_CASE(good_move_is_done_by_its_deadline, two_versions)
{
    load_generator load(this->mesh);
    const time_ms deadline = this->start_move();
    BOOST_TEST(rig::wait_until(time_until(deadline) + outcome_limit_ms,
                               [&] { return this->all_daemons_report("done"); }));
    const json view = rig::get_json(this->mesh.daemons[0].control, "/v1/watch?move=m1");
    BOOST_TEST_MESSAGE("done " << deadline - wall_now() << " ms before the deadline: " << view);
    load.finish();
    BOOST_TEST(load.failed == 0);
    BOOST_TEST(load.calls > 1000);
    for (const rig::daemon_node& daemon : this->mesh.daemons)
    {
        const json config = rig::get_json(daemon.control, "/v1/config");
        BOOST_TEST(config["services"][0]["versions"] == json({{"v2", 100}}));
    }
}

// Guards against a bad version that stays in service, or still receives calls after its withdrawal
// is reported.
BOOST_FIXTURE_TEST_CASE(bad_version_is_withdrawn_and_reported, two_versions)
{
    load_generator load(this->mesh);
    const time_ms deadline = this->start_move();
    this->set_behaviour("v2", {{"failure_rate", 0.5}});
    BOOST_TEST(rig::wait_until(time_until(deadline),
                               [&] { return this->all_daemons_report("withdrawn"); }));
    const time_ms withdrawn = wall_now();
    const json view = rig::get_json(this->mesh.daemons[0].control, "/v1/watch?move=m1");
    BOOST_TEST_MESSAGE("withdrawn " << deadline - withdrawn << " ms before the deadline: " << view);
    BOOST_TEST(!view["reason"].get<std::string>().empty());
    constexpr time_ms max_tail_ms = 2000;
    rig::pause(max_tail_ms + 1000);
    BOOST_TEST(load.last_call("v2") < withdrawn + max_tail_ms);
    load.finish();
    BOOST_TEST_MESSAGE(load.failed << " of " << load.calls << " calls failed");
}

// Guards against outcomes that depend on the log during its outage.
BOOST_FIXTURE_TEST_CASE(good_move_is_done_during_a_log_outage_and_reported_afterwards, two_versions)
{
    load_generator load(this->mesh);
    const time_ms deadline = this->start_move();
    BOOST_REQUIRE(this->mesh.wait_version(2, start_limit_ms));
    this->mesh.set_log_faults({{"mode", "refuse"}});
    // The outage lasts beyond the deadline, so the end of the move can't come from the log.
    constexpr time_ms outage_after_deadline_ms = 1500;
    rig::pause(time_until(deadline + outage_after_deadline_ms));
    BOOST_TEST_MESSAGE("last response of v1 " << deadline - load.last_call("v1")
                                              << " ms before the deadline");
    BOOST_TEST(load.last_call("v1") < deadline);
    BOOST_TEST(load.last_call("v2") > deadline);
    this->mesh.set_log_faults({{"mode", "up"}});
    BOOST_TEST(
        rig::wait_until(2 * outcome_limit_ms, [&] { return this->all_daemons_report("done"); }));
    load.finish();
    BOOST_TEST(load.failed == 0);
}

// Guards against a stalled log that delays the withdrawal of a bad version, and against a
// withdrawal that is not recorded after the outage.
BOOST_FIXTURE_TEST_CASE(bad_version_is_withdrawn_during_a_log_outage, two_versions)
{
    load_generator load(this->mesh);
    const time_ms deadline = this->start_move();
    BOOST_REQUIRE(this->mesh.wait_version(2, start_limit_ms));
    this->mesh.set_log_faults({{"mode", "stall"}});
    this->set_behaviour("v2", {{"slow_factor", 40}});
    BOOST_TEST(rig::wait_until(time_until(deadline),
                               [&] { return this->all_daemons_report("withdrawn"); }));
    const time_ms withdrawn = wall_now();
    this->mesh.set_log_faults({{"mode", "up"}});
    BOOST_TEST(rig::wait_until(4 * outcome_limit_ms,
                               [&]
                               {
                                   const json config =
                                       rig::get_json(this->mesh.daemons[0].control, "/v1/config");
                                   return config.is_object() &&
                                          config["moves"][0]["state"] == "withdrawn";
                               }));
    constexpr time_ms max_tail_ms = 2000;
    BOOST_TEST(load.last_call("v2") < withdrawn + max_tail_ms);
    load.finish();
}

// Guards against decisions that stop when the deciding aggregators crash and restart.
BOOST_FIXTURE_TEST_CASE(move_goes_on_when_the_aggregators_die, two_versions)
{
    load_generator load(this->mesh);
    const time_ms deadline = this->start_move();
    BOOST_REQUIRE(this->mesh.wait_version(2, start_limit_ms));
    for (rig::daemon_node& daemon : this->mesh.daemons)
    {
        if (daemon.id == aggregators(this->mesh, daemon.domain).front())
        {
            daemon.child_process->signal(SIGKILL);
            daemon.child_process->wait();
            this->mesh.restart(daemon);
        }
    }
    BOOST_TEST(rig::wait_until(time_until(deadline) + outcome_limit_ms,
                               [&] { return this->all_daemons_report("done"); }));
    load.finish();
}

// Guards against a failure domain that keeps a bad version while it is partitioned from the others,
// and against a withdrawal that is lost when the partition heals.
BOOST_FIXTURE_TEST_CASE(cut_off_domain_withdraws_on_its_own_evidence, two_versions)
{
    load_generator load(this->mesh);
    const time_ms deadline = this->start_move();
    BOOST_REQUIRE(this->mesh.wait_version(2, start_limit_ms));
    this->mesh.isolate("miraflores", true);
    this->set_behaviour("v2", {{"failure_rate", 0.5}});
    BOOST_TEST(rig::wait_until(time_until(deadline),
                               [&] { return this->all_daemons_report("withdrawn"); }));
    this->mesh.set_link_faults({});
    const auto withdrawal_applied = [](const rig::daemon_node& daemon)
    {
        const json config = rig::get_json(daemon.control, "/v1/config");
        return config.is_object() && config["moves"][0]["state"] == "withdrawn";
    };
    BOOST_TEST(rig::wait_until(2 * outcome_limit_ms,
                               [&] {
                                   return std::all_of(this->mesh.daemons.begin(),
                                                      this->mesh.daemons.end(), withdrawal_applied);
                               }));
    load.finish();
}
