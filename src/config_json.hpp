#pragma once

#include "json_reader.hpp"

#include "sardinepoint/config.hpp"

#include <map>
#include <string>
#include <string_view>

namespace sardinepoint::detail
{

nlohmann::json to_json(const route& value);
nlohmann::json to_json(const service_config& value);
nlohmann::json to_json(const caller_limits& value);
nlohmann::json to_json(const organisation& value);

route parse_route(json_reader& reader);
/** Parses shares by version, in whole percent that must add up to 100. */
std::map<std::string, int> parse_shares(json_reader& reader, std::string_view key);
/** `versions_required` is false for whole configurations and snapshots, where a service may have no
 * versions. */
service_config parse_service(json_reader& reader, bool versions_required = true);

/** Parses the arrays "routes" and "services" of an object into maps by name. */
std::map<std::string, route> parse_routes(json_reader& reader, error_kind kind, error& reason);
std::map<std::string, service_config> parse_services(json_reader& reader, error_kind kind,
                                                     error& reason);
/** Parses the array "organisations" into a map by name; empty if the object has none. */
std::map<std::string, organisation> parse_organisations(json_reader& reader, error_kind kind,
                                                        error& reason);
caller_limits parse_limits(const nlohmann::json& value, error_kind kind, error& reason);

} // namespace sardinepoint::detail
