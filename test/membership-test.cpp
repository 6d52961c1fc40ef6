#define BOOST_TEST_MODULE membership
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "sardinepoint/membership.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <ostream>
#include <set>

using namespace sardinepoint;
namespace data = boost::unit_test::data;
using nlohmann::json;

namespace
{

constexpr std::uint64_t seed = 20261204;

std::string name_of(std::size_t index)
{
    return "vm-" + std::to_string(index);
}

member_record make_record(std::string id, member_state state = member_state::alive,
                          std::uint64_t incarnation = 1, std::uint64_t sequence = 1)
{
    return {.id = std::move(id),
            .incarnation = incarnation,
            .sequence = sequence,
            .domain = "rakvere",
            .region = "ee-north",
            .address = "10.0.0.1",
            .data_port = 7000,
            .control_port = 7001,
            .state = state};
}

upstream_record make_upstream(std::string version, upstream_state state = upstream_state::up)
{
    return {.service = "duty",
            .version = std::move(version),
            .address = "10.0.0.1",
            .port = 8000,
            .slots = 15,
            .connections = 130,
            .state = state};
}

member_table make_table(std::string id)
{
    member_table table{.self_id = id};
    publish_self(table, make_record(std::move(id)), 0);
    return table;
}

std::string dump(const member_table& table)
{
    json members = json::array();
    for (const auto& [id, entry] : table.members)
    {
        members.push_back(to_json(entry.record));
    }
    return members.dump();
}

std::vector<std::string> make_names(std::size_t count)
{
    std::vector<std::string> names;
    for (std::size_t i = 0; i < count; ++i)
    {
        names.push_back(name_of(i));
    }
    return names;
}

std::vector<std::string_view> views_of(const std::vector<std::string>& names)
{
    return {names.begin(), names.end()};
}

} // namespace

BOOST_AUTO_TEST_SUITE(merging)

struct order_case
{
    const char* name;
    member_record held;
    member_record received;
    bool replaced;
};

std::ostream& operator<<(std::ostream& out, const order_case& item)
{
    return out << item.name;
}

const order_case order_cases[] = {
    {"higher incarnation beats death", make_record("b", member_state::dead, 1, 9),
     make_record("b", member_state::alive, 2, 1), true},
    {"higher sequence beats death", make_record("b", member_state::dead, 1, 1),
     make_record("b", member_state::alive, 1, 2), true},
    {"suspect after alive", make_record("b"), make_record("b", member_state::suspect), true},
    {"leaving after suspect", make_record("b", member_state::suspect),
     make_record("b", member_state::leaving), true},
    {"dead after leaving", make_record("b", member_state::leaving),
     make_record("b", member_state::dead), true},
    {"alive does not undo suspicion", make_record("b", member_state::suspect), make_record("b"),
     false},
    {"lower incarnation is ignored", make_record("b", member_state::alive, 2, 1),
     make_record("b", member_state::dead, 1, 9), false},
    {"equal record is ignored", make_record("b"), make_record("b"), false},
};

// Guards against a record that is replaced by one with a lower version or, at the same version, a
// lower state.
BOOST_DATA_TEST_CASE(versions_are_ordered, data::make(order_cases))
{
    member_table table = make_table("a");
    merge_member(table, sample.held, 1);
    const merge_result result = merge_member(table, sample.received, 2);
    BOOST_TEST(result.changed == sample.replaced);
    const member_record& expected = sample.replaced ? sample.received : sample.held;
    BOOST_TEST(to_json(find_member(table, "b")->record) == to_json(expected));
}

// Guards against merges whose result depends on the order or number of deliveries.
BOOST_AUTO_TEST_CASE(any_delivery_order_gives_the_same_table)
{
    BOOST_TEST_MESSAGE("seed " << seed);
    std::mt19937_64 rng{seed};
    for (int round = 0; round < 200; ++round)
    {
        std::vector<member_record> records;
        records.reserve(80);
        for (int i = 0; i < 40; ++i)
        {
            records.push_back(make_record(name_of(rng() % 6), static_cast<member_state>(rng() % 4),
                                          1 + rng() % 3, 1 + rng() % 3));
        }
        member_table first = make_table("self");
        member_table second = make_table("self");
        for (const member_record& record : records)
        {
            merge_member(first, record, 1);
        }
        const std::vector<member_record> repeated = records;
        records.insert(records.end(), repeated.begin(), repeated.end());
        std::shuffle(records.begin(), records.end(), rng);
        for (const member_record& record : records)
        {
            merge_member(second, record, 1);
        }
        BOOST_TEST_REQUIRE(dump(first) == dump(second));
        BOOST_TEST_REQUIRE(make_digest(first).root == make_digest(second).root);
    }
}

struct refutation_case
{
    const char* name;
    member_record claim;
    bool due;
};

std::ostream& operator<<(std::ostream& out, const refutation_case& item)
{
    return out << item.name;
}

const refutation_case refutation_cases[] = {
    {"suspicion", make_record("a", member_state::suspect, 1, 1), true},
    {"death", make_record("a", member_state::dead, 1, 1), true},
    {"death at a higher sequence", make_record("a", member_state::dead, 1, 8), true},
    {"higher incarnation after the clock was set back", make_record("a", member_state::dead, 7, 3),
     true},
    {"death of the previous incarnation", make_record("a", member_state::dead, 0, 9), false},
};

