#define BOOST_TEST_MODULE replica
#include <boost/test/unit_test.hpp>

#include "rig/mesh.hpp"
#include "rig/status_sampler.hpp"

#include "sardinepoint/http_client.hpp"
#include "sardinepoint/membership.hpp"

#include <csignal>
#include <future>
#include <random>

using namespace sardinepoint;
using nlohmann::json;

namespace
{

constexpr time_ms start_limit_ms = 10000;
constexpr time_ms recovery_limit_ms = 3000;
constexpr time_ms catch_up_limit_ms = 8000;
const std::vector<std::string> domain_names{"tallinn-a", "tallinn-b", "rakvere"};

std::uint64_t make_seed()
{
    const char* given = std::getenv("SEED");
    const std::uint64_t seed = given != nullptr ? std::stoull(given) : std::random_device{}();
    BOOST_TEST_MESSAGE("seed " << seed);
    return seed;
}

json service_patch(const std::string& name)
{
    return rig::service_operations(name, "v1", "/" + name);
}

/**
 * A mesh of three failure domains whose status is sampled continuously. Fails the test if the
 * version or offset of a daemon ever decreases.
 */
struct observed_mesh
{
    rig::mesh mesh;
    rig::status_sampler sampler;
    std::mt19937_64 random{make_seed()};
    std::uint64_t version = 0;

    explicit observed_mesh(rig::mesh_options options, std::size_t daemons_per_domain = 2)
        : mesh(with_defaults(std::move(options)))
    {
        for (const std::string& domain : domain_names)
        {
            for (std::size_t i = 0; i < daemons_per_domain; ++i)
            {
                this->mesh.add_daemon(domain + "-" + std::to_string(i), domain);
            }
        }
        this->sampler.watch(this->mesh.daemons);
        BOOST_REQUIRE(this->mesh.wait_ready(start_limit_ms));
        // During a log outage domains can only get records from domains that they already know.
        BOOST_REQUIRE(
            rig::wait_until(start_limit_ms, [this] { return this->all_domains_known(); }));
    }

    bool all_domains_known() const
    {
        return std::all_of(this->mesh.daemons.begin(), this->mesh.daemons.end(),
                           [](const rig::daemon_node& daemon)
                           {
                               const json status = rig::status_of(daemon);
                               return status.is_object() &&
                                      status["domains"].size() + 1 == domain_names.size();
                           });
    }

    ~observed_mesh()
    {
        const auto report = this->sampler.finish();
        BOOST_TEST_MESSAGE("status samples: " << report.samples);
        BOOST_TEST(report.samples > 0U);
        for (const std::string& regression : report.regressions)
        {
            BOOST_ERROR("the version or offset of a daemon decreased: " + regression);
        }
    }

    static rig::mesh_options with_defaults(rig::mesh_options options)
    {
        // Lets these tests run against another build, to check that they fail on a faulty one.
        const char* given = std::getenv("SARDINEPOINT_PROGRAMS");
        options.build_dir = given != nullptr ? given : SARDINEPOINT_BIN_DIR;
        options.name = "replica";
        return options;
    }

    rig::daemon_node& first_of(const std::string& domain)
    {
        return *std::find_if(this->mesh.daemons.begin(), this->mesh.daemons.end(),
                             [&](const rig::daemon_node& item) { return item.domain == domain; });
    }

    std::vector<rig::daemon_node*> daemons_of(const std::string& domain)
    {
        std::vector<rig::daemon_node*> found;
        for (rig::daemon_node& daemon : this->mesh.daemons)
        {
            if (daemon.domain == domain)
            {
                found.push_back(&daemon);
            }
        }
        return found;
    }

    /** Submits a patch that adds a service and requires that it is accepted. */
    void submit_accepted_patch(const rig::daemon_node& daemon)
    {
        const std::string name = "service-" + std::to_string(this->version + 1);
        const json result = this->mesh.submit(daemon, this->version, service_patch(name));
        BOOST_REQUIRE_MESSAGE(result.value("status", 0) == 200, result.dump());
        ++this->version;
        BOOST_TEST(result["version"] == this->version);
    }

    void kill(rig::daemon_node& daemon)
    {
        this->sampler.record_stop(daemon.id);
        daemon.child_process.reset();
    }

    void restart(rig::daemon_node& daemon)
    {
        this->mesh.restart(daemon);
        this->sampler.record_start(daemon.id);
    }

