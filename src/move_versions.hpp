#pragma once

#include "node.hpp"

#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace sardinepoint
{

/** Versions of a service that may receive calls according to its ordered moves. */
struct version_rule
{
    /** New version of the running move. */
    std::optional<std::string> target;
    /** Percentage of the calls that go to the target. */
    double share = 0;
    /** Target of the last completed move: only this version and `target` may receive calls. */
    std::optional<std::string> sole_version;
    /** Targets of withdrawn and replaced moves. */
    std::set<std::string, std::less<>> withdrawn;
};

version_rule version_rule_of(const node& self, const std::string& service);

/** Whether an instance of the version may receive a call. `new_version` is set for calls of the new
 * version's share. */
bool may_receive_call(const version_rule& rule, std::string_view version, bool new_version);

} // namespace sardinepoint
