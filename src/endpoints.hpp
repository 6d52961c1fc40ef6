#pragma once

#include "node.hpp"

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace sardinepoint
{

/** A daemon that can take an attempt. */
struct endpoint_ref
{
    /** Member id, or "address:port" of a daemon in another failure domain. */
    std::string member;
    endpoint address;
};

struct pick_options
{
    std::span<const std::string> tried;
    bool may_probe = true;
    bool allow_spill = true;
};

struct endpoint_pick
{
    std::optional<endpoint_ref> target;
    choice_reason reason = choice_reason::no_candidate;
    bool spill = false;
};

/** Chooses where to send one attempt and counts it as started. */
endpoint_pick pick_endpoint(node& self, const std::string& service, const std::string& version,
                            const pick_options& options);

/** What is known about the target of an attempt; null if it has gone. */
endpoint_candidate* find_candidate(node& self, const std::string& service,
                                   const std::string& version, const endpoint_ref& target);

} // namespace sardinepoint