    void restart_domain(const std::string& domain)
    {
        for (rig::daemon_node* daemon : this->daemons_of(domain))
        {
            this->kill(*daemon);
        }
        for (rig::daemon_node* daemon : this->daemons_of(domain))
        {
            this->restart(*daemon);
        }
    }

    bool wait_for_version(const std::vector<rig::daemon_node*>& daemons, time_ms limit)
    {
        return rig::wait_until(
            limit,
            [&]
            {
                return std::all_of(daemons.begin(), daemons.end(),
                                   [&](const rig::daemon_node* daemon)
                                   {
                                       const json status = rig::status_of(*daemon);
                                       return status.is_object() && status.value("ready", false) &&
                                              status.value("version", 0ULL) >= this->version;
                                   });
            });
    }

    /** Waits until all daemons have applied the whole log, then compares their configurations. */
    void expect_identical_configurations()
    {
        const std::uint64_t next = this->mesh.log_stats()["next"].value("config", 0ULL);
        const bool reached = rig::wait_until(
            catch_up_limit_ms,
            [&]
            {
                return std::all_of(this->mesh.daemons.begin(), this->mesh.daemons.end(),
                                   [&](const rig::daemon_node& daemon)
                                   {
                                       const json status = rig::status_of(daemon);
                                       return status.is_object() && status.value("ready", false) &&
                                              status.value("next_offset", 0ULL) == next;
                                   });
            });
        BOOST_TEST(reached);
        const json expected = rig::get_json(this->mesh.daemons[0].control, "/v1/config");
        BOOST_TEST(expected["version"] == this->version);
        for (const rig::daemon_node& daemon : this->mesh.daemons)
        {
            BOOST_TEST(rig::get_json(daemon.control, "/v1/config") == expected);
        }
    }
};

bool refuses_calls(const rig::daemon_node& daemon)
{
    const http_result result = rig::call(daemon.data, {}, "/service-1/x");
    return result.response.status == 503 &&
           find_header(result.response.headers, "Sardinepoint-Outcome").value_or("") == "not-run";
}

void append_to_log(rig::mesh& mesh, const std::string& body)
{
    const http_result result =
        rig::call(mesh.log_endpoint(), {.method = "POST", .body = body}, "/streams/config/records");
    BOOST_TEST(result.response.status == 200);
}

std::uint64_t newest_snapshot_offset(rig::mesh& mesh)
{
    const json page = rig::get_json(mesh.log_endpoint(), "/streams/snapshots/records?newest=1");
    if (!page.is_object() || page["records"].empty())
    {
        return 0;
    }
    const json snapshot = json::parse(page["records"][0]["body"].get<std::string>());
    return json::parse(snapshot["state"].get<std::string>())["next_offset"].get<std::uint64_t>();
}

} // namespace

// Guards against two patches accepted for one version, and against operators who get a wrong result
// when several submit at once.
BOOST_AUTO_TEST_CASE(racing_operators_get_one_acceptance_per_version)
{
    observed_mesh system{{}};
    constexpr int rounds = 8;
    for (int round = 0; round < rounds; ++round)
    {
        std::vector<std::future<json>> results;
        for (const rig::daemon_node& daemon : system.mesh.daemons)
        {
            const std::string name = "r" + std::to_string(round) + "-" + daemon.id;
            results.push_back(std::async(std::launch::async,
                                         [&daemon, name, base = system.version]
                                         {
                                             return rig::post_json(daemon.control, "/v1/patches",
                                                                   {{"id", name},
                                                                    {"base", base},
                                                                    {"ops", service_patch(name)}});
                                         }));
        }
        std::vector<std::string> accepted_ids;
        for (std::size_t i = 0; i < results.size(); ++i)
        {
            const json result = results[i].get();
            if (result.value("status", 0) == 200)
            {
                accepted_ids.push_back("r" + std::to_string(round) + "-" +
                                       system.mesh.daemons[i].id);
                BOOST_TEST(result["version"] == system.version + 1);
                continue;
            }
            BOOST_TEST_MESSAGE(result.dump());
            BOOST_TEST(result.value("status", 0) == 409);
            BOOST_TEST(result["error"]["kind"] == "stale_version");
        }
        BOOST_REQUIRE(accepted_ids.size() == 1U);
        ++system.version;
        BOOST_REQUIRE(system.wait_for_version(system.daemons_of("rakvere"), catch_up_limit_ms));
        const json services =
            rig::get_json(system.first_of("rakvere").control, "/v1/config")["services"];
        BOOST_TEST(services.size() == system.version);
        BOOST_TEST(services.dump().find(accepted_ids[0]) != std::string::npos);
    }
    system.expect_identical_configurations();
}

