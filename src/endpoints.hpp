#pragma once

#include "node.hpp"

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace sardinepoint
{

/** A daemon to which an attempt can be sent. */
struct endpoint_ref
{
    /** Member id, or "address:port" of a daemon in another failure domain. */
    std::string member;
    endpoint address;
};

/** Constraints on the choice of an endpoint for one attempt. */
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

/** Candidate for the target of an attempt, or null if it is no longer known. */
endpoint_candidate* find_candidate(node& self, const std::string& service,
                                   const std::string& version, const endpoint_ref& target);

} // namespace sardinepoint
