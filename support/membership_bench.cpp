#include "sardinepoint/membership.hpp"

#include <docopt/docopt.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <malloc.h>

#include <algorithm>
#include <ctime>
#include <iostream>

using namespace sardinepoint;

namespace
{

constexpr char usage[] = R"(Measures CPU time, memory and message sizes of the membership functions.

Usage:
  membership_bench [--members=LIST] [--upstreams=N] [--rounds=N] [--seed=N]
  membership_bench (-h | --help)

Options:
  --members=LIST  Table sizes, separated by commas [default: 650,6500].
  --upstreams=N   Upstreams per member [default: 1].
  --rounds=N      Repetitions of each measurement [default: 200].
  --seed=N        Seed of the random number generator [default: 1].
)";

constexpr std::uint64_t first_incarnation = 1'796'361'798'000;
constexpr std::size_t fan_out = 4;

struct bench_options
{
    std::size_t upstreams = 1;
    int rounds = 1;
    std::uint64_t seed = 1;
};

double cpu_us()
{
    timespec value{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &value);
    return static_cast<double>(value.tv_sec) * 1e6 + static_cast<double>(value.tv_nsec) / 1e3;
}

template <typename Function>
double us_per_call(int rounds, Function function)
{
    const double start = cpu_us();
    for (int i = 0; i < rounds; ++i)
    {
        function();
    }
    return (cpu_us() - start) / rounds;
}

