#pragma once

#include "sardinepoint/core.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace sardinepoint::intake
{

/** Connection of a listener. */
struct connection_key
{
    std::size_t listener = 0;
    std::uint64_t connection = 0;

    bool operator==(const connection_key&) const = default;
};

struct connection_key_hash
{
    std::size_t operator()(const connection_key& key) const;
};

/** What the process holds for a connection. */
struct connection_account
{
    std::size_t bytes = 0;
    /** IPv4 address of the peer. */
    std::uint32_t peer = 0;
    /** Number of requests that were answered completely. */
    std::uint64_t completed = 0;
    /** Steady time at which the peer last sent or read something. */
    time_ms progressed_at = 0;
};

struct listener_account
{
    std::size_t bytes = 0;
    std::size_t max_bytes = 0;
};

/** Bytes that the process holds for the peers of its listeners. */
struct byte_budget
{
    std::size_t max_bytes = 0;
    std::size_t bytes = 0;
    std::vector<listener_account> listeners;
    std::unordered_map<std::uint32_t, std::size_t> bytes_by_peer;
    std::unordered_map<connection_key, connection_account, connection_key_hash> connections;
};

/** Adds a listener with its own limit; returns its index. */
std::size_t add_listener(byte_budget& budget, std::size_t max_bytes);

void add_connection(byte_budget& budget, const connection_key& key, std::uint32_t peer,
                    time_ms now);
void remove_connection(byte_budget& budget, const connection_key& key);

/** Sets what is held for a connection. */
void set_held_bytes(byte_budget& budget, const connection_key& key, std::size_t bytes);
void record_progress(byte_budget& budget, const connection_key& key, time_ms now);
void record_completed(byte_budget& budget, const connection_key& key);

/** Whether the process or one of its listeners holds more than it may. */
bool is_exceeded(const byte_budget& budget);

/**
 * Connections to close so that the budget holds again, with some room below it. Those that hold
 * most and make least progress come first.
 */
std::vector<connection_key> choose_to_shed(const byte_budget& budget, time_ms now);

/** Connection of a listener that has reached its maximum number of connections. */
struct connection_state
{
    std::uint64_t connection = 0;
    /** A complete request is being handled or its response is being sent. */
    bool busy = false;
    std::uint64_t completed = 0;
    time_ms last_activity = 0;
};

/**
 * Connection to close for a new one: one without a running request, preferably one that never
 * completed a request, and the one that has been inactive longest.
 */
std::optional<std::uint64_t> choose_to_evict(std::span<const connection_state> connections);

} // namespace sardinepoint::intake
