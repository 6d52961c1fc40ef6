#pragma once

#include "node.hpp"

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <string>
#include <string_view>

namespace sardinepoint
{

/** Timeout for the response in a digest, member or summary exchange. */
inline constexpr time_ms sync_timeout_ms = 1500;

/** Control endpoint of a member. */
endpoint control_endpoint(const member_record& record);

/** Control endpoint under which peers reach this daemon. */
endpoint own_control_endpoint(const node& self);

/**
 * Posts a message to another daemon's control endpoint. `done` may be empty; its argument is the
 * JSON object in the response, or nullptr if there is none.
 */
void send_to_peer(node& self, const endpoint& control, std::string_view path,
                  const nlohmann::json& body, time_ms timeout,
                  std::function<void(const nlohmann::json* response)> done);

/** Hash of the serialised value. */
std::uint64_t hash_json(const nlohmann::json& value);

/** The value of a field, or an empty value or 0 if it is missing or has another type. */
std::string string_field(const nlohmann::json& body, const char* key);
std::uint64_t unsigned_field(const nlohmann::json& body, const char* key);
const nlohmann::json& array_field(const nlohmann::json& body, const char* key);

} // namespace sardinepoint
