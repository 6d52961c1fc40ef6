// Stand-in for an upstream: announces itself and its slots to the daemon of its VM, serves calls,
// counts how often each request ran and how many calls exceeded the slots, and simulates faults.

#include "sardinepoint/event_loop.hpp"
#include "sardinepoint/http_client.hpp"
#include "sardinepoint/http_server.hpp"
#include "sardinepoint/logging.hpp"

#include <docopt/docopt.h>
#include <nlohmann/json.hpp>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <map>
#include <random>
#include <set>
#include <string>

using namespace sardinepoint;
using nlohmann::json;

namespace
{

constexpr const char* usage = R"(Stand-in for an upstream.

Usage:
  standin_upstream --service=NAME --version=V --daemon=ENDPOINT [options]

Options:
  --service=NAME        Service that the upstream belongs to.
  --version=V           Version of the upstream.
  --daemon=ENDPOINT     Control endpoint of the daemon on the same VM.
  --address=IP          Address to listen on [default: 127.0.0.1].
  --port=N              Port to listen on; 0 selects a free port [default: 0].
  --slots=N             Announced number of concurrent calls [default: 15].
  --connections=N       Announced number of connections [default: 130].
  --work-ms=N           Processing time of a call [default: 5].
  --announce-ms=N       Interval of the announcements [default: 500].
  --runs-file=PATH      Append the Request-Id of each run to this file.
)";

/** Behaviour of the upstream, which a test can change to simulate faults. */
struct behaviour
{
    time_ms processing_time = 5;
    /** Probability of a response with status 500. */
    double failure_rate = 0;
    /** The failure rate applies to calls whose path starts with this; empty: to all calls. */
    std::string failing_prefix;
    /** Factor on the processing time. */
    double slow_factor = 1;
    /** Announced load; negative: the actual load. */
    int announced_load = -1;
    /** Time between the end of the processing and the response. */
    time_ms response_delay = 0;
    /** Request body that makes the process exit; empty: none. */
    std::string crash_body;
    std::string state = "up";
};

struct upstream
{
    event_loop* loop = nullptr;
    http_server_ptr server;
    http_client_ptr client;
    std::string service;
    std::string version;
    std::string daemon;
    std::string address;
    int slots = 0;
    int connections = 0;
    int running = 0;
    int peak_running = 0;
    std::uint64_t calls = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t calls_over_slots = 0;
    std::size_t peak_connections = 0;
    /** Current second of the wall clock, to which `calls_in_second` applies. */
    time_ms second = 0;
    std::uint64_t calls_in_second = 0;
    std::uint64_t peak_calls_per_second = 0;
    time_ms last_call = 0;
    std::set<std::uint64_t> active_requests;
    /** Chained calls to the daemon by the id of the request that caused them. */
    std::map<std::uint64_t, call_id> chained_calls;
    /** How often each request with a Request-Id header ran. */
    std::map<std::string, int> runs;
    /** Receives the Request-Id of each run, so that a killed stand-in's runs can be counted. */
    std::ofstream runs_file;
    behaviour current_behaviour;
    std::mt19937_64 random{std::random_device{}()};
};

void announce(upstream& self)
{
    const int load = self.current_behaviour.announced_load >= 0
                         ? self.current_behaviour.announced_load
                         : self.running;
    const json body{{"service", self.service},
                    {"version", self.version},
                    {"address", self.address},
                    {"port", bound_port(*self.server)},
                    {"slots", self.slots},
                    {"connections", self.connections},
                    {"load", load},
                    {"state", self.current_behaviour.state}};
    send_request(*self.client,
                 {.method = "POST",
                  .url = "http://" + self.daemon + "/v1/announce",
                  .headers = {{"Content-Type", "application/json"}},
                  .body = body.dump(),
                  .timeout = 1000},
                 [](const http_result& result)
                 {
                     if (result.outcome != call_outcome::answered || result.response.status != 200)
                     {
                         log_event(log_level::warning, "announce_failed",
                                   {{"reason", result.reason}, {"status", result.response.status}});
                     }
                 });
}

