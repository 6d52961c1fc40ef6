#pragma once

#include "node.hpp"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace sardinepoint
{

/** Members of this daemon's failure domain that exchange summaries with other failure domains. */
std::vector<std::string> gateway_ids(const node& self);

/** Whether this daemon exchanges summaries with other failure domains. */
bool is_gateway(const node& self);

/** Stores another domain's summary if it differs from the stored one. Invalid ones are ignored. */
void merge_domain_summary(node& self, const nlohmann::json& value, std::string_view source);

/** Hashes of the stored summaries by domain. */
nlohmann::json summary_versions(const node& self);

/** Stored summaries whose hash differs from the one in the peer's `versions`. */
nlohmann::json differing_summaries(const node& self, const nlohmann::json& versions);

/**
 * If this daemon is a gateway, sends its domain's summary to one contact in each other domain and
 * merges the response.
 */
void exchange_summaries(node& self);

/** Merges a summary message from another domain's gateway and returns the response. */
nlohmann::json handle_summary(node& self, const nlohmann::json& body);

} // namespace sardinepoint
