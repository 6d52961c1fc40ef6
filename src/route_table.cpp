#include "sardinepoint/route_table.hpp"

#include <algorithm>
#include <numeric>

namespace sardinepoint
{

namespace
{

// Daemons start at a random position of a split's order, up to this number of calls apart. With
// weights in percent the order repeats after at most a hundred calls.
constexpr int max_initial_calls = 1000;

std::string_view without_port(std::string_view host)
{
    return host.substr(0, host.rfind(':'));
}

bool has_same_services(const split_credit& credit, const route& matched)
{
    return std::equal(credit.services.begin(), credit.services.end(), matched.split.begin(),
                      matched.split.end(),
                      [](const std::string& service, const split_target& target)
                      { return service == target.service; });
}

/** Index of the target that gets the next call. */
std::size_t pick_target(split_credit& credit, const route& matched)
{
    const double sum = std::accumulate(matched.split.begin(), matched.split.end(), 0.0,
                                       [](double total, const split_target& target)
                                       { return total + target.weight; });
    std::optional<std::size_t> highest;
    for (std::size_t i = 0; i < credit.credit.size(); ++i)
    {
        credit.credit[i] += matched.split[i].weight / sum;
        // A target whose weight was set to 0 may have credit left.
        const bool usable = matched.split[i].weight > 0;
        highest = usable && (!highest || credit.credit[i] > credit.credit[*highest]) ? i : highest;
    }
    credit.credit[highest.value_or(0)] -= 1;
    return highest.value_or(0);
}

/**
 * Starts at a random position of the order: if all daemons started with the heaviest target, the
 * others would get no calls until each daemon has had several.
 */
split_credit start_split(const route& matched, std::mt19937_64& random)
{
    split_credit credit{.credit = std::vector<double>(matched.split.size())};
    for (const split_target& target : matched.split)
    {
        credit.services.push_back(target.service);
    }
    for (int i = std::uniform_int_distribution(0, max_initial_calls - 1)(random); i > 0; --i)
    {
        pick_target(credit, matched);
    }
    return credit;
}

} // namespace

route_table make_route_table(const config_state& state)
{
    route_table table;
    for (const auto& [name, value] : state.routes)
    {
        table.by_host[value.host].push_back(value);
    }
    for (auto& [host, routes] : table.by_host)
    {
        std::stable_sort(routes.begin(), routes.end(),
                         [](const route& left, const route& right)
                         { return left.prefix.size() > right.prefix.size(); });
    }
    return table;
}

const route* find_route(const route_table& table, std::string_view host, std::string_view path)
{
    for (const std::string_view name : {without_port(host), std::string_view{}})
    {
        const auto found = table.by_host.find(std::string(name));
        if (found == table.by_host.end())
        {
            continue;
        }
        const auto matched = std::find_if(found->second.begin(), found->second.end(),
                                          [path](const route& candidate)
                                          { return path.starts_with(candidate.prefix); });
        if (matched != found->second.end())
        {
            return &*matched;
        }
    }
    return nullptr;
}

const std::string& next_service(split_credits& credits, const route& matched,
                                std::mt19937_64& random)
{
    if (matched.split.empty())
    {
        return matched.service;
    }
    auto found = credits.by_route.find(matched.name);
    if (found == credits.by_route.end() || !has_same_services(found->second, matched))
    {
        found = credits.by_route.insert_or_assign(matched.name, start_split(matched, random)).first;
    }
    return matched.split[pick_target(found->second, matched)].service;
}

void remove_unsplit_routes(split_credits& credits, const config_state& state)
{
    std::erase_if(credits.by_route,
                  [&](const auto& entry)
                  {
                      const auto found = state.routes.find(entry.first);
                      return found == state.routes.end() || found->second.split.empty();
                  });
}

bool select_by_share(share_credit& share, double percent, std::mt19937_64& random)
{
    constexpr double full_percent = 100;
    if (percent <= 0 || percent >= full_percent)
    {
        return percent > 0;
    }
    std::uniform_real_distribution<double> uniform(0, 1);
    if (!share.next)
    {
        share.next = uniform(random);
    }
    share.credit += percent / full_percent;
    // A unit of credit can end with its selection still due while the next one's is due as well.
    while (share.credit >= 1)
    {
        share.due += *share.next < 1 ? 1 : 0;
        share.credit -= 1;
        share.next = uniform(random);
    }
    if (*share.next <= share.credit)
    {
        ++share.due;
        // Beyond the present unit of credit: each unit has one selection.
        share.next = 1;
    }
    const bool selected = share.due > 0;
    share.due -= selected ? 1 : 0;
    return selected;
}

} // namespace sardinepoint
