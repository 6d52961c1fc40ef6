#define BOOST_TEST_MODULE soak
#include <boost/test/unit_test.hpp>

#include "rig/free_port.hpp"
#include "rig/soak.hpp"

#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cstdint>
#include <set>
#include <vector>

using namespace sardinepoint;

namespace
{

void check_seed(std::uint64_t seed, time_ms duration)
{
    const rig::soak_result result =
        rig::run_soak({.build_dir = SARDINEPOINT_BIN_DIR, .seed = seed, .duration = duration});
    BOOST_TEST_MESSAGE("seed " << seed << ": " << result.calls << " calls, " << result.answered
                               << " answered, " << result.refused << " refused, " << result.faults
                               << " faults");
    for (const std::string& line : result.violations)
    {
        BOOST_ERROR("seed " << seed << ", " << line);
    }
    // The guarantees could hold trivially if most calls failed.
    BOOST_TEST(result.answered > result.calls / 2);
}

} // namespace

// Guards against ports that outgoing connections of other processes may occupy before a program
// listens: in a soak test that ran beside other tests (seed 602), two daemons were never reachable.
BOOST_AUTO_TEST_CASE(ports_of_a_rig_are_outside_the_ephemeral_range)
{
    constexpr int first_ephemeral_port = 32'768;
    for (int i = 0; i < 100; ++i)
    {
        BOOST_TEST(rig::free_port("127.0.0.1") < first_ephemeral_port);
    }
}

// Guards against assigning a port twice because the first program does not listen on it yet.
BOOST_AUTO_TEST_CASE(ports_of_a_rig_differ)
{
    constexpr std::size_t ports = 2000;
    std::set<std::uint16_t> assigned_ports;
    for (std::size_t i = 0; i < ports; ++i)
    {
        assigned_ports.insert(rig::free_port("127.0.0.1"));
    }
    BOOST_TEST(assigned_ports.size() == ports);
}

// Guards against assigning a port in two test programs because neither listens on it yet.
BOOST_AUTO_TEST_CASE(ports_of_two_rigs_differ)
{
    constexpr std::size_t ports = 500;
    std::array<int, 2> release_pipe{};
    std::array<int, 2> port_pipe{};
    BOOST_REQUIRE(::pipe(release_pipe.data()) == 0 && ::pipe(port_pipe.data()) == 0);
    const pid_t child = ::fork();
    BOOST_REQUIRE(child >= 0);
    if (child == 0)
    {
        ::close(release_pipe[1]);
        for (std::size_t i = 0; i < ports; ++i)
        {
            const std::uint16_t port = rig::free_port("127.0.0.1");
            if (::write(port_pipe[1], &port, sizeof port) != sizeof port)
            {
                ::_exit(1);
            }
        }
        // The child's ports stay reserved until the parent has got its own.
        char end = 0;
        ::_exit(::read(release_pipe[0], &end, 1) == 0 ? 0 : 1);
    }
    ::close(release_pipe[0]);
    std::set<std::uint16_t> assigned_ports;
    for (std::size_t i = 0; i < ports; ++i)
    {
        std::uint16_t port = 0;
        BOOST_REQUIRE(::read(port_pipe[0], &port, sizeof port) == sizeof port);
        assigned_ports.insert(port);
        assigned_ports.insert(rig::free_port("127.0.0.1"));
    }
    ::close(release_pipe[1]);
    int status = 1;
    BOOST_TEST(::waitpid(child, &status, 0) == child);
    BOOST_TEST(status == 0);
    BOOST_TEST(assigned_ports.size() == 2 * ports);
}

// Guards against violated guarantees to callers and upstreams while faults of all kinds overlap.
BOOST_AUTO_TEST_CASE(guarantees_hold_under_random_faults)
{
    constexpr time_ms length_ms = 6000;
    constexpr time_ms failed_length_ms = 8000;
    for (const std::uint64_t seed : {1, 2, 3})
    {
        check_seed(seed, length_ms);
    }
    // Seed 4 failed when the test's client limited connections to 130 per daemon, so calls queued.
    check_seed(4, failed_length_ms);
}
