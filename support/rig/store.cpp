#include "rig/store.hpp"

#include "packed_text.hpp"

#include <nlohmann/json.hpp>

#include <stdexcept>
#include <utility>

namespace sardinepoint::rig
{

namespace
{

using nlohmann::json;

constexpr time_ms execution_delay_ms = 200;
constexpr time_ms poll_check_ms = 5;

void append_big_endian(std::string& out, std::uint64_t value, int bytes)
{
    for (int i = bytes - 1; i >= 0; --i)
    {
        out.push_back(static_cast<char>((value >> (8 * i)) & 0xffU));
    }
}

std::uint64_t decode_big_endian(std::string_view bytes)
{
    std::uint64_t value = 0;
    for (const char byte : bytes)
    {
        value = (value << 8U) | static_cast<unsigned char>(byte);
    }
    return value;
}

std::vector<std::pair<std::string, std::string>> split_records(std::string_view body)
{
    std::vector<std::pair<std::string, std::string>> records;
    while (body.size() >= 4)
    {
        const std::string_view record = body.substr(4, decode_big_endian(body.substr(0, 4)));
        const std::size_t key_length = static_cast<unsigned char>(record.at(0));
        records.emplace_back(record.substr(1, key_length), record.substr(1 + key_length));
        body.remove_prefix(4 + record.size());
    }
    return records;
}

http_response append(store& self, const http_request& request)
{
    store::topic& topic = self.topics[query_parameter(request.target, "Topic").value_or("")];
    const std::uint64_t end = topic.first + topic.records.size();
    const auto condition = query_parameter(request.target, "At");
    if (condition && *condition != std::to_string(end))
    {
        return json_response(412, json{{"EndOffset", end}}.dump());
    }
    for (auto& record : split_records(request.body))
    {
        topic.records.push_back(std::move(record));
    }
    return json_response(
        200, json{{"Offset", end}, {"EndOffset", topic.first + topic.records.size()}}.dump());
}

http_response read(const store::topic& topic, std::uint64_t from)
{
    const std::uint64_t end = topic.first + topic.records.size();
    if (from < topic.first)
    {
        return json_response(410, json{{"First", topic.first}}.dump());
    }
    http_response response;
    append_big_endian(response.body, end, 8);
    append_big_endian(response.body, topic.first, 8);
    for (std::uint64_t offset = from; offset < end; ++offset)
    {
        const auto& [key, value] = topic.records[offset - topic.first];
        append_big_endian(response.body, 1 + key.size() + value.size(), 4);
        append_big_endian(response.body, key.size(), 1);
        response.body += key + value;
    }
    return response;
}

http_response read_newest(const store::topic& topic)
{
    std::map<std::string, json> newest;
    for (std::size_t i = 0; i < topic.records.size(); ++i)
    {
        const auto& [key, value] = topic.records[i];
        newest[key] = {{"Key", key}, {"Value", encode_base64(value)}, {"Offset", topic.first + i}};
    }
    json items = json::array();
    for (auto& [key, item] : newest)
    {
        items.push_back(std::move(item));
    }
    return json_response(200, json{{"items", std::move(items)},
                                   {"HasMore", false},
                                   {"EndOffset", topic.first + topic.records.size()}}
                                  .dump());
}

/** Long poll: responds when there are records from this offset on or the deadline is reached. */
void respond_to_read(store& self, request_id id, const std::string& name, std::uint64_t from,
                     time_ms deadline)
{
    const store::topic& topic = self.topics[name];
    const bool empty = from >= topic.first + topic.records.size();
    if (empty && steady_now() < deadline)
    {
        run_after(*self.loop, poll_check_ms,
                  [&self, id, name, from, deadline]
                  { respond_to_read(self, id, name, from, deadline); });
        return;
    }
    send_response(*self.server, id, read(topic, from));
}

void execute_request(store& self, request_id id, const http_request& request, bool send_result)
{
    const std::string_view path = path_of(request.target);
    const std::string topic = query_parameter(request.target, "Topic").value_or("");
    if (path == "/api/log-append")
    {
        http_response response = append(self, request);
        if (send_result)
        {
            send_response(*self.server, id, std::move(response));
        }
        return;
    }
    if (!send_result)
    {
        return;
    }
    if (path == "/api/log-read")
    {
        respond_to_read(self, id, topic,
                        static_cast<std::uint64_t>(query_integer(request.target, "From", 0)),
                        steady_now() + query_integer(request.target, "WaitMs", 0));
        return;
    }
    if (path == "/api/log-newest")
    {
        send_response(*self.server, id, read_newest(self.topics[topic]));
        return;
    }
    send_response(*self.server, id, {.status = 404, .headers = {}, .body = {}});
}

void handle(store& self, request_id id, const http_request& request)
{
    ++self.calls;
    store_fault fault = store_fault::none;
    if (!self.faults.empty())
    {
        fault = self.faults.front();
        self.faults.pop_front();
    }
    switch (fault)
    {
    case store_fault::none:
        execute_request(self, id, request, true);
        return;
    case store_fault::unavailable:
        send_response(*self.server, id, {.status = 503, .headers = {}, .body = {}});
        return;
    case store_fault::rate_limited:
        send_response(*self.server, id, {.status = 429, .headers = {}, .body = {}});
        return;
    case store_fault::response_lost:
        execute_request(self, id, request, false);
        return;
    case store_fault::delayed_execution:
        run_after(*self.loop, execution_delay_ms,
                  [&self, id, request] { execute_request(self, id, request, false); });
        return;
    case store_fault::no_response:
        return;
    case store_fault::compacted:
        send_response(*self.server, id, json_response(410, R"({"First":1000})"));
        return;
    case store_fault::malformed_response:
        send_response(*self.server, id, {.status = 200, .headers = {}, .body = "garbage"});
        return;
    }
}

} // namespace

store::store(event_loop& loop) : loop(&loop)
{
    error reason;
    this->server =
        open_http_server(loop, {},
                         {.on_request = [this](request_id id, const http_request& request)
                          { handle(*this, id, request); },
                          .on_cancelled = {}},
                         reason);
    if (!this->server)
    {
        throw std::runtime_error(describe(reason));
    }
}

endpoint store::address() const
{
    return {"127.0.0.1", bound_port(*this->server)};
}

void store::write(const std::string& topic, const std::string& key, const std::string& value)
{
    this->topics[topic].records.emplace_back(key, value);
}

std::string store::newest(const std::string& topic, const std::string& key) const
{
    const auto found = this->topics.find(topic);
    std::string value;
    if (found != this->topics.end())
    {
        for (const auto& [other, text] : found->second.records)
        {
            value = other == key ? text : value;
        }
    }
    return value;
}

int store::write_count(const std::string& topic, const std::string& key) const
{
    const auto found = this->topics.find(topic);
    int writes = 0;
    if (found != this->topics.end())
    {
        for (const auto& [other, text] : found->second.records)
        {
            writes += other == key ? 1 : 0;
        }
    }
    return writes;
}

} // namespace sardinepoint::rig
