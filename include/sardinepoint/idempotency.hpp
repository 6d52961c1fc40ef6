#pragma once

#include "sardinepoint/core.hpp"
#include "sardinepoint/http.hpp"
#include "sardinepoint/limits.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace sardinepoint
{

/**
 * Identifies one call and the only daemon that may run it, written as
 * `id.incarnation.issued_ms.sequence`. The last three fields are decimal numbers, so the id may
 * contain dots.
 */
struct idempotency_key
{
    std::string id;
    std::uint64_t incarnation = 0;
    time_ms issued_ms = 0;
    std::uint64_t sequence = 0;

    bool operator==(const idempotency_key&) const = default;
};

/** Text form of a key, as sent in the Idempotency-Key header. */
std::string to_string(const idempotency_key& key);

/** Parses a key; accepts only the text that to_string produces. */
std::optional<idempotency_key> parse_key(std::string_view text, error& reason);

inline constexpr time_ms key_lifetime = 600'000;

/** Issue times are rounded down to multiples of this, which bounds the number of batches. */
inline constexpr time_ms key_issue_resolution = 100;

struct key_table_options
{
    std::size_t max_entries = 100'000;
    /** Total size of all stored responses, including headers. */
    std::size_t max_response_bytes = 32U << 20U;
};

enum class key_state
{
    running,
    answered,
    unknown,
    /** Ended as not run, and the caller was told so. */
    closed,
};

struct key_entry
{
    key_state state = key_state::running;
    /** Fingerprint of the request that the key was first used with. */
    std::uint64_t fingerprint = 0;
    time_ms expires_at = 0;
    /** Empty if none was stored or it was dropped to limit the memory used. */
    std::optional<http_response> response;
    std::size_t response_bytes = 0;
};

/** Keys from this sequence number up to that of the next batch, which have one issue time. */
struct issue_batch
{
    std::uint64_t first_sequence = 0;
    time_ms issued_ms = 0;
};

/** Keys issued by one incarnation of a daemon. All times passed to a table come from one clock. */
struct key_table
{
    std::string id;
    std::uint64_t incarnation = 0;
    key_table_options options;
    std::uint64_t next_sequence = 0;
    /** Latest time seen, so that a clock that steps back doesn't make expired keys valid again. */
    time_ms latest_time = 0;
    std::deque<issue_batch> issue_batches;
    std::map<std::uint64_t, key_entry> entries;
    /** Sequence numbers with a stored response, oldest response first. */
    std::deque<std::uint64_t> stored_responses;
    std::size_t response_bytes = 0;
};

/** Issues a key that differs from all keys issued before. */
idempotency_key issue_key(key_table& table, time_ms now);

enum class start_status
{
    /** The caller of start_call must run the request and then call finish_call or close_key. */
    run,
    in_progress,
    /** An earlier attempt was answered; the stored response is to be sent again. */
    finished,
    /** An earlier attempt was answered, but its response is no longer stored. */
    finished_answer_dropped,
    /** An attempt ended without a known outcome; the key never runs again. */
    outcome_unknown,
    expired,
    /** Another daemon or another incarnation issued the key. */
    not_owner,
    /** The key names this incarnation, which never issued it or issued it at another time. */
    never_issued,
    /** The key was used before with a different request. */
    other_request,
    /** No room for another entry; the request was not run. */
    table_full,
    /** An earlier attempt was reported as "not run"; the key never runs again. */
    closed,
};

std::string_view to_string(start_status status);

struct start_result
{
    start_status status = start_status::not_owner;
    /** Set if the status is finished. */
    std::optional<http_response> response;
};

/** Decides whether a request that carries the key may run. */
start_result start_call(key_table& table, const idempotency_key& key, time_ms now,
                        std::uint64_t fingerprint = 0);

/** Ends the attempt that start_call allowed. The key may run again only after outcome not_run. */
void finish_call(key_table& table, const idempotency_key& key, run_outcome outcome,
                 std::optional<http_response> response, time_ms now);

/**
 * Ends the attempt as not run and closes the key: a delayed copy of the request must not run after
 * the caller was told "not run".
 */
void close_key(key_table& table, const idempotency_key& key, time_ms now);

/** Removes the entries of expired keys. start_call does this too. */
void drop_expired_keys(key_table& table, time_ms now);

} // namespace sardinepoint