// Guards against a daemon that accepts a claim of its own death, and against a refutation that
// peers ignore.
BOOST_DATA_TEST_CASE(false_claims_are_refuted, data::make(refutation_cases))
{
    member_table own = make_table("a");
    const merge_result result = merge_member(own, sample.claim, 5);
    BOOST_TEST(!result.changed);
    BOOST_TEST(result.refutation_due == sample.due);
    BOOST_TEST(is_alive(*find_member(own, "a")));
    if (!sample.due)
    {
        return;
    }
    member_table peer = make_table("b");
    merge_member(peer, sample.claim, 5);
    BOOST_TEST(merge_member(peer, refute(own, 6), 7).changed);
    BOOST_TEST(is_alive(*find_member(peer, "a")));
    BOOST_TEST(!merge_member(own, sample.claim, 8).refutation_due);
}

// Guards against usage limits that count a daemon that has left as one that may be cut off.
BOOST_AUTO_TEST_CASE(departure_is_remembered_until_the_next_incarnation)
{
    member_table table{.self_id = "a"};
    member_record record = make_record("b");
    merge_member(table, record, 1);
    BOOST_TEST(find_member(table, "b")->left_at == 0);
    record.state = member_state::leaving;
    merge_member(table, record, 2);
    record.state = member_state::dead;
    merge_member(table, record, 3);
    BOOST_TEST(find_member(table, "b")->left_at == 2);
    ++record.incarnation;
    record.state = member_state::alive;
    merge_member(table, record, 4);
    BOOST_TEST(find_member(table, "b")->left_at == 0);
    record.state = member_state::dead;
    merge_member(table, record, 5);
    BOOST_TEST(find_member(table, "b")->left_at == 0);
}

// Guards against a first own record that peers ignore because a claim with a higher version arrived
// before it was published.
BOOST_AUTO_TEST_CASE(claims_before_the_first_record_are_exceeded)
{
    member_table table{.self_id = "a"};
    BOOST_TEST(!merge_member(table, make_record("a", member_state::dead, 4, 2), 0).changed);
    BOOST_TEST(find_member(table, "a") == nullptr);
    BOOST_TEST(publish_self(table, make_record("a"), 1).incarnation == 5u);
}

