#include "sardinepoint/core.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace sardinepoint
{

namespace
{

constexpr std::array<std::pair<error_kind, std::string_view>, 13> kind_names{{
    {error_kind::none, "none"},
    {error_kind::invalid_argument, "invalid_argument"},
    {error_kind::invalid_settings, "invalid_settings"},
    {error_kind::invalid_patch, "invalid_patch"},
    {error_kind::stale_version, "stale_version"},
    {error_kind::unknown_service, "unknown_service"},
    {error_kind::not_found, "not_found"},
    {error_kind::not_ready, "not_ready"},
    {error_kind::log_unavailable, "log_unavailable"},
    {error_kind::outcome_unknown, "outcome_unknown"},
    {error_kind::unreachable, "unreachable"},
    {error_kind::expired, "expired"},
    {error_kind::internal, "internal"},
}};

} // namespace

std::string_view to_string(error_kind kind)
{
    for (const auto& [value, name] : kind_names)
    {
        if (value == kind)
        {
            return name;
        }
    }
    return "internal";
}

error_kind parse_error_kind(std::string_view name)
{
    for (const auto& [value, known_name] : kind_names)
    {
        if (known_name == name)
        {
            return value;
        }
    }
    return error_kind::internal;
}

double decay(time_ms age, time_ms decay_constant)
{
    return std::exp(-static_cast<double>(std::max<time_ms>(age, 0)) /
                    static_cast<double>(std::max<time_ms>(decay_constant, 1)));
}

std::string describe(const error& reason)
{
    if (reason.remedy.empty())
    {
        return reason.message;
    }
    return reason.message + "; " + reason.remedy;
}

} // namespace sardinepoint
