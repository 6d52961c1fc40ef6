// Stand-in for the platform's log service: append-only streams in memory with offsets, limited
// retention, a limit on appends per second, and faults that a test enables.

#include "sardinepoint/event_loop.hpp"
#include "sardinepoint/http_server.hpp"
#include "sardinepoint/logging.hpp"

#include <docopt/docopt.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <deque>
#include <iostream>
#include <map>
#include <set>
#include <string>
#include <vector>

using namespace sardinepoint;
using nlohmann::json;

namespace
{

constexpr const char* usage = R"(Stand-in for the platform's log service.

Usage:
  standin_log [--address=IP] [--port=N] [--retention=N] [--appends-per-second=N]

Options:
  --address=IP              Address to listen on [default: 127.0.0.1].
  --port=N                  Port to listen on; 0 selects a free port [default: 0].
  --retention=N             Records kept in each stream [default: 100000].
  --appends-per-second=N    Appends accepted per second [default: 500].
)";

struct stored_record
{
    time_ms appended = 0;
    std::string body;
};

struct stream
{
    std::uint64_t first = 0;
    std::deque<stored_record> records;
};

struct waiting_read
{
    request_id id;
    std::string name;
    std::uint64_t from = 0;
    std::size_t limit = 0;
    time_ms deadline = 0;
};

/** Faults that the service simulates. */
struct faults
{
    /** up: normal; refuse: responds with 503; stall: sends no response. */
    std::string mode = "up";
    /** Number of next appends that take effect but get no response. */
    int lost_responses = 0;
    time_ms delay = 0;
};

struct service
{
    event_loop* loop = nullptr;
    http_server_ptr server;
    std::map<std::string, stream> streams;
    std::vector<waiting_read> waiting;
    faults fault;
    std::size_t retention = 0;
    int appends_per_second = 0;
    time_ms second_start = 0;
    int appends_in_second = 0;
    int reads_in_second = 0;
    int peak_reads_per_second = 0;
    int peak_appends_per_second = 0;
    std::map<std::string, std::uint64_t> reads_by_client;
    std::uint64_t appends = 0;
    std::uint64_t refused_appends = 0;
};

std::uint64_t next_offset(const stream& target)
{
    return target.first + target.records.size();
}

