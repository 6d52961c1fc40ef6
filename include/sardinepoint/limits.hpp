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

/** Tokens that refill with time; starts full when made with tokens = capacity. */
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
    /** With a queue of half the slots, refusals at 96% load used up the retry budget. */
    int max_queue = 30;
    /** Part of its time left that a call may wait for a slot. */
    double max_wait_fraction = 0.25;
    double hold_gain = 0.05;
};

struct waiting_call
{
    std::uint64_t call = 0;
    time_ms expires_at = 0;
};

/** Slots of one upstream; only its own daemon holds this. */
struct upstream_slots
{
    slot_options options;
    int slots_used = 0;
    /** Exponentially weighted time that a call holds a slot; 0 until the first release. */
    double hold_ms = 0;
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

/** Takes a slot, queues the call, or refuses it; a refused call was not run. */
slot_decision try_acquire_slot(upstream_slots& upstream, std::uint64_t call, time_ms time_left,
                               time_ms now);

/** Frees a slot held for some time. Returns the waiting call that now holds the slot. */
std::optional<std::uint64_t> release_slot(upstream_slots& upstream, time_ms held, time_ms now);

/** Removes and returns waiting calls whose time is up; they were not run. */
std::vector<std::uint64_t> expire_waiting(upstream_slots& upstream, time_ms now);

/** Removes a waiting call; false if it doesn't wait. */
bool cancel_waiting(upstream_slots& upstream, std::uint64_t call);

/** Bounds retries to a part of the calls plus a small rate. */
struct retry_budget
{
    double retries_per_call = 0.2;
    /** Also the number of retries that may come at once. */
    token_bucket bucket{.rate_per_second = 1, .capacity = 20, .tokens = 20};
};

/** Each first attempt earns a part of a retry. */
void record_call(retry_budget& budget);

/** Takes one retry from the budget. */
bool may_retry(retry_budget& budget, time_ms now);

/** What is known about one attempt or call. */
enum class run_outcome
{
    answered,
    not_run,
    unknown,
};

/** Value of the Sardinepoint-Outcome header. */
std::string_view to_string(run_outcome outcome);

struct attempt_facts
{
    call_outcome outcome = call_outcome::unknown;
    /** Whether the peer is a daemon; the outcome header of an upstream proves nothing. */
    bool from_daemon = true;
    /** The Sardinepoint-Outcome header of the answer. */
    std::optional<std::string_view> outcome_header;
    bool idempotent = false;
    time_ms time_left = 0;
    /** Least time that makes another attempt worthwhile. */
    time_ms min_attempt_time = 10;
};

struct failure_class
{
    run_outcome outcome = run_outcome::unknown;
    /** Still subject to may_retry. */
    bool retry_allowed = false;
};

failure_class classify_failure(const attempt_facts& facts);

/** Longest chain of daemons' calls; design chains are 8 deep. */
inline constexpr int max_call_depth = 16;

/** Kept back at each hop so that its answer arrives before the previous hop gives up. */
inline constexpr time_ms hop_margin = 5;

/** Time and depth that a call has at one hop. */
struct hop_limits
{
    time_ms time_left = 0;
    int depth = 0;
};

/** Limits for the next hop; empty with the reason if time or depth is used up. */
std::optional<hop_limits> next_hop(const hop_limits& arrived, time_ms elapsed, error& reason);

/** Part of the time left that one attempt of an idempotent call may use. */
inline constexpr double attempt_fraction = 0.4;

/** Part after an attempt that was lost: less time is left, and its upstream isn't tried again. */
inline constexpr double attempt_fraction_after_loss = 0.8;

/** Timeout of one attempt; a call that can't be retried gets all the time left. */
time_ms attempt_timeout(time_ms time_left, bool idempotent, bool attempt_lost);

/** Delay before retry number 1, 2, ... of a refused call: doubles, with jitter. */
time_ms retry_delay(int retry, std::mt19937_64& rng);

/** Hash of a request's method, path and body. */
std::uint64_t request_fingerprint(std::string_view method, std::string_view path,
                                  std::string_view body);

/** For this time an answered request isn't suspected if an upstream of the same VM crashes. */
inline constexpr time_ms answered_retention = 1'000;

/** A request that an upstream of this VM answered, and the steady time of the answer. */
struct answered_request
{
    std::uint64_t fingerprint = 0;
    time_ms at = -answered_retention;
};

/** Requests answered last; of those that share a place by their fingerprint the newest is kept. */
struct answered_requests
{
    std::vector<answered_request> buckets = std::vector<answered_request>(1024);
};

void record_answered(answered_requests& answered, std::uint64_t fingerprint, time_ms now);

/** Whether the request was answered within answered_retention; "no" proves nothing. */
bool answered_recently(const answered_requests& answered, std::uint64_t fingerprint, time_ms now);

inline constexpr time_ms quarantine_duration = 60'000;
inline constexpr std::size_t quarantine_threshold = 2;
/** Least time between two successes of one request that a daemon spreads. */
inline constexpr time_ms success_broadcast_interval = 200;

/** Crashes of upstreams that ran one request. Times are wall clock since entries are spread. */
struct crash_entry
{
    std::uint64_t fingerprint = 0;
    /** Crash count per upstream, written by the upstream's daemon only. */
    std::map<std::string, std::uint32_t> crashes;
    time_ms last_crash = 0;
    /** When some upstream last answered the request; a later crash makes it suspect again. */
    time_ms last_success = 0;
    /** When this daemon last spread a success; not itself spread. */
    time_ms last_success_broadcast = 0;
};

struct quarantine_table
{
    std::size_t max_entries = 1024;
    std::size_t max_upstreams = 8;
    std::map<std::uint64_t, crash_entry> entries;
};

/** Counts a crash. Returns the entry, to be spread. */
crash_entry record_crash(quarantine_table& table, std::uint64_t fingerprint,
                         std::string_view upstream, time_ms wall_now);

/**
 * Notes that an upstream answered the request; a request without crashes leaves no trace. True if
 * the entry should be spread: other daemons may still refuse the request.
 */
bool record_success(quarantine_table& table, std::uint64_t fingerprint, time_ms wall_now);

/** Merges an entry of another daemon; true if it told something new. */
bool merge_crash(quarantine_table& table, const crash_entry& entry, time_ms wall_now);

/** Whether the request must be refused as not run. */
bool is_quarantined(const quarantine_table& table, std::uint64_t fingerprint, time_ms wall_now);

/** Removes entries that are too old to matter. */
void expire_crashes(quarantine_table& table, time_ms wall_now);

} // namespace sardinepoint
