#include "endpoints.hpp"

#include "move_runtime.hpp"

#include <algorithm>
#include <utility>

namespace sardinepoint
{

namespace
{

/** Adds a candidate, keeping earlier observations about it. */
void add_candidate(endpoint_group& group, const endpoint_group& previous,
                   endpoint_candidate created, endpoint address)
{
    const auto known = std::find_if(previous.candidates.begin(), previous.candidates.end(),
                                    [&](const endpoint_candidate& other)
                                    { return other.member == created.member; });
    if (known != previous.candidates.end())
    {
        const int slots = created.slots;
        created = *known;
        created.slots = slots;
    }
    group.candidates.push_back(std::move(created));
    group.addresses.push_back(std::move(address));
}

void add_own_domain_candidates(const node& self, const std::string& service,
                               const std::string& version, const endpoint_group& previous,
                               endpoint_group& group)
{
    for (const upstream_candidate& choice :
         available_upstreams(self.members, service, version, self.config.domain))
    {
        const auto present = std::find_if(group.candidates.begin(), group.candidates.end(),
                                          [&](const endpoint_candidate& other)
                                          { return other.member == choice.member->id; });
        if (present != group.candidates.end())
        {
            present->slots += choice.upstream->slots;
            continue;
        }
        add_candidate(group, previous,
                      {.member = choice.member->id,
                       .domain = self.config.domain,
                       .version = version,
                       .slots = choice.upstream->slots,
                       .first_seen = steady_now()},
                      {choice.member->address, choice.member->data_port});
    }
}

void add_other_domain_candidates(const node& self, const std::string& service,
                                 const std::string& version, const endpoint_group& previous,
                                 endpoint_group& group)
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
                    add_candidate(group, previous,
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
    endpoint_group& group = self.endpoint_groups[{service, version}];
    const bool current = group.revision == self.members.revision + 1 &&
                         group.domains_revision == self.domains_revision + 1;
    if (!current)
    {
        endpoint_group next;
        add_own_domain_candidates(self, service, version, group, next);
        add_other_domain_candidates(self, service, version, group, next);
        // Zero means that the group was never built.
        next.revision = self.members.revision + 1;
        next.domains_revision = self.domains_revision + 1;
        group = std::move(next);
    }
    return group;
}

/** Some of a group's candidates with their positions in the group. */
struct candidate_subset
{
    std::vector<endpoint_candidate> candidates;
    std::vector<std::size_t> positions;
};

void add_position(candidate_subset& subset, const endpoint_group& group, std::size_t position)
{
    subset.candidates.push_back(group.candidates[position]);
    subset.positions.push_back(position);
}

std::vector<std::size_t> own_domain_positions(const node& self, const endpoint_group& group)
{
    std::vector<std::size_t> own;
    for (std::size_t i = 0; i < group.candidates.size(); ++i)
    {
        if (group.candidates[i].domain == self.config.domain)
        {
            own.push_back(i);
        }
    }
    return own;
}

bool is_full(const endpoint_candidate& candidate, time_ms now)
{
    return candidate.in_flight >= candidate.slots || now < candidate.full_until;
}

/**
 * While the share of a new version is small, its calls go to only a few of its upstreams, so that
 * these run at full load and faults under load become visible. Returns those that can take the
 * attempt; empty without such a restriction, and if all of them are full, ejected or already tried.
 */
candidate_subset preferred_subset(const node& self, const std::string& service,
                                  const std::string& version, const endpoint_group& group,
                                  const pick_options& options, time_ms now)
{
    candidate_subset subset;
    std::vector<std::size_t> own = own_domain_positions(self, group);
    if (own.empty())
    {
        return subset;
    }
    const auto count = preferred_upstreams(self, service, version, static_cast<int>(own.size()),
                                           group.candidates[own.front()].slots);
    if (!count || *count <= 0 || static_cast<std::size_t>(*count) >= own.size())
    {
        return subset;
    }
    // Ordering by hash makes all daemons of the failure domain prefer the same upstreams.
    const auto rank = [&](std::size_t position)
    {
        return detail::hash_of(service + "/" + version + "/" + group.candidates[position].member);
    };
    std::sort(own.begin(), own.end(),
              [&](std::size_t left, std::size_t right) { return rank(left) < rank(right); });
    for (std::size_t i = 0; i < static_cast<std::size_t>(*count); ++i)
    {
        const endpoint_candidate& candidate = group.candidates[own[i]];
        const bool tried = std::find(options.tried.begin(), options.tried.end(),
                                     candidate.member) != options.tried.end();
        if (!tried && !is_full(candidate, now) && now >= candidate.ejected_until)
        {
            add_position(subset, group, own[i]);
        }
    }
    return subset;
}

candidate_subset own_domain_subset(const node& self, const endpoint_group& group)
{
    candidate_subset subset;
    for (const std::size_t position : own_domain_positions(self, group))
    {
        add_position(subset, group, position);
    }
    return subset;
}

} // namespace

endpoint_pick pick_endpoint(node& self, const std::string& service, const std::string& version,
                            const pick_options& options)
{
    endpoint_group& group = current_group(self, service, version);
    const choice_request request{
        .domain = self.config.domain, .tried = options.tried, .may_probe = options.may_probe};
    const time_ms now = steady_now();
    candidate_subset subset = preferred_subset(self, service, version, group, options, now);
    if (subset.candidates.empty() && !options.allow_spill)
    {
        subset = own_domain_subset(self, group);
    }
    const bool restricted = !subset.candidates.empty() || !options.allow_spill;
    const std::span<const endpoint_candidate> candidates =
        restricted ? subset.candidates : group.candidates;
    const endpoint_choice choice =
        choose_endpoint(candidates, request, self.balancing, self.spill, now, self.random);
    endpoint_pick pick{.target = std::nullopt, .reason = choice.reason};
    if (!choice.index)
    {
        return pick;
    }
    const std::size_t position = restricted ? subset.positions[*choice.index] : *choice.index;
    endpoint_candidate& chosen = group.candidates[position];
    record_start(chosen, now);
    pick.target = endpoint_ref{chosen.member, group.addresses[position]};
    pick.spill = chosen.domain != self.config.domain;
    return pick;
}

endpoint_candidate* find_candidate(node& self, const std::string& service,
                                   const std::string& version, const endpoint_ref& target)
{
    const auto found = self.endpoint_groups.find({service, version});
    if (found == self.endpoint_groups.end())
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