// Guards against a dropped tombstone that a peer brings back, and against a paused daemon that can
// never rejoin after its tombstone expired.
BOOST_AUTO_TEST_CASE(dropped_tombstones_do_not_come_back)
{
    member_table table = make_table("a");
    merge_member(table, make_record("b", member_state::dead, 3, 5), 1000);
    const time_ms end = 1000 + table.options.tombstone_retention_ms;
    drop_expired(table, end - 1);
    BOOST_TEST(find_member(table, "b") != nullptr);
    drop_expired(table, end);
    BOOST_TEST(find_member(table, "b") == nullptr);
    BOOST_TEST(make_digest(table).root == make_digest(make_table("a")).root);

    const merge_result old = merge_member(table, make_record("b", member_state::alive, 3, 5), end);
    BOOST_TEST(!old.changed);
    BOOST_TEST(old.sender_stale);
    BOOST_TEST(!merge_member(table, make_record("b", member_state::dead, 3, 5), end).changed);
    const expired_tombstone& expired = table.expired_tombstones.at("b");
    const member_record tombstone{.id = "b",
                                  .incarnation = expired.incarnation,
                                  .sequence = expired.sequence,
                                  .state = member_state::dead};
    member_table peer = make_table("c");
    merge_member(peer, make_record("b", member_state::alive, 3, 5), end);
    BOOST_TEST(merge_member(peer, tombstone, end).changed);

    BOOST_TEST(merge_member(table, make_record("b", member_state::alive, 3, 6), end).changed);
    drop_expired(table, end + table.options.expired_tombstone_retention_ms);
    BOOST_TEST(table.expired_tombstones.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(anti_entropy)

// Guards against records that a digest exchange misses, and against needless transfers.
BOOST_AUTO_TEST_CASE(digest_exchange_repairs_any_difference)
{
    BOOST_TEST_MESSAGE("seed " << seed);
    std::mt19937_64 rng{seed};
    for (std::size_t missing = 0; missing <= 20; ++missing)
    {
        member_table full = make_table("self");
        member_table partial = make_table("self");
        for (std::size_t i = 0; i < 650; ++i)
        {
            const member_record record = make_record(name_of(i));
            merge_member(full, record, 1);
            if (i >= missing)
            {
                merge_member(partial, record, 1);
            }
        }
        const auto buckets = differing_buckets(make_digest(full), make_digest(partial));
        BOOST_TEST(buckets.size() <= missing);
        for (const member_record* record : records_in_buckets(full, buckets))
        {
            merge_member(partial, *record, 2);
        }
        BOOST_TEST(differing_buckets(make_digest(full), make_digest(partial)).empty());
        BOOST_TEST(dump(full) == dump(partial));
    }
}

// Guards against differences that are missed because a digest holds only half the bits of a bucket.
BOOST_AUTO_TEST_CASE(differing_roots_with_equal_buckets_select_all)
{
    member_digest left = make_digest(make_table("a"));
    member_digest right = left;
    right.root ^= 1;
    BOOST_TEST(differing_buckets(left, right).size() == digest_buckets);
    right.buckets.clear();
    BOOST_TEST(differing_buckets(left, right).size() == digest_buckets);
}

// Guards against members with which digests are never exchanged: those of other domains, and those
// declared dead in a partition.
BOOST_AUTO_TEST_CASE(sync_peers_are_mostly_local)
{
    BOOST_TEST_MESSAGE("seed " << seed);
    std::mt19937_64 rng{seed};
    member_table table = make_table("self");
    BOOST_TEST(!random_sync_peer(table, rng).has_value());
    merge_member(table, make_record("local"), 1);
    merge_member(table, make_record("dead", member_state::dead), 1);
    merge_member(table, make_record("leaving", member_state::leaving), 1);
    member_record remote = make_record("remote");
    remote.domain = "tallinn-a";
    merge_member(table, remote, 1);
    std::map<std::string, int> counts;
    for (int i = 0; i < 10000; ++i)
    {
        ++counts[random_sync_peer(table, rng).value()];
    }
    BOOST_TEST(counts["local"] > 8000);
    BOOST_TEST(counts["remote"] > 500);
    BOOST_TEST(counts["dead"] > 200);
    BOOST_TEST(counts.size() == 3u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(placement)

// Guards against hash values that differ between machines or releases.
BOOST_AUTO_TEST_CASE(hash_values_are_fixed)
{
    BOOST_TEST(detail::hash_of("") == 0x2d06800538d394c2u);
    const std::vector<std::string> names = make_names(6);
    const auto picked = rendezvous_pick(views_of(names), "fetcher", 2);
    BOOST_TEST_REQUIRE(picked.size() == 2u);
    BOOST_TEST(picked[0] == "vm-2");
    BOOST_TEST(picked[1] == "vm-4");
}

// Guards against roles that move although their holder is still a candidate, and against uneven
// load.
BOOST_AUTO_TEST_CASE(rendezvous_moves_only_what_it_must)
{
    const std::vector<std::string> names = make_names(20);
    const std::vector<std::string_view> all = views_of(names);
    std::map<std::string_view, int> load;
    for (int key = 0; key < 2000; ++key)
    {
        const std::string text = "move-" + std::to_string(key);
        const auto picked = rendezvous_pick(all, text, 2);
        BOOST_TEST_REQUIRE(picked.size() == 2u);
        ++load[picked[0]];
        std::vector<std::string_view> fewer = all;
        std::erase(fewer, all[static_cast<std::size_t>(key) % all.size()]);
        const auto again = rendezvous_pick(fewer, text, 2);
        for (const std::string_view id : picked)
        {
            const bool kept = std::find(again.begin(), again.end(), id) != again.end();
            const bool removed = id == all[static_cast<std::size_t>(key) % all.size()];
            BOOST_TEST_REQUIRE(kept != removed);
        }
    }
    for (const auto& [id, count] : load)
    {
        BOOST_TEST(count > 50);
        BOOST_TEST(count < 150);
    }
    BOOST_TEST(rendezvous_pick(all, "k", 50).size() == 20u);
}

// Guards against members that a broadcast reaches twice or never, and against deep trees.
BOOST_AUTO_TEST_CASE(tree_reaches_each_member_once)
{
    BOOST_TEST_MESSAGE("seed " << seed);
    std::mt19937_64 rng{seed};
    for (int round = 0; round < 30; ++round)
    {
        const std::size_t size = round == 0 ? 1 : 1 + rng() % 700;
        const std::size_t fan_out = 2 + rng() % 4;
        const std::vector<std::string> names = make_names(size);
        const std::vector<std::string_view> members = views_of(names);
        const std::string_view root = members[rng() % size];
        std::map<std::string_view, int> depth{{root, 0}};
        std::vector<std::string_view> queue{root};
        for (std::size_t i = 0; i < queue.size(); ++i)
        {
            for (const std::string_view child : tree_children(members, root, queue[i], fan_out))
            {
                BOOST_TEST_REQUIRE(depth.emplace(child, depth[queue[i]] + 1).second);
                queue.push_back(child);
            }
        }
        BOOST_TEST(queue.size() == size);
        const double limit =
            std::ceil(std::log(static_cast<double>(size) * static_cast<double>(fan_out - 1) + 1) /
                      std::log(static_cast<double>(fan_out)));
        BOOST_TEST(depth[queue.back()] <= static_cast<int>(limit));
        BOOST_TEST(tree_children(members, root, "unknown", fan_out).empty());
    }
}

// Guards against trees that share their interior nodes, so that one failure would interrupt both.
BOOST_AUTO_TEST_CASE(two_roots_share_interior_nodes_only_by_chance)
{
    constexpr std::size_t size = 650;
    constexpr std::size_t fan_out = 4;
    const std::vector<std::string> names = make_names(size);
    const std::vector<std::string_view> members = views_of(names);
    const auto interior = [&](std::string_view root)
    {
        std::set<std::string_view> ids;
        const auto order = tree_order(members, root);
        for (std::size_t i = 0; fan_out * i + 1 < order.size(); ++i)
        {
            ids.insert(order[i]);
        }
        return ids;
    };
    double shared = 0;
    double expected = 0;
    for (std::size_t pair = 0; pair < 50; ++pair)
    {
        const auto left = interior(members[2 * pair]);
        const auto right = interior(members[2 * pair + 1]);
        shared += static_cast<double>(std::count_if(
            left.begin(), left.end(), [&](std::string_view id) { return right.contains(id); }));
        expected += static_cast<double>(left.size() * right.size()) / size;
    }
    BOOST_TEST_MESSAGE("shared interior nodes: " << shared / 50 << ", by chance " << expected / 50);
    BOOST_TEST(shared > 0.9 * expected);
    BOOST_TEST(shared < 1.1 * expected);
}

// Guards against members and upstreams that are leaving, but still receive calls or are counted in
// the summary.
BOOST_AUTO_TEST_CASE(only_live_members_and_upstreams_count)
{
    member_table table = make_table("self");
    for (std::size_t i = 0; i < 10; ++i)
    {
        member_record record = make_record(name_of(i), static_cast<member_state>(i % 4));
        record.address = "10.0.0." + std::to_string(i);
        record.upstreams = {make_upstream("v1"), make_upstream("v2", upstream_state::draining),
                            make_upstream("v3", upstream_state::left), make_upstream("v1")};
        merge_member(table, record, 1);
    }
    // Alive: 0, 4, 8; suspect: 1, 5, 9.
    BOOST_TEST(alive_ids(table, "rakvere").size() == 4u);
    BOOST_TEST(available_ids(table, "rakvere").size() == 7u);
    BOOST_TEST(available_upstreams(table, "duty", "v1", "rakvere").size() == 12u);
    BOOST_TEST(available_upstreams(table, "duty", "v2", "rakvere").empty());
    BOOST_TEST(available_upstreams(table, "duty", "v3", "rakvere").empty());
    BOOST_TEST(available_upstreams(table, "duty", "v1", "tallinn-a").empty());

    const domain_summary summary = summarise_domain(table, "rakvere");
    BOOST_TEST_REQUIRE(summary.services.size() == 1u);
    BOOST_TEST(summary.services[0].version == "v1");
    BOOST_TEST(summary.services[0].upstreams == 12);
    BOOST_TEST(summary.services[0].slots == 12 * 15);
    const std::vector<std::string>& daemons = summary.services[0].daemons;
    BOOST_TEST(std::set<std::string>(daemons.begin(), daemons.end()).size() == 4u);
    BOOST_TEST(daemons[0].ends_with(":7000"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(codecs)

// Guards against fields that are lost in serialisation.
BOOST_AUTO_TEST_CASE(values_survive_a_round_trip)
{
    error reason;
    member_record record = make_record("a", member_state::leaving, 1796361798000, 12);
    record.served_offset = 1234567;
    record.served_version = 890;
    record.upstreams = {make_upstream("v1"), make_upstream("v2", upstream_state::left)};
    record.upstreams[1].address = "10.0.0.2";
    const auto parsed = parse_member_record(json::parse(to_json(record).dump()), reason);
    BOOST_TEST_REQUIRE(parsed.has_value(), reason.message);
    BOOST_TEST(to_json(*parsed) == to_json(record));
    BOOST_TEST(parsed->upstreams[0].address == "10.0.0.1");
    BOOST_TEST(parsed->upstreams[1].address == "10.0.0.2");
    BOOST_TEST((parsed->upstreams[1].state == upstream_state::left));
    BOOST_TEST((parsed->state == member_state::leaving));
    BOOST_TEST(parsed->control_port == 7001);

    member_table table = make_table("self");
    merge_member(table, record, 1);
    const member_digest digest = make_digest(table);
    const auto full = parse_member_digest(to_json(digest, true), reason);
    BOOST_TEST_REQUIRE(full.has_value(), reason.message);
    BOOST_TEST(full->root == digest.root);
    BOOST_TEST(full->buckets == digest.buckets);
    BOOST_TEST(parse_member_digest(to_json(digest, false), reason)->buckets.empty());

    record.state = member_state::alive;
    record.sequence = 13;
    merge_member(table, record, 1);
    const json summary = to_json(summarise_domain(table, "rakvere"));
    BOOST_TEST_REQUIRE(summary.at("s").size() == 1u);
    const auto parsed_summary = parse_domain_summary(summary, reason);
    BOOST_TEST_REQUIRE(parsed_summary.has_value(), reason.message);
    BOOST_TEST(to_json(*parsed_summary) == summary);

    const member_record tombstone{.id = "b", .incarnation = 1, .state = member_state::dead};
    BOOST_TEST(parse_member_record(to_json(tombstone), reason).has_value());
}

const char* const malformed_members[] = {
    R"([])",
    R"("a")",
    R"({"n":1,"d":"x","a":"y"})",
    R"({"i":"","n":1,"d":"x","a":"y"})",
    R"({"i":1,"d":"x","a":"y"})",
    R"({"i":"a","n":-1,"d":"x","a":"y"})",
    R"({"i":"a","n":1.5,"d":"x","a":"y"})",
    R"({"i":"a","n":"1","d":"x","a":"y"})",
    R"({"i":"a","n":1,"d":"x","a":"y","p":65536})",
    R"({"i":"a","n":1,"d":"x","a":"y","s":4})",
    R"({"i":"a","n":1,"a":"y"})",
    R"({"i":"a","n":1,"d":"x"})",
    R"({"i":"a","n":1,"d":"x","a":"y","u":{}})",
    R"({"i":"a","n":1,"d":"x","a":"y","u":[1]})",
    R"({"i":"a","n":1,"d":"x","a":"y","u":[{"s":"d"}]})",
    R"({"i":"a","n":1,"d":"x","a":"y","u":[{"s":"d","v":"1","t":3}]})",
    R"({"i":"a","n":1,"d":"x","a":"y","u":[{"s":"d","v":"1","n":2147483648}]})",
};

// Guards against malformed records from a peer that are accepted in whole or in part.
BOOST_DATA_TEST_CASE(malformed_members_are_rejected, data::make(malformed_members))
{
    error reason;
    BOOST_TEST(!parse_member_record(json::parse(sample), reason).has_value());
    BOOST_TEST((reason.kind == error_kind::invalid_argument));
    BOOST_TEST(!reason.message.empty());
    BOOST_TEST(!reason.remedy.empty());
}

const char* const malformed_digests[] = {
    R"(1)",
    R"({})",
    R"({"r":"12"})",
    R"({"r":"000000000000000g"})",
    R"({"r":"0000000000000000","b":"00"})",
    R"({"r":"0000000000000000","b":[]})",
};

// Guards against malformed digests from a peer that are accepted.
BOOST_DATA_TEST_CASE(malformed_digests_are_rejected, data::make(malformed_digests))
{
    error reason;
    BOOST_TEST(!parse_member_digest(json::parse(sample), reason).has_value());
    BOOST_TEST(!reason.message.empty());
}

const char* const malformed_summaries[] = {
    R"(null)",
    R"({"s":[]})",
    R"({"d":"x","s":1})",
    R"({"d":"x","s":[1]})",
    R"({"d":"x","s":[{"s":"a"}]})",
    R"({"d":"x","s":[{"s":"a","v":"1","a":[1]}]})",
    R"({"d":"x","s":[{"s":"a","v":"1","n":-1}]})",
};

// Guards against malformed domain summaries from a peer that are accepted.
BOOST_DATA_TEST_CASE(malformed_summaries_are_rejected, data::make(malformed_summaries))
{
    error reason;
    BOOST_TEST(!parse_domain_summary(json::parse(sample), reason).has_value());
    BOOST_TEST(!reason.message.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(failure_detection)

struct node
{
    member_table table;
    failure_detector detector;
    bool dead = false;
    time_ms paused_until = 0;
    time_ms next_tick = 0;
    time_ms next_sync = 0;
    int suspicions = 0;
    int deaths = 0;
};

/** Simulates the daemons of one domain. Messages arrive without delay. */
struct domain_simulation
{
    std::vector<node> nodes;
    std::mt19937_64 rng;
    time_ms now = 0;
    /** Nodes that can exchange messages with each other, but not with the rest. */
    std::set<std::size_t> cut_off;
    /** Links on which direct probes are lost. */
    std::set<std::pair<std::size_t, std::size_t>> lossy_links;
    std::uint64_t probes = 0;

    domain_simulation(std::size_t size, std::uint64_t simulation_seed) : rng{simulation_seed}
    {
        for (std::size_t i = 0; i < size; ++i)
        {
            node item{.table = make_table(name_of(i))};
            item.next_tick = static_cast<time_ms>(this->rng() % 500);
            item.next_sync = static_cast<time_ms>(this->rng() % 1000);
            this->nodes.push_back(std::move(item));
        }
        for (node& item : this->nodes)
        {
            for (std::size_t i = 0; i < size; ++i)
            {
                merge_member(item.table, this->nodes[i].table.members.at(name_of(i)).record, 0);
            }
        }
    }

    static std::size_t index_of(std::string_view id)
    {
        return std::stoul(std::string{id.substr(3)});
    }

    bool responds(std::size_t index) const
    {
        return !this->nodes[index].dead && this->nodes[index].paused_until <= this->now;
    }

    bool reaches(std::size_t from, std::size_t to) const
    {
        return this->responds(to) && this->cut_off.contains(from) == this->cut_off.contains(to);
    }

    void deliver(std::size_t to, const member_record& record)
    {
        if (merge_member(this->nodes[to].table, record, this->now).refutation_due)
        {
            this->broadcast(to, member_record{refute(this->nodes[to].table, this->now)});
        }
    }

    /** `record` must not refer into a table, because refutations change the tables meanwhile. */
    void broadcast(std::size_t from, const member_record& record)
    {
        for (std::size_t to = 0; to < this->nodes.size(); ++to)
        {
            if (to != from && this->reaches(from, to))
            {
                record_peer_contact(this->nodes[to].detector, this->nodes[to].table, name_of(from),
                                    this->now);
                this->deliver(to, record);
            }
        }
    }

    bool probe(std::size_t from, std::size_t to)
    {
        ++this->probes;
        if (!this->reaches(from, to) || this->lossy_links.contains({from, to}))
        {
            return false;
        }
        record_peer_contact(this->nodes[to].detector, this->nodes[to].table, name_of(from),
                            this->now);
        return true;
    }

    void on_response(std::size_t from, const std::string& target, const std::string& via)
    {
        node& item = this->nodes[from];
        if (handle_probe_response(item.detector, item.table, target, via, this->now))
        {
            const member_record claim = find_member(item.table, target)->record;
            this->deliver(index_of(target), claim);
        }
    }

    void execute_action(std::size_t from, const detector_action& action)
    {
        node& item = this->nodes[from];
        switch (action.kind)
        {
        case detector_action_kind::send_probe:
            if (this->probe(from, index_of(action.target)))
            {
                this->on_response(from, action.target, "");
            }
            return;
        case detector_action_kind::send_indirect_probe:
            if (!this->probe(from, index_of(action.via)))
            {
                return;
            }
            if (this->probe(index_of(action.via), index_of(action.target)))
            {
                this->on_response(from, action.target, action.via);
                return;
            }
            record_peer_contact(item.detector, item.table, action.via, this->now);
            return;
        case detector_action_kind::announce_self:
            this->broadcast(from, member_record{refute(item.table, this->now)});
            return;
        default:
            break;
        }
        item.suspicions += action.kind == detector_action_kind::mark_suspect ? 1 : 0;
        item.deaths += action.kind == detector_action_kind::mark_dead ? 1 : 0;
        if (const member_record* record = apply_action(item.table, action, this->now))
        {
            this->broadcast(from, member_record{*record});
        }
    }

    void exchange(std::size_t from)
    {
        const auto peer = random_sync_peer(this->nodes[from].table, this->rng);
        if (!peer || !this->reaches(from, index_of(*peer)))
        {
            return;
        }
        const std::size_t to = index_of(*peer);
        record_peer_contact(this->nodes[from].detector, this->nodes[from].table, *peer, this->now);
        record_peer_contact(this->nodes[to].detector, this->nodes[to].table, name_of(from),
                            this->now);
        const auto buckets = differing_buckets(make_digest(this->nodes[from].table),
                                               make_digest(this->nodes[to].table));
        this->send_records(from, to, buckets);
        this->send_records(to, from, buckets);
    }

    void send_records(std::size_t from, std::size_t to, std::span<const std::size_t> buckets)
    {
        std::vector<member_record> copies;
        for (const member_record* record : records_in_buckets(this->nodes[from].table, buckets))
        {
            copies.push_back(*record);
        }
        for (const member_record& record : copies)
        {
            this->deliver(to, record);
        }
    }

    void step()
    {
        this->now += 10;
        for (std::size_t i = 0; i < this->nodes.size(); ++i)
        {
            node& item = this->nodes[i];
            if (!this->responds(i) || item.next_tick > this->now)
            {
                continue;
            }
            item.next_tick = this->now + item.detector.options.tick_ms;
            for (const detector_action& action :
                 detector_tick(item.detector, item.table, this->now, this->rng))
            {
                this->execute_action(i, action);
            }
            if (item.next_sync <= this->now)
            {
                item.next_sync = this->now + 1000;
                this->exchange(i);
            }
        }
    }

    void run_for(time_ms duration)
    {
        const time_ms end = this->now + duration;
        while (this->now < end)
        {
            this->step();
        }
    }

    /** Whether every responding node that is not cut off holds exactly the dead nodes as dead. */
    bool views_are_correct() const
    {
        for (std::size_t i = 0; i < this->nodes.size(); ++i)
        {
            if (!this->responds(i) || this->cut_off.contains(i))
            {
                continue;
            }
            for (std::size_t j = 0; j < this->nodes.size(); ++j)
            {
                const member_entry& entry = *find_member(this->nodes[i].table, name_of(j));
                if (this->nodes[j].dead != (entry.record.state == member_state::dead) ||
                    (!this->nodes[j].dead && !is_alive(entry)))
                {
                    return false;
                }
            }
        }
        return true;
    }

    int suspicions() const
    {
        int sum = 0;
        for (const node& item : this->nodes)
        {
            sum += item.suspicions;
        }
        return sum;
    }

    int deaths() const
    {
        int sum = 0;
        for (const node& item : this->nodes)
        {
            sum += item.deaths;
        }
        return sum;
    }
};

/** Nodes in the order of the probe ring. */
std::vector<std::size_t> ring_of(std::size_t size)
{
    std::vector<std::size_t> ring;
    for (std::size_t i = 0; i < size; ++i)
    {
        ring.push_back(i);
    }
    std::sort(ring.begin(), ring.end(),
              [](std::size_t left, std::size_t right)
              { return detail::hash_of(name_of(left)) < detail::hash_of(name_of(right)); });
    return ring;
}

struct loss_case
{
    const char* name;
    std::size_t size;
    /** Number of members that die at once, `stride` positions apart on the ring. */
    std::size_t dead;
    std::size_t stride;
    time_ms limit_ms;
};

std::ostream& operator<<(std::ostream& out, const loss_case& item)
{
    return out << item.name;
}

// Limit for one dead member: at most 1.5 s until it is probed, 1.6 s of timeouts and one tick, 0.1
// s, for each stage. In longer segments, at most 8 members are probed at a time.
const loss_case loss_cases[] = {
    {"one of three", 3, 1, 1, 3400},
    {"one of twelve", 12, 1, 1, 3400},
    {"one of sixty", 60, 1, 1, 3400},
    {"all targets of a member", 12, 3, 1, 6000},
    {"ring segment of ten (rack)", 60, 10, 1, 12000},
    {"all but two", 12, 10, 1, 12000},
    {"every second member of sixty", 60, 30, 2, 6000},
};

// Guards against dead members that are not detected and live ones that are declared dead.
BOOST_DATA_TEST_CASE(dead_members_are_found, data::make(loss_cases) * data::xrange(20), item, run)
{
    BOOST_TEST_INFO("seed " << seed + static_cast<std::uint64_t>(run));
    domain_simulation simulation{item.size, seed + static_cast<std::uint64_t>(run)};
    simulation.run_for(3000);
    BOOST_TEST_REQUIRE(simulation.suspicions() == 0);
    const std::vector<std::size_t> ring = ring_of(item.size);
    for (std::size_t i = 0; i < item.dead; ++i)
    {
        simulation.nodes[ring[(static_cast<std::size_t>(run) + i * item.stride) % item.size]].dead =
            true;
    }
    const time_ms start = simulation.now;
    while (!simulation.views_are_correct() && simulation.now - start < 2 * item.limit_ms)
    {
        simulation.step();
    }
    BOOST_TEST_MESSAGE(item.name << ": " << simulation.now - start << " ms");
    BOOST_TEST(simulation.now - start <= item.limit_ms);
    simulation.run_for(3000);
    BOOST_TEST(simulation.views_are_correct());
}

struct disturbance_case
{
    const char* name;
    std::size_t size;
    time_ms pause_ms;
    /** Whether direct probes from the predecessor on the ring are lost. */
    bool lossy_link;
    time_ms cut_off_ms;
    /** Whether others may suspect the disturbed node. It must never stay declared dead. */
    bool may_be_suspected;
};

std::ostream& operator<<(std::ostream& out, const disturbance_case& item)
{
    return out << item.name;
}

const disturbance_case disturbance_cases[] = {
    {"short pause", 12, 200, false, 0, false},
    {"pause that ends while suspected", 12, 1300, false, 0, true},
    {"pause that ends after being declared dead", 12, 8000, false, 0, true},
    {"direct probe lost, indirect one arrives", 12, 0, true, 0, false},
    {"cut off for 2 s", 12, 0, false, 2000, true},
    {"cut off for 20 s", 12, 0, false, 20000, true},
    {"pair, one cut off for 20 s", 2, 0, false, 20000, true},
};

// Guards against a daemon that gives false verdicts after it was paused or cut off, and against one
// that never rejoins afterwards.
BOOST_DATA_TEST_CASE(disturbed_member_suspects_nobody,
                     data::make(disturbance_cases) * data::xrange(20), item, run)
{
    BOOST_TEST_INFO("seed " << seed + static_cast<std::uint64_t>(run));
    domain_simulation simulation{item.size, seed + static_cast<std::uint64_t>(run)};
    simulation.run_for(3000);
    const std::size_t disturbed = static_cast<std::size_t>(run) % item.size;
    simulation.nodes[disturbed].paused_until = simulation.now + item.pause_ms;
    if (item.lossy_link)
    {
        const std::vector<std::size_t> ring = ring_of(item.size);
        const auto position = std::find(ring.begin(), ring.end(), disturbed);
        simulation.lossy_links.insert(
            {position == ring.begin() ? ring.back() : *(position - 1), disturbed});
    }
    if (item.cut_off_ms > 0)
    {
        simulation.cut_off.insert(disturbed);
    }
    simulation.run_for(std::max({item.pause_ms, item.cut_off_ms, time_ms{5000}}));
    simulation.cut_off.clear();
    const time_ms healed = simulation.now;
    while (!simulation.views_are_correct() && simulation.now - healed < 120000)
    {
        simulation.step();
    }
    BOOST_TEST_MESSAGE(item.name << ": views agree " << simulation.now - healed
                                 << " ms after the disturbance");
    BOOST_TEST(simulation.views_are_correct());
    BOOST_TEST(simulation.nodes[disturbed].suspicions == 0);
    BOOST_TEST(simulation.nodes[disturbed].deaths == 0);
    if (!item.may_be_suspected)
    {
        BOOST_TEST(simulation.suspicions() == 0);
    }
    simulation.lossy_links.clear();
    simulation.run_for(3000);
    BOOST_TEST(simulation.views_are_correct());
}

// Guards against the only surviving daemon of a domain that keeps sending calls to the others, or
// broadcasts deaths that it cannot confirm.
BOOST_AUTO_TEST_CASE(loss_of_the_whole_domain_is_noticed)
{
    domain_simulation simulation{12, seed};
    simulation.run_for(3000);
    for (std::size_t i = 1; i < 12; ++i)
    {
        simulation.nodes[i].dead = true;
    }
    const time_ms start = simulation.now;
    const node& survivor = simulation.nodes[0];
    while (available_ids(survivor.table, "rakvere").size() > 1 && simulation.now - start < 20000)
    {
        simulation.step();
    }
    BOOST_TEST_MESSAGE("noticed after " << simulation.now - start << " ms");
    BOOST_TEST(simulation.now - start <= 4000);
    BOOST_TEST(survivor.deaths == 0);
    simulation.run_for(10000);
    BOOST_TEST(available_ids(survivor.table, "rakvere").size() == 1u);

    // With replacements as peers, the survivor probes the lost members and declares them dead.
    std::vector<std::size_t> replaced;
    for (std::size_t i = 1; i < 4; ++i)
    {
        node& item = simulation.nodes[i];
        item.dead = false;
        item.table = member_table{.self_id = name_of(i)};
        item.detector = {};
        item.next_tick = simulation.now;
        const member_record record = publish_self(
            item.table, make_record(name_of(i), member_state::alive, 2), simulation.now);
        for (const auto& [id, entry] : survivor.table.members)
        {
            merge_member(item.table, entry.record, simulation.now);
        }
        simulation.broadcast(i, record);
    }
    simulation.run_for(30000);
    BOOST_TEST(simulation.views_are_correct());
}

// Guards against a probe rate per member that grows with the size of the domain.
BOOST_DATA_TEST_CASE(probe_load_is_constant, data::make({12, 60, 200}), size)
{
    domain_simulation simulation{static_cast<std::size_t>(size), seed};
    simulation.run_for(10000);
    const double per_node = static_cast<double>(simulation.probes) / size / 10;
    BOOST_TEST_MESSAGE(size << " members: " << per_node << " probes/s per member");
    BOOST_TEST(per_node <= 2.1);
    BOOST_TEST(per_node >= 1.8);
}

// Guards against verdicts from probes whose responses were delayed by a pause of this daemon, while
// requests from peers queued up, and against a paused daemon that does not announce itself.
BOOST_DATA_TEST_CASE(pause_restarts_probes, data::make({150, 500, 1200, 1700, 5000}), pause_ms)
{
    for (time_ms start = 100; start <= 3000; start += 100)
    {
        std::mt19937_64 rng{seed};
        member_table table = make_table("a");
        for (const char* id : {"b", "c", "d", "e"})
        {
            merge_member(table, make_record(id), 0);
        }
        failure_detector detector;
        time_ms now = 0;
        for (; now < start; now += detector.options.tick_ms)
        {
            // No target responds, so the pause begins in every stage for some value of start.
            record_peer_contact(detector, table, "e", now);
            for (const detector_action& action : detector_tick(detector, table, now, rng))
            {
                apply_action(table, action, now);
            }
        }
        now += pause_ms;
        record_peer_contact(detector, table, "e", now);
        bool announced = false;
        bool verdict_given = false;
        for (const detector_action& action : detector_tick(detector, table, now, rng))
        {
            announced = announced || action.kind == detector_action_kind::announce_self;
            verdict_given = verdict_given || action.kind == detector_action_kind::mark_suspect ||
                            action.kind == detector_action_kind::mark_dead;
        }
        BOOST_TEST(announced == (pause_ms >= 600));
        BOOST_TEST((!verdict_given || pause_ms <= detector.options.pause_slack_ms));
    }
}

// Guards against a suspect that is declared dead although it refuted the suspicion in time.
BOOST_AUTO_TEST_CASE(refutation_ends_the_suspicion)
{
    std::mt19937_64 rng{seed};
    member_table table = make_table("a");
    merge_member(table, make_record("b"), 0);
    merge_member(table, make_record("c"), 0);
    failure_detector detector;
    bool suspected = false;
    time_ms now = 0;
    for (; now < 10000 && !suspected; now += detector.options.tick_ms)
    {
        handle_probe_response(detector, table, "c", "", now);
        for (const detector_action& action : detector_tick(detector, table, now, rng))
        {
            BOOST_TEST((action.kind != detector_action_kind::mark_dead));
            const member_record* record = apply_action(table, action, now);
            suspected = suspected || record != nullptr;
        }
    }
    BOOST_TEST_REQUIRE(suspected);
    BOOST_TEST((find_member(table, "b")->record.state == member_state::suspect));
    merge_member(table, make_record("b", member_state::alive, 1, 2), now);
    const time_ms end = now + detector.options.suspicion_timeout_ms + 200;
    for (; now < end; now += detector.options.tick_ms)
    {
        handle_probe_response(detector, table, "c", "", now);
        for (const detector_action& action : detector_tick(detector, table, now, rng))
        {
            BOOST_TEST((action.kind != detector_action_kind::mark_dead));
        }
    }
    BOOST_TEST(is_alive(*find_member(table, "b")));
}

BOOST_AUTO_TEST_SUITE_END()
