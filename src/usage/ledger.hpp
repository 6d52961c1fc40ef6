#pragma once

#include "usage/messages.hpp"

#include "sardinepoint/config.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace sardinepoint
{

/** A daemon as its coordinator knows it. */
struct usage_member
{
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    time_ms heard_at = 0;
    /** The daemon's share of the right to issue tokens, and the end of its lease. */
    double weight = 0;
    time_ms support_until = 0;
};

/** Tokens of an organisation at one daemon. */
struct usage_holding
{
    /** Upper bound of the tokens that the daemon can still spend or has spent without a report. */
    int held = 0;
    /** Time of the last claim. Tokens are void one term later at the latest. */
    time_ms claimed_at = 0;
    double demand = 0;
    /** The daemon's share of the refills so far that it has not been granted yet. */
    double credit = 0;
    double credit_mark = 0;
};

/** What an organisation has used in the last window, and what it may still use. */
struct usage_bucket
{
    /** Tokens that may be issued now. */
    double level = 0;
    time_ms refilled_at = 0;
    /** Tokens at daemons. */
    int held = 0;
    /** Tokens that were reported as spent, or may have been, by the number of the time slot. */
    std::map<std::int64_t, double> spent_by_slot;
    double spent = 0;
    double demand = 0;
    /** Refilled tokens per unit of demand, accumulated. */
    double refill_per_demand = 0;
    std::map<std::string, usage_holding, std::less<>> holdings;
};

/** State of a coordinator; kept only while organisations have limits. */
struct usage_ledger
{
    /** Identifies this start of the coordinator. */
    std::uint64_t id = 0;
    double support = 0;
    time_ms swept_at = 0;
    std::map<std::string, usage_member, std::less<>> members;
    std::map<std::string, usage_bucket, std::less<>> buckets;
};

using organisation_map = std::map<std::string, organisation>;

/** Tokens that may be spent in a window when all daemons support the coordinator. */
double usage_capacity(const organisation& limit);

/** The weight, 0 to 1, of the daemons whose support outlasts tokens that are issued now. */
double valid_support(const usage_ledger& ledger, time_ms now);

/**
 * Handles a daemon's message. `members` is the number of daemons in the coordinator's view.
 * Messages that a later one of the same daemon has overtaken are answered without tokens.
 */
usage_answer handle_usage_request(usage_ledger& ledger, const organisation_map& organisations,
                                  const usage_request& request, int members, time_ms now);

} // namespace sardinepoint
