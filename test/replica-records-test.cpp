#define BOOST_TEST_MODULE replica_records
#include <boost/test/unit_test.hpp>

#include "replica.hpp"
#include "replica_records.hpp"

#include <random>
#include <string>
#include <vector>

using namespace sardinepoint;

namespace
{

whole_config make_config(std::uint64_t version, int routes)
{
    whole_config config{.version = version, .routes = {}, .services = {}, .limits = {}};
    config.services["board"] = {.name = "board", .versions = {}};
    for (int i = 0; i < routes; ++i)
    {
        const std::string name = "r" + std::to_string(i);
        config.routes[name] = {
            .name = name, .prefix = "/" + name + "/", .service = "board", .split = {}};
    }
    return config;
}

/** A node at offset 1 with version 1 that receives records from peers and from the log. */
struct replica_fixture
{
    node self;

    replica_fixture()
    {
        const log_record first{.offset = 0, .body = "", .decoded_config = make_config(1, 1)};
        apply_records(this->self, {&first, 1}, "log");
    }

    /** The delta from one configuration to the next, as a peer sends it. */
    static log_record delta(std::uint64_t offset, int routes_before, int routes)
    {
        config_state before;
        before.version = offset;
        before.routes = make_config(offset, routes_before).routes;
        return {.offset = offset,
                .body = dump_delta(make_delta(before, make_config(offset + 1, routes)))};
    }

    void receive(const log_record& record, std::string_view source = "peer")
    {
        apply_records(this->self, {&record, 1}, source);
    }

    std::uint64_t version() const
    {
        return this->self.config_replica.state.version;
    }
};

} // namespace

// Guards against a daemon that stays behind during a series of changes: without the buffer it lost
// the small changes that came while it read a large one, and read a whole configuration for each.
BOOST_FIXTURE_TEST_CASE(changes_ahead_of_a_missing_record_are_buffered, replica_fixture)
{
    this->receive(delta(3, 9, 10));
    this->receive(delta(2, 8, 9));
    this->receive(delta(4, 10, 11));
    BOOST_TEST(this->version() == 1U);
    this->receive({.offset = 1, .body = "", .decoded_config = make_config(2, 8)}, "log");
    BOOST_TEST(this->version() == 5U);
    BOOST_TEST(this->self.config_replica.state.routes.size() == 11U);
    BOOST_TEST(this->self.config_replica.out_of_order_records.empty());
    BOOST_TEST(this->self.config_replica.out_of_order_bytes == 0U);
}

// Guards against buffered deltas that are applied to a version other than their base.
BOOST_FIXTURE_TEST_CASE(buffered_change_to_another_version_is_dropped, replica_fixture)
{
    this->receive(delta(2, 8, 9));
    this->receive({.offset = 1, .body = "", .decoded_config = make_config(7, 3)}, "log");
    BOOST_TEST(this->version() == 7U);
    BOOST_TEST(this->self.config_replica.state.routes.size() == 3U);
    BOOST_TEST(this->self.config_replica.state.next_offset == 2U);
    BOOST_TEST(this->self.config_replica.out_of_order_records.empty());
    this->receive({.offset = 2, .body = "", .decoded_config = make_config(8, 4)}, "log");
    BOOST_TEST(this->version() == 8U);
}

// Guards against unbounded memory use by records that can't be applied yet.
BOOST_FIXTURE_TEST_CASE(buffered_changes_are_bounded, replica_fixture)
{
    constexpr std::uint64_t end_offset = 1000;
    constexpr std::size_t max_bytes = 300U << 10U;
    for (std::uint64_t offset = 2; offset < end_offset; ++offset)
    {
        log_record record = delta(offset, 8, 9);
        record.body += std::string(1024, ' ');
        this->receive(record);
        this->receive(record);
    }
    std::size_t bytes = 0;
    for (const auto& [offset, entry] : this->self.config_replica.out_of_order_records)
    {
        bytes += entry.record.body.size();
    }
    BOOST_TEST(bytes > 0U);
    BOOST_TEST(bytes <= max_bytes);
    BOOST_TEST(bytes == this->self.config_replica.out_of_order_bytes);
}

// Guards against log readers that load a snapshot after the log dropped records and don't advertise
// it: the others learnt of it by chance, or read the log when their state was 6 s old.
BOOST_AUTO_TEST_CASE(log_readers_broadcast_that_they_loaded_a_snapshot)
{
    const event_loop_ptr loop = make_event_loop();
    config_state state;
    fold_record(state, {.offset = 0, .body = "", .decoded_config = make_config(1, 1)});
    int readers = 0;
    for (const char* id : {"a", "b", "c"})
    {
        node self;
        self.loop = loop.get();
        self.config.id = id;
        self.config.domain = "north";
        self.config.log_readers = 2;
        self.config.log_push_records = false;
        self.members.self_id = id;
        for (const char* member : {"a", "b", "c"})
        {
            self.members.members[member].record = {.id = member, .domain = "north"};
        }
        BOOST_TEST(adopt_snapshot(self, make_snapshot(state), "log"));
        BOOST_TEST(self.pending.freshness == is_log_reader(self));
        BOOST_TEST(self.pending.unpushed == is_log_reader(self));
        BOOST_TEST(self.pending.scheduled == is_log_reader(self));
        readers += is_log_reader(self) ? 1 : 0;
    }
    BOOST_TEST(readers == 2);
}

