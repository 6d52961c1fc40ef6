#define BOOST_TEST_MODULE platform
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "fleet_words.hpp"
#include "json_reader.hpp"
#include "rig/broken_responses.hpp"
#include "rig/loop.hpp"
#include "rig/raw_http.hpp"
#include "rig/store.hpp"

#include "sardinepoint/platform_adapter.hpp"
#include "sardinepoint/registry.hpp"

#include <nlohmann/json.hpp>

#include <functional>
#include <ostream>
#include <string>
#include <vector>

using namespace sardinepoint;
using nlohmann::json;

namespace
{

constexpr time_ms test_timeout_ms = 3000;
constexpr time_ms store_timeout_ms = 150;
constexpr const char* op_topic = "keyed.op";
constexpr const char* status_topic = "keyed.status";
constexpr const char* status_key = "rollout/board";

const platform_adapter& adapter()
{
    return *registry<platform_adapter>::find("fleet");
}

json valid_config()
{
    return json::parse(R"({"Version":"0000001f",
        "Services":[{"Name":"board","HealthPath":"/healthz","MaxConns":130},
                    {"Name":"desk","HealthPath":"/healthz","MaxConns":130}],
        "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":1000000,"HeaderTimeout":"3000ms",
                  "IdleTimeout":"15s"},
        "Hosts":[{"Host":"one.example","Paths":[
            {"Name":"r1","PathPrefix":"/a/","Kind":"idempotent","Timeout":"1200ms","Goal":"300ms",
             "Priority":2,"MaxAttempts":2,
             "Split":[{"Service":"board","Weight":90},{"Service":"desk","Weight":10}]},
            {"Name":"r2","PathPrefix":"/b/","Kind":"non_idempotent","Timeout":"0.8s",
             "Service":"board","MaxAttempts":2}]}]})");
}

json valid_announcement()
{
    return json::parse(R"({"Service":"board","Addr":"10.0.0.9:8080","Zone":"a","Version":"v1",
        "Slots":13,"State":"ready","ColdLeft":"1500ms","Seq":4,"born":1700000000000})");
}

/** A modification that makes a valid body invalid. */
struct body_corruption
{
    std::string what;
    std::function<void(json&)> corrupt;
};

std::ostream& operator<<(std::ostream& out, const body_corruption& value)
{
    return out << value.what;
}

const std::vector<body_corruption> config_corruptions{
    {"no version",
     [](json& body)
     {
         body.erase("Version");
     }},
    {"version in other digits",
     [](json& body)
     {
         body["Version"] = "00xyz";
     }},
    {"no routes",
     [](json& body)
     {
         body.erase("Hosts");
     }},
    {"route without service",
     [](json& body)
     {
         body["Hosts"][0]["Paths"][1].erase("Service");
     }},
    {"route without timeout",
     [](json& body)
     {
         body["Hosts"][0]["Paths"][1].erase("Timeout");
     }},
    {"timeout without unit",
     [](json& body)
     {
         body["Hosts"][0]["Paths"][1]["Timeout"] = "soon";
     }},
    {"target without weight",
     [](json& body)
     {
         body["Hosts"][0]["Paths"][0]["Split"][0].erase("Weight");
     }},
    {"no limits",
     [](json& body)
     {
         body.erase("Limits");
     }},
};

const std::vector<body_corruption> announcement_corruptions{
    {"no service",
     [](json& body)
     {
         body.erase("Service");
     }},
    {"slots as text",
     [](json& body)
     {
         body["Slots"] = "13";
     }},
    {"unknown state",
     [](json& body)
     {
         body["State"] = "dancing";
     }},
    {"address without port",
     [](json& body)
     {
         body["Addr"] = "10.0.0.9";
     }},
    {"no sequence",
     [](json& body)
     {
         body.erase("Seq");
     }},
    {"sequence as fraction",
     [](json& body)
     {
         body["Seq"] = 4.5;
     }},
    {"sequence as boolean",
     [](json& body)
     {
         body["Seq"] = true;
     }},
    {"negative slots",
     [](json& body)
     {
         body["Slots"] = -1;
     }},
    {"slots beyond the range",
     [](json& body)
     {
         body["Slots"] = 1ULL << 33U;
     }},
    {"start time as fraction",
     [](json& body)
     {
         body["born"] = 1700000000000000.5;
     }},
    {"start time as text",
     [](json& body)
     {
         body["born"] = "1700000000000";
     }},
    {"cold time as number",
     [](json& body)
     {
         body["ColdLeft"] = 7;
     }},
    {"start as text",
     [](json& body)
     {
         body["born"] = "yesterday";
     }},
};

} // namespace

