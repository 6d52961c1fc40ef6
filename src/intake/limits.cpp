#include "intake/limits.hpp"

#include "sardinepoint/http.hpp"

#include <algorithm>
#include <utility>

namespace sardinepoint::intake
{

namespace
{

constexpr std::size_t bytes_per_mb = 1U << 20U;
constexpr std::size_t percent = 100;
// Memory of a daemon without any call: program, configuration and members.
constexpr std::size_t base_memory_bytes = 24 * bytes_per_mb;
constexpr std::size_t min_budget_bytes = 4 * bytes_per_mb;
// Heads and small calls beside a body of the largest size.
constexpr std::size_t head_room_bytes = bytes_per_mb;
constexpr std::size_t max_platform_bytes = 2 * bytes_per_mb;
constexpr std::size_t min_connections = 8;

/** Share of the descriptors in sixty-fourths; two listeners for calls, one for control and two of
 * the platform add up to 13 of 16. */
std::size_t descriptor_share(listener_role role)
{
    switch (role)
    {
    case listener_role::calls:
        return 20;
    case listener_role::control:
        return 8;
    case listener_role::platform:
        return 2;
    }
    return 0;
}

std::size_t byte_share(listener_role role, std::size_t budget)
{
    switch (role)
    {
    case listener_role::calls:
        return budget;
    case listener_role::control:
        return budget / 2;
    case listener_role::platform:
        return std::min(budget / 8, max_platform_bytes);
    }
    return 0;
}

} // namespace

bool is_too_slow(const transfer& value, const pace_limits& limits, time_ms now)
{
    constexpr std::size_t ms_per_second = 1000;
    const auto earned = static_cast<time_ms>(value.bytes * ms_per_second /
                                             std::max<std::size_t>(limits.min_bytes_per_s, 1));
    return now - value.progressed_at > limits.max_stall ||
           now - value.started_at > limits.grace + earned;
}

std::size_t budget_bytes(const settings& config, std::size_t max_body_bytes)
{
    const std::size_t memory = static_cast<std::size_t>(config.memory_mb) * bytes_per_mb;
    const std::size_t share =
        memory / percent * static_cast<std::size_t>(config.intake.memory_percent);
    const std::size_t available =
        std::max(memory - std::min(memory, base_memory_bytes), min_budget_bytes);
    // A single body of the largest size must fit, even where it takes more than the usual share.
    return std::min(std::max(share, max_body_bytes + head_room_bytes), available);
}

listener_limits limits_of(const settings& config, listener_role role, std::string name,
                          std::size_t descriptor_limit, std::size_t budget)
{
    constexpr std::size_t whole = 64;
    const std::size_t descriptors =
        std::min(descriptor_limit, static_cast<std::size_t>(config.intake.max_descriptors));
    return {.name = std::move(name),
            .max_connections =
                std::max(descriptors * descriptor_share(role) / whole, min_connections),
            .max_bytes = byte_share(role, budget),
            .max_fields = static_cast<std::size_t>(config.intake.max_fields),
            .pace = {.grace = config.intake.slow_grace,
                     .min_bytes_per_s = static_cast<std::size_t>(config.intake.min_bytes_per_s),
                     .max_stall = config.intake.stall_timeout}};
}

bool is_oversized(std::string_view content_length, std::size_t max_body_bytes)
{
    const bool has_digits = !content_length.empty() &&
                            std::all_of(content_length.begin(), content_length.end(),
                                        [](unsigned char c) { return std::isdigit(c) != 0; });
    const auto declared = parse_integer(content_length);
    // A number that doesn't fit in 64 bits is larger than any limit.
    return has_digits && (!declared || static_cast<std::uint64_t>(*declared) > max_body_bytes);
}

} // namespace sardinepoint::intake
