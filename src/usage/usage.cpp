#include "usage/usage.hpp"

#include "outbound.hpp"
#include "peer_messages.hpp"
#include "sidecar.hpp"

#include "sardinepoint/logging.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <ctime>
#include <utility>
#include <vector>

namespace sardinepoint
{

namespace
{

using nlohmann::json;

constexpr time_ms tick_ms = 25;
constexpr time_ms max_hold_ms = 60;
constexpr time_ms hold_part_of_time_left = 10;
// A message without an answer for this long is given up, so that the next regular one is sent.
constexpr time_ms message_timeout_ms = 400;
constexpr time_ms silent_coordinator_retry_after_ms = 500;
constexpr time_ms log_interval_ms = 1000;
// A daemon knows the members this long after the first answer of a peer.
constexpr time_ms member_exchange_ms = 1500;
// The lease of a daemon that has left may last this long.
constexpr time_ms left_member_ms = 2 * usage_support_ms;

usage_runtime& runtime_of(node& self)
{
    return *self.sidecar_state->usage;
}

bool is_limited(const node& self, std::string_view organisation)
{
    const auto& organisations = self.config_replica.state.organisations;
    const auto found = organisations.find(std::string(organisation));
    return found != organisations.end() && found->second.rate_per_s > 0;
}

/** Daemons of this domain that may hold a lease. Dead ones count: they may only be cut off. */
int count_usage_members(const node& self)
{
    const time_ms now = steady_now();
    return static_cast<int>(std::count_if(
        self.members.members.begin(), self.members.members.end(),
        [&](const auto& item)
        {
            const member_entry& entry = item.second;
            const bool left = entry.left_at > 0 && now - entry.left_at > left_member_ms;
            return entry.record.domain == self.config.domain && !left;
        }));
}

std::string pick_coordinator(const node& self)
{
    const auto available = available_ids(self.members, self.config.domain);
    const auto picked = rendezvous_pick(available, "usage", 1);
    return picked.empty() ? self.config.id : std::string(picked.front());
}

/** Whether the number of daemons is known: a daemon that restarts during a partition starts with an
 * empty table and must not take itself for the only one. */
bool knows_members(const node& self)
{
    if (self.first_peer_response_at > 0)
    {
        return steady_now() - self.first_peer_response_at >= member_exchange_ms;
    }
    const endpoint own = own_control_endpoint(self);
    const bool has_seeds = std::any_of(self.config.seeds.begin(), self.config.seeds.end(),
                                       [&](const endpoint& seed) { return seed != own; });
    // Daemons of the domain that announced themselves in the log.
    const bool has_contacts = std::any_of(self.contacts.begin(), self.contacts.end(),
                                          [&](const auto& item) {
                                              return item.second.domain == self.config.domain &&
                                                     item.first != self.config.id;
                                          });
    return self.contacts_read_at > 0 && !has_seeds && !has_contacts;
}

void log_support(node& self, time_ms now)
{
    usage_runtime& usage = runtime_of(self);
    const int percent = usage.wallet.support_percent;
    if (percent == usage.logged_support_percent || now - usage.logged_at < log_interval_ms)
    {
        return;
    }
    usage.logged_support_percent = percent;
    usage.logged_at = now;
    log_event(log_level::info, "usage_support",
              {{"coordinator", usage.wallet.coordinator},
               {"percent", percent},
               {"members", count_usage_members(self)}});
}

usage_refusal make_refusal(node& self, std::string_view organisation)
{
    const usage_wallet& wallet = runtime_of(self).wallet;
    const time_ms now = boot_now();
    if (!wallet.nonce || now - wallet.answered_at > usage_interval_ms + message_timeout_ms)
    {
        count(self.stats, "usage_refused{reason=\"coordinator\"}");
        return {.reason = fmt::format("no token for organisation '{}': the coordinator '{}' does "
                                      "not answer",
                                      organisation, wallet.coordinator),
                .retry_after = silent_coordinator_retry_after_ms};
    }
    count(self.stats, "usage_refused{reason=\"limit\"}");
    const time_ms more_in = time_until_tokens(wallet, organisation, now);
    const auto& organisations = self.config_replica.state.organisations;
    const auto found = organisations.find(std::string(organisation));
    const double rate = found == organisations.end() ? 0 : found->second.rate_per_s;
    const double burst = found == organisations.end() ? 0 : found->second.burst;
    return {.reason =
                fmt::format("the usage limit of organisation '{}', {} calls/s and {} at once, is "
                            "reached; the coordinator '{}', with the support of {}% of the "
                            "daemons, answered {} ms ago and expects tokens in {} ms",
                            organisation, rate, burst, wallet.coordinator, wallet.support_percent,
                            now - wallet.answered_at, more_in),
            .retry_after = more_in > 0 ? more_in : silent_coordinator_retry_after_ms};
}

outbound_call* find_waiting(node& self, std::uint64_t id)
{
    const auto found = self.sidecar_state->outbound.find(id);
    return found == self.sidecar_state->outbound.end() ? nullptr : found->second.get();
}

void set_waiting(usage_runtime& usage, const std::string& organisation)
{
    const auto account = usage.wallet.accounts.find(organisation);
    if (account != usage.wallet.accounts.end())
    {
        const auto queue = usage.waiters.find(organisation);
        account->second.waiting =
            queue == usage.waiters.end() ? 0 : static_cast<int>(queue->second.size());
    }
}

/** Removes a call from the queue of its organisation. Returns false if it doesn't wait. */
bool stop_waiting(node& self, const std::string& organisation, std::uint64_t id)
{
    usage_runtime& usage = runtime_of(self);
    const auto queue = usage.waiters.find(organisation);
    if (queue == usage.waiters.end())
    {
        return false;
    }
    const std::size_t removed = std::erase_if(queue->second, [id](const usage_waiter& waiter)
                                              { return waiter.call == id; });
    if (queue->second.empty())
    {
        usage.waiters.erase(queue);
    }
    set_waiting(usage, organisation);
    return removed > 0;
}

void refuse_waiter(node& self, const std::string& organisation, std::uint64_t id)
{
    if (stop_waiting(self, organisation, id) && find_waiting(self, id) != nullptr)
    {
        const usage_refusal refusal = make_refusal(self, organisation);
        runtime_of(self).decide(self, id, &refusal);
    }
}

/** Gives tokens to the waiting calls in the order of their arrival, and refuses those on which the
 * last answer decides. */
void serve_waiters(node& self, const std::string& organisation)
{
    usage_runtime& usage = runtime_of(self);
    const auto queue = usage.waiters.find(organisation);
    if (queue == usage.waiters.end())
    {
        return;
    }
    // The decision on a call may change the queue.
    const std::deque<usage_waiter> waiters = queue->second;
    const bool answered = !usage.wallet.awaits_answer;
    for (const usage_waiter& waiter : waiters)
    {
        outbound_call* call = find_waiting(self, waiter.call);
        if (call == nullptr)
        {
            // Its caller has closed the connection, or its deadline has passed.
            stop_waiting(self, organisation, waiter.call);
            continue;
        }
        if (!call->usage_token)
        {
            call->usage_token = take_token(usage.wallet, organisation, boot_now());
        }
        if (call->usage_token || !is_limited(self, organisation))
        {
            if (stop_waiting(self, organisation, waiter.call))
            {
                usage.decide(self, waiter.call, nullptr);
            }
        }
        else if (answered && waiter.decided_by <= usage.wallet.sequence)
        {
            refuse_waiter(self, organisation, waiter.call);
        }
    }
}

void serve_all_waiters(node& self)
{
    std::vector<std::string> names;
    for (const auto& [name, queue] : runtime_of(self).waiters)
    {
        names.push_back(name);
    }
    for (const std::string& name : names)
    {
        serve_waiters(self, name);
    }
}

void run_tick(node& self);

void handle_answer(node& self, std::uint64_t sequence, const json* response)
{
    usage_runtime& usage = runtime_of(self);
    const auto answer = response == nullptr ? std::nullopt : parse_usage_answer(*response);
    const time_ms now = boot_now();
    const bool first = !usage.wallet.nonce;
    if (answer && apply_usage_answer(usage.wallet, sequence, *answer, now))
    {
        // The coordinator is supported with the next message only.
        usage.regular_due = first ? now : usage.regular_due;
        usage.logged_silence = false;
        log_support(self, now);
    }
    else if (sequence == usage.wallet.sequence)
    {
        usage.wallet.awaits_answer = false;
        count(self.stats, "usage_messages_unanswered");
        if (!std::exchange(usage.logged_silence, true))
        {
            log_event(log_level::warning, "usage_coordinator_silent",
                      {{"coordinator", usage.wallet.coordinator},
                       {"answered_ms_ago", now - usage.wallet.answered_at}});
        }
    }
    serve_all_waiters(self);
    if (!usage.waiters.empty())
    {
        run_tick(self);
    }
}

void send_message(node& self)
{
    usage_runtime& usage = runtime_of(self);
    const time_ms now = boot_now();
    std::string coordinator = pick_coordinator(self);
    if (coordinator != usage.wallet.coordinator)
    {
        log_event(log_level::info, "usage_coordinator",
                  {{"coordinator", coordinator},
                   {"previous", usage.wallet.coordinator},
                   {"members", count_usage_members(self)}});
    }
    usage_request request =
        make_usage_request(usage.wallet, coordinator, count_usage_members(self), now);
    if (!knows_members(self))
    {
        request.echo.reset();
    }
    usage.regular_due = now + usage_interval_ms;
    count(self.stats, "usage_messages");
    const std::uint64_t sequence = request.sequence;
    if (coordinator == self.config.id)
    {
        const json answer = to_json(handle_usage_request(
            usage.ledger, self.config_replica.state.organisations, request, request.members, now));
        handle_answer(self, sequence, &answer);
        return;
    }
    const member_entry* entry = find_member(self.members, coordinator);
    if (entry == nullptr)
    {
        handle_answer(self, sequence, nullptr);
        return;
    }
    send_to_peer(self, control_endpoint(entry->record), "/peer/v1/usage", to_json(request),
                 timeout_with_lag(self.lag, message_timeout_ms, steady_now()),
                 [&self, sequence](const json* response)
                 { handle_answer(self, sequence, response); });
}

/** Sends the regular message, or an early one for calls that wait or tokens that run short. */
void run_tick(node& self)
{
    usage_runtime& usage = runtime_of(self);
    if (!usage.limited || usage.wallet.awaits_answer)
    {
        return;
    }
    const time_ms now = boot_now();
    const bool short_of_tokens = std::any_of(
        usage.wallet.accounts.begin(), usage.wallet.accounts.end(),
        [&](const auto& item)
        {
            return (item.second.waiting > 0 || item.second.last_call_at > usage.wallet.sent_at) &&
                   needs_tokens(usage.wallet, item.first, now);
        });
    if (now >= usage.regular_due || short_of_tokens)
    {
        send_message(self);
    }
}

std::uint64_t new_ledger_id(node& self)
{
    // JSON numbers are exact up to 2^53 in every reader.
    constexpr int exact_bits = 53;
    return self.random() & ((std::uint64_t{1} << exact_bits) - 1);
}

} // namespace

time_ms boot_now()
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    constexpr time_ms ms_per_s = 1000;
    constexpr time_ms ns_per_ms = 1'000'000;
    return now.tv_sec * ms_per_s + now.tv_nsec / ns_per_ms;
}

