#define BOOST_TEST_MODULE upstream
#include <boost/test/unit_test.hpp>

#include "rig/load.hpp"
#include "rig/mesh.hpp"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <set>

using namespace sardinepoint;
using nlohmann::json;

namespace
{

constexpr time_ms start_limit_ms = 10000;
/** Covers the lease of 2 s, the interval of its check and the broadcast of the change. */
constexpr time_ms lease_expiry_limit_ms = 3000;
constexpr time_ms drain_limit_ms = 3000;
const std::string service = "duty-board";

std::uint64_t test_seed()
{
    static const std::uint64_t seed = []
    {
        const char* text = std::getenv("TEST_SEED");
        const std::uint64_t chosen =
            text != nullptr ? std::stoull(text) : static_cast<std::uint64_t>(wall_now() % 1000000);
        BOOST_TEST_MESSAGE("seed " << chosen);
        return chosen;
    }();
    return seed;
}

json stats_of(const rig::upstream_node& upstream)
{
    return rig::get_json(upstream.address, "/standin/stats");
}

void set_behaviour(const rig::upstream_node& upstream, const json& behaviour)
{
    rig::post_json(upstream.address, "/standin/behaviour", behaviour);
}

std::size_t known_upstreams(const rig::daemon_node& daemon)
{
    std::size_t found = 0;
    const json status = rig::status_of(daemon);
    for (const json& member : status.is_object() ? status["members"] : json::array())
    {
        for (const json& upstream : member["upstreams"])
        {
            found += upstream["state"] == "up" && member["state"] == "alive" ? 1 : 0;
        }
    }
    return found;
}

bool knows_remote(const rig::daemon_node& daemon, const std::string& domain)
{
    const json status = rig::status_of(daemon);
    for (const json& summary : status.is_object() ? status["domains"] : json::array())
    {
        if (summary["d"] == domain && !summary["s"].empty())
        {
            return true;
        }
    }
    return false;
}

std::uint64_t calls_of(const rig::upstream_node& upstream)
{
    return stats_of(upstream).value("calls", std::uint64_t{0});
}

void check_own_responses(const rig::load_report& report)
{
    BOOST_TEST(rig::count_verdict(report, rig::load_verdict::mismatched) == 0);
    BOOST_TEST(rig::count_verdict(report, rig::load_verdict::incomplete) == 0);
}

/** VMs with a daemon and an upstream each, in the given failure domains. */
struct vm_mesh
{
    rig::mesh mesh;

    explicit vm_mesh(const std::vector<std::string>& domains, const rig::upstream_options& options,
                     bool relayed = false)
        : mesh({.build_dir = SARDINEPOINT_BIN_DIR,
                .log_level = "warning",
                .relayed = relayed,
                .name = "upstream"})
    {
        test_seed();
        for (const std::string& domain : domains)
        {
            this->add_vm(domain);
        }
        for (rig::daemon_node& daemon : this->mesh.daemons)
        {
            this->mesh.add_upstream(daemon, options);
        }
        BOOST_REQUIRE(this->mesh.wait_ready(start_limit_ms));
        BOOST_REQUIRE(
            this->mesh.submit(this->mesh.daemons[0], 0,
                              rig::service_operations(service, "v1", "/duty"))["status"] == 200);
        BOOST_REQUIRE(this->mesh.wait_version(1, start_limit_ms));
        BOOST_REQUIRE(this->all_known());
    }

    rig::daemon_node& add_vm(const std::string& domain)
    {
        const std::string id = "vm-" + std::to_string(this->mesh.daemons.size());
        return this->mesh.add_daemon(id, domain);
    }

    rig::daemon_node& daemon(std::size_t index)
    {
        return this->mesh.daemons[index];
    }

    rig::upstream_node& upstream(std::size_t index)
    {
        return this->mesh.upstreams[index];
    }

