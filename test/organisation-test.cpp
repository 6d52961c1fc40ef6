#define BOOST_TEST_MODULE organisation
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "fleet_words.hpp"
#include "organisations/keys.hpp"
#include "rig/fleet.hpp"

#include "sardinepoint/fold.hpp"

#include <nlohmann/json.hpp>

#include <csignal>
#include <fstream>
#include <functional>
#include <sstream>
#include <string>
#include <vector>

using namespace sardinepoint;
using nlohmann::json;

namespace
{

constexpr time_ms start_limit_ms = 10000;

json config_with_organisations()
{
    return {{"Version", "00000002"},
            {"Services", {{{"Name", "board"}}}},
            {"Limits",
             {{"MaxHeaderBytes", 16384},
              {"MaxBodyBytes", 1000000},
              {"HeaderTimeout", "3000ms"},
              {"IdleTimeout", "15000ms"}}},
            {"Tenants",
             {{{"Name", "north"},
               {"ApiKeys", {"key-north-1", "key-north-2"}},
               {"Priority", 2},
               {"RatePerS", 40},
               {"Burst", 20}},
              {{"Name", "south"}, {"ApiKeys", {"key-south"}}}}},
            {"Hosts",
             {{{"Host", "one.example"},
               {"Paths",
                {{{"Name", "r1"},
                  {"PathPrefix", "/board/"},
                  {"Kind", "idempotent"},
                  {"Timeout", "1000ms"},
                  {"Service", "board"},
                  {"Public", true}}}}}}}};
}

struct config_corruption
{
    const char* name;
    std::function<void(json&)> corrupt;
};

std::ostream& operator<<(std::ostream& out, const config_corruption& sample)
{
    return out << sample.name;
}

const std::vector<config_corruption> config_corruptions{
    {"shared key",
     [](json& body)
     {
         body["Tenants"][1]["ApiKeys"] = {"key-north-2"};
     }},
    {"empty key",
     [](json& body)
     {
         body["Tenants"][1]["ApiKeys"] = {""};
     }},
    {"negative rate",
     [](json& body)
     {
         body["Tenants"][0]["RatePerS"] = -1;
     }},
    {"negative burst",
     [](json& body)
     {
         body["Tenants"][0]["Burst"] = -0.5;
     }},
    {"key that is a number",
     [](json& body)
     {
         body["Tenants"][1]["ApiKeys"] = {7};
     }},
    {"no name",
     [](json& body)
     {
         body["Tenants"][1].erase("Name");
     }},
};

struct bad_credential
{
    const char* name;
    std::vector<http_header> headers;
};

std::ostream& operator<<(std::ostream& out, const bad_credential& sample)
{
    return out << sample.name;
}

const std::vector<bad_credential> bad_credentials{
    {"none", {}},
    {"doubled", {{"Authorization", "Bearer key-north-1"}, {"authorization", "Bearer key-north-1"}}},
    {"another scheme", {{"Authorization", "Basic key-north-1"}}},
    {"without a scheme", {{"Authorization", "key-north-1"}}},
    {"without a key", {{"Authorization", "Bearer "}}},
    {"unknown key", {{"Authorization", "Bearer key-north-3"}}},
    {"longer key", {{"Authorization", "Bearer key-north-1x"}}},
    {"8 KB", {{"Authorization", "Bearer " + std::string(8192, 'k')}}},
    {"not UTF-8", {{"Authorization", "Bearer key-north-1\xff\xfe"}}},
};

http_header bearer(const std::string& key)
{
    return {"Authorization", "Bearer " + key};
}

/** Two daemons; the calls of the second one run on the upstream of the first one. */
struct two_daemons : rig::fleet
{
    two_daemons() : rig::fleet(SARDINEPOINT_BIN_DIR, "organisation")
    {
        this->organisations = {{"north", {.keys = {"key-north-1", "key-north-2"}}},
                               {"south", {.keys = {"key-south"}}}};
        this->public_services = {"desk"};
        this->publish(1, {"board", "desk"});
        this->runner = &this->add("board");
        this->caller = &this->add("desk");
        BOOST_REQUIRE(this->wait_served("desk", start_limit_ms));
        BOOST_REQUIRE(this->wait_status("key-north-1", 200));
    }

    int status(const rig::fleet_daemon& daemon, const std::vector<http_header>& headers,
               const std::string& path = "/board/x")
    {
        return this->call(daemon, {.path = path, .headers = headers}).response.status;
    }

    bool wait_status(const std::string& key, int expected)
    {
        return this->run_until(start_limit_ms, [&]
                               { return this->status(*this->caller, {bearer(key)}) == expected; });
    }

