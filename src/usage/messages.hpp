#pragma once

#include "sardinepoint/core.hpp"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace sardinepoint
{

/** Interval of a daemon's messages to its coordinator. */
inline constexpr time_ms usage_interval_ms = 500;

/** How long tokens may be spent, from the sending of the message that asked for them. */
inline constexpr time_ms usage_term_ms = 1000;

/**
 * Length of the lease by which a daemon supports a coordinator. The support must outlast the tokens
 * that are issued on it; this leaves 500 ms for a lost message.
 */
inline constexpr time_ms usage_support_ms = 2 * usage_interval_ms + usage_term_ms + 500;

/** Unit of the demand in messages: calls per this number of seconds. */
inline constexpr int usage_demand_seconds = 10;

/** Made by a coordinator; a message that echoes it was sent later. */
struct usage_nonce
{
    /** Identifies one start of a coordinator. */
    std::uint64_t ledger = 0;
    /** On the coordinator's clock. */
    time_ms made_at = 0;

    bool operator==(const usage_nonce&) const = default;
};

/** What a daemon reports and asks for one organisation. */
struct usage_claim
{
    /** Tokens that the daemon holds. */
    int held = 0;
    /** Tokens spent since the last answered message. */
    int spent = 0;
    /** Calls that wait for a token. */
    int waiting = 0;
    /** Tokens that the daemon would like to hold, including those for waiting calls. */
    int wanted = 0;
    /** Recent calls per 10 s; 0 if there were none in the last seconds. */
    int demand = 0;

    bool operator==(const usage_claim&) const = default;
};

/** Message from a daemon to its coordinator. */
struct usage_request
{
    std::string sender;
    std::uint64_t incarnation = 0;
    /** Increases with each message of the incarnation. */
    std::uint64_t sequence = 0;
    /** Number of daemons in the sender's view. */
    int members = 0;
    /** Nonce of the last answer; empty if the sender doesn't support this coordinator. */
    std::optional<usage_nonce> echo;
    /** By organisation. */
    std::map<std::string, usage_claim> claims;

    bool operator==(const usage_request&) const = default;
};

struct usage_grant
{
    /** Tokens that the daemon may hold, including those that it reported, less those spent since.
     */
    int tokens = 0;
    /** Expected time until more tokens are available; 0 if all waiting calls got one. */
    time_ms more_in = 0;

    bool operator==(const usage_grant&) const = default;
};

/** The coordinator's answer. */
struct usage_answer
{
    usage_nonce nonce;
    /** Valid support of the coordinator in percent. */
    int support_percent = 0;
    /** By organisation; those without a limit at the coordinator are left out. */
    std::map<std::string, usage_grant> grants;

    bool operator==(const usage_answer&) const = default;
};

nlohmann::json to_json(const usage_request& request);
std::optional<usage_request> parse_usage_request(const nlohmann::json& value);
nlohmann::json to_json(const usage_answer& answer);
std::optional<usage_answer> parse_usage_answer(const nlohmann::json& value);

} // namespace sardinepoint
