#include "model/load_model.hpp"

#include <algorithm>
#include <charconv>
#include <functional>
#include <map>

namespace model
{

namespace
{

using sardinepoint::error;
using sardinepoint::error_kind;

using setter = std::function<void(policy&, double)>;

/** Returns a setter for a field of an options struct within the policy. */
template <typename Group, typename Field>
setter field_setter(Group policy::*group, Field Group::*field)
{
    return [=](policy& target, double value)
    {
        (target.*group).*field = static_cast<Field>(value);
    };
}

template <typename Field>
setter field_setter(Field policy::*field)
{
    return [=](policy& target, double value)
    {
        target.*field = static_cast<Field>(value);
    };
}

const std::map<std::string, setter, std::less<>>& setters()
{
    using sardinepoint::admission_options;
    using sardinepoint::placement_options;
    static const std::map<std::string, setter, std::less<>> all{
        {"waiting_per_slot",
         field_setter(&policy::admission, &admission_options::max_waiting_per_slot)},
        {"least_hold_part",
         field_setter(&policy::admission, &admission_options::min_service_time_fraction)},
        {"longest_wait_part",
         field_setter(&policy::admission, &admission_options::max_wait_fraction)},
        {"late_wait_part",
         field_setter(&policy::admission, &admission_options::max_late_wait_fraction)},
        {"goal_margin",
         field_setter(&policy::admission, &admission_options::latency_target_margin)},
        {"even_share",
         field_setter(&policy::admission, &admission_options::answered_fraction_tolerance)},
        {"least_share",
         field_setter(&policy::admission, &admission_options::min_relative_answered_fraction)},
        {"noise", field_setter(&policy::placement, &placement_options::noise)},
        {"locality_cost", field_setter(&policy::placement, &placement_options::locality_cost)},
        {"choices", field_setter(&policy::placement, &placement_options::choices)},
        {"most_offers", field_setter(&policy::max_offers)},
        {"return_factor", field_setter(&policy::retry_wait_factor)},
        {"knows_first_attempt", field_setter(&policy::knows_first_attempt)},
        {"advertises_service_time", field_setter(&policy::advertises_service_time)},
        {"hedge_ratio", field_setter(&policy::hedging, &sardinepoint::hedge_options::ratio)},
        {"hedge_percentile",
         field_setter(&policy::hedging, &sardinepoint::hedge_options::percentile)},
        {"hedge_max_load", field_setter(&policy::hedging, &sardinepoint::hedge_options::max_load)},
        {"hedge_refusal_pause",
         field_setter(&policy::hedging, &sardinepoint::hedge_options::refusal_pause)},
        {"similar_wait_weight",
         field_setter(&policy::placement, &placement_options::similar_wait_weight)},
    };
    return all;
}

} // namespace

std::vector<std::string> policy_keys()
{
    std::vector<std::string> keys;
    for (const auto& [key, set] : setters())
    {
        keys.push_back(key);
    }
    return keys;
}

std::optional<policy> parse_policy(std::string_view text, error& reason)
{
    policy result;
    while (!text.empty())
    {
        const std::string_view item = text.substr(0, text.find(','));
        text.remove_prefix(std::min(text.size(), item.size() + 1));
        const std::size_t equals = item.find('=');
        const std::string_view key = item.substr(0, equals);
        const std::string_view number =
            equals == std::string_view::npos ? std::string_view() : item.substr(equals + 1);
        double value = 0;
        const auto [end, status] =
            std::from_chars(number.data(), number.data() + number.size(), value);
        const auto found = setters().find(key);
        const bool is_number = status == std::errc() && end == number.data() + number.size();
        if (found == setters().end() || !is_number || value < 0)
        {
            std::string keys;
            for (const std::string& known : policy_keys())
            {
                keys += (keys.empty() ? "" : ", ") + known;
            }
            reason = {error_kind::invalid_argument,
                      "'" + std::string(item) + "' is not a valid policy setting",
                      "write key=number, where the number is at least 0 and the key is one of: " +
                          keys};
            return std::nullopt;
        }
        found->second(result, value);
    }
    return result;
}

} // namespace model