    std::string last_header(std::string_view name) const
    {
        return std::string(
            find_header(this->received_requests.back().request.headers, name).value_or(""));
    }

    rig::fleet_daemon* runner = nullptr;
    rig::fleet_daemon* caller = nullptr;
};

std::string read_file(const std::string& name)
{
    std::ifstream input(name);
    std::ostringstream text;
    text << input.rdbuf();
    return text.str();
}

} // namespace

// Guards against organisations that are lost or changed when daemons pass a configuration on, and
// against keys in what they pass on.
BOOST_AUTO_TEST_CASE(organisations_are_replicated_without_their_keys)
{
    error reason;
    const auto config = fleet::decode_config(config_with_organisations().dump(), reason);
    BOOST_REQUIRE_MESSAGE(config, describe(reason));
    const organisation& north = config->organisations.at("north");
    BOOST_TEST(*north.priority == 2);
    BOOST_TEST(north.rate_per_s == 40);
    BOOST_TEST(north.burst == 20);
    BOOST_TEST(!config->organisations.at("south").priority.has_value());
    BOOST_TEST(config->routes.at("r1").is_public);
    const std::string whole = dump_whole_config(*config);
    BOOST_TEST(dump_whole_config(*parse_whole_config(whole, reason)) == whole);
    const config_delta delta = make_delta({}, *config);
    const auto parsed = parse_delta(dump_delta(delta), reason);
    BOOST_REQUIRE_MESSAGE(parsed, describe(reason));
    BOOST_TEST((apply_delta({}, *parsed).organisations == config->organisations));
    const config_state state = fleet::build_state(
        {{.key = "config", .value = config_with_organisations().dump()}}, {}, 1, 0);
    BOOST_TEST((state.organisations == config->organisations));
    const auto restored = restore_snapshot(make_snapshot(state), reason);
    BOOST_REQUIRE_MESSAGE(restored, describe(reason));
    BOOST_TEST((restored->organisations == config->organisations));
    for (const std::string& text : {whole, dump_delta(delta), make_snapshot(state)})
    {
        BOOST_TEST(text.find("key-north") == std::string::npos);
        BOOST_TEST(text.find("key-south") == std::string::npos);
    }
}

// Guards against a removed organisation or key that stays in force on daemons that get deltas.
BOOST_AUTO_TEST_CASE(delta_removes_organisations_and_keys)
{
    error reason;
    const auto before = fleet::decode_config(config_with_organisations().dump(), reason);
    json body = config_with_organisations();
    body["Version"] = "00000003";
    body["Tenants"].erase(1);
    body["Tenants"][0]["ApiKeys"] = {"key-north-2"};
    const auto after = fleet::decode_config(body.dump(), reason);
    BOOST_REQUIRE(before && after);
    const config_state state{.version = before->version, .organisations = before->organisations};
    const auto delta = parse_delta(dump_delta(make_delta(state, *after)), reason);
    BOOST_REQUIRE_MESSAGE(delta, describe(reason));
    BOOST_TEST((apply_delta(state, *delta).organisations == after->organisations));
}

// Guards against a configuration with invalid organisations that is applied, or applied in part.
BOOST_DATA_TEST_CASE(invalid_organisations_are_rejected_whole,
                     boost::unit_test::data::make(config_corruptions), sample)
{
    json body = config_with_organisations();
    sample.corrupt(body);
    const log_record record = fleet::to_log_record({"config", body.dump(), 0}, 0);
    config_state state{.version = 1};
    const fold_result result = fold_record(state, record);
    BOOST_TEST((result.kind == fold_kind::malformed));
    BOOST_TEST(!result.reason.message.empty());
    BOOST_TEST(state.version == 1U);
    BOOST_TEST(state.organisations.empty());
}

// Guards against ten thousand organisations that can't be served.
BOOST_AUTO_TEST_CASE(many_organisations_are_found)
{
    constexpr int count = 10'000;
    config_state state;
    for (int i = 0; i < count; ++i)
    {
        const std::string name = "organisation-" + std::to_string(i);
        state.organisations[name] = {.name = name, .key_digests = {key_digest("key-" + name)}};
    }
    const key_directory directory = make_key_directory(state);
    for (const int i : {0, 1, count - 1})
    {
        const std::string name = "organisation-" + std::to_string(i);
        const std::string* found = find_organisation(directory, key_digest("key-" + name));
        BOOST_REQUIRE(found != nullptr);
        BOOST_TEST(*found == name);
    }
    BOOST_TEST(find_organisation(directory, key_digest("key")) == nullptr);
    BOOST_TEST(find_organisation(directory, "") == nullptr);
}

