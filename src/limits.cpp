#include "sardinepoint/limits.hpp"

#include <algorithm>
#include <memory>
#include <utility>

#include <xxhash.h>

namespace sardinepoint
{
namespace
{

// Without a known service time the expected wait is 0, and only the queue's length limits it.
double expected_wait(const upstream_slots& upstream)
{
    const double ahead = static_cast<double>(upstream.waiting.size()) + 1;
    return ahead * upstream.average_service_time_ms / std::max(upstream.options.slots, 1);
}

// Leaves time for a run of twice the average service time. Without a known service time, and where
// runs take most of the time left, a fixed fraction of the time left limits the wait.
double max_wait(const upstream_slots& upstream, time_ms time_left)
{
    constexpr double reserved_service_times = 2;
    const auto left = static_cast<double>(time_left);
    const double part = left * upstream.options.max_wait_fraction;
    return upstream.average_service_time_ms > 0
               ? std::max(part, left - reserved_service_times * upstream.average_service_time_ms)
               : part;
}

run_outcome parse_outcome(std::optional<std::string_view> header)
{
    if (header == to_string(run_outcome::answered))
    {
        return run_outcome::answered;
    }
    if (header == to_string(run_outcome::not_run))
    {
        return run_outcome::not_run;
    }
    // A missing or malformed header proves nothing.
    return run_outcome::unknown;
}

run_outcome classify_outcome(const attempt_facts& facts)
{
    switch (facts.outcome)
    {
    case call_outcome::not_sent:
        return run_outcome::not_run;
    case call_outcome::answered:
        return facts.from_daemon ? parse_outcome(facts.outcome_header) : run_outcome::answered;
    case call_outcome::unknown:
        break;
    }
    return run_outcome::unknown;
}

bool has_expired(const crash_entry& entry, time_ms wall_now)
{
    return wall_now - entry.last_crash >= quarantine_duration_ms;
}

// Makes room for another entry by removing those whose last crash is oldest.
void evict_if_full(quarantine_table& table, time_ms wall_now)
{
    if (table.entries.size() < table.max_entries)
    {
        return;
    }
    expire_crashes(table, wall_now);
    while (!table.entries.empty() && table.entries.size() >= table.max_entries)
    {
        table.entries.erase(std::ranges::min_element(
            table.entries, {}, [](const auto& item) { return item.second.last_crash; }));
    }
}

crash_entry& find_or_add_entry(quarantine_table& table, std::uint64_t fingerprint, time_ms wall_now)
{
    const auto position = table.entries.find(fingerprint);
    if (position != table.entries.end())
    {
        if (has_expired(position->second, wall_now))
        {
            position->second.crashes.clear();
        }
        return position->second;
    }
    evict_if_full(table, wall_now);
    crash_entry& added = table.entries[fingerprint];
    added.fingerprint = fingerprint;
    return added;
}

} // namespace

bool take_tokens(token_bucket& bucket, double count, time_ms now)
{
    constexpr double ms_per_second = 1000;
    const auto elapsed = static_cast<double>(std::max<time_ms>(now - bucket.refilled, 0));
    const double earned = elapsed * bucket.rate_per_second / ms_per_second;
    bucket.tokens = std::min(bucket.tokens + earned, bucket.capacity);
    bucket.refilled = std::max(bucket.refilled, now);
    if (bucket.tokens < count)
    {
        return false;
    }
    bucket.tokens -= count;
    return true;
}

std::string_view to_string(slot_decision decision)
{
    switch (decision)
    {
    case slot_decision::run:
        return "run";
    case slot_decision::wait:
        return "wait";
    case slot_decision::queue_full:
        return "queue_full";
    case slot_decision::deadline_too_short:
        return "deadline_too_short";
    }
    return "unknown";
}

slot_decision try_acquire_slot(upstream_slots& upstream, std::uint64_t call, time_ms time_left,
                               time_ms now)
{
    if (time_left <= 0)
    {
        return slot_decision::deadline_too_short;
    }
    // If a slot is free, the time limit of every waiting call has passed.
    if (upstream.slots_used < upstream.options.slots)
    {
        upstream.slots_used += 1;
        return slot_decision::run;
    }
    if (std::cmp_greater_equal(upstream.waiting.size(), upstream.options.max_queue))
    {
        return slot_decision::queue_full;
    }
    const double longest = max_wait(upstream, time_left);
    if (expected_wait(upstream) > longest)
    {
        return slot_decision::deadline_too_short;
    }
    upstream.waiting.push_back({.call = call, .expires_at = now + static_cast<time_ms>(longest)});
    return slot_decision::wait;
}

std::optional<std::uint64_t> release_slot(upstream_slots& upstream, time_ms service_time,
                                          time_ms now)
{
    const double gain =
        upstream.average_service_time_ms > 0 ? upstream.options.service_time_gain : 1;
    upstream.average_service_time_ms +=
        gain * (static_cast<double>(service_time) - upstream.average_service_time_ms);
    upstream.slots_used = std::max(upstream.slots_used - 1, 0);
    if (upstream.slots_used >= upstream.options.slots)
    {
        return std::nullopt;
    }
    // Calls whose time limit has passed stay queued for expire_waiting(), which reports them.
    const auto next = std::ranges::find_if(upstream.waiting, [now](const waiting_call& waiting)
                                           { return now < waiting.expires_at; });
    if (next == upstream.waiting.end())
    {
        return std::nullopt;
    }
    const std::uint64_t call = next->call;
    upstream.waiting.erase(next);
    upstream.slots_used += 1;
    return call;
}

std::vector<std::uint64_t> expire_waiting(upstream_slots& upstream, time_ms now)
{
    std::vector<std::uint64_t> expired;
    std::erase_if(upstream.waiting,
                  [&](const waiting_call& waiting)
                  {
                      if (now < waiting.expires_at)
                      {
                          return false;
                      }
                      expired.push_back(waiting.call);
                      return true;
                  });
    return expired;
}

bool cancel_waiting(upstream_slots& upstream, std::uint64_t call)
{
    return std::erase_if(upstream.waiting,
                         [call](const waiting_call& waiting) { return waiting.call == call; }) > 0;
}

void record_call(retry_budget& budget)
{
    token_bucket& bucket = budget.bucket;
    bucket.tokens = std::min(bucket.tokens + budget.retries_per_call, bucket.capacity);
}

bool take_retry_token(retry_budget& budget, time_ms now)
{
    return take_tokens(budget.bucket, 1, now);
}

std::string_view to_string(run_outcome outcome)
{
    switch (outcome)
    {
    case run_outcome::answered:
        return "answered";
    case run_outcome::not_run:
        return "not-run";
    case run_outcome::unknown:
        break;
    }
    return "unknown";
}

failure_class classify_failure(const attempt_facts& facts)
{
    const run_outcome outcome = classify_outcome(facts);
    const bool safe =
        outcome == run_outcome::not_run || (outcome == run_outcome::unknown && facts.idempotent);
    return {.outcome = outcome, .retry_allowed = safe && facts.time_left >= facts.min_attempt_time};
}

std::optional<hop_limits> next_hop(const hop_limits& arrived, time_ms elapsed, error& reason)
{
    const hop_limits next{
        .time_left = arrived.time_left - std::max<time_ms>(elapsed, 0) - hop_margin,
        .depth = arrived.depth + 1,
    };
    if (next.depth > max_call_depth)
    {
        reason = {.kind = error_kind::invalid_argument,
                  .message = "the call chain is too deep",
                  .remedy = "look for a loop between services"};
        return std::nullopt;
    }
    if (next.time_left <= 0)
    {
        reason = {.kind = error_kind::expired,
                  .message = "the deadline leaves no time for another hop",
                  .remedy = "send the call with a longer deadline"};
        return std::nullopt;
    }
    return next;
}

time_ms attempt_timeout(time_ms time_left, bool idempotent, bool attempt_lost)
{
    // Calls that are merely slow would fail with shorter attempts.
    constexpr time_ms min_timeout_ms = 50;
    if (!idempotent)
    {
        return time_left;
    }
    const double fraction = attempt_lost ? attempt_fraction_after_loss : attempt_fraction;
    const auto part = static_cast<time_ms>(static_cast<double>(time_left) * fraction);
    return std::min(time_left, std::max(part, min_timeout_ms));
}

time_ms retry_delay(int retry, std::mt19937_64& rng)
{
    constexpr int max_doublings = 4;
    constexpr time_ms base_delay_ms = 4;
    const time_ms longest = base_delay_ms << std::clamp(retry - 1, 0, max_doublings);
    return std::uniform_int_distribution<time_ms>(longest / 2, longest)(rng);
}

std::uint64_t request_fingerprint(std::string_view method, std::string_view path,
                                  std::string_view body)
{
    const std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> state{XXH3_createState(),
                                                                         &XXH3_freeState};
    XXH3_64bits_reset(state.get());
    for (const std::string_view part : {method, path, body})
    {
        // The length distinguishes different splits of the same bytes.
        const std::uint64_t size = part.size();
        XXH3_64bits_update(state.get(), &size, sizeof(size));
        XXH3_64bits_update(state.get(), part.data(), part.size());
    }
    return XXH3_64bits_digest(state.get());
}

void record_answered(answered_requests& answered, std::uint64_t fingerprint, time_ms now)
{
    answered.buckets[fingerprint % answered.buckets.size()] = {.fingerprint = fingerprint,
                                                               .at = now};
}

bool answered_recently(const answered_requests& answered, std::uint64_t fingerprint, time_ms now)
{
    const answered_request& last = answered.buckets[fingerprint % answered.buckets.size()];
    return last.fingerprint == fingerprint && now - last.at < answered_retention_ms;
}

crash_entry record_crash(quarantine_table& table, std::uint64_t fingerprint,
                         std::string_view upstream, time_ms wall_now)
{
    crash_entry& entry = find_or_add_entry(table, fingerprint, wall_now);
    const std::string name{upstream};
    if (entry.crashes.contains(name) || entry.crashes.size() < table.max_upstreams)
    {
        entry.crashes[name] += 1;
    }
    entry.last_crash = std::max(entry.last_crash, wall_now);
    return entry;
}

bool record_success(quarantine_table& table, std::uint64_t fingerprint, time_ms wall_now)
{
    const auto position = table.entries.find(fingerprint);
    if (position == table.entries.end())
    {
        return false;
    }
    crash_entry& entry = position->second;
    entry.last_success = std::max(entry.last_success, wall_now);
    const bool needed =
        entry.last_success > entry.last_crash && entry.last_success_broadcast <= entry.last_crash;
    if (!needed || wall_now - entry.last_success_broadcast < success_broadcast_interval_ms)
    {
        return false;
    }
    entry.last_success_broadcast = wall_now;
    return true;
}

bool merge_crash(quarantine_table& table, const crash_entry& entry, time_ms wall_now)
{
    if (has_expired(entry, wall_now))
    {
        return false;
    }
    crash_entry& own = find_or_add_entry(table, entry.fingerprint, wall_now);
    bool changed = false;
    for (const auto& [upstream, count] : entry.crashes)
    {
        const auto position = own.crashes.find(upstream);
        if (position == own.crashes.end() && own.crashes.size() >= table.max_upstreams)
        {
            continue;
        }
        std::uint32_t& known = own.crashes[upstream];
        changed = changed || count > known;
        known = std::max(known, count);
    }
    // A sender's clock that is ahead must not extend the quarantine.
    const time_ms crashed = std::min(entry.last_crash, wall_now);
    changed = changed || crashed > own.last_crash;
    own.last_crash = std::max(own.last_crash, crashed);
    const time_ms succeeded = std::min(entry.last_success, wall_now);
    changed = changed || succeeded > own.last_success;
    own.last_success = std::max(own.last_success, succeeded);
    return changed;
}

bool is_quarantined(const quarantine_table& table, std::uint64_t fingerprint, time_ms wall_now)
{
    const auto position = table.entries.find(fingerprint);
    return position != table.entries.end() &&
           position->second.crashes.size() >= min_crashed_upstreams &&
           position->second.last_success <= position->second.last_crash &&
           !has_expired(position->second, wall_now);
}

void expire_crashes(quarantine_table& table, time_ms wall_now)
{
    std::erase_if(table.entries,
                  [wall_now](const auto& item) { return has_expired(item.second, wall_now); });
}

} // namespace sardinepoint
