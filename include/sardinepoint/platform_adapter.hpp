#pragma once

#include "sardinepoint/http.hpp"
#include "sardinepoint/log_client.hpp"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sardinepoint
{

struct node;

/** Metadata of a call from the caller's headers. */
struct caller_metadata
{
    /** Identifies one attempt of the caller; empty if the caller sent no id. */
    std::string id;
    std::optional<time_ms> time_left;
};

/** Metadata of a call that an upstream receives in addition to the caller's own headers. */
struct upstream_call
{
    std::string_view id;
    /** Only this instance may run the call. */
    std::string_view instance;
    /** Service of the VM on which the call originated. */
    std::string_view caller_service;
    /** Organisation of the caller's key; empty if the call has none. */
    std::string_view organisation;
    time_ms time_left = 0;
};

enum class response_kind
{
    /** The upstream's response to this call. */
    answered,
    /** The upstream reports that it did not run the call. */
    not_run,
    /** The call reached another instance, which did not run it. */
    wrong_instance,
    /** A response to another call, or one that the upstream itself did not produce. */
    foreign,
};

std::string_view to_string(response_kind kind);

/** Maps call metadata to and from the HTTP headers of a platform. */
struct call_protocol
{
    caller_metadata (*parse_caller_headers)(std::span<const http_header> headers) = nullptr;
    /** Removes the header that tells upstreams the organisation, which callers must not set. */
    void (*remove_organisation)(std::vector<http_header>& headers) = nullptr;
    /** Sets the headers that the upstream expects from the daemon, replacing the caller's. */
    void (*write_upstream_headers)(std::vector<http_header>& headers,
                                   const upstream_call& call) = nullptr;
    response_kind (*classify_response)(const http_response& response,
                                       const upstream_call& call) = nullptr;
    /** Sets the headers of a request that asks the upstream for its state. */
    void (*write_health_headers)(std::vector<http_header>& headers,
                                 const upstream_call& call) = nullptr;
    /** Remaining cold time according to the response to such a request; nullopt if the response
     * says none or is not the upstream's response to it. */
    std::optional<time_ms> (*parse_cold_time)(const http_response& response,
                                              const upstream_call& call) = nullptr;
};

/** Interface between the daemon and a platform; adapters register themselves by name. */
struct platform_adapter
{
    log_protocol log;
    call_protocol calls;
    /** Opens the listeners for requests of the platform; may be null. */
    bool (*open_listeners)(node& self, error& reason) = nullptr;
};

} // namespace sardinepoint
