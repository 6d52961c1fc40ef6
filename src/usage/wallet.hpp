#pragma once

#include "usage/messages.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace sardinepoint
{

/** Tokens of one organisation at this daemon. Times are on the boot-time clock. */
struct usage_account
{
    int balance = 0;
    /** The balance is void from this time on. */
    time_ms term_end = 0;
    /** Tokens spent since the last answered message, and how many of them a message has reported.
     */
    int spent = 0;
    int reported = 0;
    /** Decaying number of recent calls. */
    double recent_calls = 0;
    time_ms last_call_at = 0;
    /** Calls that wait for a token. */
    int waiting = 0;
    /** Earliest time at which the coordinator expects to have more tokens. */
    time_ms more_at = 0;
    /** The last answered claim was empty, so that the coordinator holds nothing for this account.
     */
    bool settled = true;
};

/** Identifies a spent token, so that it can be put back. */
struct usage_receipt
{
    std::uint64_t sequence = 0;
};

/** A daemon's tokens and its support of a coordinator. */
struct usage_wallet
{
    std::string id;
    std::uint64_t incarnation = 0;
    time_ms started_at = 0;
    /** Sequence number of the last message. */
    std::uint64_t sequence = 0;
    time_ms sent_at = 0;
    bool awaits_answer = false;
    /** Daemon to which the last message was sent. */
    std::string coordinator;
    /** Nonce of the last answer of this coordinator, and the time of the answer. */
    std::optional<usage_nonce> nonce;
    time_ms answered_at = 0;
    int support_percent = 0;
    /** Coordinator that this daemon supports, and the time until which it supports no other. */
    std::uint64_t supported_ledger = 0;
    time_ms support_until = 0;
    std::map<std::string, usage_account, std::less<>> accounts;
};

/** Counts a call of the organisation, for the number of tokens to ask for. */
void record_usage(usage_wallet& wallet, std::string_view organisation, time_ms now);

/** Spends a token if there is a valid one. */
std::optional<usage_receipt> take_token(usage_wallet& wallet, std::string_view organisation,
                                        time_ms now);

/**
 * Puts back the token of a call that did not run. Tokens whose spending a message has reported are
 * not put back: the coordinator may have issued others in their place.
 */
void return_token(usage_wallet& wallet, std::string_view organisation, usage_receipt receipt,
                  time_ms now);

/** Whether a message should be sent before the regular one, because tokens run short. */
bool needs_tokens(const usage_wallet& wallet, std::string_view organisation, time_ms now);

/** Makes the next message, to this coordinator. The answer to any earlier message is void. */
usage_request make_usage_request(usage_wallet& wallet, std::string_view coordinator, int members,
                                 time_ms now);

/** Applies the answer to the message with this sequence number, unless a later one was sent. */
bool apply_usage_answer(usage_wallet& wallet, std::uint64_t sequence, const usage_answer& answer,
                        time_ms now);

/** Expected time until the organisation has tokens here again; 0 if it is not known. */
time_ms time_until_tokens(const usage_wallet& wallet, std::string_view organisation, time_ms now);

} // namespace sardinepoint
