#define BOOST_TEST_MODULE fold
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "sardinepoint/fold.hpp"

#include <algorithm>
#include <ostream>
#include <random>
#include <string>
#include <vector>

using namespace sardinepoint;

namespace
{

const std::string service_ops =
    R"([{"op":"put_service","name":"duty-board","versions":{"v1":100}},
        {"op":"put_route","name":"duty","prefix":"/duty","service":"duty-board"}])";

std::string make_patch(const std::string& id, int base, const std::string& ops)
{
    return R"({"kind":"patch","id":")" + id + R"(","base":)" + std::to_string(base) +
           R"(,"created_ms":1000,"ops":)" + ops + "}";
}

std::string start_move_ops(const std::string& extra)
{
    return R"([{"op":"start_move","id":"m1","service":"duty-board","from":"v1","to":"v2",)" +
           extra + "}]";
}

std::string make_outcome(const std::string& state)
{
    return R"({"kind":"outcome","move":"m1","state":")" + state + R"(","reason":"test"})";
}

fold_result fold_next(config_state& state, const std::string& body)
{
    return fold_record(state, {.offset = state.next_offset, .appended = 1, .body = body});
}

/** State with a service, a route and a running move. */
config_state state_with_move()
{
    config_state state;
    fold_next(state, make_patch("p1", 0, service_ops));
    fold_next(state, make_patch("p2", 1, start_move_ops(R"("deadline_ms":9000)")));
    return state;
}

/** Operations of a patch that must be rejected, and a text that its error must contain. */
struct bad_patch
{
    std::string ops;
    std::string expected_text;
};

std::ostream& operator<<(std::ostream& out, const bad_patch& value)
{
    return out << value.expected_text;
}

const std::vector<bad_patch> bad_patches{
    {R"([])", "'ops'"},
    {R"({})", "'ops'"},
    {R"([{"op":"explode"}])", "explode"},
    {R"([{"op":"put_route","name":"a","prefix":"duty","service":"duty-board"}])", "'prefix'"},
    {R"([{"op":"put_route","name":"a","prefix":"/a","service":"nobody"}])", "nobody"},
    {R"([{"op":"put_route","name":"a","prefix":"/duty","service":"duty-board"}])", "/duty"},
    {R"([{"op":"put_route","name":"a","prefix":"/a","service":"duty-board","colour":1}])",
     "'colour'"},
    {R"([{"op":"put_route","name":"a","prefix":"/a","service":"duty-board","timeout_ms":"5"}])",
     "'timeout_ms'"},
    {R"([{"op":"put_route","name":"a","prefix":"/a","service":"duty-board",)"
     R"("split":[{"service":"duty-board","weight":1},{"service":"nobody","weight":1}]}])",
     "nobody"},
    {R"([{"op":"put_service","name":"x","versions":{"v1":101}}])", "'versions'"},
    {R"([{"op":"put_service","name":"x","versions":{"v1":"all"}}])", "'versions'"},
    {R"([{"op":"put_service","name":"x","versions":{"v1":60,"v2":30}}])", "sum 90"},
    {R"([{"op":"remove_service","name":"nobody"}])", "nobody"},
    {R"([{"op":"remove_service","name":"duty-board"}])", "duty-board"},
    {R"([{"op":"remove_route","name":"nowhere"}])", "nowhere"},
    {R"([{"op":"cancel_move","id":"m9"}])", "m9"},
    {start_move_ops(R"("deadline_ms":500)"), "'deadline_ms'"},
    {start_move_ops(R"("deadline_ms":"soon")"), "'deadline_ms'"},
    {start_move_ops(R"("deadline_ms":9000,"steps":[{"share":5,"start_fraction":0}])"), "'steps'"},
    {start_move_ops(R"("deadline_ms":9000,"steps":[{"share":105,"start_fraction":0}])"), "'share'"},
    {start_move_ops(R"("deadline_ms":9000,"policy":{"hurry":true})"), "'hurry'"},
};

} // namespace

// Guards against an invalid patch that is applied in part and against an error that doesn't name
// the cause.
BOOST_DATA_TEST_CASE(bad_patch_is_rejected_whole, boost::unit_test::data::make(bad_patches), sample)
{
    config_state state;
    fold_next(state, make_patch("p1", 0, service_ops));
    const config_state before = state;
    // A valid operation before the invalid one must not take effect either.
    std::string ops = sample.ops;
    if (ops.size() > 2 && ops.front() == '[')
    {
        ops.insert(1, R"({"op":"put_service","name":"extra","versions":{"v1":100}},)");
    }
    const fold_result result = fold_next(state, make_patch("p2", 1, ops));
    BOOST_TEST((result.kind == fold_kind::patch_rejected || result.kind == fold_kind::malformed));
    BOOST_TEST(result.reason.message.find(sample.expected_text) != std::string::npos,
               result.reason.message);
    BOOST_TEST(!result.reason.remedy.empty());
    BOOST_TEST(state.version == before.version);
    BOOST_TEST(state.services.size() == before.services.size());
    BOOST_TEST(state.next_offset == before.next_offset + 1);
}