// Guards against a change of hundreds of routes for which each daemon reads and decodes the whole
// configuration: the last daemons then had it 1.7 to 2.2 s after the first.
BOOST_AUTO_TEST_CASE(large_change_is_broadcast_by_log_readers)
{
    constexpr int added = 800;
    std::mt19937_64 random{5};
    const event_loop_ptr loop = make_event_loop();
    node self;
    self.loop = loop.get();
    self.config.id = "a";
    self.config.domain = "north";
    self.config.log_readers = 1;
    self.config.log_push_records = false;
    self.members.self_id = "a";
    self.members.members["a"].record = {.id = "a", .domain = "north"};
    self.members.members["b"].record = {.id = "b", .domain = "north"};
    const log_record first{.offset = 0, .body = "", .decoded_config = make_config(1, 1)};
    apply_records(self, {&first, 1}, "peer");
    whole_config next = make_config(2, 1);
    for (int i = 0; i < added; ++i)
    {
        const std::string name = std::to_string(random());
        next.routes[name] = {
            .name = name, .prefix = "/" + name + "/", .service = "board", .split = {}};
    }
    const log_record large{.offset = 1, .body = "", .decoded_config = next};
    apply_records(self, {&large, 1}, "log");
    BOOST_TEST_REQUIRE(self.pending.scheduled == is_log_reader(self));
    BOOST_TEST(self.pending.records.size() == 1U);
    BOOST_TEST(!self.pending.unpushed);
}

// Guards against a version that decreases, for random sequences of records and snapshots from the
// log and from peers.
BOOST_AUTO_TEST_CASE(version_never_decreases)
{
    constexpr int runs = 200;
    constexpr int steps = 60;
    constexpr std::uint64_t versions = 20;
    std::mt19937_64 random{7};
    const auto random_between = [&](std::uint64_t min, std::uint64_t max)
    {
        return std::uniform_int_distribution<std::uint64_t>(min, max)(random);
    };
    for (int run = 0; run < runs; ++run)
    {
        replica_fixture node;
        std::uint64_t version = node.version();
        for (int step = 0; step < steps; ++step)
        {
            const std::uint64_t offset = random_between(0, versions);
            const int routes = static_cast<int>(random_between(1, 5));
            config_state state;
            switch (random_between(0, 3))
            {
            case 0:
                node.receive({.offset = offset,
                              .body = "",
                              .decoded_config = make_config(random_between(0, versions), 2)},
                             "log");
                break;
            case 1:
                node.receive(replica_fixture::delta(offset, routes, routes + 1));
                break;
            case 2:
                node.receive({.offset = offset, .body = R"({"kind":"foreign"})"});
                break;
            default:
                fold_record(state, {.offset = 0,
                                    .decoded_config = make_config(random_between(0, versions), 3)});
                state.next_offset = offset;
                adopt_snapshot(node.self, make_snapshot(state), "peer");
            }
            BOOST_REQUIRE_GE(node.version(), version);
            version = node.version();
        }
    }
}

// Guards against daemons that pass over an evacuation when a newer whole configuration replaces the
// records before it, and against an evacuation that daemons without the store hear of late.
BOOST_AUTO_TEST_CASE(evacuations_are_pushed_and_not_superseded)
{
    const event_loop_ptr loop = make_event_loop();
    node self;
    self.loop = loop.get();
    self.config.domain = "north";
    self.config.log_readers = 2;
    self.config.log_push_records = false;
    for (const char* member : {"a", "b", "c"})
    {
        self.members.members[member].record = {.id = member, .domain = "north"};
    }
    const std::vector<log_record> records{
        {.offset = 0, .decoded_config = make_config(1, 1)},
        {.offset = 1, .body = dump_evacuation({.locality = "zone-a", .active = true})},
        {.offset = 2, .decoded_config = make_config(2, 1)}};
    for (const char* id : {"a", "b", "c"})
    {
        self.config.id = id;
        self.members.self_id = id;
        if (is_log_reader(self))
        {
            break;
        }
    }
    apply_records(self, records, "log");
    const replica& config = self.config_replica;
    BOOST_TEST(config.state.evacuated.contains("zone-a"));
    BOOST_REQUIRE(config.superseded);
    BOOST_TEST(config.superseded->from == 2U);
    BOOST_TEST(self.pending.records.size() == records.size());
    BOOST_TEST(!self.pending.unpushed);
    BOOST_REQUIRE(!config.recent.empty());
    BOOST_TEST(config.recent[1].body == records[1].body);
}