    /**
     * Waits until each daemon knows the upstreams of its domain and the summary of each other
     * domain.
     */
    bool all_known()
    {
        const auto ready = [this](const rig::daemon_node& daemon)
        {
            std::size_t own = 0;
            for (const rig::daemon_node& other : this->mesh.daemons)
            {
                own += other.domain == daemon.domain ? 1 : 0;
                if (other.domain != daemon.domain && !knows_remote(daemon, other.domain))
                {
                    return false;
                }
            }
            return known_upstreams(daemon) == own;
        };
        return rig::wait_until(start_limit_ms,
                               [&] { return std::ranges::all_of(this->mesh.daemons, ready); });
    }

    bool wait_known(std::size_t daemon_index, std::size_t count, time_ms limit)
    {
        return rig::wait_until(limit, [&]
                               { return known_upstreams(this->daemon(daemon_index)) == count; });
    }

    rig::load_options load(double rate, time_ms duration, time_ms deadline)
    {
        rig::load_options options{.calls_per_second = rate,
                                  .duration = duration,
                                  .deadline = deadline,
                                  .seed = test_seed()};
        for (const rig::daemon_node& daemon : this->mesh.daemons)
        {
            options.targets.push_back(daemon.data);
        }
        return options;
    }
};

bool wait_calls(const rig::background_load& load, std::uint64_t count)
{
    return rig::wait_until(start_limit_ms, [&] { return load.ended() >= count; });
}

/** Stops the load after a delay and returns its report. */
rig::load_report stop_after(rig::background_load& load, time_ms delay)
{
    rig::pause(delay);
    load.stop_arrivals();
    rig::load_report report = load.finish();
    BOOST_TEST_MESSAGE(rig::describe(report));
    return report;
}

} // namespace

// Guards against an upstream that stays in the member tables after its process has ended.
BOOST_AUTO_TEST_CASE(killed_upstream_leaves_and_calls_go_on)
{
    vm_mesh vms({"tallinn-a", "tallinn-a"}, {});
    rig::background_load load(vms.load(100, 15000, 1000));
    BOOST_REQUIRE(wait_calls(load, 50));
    vms.upstream(0).child_process->signal(SIGKILL);
    BOOST_TEST(vms.wait_known(0, 1, lease_expiry_limit_ms));
    BOOST_TEST(vms.wait_known(1, 1, lease_expiry_limit_ms));
    const rig::load_report report = stop_after(load, 500);
    check_own_responses(report);
    BOOST_TEST(rig::success_fraction(report) >= 0.999);
}

// Guards against a lease that is renewed by anything but announcements: a frozen upstream still
// accepts connections.
BOOST_AUTO_TEST_CASE(frozen_upstream_loses_its_lease_and_comes_back)
{
    vm_mesh vms({"tallinn-a", "tallinn-a"}, {});
    vms.upstream(0).child_process->signal(SIGSTOP);
    BOOST_TEST(vms.wait_known(1, 1, lease_expiry_limit_ms));
    BOOST_TEST(vms.wait_known(0, 1, lease_expiry_limit_ms));
    vms.upstream(0).child_process->signal(SIGCONT);
    BOOST_TEST(vms.wait_known(1, 2, lease_expiry_limit_ms));
}

// Guards against a load value that keeps a working upstream out of service.
BOOST_AUTO_TEST_CASE(invalid_load_value_does_not_reject_the_announcement)
{
    vm_mesh vms({"tallinn-a"}, {});
    for (const json& load : {json(-1), json(1e12), json("high"), json(nullptr)})
    {
        const json response = rig::post_json(vms.daemon(0).control, "/v1/announce",
                                             {{"service", service},
                                              {"version", "v1"},
                                              {"address", vms.upstream(0).address.address},
                                              {"port", vms.upstream(0).address.port},
                                              {"slots", 15},
                                              {"connections", 130},
                                              {"load", load},
                                              {"state", "up"}});
        BOOST_TEST(response["status"] == 200, "load " << load.dump());
    }
}

