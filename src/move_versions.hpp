#pragma once

#include "node.hpp"

#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace sardinepoint
{

/** Which versions of a service may get calls, by the moves that were ordered for it. */
struct version_rule
{
    /** New version of the move that runs. */
    std::optional<std::string> target;
    /** Percent of the calls that go to the target. */
    double share = 0;
    /** Set after a completed move: no other version is left. */
    std::optional<std::string> sole_version;
    /** Targets of withdrawn moves. */
    std::set<std::string, std::less<>> withdrawn;
};

version_rule version_rule_of(const node& self, const std::string& service);

/** Whether an instance of this version may get a call of the new version's part or of the rest. */
bool may_receive_call(const version_rule& rule, std::string_view version, bool new_version);

} // namespace sardinepoint