member_record make_record(std::size_t index, const bench_options& options)
{
    member_record record{.id = fmt::format("vm-{:05}", index),
                         .incarnation = first_incarnation + index,
                         .sequence = 1,
                         .domain = "tallinn-a",
                         .region = "ee-north",
                         .address = fmt::format("10.20.{}.{}", index / 250, index % 250 + 1),
                         .data_port = 7000,
                         .control_port = 7001,
                         .served_offset = 1'234'567,
                         .served_version = 11'000};
    for (std::size_t i = 0; i < options.upstreams; ++i)
    {
        record.upstreams.push_back({.service = "duty-board",
                                    .version = "v1",
                                    .address = record.address,
                                    .port = static_cast<std::uint16_t>(8000 + i),
                                    .slots = 15,
                                    .connections = 130});
    }
    return record;
}

void print_row(std::size_t members, std::string_view measure, double value, std::string_view unit)
{
    std::cout << fmt::format("{:>8}  {:<44} {:>12.2f} {}\n", members, measure, value, unit);
}

void measure_merges(std::vector<member_record>& records, member_table& table, std::size_t members,
                    const bench_options& options, std::mt19937_64& rng)
{
    const double record_count = static_cast<double>(members);
    const std::size_t bytes_before = mallinfo2().uordblks;
    const double merge_new_us = us_per_call(1,
                                            [&]
                                            {
                                                for (const member_record& record : records)
                                                {
                                                    merge_member(table, record, 0);
                                                }
                                            });
    const auto used_bytes = static_cast<double>(mallinfo2().uordblks - bytes_before);
    print_row(members, "memory per record", used_bytes / record_count, "bytes");
    print_row(members, "merge of a new member", merge_new_us / record_count, "us");
    std::shuffle(records.begin(), records.end(), rng);
    // Each round merges all records, so fewer rounds keep the time for large tables short.
    const int rounds = std::max(1, options.rounds / 10);
    const double increment_us = us_per_call(rounds,
                                            [&]
                                            {
                                                for (member_record& record : records)
                                                {
                                                    ++record.sequence;
                                                }
                                            });
    const double update_us = us_per_call(rounds,
                                         [&]
                                         {
                                             for (member_record& record : records)
                                             {
                                                 ++record.sequence;
                                                 merge_member(table, record, 0);
                                             }
                                         });
    const double repeat_us = us_per_call(rounds,
                                         [&]
                                         {
                                             for (const member_record& record : records)
                                             {
                                                 merge_member(table, record, 0);
                                             }
                                         });
    print_row(members, "merge of a newer record", (update_us - increment_us) / record_count, "us");
    print_row(members, "merge of a known record", repeat_us / record_count, "us");
}

void measure_reads(const member_table& table, std::size_t members, const bench_options& options,
                   std::mt19937_64& rng)
{
    std::size_t sink = 0;
    print_row(members, "digest",
              us_per_call(options.rounds, [&] { sink += make_digest(table).buckets.size(); }),
              "us");
    const std::vector<std::size_t> bucket{1};
    print_row(
        members, "records of one bucket",
        us_per_call(options.rounds, [&] { sink += records_in_buckets(table, bucket).size(); }),
        "us");
    const std::vector<std::string_view> ids = available_ids(table, "tallinn-a");
    print_row(members, "tree children",
              us_per_call(options.rounds,
                          [&] { sink += tree_children(ids, ids[0], ids[1], fan_out).size(); }),
              "us");
    print_row(
        members, "rendezvous pick of 2",
        us_per_call(options.rounds, [&] { sink += rendezvous_pick(ids, "fetcher", 2).size(); }),
        "us");
    print_row(members, "next sync peer",
              us_per_call(options.rounds, [&] { sink += random_sync_peer(table, rng)->size(); }),
              "us");
    print_row(members, "domain summary",
              us_per_call(options.rounds,
                          [&] { sink += summarise_domain(table, "tallinn-a").services.size(); }),
              "us");
    if (sink == 0)
    {
        std::cout << "no measured function returned any data\n";
    }
}

void measure_detector(member_table& table, std::size_t members, const bench_options& options,
                      std::mt19937_64& rng)
{
    failure_detector detector;
    time_ms now = 0;
    const auto tick = [&]
    {
        for (const detector_action& action : detector_tick(detector, table, now, rng))
        {
            handle_probe_response(detector, table, action.target, action.via, now);
        }
        now += detector.options.tick_ms;
    };
    tick();
    print_row(members, "detector tick", us_per_call(options.rounds, tick), "us");
    const double changed_us = us_per_call(options.rounds,
                                          [&]
                                          {
                                              ++table.revision;
                                              tick();
                                          });
    print_row(members, "detector tick after a change", changed_us, "us");
}

void measure_bytes(const member_table& table, std::size_t members, const bench_options& options)
{
    const member_record& record = table.members.begin()->second.record;
    const std::string text = to_json(record).dump();
    print_row(members, "JSON of a record", static_cast<double>(text.size()), "bytes");
    print_row(members, "JSON of a digest, root only",
              static_cast<double>(to_json(make_digest(table), false).dump().size()), "bytes");
    print_row(members, "JSON of a digest with buckets",
              static_cast<double>(to_json(make_digest(table), true).dump().size()), "bytes");
    print_row(members, "JSON of a domain summary with one service",
              static_cast<double>(to_json(summarise_domain(table, "tallinn-a")).dump().size()),
              "bytes");
    error reason;
    std::size_t parsed = 0;
    print_row(members, "serializing and parsing a record",
              us_per_call(options.rounds,
                          [&]
                          {
                              const auto value = nlohmann::json::parse(to_json(record).dump());
                              parsed += parse_member_record(value, reason) ? 1 : 0;
                          }),
              "us");
    if (parsed != static_cast<std::size_t>(options.rounds))
    {
        std::cout << "parsing a serialized member record failed: " << describe(reason) << '\n';
    }
}

void measure(std::size_t members, const bench_options& options)
{
    std::mt19937_64 rng{options.seed};
    std::vector<member_record> records;
    for (std::size_t i = 1; i < members; ++i)
    {
        records.push_back(make_record(i, options));
    }
    const member_record own = make_record(0, options);
    member_table table{.self_id = own.id};
    publish_self(table, own, 0);
    measure_merges(records, table, members, options, rng);
    measure_reads(table, members, options, rng);
    measure_detector(table, members, options, rng);
    measure_bytes(table, members, options);
}

std::vector<std::size_t> parse_sizes(const std::string& text)
{
    std::vector<std::size_t> sizes;
    for (std::size_t start = 0; start < text.size();)
    {
        const std::size_t end = std::min(text.find(',', start), text.size());
        sizes.push_back(std::stoul(text.substr(start, end - start)));
        start = end + 1;
    }
    return sizes;
}

} // namespace

int main(int argc, char** argv)
{
    auto arguments = docopt::docopt(usage, {argv + 1, argv + argc}, true);
    const bench_options options{.upstreams =
                                    static_cast<std::size_t>(arguments["--upstreams"].asLong()),
                                .rounds = static_cast<int>(arguments["--rounds"].asLong()),
                                .seed = static_cast<std::uint64_t>(arguments["--seed"].asLong())};
    std::cout << fmt::format("{:>8}  {:<44} {:>12}\n", "members", "measure", "value");
    for (const std::size_t members : parse_sizes(arguments["--members"].asString()))
    {
        if (members < 2)
        {
            std::cerr << "--members: each table size must be at least 2\n";
            return 2;
        }
        measure(members, options);
    }
    return 0;
}
