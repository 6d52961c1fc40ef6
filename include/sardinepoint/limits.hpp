#pragma once

#include "sardinepoint/core.hpp"
#include "sardinepoint/http_client.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace sardinepoint
{

/** Token bucket. Starts full if `tokens` equals `capacity`. */
struct token_bucket
{
    double rate_per_second = 1;
    double capacity = 1;
    double tokens = 1;
    time_ms refilled = 0;
};

/** Takes tokens if there are enough. */
bool take_tokens(token_bucket& bucket, double count, time_ms now);

struct slot_options
{
    int slots = 1;
    /**
     * Maximum number of waiting calls. With a queue of half the number of slots, refusals at 96%
     * load exhausted the retry budget.
     */
    int max_queue = 30;
    /** Fraction of its time left that a call may wait for a slot. */
    double max_wait_fraction = 0.25;
    /** Smoothing factor of the average service time. */
    double service_time_gain = 0.05;
};

struct waiting_call
{
    std::uint64_t call = 0;
    time_ms expires_at = 0;
};

/** Slots and waiting calls of one upstream, kept only by its own daemon. */
struct upstream_slots
{
    slot_options options;
    int slots_used = 0;
    /**
     * Exponentially weighted moving average of the time for which a call holds a slot; 0 until the
     * first release.
     */
    double average_service_time_ms = 0;
    /** In order of arrival. */
    std::deque<waiting_call> waiting;
};

enum class slot_decision
{
    run,
    wait,
    queue_full,
    deadline_too_short,
};

std::string_view to_string(slot_decision decision);

/** Takes a slot, queues the call, or refuses it. A refused call was not run. */
slot_decision try_acquire_slot(upstream_slots& upstream, std::uint64_t call, time_ms time_left,
                               time_ms now);

/**
 * Frees the slot of a call that held it for `service_time`. Returns the waiting call that holds the
 * slot now.
 */
std::optional<std::uint64_t> release_slot(upstream_slots& upstream, time_ms service_time,
                                          time_ms now);

/** Removes and returns waiting calls whose time limit has passed; they were not run. */
std::vector<std::uint64_t> expire_waiting(upstream_slots& upstream, time_ms now);

/** Removes a waiting call; returns false if it isn't waiting. */
bool cancel_waiting(upstream_slots& upstream, std::uint64_t call);

/** Limits retries to a fraction of the calls plus a small constant rate. */
struct retry_budget
{
    double retries_per_call = 0.2;
    /** The capacity also limits the number of retries in a burst. */
    token_bucket bucket{.rate_per_second = 1, .capacity = 20, .tokens = 20};
};

/** Adds the tokens that a first attempt earns. */
void record_call(retry_budget& budget);

/** Takes one retry from the budget; returns false if it is exhausted. */
bool take_retry_token(retry_budget& budget, time_ms now);

/** Whether an attempt or call was run, as far as is known. */
enum class run_outcome
{
    answered,
    not_run,
    unknown,
};

/** Value of the Sardinepoint-Outcome header. */
std::string_view to_string(run_outcome outcome);

/** What is known about an attempt that has ended. */
struct attempt_facts
{
    call_outcome outcome = call_outcome::unknown;
    /** Whether the peer is a daemon; the outcome header of an upstream isn't trusted. */
    bool from_daemon = true;
    /** The Sardinepoint-Outcome header of the response. */
    std::optional<std::string_view> outcome_header;
    bool idempotent = false;
    time_ms time_left = 0;
    /** Minimum time left for another attempt. */
    time_ms min_attempt_time = 10;
};

/** Outcome of an attempt, and whether a retry is safe and in time. */
struct failure_class
{
    run_outcome outcome = run_outcome::unknown;
    /** A retry needs a token from take_retry_token() as well. */
    bool retry_allowed = false;
};

failure_class classify_failure(const attempt_facts& facts);

/** Maximum number of hops in a chain of calls; chains are designed to be at most 8 deep. */
inline constexpr int max_call_depth = 16;

/** Reserved at each hop so that its response arrives before the previous hop times out. */
inline constexpr time_ms hop_margin = 5;

/** Time left and depth of a call at one hop. */
struct hop_limits
{
    time_ms time_left = 0;
    int depth = 0;
};

/** Limits for the next hop; empty and sets `reason` if the time or depth is used up. */
std::optional<hop_limits> next_hop(const hop_limits& arrived, time_ms elapsed, error& reason);

/** Fraction of the time left that one attempt of an idempotent call may use. */
inline constexpr double attempt_fraction = 0.4;

/** The same after an attempt was lost: less time is left, and its upstream isn't tried again. */
inline constexpr double attempt_fraction_after_loss = 0.8;

/** Timeout of one attempt. A call that can't be retried gets all of the time left. */
time_ms attempt_timeout(time_ms time_left, bool idempotent, bool attempt_lost);

/** Delay before the n-th retry (from 1) of a refused call: exponential back-off with jitter. */
time_ms retry_delay(int retry, std::mt19937_64& rng);

/** Hash of a request's method, path and body. */
std::uint64_t request_fingerprint(std::string_view method, std::string_view path,
                                  std::string_view body);

/** An answered request isn't blamed for a crash of an upstream on the same VM within this time. */
inline constexpr time_ms answered_retention_ms = 1'000;

/** Request that an upstream of this VM answered, and the steady time of the response. */
struct answered_request
{
    std::uint64_t fingerprint = 0;
    time_ms at = -answered_retention_ms;
};

/**
 * Recently answered requests in a table indexed by fingerprint; a newer request replaces an older
 * one in the same bucket.
 */
struct answered_requests
{
    std::vector<answered_request> buckets = std::vector<answered_request>(1024);
};

void record_answered(answered_requests& answered, std::uint64_t fingerprint, time_ms now);

/**
 * Whether the request was answered within answered_retention_ms. May return false for an answered
 * request whose bucket was reused.
 */
bool answered_recently(const answered_requests& answered, std::uint64_t fingerprint, time_ms now);

inline constexpr time_ms quarantine_duration_ms = 60'000;
inline constexpr std::size_t min_crashed_upstreams = 2;
/** Minimum time between two broadcasts of a success of the same request. */
inline constexpr time_ms success_broadcast_interval_ms = 200;

/**
 * Upstream crashes during one request. Times are wall clock times, since entries are broadcast to
 * other daemons.
 */
struct crash_entry
{
    std::uint64_t fingerprint = 0;
    /** Crash count per upstream, written only by the upstream's daemon. */
    std::map<std::string, std::uint32_t> crashes;
    time_ms last_crash = 0;
    /**
     * When an upstream last answered the request; a later crash makes the request suspect again.
     */
    time_ms last_success = 0;
    /** When this daemon last broadcast a success; not part of the broadcast. */
    time_ms last_success_broadcast = 0;
};

struct quarantine_table
{
    std::size_t max_entries = 1024;
    std::size_t max_upstreams = 8;
    std::map<std::uint64_t, crash_entry> entries;
};

/** Counts a crash. Returns the entry to broadcast. */
crash_entry record_crash(quarantine_table& table, std::uint64_t fingerprint,
                         std::string_view upstream, time_ms wall_now);

/**
 * Records that an upstream answered the request, if crashes are known for it. Returns whether to
 * broadcast the entry, since other daemons may still refuse the request.
 */
bool record_success(quarantine_table& table, std::uint64_t fingerprint, time_ms wall_now);

/** Merges an entry of another daemon; returns whether it changed anything. */
bool merge_crash(quarantine_table& table, const crash_entry& entry, time_ms wall_now);

/** Whether the request must be refused as not run. */
bool is_quarantined(const quarantine_table& table, std::uint64_t fingerprint, time_ms wall_now);

/** Removes entries that are older than quarantine_duration_ms. */
void expire_crashes(quarantine_table& table, time_ms wall_now);

} // namespace sardinepoint