// Guards against a patch that is lost or applied twice after the log's response to its append was
// lost.
BOOST_AUTO_TEST_CASE(lost_append_response_neither_loses_nor_duplicates_a_patch)
{
    observed_mesh system{{.extra_settings = "timeout_ms = 500\n"}};
    system.mesh.set_log_faults({{"lost_answers", 1}});
    const json first =
        system.mesh.submit(system.mesh.daemons[0], 0, service_patch("service-1"), "lost");
    BOOST_TEST(first["status"] == 200);
    BOOST_TEST(first["version"] == 1);
    system.version = 1;
    const json retried =
        system.mesh.submit(system.mesh.daemons[3], 0, service_patch("service-1"), "lost");
    BOOST_TEST(retried["status"] == 200);
    BOOST_TEST(retried["version"] == 1);
    BOOST_TEST(retried["offset"] == first["offset"]);
    system.submit_accepted_patch(system.mesh.daemons[5]);
    system.expect_identical_configurations();
}

// Guards against invalid records that crash a daemon, block later records or are partly applied.
BOOST_AUTO_TEST_CASE(bad_records_are_rejected_whole_and_the_offset_advances)
{
    observed_mesh system{{}};
    system.submit_accepted_patch(system.mesh.daemons[0]);
    json partial = {{"kind", "patch"}, {"id", "half"}, {"base", 1}, {"created_ms", 1}};
    partial["ops"] = service_patch("half");
    partial["ops"].push_back({{"op", "put_route"},
                              {"name", "broken"},
                              {"prefix", "/b"},
                              {"service", "unknown"},
                              {"timeout_ms", 1000}});
    const std::vector<std::string> invalid_records{
        "",
        "not json",
        "{}",
        "[1,2]",
        "\xff\xfe{\"kind\":\"patch\"}",
        std::string("nul\0byte", 8),
        std::string(50000, '['),
        R"({"kind":"patch"})",
        R"({"kind":"patch","id":"x","base":-1,"ops":[]})",
        R"({"kind":"patch","id":"x","base":1e400,"ops":[{"op":"remove_route","name":"r"}]})",
        R"({"kind":"unknown"})",
        R"({"kind":"outcome","move":"none","state":"done"})",
        R"({"kind":"outcome","move":7})",
        partial.dump()};
    for (const std::string& body : invalid_records)
    {
        append_to_log(system.mesh, body);
    }
    BOOST_TEST(system.mesh.log_stats()["next"]["config"] == invalid_records.size() + 1);
    system.expect_identical_configurations();
    system.submit_accepted_patch(system.mesh.daemons[4]);
    system.expect_identical_configurations();
    const json config = rig::get_json(system.mesh.daemons[1].control, "/v1/config");
    BOOST_TEST(config.dump().find("half") == std::string::npos);
}

// Guards against a daemon that can't start or catch up after the log has dropped its first records.
BOOST_AUTO_TEST_CASE(snapshots_replace_expired_records)
{
    observed_mesh system{{.snapshot_interval = 300}};
    rig::daemon_node& paused = system.first_of("tallinn-b");
    paused.child_process->signal(SIGSTOP);
    constexpr int patches = 20;
    for (int i = 0; i < patches; ++i)
    {
        system.submit_accepted_patch(system.mesh.daemons[0]);
    }
    BOOST_REQUIRE(rig::wait_until(start_limit_ms,
                                  [&] { return newest_snapshot_offset(system.mesh) >= patches; }));
    system.mesh.set_log_faults({{"retention", 1}});
    paused.child_process->signal(SIGCONT);
    system.kill(system.first_of("rakvere"));
    system.restart(system.first_of("rakvere"));
    system.restart_domain("tallinn-a");
    system.expect_identical_configurations();
    system.submit_accepted_patch(system.first_of("rakvere"));
    system.expect_identical_configurations();
}

// Guards against a daemon that serves an older version after a restart than before it.
BOOST_AUTO_TEST_CASE(killed_daemon_and_killed_domain_restart_at_the_newest_version)
{
    observed_mesh system{{}};
    for (int i = 0; i < 3; ++i)
    {
        system.submit_accepted_patch(system.mesh.daemons[0]);
        const std::size_t restarted =
            std::uniform_int_distribution<std::size_t>(1, 5)(system.random);
        system.kill(system.mesh.daemons[restarted]);
        system.submit_accepted_patch(system.mesh.daemons[0]);
        system.restart(system.mesh.daemons[restarted]);
        BOOST_TEST(system.wait_for_version({&system.mesh.daemons[restarted]}, recovery_limit_ms));
    }
    system.restart_domain("rakvere");
    BOOST_TEST(system.wait_for_version(system.daemons_of("rakvere"), recovery_limit_ms));
    system.expect_identical_configurations();
}

