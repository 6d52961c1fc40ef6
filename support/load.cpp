// Sends calls to daemons at a rate that does not depend on the responses (open load), and checks
// that each response belongs to its request.

#include "rig/load.hpp"

#include <docopt/docopt.h>

#include <iostream>

using namespace sardinepoint;

namespace
{

constexpr const char* usage = R"(Sends an open load to the data endpoints of daemons.

Usage:
  load [options] <endpoint>...

Options:
  --path=PATH           Path of the calls [default: /duty/today].
  --rate=N              Calls per second over all endpoints [default: 100].
  --seconds=N           Time during which calls are started [default: 10].
  --count=N             Maximum number of calls [default: 200000].
  --deadline-ms=N       Deadline of each call [default: 1000].
  --post-share=X        Fraction of the calls that are POST [default: 0].
  --body-bytes=N        Minimum size of the bodies [default: 32].
  --seed=N              Seed of arrival times and methods [default: 1].
)";

constexpr time_ms ms_per_second = 1000;

} // namespace

int main(int argc, char** argv)
{
    auto args = docopt::docopt(usage, {argv + 1, argv + argc}, true);
    rig::load_options options;
    for (const std::string& text : args["<endpoint>"].asStringList())
    {
        const auto target = parse_endpoint(text);
        if (!target)
        {
            std::cerr << "load: '" << text << "' is not an address:port\n";
            return 1;
        }
        options.targets.push_back(*target);
    }
    options.path = args["--path"].asString();
    options.calls_per_second = std::stod(args["--rate"].asString());
    options.duration = args["--seconds"].asLong() * ms_per_second;
    options.max_calls = static_cast<std::uint64_t>(args["--count"].asLong());
    options.deadline = args["--deadline-ms"].asLong();
    const double post_fraction = std::stod(args["--post-share"].asString());
    options.methods = {{"GET", 1 - post_fraction}, {"POST", post_fraction}};
    options.min_body_bytes = static_cast<std::size_t>(args["--body-bytes"].asLong());
    options.seed = static_cast<std::uint64_t>(args["--seed"].asLong());
    const rig::load_report report = rig::run_load(options);
    std::cout << rig::describe(report) << "\n";
    const bool wrong = rig::count_verdict(report, rig::load_verdict::mismatched) > 0 ||
                       rig::count_verdict(report, rig::load_verdict::incomplete) > 0;
    return wrong ? 2 : 0;
}
