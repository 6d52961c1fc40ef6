#include "endpoints.hpp"

#include <algorithm>
#include <utility>

namespace sardinepoint
{

namespace
{

/** Adds a candidate, keeping what was observed about it before. */
void add_candidate(endpoint_group& group, const endpoint_group& before, endpoint_candidate created,
                   endpoint address)
{
    const auto known = std::find_if(before.candidates.begin(), before.candidates.end(),
                                    [&](const endpoint_candidate& other)
                                    { return other.member == created.member; });
    if (known != before.candidates.end())
    {
        const int slots = created.slots;
        created = *known;
        created.slots = slots;
    }
    group.candidates.push_back(std::move(created));
    group.addresses.push_back(std::move(address));
}

void add_own_domain(const node& self, const std::string& service, const std::string& version,
                    const endpoint_group& before, endpoint_group& group)
{
    for (const upstream_choice& choice :
         live_upstreams(self.members, service, version, self.config.domain))
    {
        const auto present = std::find_if(group.candidates.begin(), group.candidates.end(),
                                          [&](const endpoint_candidate& other)
                                          { return other.member == choice.member->id; });
        if (present != group.candidates.end())
        {
            present->slots += choice.upstream->slots;
            continue;
        }
        add_candidate(group, before,
                      {.member = choice.member->id,
                       .domain = self.config.domain,
                       .version = version,
                       .slots = choice.upstream->slots,
                       .first_seen = steady_now()},
                      {choice.member->address, choice.member->data_port});
    }
}

void add_other_domains(const node& self, const std::string& service, const std::string& version,
                       const endpoint_group& before, endpoint_group& group)
{
    for (const auto& [domain, known] : self.domains)
    {
        for (const service_summary& summary : known.summary.services)
        {
            if (summary.service != service || summary.version != version)
            {
                continue;
            }
            for (const std::string& text : summary.daemons)
            {
                if (const auto address = parse_endpoint(text))
                {
                    add_candidate(group, before,
                                  {.member = text,
                                   .domain = domain,
                                   .version = version,
                                   .slots = summary.slots,
                                   .first_seen = steady_now()},
                                  *address);
                }
            }
        }
    }
}

endpoint_group& current_group(node& self, const std::string& service, const std::string& version)
{
    endpoint_group& group = self.groups[{service, version}];
    const bool current = group.revision == self.members.revision + 1 &&
                         group.domains_revision == self.domains_revision + 1;
    if (!current)
    {
        endpoint_group next;
        add_own_domain(self, service, version, group, next);
        add_other_domains(self, service, version, group, next);
        // Zero marks a group that was never built.
        next.revision = self.members.revision + 1;
        next.domains_revision = self.domains_revision + 1;
        group = std::move(next);
    }
    return group;
}

/** Candidates of the own failure domain only, with their positions in the group. */
std::vector<endpoint_candidate> own_candidates(const node& self, const endpoint_group& group)
{
    std::vector<endpoint_candidate> own;
    std::copy_if(group.candidates.begin(), group.candidates.end(), std::back_inserter(own),
                 [&](const endpoint_candidate& candidate)
                 { return candidate.domain == self.config.domain; });
    return own;
}

} // namespace

endpoint_pick pick_endpoint(node& self, const std::string& service, const std::string& version,
                            const endpoint_wish& wish)
{
    endpoint_group& group = current_group(self, service, version);
    const choice_request request{
        .domain = self.config.domain, .tried = wish.tried, .may_test = wish.may_test};
    const time_ms now = steady_now();
    // Own candidates come first in the group, so positions agree.
    const std::vector<endpoint_candidate> own =
        wish.allow_spill ? std::vector<endpoint_candidate>{} : own_candidates(self, group);
    const std::span<const endpoint_candidate> candidates =
        wish.allow_spill ? std::span<const endpoint_candidate>(group.candidates) : own;
    const endpoint_choice choice =
        choose_endpoint(candidates, request, self.balancing, self.spill, now, self.random);
    endpoint_pick pick{.target = std::nullopt, .reason = choice.reason};
    if (!choice.index)
    {
        return pick;
    }
    endpoint_candidate& chosen = group.candidates[*choice.index];
    note_started(chosen, now);
    pick.target = endpoint_ref{chosen.member, group.addresses[*choice.index]};
    pick.spill = chosen.domain != self.config.domain;
    return pick;
}

endpoint_candidate* find_candidate(node& self, const std::string& service,
                                   const std::string& version, const endpoint_ref& target)
{
    const auto found = self.groups.find({service, version});
    if (found == self.groups.end())
    {
        return nullptr;
    }
    auto& candidates = found->second.candidates;
    const auto candidate = std::find_if(candidates.begin(), candidates.end(),
                                        [&](const endpoint_candidate& other)
                                        { return other.member == target.member; });
    return candidate == candidates.end() ? nullptr : &*candidate;
}

} // namespace sardinepoint
