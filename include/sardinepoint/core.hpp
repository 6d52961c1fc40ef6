#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace sardinepoint
{

/** Milliseconds: a duration, a time on the steady clock or a time since the Unix epoch. */
using time_ms = std::int64_t;

/** Returns the remaining fraction of an exponentially decaying value; 1 for negative ages. */
double decay(time_ms age, time_ms decay_constant);

/** Error kinds; each maps to one exit status of the command-line tool. */
enum class error_kind
{
    none,
    invalid_argument,
    invalid_settings,
    invalid_patch,
    stale_version,
    unknown_service,
    not_found,
    not_ready,
    log_unavailable,
    outcome_unknown,
    unreachable,
    expired,
    internal,
};

/** Why a function returned no value, and what the reader can do about it. */
struct error
{
    error_kind kind = error_kind::none;
    std::string message;
    std::string remedy;
};

/** Returns the name of the kind as used in JSON responses and log lines. */
std::string_view to_string(error_kind kind);

/** Parses the name of a kind; unknown names become error_kind::internal. */
error_kind parse_error_kind(std::string_view name);

/** Formats the message and, if there is one, the remedy as one line of text. */
std::string describe(const error& reason);

} // namespace sardinepoint
