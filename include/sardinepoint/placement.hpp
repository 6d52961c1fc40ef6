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

/** State of one upstream instance as known to one daemon. Times are steady. */
struct instance_view
{
    std::string member;
    std::string instance;
    std::string version;
    std::string locality;
    /** The locality is evacuated: the instance gets no calls. */
    bool evacuated = false;
    int slots = 1;
    /** The upstream is warming up, and slower than usual, until this time. */
    time_ms cold_until = 0;
    /** Usual service time according to the upstream's record; 0 if it is unknown. */
    time_ms advertised_service_time = 0;

    queue_report report;
    time_ms reported_at = 0;
    /** Calls of this daemon that are in progress. */
    int in_flight = 0;
    /** Calls sent since the last report. */
    int sent_since_report = 0;
    /** Consecutive calls that ended without a response of the upstream. */
    int consecutive_failures = 0;
    /** Exponentially weighted fraction of responses that were server errors. */
    double error_fraction = 0;
    time_ms suspended_until = 0;
    /** The upstream is cold, according to a report, until this time. */
    time_ms reported_cold_until = 0;
    /** The upstream gets no calls before this time because it is or may be cold. */
    time_ms room_at = 0;
    /** Exponentially weighted round-trip network delay of calls. */
    double network_delay = 0;
    time_ms network_delay_at = 0;
};

struct placement_options
{
    /**
     * Cost in milliseconds of a call to another locality: its round trip, and an amount per KB of
     * the response. Traffic between localities is expensive: 100 KB cost about as much as a late
     * response.
     */
    double locality_cost = 3;
    double locality_cost_per_kb = 4;
    /** Cost of a call to another VM: one more hop. */
    time_ms hop_cost = 2;
    /** Random fraction of a cost, so that daemons with the same reports choose differently. */
    double noise = 0.15;
    /** Maximum age of a report that is used to estimate the queue. */
    time_ms max_report_age = 1000;
    /**
     * Weight of the wait that is expected at an instance without a recent report, estimated from
     * the reports of instances of a similar speed; 0 assumes no wait. With many instances a daemon
     * has recent reports of few of them, while those of one speed are loaded alike. It exceeds 1
     * because a call also delays the ones behind it.
     */
    double similar_wait_weight = 2;
    /** Factor on the expected service time of an upstream that is still warming up. */
    double cold_factor = 2;
    /** Consecutive calls without a response after which an instance is suspended. */
    int failures_to_suspend = 2;
    time_ms suspension_time = 1000;
    /** Smoothing factor of the error fraction. */
    double error_gain = 0.1;
    /** Weight of the error fraction in the cost of an instance. */
    double error_cost = 8;
    /** Smoothing factor of the network delay. */
    double network_delay_gain = 0.2;
    /**
     * Time constant with which a known network delay decays, so that a slow link is tried again.
     */
    time_ms network_delay_decay_ms = 1000;
    /**
     * Number of instances drawn at random, of which the best one gets the call; 0 considers all.
     * Daemons with nearly the same reports would otherwise all choose the same instance until it is
     * full.
     */
    std::size_t choices = 3;
    /**
     * Cost in milliseconds of a call to another locality from which on `choices` instances are
     * drawn from the own locality and only one from the others. It corresponds to responses of 125
     * KB, whose transfer between localities costs more than a late response. Smaller ones go
     * wherever there are free slots, since the load differs between localities.
     */
    double local_sampling_cost = 500;
    /**
     * Fraction of the time until a call's latency target within which an upstream of the own
     * locality must be expected to answer to get the call regardless of the others; 0 compares all
     * localities for each call. An answer is worth the same up to the target, while a call to
     * another locality costs bytes between localities and depends on their link. The rest of the
     * time covers service times above the average.
     */
    double local_fraction = 0;
    /**
     * Fraction of its slots that such an upstream may have in use according to its recent report,
     * or else to those of its locality. Upstreams slow down near full, and a locality with more
     * calls than capacity fills up first.
     */
    double max_local_use = 0.6;
};

struct placement_request
{
    std::string_view own_member;
    std::string_view locality;
    /** Usual size of the response to this call. */
    double response_kb = 0;
    /** Time until the call's latency target; 0 if it has none or is late already. */
    double target_time_left = 0;
    /** How long a response of another daemon may wait here before it is read. */
    double lag_ms = 0;
    /** Instances to which this call was offered before. */
    std::span<const std::string> tried;
    /** Indices into the views of the instances that may get the call; all if not set. */
    std::optional<std::span<const std::size_t>> eligible;
};

struct placement
{
    /** Index into the views. */
    std::size_t index = 0;
    /** Expected wait for a slot there. */
    time_ms wait = 0;
    /** Age of the report used for the choice; -1 if there was none. */
    time_ms report_age = -1;
    /** Service time that the instance reported or advertised; 0 if neither is known. */
    time_ms known_service_time = 0;
};

/** Expected wait for a slot at an instance. */
double expected_wait(const instance_view& view, const placement_options& options, time_ms now);

/** Shortest expected wait for a slot at any of the instances; empty if there are none. */
std::optional<double> shortest_wait(std::span<const instance_view> views,
                                    const placement_options& options, time_ms now);

/** The instance with the lowest expected cost; empty if none is left. */
std::optional<placement> place_call(std::span<const instance_view> views,
                                    const placement_request& request,
                                    const placement_options& options, time_ms now,
                                    std::mt19937_64& rng);

/** A call was sent to the instance; it ended or was abandoned. */
void record_sent(instance_view& view);
void record_ended(instance_view& view);

/** Stores a report. */
void record_report(instance_view& view, const queue_report& report, time_ms now);

/** Records the network delay of a call: its total time less the time spent at the other daemon. */
void record_network_delay(instance_view& view, time_ms network_delay,
                          const placement_options& options, time_ms now);

/** Records the end of a call: with a response of the upstream, or without one. */
void record_response(instance_view& view, bool server_error, const placement_options& options);
void record_no_response(instance_view& view, const placement_options& options, time_ms now);

} // namespace sardinepoint