// Guards against fields that are decoded wrongly, or lost when daemons pass a configuration on.
BOOST_AUTO_TEST_CASE(configuration_is_decoded)
{
    error reason;
    const auto config = fleet::decode_config(valid_config().dump(), reason);
    BOOST_REQUIRE_MESSAGE(config, describe(reason));
    BOOST_TEST(config->version == 0x1fU);
    const route& split = config->routes.at("r1");
    BOOST_TEST(split.host == "one.example");
    BOOST_TEST(split.timeout == 1200);
    BOOST_TEST(split.latency_target == 300);
    BOOST_TEST(*split.idempotent);
    BOOST_TEST(split.split.size() == 2U);
    BOOST_TEST(!*config->routes.at("r2").idempotent);
    BOOST_TEST(config->routes.at("r2").timeout == 800);
    BOOST_TEST(config->limits.idle_timeout == 15000);
    // Daemons send the configuration to each other in sardinepoint's own JSON format.
    const auto copy = parse_whole_config(dump_whole_config(*config), reason);
    BOOST_REQUIRE_MESSAGE(copy, describe(reason));
    BOOST_TEST(dump_whole_config(*copy) == dump_whole_config(*config));
}

// Guards against an invalid configuration that is applied in part.
BOOST_DATA_TEST_CASE(unreadable_configurations_are_rejected_whole,
                     boost::unit_test::data::make(config_corruptions), sample)
{
    json body = valid_config();
    sample.corrupt(body);
    error reason;
    BOOST_TEST(!fleet::decode_config(body.dump(), reason));
    BOOST_TEST(!reason.remedy.empty());
    const log_record record = fleet::to_log_record({"config", body.dump(), 3}, 0);
    config_state state{.version = 7, .next_offset = 3};
    BOOST_TEST((fold_record(state, record).kind == fold_kind::malformed));
    BOOST_TEST(state.version == 7U);
    BOOST_TEST(state.next_offset == 4U);
}

// Guards against an upstream that is registered by an invalid or truncated announcement.
BOOST_DATA_TEST_CASE(unreadable_announcements_are_rejected,
                     boost::unit_test::data::make(announcement_corruptions), sample)
{
    error reason;
    BOOST_REQUIRE(fleet::decode_announcement("i-1", valid_announcement().dump(), reason));
    json body = valid_announcement();
    sample.corrupt(body);
    BOOST_TEST(!fleet::decode_announcement("i-1", body.dump(), reason));
    BOOST_TEST(!fleet::decode_announcement("i-1", body.dump().substr(0, 20), reason));
    BOOST_TEST(!reason.message.empty());
}

// Guards against a deregistration of another writer that takes a sound upstream out of service.
BOOST_AUTO_TEST_CASE(unreadable_deregistrations_are_rejected)
{
    for (const char* body : {R"({"born":1700000000000.5})", R"({"born":true})",
                             R"({"born":"1700000000000"})", R"({"born":)", "[]", "7"})
    {
        error reason;
        BOOST_TEST(!fleet::decode_departure("i-1", body, reason), body);
        BOOST_TEST(!reason.remedy.empty());
    }
    error reason;
    BOOST_TEST(!fleet::decode_departure("i-1", "", reason)->incarnation);
    BOOST_TEST(*fleet::decode_departure("i-1", R"({"born":7})", reason)->incarnation == 7U);
}

// Guards against an id that other daemons can't be told, because messages between them are JSON.
BOOST_AUTO_TEST_CASE(ids_that_are_not_utf8_are_rejected)
{
    for (const std::string_view id : {"\xff\xfe", "i-\xc3", "i-\xe2\x82", "\xc0\xaf"})
    {
        error reason;
        BOOST_TEST(!fleet::decode_announcement(id, valid_announcement().dump(), reason));
        BOOST_TEST(!reason.remedy.empty());
    }
    error reason;
    BOOST_TEST(fleet::check_instance_id("i-\xc3\xa9", reason));
}

