#pragma once

#include "cold/cold_upstream.hpp"
#include "hedging/hedge_policy.hpp"
#include "instances.hpp"
#include "node.hpp"
#include "organisations/keys.hpp"

#include "sardinepoint/admission.hpp"
#include "sardinepoint/announcement.hpp"
#include "sardinepoint/caller_times.hpp"
#include "sardinepoint/connection_pool.hpp"
#include "sardinepoint/pipelined_server.hpp"
#include "sardinepoint/placement.hpp"
#include "sardinepoint/platform_adapter.hpp"
#include "sardinepoint/retry_ledger.hpp"
#include "sardinepoint/route_table.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace sardinepoint
{

struct outbound_call;
struct inbound_call;
struct usage_runtime;

/** Liveness of a daemon to which this one sends calls, based on its responses and on probes. */
struct peer_liveness
{
    /** Steady times of the last response from the daemon and of the last probe sent to it. */
    time_ms heard_at = 0;
    time_ms probed_at = 0;
    /** The last probe failed; the daemon is probed again until it responds. */
    bool silent = false;
    /** A probe is in progress. */
    bool probing = false;
    /** Recent round-trip time of calls on the network. */
    double network_delay = 0;
};

/** The upstream of this VM, as it last announced itself, and its queue of calls. */
struct served_upstream
{
    upstream_announcement announced;
    time_ms lease_until = 0;
    /** The upstream is unavailable until its next announcement: it refused a connection, didn't
     * respond, or stopped announcing itself. */
    bool down = false;
    /** Time of the last connection probe that was sent because no call had ended. */
    time_ms probed_at = 0;
    admission_queue queue;
    /** Slots of cancelled calls that are about to be passed on; the queue counts them as used. */
    int freed_slots = 0;
    advertised_service_time advertised;
};

/** Additional state of a daemon that serves the callers of its VM. */
struct sidecar
{
    sidecar();
    ~sidecar();
    sidecar(const sidecar&) = delete;
    sidecar& operator=(const sidecar&) = delete;

    const call_protocol* protocol = nullptr;
    /** Shared by both listeners, and must outlive them. */
    send_turns turns;
    pipelined_server_ptr outbound_server;
    /** Receives calls from the daemons of other VMs. */
    pipelined_server_ptr inbound_server;
    /** Opened by the platform adapter. */
    std::vector<http_server_ptr> listeners;
    connection_pool_ptr peer_pool;

    route_table routes;
    key_directory keys;
    /** Evacuated localities as last applied. */
    std::set<std::string> evacuated;
    split_credits splits;
    /** Selection of the calls that go to the new version of a service during a move, by service. */
    std::map<std::string, share_credit, std::less<>> move_shares;
    retry_limits retry_bounds;
    retry_counts retry_counts_by_service;
    /** Fraction of the calls on the upstream of this VM that are retries. */
    retry_rate upstream_retry_rate;
    placement_options placement_params;
    hedge_state hedging;
    /** Timeouts that callers set for their calls, by route. */
    std::map<std::string, caller_timeouts, std::less<>> caller_timeouts_by_route;
    /** Moving average of the response size, by route. */
    std::map<std::string, double, std::less<>> average_response_bytes;
    std::map<std::string, instance_group, std::less<>> instance_groups;

    std::optional<served_upstream> served;
    /** Null if the upstream's service has no cold rate. */
    std::unique_ptr<cold_upstream> cold;
    /** An upstream that deregistered while this daemon didn't serve it, for instance after a
     * restart of the daemon. */
    std::optional<departure> departed;
    std::unordered_map<std::uint64_t, std::unique_ptr<outbound_call>> outbound;
    std::map<std::string, peer_liveness, std::less<>> peers;
    std::unordered_map<std::uint64_t, std::unique_ptr<inbound_call>> inbound;
    /** Ids of inbound calls from other daemons, by the id of their request on the data listener. */
    std::unordered_map<std::uint64_t, std::uint64_t> inbound_by_request;
    std::uint64_t last_inbound_id = 0;
    /** Usage limits of organisations. */
    std::unique_ptr<usage_runtime> usage;
};

/** Time until callers on the VM notice that the daemon isn't ready: they keep sending calls until
 * two readiness checks, one second apart, have failed. */
inline constexpr time_ms readiness_propagation_ms = 2500;

/** Time of a planned shutdown for the last responses to reach their callers: 500 KB over 16 Mbit/s
 * take 250 ms. */
inline constexpr time_ms response_delivery_ms = 500;

/** Whether the daemon serves the callers of its VM. */
bool is_sidecar(const node& self);

/** Opens the outbound, data and platform listeners. Returns false and sets the reason if one can't
 * be opened. */
bool open_sidecar(node& self, error& reason);

/** Starts the periodic checks of waiting calls, the upstream and the peers. */
void start_sidecar(node& self);

/** Rebuilds the route table and the caller limits from the current configuration. */
void refresh_routes(node& self);

/** Returns the record to publish for the upstream of this VM, or nullopt if it accepts no new
 * calls. */
std::optional<upstream_record> served_upstream_record(const node& self);

/** Applies an announcement of the upstream. The reason is set if it is rejected. */
announcement_verdict handle_announcement(node& self, const upstream_announcement& announced,
                                         error& reason);

/** Applies the deregistration of an instance: it gets no new calls. If another instance or a later
 * incarnation is served, the deregistration is only remembered, and its late announcements are
 * ignored. */
void handle_departure(node& self, std::string_view instance,
                      std::optional<std::uint64_t> incarnation);

/** The upstream that is leaving or left last; none if the VM's upstream stays. */
departed_instance last_departure(const sidecar& sidecar_state);

/** Applies a departure that this daemon has told its peers before it was restarted. */
void learn_departure(node& self, const departed_instance& departed);

/** Marks the upstream as unavailable. It gets no calls until it announces itself again; the calls
 * that it runs go on. */
void mark_upstream_down(node& self, std::string_view reason);

/** Stops accepting connections except those already waiting. Returns false if it had stopped
 * before. */
bool refuse_connections(sidecar& sidecar_state);

/** Number of calls without a response yet, including requests that wait at the listeners. */
std::size_t open_sidecar_calls(const node& self);

/** Whether the daemon is ready for new callers. */
bool is_accepting_callers(const node& self);

} // namespace sardinepoint
