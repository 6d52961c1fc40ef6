#include "move_runtime.hpp"

#include <nlohmann/json.hpp>

namespace sardinepoint
{

using nlohmann::json;

void config_changed(node&) {}

void start_moves(node&) {}

std::optional<json> move_view(const node&, const std::string&)
{
    return std::nullopt;
}

json move_views(const node&)
{
    return json::array();
}

void note_evidence(node&, const attempt_evidence&) {}

std::optional<moved_share> share_of_move(const node&, std::string_view)
{
    return std::nullopt;
}

json progress_json(const node&, const std::string&)
{
    return json::object();
}

json all_progress_json(const node&)
{
    return json::array();
}

void merge_progress_list(node&, const json&) {}

json shared_evidence_json(const node&)
{
    return json::array();
}

void merge_shared_evidence(node&, const json&) {}

void merge_evidence_report(node&, const json&) {}

} // namespace sardinepoint
