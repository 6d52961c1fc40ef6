#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace sardinepoint
{

/** Milliseconds, either a duration or a point in time since the Unix epoch. */
using time_ms = std::int64_t;

/** Part that is left of a fading value after some time; all of it at ages below 0. */
double decay(time_ms age, time_ms decay_constant);

/** Kinds of error; each maps to one exit status of the command-line tool. */
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

/** The last reason for an empty std::optional. The remedy tells the reader what to do next. */
struct error
{
    error_kind kind = error_kind::none;
    std::string message;
    std::string remedy;
};

/** Name of the kind as used in JSON answers and log lines. */
std::string_view to_string(error_kind kind);

/** Inverse of to_string; unknown names become error_kind::internal. */
error_kind parse_error_kind(std::string_view name);

/** One line for people: the message followed by the remedy. */
std::string describe(const error& reason);

} // namespace sardinepoint
