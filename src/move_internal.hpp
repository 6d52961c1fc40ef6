#pragma once

#include "move_runtime.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace sardinepoint
{

/** The move's record in this daemon's replica of the configuration, or null. */
const move_record* find_move_record(const node& self, const std::string& move);

/** Whether the move was started by an order and a newer order for its service is known. */
bool is_replaced(const node& self, const move_record& record);

/** The running move of a service, else the latest watched one, or nulls. A replaced move is never
 * returned, so that at most one of the service's moves is running. */
std::pair<const move_record*, tracked_move*> move_of_service(const node& self,
                                                             std::string_view service);

/** Percentage of the service's calls that this daemon currently sends to the new version. */
double current_share(const move_spec& spec, const tracked_move& tracked);

/** Sets the state of the move's record if its progress says that the outcome is on record. */
void apply_recorded_outcome(node& self, const std::string& move, const move_progress& progress);

/** Merges progress into a tracked move; returns whether it changed. */
bool advance_move(node& self, const std::string& move, const move_progress& progress,
                  std::string_view source);

/** The daemon's own slow threshold for the route in milliseconds, or else the one of the failure
 * domain; empty without either. */
std::optional<double> slow_threshold_of(const tracked_move& tracked, const std::string& route);

/** Logs the slow thresholds in force that have changed, at most once a second. */
void log_slow_thresholds(const std::string& move, tracked_move& tracked);

/** Counts overdue pending crashes as failures of their versions. A crash is dropped instead if its
 * request has been quarantined. */
void resolve_pending_crashes(node& self, tracked_move& tracked);

/** Members of the failure domain that aggregate the move's evidence; the first one decides. */
std::vector<std::string> aggregators_of(const node& self, const std::string& move);

/** Sends evidence to a member, or merges it directly if the member is this daemon. */
void deliver_evidence(node& self, const std::string& member, const nlohmann::json& message);

} // namespace sardinepoint
