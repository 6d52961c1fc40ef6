#include "sardinepoint/membership.hpp"

#include <algorithm>
#include <tuple>

namespace sardinepoint
{

namespace
{

struct scored_id
{
    std::uint64_t score = 0;
    std::string_view id;

    friend bool operator<(const scored_id& left, const scored_id& right)
    {
        return std::tie(left.score, left.id) < std::tie(right.score, right.id);
    }
};

std::vector<scored_id> score_ids(std::span<const std::string_view> ids, std::string_view key)
{
    const std::uint64_t seed = detail::hash_of(key);
    std::vector<scored_id> scored;
    scored.reserve(ids.size());
    for (const std::string_view id : ids)
    {
        scored.push_back({.score = detail::hash_of(id, seed), .id = id});
    }
    return scored;
}

} // namespace

std::vector<std::string_view> rendezvous_pick(std::span<const std::string_view> candidates,
                                              std::string_view key, std::size_t count)
{
    std::vector<scored_id> scored = score_ids(candidates, key);
    count = std::min(count, scored.size());
    const auto end = scored.begin() + static_cast<std::ptrdiff_t>(count);
    std::partial_sort(scored.begin(), end, scored.end(),
                      [](const scored_id& left, const scored_id& right) { return right < left; });
    std::vector<std::string_view> picked;
    for (auto position = scored.begin(); position != end; ++position)
    {
        picked.push_back(position->id);
    }
    return picked;
}

std::vector<std::string_view> tree_order(std::span<const std::string_view> members,
                                         std::string_view root)
{
    std::vector<scored_id> scored = score_ids(members, root);
    std::sort(scored.begin(), scored.end());
    std::vector<std::string_view> order{root};
    order.reserve(scored.size() + 1);
    for (const scored_id& item : scored)
    {
        if (item.id != root)
        {
            order.push_back(item.id);
        }
    }
    return order;
}

std::vector<std::string_view> tree_children(std::span<const std::string_view> members,
                                            std::string_view root, std::string_view self,
                                            std::size_t fan_out)
{
    const std::vector<std::string_view> order = tree_order(members, root);
    const auto position = std::find(order.begin(), order.end(), self);
    const auto index = static_cast<std::size_t>(position - order.begin());
    const std::size_t first = std::min(fan_out * index + 1, order.size());
    const std::size_t last = std::min(first + fan_out, order.size());
    return {order.begin() + static_cast<std::ptrdiff_t>(first),
            order.begin() + static_cast<std::ptrdiff_t>(last)};
}

} // namespace sardinepoint