// Guards against credentials that are accepted although they hold no key, or that are passed on.
BOOST_DATA_TEST_CASE(bad_credentials_name_no_organisation,
                     boost::unit_test::data::make(bad_credentials), sample)
{
    config_state state;
    state.organisations["north"] = {.name = "north", .key_digests = {key_digest("key-north-1")}};
    std::vector<http_header> headers = sample.headers;
    const std::string digest = take_bearer_key(headers).value_or("");
    BOOST_TEST(find_organisation(make_key_directory(state), digest) == nullptr);
    BOOST_TEST(headers.empty());
}

BOOST_AUTO_TEST_CASE(scheme_of_a_credential_ignores_case)
{
    std::vector<http_header> headers{{"authorization", "bEARER key-north-1"}};
    BOOST_TEST(take_bearer_key(headers).value_or("") == key_digest("key-north-1"));
}

// Guards against calls that run without a check, with another organisation's name, or with the key
// in a header or log line.
BOOST_FIXTURE_TEST_CASE(upstream_gets_the_organisation_and_never_the_key, two_daemons)
{
    BOOST_TEST(this->status(*this->caller, {bearer("key-south"), {"X-Tenant", "north"}}) == 200);
    BOOST_TEST(this->last_header("X-Tenant") == "south");
    BOOST_TEST(this->last_header("Authorization") == "");
    BOOST_TEST(this->status(*this->runner, {bearer("key-north-2")}) == 200);
    BOOST_TEST(this->last_header("X-Tenant") == "north");
    this->received_requests.clear();
    for (const bad_credential& sample : bad_credentials)
    {
        BOOST_TEST(this->status(*this->caller, sample.headers) == 401, sample.name);
    }
    BOOST_TEST(this->received_requests.empty());
    BOOST_TEST(this->status(*this->caller, {{"X-Tenant", "north"}}, "/desk/x") == 200);
    BOOST_TEST(this->last_header("X-Tenant") == "");
    BOOST_TEST(this->status(*this->caller, {bearer("no-such-key")}, "/desk/x") == 200);
    BOOST_TEST(this->last_header("Authorization") == "");
    for (const rig::fleet_daemon* daemon : {this->runner, this->caller})
    {
        const std::string log = read_file(daemon->log_file);
        BOOST_TEST(!log.empty());
        for (const char* key : {"key-north", "key-south", "no-such-key"})
        {
            BOOST_TEST(log.find(key) == std::string::npos, key);
        }
    }
}

// Guards against a removed key that still works on a connection that was open before, after a
// restart, or at a daemon that reads only from its peers because the store refuses it.
BOOST_FIXTURE_TEST_CASE(removed_key_is_refused_on_open_connections_and_after_a_restart, two_daemons)
{
    BOOST_TEST(this->status(*this->caller, {bearer("key-north-1")}) == 200);
    this->organisations["north"].keys = {"key-north-2"};
    this->publish(2, {"board", "desk"});
    BOOST_TEST(this->wait_status("key-north-1", 401));
    BOOST_TEST(this->wait_status("key-north-2", 200));
    this->caller->child_process->signal(SIGKILL);
    this->caller->child_process->wait();
    this->start(*this->caller);
    BOOST_TEST(this->wait_status("key-north-2", 200));
    BOOST_TEST(this->status(*this->caller, {bearer("key-north-1")}) == 401);
}

// Guards against a second attempt of a call whose key was removed during the first one.
BOOST_FIXTURE_TEST_CASE(removed_key_ends_retries, two_daemons)
{
    rig::fleet_daemon& second = this->add("board");
    BOOST_REQUIRE(this->wait_members(3, start_limit_ms));
    for (rig::fleet_daemon* daemon : {this->runner, &second})
    {
        daemon->upstream->processing_time = 1500;
        daemon->upstream->requests_to_drop = 1;
    }
    std::optional<int> status;
    this->start_call(*this->caller, {.id = "retried", .headers = {bearer("key-north-1")}},
                     [&](const http_result& result) { status = result.response.status; });
    BOOST_REQUIRE(this->run_until(1000, [&] { return this->run_count("retried") == 1; }));
    this->organisations["north"].keys = {"key-north-2"};
    this->publish(2, {"board", "desk"});
    BOOST_TEST(this->wait_status("key-north-1", 401));
    BOOST_REQUIRE(this->run_until(4000, [&] { return status.has_value(); }));
    BOOST_TEST(*status == 502);
    BOOST_TEST(this->run_count("retried") == 1);
}