// Guards against a record of another writer whose bytes end the daemons that read it: its key or
// the parser's message, which quotes them, becomes part of a JSON text.
BOOST_AUTO_TEST_CASE(records_that_are_not_utf8_are_malformed)
{
    for (const fleet::keyed_record& record :
         {fleet::keyed_record{"rollout/board", "{\"Service\": \"\xff\xfe\"}", 3},
          fleet::keyed_record{"config", "\xff", 3}, fleet::keyed_record{"\xff\xfe", "x", 3}})
    {
        config_state state{.version = 7, .next_offset = 3};
        const fold_result folded = fold_record(state, fleet::to_log_record(record, 0));
        const bool known_key = detail::is_utf8(record.key);
        BOOST_TEST(
            (folded.kind == (known_key ? fold_kind::malformed : fold_kind::outcome_ignored)));
        BOOST_TEST(state.version == 7U);
        BOOST_TEST(state.next_offset == 4U);
    }
}

// Guards against applying an announcement that arrives late or comes from an earlier incarnation.
BOOST_AUTO_TEST_CASE(outdated_announcements_are_ignored)
{
    error reason;
    const sidecar_settings config{.upstream = endpoint{"10.0.0.9", 8080}};
    const auto first = *fleet::decode_announcement("i-1", valid_announcement().dump(), reason);
    const auto classify = [&](const upstream_announcement& known, const upstream_announcement& next)
    {
        return classify_announcement(known, next, config, reason);
    };
    upstream_announcement next = first;
    next.sequence = 5;
    BOOST_TEST((classify(first, next) == announcement_verdict::refreshed));
    BOOST_TEST((classify(next, first) == announcement_verdict::outdated));
    upstream_announcement leaving = next;
    leaving.state = upstream_state::draining;
    upstream_announcement later = leaving;
    later.sequence = 6;
    later.state = upstream_state::up;
    BOOST_TEST((classify(leaving, later) == announcement_verdict::outdated));
    upstream_announcement restarted = first;
    restarted.incarnation += 1;
    restarted.sequence = 1;
    BOOST_TEST((classify(leaving, restarted) == announcement_verdict::new_incarnation));
    BOOST_TEST((classify(restarted, later) == announcement_verdict::outdated));
    upstream_announcement other_address = next;
    other_address.address.port = 8081;
    BOOST_TEST((classify(first, other_address) == announcement_verdict::rejected));
}

// Guards against records that are read from a truncated or malformed page.
BOOST_AUTO_TEST_CASE(broken_framing_is_rejected)
{
    const std::string header(16, '\0');
    const std::string record = fleet::encode_record("config", "value");
    const auto page = fleet::decode_page(header + record + record, 8);
    BOOST_REQUIRE(page);
    BOOST_TEST(page->records.size() == 2U);
    BOOST_TEST(page->records[1].offset == 9U);
    BOOST_TEST(page->records[1].value == "value");
    BOOST_TEST(!fleet::decode_page(header.substr(1), 8));
    BOOST_TEST(!fleet::decode_page(header + record.substr(0, record.size() - 1), 8));
    BOOST_TEST(!fleet::decode_page(header + std::string("\0\0\0\2\7a", 6), 8));
    BOOST_TEST(!fleet::decode_page(header + std::string(4, '\0'), 8));
}