// Guards against a daemon that becomes ready after the first of the several log reads that it needs
// to reach the end of the log.
BOOST_AUTO_TEST_CASE(restart_behind_many_records_is_ready_only_at_the_end_of_the_log)
{
    observed_mesh system{{.appends_per_second = 100000}};
    constexpr int records = 1500;
    for (int i = 0; i < records; ++i)
    {
        append_to_log(system.mesh, "{}");
    }
    system.submit_accepted_patch(system.mesh.daemons[0]);
    system.expect_identical_configurations();
    system.restart_domain("rakvere");
    BOOST_TEST(system.wait_for_version(system.daemons_of("rakvere"), catch_up_limit_ms));
    system.expect_identical_configurations();
}

// Guards against a failure domain that serves an older version, or never becomes ready again, after
// a restart during a log outage.
BOOST_AUTO_TEST_CASE(domain_restarted_during_an_outage_of_the_log_catches_up_from_peers)
{
    for (const char* mode : {"refuse", "stall"})
    {
        BOOST_TEST_MESSAGE("log mode " << mode);
        observed_mesh system{{}};
        system.submit_accepted_patch(system.mesh.daemons[0]);
        system.submit_accepted_patch(system.mesh.daemons[0]);
        system.expect_identical_configurations();
        system.mesh.set_log_faults({{"mode", mode}});
        system.restart_domain("rakvere");
        for (rig::daemon_node* daemon : system.daemons_of("rakvere"))
        {
            const json status = rig::status_of(*daemon);
            BOOST_TEST((status.value("ready", true) || refuses_calls(*daemon)));
        }
        BOOST_TEST(system.wait_for_version(system.daemons_of("rakvere"), catch_up_limit_ms));
        system.mesh.set_log_faults({{"mode", "up"}});
        BOOST_TEST(rig::wait_until(
            catch_up_limit_ms,
            [&] { return rig::status_of(system.mesh.daemons[0])["log"] == "reachable"; }));
        system.submit_accepted_patch(system.mesh.daemons[0]);
        system.expect_identical_configurations();
    }
}

// Guards against daemons that become ready because their only peers report an empty state: they
// would serve an older version than before the restart.
BOOST_AUTO_TEST_CASE(without_log_and_ready_peers_a_restarted_domain_is_never_ready)
{
    observed_mesh system{{.relayed = true}};
    system.submit_accepted_patch(system.mesh.daemons[0]);
    system.expect_identical_configurations();
    const auto members = system.daemons_of("rakvere");
    for (rig::daemon_node* daemon : members)
    {
        const rig::daemon_node* other = daemon == members[0] ? members[1] : members[0];
        daemon->extra_settings = "[peers]\nseeds = " + other->control.address + ":" +
                                 std::to_string(other->relayed_control_port) + "\n";
        system.kill(*daemon);
    }
    system.mesh.isolate("rakvere", true);
    for (rig::daemon_node* daemon : members)
    {
        system.restart(*daemon);
    }
    constexpr time_ms observed_ms = 4000;
    BOOST_TEST(!rig::wait_until(observed_ms,
                                [&]
                                {
                                    return rig::status_of(*members[0]).value("ready", true) ||
                                           rig::status_of(*members[1]).value("ready", true);
                                }));
    for (rig::daemon_node* daemon : members)
    {
        BOOST_TEST(refuses_calls(*daemon));
        BOOST_TEST(!rig::status_of(*daemon)["not_ready"].get<std::string>().empty());
        BOOST_TEST(system.mesh.submit(*daemon, 0, service_patch("lost"))["status"] == 503);
    }
    system.mesh.set_link_faults({});
    BOOST_TEST(system.wait_for_version(members, catch_up_limit_ms));
    system.expect_identical_configurations();
}

