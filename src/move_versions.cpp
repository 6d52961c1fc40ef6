#include "move_versions.hpp"

#include "move_internal.hpp"
#include "move_runtime.hpp"

#include <algorithm>
#include <vector>

namespace sardinepoint
{

namespace
{

std::vector<const move_record*> ordered_moves_of(const node& self, const std::string& service)
{
    std::vector<const move_record*> ordered_moves;
    for (const auto& [id, record] : self.config_replica.state.moves)
    {
        if (record.spec.order > 0 && record.spec.service == service)
        {
            ordered_moves.push_back(&record);
        }
    }
    std::sort(ordered_moves.begin(), ordered_moves.end(),
              [](const move_record* left, const move_record* right)
              { return left->spec.order < right->spec.order; });
    return ordered_moves;
}

} // namespace

version_rule version_rule_of(const node& self, const std::string& service)
{
    version_rule rule;
    const std::vector<const move_record*> ordered_moves = ordered_moves_of(self, service);
    for (const move_record* record : ordered_moves)
    {
        const std::string& to = record->spec.to;
        const auto tracked = self.moves->moves.find(record->spec.id);
        const bool known = tracked != self.moves->moves.end();
        // A recorded outcome takes precedence over progress exchanged between daemons.
        const bool is_running = record->state == move_state::running;
        const bool withdrawn = is_running ? known && tracked->second.progress.withdrawn
                                          : record->state == move_state::withdrawn;
        const bool done =
            is_running ? known && tracked->second.progress.done : record->state == move_state::done;
        // A move that was replaced by a newer order before it was done counts as withdrawn.
        const bool replaced = !done && record != ordered_moves.back();
        rule.target.reset();
        if (withdrawn || replaced)
        {
            rule.withdrawn.insert(to);
        }
        else if (done)
        {
            rule.sole_version = to;
            rule.withdrawn.erase(to);
        }
        else
        {
            rule.target = to;
            rule.share = known ? current_share(record->spec, tracked->second) : 0;
            rule.withdrawn.erase(to);
        }
    }
    return rule;
}

bool may_receive_call(const version_rule& rule, std::string_view version, bool new_version)
{
    if (rule.target && version == *rule.target)
    {
        return new_version;
    }
    if (new_version)
    {
        return false;
    }
    return rule.sole_version ? version == *rule.sole_version : !rule.withdrawn.contains(version);
}

} // namespace sardinepoint
