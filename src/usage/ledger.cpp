#include "usage/ledger.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace sardinepoint
{

namespace
{

constexpr double ms_per_second = 1000;
constexpr time_ms sweep_interval_ms = 250;
// A limit allows rate * 5 + burst calls in any 5 s.
constexpr time_ms window_ms = 5000;
constexpr time_ms slot_ms = 250;
// Daemons send twice a second; without a message for this long, they count as idle.
constexpr time_ms idle_after_ms = 3 * usage_interval_ms;
// A later message of an earlier incarnation can't be under way any more.
constexpr time_ms forget_member_after_ms = 60'000;

// Tokens lie at daemons while they are not needed, and the spending of tokens is reported late. The
// capacity is larger by what this takes. It stays below the bound on 5 s, which is
// (5 * rate + burst) * 1.1 + 20, with some room for views that differ in the number of daemons.
constexpr double extra_seconds_of_rate = 0.25;
constexpr double extra_tokens = 8;

// While calls exceed the limit, a bucket below this part of its capacity is shared out in
// proportion to demand only.
constexpr double scarce_part = 0.25;
// Tokens for calls that are only expected are issued above this part, so that enough are left for
// calls that wait, wherever they come.
constexpr double ample_part = 0.5;
constexpr double min_demand = 0.1;
// A daemon with few calls keeps its claim to a token until its next message.
constexpr double min_credit_limit = 2;
constexpr time_ms min_more_in_ms = 50;
constexpr time_ms max_more_in_ms = 5000;
// Without support, the time until there are tokens is not known.
constexpr time_ms more_in_without_support_ms = 1000;

bool is_limited(const organisation& value)
{
    return value.rate_per_s > 0;
}

double window_s()
{
    return static_cast<double>(window_ms) / ms_per_second;
}

/** Calls per second that can be sustained with this support. */
double sustained_rate(const organisation& limit, double support)
{
    return usage_capacity(limit) * support / window_s();
}

void record_spent(usage_bucket& bucket, double tokens, time_ms at)
{
    if (tokens > 0)
    {
        bucket.spent_by_slot[at / slot_ms] += tokens;
        bucket.spent += tokens;
    }
}

/**
 * Assumes that another coordinator has issued these tokens at an even rate in the last window: the
 * daemons that now support this one may have supported another one until now.
 */
void assume_spent(usage_bucket& bucket, double tokens, time_ms now)
{
    constexpr int slots = window_ms / slot_ms;
    for (int i = 0; i < slots; ++i)
    {
        record_spent(bucket, tokens / slots, now - i * slot_ms);
    }
}

/** Forgets what was spent before the window, and computes what may be issued. */
void refill(usage_bucket& bucket, const organisation& limit, double support, time_ms now)
{
    auto& slots = bucket.spent_by_slot;
    while (!slots.empty() && (slots.begin()->first + 1) * slot_ms + window_ms <= now)
    {
        bucket.spent -= slots.begin()->second;
        slots.erase(slots.begin());
    }
    bucket.spent = slots.empty() ? 0 : bucket.spent;
    const double elapsed_s = static_cast<double>(now - bucket.refilled_at) / ms_per_second;
    bucket.level = std::max(0.0, usage_capacity(limit) * support - bucket.spent - bucket.held);
    bucket.refill_per_demand +=
        sustained_rate(limit, support) * elapsed_s / std::max(bucket.demand, min_demand);
    bucket.refilled_at = now;
}

/** Brings the support up to date. What is gained counts as spent in the last window. */
void update_support(usage_ledger& ledger, const organisation_map& organisations, time_ms now)
{
    const double support = valid_support(ledger, now);
    const double gained = support - std::exchange(ledger.support, support);
    if (gained <= 0)
    {
        return;
    }
    for (auto& [name, bucket] : ledger.buckets)
    {
        if (const auto limit = organisations.find(name); limit != organisations.end())
        {
            assume_spent(bucket, usage_capacity(limit->second) * gained, now);
        }
    }
}

void update_buckets(usage_ledger& ledger, const organisation_map& organisations, time_ms now)
{
    std::erase_if(ledger.buckets,
                  [&](const auto& item)
                  {
                      const auto limit = organisations.find(item.first);
                      return limit == organisations.end() || !is_limited(limit->second);
                  });
    for (const auto& [name, limit] : organisations)
    {
        if (is_limited(limit))
        {
            const auto [bucket, is_new] =
                ledger.buckets.try_emplace(name, usage_bucket{.refilled_at = now});
            if (is_new)
            {
                assume_spent(bucket->second, usage_capacity(limit) * ledger.support, now);
            }
        }
    }
}

/** Counts what is held as spent, since it may have been. */
void write_off(usage_bucket& bucket, usage_holding& holding, time_ms now)
{
    bucket.held -= holding.held;
    record_spent(bucket, std::exchange(holding.held, 0), now);
}

/** Writes off what silent daemons held. */
void sweep(usage_ledger& ledger, time_ms now)
{
    if (now - ledger.swept_at < sweep_interval_ms)
    {
        return;
    }
    ledger.swept_at = now;
    std::erase_if(ledger.members, [now](const auto& item)
                  { return now - item.second.heard_at > forget_member_after_ms; });
    for (auto& [name, bucket] : ledger.buckets)
    {
        for (auto& [member, holding] : bucket.holdings)
        {
            if (now - holding.claimed_at > usage_term_ms)
            {
                write_off(bucket, holding, now);
            }
        }
        std::erase_if(bucket.holdings,
                      [&, &current = bucket](const auto& item)
                      {
                          const bool idle = now - item.second.claimed_at > idle_after_ms;
                          current.demand -= idle ? item.second.demand : 0;
                          return idle;
                      });
    }
}

/** Replaces what is known of the tokens at the daemon. Tokens that it neither holds nor spent were
 * returned, or the answer with them was lost; they may be issued again. */
void settle(usage_bucket& bucket, usage_holding& holding, const usage_claim& claim, time_ms now)
{
    bucket.held += claim.held - holding.held;
    holding.held = claim.held;
    record_spent(bucket, claim.spent, now);
}

void update_demand(usage_bucket& bucket, usage_holding& holding, double demand)
{
    const double share = holding.demand * (bucket.refill_per_demand - holding.credit_mark);
    const double limit = std::max(min_credit_limit, demand);
    holding.credit = std::min(holding.credit + share, limit);
    holding.credit_mark = bucket.refill_per_demand;
    bucket.demand += demand - holding.demand;
    holding.demand = demand;
}

/** Tokens that a daemon may get in addition to those that it holds. */
double available_tokens(const usage_bucket& bucket, const usage_holding& holding,
                        const usage_claim& claim, double refill_per_s, double room)
{
    const double spare = std::max(0.0, bucket.level - room * ample_part);
    if (bucket.demand <= refill_per_s)
    {
        const int unserved = std::max(0, claim.waiting - claim.held);
        return std::max(spare, std::min<double>(unserved, bucket.level));
    }
    if (holding.demand <= 0)
    {
        return spare;
    }
    return std::max(bucket.level - room * scarce_part, std::min(holding.credit, bucket.level));
}

time_ms time_until_more(const usage_bucket& bucket, const usage_holding& holding,
                        double refill_per_s)
{
    if (refill_per_s <= 0)
    {
        return more_in_without_support_ms;
    }
    const double share =
        std::min(1.0, std::max(holding.demand, min_demand) / std::max(bucket.demand, min_demand));
    const double missing = std::max(0.0, 1 - holding.credit);
    const double wait_ms = missing / (refill_per_s * share) * ms_per_second;
    return static_cast<time_ms>(
        std::clamp<double>(std::ceil(wait_ms), min_more_in_ms, max_more_in_ms));
}

usage_grant handle_claim(usage_bucket& bucket, const organisation& limit, const std::string& sender,
                         const usage_claim& claim, double support, time_ms now)
{
    usage_holding& holding =
        bucket.holdings
            .try_emplace(sender,
                         usage_holding{.credit = 1, .credit_mark = bucket.refill_per_demand})
            .first->second;
    settle(bucket, holding, claim, now);
    refill(bucket, limit, support, now);
    const double room = std::max(0.0, usage_capacity(limit) * support - bucket.spent);
    update_demand(bucket, holding, static_cast<double>(claim.demand) / usage_demand_seconds);
    holding.claimed_at = now;

    // Tokens may be renewed only as far as the present support covers all of them.
    int kept = std::min(claim.held, claim.wanted);
    if (bucket.held > room)
    {
        kept = std::min(kept, static_cast<int>(claim.held * room / bucket.held));
        return {.tokens = kept,
                .more_in = time_until_more(bucket, holding, sustained_rate(limit, support))};
    }
    const int missing = std::max(0, claim.wanted - claim.held);
    const double refill_per_s = sustained_rate(limit, support);
    const double available = available_tokens(bucket, holding, claim, refill_per_s, room);
    const int granted = std::min(missing, static_cast<int>(std::max(0.0, available)));
    bucket.level -= granted;
    bucket.held += granted;
    holding.held += granted;
    holding.credit = std::max(0.0, holding.credit - granted);
    return {.tokens = kept + granted,
            .more_in = kept + granted < claim.waiting
                           ? time_until_more(bucket, holding, refill_per_s)
                           : 0};
}

/** Records the message's sender and its support. Returns false if a later message has arrived. */
bool accept_sender(usage_ledger& ledger, const usage_request& request, int members, time_ms now)
{
    usage_member& member = ledger.members[request.sender];
    const auto order = std::pair(request.incarnation, request.sequence);
    if (order <= std::pair(member.incarnation, member.sequence))
    {
        return false;
    }
    if (request.incarnation != member.incarnation)
    {
        // The previous process has ended; its tokens may have been spent.
        for (auto& [name, bucket] : ledger.buckets)
        {
            if (const auto found = bucket.holdings.find(request.sender);
                found != bucket.holdings.end())
            {
                write_off(bucket, found->second, now);
            }
        }
    }
    member.incarnation = request.incarnation;
    member.sequence = request.sequence;
    member.heard_at = now;
    member.weight = 1.0 / std::max({members, request.members, 1});
    if (request.echo && request.echo->ledger == ledger.id && request.echo->made_at <= now)
    {
        // The message was sent after the nonce was made; its receipt may be later by any time.
        member.support_until =
            std::max(member.support_until, request.echo->made_at + usage_support_ms);
    }
    return true;
}

} // namespace

double usage_capacity(const organisation& limit)
{
    return limit.rate_per_s * (window_s() + extra_seconds_of_rate) + limit.burst + extra_tokens;
}

double valid_support(const usage_ledger& ledger, time_ms now)
{
    double support = 0;
    for (const auto& [id, member] : ledger.members)
    {
        support += member.support_until >= now + usage_term_ms ? member.weight : 0;
    }
    return std::min(support, 1.0);
}

usage_answer handle_usage_request(usage_ledger& ledger, const organisation_map& organisations,
                                  const usage_request& request, int members, time_ms now)
{
    update_buckets(ledger, organisations, now);
    update_support(ledger, organisations, now);
    sweep(ledger, now);
    constexpr double whole_percent = 100;
    usage_answer answer{.nonce = {.ledger = ledger.id, .made_at = now}};
    if (!accept_sender(ledger, request, members, now))
    {
        return answer;
    }
    update_support(ledger, organisations, now);
    answer.support_percent = static_cast<int>(std::lround(ledger.support * whole_percent));
    for (const auto& [name, claim] : request.claims)
    {
        const auto bucket = ledger.buckets.find(name);
        if (bucket != ledger.buckets.end())
        {
            answer.grants[name] = handle_claim(bucket->second, organisations.at(name),
                                               request.sender, claim, ledger.support, now);
        }
    }
    return answer;
}

} // namespace sardinepoint
