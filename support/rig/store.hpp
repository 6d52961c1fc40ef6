#pragma once

#include "sardinepoint/event_loop.hpp"
#include "sardinepoint/http_server.hpp"
#include "sardinepoint/settings.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace sardinepoint::rig
{

/** Fault of one call to the store. */
enum class store_fault
{
    none,
    /** Responds with 503 without executing the call. */
    unavailable,
    /** Responds with 429 without executing the call. */
    rate_limited,
    /** Executes the call and sends no response. */
    response_lost,
    /** Sends no response, and executes the call later if its condition still holds. */
    delayed_execution,
    /** Neither executes the call nor sends a response. */
    no_response,
    /** Responds with 410, as after the compaction of old records. */
    compacted,
    /** Responds with 200 and an invalid body. */
    malformed_response,
};

/**
 * Stand-in for the fleet platform's store: topics with offsets, conditional appends and reads of
 * the newest record of each key, with the platform's published protocol.
 */
struct store
{
    event_loop* loop = nullptr;
    http_server_ptr server;
    struct topic
    {
        /** Keys and values in the order of the offsets, starting at `first`. */
        std::vector<std::pair<std::string, std::string>> records;
        std::uint64_t first = 0;
    };
    std::map<std::string, topic> topics;
    /** Faults of the next calls in order; calls after these have none. */
    std::deque<store_fault> faults;
    int calls = 0;

    explicit store(event_loop& loop);

    endpoint address() const;

    /** Appends a record directly, as written by an operator or another writer. */
    void write(const std::string& topic, const std::string& key, const std::string& value);

    /** Returns the newest value of a key; empty if there is none. */
    std::string newest(const std::string& topic, const std::string& key) const;

    /** Returns the number of records that were written with this key. */
    int write_count(const std::string& topic, const std::string& key) const;
};

} // namespace sardinepoint::rig
