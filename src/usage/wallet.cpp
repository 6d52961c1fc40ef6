#include "usage/wallet.hpp"

#include <algorithm>
#include <cmath>

namespace sardinepoint
{

namespace
{

constexpr double ms_per_second = 1000;
constexpr time_ms demand_window_ms = 2000;
constexpr time_ms active_after_call_ms = 10'000;
// Calls wait for at most 60 ms. While tokens are short, the coordinator sets a longer interval.
constexpr time_ms min_message_interval_ms = 20;
// Two clocks may differ in rate by far less than this during a lease.
constexpr time_ms clock_margin_ms = 50;
// Tokens are asked for this much longer than the interval of the messages, and for the variation of
// the number of calls in that time, about its square root.
constexpr double stock_s = 0.6;
constexpr double stock_deviations = 1.2;
// The next message is sent early when this part of the stock is left.
constexpr double low_stock_part = 0.25;

bool is_active(const usage_account& account, time_ms now)
{
    return account.waiting > 0 || now - account.last_call_at < active_after_call_ms;
}

double calls_per_s(const usage_account& account, time_ms now)
{
    return account.recent_calls * decay(now - account.last_call_at, demand_window_ms) /
           (static_cast<double>(demand_window_ms) / ms_per_second);
}

/** Tokens that cover the calls until the answer to the next regular message. */
int stock_target(const usage_account& account, time_ms now)
{
    const double rate = calls_per_s(account, now);
    const double target = stock_s * rate + stock_deviations * std::sqrt(stock_s * rate);
    return std::max(1, static_cast<int>(std::ceil(target)));
}

int valid_balance(const usage_account& account, time_ms now)
{
    return now < account.term_end ? std::max(0, account.balance) : 0;
}

usage_claim make_claim(usage_account& account, time_ms now)
{
    account.balance = valid_balance(account, now);
    account.reported = account.spent;
    usage_claim claim{.held = account.balance, .spent = account.spent};
    if (is_active(account, now))
    {
        const double rate = calls_per_s(account, now);
        claim.waiting = account.waiting;
        claim.wanted = stock_target(account, now) + account.waiting;
        claim.demand = static_cast<int>(std::lround(rate * usage_demand_seconds));
    }
    return claim;
}

/** Whether the daemon may support the coordinator that made the nonce. A process that ran here
 * before may have supported another one until shortly before this one started. */
bool may_support(const usage_wallet& wallet, const usage_nonce& nonce, time_ms now)
{
    return now >= wallet.started_at + usage_support_ms + clock_margin_ms &&
           (wallet.supported_ledger == nonce.ledger || now >= wallet.support_until);
}

} // namespace

void record_usage(usage_wallet& wallet, std::string_view organisation, time_ms now)
{
    usage_account& account = wallet.accounts[std::string(organisation)];
    account.recent_calls =
        account.recent_calls * decay(now - account.last_call_at, demand_window_ms) + 1;
    account.last_call_at = now;
}

std::optional<usage_receipt> take_token(usage_wallet& wallet, std::string_view organisation,
                                        time_ms now)
{
    const auto found = wallet.accounts.find(organisation);
    if (found == wallet.accounts.end() || valid_balance(found->second, now) <= 0)
    {
        return std::nullopt;
    }
    --found->second.balance;
    ++found->second.spent;
    return usage_receipt{.sequence = wallet.sequence};
}

void return_token(usage_wallet& wallet, std::string_view organisation, usage_receipt receipt,
                  time_ms now)
{
    const auto found = wallet.accounts.find(organisation);
    if (found == wallet.accounts.end() || receipt.sequence != wallet.sequence ||
        now >= found->second.term_end || found->second.spent <= found->second.reported)
    {
        return;
    }
    ++found->second.balance;
    --found->second.spent;
}

bool needs_tokens(const usage_wallet& wallet, std::string_view organisation, time_ms now)
{
    const auto found = wallet.accounts.find(organisation);
    if (found == wallet.accounts.end() || wallet.awaits_answer ||
        now - wallet.sent_at < min_message_interval_ms || now < found->second.more_at)
    {
        return false;
    }
    const usage_account& account = found->second;
    const int target = stock_target(account, now);
    return valid_balance(account, now) <= static_cast<int>(target * low_stock_part);
}

usage_request make_usage_request(usage_wallet& wallet, std::string_view coordinator, int members,
                                 time_ms now)
{
    if (wallet.coordinator != coordinator)
    {
        wallet.coordinator = coordinator;
        wallet.nonce.reset();
    }
    usage_request request{.sender = wallet.id,
                          .incarnation = wallet.incarnation,
                          .sequence = ++wallet.sequence,
                          .members = members};
    wallet.sent_at = now;
    wallet.awaits_answer = true;
    if (wallet.nonce && may_support(wallet, *wallet.nonce, now))
    {
        request.echo = wallet.nonce;
        wallet.supported_ledger = wallet.nonce->ledger;
        // The nonce was made before its answer arrived.
        wallet.support_until =
            std::max(wallet.support_until, wallet.answered_at + usage_support_ms + clock_margin_ms);
    }
    std::erase_if(wallet.accounts, [now](const auto& item)
                  { return item.second.settled && !is_active(item.second, now); });
    for (auto& [name, account] : wallet.accounts)
    {
        request.claims[name] = make_claim(account, now);
    }
    return request;
}

bool apply_usage_answer(usage_wallet& wallet, std::uint64_t sequence, const usage_answer& answer,
                        time_ms now)
{
    if (sequence != wallet.sequence || !wallet.awaits_answer)
    {
        return false;
    }
    wallet.awaits_answer = false;
    wallet.nonce = answer.nonce;
    wallet.answered_at = now;
    wallet.support_percent = answer.support_percent;
    for (auto& [name, account] : wallet.accounts)
    {
        const int spent_since = account.spent - account.reported;
        account.spent = spent_since;
        account.reported = 0;
        const auto grant = answer.grants.find(name);
        if (grant == answer.grants.end())
        {
            // The coordinator has no limit for the organisation.
            account.settled = true;
            continue;
        }
        // Negative if tokens were spent that the coordinator withdraws.
        account.balance = grant->second.tokens - spent_since;
        account.term_end = wallet.sent_at + usage_term_ms;
        account.more_at = grant->second.more_in > 0 ? now + grant->second.more_in : 0;
        account.settled = account.balance <= 0 && account.spent == 0 && !is_active(account, now);
    }
    return true;
}

time_ms time_until_tokens(const usage_wallet& wallet, std::string_view organisation, time_ms now)
{
    const auto found = wallet.accounts.find(organisation);
    return found == wallet.accounts.end() ? 0 : std::max<time_ms>(0, found->second.more_at - now);
}

} // namespace sardinepoint
