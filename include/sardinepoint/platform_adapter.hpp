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

/** What a caller's headers say about its call. */
struct caller_metadata
{
    /** Names one attempt of a caller; empty if the caller gave none. */
    std::string id;
    std::optional<time_ms> time_left;
};

/** What an upstream is told about a call besides the caller's own headers. */
struct upstream_call
{
    std::string_view id;
    /** Only this instance may run the call. */
    std::string_view instance;
    /** Service of the VM at which the call began. */
    std::string_view caller_service;
    time_ms time_left = 0;
};

enum class response_kind
{
    /** The upstream's answer to this call. */
    answered,
    /** The upstream says that it did not run the call. */
    not_run,
    /** The call reached another instance, which did not run it. */
    wrong_instance,
    /** An answer to another call, or nothing that the upstream meant as an answer. */
    foreign,
};

std::string_view to_string(response_kind kind);

/** Headers by which callers and upstreams speak on a platform. */
struct call_dialect
{
    caller_metadata (*parse_caller_headers)(std::span<const http_header> headers) = nullptr;
    /** Replaces the headers that the daemon has to set for the upstream. */
    void (*write_upstream_headers)(std::vector<http_header>& headers,
                                   const upstream_call& call) = nullptr;
    response_kind (*classify_response)(const http_response& response,
                                       const upstream_call& call) = nullptr;
};

/** Everything by which the daemon meets one platform; adapters register themselves by name. */
struct platform_adapter
{
    log_protocol log;
    call_dialect calls;
    /** Opens the listeners that the platform calls; may be null. */
    bool (*open_listeners)(node& self, error& reason) = nullptr;
};

} // namespace sardinepoint
