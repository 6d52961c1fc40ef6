#pragma once

#include "node.hpp"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace sardinepoint
{

/** Moves under way as this daemon sees them. */
struct move_runtime
{
};

/** How one attempt ended, as evidence for a move. */
struct attempt_evidence
{
    std::string_view service;
    std::string_view route;
    std::string_view version;
    run_outcome outcome = run_outcome::unknown;
    int status = 0;
    time_ms elapsed = 0;
    bool crashed = false;
};

/** Counts an attempt if its service has a running move. */
void note_evidence(node& self, const attempt_evidence& attempt);

/** Starts the periodic work for moves. */
void start_moves(node& self);

/** What operators see of a move; empty if the move is unknown. */
std::optional<nlohmann::json> move_view(const node& self, const std::string& move);
nlohmann::json move_views(const node& self);

/** Called after each change of the folded configuration. */
void config_changed(node& self);

/** Part of a service's calls that a running move sends to the new version. */
std::optional<moved_share> share_of_move(const node& self, std::string_view service);

nlohmann::json progress_json(const node& self, const std::string& move);
nlohmann::json all_progress_json(const node& self);
void merge_progress_list(node& self, const nlohmann::json& values);

nlohmann::json shared_evidence_json(const node& self);
void merge_shared_evidence(node& self, const nlohmann::json& message);
void merge_evidence_report(node& self, const nlohmann::json& message);

} // namespace sardinepoint