namespace
{

/** A response to the call with the id "call-1" and its expected classification. */
struct response_case
{
    std::string what;
    http_response response;
    response_kind expected;
};

std::ostream& operator<<(std::ostream& out, const response_case& value)
{
    return out << value.what;
}

const http_header echo{"X-Request-Id", "call-1"};
const http_header stamp{"X-Response-Stamp", "3e1b"};

const std::vector<response_case> response_cases{
    {"answer", {200, {echo, stamp}, ""}, response_kind::answered},
    {"failure of the upstream", {500, {echo, stamp}, ""}, response_kind::answered},
    {"answer to another call",
     {200, {{"X-Request-Id", "call-0"}, stamp}, ""},
     response_kind::foreign},
    {"answer to no call", {200, {stamp}, ""}, response_kind::foreign},
    {"success without signature", {200, {echo}, ""}, response_kind::foreign},
    {"encoded body",
     {200, {echo, stamp, {"Content-Encoding", "gzip"}}, ""},
     response_kind::foreign},
    {"shed", {503, {echo, {"X-Not-Executed", "1"}}, ""}, response_kind::not_run},
    {"shed without echo", {503, {{"X-Not-Executed", "1"}}, ""}, response_kind::not_run},
    {"other instance", {421, {{"X-Instance-Id", "i-2"}}, ""}, response_kind::wrong_instance},
    {"unavailable without proof", {503, {echo, stamp}, ""}, response_kind::answered},
};

} // namespace

// Guards against delivering a response to a caller other than the one it is for.
BOOST_DATA_TEST_CASE(responses_are_classified, boost::unit_test::data::make(response_cases), sample)
{
    BOOST_TEST(
        (adapter().calls.classify_response(sample.response, {.id = "call-1"}) == sample.expected));
}

namespace
{

/** The store stand-in and a client of it on one event loop. */
struct store_client
{
    event_loop_ptr loop = make_event_loop();
    rig::store store{*this->loop};
    http_client_ptr http = open_http_client(*this->loop, {});
    log_client log{.http = this->http.get(),
                   .protocol = &adapter().log,
                   .service = this->store.address(),
                   .timeout = store_timeout_ms,
                   .client_id = "vm-1"};

    ~store_client()
    {
        this->http.reset();
        this->store.server.reset();
    }

    /** Runs the loop until the call has ended and returns its result. */
    template <typename Result, typename Start>
    Result await(Start start)
    {
        std::optional<Result> result;
        start(std::function<void(Result)>(
            [&](Result value)
            {
                result = std::move(value);
                stop(*this->loop);
            }));
        const timer_id limit =
            run_after(*this->loop, test_timeout_ms, [this] { stop(*this->loop); });
        while (!result)
        {
            run(*this->loop);
            resume(*this->loop);
            BOOST_REQUIRE(result);
        }
        cancel_timer(*this->loop, limit);
        resume(*this->loop);
        return *result;
    }

    void run_loop_for(time_ms time)
    {
        rig::run_for(*this->loop, time);
    }

    append_result append(std::string body)
    {
        return this->await<append_result>([&](auto done)
                                          { append_record(this->log, member_stream, body, done); });
    }

    read_result read(std::uint64_t from, time_ms wait = 0)
    {
        return this->await<read_result>(
            [&](auto done)
            { read_records(this->log, config_stream, {.from = from, .wait = wait}, done); });
    }

    read_result newest(std::string_view stream)
    {
        return this->await<read_result>([&](auto done)
                                        { read_newest(this->log, stream, 3, done); });
    }

    outcome_result record(const move_spec& move, move_state state)
    {
        return this->await<outcome_result>(
            [&](auto done)
            { record_outcome(this->log, move, {.move = move.id, .state = state}, done); });
    }
};

move_spec board_move()
{
    return make_ordered_move({.service = "board", .to = "v2", .duration = 12000}, 5, 1000).spec;
}

std::string order_body()
{
    return R"({"Service":"board","TargetVersion":"v2","Duration":"12s"})";
}

struct fault_case
{
    rig::store_fault fault;
    append_outcome appended;
    bool read_ok;
};

std::ostream& operator<<(std::ostream& out, const fault_case& value)
{
    return out << "fault " << static_cast<int>(value.fault);
}

const std::vector<fault_case> fault_cases{
    {rig::store_fault::none, append_outcome::appended, true},
    {rig::store_fault::unavailable, append_outcome::refused, false},
    {rig::store_fault::rate_limited, append_outcome::refused, false},
    {rig::store_fault::response_lost, append_outcome::unknown, false},
    {rig::store_fault::delayed_execution, append_outcome::unknown, false},
    {rig::store_fault::no_response, append_outcome::unknown, false},
    {rig::store_fault::compacted, append_outcome::refused, true},
};

} // namespace

