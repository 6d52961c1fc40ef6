#pragma once

#include "cold/cold_gate.hpp"

#include "sardinepoint/admission.hpp"
#include "sardinepoint/announcement.hpp"
#include "sardinepoint/config.hpp"
#include "sardinepoint/http_client.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace sardinepoint
{

struct node;

/** State of this VM's upstream if its service has a cold rate. */
struct cold_upstream
{
    cold_gate gate;
    /** Path of the service's health requests; empty if there are none. */
    std::string health_path;
    std::optional<call_id> health_request;
    std::uint64_t last_health_request = 0;
    /** Whether the upstream was known to be cold when that was last logged. */
    bool logged_cold = false;
    /** Steady time before which refused calls are only counted. */
    time_ms next_refusal_log = 0;
};

/** Creates, changes or removes the state after a change of the configuration or the upstream. */
void refresh_cold_upstream(node& self);

/** Applies an announcement that was accepted. */
void apply_cold_announcement(node& self, const upstream_announcement& announced);

/** Aborts the health request in progress, whose slot belonged to an earlier incarnation. */
void abort_health_request(node& self);

/** Why no call may start on the upstream now, or nullopt if one may. */
std::optional<std::string> cold_refusal(node& self);

/** Records that a call starts on the upstream. */
void record_upstream_start(node& self);

/**
 * Sends a health request with a slot that a call has just returned, if one is due. Returns whether
 * the slot is used; it is then passed on when the health request ends.
 */
bool use_slot_for_health_request(node& self);

/** Adds what is known of the cold time to a report for other daemons. */
void add_cold_report(const node& self, queue_report& report);

/** Whether calls of the service need the service's cold rate to be known before they are run. */
bool has_cold_rate(const config_state& state, const std::string& service);

} // namespace sardinepoint
