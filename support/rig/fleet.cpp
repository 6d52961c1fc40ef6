#include "rig/fleet.hpp"

#include "rig/free_port.hpp"
#include "rig/loop.hpp"

#include <nlohmann/json.hpp>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <utility>

namespace sardinepoint::rig
{

namespace
{

using nlohmann::json;

constexpr time_ms announce_interval_ms = 300;
constexpr time_ms response_margin_ms = 2000;
constexpr const char* host = "one.example";

/** Status of the response, or 0 without one. */
int status_of(const http_result& result)
{
    return result.outcome == call_outcome::answered ? result.response.status : 0;
}

void send_response(fleet_upstream& upstream, request_id id, std::string call)
{
    http_response response{
        .status = upstream.status,
        .headers = {{"X-Request-Id", std::move(call)}, {"X-Response-Stamp", upstream.instance}},
        .body = "answer of " + upstream.instance};
    if (upstream.modify_response)
    {
        upstream.modify_response(response);
    }
    send_response(*upstream.server, id, std::move(response));
}

/** Closes all connections and reopens the listener at once. */
void drop_connections(fleet& self, fleet_upstream& upstream)
{
    upstream.server.reset();
    self.open_upstream(upstream);
}

void handle_request(fleet& self, fleet_upstream& upstream, request_id id, http_request request)
{
    std::string call(find_header(request.headers, "X-Request-Id").value_or(""));
    const auto expected = find_header(request.headers, "X-Expect-Instance");
    if (expected && *expected != upstream.instance)
    {
        send_response(
            *upstream.server, id,
            {.status = 421, .headers = {{"X-Instance-Id", upstream.instance}}, .body = {}});
        return;
    }
    self.received_requests.push_back({.id = call,
                                      .instance = upstream.instance,
                                      .service = upstream.service,
                                      .version = upstream.version,
                                      .request = std::move(request),
                                      .at = steady_now()});
    const bool drops_connections = upstream.requests_to_drop > 0;
    upstream.requests_to_drop -= drops_connections ? 1 : 0;
    run_after(*self.loop, upstream.processing_time,
              [&self, &upstream, id, drops_connections, generation = upstream.listener_generation,
               call = std::move(call)]
              {
                  // A listener that was closed or reopened meanwhile does not know the request.
                  if (!upstream.server || upstream.listener_generation != generation)
                  {
                      return;
                  }
                  if (drops_connections)
                  {
                      drop_connections(self, upstream);
                      return;
                  }
                  send_response(upstream, id, call);
              });
}

void send_announcement(fleet& self, fleet_daemon& daemon, std::function<void(int)> done)
{
    fleet_upstream& upstream = *daemon.upstream;
    const json body{{"Service", upstream.service},
                    {"Addr", to_string(upstream.address)},
                    {"Zone", "zone-a"},
                    {"Version", upstream.version},
                    {"Slots", upstream.slots},
                    {"State", upstream.state},
                    {"ColdLeft", "0ms"},
                    {"Seq", ++upstream.sequence},
                    {"born", upstream.started_at}};
    send_request(*self.http,
                 {.method = "POST",
                  .url = "http://" + to_string(daemon.announcements) + "/api/Instances.Heartbeat/" +
                         upstream.instance,
                  .body = body.dump(),
                  .timeout = 1000},
                 [done = std::move(done)](const http_result& result) { done(status_of(result)); });
}

/** Sends a request to a daemon's own API; returns the response's status, or 0 without one. */
int send_control_request(fleet& self, http_call request)
{
    std::optional<int> status;
    send_request(*self.http, std::move(request),
                 [&](const http_result& result) { status = status_of(result); });
    self.run_until(response_margin_ms, [&] { return status.has_value(); });
    return status.value_or(0);
}

endpoint seed_of(const fleet& self)
{
    const fleet_daemon& first = *self.daemons.front();
    return {"127.0.0.1",
            first.relayed_control_port == 0 ? first.control_port : first.relayed_control_port};
}

void write_settings(const fleet& self, const fleet_daemon& daemon)
{
    std::ofstream file(daemon.settings_file);
    file << "[daemon]\nid = " << daemon.id
         << "\nregion = r\ndomain = r\ncontrol_port = " << daemon.control_port
         << "\ndata_port = " << daemon.data_port
         << "\nadvertised_control_port = " << daemon.relayed_control_port
         << "\nadvertised_data_port = " << daemon.relayed_data_port
         << "\nshutdown_timeout_ms = 6s\nplatform = fleet\n[log]\nendpoint = "
         << to_string(self.relayed_store.value_or(self.store.address()))
         << "\npoll_wait_ms = " << self.store_poll_wait << "\ntimeout_ms = " << self.store_timeout
         << "\npush_records = false\nreaders = " << self.readers
         << "\n[peers]\nlone_domain = true\n"
         << "seeds = " << to_string(seed_of(self))
         << "\n[sidecar]\noutbound = " << to_string(daemon.outbound)
         << "\nreadiness = " << to_string(daemon.readiness)
         << "\nannouncements = " << to_string(daemon.announcements)
         << "\nupstream = " << to_string(daemon.upstream->address)
         << "\nservice = " << daemon.upstream->service << "\nlocality = zone-a"
         << "\nannounce_interval = " << announce_interval_ms << "ms\n"
         << self.sidecar_settings;
}

json route_json(const std::string& name, const std::string& prefix, const std::string& kind,
                const std::string& service, time_ms timeout)
{
    return {{"Name", name},       {"PathPrefix", prefix},
            {"Kind", kind},       {"Timeout", std::to_string(timeout) + "ms"},
            {"Goal", "300ms"},    {"Priority", 1},
            {"Service", service}, {"MaxAttempts", 2}};
}

} // namespace

fleet::fleet(std::string build_dir, std::string_view name) : build_dir(std::move(build_dir))
{
    this->work_dir = (std::filesystem::temp_directory_path() /
                      ("sardinepoint-" + std::string(name) + "-" + std::to_string(::getpid())))
                         .string();
    std::filesystem::create_directories(this->work_dir);
    // Time that calls wait for a connection would be attributed to the daemon.
    constexpr long unlimited = 0;
    this->http = open_http_client(*this->loop, {.max_connections_per_peer = unlimited});
    run_every(*this->loop, announce_interval_ms,
              [this]
              {
                  for (const auto& daemon : this->daemons)
                  {
                      if (daemon->upstream->sends_announcements)
                      {
                          send_announcement(*this, *daemon, [](int) {});
                      }
                  }
              });
}

fleet::~fleet()
{
    for (const auto& daemon : this->daemons)
    {
        daemon->child_process.reset();
    }
    this->http.reset();
    for (const auto& daemon : this->daemons)
    {
        daemon->upstream->server.reset();
    }
    this->store.server.reset();
    if (!this->keep_files && std::getenv("KEEP_RIG") == nullptr)
    {
        std::error_code ignored;
        std::filesystem::remove_all(this->work_dir, ignored);
    }
}

void fleet::open_upstream(fleet_upstream& upstream)
{
    error reason;
    upstream.server =
        open_http_server(*this->loop, {.port = upstream.address.port},
                         {.on_request = [this, &upstream](request_id id, http_request request)
                          { handle_request(*this, upstream, id, std::move(request)); },
                          .on_cancelled =
                              [this, &upstream](request_id)
                          {
                              for (received_request& request : this->received_requests)
                              {
                                  request.cancelled =
                                      request.cancelled || request.instance == upstream.instance;
                              }
                          }},
                         reason);
    if (!upstream.server)
    {
        throw std::runtime_error(describe(reason));
    }
    upstream.address = {"127.0.0.1", bound_port(*upstream.server)};
    ++upstream.listener_generation;
}

void fleet::start(fleet_daemon& daemon)
{
    daemon.child_process = std::make_unique<process>(
        this->build_dir + "/sardinepointd",
        std::vector<std::string>{"--config=" + daemon.settings_file}, daemon.log_file);
}

fleet_daemon& fleet::add(const std::string& service, const std::string& version)
{
    auto created = std::make_unique<fleet_daemon>();
    fleet_daemon& daemon = *created;
    daemon.id = "vm-" + std::to_string(this->daemons.size() + 1);
    this->daemons.push_back(std::move(created));
    daemon.outbound = {"127.0.0.1", free_port("127.0.0.1")};
    daemon.readiness = {"127.0.0.1", free_port("127.0.0.1")};
    daemon.announcements = {"127.0.0.1", free_port("127.0.0.1")};
    daemon.control_port = free_port("127.0.0.1");
    daemon.data_port = free_port("127.0.0.1");
    if (this->relay)
    {
        daemon.relayed_control_port =
            add_forward(*this->relay, {"127.0.0.1", daemon.control_port}, daemon.id);
        daemon.relayed_data_port =
            add_forward(*this->relay, {"127.0.0.1", daemon.data_port}, daemon.id);
    }
    daemon.settings_file = this->work_dir + "/" + daemon.id + ".ini";
    daemon.log_file = this->work_dir + "/" + daemon.id + ".log";
    daemon.upstream = std::make_unique<fleet_upstream>();
    daemon.upstream->instance = "i-" + daemon.id;
    daemon.upstream->service = service;
    daemon.upstream->version = version;
    this->open_upstream(*daemon.upstream);
    write_settings(*this, daemon);
    this->start(daemon);
    return daemon;
}

void fleet::publish(int version, const std::set<std::string>& services)
{
    json names = json::array();
    json paths = json::array();
    for (const std::string& service : services)
    {
        names.push_back({{"Name", service}, {"HealthPath", "/healthz"}, {"MaxConns", 100}});
        paths.push_back(
            route_json(service, "/" + service + "/", "idempotent", service, this->route_timeout));
        paths.push_back(route_json("once-" + service, "/once/" + service + "/", "non_idempotent",
                                   service, this->route_timeout));
        if (this->public_services.contains(service))
        {
            paths[paths.size() - 1]["Public"] = true;
            paths[paths.size() - 2]["Public"] = true;
        }
    }
    if (!this->split.empty())
    {
        json route = route_json("split", "/split/", "idempotent", "", this->route_timeout);
        route.erase("Service");
        for (const auto& [service, weight] : this->split)
        {
            route["Split"].push_back({{"Service", service}, {"Weight", weight}});
        }
        paths.push_back(std::move(route));
    }
    constexpr const char* digits = "0123456789abcdef";
    const std::string number = std::string(7, '0') + digits[version % 16];
    json body{{"Version", number},
              {"Services", names},
              {"Limits",
               {{"MaxHeaderBytes", 16384},
                {"MaxBodyBytes", 1000000},
                {"HeaderTimeout", "3000ms"},
                {"IdleTimeout", "15000ms"}}},
              {"Hosts", {{{"Host", host}, {"Paths", paths}}}}};
    for (const auto& [name, value] : this->organisations)
    {
        body["Tenants"].push_back({{"Name", name},
                                   {"ApiKeys", value.keys},
                                   {"Priority", value.priority},
                                   {"RatePerS", value.rate_per_s},
                                   {"Burst", value.burst}});
    }
    this->store.write("keyed.op", "config", body.dump());
}

bool fleet::run_until(time_ms limit, const std::function<bool()>& condition)
{
    return rig::run_until(*this->loop, limit, condition);
}

void fleet::run_for(time_ms time)
{
    rig::run_for(*this->loop, time);
}

int fleet::announce(fleet_daemon& daemon)
{
    std::optional<int> status;
    send_announcement(*this, daemon, [&](int value) { status = value; });
    this->run_until(response_margin_ms, [&] { return status.has_value(); });
    return status.value_or(0);
}

int fleet::deregister(fleet_daemon& daemon)
{
    return send_control_request(*this,
                                {.method = "POST",
                                 .url = "http://" + to_string(daemon.announcements) +
                                        "/api/Instances.Deregister/" + daemon.upstream->instance,
                                 .timeout = response_margin_ms / 2});
}

call_id fleet::start_call(const fleet_daemon& daemon, const call_options& options,
                          std::function<void(http_result)> done)
{
    const std::string id =
        options.id.empty() ? "call-" + std::to_string(++this->last_call) : options.id;
    std::vector<http_header> headers{{"Host", host},
                                     {"X-Request-Id", id},
                                     {"X-Deadline-Ms", std::to_string(options.deadline)},
                                     {"X-Caller-Service", "forged"}};
    headers.insert(headers.end(), options.headers.begin(), options.headers.end());
    return send_request(*this->http,
                        {.method = options.method,
                         .url = "http://" + to_string(daemon.outbound) + options.path,
                         .headers = std::move(headers),
                         .body = options.body,
                         .timeout = options.deadline + response_margin_ms,
                         .retryable = false},
                        [done = std::move(done)](http_result result)
                        {
                            result.response.status = status_of(result);
                            done(std::move(result));
                        });
}

http_result fleet::call(const fleet_daemon& daemon, const call_options& options)
{
    std::optional<http_result> result;
    this->start_call(daemon, options, [&](http_result value) { result = std::move(value); });
    this->run_until(options.deadline + 2 * response_margin_ms, [&] { return result.has_value(); });
    return result.value_or(
        http_result{.response = {.status = 0}, .reason = "the call did not end in time"});
}

int fleet::ready_status(const fleet_daemon& daemon)
{
    return send_control_request(
        *this, {.url = "http://" + to_string(daemon.readiness) + "/api/readyz", .timeout = 500});
}

bool fleet::wait_served(const std::string& service, time_ms limit)
{
    const time_ms end = steady_now() + limit;
    for (const auto& daemon : this->daemons)
    {
        while (this->call(*daemon, {.path = "/" + service + "/warm"}).response.status != 200)
        {
            if (steady_now() > end)
            {
                return false;
            }
            this->run_for(50);
        }
    }
    return true;
}

bool fleet::wait_members(std::size_t upstreams, time_ms limit)
{
    // A response may arrive after this function has returned, so the counter is shared.
    auto complete_daemons = std::make_shared<std::size_t>(0);
    const auto check_daemon = [&](const fleet_daemon& daemon)
    {
        send_request(
            *this->http,
            {.url = "http://127.0.0.1:" + std::to_string(daemon.control_port) + "/v1/status",
             .timeout = response_margin_ms},
            [complete_daemons, upstreams](const http_result& result)
            {
                const json status = json::parse(result.response.body, nullptr, false);
                std::size_t known_upstreams = 0;
                const json members =
                    status.is_object() ? status.value("members", json::array()) : json::array();
                for (const json& member : members)
                {
                    known_upstreams += member.value("upstreams", json::array()).size();
                }
                *complete_daemons += known_upstreams >= upstreams ? 1 : 0;
            });
    };
    const time_ms end = steady_now() + limit;
    while (steady_now() < end)
    {
        complete_daemons = std::make_shared<std::size_t>(0);
        for (const auto& daemon : this->daemons)
        {
            check_daemon(*daemon);
        }
        this->run_for(100);
        if (*complete_daemons == this->daemons.size())
        {
            return true;
        }
    }
    return false;
}

int fleet::run_count(std::string_view id) const
{
    int runs = 0;
    for (const received_request& request : this->received_requests)
    {
        runs += request.id == id ? 1 : 0;
    }
    return runs;
}

} // namespace sardinepoint::rig