// Guards against upstreams that other failure domains never learn of, and against calls that leave
// their own domain while it can serve them.
BOOST_AUTO_TEST_CASE(own_domain_is_preferred_and_another_one_serves_when_it_is_empty)
{
    vm_mesh vms({"tallinn-a", "tallinn-b"}, {});
    rig::load_options from_a = vms.load(100, 1000, 1000);
    from_a.targets = {vms.daemon(0).data};
    BOOST_TEST(rig::success_fraction(rig::run_load(from_a)) == 1.0);
    BOOST_TEST(calls_of(vms.upstream(1)) == 0);
    vms.upstream(0).child_process->signal(SIGKILL);
    BOOST_REQUIRE(vms.wait_known(0, 0, lease_expiry_limit_ms));
    const rig::load_report spilled = rig::run_load(from_a);
    BOOST_TEST_MESSAGE(rig::describe(spilled));
    check_own_responses(spilled);
    BOOST_TEST(rig::success_fraction(spilled) >= 0.999);
    BOOST_TEST(rig::count_verdict(spilled, rig::load_verdict::success) +
                   rig::count_outcomes(spilled)["not-run"] ==
               spilled.calls.size());
    BOOST_TEST(calls_of(vms.upstream(1)) >=
               rig::count_verdict(spilled, rig::load_verdict::success));
}

