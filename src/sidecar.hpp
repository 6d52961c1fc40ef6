#pragma once

#include "instances.hpp"
#include "node.hpp"

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
#include <string>
#include <unordered_map>
#include <vector>

namespace sardinepoint
{

struct outbound_call;
struct inbound_call;

/** When a daemon that runs calls for this one was last heard. */
struct peer_liveness
{
    time_ms heard_at = 0;
    time_ms probed_at = 0;
    /** The last probe was not answered: probed again until one is. */
    bool silent = false;
    /** A probe is under way. */
    bool probing = false;
    /** Time that calls lately spent on the way there and back. */
    double network_delay = 0;
};

/** The upstream of this VM. */
struct served_upstream
{
    upstream_announcement announced;
    time_ms lease_until = 0;
    /** It refuses connections or answers nothing; its next announcement brings it back. */
    bool down = false;
    /** When it was last asked for a connection because of its silence. */
    time_ms probed_at = 0;
    admission_queue queue;
};

/** What a daemon that serves the callers of its VM keeps besides the rest of its node. */
struct sidecar
{
    const call_dialect* dialect = nullptr;
    /** Shared by both listeners; goes after them. */
    send_turns turns;
    pipelined_server_ptr outbound_server;
    /** Calls from the daemons of other VMs. */
    pipelined_server_ptr inbound_server;
    /** Opened by the platform's adapter. */
    std::vector<http_server_ptr> listeners;
    connection_pool_ptr peer_pool;

    route_table routes;
    split_credits splits;
    /** Part of the calls that goes to a moved service's new version, by service. */
    std::map<std::string, share_credit, std::less<>> move_shares;
    retry_limits retry_bounds;
    retry_counts retries;
    /** Repeats among the runs of the upstream of this VM. */
    retry_rate upstream_retry_rate;
    placement_options placement_params;
    /** Times that callers give their calls, by route. */
    std::map<std::string, caller_timeouts, std::less<>> caller_timeouts_by_route;
    /** Usual size of an answer, by route. */
    std::map<std::string, double, std::less<>> reply_bytes;
    std::map<std::string, instance_group, std::less<>> instance_groups;

    std::optional<served_upstream> served;
    /** The upstream that left before this daemon had served it, as after a restart. */
    std::optional<departure> departed;
    std::unordered_map<std::uint64_t, std::unique_ptr<outbound_call>> outbound;
    std::map<std::string, peer_liveness, std::less<>> peers;
    std::unordered_map<std::uint64_t, std::unique_ptr<inbound_call>> inbound;
    /** Inbound calls that came from other daemons, by request of the data listener. */
    std::unordered_map<std::uint64_t, std::uint64_t> inbound_by_request;
    std::uint64_t last_inbound_id = 0;
};

/** Callers of the VM go on sending until readiness was asked for twice, a second apart. */
inline constexpr time_ms readiness_propagation_ms = 2500;

/** Whether the daemon serves the callers of its VM. */
bool is_sidecar(const node& self);

/** Opens the outbound listener and the platform's; false with the reason if one can't be opened. */
bool open_sidecar(node& self, error& reason);

/** Starts the periodic work. */
void start_sidecar(node& self);

/** Builds the route table of a new configuration. */
void refresh_routes(node& self);

/** The upstream of this VM as it should be published; empty if it takes no new calls. */
std::optional<upstream_record> served_upstream_record(const node& self);

/** Takes an announcement; the reason is set if it is rejected. */
announcement_verdict handle_announcement(node& self, const upstream_announcement& announced,
                                         error& reason);

/** The upstream with this id has left or is about to; unless it is another one or a later start. */
void handle_departure(node& self, std::string_view instance,
                      std::optional<std::uint64_t> incarnation);

/** The upstream doesn't answer: it gets no calls until it announces itself again. */
void mark_down(node& self, std::string_view reason);

/** Refuses connections from now on, those that wait excepted; false if it did so before. */
bool refuse_connections(sidecar& sidecar_state);

/** Calls that have not been answered. */
std::size_t open_sidecar_calls(const node& self);

/** Whether new callers should come here. */
bool is_accepting_callers(const node& self);

} // namespace sardinepoint
