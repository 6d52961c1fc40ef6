#pragma once

#include "sardinepoint/move.hpp"

#include <nlohmann/json_fwd.hpp>

namespace sardinepoint
{

/** Encodes each route's counters as one array: calls, failures and slow calls of the old version,
 * those of the new version, then the untimed calls of both. */
nlohmann::json to_json(const evidence_totals& totals);

/** Inverse of to_json; skips routes with malformed counters. */
evidence_totals parse_evidence_totals(const nlohmann::json& value);

/** Encodes the counts as an array of pairs of bin and count. */
nlohmann::json to_json(const latency_counts& counts);

/** Inverse of to_json; skips malformed pairs. */
latency_counts parse_latency_counts(const nlohmann::json& value);

nlohmann::json to_json(const move_progress& progress);
move_progress parse_progress(const nlohmann::json& value);

} // namespace sardinepoint