// Guards against malformed log records that stop the replay or change the configuration.
BOOST_DATA_TEST_CASE(malformed_record_is_skipped,
                     boost::unit_test::data::make(std::vector<std::string>{
                         "", "null", "[1]", "{", R"({"kind":1})", R"({"kind":"unknown"})",
                         R"({"kind":"patch"})", "\xff\xfe", R"({"kind":"outcome","move":"m1"})"}),
                     body)
{
    config_state state;
    fold_next(state, make_patch("p1", 0, service_ops));
    fold_next(state, body);
    BOOST_TEST(state.version == 1U);
    BOOST_TEST(state.next_offset == 2U);
}

// Guards against rejecting a split route because it has no service of its own.
BOOST_AUTO_TEST_CASE(split_route_needs_no_service_of_its_own)
{
    config_state state;
    fold_next(state, make_patch("p1", 0, service_ops));
    const fold_result result =
        fold_next(state, make_patch("p2", 1,
                                    R"([{"op":"put_route","name":"a","prefix":"/a",)"
                                    R"("split":[{"service":"duty-board","weight":1}]}])"));
    BOOST_TEST((result.kind == fold_kind::patch_accepted), result.reason.message);
}

// Guards against a concurrent patch that overwrites the changes of another one.
BOOST_AUTO_TEST_CASE(second_of_two_racing_patches_is_stale)
{
    config_state state;
    BOOST_TEST(
        (fold_next(state, make_patch("a", 0, service_ops)).kind == fold_kind::patch_accepted));
    const fold_result second = fold_next(state, make_patch("b", 0, service_ops));
    BOOST_TEST((second.reason.kind == error_kind::stale_version));
    BOOST_TEST(state.version == 1U);
}

// Guards against applying a patch twice when it is retried after a lost response to its append.
BOOST_AUTO_TEST_CASE(repeated_patch_id_is_folded_once)
{
    config_state state;
    fold_next(state, make_patch("a", 0, service_ops));
    BOOST_TEST(
        (fold_next(state, make_patch("a", 1, service_ops)).kind == fold_kind::patch_repeated));
    BOOST_TEST(state.version == 1U);
    BOOST_REQUIRE(find_patch_outcome(state, "a") != nullptr);
    BOOST_TEST(find_patch_outcome(state, "a")->version == 1U);
}

// Guards against records that arrive out of order and change the state.
BOOST_AUTO_TEST_CASE(record_out_of_order_changes_nothing)
{
    config_state state;
    fold_next(state, make_patch("a", 0, service_ops));
    const std::string before = dump_state(state);
    for (const std::uint64_t offset : {0ULL, 2ULL})
    {
        BOOST_TEST((fold_record(state, {.offset = offset, .appended = 1, .body = "{}"}).kind ==
                    fold_kind::out_of_order));
    }
    BOOST_TEST(dump_state(state) == before);
}

// Guards against a result that depends on the order in which daemons append a completion and a
// withdrawal of the same move.
BOOST_AUTO_TEST_CASE(withdrawal_wins_over_completion)
{
    for (const bool done_first : {true, false})
    {
        config_state state = state_with_move();
        fold_next(state, make_outcome(done_first ? "done" : "withdrawn"));
        fold_next(state, make_outcome(done_first ? "withdrawn" : "done"));
        BOOST_TEST((state.moves.at("m1").state == move_state::withdrawn));
        BOOST_TEST(state.services.at("duty-board").versions.at("v1") == 100);
    }
}

// Guards against traffic that returns to the old version after a completed move.
BOOST_AUTO_TEST_CASE(completed_move_changes_the_shares)
{
    config_state state = state_with_move();
    BOOST_TEST((fold_next(state, make_outcome("done")).kind == fold_kind::move_ended));
    BOOST_TEST(state.services.at("duty-board").versions.at("v2") == 100);
    BOOST_TEST(!state.services.at("duty-board").versions.contains("v1"));
    // An outcome must not increment the version, which would make pending patches stale.
    BOOST_TEST(state.version == 2U);
}

