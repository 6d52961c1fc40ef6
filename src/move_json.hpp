#pragma once

#include "sardinepoint/move.hpp"

#include <nlohmann/json_fwd.hpp>

namespace sardinepoint
{

/** Counters by route as [calls, failures, slow] of the old and the new version. */
nlohmann::json to_json(const evidence_totals& totals);

/** Inverse of to_json; routes with malformed counters are left out. */
evidence_totals parse_evidence_totals(const nlohmann::json& value);

nlohmann::json to_json(const move_progress& progress);
move_progress parse_progress(const nlohmann::json& value);

} // namespace sardinepoint