// Guards against one domain's overload taking the slots that another domain's callers need.
BOOST_AUTO_TEST_CASE(spill_of_an_overloaded_domain_is_bounded)
{
    vm_mesh vms({"tallinn-a", "tallinn-b"}, {.slots = 4, .processing_time = 50});
    rig::load_options flood = vms.load(400, 11'000, 500);
    flood.targets = {vms.daemon(0).data};
    rig::load_options light = vms.load(20, 10'000, 500);
    light.targets = {vms.daemon(1).data};
    light.seed += 1;
    rig::background_load flooding(flood);
    BOOST_REQUIRE(wait_calls(flooding, 100));
    const rig::load_report own = rig::run_load(light);
    const rig::load_report report = flooding.finish();
    BOOST_TEST_MESSAGE("flood " << rig::describe(report));
    BOOST_TEST_MESSAGE("own " << rig::describe(own));
    check_own_responses(report);
    BOOST_TEST(rig::success_fraction(own) >= 0.5);
    // Two upstreams of 4 slots and 50 ms run at most 160 calls/s.
    BOOST_TEST(stats_of(vms.upstream(1))["over_slots"] == 0);
}

// Guards against a new upstream that gets a full share of the calls at once.
BOOST_AUTO_TEST_CASE(new_upstream_starts_slowly)
{
    vm_mesh vms({"tallinn-a", "tallinn-a"}, {});
    rig::daemon_node& third = vms.add_vm("tallinn-a");
    BOOST_REQUIRE(vms.mesh.wait_ready(start_limit_ms));
    rig::load_options options = vms.load(300, 18000, 1000);
    options.targets.pop_back();
    rig::background_load load(options);
    BOOST_REQUIRE(wait_calls(load, 1200));
    const rig::upstream_node& added = vms.mesh.add_upstream(third, {});
    BOOST_REQUIRE(vms.wait_known(0, 3, lease_expiry_limit_ms));
    const std::uint64_t from = load.ended();
    BOOST_REQUIRE(wait_calls(load, from + 300));
    const std::uint64_t first = calls_of(added);
    BOOST_TEST_MESSAGE("first 300 calls: " << first << " at the new upstream");
    BOOST_TEST(first < 60);
    const bool caught_up = rig::wait_until(start_limit_ms,
                                           [&]
                                           {
                                               const std::uint64_t before = calls_of(added);
                                               const std::uint64_t ended = load.ended();
                                               wait_calls(load, ended + 150);
                                               return calls_of(added) - before >= 35;
                                           });
    BOOST_TEST(caught_up);
    const rig::load_report report = stop_after(load, 0);
    BOOST_TEST(rig::success_fraction(report) >= 0.999);
}

namespace
{

/**
 * Drains one upstream under load; checks that it gets no calls after the limit and that no call is
 * aborted or run twice.
 */
void check_drain(vm_mesh& vms, const std::function<void()>& drain)
{
    rig::load_options options = vms.load(150, 12000, 1000);
    options.methods = {{"GET", 1}, {"POST", 1}};
    rig::background_load load(options);
    BOOST_REQUIRE(wait_calls(load, 150));
    const time_ms begun = wall_now();
    drain();
    const rig::load_report report = stop_after(load, drain_limit_ms + 500);
    const json stats = stats_of(vms.upstream(1));
    BOOST_TEST_MESSAGE("last new call after " << stats["last_call_ms"].get<time_ms>() - begun
                                              << " ms");
    BOOST_TEST(stats["last_call_ms"].get<time_ms>() - begun <= drain_limit_ms);
    BOOST_TEST(stats["calls"].get<std::uint64_t>() > 0);
    check_own_responses(report);
    BOOST_TEST(rig::success_fraction(report) >= 0.999);
    for (const rig::upstream_node& upstream : vms.mesh.upstreams)
    {
        BOOST_TEST(stats_of(upstream)["cancelled"] == 0);
        BOOST_TEST(stats_of(upstream)["most_runs"] <= 1);
    }
}

} // namespace

// Guards against new calls to an upstream that announced that it drains, and against aborted calls.
BOOST_AUTO_TEST_CASE(upstream_drains_itself)
{
    vm_mesh vms({"tallinn-a", "tallinn-a", "tallinn-b"}, {.processing_time = 60});
    check_drain(vms, [&] { set_behaviour(vms.upstream(1), {{"state", "draining"}}); });
}

// Guards against a drain that only the daemon that received the request knows of, and against one
// that can't be undone.
BOOST_AUTO_TEST_CASE(operator_drains_through_another_daemon_and_undoes_it)
{
    vm_mesh vms({"tallinn-a", "tallinn-a", "tallinn-b"}, {.processing_time = 60});
    check_drain(vms,
                [&]
                {
                    const json response = rig::post_json(vms.daemon(0).control, "/v1/drain",
                                                         {{"member", vms.daemon(1).id}});
                    BOOST_TEST(response["state"] == "draining");
                });
    const std::uint64_t before = calls_of(vms.upstream(1));
    const json undone = rig::post_json(vms.daemon(0).control, "/v1/drain",
                                       {{"member", vms.daemon(1).id}, {"undo", true}});
    BOOST_TEST(undone["state"] == "up");
    BOOST_TEST(vms.wait_known(0, 2, drain_limit_ms));
    rig::run_load(vms.load(150, 1000, 1000));
    BOOST_TEST(calls_of(vms.upstream(1)) > before);
}

namespace
{

/** Freezes one of six upstreams while 80% of all slots are used. */
void check_frozen_upstream_of_six(std::uint64_t seed)
{
    vm_mesh vms(std::vector<std::string>(6, "tallinn-a"), {.slots = 15, .processing_time = 200});
    // 72 of 90 slots are used at 360 calls/s of 200 ms.
    rig::load_options options = vms.load(360, 15000, 2000);
    options.seed = seed;
    rig::background_load load(options);
    BOOST_REQUIRE(wait_calls(load, 720));
    vms.upstream(2).child_process->signal(SIGSTOP);
    const rig::load_report report = stop_after(load, 5000);
    check_own_responses(report);
    BOOST_TEST(rig::success_fraction(report) >= 0.999);
}

} // namespace

// Guards against calls that wait for a frozen upstream until their deadline.
BOOST_AUTO_TEST_CASE(one_frozen_upstream_of_six_at_80_percent)
{
    check_frozen_upstream_of_six(test_seed());
}

// Guards against refusing a burst of calls that the five other upstreams can serve in time.
BOOST_AUTO_TEST_CASE(burst_beside_a_frozen_upstream_is_served)
{
    constexpr std::uint64_t seed_with_a_burst = 843717;
    check_frozen_upstream_of_six(seed_with_a_burst);
}

// Guards against load reports that draw all calls to one upstream, or starve one.
BOOST_AUTO_TEST_CASE(false_load_reports_have_a_bounded_effect)
{
    vm_mesh vms(std::vector<std::string>(3, "tallinn-a"), {});
    set_behaviour(vms.upstream(0), {{"announced_load", 0}});
    set_behaviour(vms.upstream(1), {{"announced_load", 1000000}});
    const rig::load_report report = rig::run_load(vms.load(300, 3000, 1000));
    BOOST_TEST_MESSAGE(rig::describe(report));
    BOOST_TEST(rig::success_fraction(report) >= 0.999);
    const auto total = static_cast<double>(report.calls.size());
    for (const rig::upstream_node& upstream : vms.mesh.upstreams)
    {
        const double share = static_cast<double>(calls_of(upstream)) / total;
        BOOST_TEST_MESSAGE("share " << share);
        BOOST_TEST(share > 0.15);
        BOOST_TEST(share < 0.6);
    }
}

// Guards against a late response that is passed on as the response to another request.
BOOST_AUTO_TEST_CASE(late_answers_reach_no_other_request)
{
    vm_mesh vms({"tallinn-a", "tallinn-a"}, {});
    set_behaviour(vms.upstream(0), {{"late_ms", 450}});
    rig::load_options options = vms.load(200, 6000, 300);
    options.methods = {{"GET", 2}, {"POST", 1}, {"PUT", 1}};
    rig::background_load load(options);
    BOOST_REQUIRE(wait_calls(load, 400));
    set_behaviour(vms.upstream(0), {{"late_ms", 0}});
    const rig::load_report report = stop_after(load, 1500);
    check_own_responses(report);
    BOOST_TEST(rig::count_verdict(report, rig::load_verdict::success) > report.calls.size() / 2);
}

// Guards against proxies that exceed the limits of an upstream when many send to it at once.
BOOST_AUTO_TEST_CASE(hard_limits_hold_under_overload_from_several_daemons)
{
    vm_mesh vms({"tallinn-a"}, {.slots = 6, .connections = 10, .processing_time = 50});
    for (int i = 0; i < 3; ++i)
    {
        vms.add_vm(i == 2 ? "tallinn-b" : "tallinn-a");
    }
    BOOST_REQUIRE(vms.mesh.wait_ready(start_limit_ms));
    BOOST_REQUIRE(vms.mesh.wait_version(1, start_limit_ms));
    BOOST_REQUIRE(vms.wait_known(1, 1, start_limit_ms));
    BOOST_REQUIRE(vms.wait_known(2, 1, start_limit_ms));
    // 6 slots of 50 ms run 120 calls/s.
    rig::load_options options = vms.load(600, 4000, 400);
    options.methods = {{"GET", 1}, {"POST", 1}};
    // Calls that must not be resent and have no body never reuse a connection.
    options.empty_body_fraction = 0.3;
    const rig::load_report report = rig::run_load(options);
    BOOST_TEST_MESSAGE(rig::describe(report));
    const json stats = stats_of(vms.upstream(0));
    BOOST_TEST_MESSAGE("connections " << stats["most_connections"] << ", running "
                                      << stats["most_running"]);
    BOOST_TEST(stats["over_slots"] == 0);
    BOOST_TEST(stats["most_connections"] <= 10);
    std::set<std::string> outcomes;
    for (const rig::load_call& call : report.calls)
    {
        if (call.verdict == rig::load_verdict::refused)
        {
            outcomes.insert(call.outcome);
        }
    }
    BOOST_TEST(outcomes == std::set<std::string>{"not-run"}, boost::test_tools::per_element());
    BOOST_TEST(rig::latency_quantile(report, 0.99, rig::load_verdict::refused) < 400);
}

// Guards against a new connection for each call, as was opened for calls that must not be resent
// and have no body: an upstream that has not seen the previous connection close counts both.
BOOST_AUTO_TEST_CASE(connections_never_exceed_the_slots)
{
    vm_mesh vms({"tallinn-a"}, {.slots = 6, .connections = 6, .processing_time = 20});
    // Each of these calls opens a connection to the daemon, which accepts up to 1,000.
    rig::load_options options = vms.load(400, 2000, 400);
    options.methods = {{"POST", 1}};
    options.empty_body_fraction = 1;
    const rig::load_report report = rig::run_load(options);
    BOOST_TEST_MESSAGE(rig::describe(report));
    BOOST_TEST(stats_of(vms.upstream(0))["most_connections"] <= 6);
    BOOST_TEST(rig::count_verdict(report, rig::load_verdict::no_response) == 0);
}

// Guards against a domain that stops serving when it is cut off from the other domains and the log.
BOOST_AUTO_TEST_CASE(isolated_domain_serves_its_own_upstreams)
{
    vm_mesh vms({"tallinn-a", "tallinn-b", "tallinn-b"}, {}, true);
    rig::background_load load(vms.load(100, 15000, 1000));
    BOOST_REQUIRE(wait_calls(load, 100));
    vms.mesh.isolate("tallinn-b", true);
    const rig::load_report report = stop_after(load, 4000);
    check_own_responses(report);
    BOOST_TEST(rig::success_fraction(report) >= 0.999);
}

namespace
{

/** Applies load through the first two daemons while a fault is injected. */
rig::load_report run_load_during(vm_mesh& vms, const std::function<void()>& fault)
{
    rig::load_options options = vms.load(150, 15000, 1000);
    options.targets.pop_back();
    rig::background_load load(options);
    BOOST_REQUIRE(wait_calls(load, 150));
    fault();
    rig::load_report report = stop_after(load, 500);
    check_own_responses(report);
    return report;
}

} // namespace

// Guards against calls that fail because one daemon of the domain hangs.
BOOST_AUTO_TEST_CASE(frozen_daemon_does_not_stop_calls_through_others)
{
    vm_mesh vms(std::vector<std::string>(3, "tallinn-a"), {});
    const rig::load_report report =
        run_load_during(vms,
                        [&]
                        {
                            vms.daemon(2).child_process->signal(SIGSTOP);
                            BOOST_TEST(vms.wait_known(0, 2, start_limit_ms));
                            vms.daemon(2).child_process->signal(SIGCONT);
                            BOOST_TEST(vms.wait_known(0, 3, start_limit_ms));
                        });
    BOOST_TEST(rig::success_fraction(report) >= 0.999);
}

// Guards against a restarted daemon that is mistaken for its dead previous incarnation.
BOOST_AUTO_TEST_CASE(killed_daemon_comes_back_under_the_same_id)
{
    vm_mesh vms(std::vector<std::string>(3, "tallinn-a"), {});
    std::uint64_t before = 0;
    const rig::load_report report = run_load_during(
        vms,
        [&]
        {
            vms.daemon(2).child_process->signal(SIGKILL);
            BOOST_TEST(vms.wait_known(0, 2, start_limit_ms));
            before = calls_of(vms.upstream(2));
            vms.mesh.restart(vms.daemon(2));
            BOOST_TEST(vms.wait_known(0, 3, start_limit_ms));
            BOOST_TEST(rig::wait_until(start_limit_ms,
                                       [&] { return calls_of(vms.upstream(2)) > before; }));
        });
    BOOST_TEST(rig::success_fraction(report) >= 0.999);
}

// Guards against a domain that doesn't serve again after all of its daemons were killed, and
// against failed calls in the other domain meanwhile.
BOOST_AUTO_TEST_CASE(all_daemons_of_a_domain_restart_under_load)
{
    vm_mesh vms({"tallinn-a", "tallinn-a", "tallinn-a", "tallinn-b"}, {});
    rig::load_options other = vms.load(60, 15000, 1000);
    other.targets = {vms.daemon(3).data};
    rig::load_options own = vms.load(150, 15000, 1000);
    own.targets.pop_back();
    own.seed += 1;
    rig::background_load other_load(other);
    rig::background_load own_load(own);
    BOOST_REQUIRE(wait_calls(own_load, 150));
    for (std::size_t i = 0; i < 3; ++i)
    {
        vms.daemon(i).child_process->signal(SIGKILL);
    }
    for (std::size_t i = 0; i < 3; ++i)
    {
        vms.mesh.restart(vms.daemon(i));
    }
    BOOST_TEST(vms.wait_known(0, 3, start_limit_ms));
    const std::uint64_t back = own_load.succeeded();
    BOOST_TEST(rig::wait_until(start_limit_ms, [&] { return own_load.succeeded() > back + 150; }));
    check_own_responses(stop_after(own_load, 0));
    const rig::load_report report = stop_after(other_load, 0);
    check_own_responses(report);
    BOOST_TEST(rig::success_fraction(report) >= 0.999);
}