// Guards against different states on daemons that replay the whole log and on daemons that start
// from a snapshot.
BOOST_AUTO_TEST_CASE(replay_from_any_snapshot_gives_the_same_state)
{
    const unsigned seed = std::random_device{}();
    BOOST_TEST_MESSAGE("seed " << seed);
    std::mt19937 random(seed);
    std::vector<std::string> bodies;
    for (int i = 0; i < 300; ++i)
    {
        const int base = std::uniform_int_distribution<int>(0, 40)(random);
        const std::string id = "p" + std::to_string(random() % 200);
        const std::vector<std::string> choices{
            make_patch(id, base, service_ops), make_patch(id, base, bad_patches[i % 20].ops),
            make_outcome(i % 2 == 0 ? "done" : "withdrawn"),
            make_patch(id, base, start_move_ops(R"("deadline_ms":9000)"))};
        bodies.push_back(choices[random() % choices.size()]);
    }
    config_state full_replay;
    const std::size_t snapshot_index = random() % bodies.size();
    config_state resumed;
    for (std::size_t i = 0; i < bodies.size(); ++i)
    {
        if (i == snapshot_index)
        {
            error reason;
            const auto restored = restore_snapshot(make_snapshot(full_replay), reason);
            BOOST_REQUIRE_MESSAGE(restored, describe(reason));
            resumed = *restored;
        }
        fold_next(full_replay, bodies[i]);
        if (i >= snapshot_index)
        {
            fold_next(resumed, bodies[i]);
        }
    }
    BOOST_TEST(dump_state(full_replay) == dump_state(resumed));
}

// Guards against a daemon that adopts a corrupt snapshot.
BOOST_AUTO_TEST_CASE(damaged_snapshot_is_rejected)
{
    std::string snapshot = make_snapshot(state_with_move());
    const std::size_t position = snapshot.find("duty-board");
    snapshot[position] = 'x';
    error reason;
    BOOST_TEST(!restore_snapshot(snapshot, reason));
    BOOST_TEST(!reason.message.empty());
}

// Guards against a newer order that ends an older move. Daemons may know the end of the older move
// before it is recorded, and a wrong one could leave the service without upstreams.
BOOST_AUTO_TEST_CASE(newer_order_leaves_the_older_move_running)
{
    config_state state;
    std::uint64_t offset = 0;
    for (const char* version : {"v2", "v3"})
    {
        const std::string body = dump_order({.service = "board", .to = version, .duration = 12000});
        BOOST_TEST((fold_record(state, {.offset = offset++, .appended = 1000, .body = body}).kind ==
                    fold_kind::move_ordered));
    }
    BOOST_TEST((state.moves.at("board@0").state == move_state::running));
    BOOST_TEST((state.moves.at("board@1").state == move_state::running));
}

namespace
{

whole_config small_config(std::uint64_t version)
{
    whole_config config{.version = version};
    for (const char* name : {"board", "desk"})
    {
        config.services[name] = {.name = name};
        config.routes[name] = {.name = name, .prefix = "/" + std::string(name), .service = name};
    }
    return config;
}

} // namespace

namespace
{

struct invalid_config
{
    const char* what;
    void (*corrupt)(whole_config&);
};

std::ostream& operator<<(std::ostream& out, const invalid_config& sample)
{
    return out << sample.what;
}

route& first_route(whole_config& config)
{
    return config.routes.begin()->second;
}

const invalid_config invalid_configs[] = {
    {"unknown service",
     [](whole_config& config)
     {
         first_route(config).service = "nowhere";
     }},
    {"unknown service of a split",
     [](whole_config& config)
     {
         first_route(config).split = {{first_route(config).service, 1}, {"nowhere", 1}};
     }},
    {"no weight",
     [](whole_config& config)
     {
         first_route(config).split = {{first_route(config).service, 0}};
     }},
    {"negative weight",
     [](whole_config& config)
     {
         const std::string service = first_route(config).service;
         first_route(config).split = {{service, -1}, {service, 2}};
     }},
    {"bare prefix",
     [](whole_config& config)
     {
         first_route(config).prefix = "board/";
     }},
    {"empty prefix",
     [](whole_config& config)
     {
         first_route(config).prefix = "";
     }},
    {"no timeout",
     [](whole_config& config)
     {
         first_route(config).timeout = 0;
     }},
    {"no services",
     [](whole_config& config)
     {
         config.services.clear();
     }},
};

} // namespace

