#include "sardinepoint/idempotency.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

#include <fmt/format.h>

namespace sardinepoint
{
namespace
{

// Accepts decimal digits without a sign or leading zeros, so that each number has only one text
// form.
template <class Number>
std::optional<Number> parse_number(std::string_view text)
{
    if (text.empty() || text.front() < '0' || text.front() > '9' ||
        (text.size() > 1 && text.front() == '0'))
    {
        return std::nullopt;
    }
    Number value = 0;
    const char* end = text.data() + text.size();
    const auto [position, status] = std::from_chars(text.data(), end, value);
    if (status != std::errc{} || position != end)
    {
        return std::nullopt;
    }
    return value;
}

// Removes the last dot and the field after it from the text. Returns the field.
std::optional<std::string_view> split_last_field(std::string_view& text)
{
    const std::size_t dot = text.rfind('.');
    if (dot == std::string_view::npos)
    {
        return std::nullopt;
    }
    const std::string_view field = text.substr(dot + 1);
    text = text.substr(0, dot);
    return field;
}

bool is_valid_id(std::string_view text)
{
    constexpr std::size_t max_length = 128;
    constexpr std::string_view allowed = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                         "0123456789._-:@";
    return !text.empty() && text.size() <= max_length &&
           text.find_first_not_of(allowed) == std::string_view::npos;
}

time_ms advance_clock(key_table& table, time_ms now)
{
    table.latest_time = std::max(table.latest_time, now);
    return table.latest_time;
}

bool has_expired(time_ms issued_ms, time_ms now)
{
    return now - issued_ms >= key_lifetime;
}

// Issue time of a sequence number; empty if its batch has expired and was removed.
std::optional<time_ms> issue_time(const key_table& table, std::uint64_t sequence)
{
    const auto after =
        std::ranges::upper_bound(table.issue_batches, sequence, {}, &issue_batch::first_sequence);
    if (after == table.issue_batches.begin())
    {
        return std::nullopt;
    }
    return std::prev(after)->issued_ms;
}

std::size_t stored_size(const http_response& response)
{
    std::size_t size = sizeof(http_response) + response.body.size();
    for (const http_header& header : response.headers)
    {
        size += sizeof(http_header) + header.name.size() + header.value.size();
    }
    return size;
}

void drop_response(key_table& table, key_entry& entry)
{
    table.response_bytes -= entry.response_bytes;
    entry.response_bytes = 0;
    entry.response.reset();
}

void drop_oldest_response(key_table& table)
{
    const std::uint64_t sequence = table.stored_responses.front();
    table.stored_responses.pop_front();
    const auto position = table.entries.find(sequence);
    if (position != table.entries.end())
    {
        drop_response(table, position->second);
    }
}

void store_response(key_table& table, std::uint64_t sequence, key_entry& entry,
                    http_response response)
{
    const std::size_t size = stored_size(response);
    if (size > table.options.max_response_bytes)
    {
        return;
    }
    while (table.response_bytes + size > table.options.max_response_bytes)
    {
        drop_oldest_response(table);
    }
    entry.response = std::move(response);
    entry.response_bytes = size;
    table.response_bytes += size;
    table.stored_responses.push_back(sequence);
}

start_result result_for_known_key(const key_entry& entry, std::uint64_t fingerprint)
{
    if (entry.fingerprint != fingerprint)
    {
        return {.status = start_status::other_request};
    }
    switch (entry.state)
    {
    case key_state::running:
        return {.status = start_status::in_progress};
    case key_state::unknown:
        return {.status = start_status::outcome_unknown};
    case key_state::closed:
        return {.status = start_status::closed};
    case key_state::answered:
        break;
    }
    if (!entry.response)
    {
        return {.status = start_status::finished_answer_dropped};
    }
    return {.status = start_status::finished, .response = entry.response};
}

} // namespace

std::string to_string(const idempotency_key& key)
{
    return fmt::format("{}.{}.{}.{}", key.id, key.incarnation, key.issued_ms, key.sequence);
}

std::optional<idempotency_key> parse_key(std::string_view text, error& reason)
{
    const auto sequence_text = split_last_field(text);
    const auto issued_text = sequence_text ? split_last_field(text) : std::nullopt;
    const auto incarnation_text = issued_text ? split_last_field(text) : std::nullopt;
    if (incarnation_text && is_valid_id(text))
    {
        const auto incarnation = parse_number<std::uint64_t>(*incarnation_text);
        const auto issued_ms = parse_number<time_ms>(*issued_text);
        const auto sequence = parse_number<std::uint64_t>(*sequence_text);
        if (incarnation && issued_ms && sequence)
        {
            return idempotency_key{.id = std::string{text},
                                   .incarnation = *incarnation,
                                   .issued_ms = *issued_ms,
                                   .sequence = *sequence};
        }
    }
    reason = {.kind = error_kind::invalid_argument,
              .message = "the idempotency key is malformed",
              .remedy = "get a key from a daemon with GET /v1/keys"};
    return std::nullopt;
}

idempotency_key issue_key(key_table& table, time_ms now)
{
    const time_ms latest_time = advance_clock(table, now);
    const time_ms issued_ms = latest_time - latest_time % key_issue_resolution;
    if (table.issue_batches.empty() || table.issue_batches.back().issued_ms != issued_ms)
    {
        drop_expired_keys(table, latest_time);
        table.issue_batches.push_back(
            {.first_sequence = table.next_sequence, .issued_ms = issued_ms});
    }
    return {.id = table.id,
            .incarnation = table.incarnation,
            .issued_ms = issued_ms,
            .sequence = table.next_sequence++};
}

std::string_view to_string(start_status status)
{
    constexpr std::array<std::string_view, 11> names{
        "run",     "in_progress", "finished",     "finished_answer_dropped", "outcome_unknown",
        "expired", "not_owner",   "never_issued", "other_request",           "table_full",
        "closed"};
    return names.at(static_cast<std::size_t>(status));
}

start_result start_call(key_table& table, const idempotency_key& key, time_ms now,
                        std::uint64_t fingerprint)
{
    if (key.id != table.id || key.incarnation != table.incarnation)
    {
        return {.status = start_status::not_owner};
    }
    if (key.sequence >= table.next_sequence)
    {
        return {.status = start_status::never_issued};
    }
    const time_ms latest_time = advance_clock(table, now);
    // The recorded issue time decides. With a forged later time in the key, the key could outlive
    // its entry and the call could run again.
    const auto issued_ms = issue_time(table, key.sequence);
    if (!issued_ms || has_expired(*issued_ms, latest_time))
    {
        return {.status = start_status::expired};
    }
    if (key.issued_ms != *issued_ms)
    {
        return {.status = start_status::never_issued};
    }
    const auto position = table.entries.find(key.sequence);
    if (position != table.entries.end())
    {
        return result_for_known_key(position->second, fingerprint);
    }
    drop_expired_keys(table, latest_time);
    if (table.entries.size() >= table.options.max_entries)
    {
        return {.status = start_status::table_full};
    }
    table.entries[key.sequence] = {.fingerprint = fingerprint,
                                   .expires_at = *issued_ms + key_lifetime};
    return {.status = start_status::run};
}

void finish_call(key_table& table, const idempotency_key& key, run_outcome outcome,
                 std::optional<http_response> response, time_ms now)
{
    drop_expired_keys(table, now);
    if (key.id != table.id || key.incarnation != table.incarnation)
    {
        return;
    }
    const auto position = table.entries.find(key.sequence);
    if (position == table.entries.end() || position->second.state != key_state::running)
    {
        return;
    }
    key_entry& entry = position->second;
    switch (outcome)
    {
    case run_outcome::not_run:
        table.entries.erase(position);
        return;
    case run_outcome::unknown:
        entry.state = key_state::unknown;
        return;
    case run_outcome::answered:
        entry.state = key_state::answered;
        if (response)
        {
            store_response(table, key.sequence, entry, std::move(*response));
        }
        return;
    }
}

void close_key(key_table& table, const idempotency_key& key, time_ms now)
{
    drop_expired_keys(table, now);
    if (key.id != table.id || key.incarnation != table.incarnation)
    {
        return;
    }
    const auto position = table.entries.find(key.sequence);
    if (position != table.entries.end() && position->second.state == key_state::running)
    {
        position->second.state = key_state::closed;
    }
}

void drop_expired_keys(key_table& table, time_ms now)
{
    const time_ms latest_time = advance_clock(table, now);
    // Entries are ordered by sequence number and therefore by expiry time.
    while (!table.entries.empty() && table.entries.begin()->second.expires_at <= latest_time)
    {
        drop_response(table, table.entries.begin()->second);
        table.entries.erase(table.entries.begin());
    }
    while (!table.issue_batches.empty() &&
           has_expired(table.issue_batches.front().issued_ms, latest_time))
    {
        table.issue_batches.pop_front();
    }
    while (!table.stored_responses.empty() &&
           !table.entries.contains(table.stored_responses.front()))
    {
        table.stored_responses.pop_front();
    }
}

} // namespace sardinepoint