void open_usage(node& self, usage_decision decide)
{
    self.sidecar_state->usage = std::make_unique<usage_runtime>();
    usage_runtime& usage = runtime_of(self);
    usage.decide = std::move(decide);
    usage.wallet.id = self.config.id;
    usage.wallet.started_at = boot_now();
}

void refresh_usage(node& self)
{
    usage_runtime& usage = runtime_of(self);
    const organisation_map& organisations = self.config_replica.state.organisations;
    const bool limited = std::any_of(organisations.begin(), organisations.end(),
                                     [](const auto& item) { return item.second.rate_per_s > 0; });
    std::erase_if(usage.wallet.accounts,
                  [&](const auto& item) { return !is_limited(self, item.first); });
    if (limited && !usage.limited)
    {
        usage.limited = true;
        usage.wallet.incarnation = self.incarnation;
        usage.ledger = {.id = new_ledger_id(self)};
        usage.regular_timer = run_every(*self.loop, tick_ms, [&self] { run_tick(self); });
    }
    else if (!limited && usage.limited)
    {
        usage.limited = false;
        usage.ledger = {};
        cancel_timer(*self.loop, usage.regular_timer);
    }
    serve_all_waiters(self);
}

bool admit_usage(node& self, outbound_call& call)
{
    usage_runtime& usage = runtime_of(self);
    if (!usage.limited || !is_limited(self, call.organisation))
    {
        return true;
    }
    const time_ms now = boot_now();
    const std::string organisation = call.organisation;
    const std::uint64_t id = call.id.value;
    record_usage(usage.wallet, organisation, now);
    // Calls that wait go first.
    if (!usage.waiters.contains(organisation))
    {
        call.usage_token = take_token(usage.wallet, organisation, now);
        if (call.usage_token)
        {
            if (needs_tokens(usage.wallet, organisation, now))
            {
                send_message(self);
            }
            return true;
        }
    }
    if (time_until_tokens(usage.wallet, organisation, now) > max_hold_ms)
    {
        const usage_refusal refusal = make_refusal(self, organisation);
        usage.decide(self, id, &refusal);
        return false;
    }
    const time_ms hold =
        std::min(max_hold_ms, (call.deadline - steady_now()) / hold_part_of_time_left);
    usage.waiters[organisation].push_back({.call = id, .decided_by = usage.wallet.sequence + 1});
    set_waiting(usage, organisation);
    run_after(*self.loop, std::max<time_ms>(hold, 1),
              [&self, organisation, id] { refuse_waiter(self, organisation, id); });
    run_tick(self);
    return false;
}

void return_usage(node& self, outbound_call& call)
{
    if (call.usage_token)
    {
        return_token(runtime_of(self).wallet, call.organisation, *call.usage_token, boot_now());
        call.usage_token.reset();
    }
}

json handle_usage(node& self, const json& body)
{
    if (!self.sidecar_state || !runtime_of(self).limited)
    {
        return json::object();
    }
    const auto request = parse_usage_request(body);
    if (!request)
    {
        return json::object();
    }
    usage_runtime& usage = runtime_of(self);
    const usage_answer answer =
        handle_usage_request(usage.ledger, self.config_replica.state.organisations, *request,
                             count_usage_members(self), boot_now());
    set_gauge(self.stats, "usage_support", usage.ledger.support);
    return to_json(answer);
}

} // namespace sardinepoint
