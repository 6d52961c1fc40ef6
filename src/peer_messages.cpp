#include "peer_messages.hpp"

#include "json_reader.hpp"

#include <nlohmann/json.hpp>

#include <utility>

namespace sardinepoint
{

using nlohmann::json;

endpoint own_control_endpoint(const node& self)
{
    return {self.config.address, self.config.advertised_control_port};
}

endpoint control_endpoint(const member_record& record)
{
    return {record.address, record.control_port};
}

std::uint64_t hash_json(const json& value)
{
    return detail::hash_of(detail::dump_json(value));
}

std::string string_field(const json& body, const char* key)
{
    const auto found = body.find(key);
    return found != body.end() && found->is_string() ? found->get<std::string>() : std::string();
}

std::uint64_t unsigned_field(const json& body, const char* key)
{
    const auto found = body.find(key);
    return found != body.end() && found->is_number_unsigned() ? found->get<std::uint64_t>() : 0;
}

const json& array_field(const json& body, const char* key)
{
    static const json empty = json::array();
    const auto found = body.find(key);
    return found != body.end() && found->is_array() ? *found : empty;
}

void send_to_peer(node& self, const endpoint& control, std::string_view path, const json& body,
                  time_ms timeout, std::function<void(const json* response)> done)
{
    send_request(*self.control_client,
                 {.method = "POST",
                  .url = "http://" + to_string(control) + std::string(path),
                  .body = detail::dump_json(body),
                  .timeout = timeout,
                  .connect_timeout = timeout},
                 [done = std::move(done)](const http_result& result)
                 {
                     if (!done)
                     {
                         return;
                     }
                     const bool ok =
                         result.outcome == call_outcome::answered && result.response.status == 200;
                     const json response =
                         ok ? json::parse(result.response.body, nullptr, false) : json();
                     done(response.is_object() ? &response : nullptr);
                 });
}

} // namespace sardinepoint