// Guards against a failure domain that can't reach the log and keeps an old version although other
// domains have a newer one.
BOOST_AUTO_TEST_CASE(domain_cut_off_from_the_log_only_gets_new_versions_from_other_domains)
{
    observed_mesh system{{.relayed = true}};
    system.submit_accepted_patch(system.mesh.daemons[0]);
    system.expect_identical_configurations();
    system.mesh.set_link_faults(
        {{.source = system.mesh.address_of("rakvere"), .target = system.mesh.log_address()}});
    for (int i = 0; i < 3; ++i)
    {
        system.submit_accepted_patch(system.first_of("tallinn-a"));
        BOOST_TEST(system.wait_for_version(system.daemons_of("rakvere"), recovery_limit_ms));
    }
    system.mesh.set_link_faults({});
    system.expect_identical_configurations();
}

// Guards against a failure domain that needs long to reach the newest version after a partition.
BOOST_AUTO_TEST_CASE(isolated_domain_is_up_to_date_soon_after_the_partition_heals)
{
    observed_mesh system{{.relayed = true}};
    system.submit_accepted_patch(system.mesh.daemons[0]);
    system.expect_identical_configurations();
    for (const char* action : {"hold", "close"})
    {
        BOOST_TEST_MESSAGE("cut by " << action);
        system.mesh.isolate("rakvere", true, action);
        const std::uint64_t before = system.version;
        system.submit_accepted_patch(system.first_of("tallinn-a"));
        system.submit_accepted_patch(system.first_of("tallinn-b"));
        constexpr time_ms cut_ms = 2000;
        BOOST_TEST(!rig::wait_until(
            cut_ms,
            [&] { return rig::status_of(system.first_of("rakvere"))["version"] != before; }));
        system.mesh.set_link_faults({});
        BOOST_TEST(system.wait_for_version(system.daemons_of("rakvere"), recovery_limit_ms));
    }
    system.expect_identical_configurations();
}

// Guards against paused daemons that stay log readers, and against a resumed daemon that broadcasts
// its outdated state.
BOOST_AUTO_TEST_CASE(paused_log_readers_are_replaced_and_catch_up)
{
    observed_mesh system{{}, 4};
    system.submit_accepted_patch(system.mesh.daemons[0]);
    system.expect_identical_configurations();
    const auto members = system.daemons_of("tallinn-a");
    std::vector<std::string_view> ids;
    ids.reserve(members.size());
    for (const rig::daemon_node* daemon : members)
    {
        ids.emplace_back(daemon->id);
    }
    const auto log_readers = rendezvous_pick(ids, "fetcher", 2);
    std::vector<rig::daemon_node*> paused;
    std::vector<rig::daemon_node*> others;
    for (rig::daemon_node* daemon : members)
    {
        const bool picked =
            std::find(log_readers.begin(), log_readers.end(), daemon->id) != log_readers.end();
        (picked ? paused : others).push_back(daemon);
    }
    for (const rig::daemon_node* daemon : paused)
    {
        daemon->child_process->signal(SIGSTOP);
    }
    system.submit_accepted_patch(system.first_of("rakvere"));
    BOOST_TEST(system.wait_for_version(others, catch_up_limit_ms));
    for (const rig::daemon_node* daemon : paused)
    {
        daemon->child_process->signal(SIGCONT);
    }
    BOOST_TEST(system.wait_for_version(paused, recovery_limit_ms));
    system.expect_identical_configurations();
}

// Guards against failures that occur only in combination: an isolated domain, a lost response of
// the log, a stalled log and a domain that restarts meanwhile.
BOOST_AUTO_TEST_CASE(partition_restart_and_log_outage_together)
{
    observed_mesh system{{.extra_settings = "timeout_ms = 500\n", .relayed = true}};
    system.submit_accepted_patch(system.mesh.daemons[0]);
    system.expect_identical_configurations();
    system.mesh.isolate("tallinn-b", true);
    system.mesh.set_log_faults({{"lost_answers", 1}});
    system.submit_accepted_patch(system.first_of("tallinn-a"));
    BOOST_TEST(system.wait_for_version(system.daemons_of("rakvere"), recovery_limit_ms));
    system.mesh.set_log_faults({{"mode", "stall"}});
    system.restart_domain("rakvere");
    BOOST_TEST(system.wait_for_version(system.daemons_of("rakvere"), catch_up_limit_ms));
    system.mesh.set_link_faults({});
    BOOST_TEST(system.wait_for_version(system.daemons_of("tallinn-b"), recovery_limit_ms));
    system.mesh.set_log_faults({{"mode", "up"}});
    BOOST_TEST(rig::wait_until(
        catch_up_limit_ms,
        [&] { return rig::status_of(system.first_of("tallinn-b"))["log"] == "reachable"; }));
    system.submit_accepted_patch(system.first_of("tallinn-b"));
    system.expect_identical_configurations();
}