// Guards against mistaking a fault of the store for an empty topic or a successful append.
BOOST_DATA_TEST_CASE(store_faults_are_distinguished, boost::unit_test::data::make(fault_cases),
                     sample)
{
    store_client client;
    client.store.write(op_topic, "config", valid_config().dump());
    client.store.faults = {sample.fault};
    BOOST_TEST((client.append("{}").outcome == sample.appended));
    client.store.faults = {sample.fault};
    const read_result read = client.read(0);
    BOOST_TEST(read.ok == sample.read_ok);
    BOOST_TEST(read.expired == (sample.fault == rig::store_fault::compacted));
    BOOST_TEST((read.ok || !read.reason.empty()));
    client.store.faults = {sample.fault};
    BOOST_TEST(client.newest(snapshot_stream).ok == (sample.fault == rig::store_fault::none));
}

// Guards against a broken response that is taken for the store's refusal or acknowledgement: what
// was sent may have been appended.
BOOST_DATA_TEST_CASE(broken_responses_of_the_store_prove_nothing,
                     boost::unit_test::data::make(rig::broken_responses()), broken)
{
    std::string response = rig::to_text(broken, {}, R"({"Offset":0,"EndOffset":1})");
    rig::raw_server broken_store({"127.0.0.1", 0}, [&](int fd, const std::string&, int)
                                 { rig::write_text(fd, response); });
    store_client client;
    client.log.service = broken_store.where;
    BOOST_TEST((client.append("{}").outcome == append_outcome::unknown));
    response = rig::to_text(broken, {}, std::string(16, '\0'));
    BOOST_TEST(!client.read(0).ok);
    response = rig::to_text(broken, {}, R"({"items":[],"HasMore":false,"EndOffset":0})");
    BOOST_TEST(!client.newest(snapshot_stream).ok);
}

// Guards against mistaking a response that can't be decoded for an empty topic.
BOOST_AUTO_TEST_CASE(garbled_records_are_rejected)
{
    store_client client;
    client.store.faults = {rig::store_fault::malformed_response};
    BOOST_TEST(!client.read(0).ok);
    client.store.faults = {rig::store_fault::malformed_response};
    BOOST_TEST(!client.newest(snapshot_stream).ok);
}

// Guards against wrong offsets and lost records in reads from the start and in long polls.
BOOST_AUTO_TEST_CASE(records_are_folded_from_any_offset)
{
    store_client client;
    client.store.write(op_topic, "config", valid_config().dump());
    client.store.write(op_topic, status_key, order_body());
    client.store.write(op_topic, "something", "else");
    config_state state;
    for (const log_record& record : client.read(0).records)
    {
        fold_record(state, record);
    }
    BOOST_TEST(state.version == 0x1fU);
    BOOST_TEST(state.next_offset == 3U);
    BOOST_REQUIRE(state.moves.contains("board@1"));
    BOOST_TEST(state.moves.at("board@1").spec.to == "v2");
    // A long poll returns as soon as the next record is written.
    run_after(*client.loop, 30,
              [&]
              {
                  json body = valid_config();
                  body["Version"] = "00000020";
                  client.store.write(op_topic, "config", body.dump());
              });
    const read_result next = client.read(3, 1000);
    BOOST_REQUIRE_EQUAL(next.records.size(), 1U);
    fold_record(state, next.records[0]);
    BOOST_TEST(state.version == 0x20U);
}

// Guards against a wrong state on a daemon that starts after older records were deleted.
BOOST_AUTO_TEST_CASE(state_is_built_from_the_newest_records)
{
    store_client client;
    client.store.write(op_topic, "config", valid_config().dump());
    client.store.write(op_topic, status_key, order_body());
    move_spec move = board_move();
    move.order = 2;
    BOOST_TEST((client.record(move, move_state::withdrawn).recorded == move_state::withdrawn));
    const read_result snapshot = client.newest(snapshot_stream);
    BOOST_REQUIRE(snapshot.ok);
    BOOST_REQUIRE_EQUAL(snapshot.records.size(), 1U);
    error reason;
    const auto state = restore_snapshot(snapshot.records[0].body, reason);
    BOOST_REQUIRE_MESSAGE(state, describe(reason));
    BOOST_TEST(state->version == 0x1fU);
    BOOST_TEST(state->next_offset == 2U);
    BOOST_TEST((state->moves.at("board@1").state == move_state::withdrawn));
}

