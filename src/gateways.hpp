#pragma once

#include "node.hpp"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace sardinepoint
{

/** Members of the own failure domain that exchange summaries with other failure domains. */
std::vector<std::string> gateway_ids(const node& self);

/** Whether this daemon exchanges summaries with other failure domains. */
bool is_gateway(const node& self);

/** Stores another domain's summary if it differs from the known one. */
void merge_domain_summary(node& self, const nlohmann::json& value, std::string_view source);

/** Hashes of the known summaries by domain. */
nlohmann::json summary_versions(const node& self);

/** Summaries whose hash differs from the peer's. */
nlohmann::json differing_summaries(const node& self, const nlohmann::json& versions);

/** Sends the own domain's summary to one daemon of each other domain. */
void exchange_summaries(node& self);

/** Answers another domain's gateway. */
nlohmann::json handle_summary(node& self, const nlohmann::json& body);

} // namespace sardinepoint
