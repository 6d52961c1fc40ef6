#pragma once

#include <string_view>

namespace sardinepoint
{

/** Names of the headers that daemons read from or add to calls and responses. */
namespace call_headers
{
inline constexpr std::string_view id = "Sardinepoint-Id";
inline constexpr std::string_view instance = "Sardinepoint-Instance";
inline constexpr std::string_view deadline = "Sardinepoint-Deadline-Ms";
inline constexpr std::string_view attempt = "Sardinepoint-Attempt-Ms";
inline constexpr std::string_view depth = "Sardinepoint-Depth";
inline constexpr std::string_view hop = "Sardinepoint-Hop";
inline constexpr std::string_view service = "Sardinepoint-Service";
inline constexpr std::string_view version = "Sardinepoint-Version";
inline constexpr std::string_view idempotent = "Sardinepoint-Idempotent";
inline constexpr std::string_view outcome = "Sardinepoint-Outcome";
inline constexpr std::string_view reason = "Sardinepoint-Reason";
inline constexpr std::string_view load = "Sardinepoint-Load";
inline constexpr std::string_view upstream = "Sardinepoint-Upstream";
inline constexpr std::string_view crash = "Sardinepoint-Crash";
inline constexpr std::string_view replayed = "Sardinepoint-Replayed";
inline constexpr std::string_view organisation = "Sardinepoint-Organisation";
inline constexpr std::string_view key = "Idempotency-Key";
/** JSON parameters of a call, from the caller's daemon to the daemon beside the upstream. */
inline constexpr std::string_view terms = "Sardinepoint-Terms";
/** JSON that the daemon beside the upstream adds to the response. */
inline constexpr std::string_view report = "Sardinepoint-Report";
} // namespace call_headers

/** Values of the Sardinepoint-Hop header. */
namespace hop_kind
{
/** To the daemon on the VM of the chosen upstream. */
inline constexpr std::string_view local = "local";
/** To a daemon of another failure domain, which chooses among its own domain's upstreams. */
inline constexpr std::string_view spill = "spill";
/** To the daemon that issued the call's idempotency key. */
inline constexpr std::string_view owner = "owner";
} // namespace hop_kind

} // namespace sardinepoint
