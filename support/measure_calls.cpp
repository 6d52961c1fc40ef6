// Checks the at-most-once guarantee with concurrent calls under injected faults, and measures the
// memory and time that the key table takes per key.

#include "rig/call_storm.hpp"

#include "sardinepoint/idempotency.hpp"

#include <docopt/docopt.h>
#include <fmt/format.h>

#include <unistd.h>

#include <chrono>
#include <filesystem>
#include <iostream>
#include <string>

using namespace sardinepoint;

namespace
{

constexpr const char* usage = R"(Measures at-most-once calls under injected faults.

Usage:
  measure_calls [options]

Options:
  --calls=N    Calls per run [default: 10000].
  --seeds=N    Runs of each kind [default: 3].
  --first=N    First seed [default: 1].
  --keys=N     Keys for the measurement of the key table [default: 100000].
)";

struct chaos_case
{
    const char* name;
    bool keyed;
    rig::chaos_faults faults;
};

const chaos_case chaos_cases[] = {
    {"keyed, all faults", true, {}},
    {"no keys, all faults", false, {}},
    {"keyed, daemon restarts", true, {false, true, false, false, false}},
    {"keyed, daemon kills", true, {true, false, false, false, false}},
    {"keyed, partitions", true, {false, false, false, false, true}},
};

void print_chaos_row(const chaos_case& kind, std::uint64_t seed, const rig::chaos_counts& counts)
{
    const double unknown_percent =
        100.0 * static_cast<double>(counts.unknown) / static_cast<double>(counts.calls);
    std::cout << fmt::format("| {} | {} | {} | {} | {} | {} | {} | {} | {} | {} ({:.2f}%) |",
                             kind.name, seed, counts.calls, counts.faults, counts.run_twice,
                             counts.not_run_but_ran, counts.mismatched, counts.answered,
                             counts.not_run, counts.unknown, unknown_percent)
              << std::endl;
}

void measure_keys(std::size_t count)
{
    using clock = std::chrono::steady_clock;
    key_table table{.id = "vm-1@127.0.0.1:7000", .incarnation = 42};
    table.options.max_entries = count;
    const std::uint64_t before = rig::resident_bytes(::getpid());
    const auto started = clock::now();
    constexpr time_ms now = 1'000'000;
    for (std::size_t i = 0; i < count; ++i)
    {
        const idempotency_key key = issue_key(table, now);
        start_call(table, key, now, i);
        finish_call(table, key, run_outcome::answered, http_response{.body = "{}"}, now);
    }
    const double elapsed_ns =
        std::chrono::duration<double, std::nano>(clock::now() - started).count();
    const std::uint64_t used = rig::resident_bytes(::getpid()) - before;
    const auto keys = static_cast<double>(count);
    std::cout << fmt::format("\n{} keys with a stored response of 2 bytes: {:.0f} bytes per key, "
                             "{:.0f} ns per key (issue, start, finish)\n",
                             count, static_cast<double>(used) / keys, elapsed_ns / keys);
}

} // namespace

int main(int argc, char** argv)
{
    auto args = docopt::docopt(usage, {argv + 1, argv + argc}, true);
    measure_keys(static_cast<std::size_t>(args["--keys"].asLong()));
    const std::string build_dir =
        std::filesystem::canonical("/proc/self/exe").parent_path().string();
    const auto first = static_cast<std::uint64_t>(args["--first"].asLong());
    const auto seeds = static_cast<std::uint64_t>(args["--seeds"].asLong());
    std::cout
        << "\n| case | seed | calls | faults | run twice | \"not run\" but ran | wrong response | "
           "answered | not run | unknown |\n"
           "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
        << std::endl;
    for (const chaos_case& kind : chaos_cases)
    {
        for (std::uint64_t seed = first; seed < first + seeds; ++seed)
        {
            const rig::chaos_counts counts =
                rig::run_chaos_test({.build_dir = build_dir,
                                     .seed = seed,
                                     .calls = static_cast<std::uint64_t>(args["--calls"].asLong()),
                                     .keyed = kind.keyed,
                                     .faults = kind.faults});
            print_chaos_row(kind, seed, counts);
        }
    }
    return 0;
}
