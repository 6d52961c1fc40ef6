#pragma once

#include "sardinepoint/admission.hpp"
#include "sardinepoint/core.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sardinepoint
{

/** One upstream instance as one daemon sees it. Times are steady. */
struct instance_view
{
    std::string member;
    std::string instance;
    std::string version;
    std::string locality;
    int slots = 1;
    time_ms cold_until = 0;

    queue_report report;
    time_ms reported_at = 0;
    /** Calls of this daemon that have not ended. */
    int in_flight = 0;
    /** Calls sent since the report. */
    int sent_since_report = 0;
    /** Calls that ended without an answer of the upstream, one after the other. */
    int consecutive_failures = 0;
    /** Share of answers that were server errors, exponentially weighted. */
    double error_fraction = 0;
    time_ms suspended_until = 0;
    /** Time that calls spend on the way there and back, exponentially weighted. */
    double network_delay = 0;
    time_ms network_delay_at = 0;
};

struct placement_options
{
    /** Cost in milliseconds of leaving the own locality: its round trip, and for each KB of the
     * answer. Bytes between localities are dear: 100 KB cost about as much as a late answer. */
    double locality_cost = 3;
    double locality_cost_per_kb = 4;
    /** Cost of leaving the own VM: one more hop. */
    time_ms hop_cost = 2;
    /** Random part of a cost, so that daemons with the same reports choose differently. */
    double noise = 0.15;
    /** A report older than this says nothing about the queue. */
    time_ms report_age = 1000;
    /** Factor on the hold time of an upstream that has just started. */
    double cold_factor = 2;
    /** Calls in a row without an answer after which an instance is avoided. */
    int failures_to_suspend = 2;
    time_ms suspension_time = 1000;
    /** Weight of the newest answer in the share of errors. */
    double error_gain = 0.1;
    /** Factor on the cost of an instance that answers only errors. */
    double error_cost = 8;
    /** Weight of the newest call in the time on the way. */
    double network_delay_gain = 0.2;
    /** A link that was slow is tried again after some times this long. */
    time_ms network_delay_decay_ms = 1000;
    /** Instances drawn at random of which the best gets the call; 0 considers all. Many daemons
     * know much the same, and would send their calls to the same instance until it is full. */
    std::size_t choices = 3;
    /** Cost in milliseconds of leaving the own locality from which on as many are drawn of the own
     * locality and only one of the others: answers of 125 KB, whose way there costs more than that
     * they come late. Smaller ones go where there is room: localities have unequal loads. */
    double local_sampling_cost = 500;
};

struct placement_request
{
    std::string_view own_member;
    std::string_view locality;
    /** Usual size of an answer to this call. */
    double response_kb = 0;
    /** How long an answer of another daemon may wait here before it is read. */
    double lag_ms = 0;
    /** Instances that were offered this call already. */
    std::span<const std::string> tried;
    /** Positions of the views that may get the call; all if not set. */
    std::optional<std::span<const std::size_t>> eligible;
};

struct placement
{
    /** Position among the views. */
    std::size_t index = 0;
    /** Expected wait for a slot there. */
    time_ms wait = 0;
    /** Age of the report that this rests on; -1 without one. */
    time_ms report_age = -1;
};

/** Expected wait for a slot at an instance. */
double expected_wait(const instance_view& view, const placement_options& options, time_ms now);

/** Shortest expected wait for a slot at any of the instances; empty if there is none. */
std::optional<double> shortest_wait(std::span<const instance_view> views,
                                    const placement_options& options, time_ms now);

/** The instance that should answer first; empty if none is left. */
std::optional<placement> place_call(std::span<const instance_view> views,
                                    const placement_request& request,
                                    const placement_options& options, time_ms now,
                                    std::mt19937_64& rng);

/** A call was sent to the instance; it ended or was given up. */
void record_sent(instance_view& view);
void record_ended(instance_view& view);

/** Takes over a report. */
void record_report(instance_view& view, const queue_report& report, time_ms now);

/** Takes over how long a call was on its way: its time less that at the other daemon. */
void record_network_delay(instance_view& view, time_ms network_delay,
                          const placement_options& options, time_ms now);

/** The call ended: with the upstream's answer, or without one. */
void record_response(instance_view& view, bool server_error, const placement_options& options);
void record_no_response(instance_view& view, const placement_options& options, time_ms now);

} // namespace sardinepoint