bool should_fail(upstream& self, std::string_view path)
{
    const std::string& prefix = self.current_behaviour.failing_prefix;
    const bool prefix_matches = prefix.empty() || path.substr(0, prefix.size()) == prefix;
    return prefix_matches && std::uniform_real_distribution<double>(0, 1)(self.random) <
                                 self.current_behaviour.failure_rate;
}

std::string header_text(const http_request& request, std::string_view name)
{
    return std::string(find_header(request.headers, name).value_or(""));
}

/**
 * Sends the call on to the daemon in Chain-Via if Chain-Left is above 0, like a service that calls
 * other services, and returns true. The response to the chained call becomes the response; the slot
 * stays occupied meanwhile.
 */
bool start_chained_call(upstream& self, request_id id, const http_request& request)
{
    const std::int64_t remaining_hops =
        parse_integer(header_text(request, "Chain-Left")).value_or(0);
    if (remaining_hops <= 0)
    {
        return false;
    }
    const std::string via = header_text(request, "Chain-Via");
    const std::string deadline_ms = header_text(request, "Sardinepoint-Deadline-Ms");
    self.chained_calls[id.value] = send_request(
        *self.client,
        {.method = request.method,
         .url = "http://" + via + request.target,
         .headers = {{"Chain-Left", std::to_string(remaining_hops - 1)},
                     {"Chain-Via", via},
                     {"Sardinepoint-Deadline-Ms", deadline_ms},
                     {"Sardinepoint-Depth", header_text(request, "Sardinepoint-Depth")}},
         .timeout = parse_integer(deadline_ms).value_or(1)},
        [&self, id](const http_result& result)
        {
            self.chained_calls.erase(id.value);
            self.active_requests.erase(id.value);
            --self.running;
            http_response response = result.response;
            if (result.outcome != call_outcome::answered)
            {
                response = json_response(504, "{}");
            }
            strip_connection_headers(response.headers);
            send_response(*self.server, id, std::move(response));
        });
    return true;
}

void finish(upstream& self, request_id id, const http_request& request)
{
    if (!self.active_requests.contains(id.value) || start_chained_call(self, id, request))
    {
        return;
    }
    self.active_requests.erase(id.value);
    --self.running;
    const bool failed = should_fail(self, path_of(request.target));
    const json body{{"service", self.service},
                    {"version", self.version},
                    {"port", bound_port(*self.server)},
                    {"method", request.method},
                    {"target", request.target},
                    {"request_id", find_header(request.headers, "Request-Id").value_or("")},
                    {"depth", header_text(request, "Sardinepoint-Depth")},
                    {"deadline_ms", header_text(request, "Sardinepoint-Deadline-Ms")},
                    {"echo", request.body}};
    http_response response = json_response(failed ? 500 : 200, body.dump());
    run_after(*self.loop, self.current_behaviour.response_delay,
              [&self, id, response = std::move(response)]
              { send_response(*self.server, id, response); });
}

void record_call_rate(upstream& self)
{
    constexpr time_ms second_ms = 1000;
    const time_ms second = self.last_call / second_ms;
    self.calls_in_second = second == self.second ? self.calls_in_second + 1 : 1;
    self.second = second;
    self.peak_calls_per_second = std::max(self.peak_calls_per_second, self.calls_in_second);
}

void handle_call(upstream& self, request_id id, const http_request& request)
{
    if (!self.current_behaviour.crash_body.empty() &&
        request.body == self.current_behaviour.crash_body)
    {
        std::_Exit(1);
    }
    ++self.calls;
    self.last_call = wall_now();
    record_call_rate(self);
    self.peak_connections = std::max(self.peak_connections, open_connections(*self.server));
    if (const auto name = find_header(request.headers, "Request-Id"))
    {
        ++self.runs[std::string(*name)];
        if (self.runs_file.is_open())
        {
            self.runs_file << *name << std::endl;
        }
    }
    self.calls_over_slots += self.running >= self.slots ? 1 : 0;
    ++self.running;
    self.peak_running = std::max(self.peak_running, self.running);
    self.active_requests.insert(id.value);
    const auto processing_time =
        static_cast<time_ms>(static_cast<double>(self.current_behaviour.processing_time) *
                             self.current_behaviour.slow_factor);
    if (processing_time == 0)
    {
        finish(self, id, request);
        return;
    }
    run_after(*self.loop, processing_time, [&self, id, request] { finish(self, id, request); });
}