// Operators may append bytes that are not UTF-8, which JSON cannot represent; they are replaced.
std::string dump(const json& body)
{
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

json make_page(const stream& source, std::uint64_t from, std::size_t limit)
{
    json records = json::array();
    for (std::uint64_t offset = from; offset < next_offset(source) && records.size() < limit;
         ++offset)
    {
        const stored_record& record = source.records[offset - source.first];
        records.push_back(
            {{"offset", offset}, {"time_ms", record.appended}, {"body", record.body}});
    }
    return {{"first", source.first}, {"next", next_offset(source)}, {"records", records}};
}

void respond(service& log, request_id id, int status, const json& body)
{
    if (log.fault.delay > 0)
    {
        run_after(*log.loop, log.fault.delay,
                  [&log, id, status, text = dump(body)]
                  { send_response(*log.server, id, json_response(status, text)); });
        return;
    }
    send_response(*log.server, id, json_response(status, dump(body)));
}

void complete_waiting_reads(service& log)
{
    std::vector<waiting_read> ready;
    std::erase_if(log.waiting,
                  [&](const waiting_read& read)
                  {
                      const bool has_record = read.from < next_offset(log.streams[read.name]);
                      const bool due = has_record || steady_now() >= read.deadline;
                      if (due)
                      {
                          ready.push_back(read);
                      }
                      return due;
                  });
    for (const waiting_read& read : ready)
    {
        respond(log, read.id, 200, make_page(log.streams[read.name], read.from, read.limit));
    }
}

void start_new_second(service& log)
{
    constexpr time_ms second_ms = 1000;
    const time_ms now = steady_now();
    if (now - log.second_start >= second_ms)
    {
        log.second_start = now;
        log.appends_in_second = 0;
        log.reads_in_second = 0;
    }
}

void handle_append(service& log, request_id id, const std::string& name, const std::string& body)
{
    start_new_second(log);
    if (++log.appends_in_second > log.appends_per_second)
    {
        ++log.refused_appends;
        respond(log, id, 429, {{"reason", "too many appends a second"}});
        return;
    }
    log.peak_appends_per_second = std::max(log.peak_appends_per_second, log.appends_in_second);
    stream& target = log.streams[name];
    const std::uint64_t offset = next_offset(target);
    target.records.push_back({wall_now(), body});
    ++log.appends;
    while (target.records.size() > log.retention)
    {
        target.records.pop_front();
        ++target.first;
    }
    if (log.fault.lost_responses > 0)
    {
        --log.fault.lost_responses;
    }
    else
    {
        respond(log, id, 200, {{"offset", offset}});
    }
    complete_waiting_reads(log);
}

void handle_read(service& log, request_id id, const std::string& name, const http_request& request)
{
    start_new_second(log);
    log.peak_reads_per_second = std::max(log.peak_reads_per_second, ++log.reads_in_second);
    const auto client = find_header(request.headers, "Log-Client");
    ++log.reads_by_client[std::string(client.value_or("unknown"))];
    stream& source = log.streams[name];
    const std::int64_t newest = query_integer(request.target, "newest", -1);
    const auto limit = static_cast<std::size_t>(
        query_integer(request.target, "limit", newest >= 0 ? newest : 256));
    auto from = static_cast<std::uint64_t>(query_integer(request.target, "from", 0));
    if (newest >= 0)
    {
        const std::uint64_t requested = std::min<std::uint64_t>(newest, source.records.size());
        from = next_offset(source) - requested;
    }
    if (from < source.first)
    {
        respond(log, id, 410, make_page(source, next_offset(source), 0));
        return;
    }
    const time_ms wait = query_integer(request.target, "wait_ms", 0);
    if (from >= next_offset(source) && wait > 0)
    {
        log.waiting.push_back({id, name, from, limit, steady_now() + wait});
        return;
    }
    respond(log, id, 200, make_page(source, from, limit));
}

void handle_faults(service& log, request_id id, const std::string& body)
{
    const json requested = json::parse(body, nullptr, false);
    if (!requested.is_object())
    {
        send_response(*log.server, id, json_response(400, "{}"));
        return;
    }
    log.fault.mode = requested.value("mode", log.fault.mode);
    log.fault.lost_responses = requested.value("lost_answers", log.fault.lost_responses);
    log.fault.delay = requested.value("delay_ms", log.fault.delay);
    if (requested.value("reset_peaks", false))
    {
        log.peak_reads_per_second = 0;
        log.peak_appends_per_second = 0;
    }
    log.retention = requested.value("retention", log.retention);
    for (auto& [name, target] : log.streams)
    {
        while (target.records.size() > log.retention)
        {
            target.records.pop_front();
            ++target.first;
        }
    }
    send_response(*log.server, id, json_response(200, "{}"));
}

void handle_stats(service& log, request_id id)
{
    json offsets = json::object();
    for (const auto& [name, target] : log.streams)
    {
        offsets[name] = next_offset(target);
    }
    const json body{{"appends", log.appends},
                    {"refused_appends", log.refused_appends},
                    {"next", offsets},
                    {"reads_by_client", log.reads_by_client},
                    {"most_reads_in_second", log.peak_reads_per_second},
                    {"most_appends_in_second", log.peak_appends_per_second}};
    send_response(*log.server, id, json_response(200, body.dump()));
}

/** Parses the name of the stream from "/streams/NAME/records". */
std::optional<std::string> stream_name(std::string_view path)
{
    constexpr std::string_view prefix = "/streams/";
    constexpr std::string_view suffix = "/records";
    if (path.size() <= prefix.size() + suffix.size() || path.substr(0, prefix.size()) != prefix ||
        path.substr(path.size() - suffix.size()) != suffix)
    {
        return std::nullopt;
    }
    return std::string(path.substr(prefix.size(), path.size() - prefix.size() - suffix.size()));
}

void handle(service& log, request_id id, const http_request& request)
{
    const std::string_view path = path_of(request.target);
    if (path == "/faults")
    {
        handle_faults(log, id, request.body);
        return;
    }
    if (path == "/stats")
    {
        handle_stats(log, id);
        return;
    }
    if (log.fault.mode == "stall")
    {
        return;
    }
    const auto name = stream_name(path);
    if (log.fault.mode == "refuse" || !name)
    {
        const int status = name ? 503 : 404;
        send_response(*log.server, id, json_response(status, "{\"reason\":\"unavailable\"}"));
        return;
    }
    if (request.method == "POST")
    {
        handle_append(log, id, *name, request.body);
        return;
    }
    handle_read(log, id, *name, request);
}

} // namespace

int main(int argc, char** argv)
{
    auto args = docopt::docopt(usage, {argv + 1, argv + argc}, true);
    set_up_logging(log_level::info, "standin_log");
    event_loop_ptr loop = make_event_loop();
    service log;
    log.loop = loop.get();
    log.retention = static_cast<std::size_t>(args["--retention"].asLong());
    log.appends_per_second = static_cast<int>(args["--appends-per-second"].asLong());
    error reason;
    log.server = open_http_server(*loop,
                                  {.address = args["--address"].asString(),
                                   .port = static_cast<std::uint16_t>(args["--port"].asLong())},
                                  {.on_request = [&](request_id id, const http_request& request)
                                   { handle(log, id, request); },
                                   .on_cancelled = {}},
                                  reason);
    if (!log.server)
    {
        std::cerr << describe(reason) << "\n";
        return 1;
    }
    constexpr time_ms wait_check_ms = 50;
    run_every(*loop, wait_check_ms, [&] { complete_waiting_reads(log); });
    on_terminate(*loop, [&] { stop(*loop); });
    std::cout << "port=" << bound_port(*log.server) << std::endl;
    run(*loop);
    log.server.reset();
    return 0;
}
