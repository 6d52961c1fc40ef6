#pragma once

#include "move_runtime.hpp"

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace sardinepoint
{

/** The move's record in the folded configuration, or null. */
const move_record* find_record(const node& self, const std::string& move);

/** The move of a service that runs or is watched, or nulls; a service has at most one that runs. */
std::pair<const move_record*, tracked_move*> move_of_service(const node& self,
                                                             std::string_view service);

/** Percent of the service's calls that this daemon sends to the new version now. */
double current_share(const move_spec& spec, const tracked_move& tracked);

/** Merges progress into a tracked move; returns whether it changed. */
bool advance_move(node& self, const std::string& move, const move_progress& progress,
                  std::string_view source);

/** Charges crashes to their versions, or drops them if the request is quarantined by now. */
void resolve_pending_crashes(node& self, tracked_move& tracked);

/** Members of the failure domain that aggregate the move's evidence; the first one decides. */
std::vector<std::string> aggregators_of(const node& self, const std::string& move);

/** Sends evidence to a member, or takes it over if that is this daemon. */
void deliver_evidence(node& self, const std::string& member, const nlohmann::json& message);

} // namespace sardinepoint