// Guards against two recorded outcomes of one move, because daemons disagree or because a write is
// executed after its client timed out.
BOOST_AUTO_TEST_CASE(a_move_ends_once)
{
    for (const rig::store_fault fault :
         {rig::store_fault::none, rig::store_fault::response_lost, rig::store_fault::no_response,
          rig::store_fault::delayed_execution, rig::store_fault::unavailable})
    {
        store_client client;
        const move_spec move = board_move();
        BOOST_TEST((client.record(move, move_state::running).outcome == append_outcome::appended));
        // The read before the append succeeds; the fault hits the append.
        client.store.faults = {rig::store_fault::none, fault};
        client.record(move, move_state::done);
        client.record(move, move_state::withdrawn);
        client.run_loop_for(300);
        const outcome_result last = client.record(move, move_state::withdrawn);
        BOOST_TEST((last.outcome == append_outcome::appended));
        BOOST_TEST(client.store.write_count(status_topic, status_key) == 2);
        const auto status = fleet::decode_status(client.store.newest(status_topic, status_key));
        BOOST_REQUIRE(status);
        BOOST_TEST((status->state == last.recorded));
    }
}

// Guards against a roll-back that is overwritten by a daemon that starts, reads an older order and
// doesn't know the newer one yet: daemons that start later would begin the newer move again.
BOOST_AUTO_TEST_CASE(status_never_goes_back_to_an_older_order)
{
    store_client client;
    move_spec newer = board_move();
    newer.order += 20;
    BOOST_TEST((client.record(newer, move_state::withdrawn).recorded == move_state::withdrawn));
    for (const move_state state : {move_state::running, move_state::done, move_state::withdrawn})
    {
        const outcome_result older = client.record(board_move(), state);
        BOOST_TEST((older.outcome == append_outcome::refused));
        BOOST_TEST((older.recorded == move_state::running));
    }
    BOOST_TEST(client.store.write_count(status_topic, status_key) == 1);
    const auto status = fleet::decode_status(client.store.newest(status_topic, status_key));
    BOOST_REQUIRE(status);
    BOOST_TEST(status->order == newer.order);
    BOOST_TEST((status->state == move_state::withdrawn));
}

// Guards against a cold upstream that is taken for warm, and a warm one whose calls are held back
// because its health responses say nothing of cold times.
BOOST_AUTO_TEST_CASE(health_responses_tell_the_cold_time)
{
    const platform_adapter* adapter = registry<platform_adapter>::find("fleet");
    const auto cold_time = [&](int status, std::vector<http_header> headers)
    {
        return adapter->calls.parse_cold_time({.status = status, .headers = std::move(headers)},
                                              {.id = "health-1", .instance = "i-1"});
    };
    BOOST_TEST(cold_time(200, {{"X-Instance-Id", "i-1"}, {"X-Cold-Ms", "700"}}).value() == 700);
    BOOST_TEST(cold_time(503, {{"X-Instance-Id", "i-1"}, {"X-Cold-Ms", "700"}}).value() == 700);
    BOOST_TEST(cold_time(200, {{"X-Instance-Id", "i-1"}, {"X-Cold-Ms", "0"}}).value() == 0);
    BOOST_TEST(cold_time(200, {{"X-Instance-Id", "i-1"}}).value() == 0);
    BOOST_TEST(!cold_time(200, {}).has_value());
    BOOST_TEST(!cold_time(200, {{"X-Instance-Id", "i-2"}}).has_value());
    BOOST_TEST(!cold_time(503, {{"X-Instance-Id", "i-1"}}).has_value());
    BOOST_TEST(!cold_time(421, {{"X-Instance-Id", "i-1"}, {"X-Cold-Ms", "0"}}).has_value());
    BOOST_TEST(!cold_time(200, {{"X-Instance-Id", "i-1"}, {"X-Cold-Ms", "soon"}}).has_value());
    BOOST_TEST(
        !cold_time(200, {{"X-Instance-Id", "i-1"}, {"X-Request-Id", "health-2"}}).has_value());
}
