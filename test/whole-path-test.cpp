#define BOOST_TEST_MODULE whole_path
#include <boost/test/unit_test.hpp>

#include "rig/mesh.hpp"

#include <csignal>
#include <fstream>

using namespace sardinepoint;
using nlohmann::json;

namespace
{

constexpr time_ms start_limit_ms = 10000;

/** Two failure domains with one daemon and one upstream each. */
struct two_domains
{
    rig::mesh mesh{{.build_dir = SARDINEPOINT_BIN_DIR, .name = "whole-path"}};

    two_domains()
    {
        for (const char* domain : {"tallinn-a", "tallinn-b"})
        {
            rig::daemon_node& daemon = this->mesh.add_daemon(std::string("vm-") + domain, domain);
            this->mesh.add_upstream(daemon, {});
        }
        BOOST_REQUIRE(this->mesh.wait_ready(start_limit_ms));
        BOOST_REQUIRE(this->mesh.wait_upstreams("duty-board", 1, start_limit_ms));
    }
};

} // namespace

// Guards against an accepted patch that some daemon doesn't serve.
BOOST_FIXTURE_TEST_CASE(patch_is_served_by_every_daemon, two_domains)
{
    const json accepted = this->mesh.submit(this->mesh.daemons[0], 0,
                                            rig::service_operations("duty-board", "v1", "/duty"));
    BOOST_TEST(accepted["status"] == 200);
    BOOST_TEST(accepted["version"] == 1);
    BOOST_REQUIRE(this->mesh.wait_version(1, start_limit_ms));
    for (const rig::daemon_node& daemon : this->mesh.daemons)
    {
        const json response = rig::get_json(daemon.data, "/duty/today?crew=7");
        BOOST_TEST(response["status"] == 200);
        BOOST_TEST(response["target"] == "/duty/today?crew=7");
    }
}

// Guards against a second operator overwriting what the first one published.
BOOST_FIXTURE_TEST_CASE(stale_patch_is_refused_with_the_remedy, two_domains)
{
    const json operations = rig::service_operations("duty-board", "v1", "/duty");
    BOOST_TEST(this->mesh.submit(this->mesh.daemons[0], 0, operations)["status"] == 200);
    BOOST_REQUIRE(this->mesh.wait_version(1, start_limit_ms));
    const json refused = this->mesh.submit(this->mesh.daemons[1], 0, operations);
    BOOST_TEST(refused["status"] == 409);
    BOOST_TEST(refused["error"]["kind"] == "stale_version");
    BOOST_TEST(!refused["error"]["remedy"].get<std::string>().empty());
}

// Guards against a daemon that exits on SIGHUP, and against one that applies a settings file with
// errors.
BOOST_FIXTURE_TEST_CASE(reload_keeps_the_daemon_serving, two_domains)
{
    BOOST_TEST(this->mesh.submit(this->mesh.daemons[0], 0,
                                 rig::service_operations("duty-board", "v1", "/duty"))["status"] ==
               200);
    BOOST_REQUIRE(this->mesh.wait_version(1, start_limit_ms));
    rig::daemon_node& daemon = this->mesh.daemons[0];
    for (const char* line : {"", "[daemon]\nlog_level = loud\n", "\x01"})
    {
        std::ofstream(daemon.settings_file, std::ios::app) << line;
        daemon.child_process->signal(SIGHUP);
        BOOST_TEST(rig::get_json(daemon.data, "/duty/today")["status"] == 200);
    }
    rig::pause(200);
    BOOST_TEST(daemon.child_process->is_running());
    BOOST_TEST(rig::get_json(daemon.data, "/duty/today")["status"] == 200);
}

// Guards against a call being sent to another service when its own has no upstream.
BOOST_FIXTURE_TEST_CASE(route_without_upstream_is_not_run, two_domains)
{
    BOOST_TEST(this->mesh.submit(this->mesh.daemons[0], 0,
                                 rig::service_operations("dispatch", "v1", "/"))["status"] == 200);
    BOOST_REQUIRE(this->mesh.wait_version(1, start_limit_ms));
    const http_result result = rig::call(this->mesh.daemons[0].data, {}, "/crew");
    BOOST_TEST(result.response.status == 503);
    BOOST_TEST(find_header(result.response.headers, "Sardinepoint-Outcome").value_or("") ==
               "not-run");
}

// Guards against a test mesh whose simulated partitions don't block traffic: the partition tests
// rely on them.
BOOST_AUTO_TEST_CASE(isolated_domain_gets_the_patch_only_after_the_cut_heals)
{
    rig::mesh mesh{{.build_dir = SARDINEPOINT_BIN_DIR, .relayed = true, .name = "whole-path-cut"}};
    rig::daemon_node& first = mesh.add_daemon("vm-a", "tallinn-a");
    rig::daemon_node& second = mesh.add_daemon("vm-b", "tallinn-b");
    BOOST_REQUIRE(mesh.wait_ready(start_limit_ms));
    mesh.isolate("tallinn-b", true);
    BOOST_TEST(mesh.submit(first, 0,
                           rig::service_operations("duty-board", "v1", "/duty"))["status"] == 200);
    constexpr time_ms cut_time_ms = 1000;
    BOOST_TEST(!rig::wait_until(cut_time_ms,
                                [&] { return rig::status_of(second).value("version", 0) != 0; }));
    mesh.set_link_faults({});
    BOOST_TEST(mesh.wait_version(1, start_limit_ms));
}
