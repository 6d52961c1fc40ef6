#pragma once

#include "sardinepoint/limits.hpp"

#include <nlohmann/json_fwd.hpp>

#include <optional>

namespace sardinepoint
{

nlohmann::json to_json(const crash_entry& entry);
std::optional<crash_entry> crash_from_json(const nlohmann::json& value);

} // namespace sardinepoint
