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

/** What goes wrong with one call to the store. */
enum class store_fault
{
    none,
    /** Answers 503 and does nothing. */
    unavailable,
    /** Answers 429 and does nothing. */
    rate_limited,
    /** Carries the call out and answers nothing. */
    response_lost,
    /** Answers nothing, and carries the call out later if its condition still holds. */
    delayed_execution,
    /** Does and answers nothing. */
    no_response,
    /** Answers 410, as after the deletion of old records. */
    compacted,
    /** Answers 200 with bytes that are no answer. */
    malformed_response,
};

/**
 * Stand-in of the fleet platform's store: topics with offsets, conditional appends and the newest
 * record of each key, by the platform's published protocol.
 */
struct store
{
    event_loop* loop = nullptr;
    http_server_ptr server;
    struct topic
    {
        /** Key and value of each record. */
        std::vector<std::pair<std::string, std::string>> records;
        std::uint64_t first = 0;
    };
    std::map<std::string, topic> topics;
    /** Faults of the next calls, in order; then there are none. */
    std::deque<store_fault> faults;
    int calls = 0;

    explicit store(event_loop& loop);

    endpoint address() const;

    /** Writes a record as the operator or another writer would. */
    void write(const std::string& topic, const std::string& key, const std::string& value);

    /** Newest value of a key; empty if there is none. */
    std::string newest(const std::string& topic, const std::string& key) const;

    /** Number of records that were ever written with this key. */
    int write_count(const std::string& topic, const std::string& key) const;
};

} // namespace sardinepoint::rig