// Guards against an invalid configuration that is applied, in whole or in part.
BOOST_DATA_TEST_CASE(invalid_configuration_changes_nothing,
                     boost::unit_test::data::make(invalid_configs), sample)
{
    config_state state;
    fold_record(state, {.offset = 0, .decoded_config = small_config(3)});
    BOOST_REQUIRE_EQUAL(state.version, 3U);
    config_state before = state;
    whole_config corrupted = small_config(7);
    sample.corrupt(corrupted);
    const fold_result result = fold_record(state, {.offset = 1, .decoded_config = corrupted});
    BOOST_TEST((result.kind == fold_kind::malformed));
    BOOST_TEST(!result.reason.message.empty());
    before.next_offset = 2;
    BOOST_TEST(dump_state(state) == dump_state(before));
    // A later valid configuration is applied.
    fold_record(state, {.offset = 2, .decoded_config = small_config(9)});
    BOOST_TEST(state.version == 9U);
}

// Guards against daemons with different configurations of the same version, because one received
// it whole and the other as a delta.
BOOST_AUTO_TEST_CASE(delta_gives_the_state_of_the_whole_configuration)
{
    config_state by_whole;
    fold_record(by_whole, {.offset = 0, .decoded_config = small_config(3)});
    config_state by_delta = by_whole;
    whole_config next = small_config(7);
    next.routes.erase("board");
    next.routes["desk"].timeout = 700;
    next.routes["split"] = {
        .name = "split",
        .host = "h.example",
        .prefix = "/split/",
        .split = {{.service = "board", .weight = 1}, {.service = "desk", .weight = 2.5}}};
    next.limits.max_body_bytes = 12345;
    const std::string delta = dump_delta(make_delta(by_whole, next));
    BOOST_TEST((fold_record(by_whole, {.offset = 1, .decoded_config = next}).kind ==
                fold_kind::state_replaced));
    BOOST_TEST(
        (fold_record(by_delta, {.offset = 1, .body = delta}).kind == fold_kind::state_replaced));
    BOOST_TEST(dump_state(by_whole) == dump_state(by_delta));
    BOOST_TEST(by_delta.next_offset == 2U);
}

// Guards against a delta of many routes that is too large to broadcast, and against a corrupt one
// that is applied or skipped.
BOOST_AUTO_TEST_CASE(large_delta_is_packed_and_gives_the_same_state)
{
    constexpr int route_count = 800;
    constexpr std::size_t max_bytes = 32U << 10U;
    std::mt19937_64 random{3};
    config_state by_whole;
    fold_record(by_whole, {.offset = 0, .decoded_config = small_config(3)});
    config_state by_delta = by_whole;
    whole_config next = small_config(7);
    for (int i = 0; i < route_count; ++i)
    {
        const std::string name = "r" + std::to_string(random());
        next.routes[name] = {.name = name,
                             .host = std::to_string(random() % 100) + ".example",
                             .prefix = "/" + std::to_string(random() % 1'000'000'000) + "/",
                             .service = "desk"};
    }
    const std::string delta = dump_delta(make_delta(by_whole, next));
    BOOST_TEST(delta.size() <= max_bytes);
    fold_record(by_whole, {.offset = 1, .decoded_config = next});
    const std::string before = dump_state(by_delta);
    for (const std::size_t at : {std::size_t{40}, delta.size() / 2, delta.size() - 10})
    {
        std::string damaged = delta;
        damaged[at] = damaged[at] == 'A' ? 'B' : 'A';
        BOOST_TEST((fold_record(by_delta, {.offset = 1, .body = damaged}).kind ==
                    fold_kind::out_of_order));
        BOOST_TEST((dump_state(by_delta) == before));
    }
    BOOST_TEST(
        (fold_record(by_delta, {.offset = 1, .body = delta}).kind == fold_kind::state_replaced));
    BOOST_TEST((dump_state(by_whole) == dump_state(by_delta)));
}

// Guards against a delta that is applied to a state other than the one it was computed from.
BOOST_AUTO_TEST_CASE(delta_to_another_version_leaves_the_state)
{
    config_state state;
    fold_record(state, {.offset = 0, .decoded_config = small_config(3)});
    config_state other;
    fold_record(other, {.offset = 0, .decoded_config = small_config(4)});
    const std::string before = dump_state(state);
    const std::string delta = dump_delta(make_delta(other, small_config(7)));
    BOOST_TEST((fold_record(state, {.offset = 1, .body = delta}).kind == fold_kind::out_of_order));
    BOOST_TEST(dump_state(state) == before);
    for (const char* invalid_delta :
         {R"({"kind":"delta"})", R"({"kind":"delta","base":3,"version":"x"})"})
    {
        BOOST_TEST((fold_record(other, {.offset = other.next_offset, .body = invalid_delta}).kind ==
                    fold_kind::malformed));
    }
    BOOST_TEST(other.version == 4U);
}
