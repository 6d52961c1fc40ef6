#include "intake/budget.hpp"

#include <algorithm>
#include <tuple>

namespace sardinepoint::intake
{

namespace
{

// Closing some connections more than needed avoids a scan of all of them for each received piece.
constexpr std::size_t room_divisor = 8;
constexpr double ms_per_second = 1000;
// Completed requests count in favour of a connection up to this number, so that a client can't earn
// the right to hold any amount.
constexpr std::uint64_t max_counted_requests = 3;

struct candidate
{
    connection_key key;
    std::size_t bytes = 0;
    double score = 0;
};

std::size_t with_room(std::size_t bytes)
{
    return bytes - bytes / room_divisor;
}

/** Bytes that are held, weighted by the time without progress and by the peer's share of all. */
double shedding_score(const byte_budget& budget, const connection_account& account, time_ms now)
{
    const double stalled_s =
        static_cast<double>(std::max<time_ms>(now - account.progressed_at, 0)) / ms_per_second;
    const auto peer = budget.bytes_by_peer.find(account.peer);
    const double peer_share =
        peer == budget.bytes_by_peer.end() || budget.bytes == 0
            ? 0
            : static_cast<double>(peer->second) / static_cast<double>(budget.bytes);
    const auto merit = static_cast<double>(1 + std::min(account.completed, max_counted_requests));
    return static_cast<double>(account.bytes) * (1 + stalled_s) * (1 + peer_share) / merit;
}

/** Listener that uses the largest part of its limit; it pays for an exceeded total. */
std::size_t fullest_listener(const std::vector<listener_account>& listeners)
{
    std::size_t fullest = 0;
    double highest = -1;
    for (std::size_t i = 0; i < listeners.size(); ++i)
    {
        const double used = static_cast<double>(listeners[i].bytes) /
                            static_cast<double>(std::max<std::size_t>(listeners[i].max_bytes, 1));
        if (used > highest)
        {
            highest = used;
            fullest = i;
        }
    }
    return fullest;
}

/** Candidates of each listener; the one to close first is last. */
std::vector<std::vector<candidate>> candidates_by_listener(const byte_budget& budget, time_ms now)
{
    std::vector<std::vector<candidate>> all(budget.listeners.size());
    for (const auto& [key, account] : budget.connections)
    {
        if (account.bytes > 0)
        {
            all[key.listener].push_back({key, account.bytes, shedding_score(budget, account, now)});
        }
    }
    for (std::vector<candidate>& of_listener : all)
    {
        std::sort(of_listener.begin(), of_listener.end(),
                  [](const candidate& left, const candidate& right)
                  {
                      return std::tuple(left.score, right.key.connection) <
                             std::tuple(right.score, left.key.connection);
                  });
    }
    return all;
}

} // namespace

std::size_t connection_key_hash::operator()(const connection_key& key) const
{
    constexpr unsigned listener_shift = 56;
    return std::hash<std::uint64_t>{}(key.connection ^
                                      (static_cast<std::uint64_t>(key.listener) << listener_shift));
}

std::size_t add_listener(byte_budget& budget, std::size_t max_bytes)
{
    budget.listeners.push_back({.max_bytes = max_bytes});
    return budget.listeners.size() - 1;
}

void add_connection(byte_budget& budget, const connection_key& key, std::uint32_t peer, time_ms now)
{
    budget.connections[key] = {.peer = peer, .progressed_at = now};
}

void remove_connection(byte_budget& budget, const connection_key& key)
{
    set_held_bytes(budget, key, 0);
    budget.connections.erase(key);
}

void set_held_bytes(byte_budget& budget, const connection_key& key, std::size_t bytes)
{
    const auto found = budget.connections.find(key);
    if (found == budget.connections.end() || found->second.bytes == bytes)
    {
        return;
    }
    connection_account& account = found->second;
    std::size_t& peer_bytes = budget.bytes_by_peer[account.peer];
    for (std::size_t* sum : {&budget.bytes, &budget.listeners[key.listener].bytes, &peer_bytes})
    {
        *sum = *sum - account.bytes + bytes;
    }
    account.bytes = bytes;
    if (peer_bytes == 0)
    {
        budget.bytes_by_peer.erase(account.peer);
    }
}

void record_progress(byte_budget& budget, const connection_key& key, time_ms now)
{
    if (const auto found = budget.connections.find(key); found != budget.connections.end())
    {
        found->second.progressed_at = now;
    }
}

void record_completed(byte_budget& budget, const connection_key& key)
{
    if (const auto found = budget.connections.find(key); found != budget.connections.end())
    {
        ++found->second.completed;
    }
}

bool is_exceeded(const byte_budget& budget)
{
    return budget.bytes > budget.max_bytes ||
           std::any_of(budget.listeners.begin(), budget.listeners.end(),
                       [](const listener_account& listener)
                       { return listener.bytes > listener.max_bytes; });
}

std::vector<connection_key> choose_to_shed(const byte_budget& budget, time_ms now)
{
    std::vector<connection_key> chosen;
    if (!is_exceeded(budget))
    {
        return chosen;
    }
    std::vector<std::vector<candidate>> candidates = candidates_by_listener(budget, now);
    std::vector<listener_account> listeners = budget.listeners;
    std::size_t total = budget.bytes;
    const auto shed_one = [&](std::size_t listener)
    {
        if (candidates[listener].empty())
        {
            return false;
        }
        const candidate& victim = candidates[listener].back();
        chosen.push_back(victim.key);
        total -= victim.bytes;
        listeners[listener].bytes -= victim.bytes;
        candidates[listener].pop_back();
        return true;
    };
    for (std::size_t i = 0; i < listeners.size(); ++i)
    {
        const bool exceeded = listeners[i].bytes > listeners[i].max_bytes;
        while (exceeded && listeners[i].bytes > with_room(listeners[i].max_bytes) && shed_one(i))
        {
        }
    }
    const bool exceeded = total > budget.max_bytes;
    while (exceeded && total > with_room(budget.max_bytes) && shed_one(fullest_listener(listeners)))
    {
    }
    return chosen;
}

std::optional<std::uint64_t> choose_to_evict(std::span<const connection_state> connections)
{
    const connection_state* best = nullptr;
    const auto rank = [](const connection_state& state)
    {
        return std::tuple(state.completed > 0, state.last_activity, state.connection);
    };
    for (const connection_state& state : connections)
    {
        if (!state.busy && (best == nullptr || rank(state) < rank(*best)))
        {
            best = &state;
        }
    }
    return best == nullptr ? std::nullopt : std::optional(best->connection);
}

} // namespace sardinepoint::intake