void handle_behaviour(upstream& self, request_id id, const std::string& text)
{
    const json requested = json::parse(text, nullptr, false);
    if (!requested.is_object())
    {
        send_response(*self.server, id, json_response(400, "{}"));
        return;
    }
    behaviour& current_behaviour = self.current_behaviour;
    current_behaviour.processing_time =
        requested.value("work_ms", current_behaviour.processing_time);
    current_behaviour.failure_rate =
        requested.value("failure_rate", current_behaviour.failure_rate);
    current_behaviour.failing_prefix =
        requested.value("failing_prefix", current_behaviour.failing_prefix);
    current_behaviour.slow_factor = requested.value("slow_factor", current_behaviour.slow_factor);
    current_behaviour.announced_load =
        requested.value("announced_load", current_behaviour.announced_load);
    current_behaviour.response_delay = requested.value("late_ms", current_behaviour.response_delay);
    current_behaviour.crash_body = requested.value("crash_body", current_behaviour.crash_body);
    current_behaviour.state = requested.value("state", current_behaviour.state);
    announce(self);
    send_response(*self.server, id, json_response(200, "{}"));
}

void handle_stats(upstream& self, request_id id)
{
    int max_runs_per_request = 0;
    for (const auto& [name, count] : self.runs)
    {
        max_runs_per_request = std::max(max_runs_per_request, count);
    }
    const json body{{"calls", self.calls},
                    {"cancelled", self.cancelled},
                    {"running", self.running},
                    {"most_running", self.peak_running},
                    {"over_slots", self.calls_over_slots},
                    {"connections", open_connections(*self.server)},
                    {"most_connections", self.peak_connections},
                    {"most_calls_in_second", self.peak_calls_per_second},
                    {"last_call_ms", self.last_call},
                    {"most_runs", max_runs_per_request},
                    {"runs", self.runs}};
    send_response(*self.server, id, json_response(200, body.dump()));
}

void handle(upstream& self, request_id id, const http_request& request)
{
    const std::string_view path = path_of(request.target);
    if (path == "/standin/behaviour")
    {
        handle_behaviour(self, id, request.body);
        return;
    }
    if (path == "/standin/stats")
    {
        handle_stats(self, id);
        return;
    }
    handle_call(self, id, request);
}

void handle_cancelled(upstream& self, request_id id)
{
    if (self.active_requests.erase(id.value) > 0)
    {
        --self.running;
        ++self.cancelled;
    }
    const auto chained_call = self.chained_calls.extract(id.value);
    if (!chained_call.empty())
    {
        cancel_call(*self.client, chained_call.mapped());
    }
}

} // namespace

int main(int argc, char** argv)
{
    auto args = docopt::docopt(usage, {argv + 1, argv + argc}, true);
    set_up_logging(log_level::info, "standin_upstream");
    event_loop_ptr loop = make_event_loop();
    upstream self;
    self.loop = loop.get();
    self.client = open_http_client(*loop, {});
    self.service = args["--service"].asString();
    self.version = args["--version"].asString();
    self.daemon = args["--daemon"].asString();
    self.address = args["--address"].asString();
    self.slots = static_cast<int>(args["--slots"].asLong());
    self.connections = static_cast<int>(args["--connections"].asLong());
    self.current_behaviour.processing_time = args["--work-ms"].asLong();
    if (args["--runs-file"])
    {
        self.runs_file.open(args["--runs-file"].asString(), std::ios::app);
    }
    error reason;
    self.server = open_http_server(
        *loop,
        {.address = self.address, .port = static_cast<std::uint16_t>(args["--port"].asLong())},
        {.on_request = [&](request_id id, const http_request& request)
         { handle(self, id, request); },
         .on_cancelled =
             [&](request_id id)
         {
             handle_cancelled(self, id);
         }},
        reason);
    if (!self.server)
    {
        std::cerr << describe(reason) << "\n";
        return 1;
    }
    std::cout << "port=" << bound_port(*self.server) << std::endl;
    announce(self);
    run_every(*loop, args["--announce-ms"].asLong(), [&] { announce(self); });
    on_terminate(*loop, [&] { stop(*loop); });
    run(*loop);
    self.server.reset();
    self.client.reset();
    return 0;
}
