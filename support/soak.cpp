// Soak test of daemons under random faults; prints violated guarantees.

#include "rig/soak.hpp"

#include <docopt/docopt.h>

#include <filesystem>
#include <iostream>
#include <string>

using namespace sardinepoint;

namespace
{

constexpr const char* usage =
    R"(Runs daemons under random faults and checks the guarantees to callers and upstreams.

Usage:
  soak [--seed=N] [--seeds=N] [--seconds=N] [--daemons=N] [--interval=N] [--build-dir=DIR]
       [--verbose] [--keep]

Options:
  --seed=N         First seed [default: 1].
  --seeds=N        Number of seeds [default: 1].
  --seconds=N      Time in which faults are injected [default: 8].
  --daemons=N      Daemons, each with an upstream [default: 5].
  --interval=N     Milliseconds between two calls to a daemon [default: 10].
  --build-dir=DIR  Directory with the programs [default: build].
  --verbose        Prints each fault.
  --keep           Keeps logs and settings in the temporary directory.
)";

} // namespace

int main(int argc, char** argv)
{
    auto args = docopt::docopt(usage, {argv + 1, argv + argc}, true);
    const long first = args["--seed"].asLong();
    int failed_seeds = 0;
    for (long seed = first; seed < first + args["--seeds"].asLong(); ++seed)
    {
        const rig::soak_result result =
            rig::run_soak({.build_dir = std::filesystem::absolute(args["--build-dir"].asString()),
                           .seed = static_cast<std::uint64_t>(seed),
                           .duration = args["--seconds"].asLong() * 1000,
                           .daemons = static_cast<int>(args["--daemons"].asLong()),
                           .call_interval = args["--interval"].asLong(),
                           .verbose = args["--verbose"].asBool(),
                           .keep_files = args["--keep"].asBool()});
        std::cout << "seed=" << seed << " calls=" << result.calls << " answered=" << result.answered
                  << " refused=" << result.refused << " failed=" << result.failed
                  << " faults=" << result.faults << " config_checks=" << result.config_checks
                  << " broken=" << result.violations.size() << std::endl;
        for (const std::string& line : result.violations)
        {
            std::cout << "  " << line << std::endl;
        }
        failed_seeds += result.violations.empty() ? 0 : 1;
    }
    std::cout << "seeds with violated guarantees: " << failed_seeds << std::endl;
    return failed_seeds == 0 ? 0 : 1;
}
