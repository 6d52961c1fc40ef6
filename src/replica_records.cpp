#include "replica_records.hpp"

#include "broadcast.hpp"
#include "move_runtime.hpp"
#include "replica.hpp"

#include "sardinepoint/logging.hpp"

#include <algorithm>
#include <optional>
#include <utility>

namespace sardinepoint
{

namespace
{

constexpr double ms_per_second = 1000;
constexpr std::size_t max_recent_records = 1024;
// Bounds memory, as whole configurations are large. A peer that needs older records gets a
// snapshot.
constexpr std::size_t max_recent_bytes = 512U << 10U;
// Enough for some seconds of small changes. Records beyond the limit are dropped and fetched later.
constexpr std::size_t max_out_of_order_bytes = 256U << 10U;

/** `age` is the time since the record reached the daemon that read it from the log. */
void log_applied_record(const log_record& record, const fold_result& result, std::uint64_t version,
                        std::string_view source, time_ms age)
{
    const bool is_malformed = result.kind == fold_kind::malformed;
    log_event(is_malformed ? log_level::warning : log_level::info, "record_folded",
              {{"offset", record.offset},
               {"result", to_string(result.kind)},
               {"id", result.id},
               {"version", version},
               {"source", source},
               {"age_ms", age},
               {"reason", result.reason.message}});
}

void keep_recent(replica& config, const log_record& record)
{
    config.recent.push_back(record);
    config.recent_bytes += record.body.size();
    while (config.recent.size() > max_recent_records || config.recent_bytes > max_recent_bytes)
    {
        config.recent_bytes -= config.recent.front().body.size();
        config.recent.pop_front();
    }
}

/**
 * The record as it is kept for peers and sent to them: a whole configuration becomes a delta
 * against the state before it. A whole configuration is 30 to 240 KB, a typical delta a few hundred
 * bytes.
 */
log_record compact_record(const config_state& before, const log_record& record)
{
    if (!record.decoded_config)
    {
        return record;
    }
    return {.offset = record.offset,
            .appended = record.appended,
            .body = dump_delta(make_delta(before, *record.decoded_config))};
}

/** Whether the record is broadcast at once. Move orders aren't: each daemon reads them from the
 * log, so that all assign the same time to them. */
bool is_pushed(const log_record& original, const log_record& compact, fold_kind kind)
{
    return (original.decoded_config || kind == fold_kind::evacuation_set) &&
           compact.body.size() <= max_pushed_bytes;
}

/** Updates the range of records that the newest whole configuration replaces. */
void update_superseded(replica& config, const log_record& record, fold_kind kind)
{
    switch (kind)
    {
    case fold_kind::state_replaced:
        config.superseded = {
            .from = config.superseded ? config.superseded->from : record.offset,
            .newest = record.offset,
        };
        break;
    case fold_kind::outcome_ignored:
        break;
    default:
        config.superseded.reset();
    }
}

/** Whether every daemon of the domain reads the log, so that none depends on broadcast records. */
bool all_members_read_log(const node& self)
{
    return std::cmp_less_equal(available_ids(self.members, self.config.domain).size(),
                               self.config.log_readers);
}

/** Whether this daemon broadcasts or advertises the records that it got from this source. */
bool should_broadcast_records(const node& self, std::string_view source)
{
    // Records that came from a peer, or were read because a peer advertised them, have been
    // broadcast already.
    return source == "log" && (self.config.log_push_records || is_log_reader(self)) &&
           !all_members_read_log(self);
}

/** Buffers a peer's record until the records before it are applied. */
void buffer_out_of_order_record(replica& config, const log_record& record, std::string_view source)
{
    if (record.decoded_config ||
        config.out_of_order_bytes + record.body.size() > max_out_of_order_bytes)
    {
        return;
    }
    const auto [position, inserted] = config.out_of_order_records.try_emplace(
        record.offset, out_of_order_record{record, std::string(source)});
    config.out_of_order_bytes += inserted ? position->second.record.body.size() : 0;
}

/** Removes and returns the buffered record at the offset, and drops those before it. */
std::optional<out_of_order_record> take_buffered_record(replica& config, std::uint64_t offset)
{
    std::optional<out_of_order_record> next;
    while (!config.out_of_order_records.empty() &&
           config.out_of_order_records.begin()->first <= offset)
    {
        out_of_order_record& first = config.out_of_order_records.begin()->second;
        config.out_of_order_bytes -= first.record.body.size();
        if (first.record.offset == offset)
        {
            next = std::move(first);
        }
        config.out_of_order_records.erase(config.out_of_order_records.begin());
    }
    return next;
}

/** Handles a delta that is next but is based on another version. Peers must send a snapshot then.
 */
void record_unusable_delta(replica& config, const log_record& record, const fold_result& result)
{
    config.delta_unusable = true;
    log_event(log_level::info, "delta_unusable",
              {{"offset", record.offset}, {"reason", result.reason.message}});
}

/** Applies the record at the next offset. Returns false if it isn't based on this state. */
bool apply_next_record(node& self, const log_record& record, std::string_view source,
                       bool broadcast)
{
    replica& config = self.config_replica;
    log_record compact = compact_record(config.state, record);
    const fold_result result = fold_record(config.state, record);
    if (result.kind == fold_kind::out_of_order)
    {
        record_unusable_delta(config, record, result);
        return false;
    }
    count(self.stats, "records_folded{result=\"" + std::string(to_string(result.kind)) + "\"}");
    const time_ms age = std::max<time_ms>(wall_now() - record.appended, 0);
    observe(self.stats, "record_age_seconds", static_cast<double>(age) / ms_per_second);
    log_applied_record(record, result, config.state.version, source, age);
    if (record.decoded_config && result.kind == fold_kind::malformed)
    {
        // Peers must skip the record, as this daemon does.
        compact.body = R"({"kind":"foreign"})";
    }
    keep_recent(config, compact);
    update_superseded(config, record, result.kind);
    config.delta_unusable = false;
    if (broadcast && (self.config.log_push_records || is_pushed(record, compact, result.kind)))
    {
        self.pending.records.push_back(compact);
    }
    else if (broadcast)
    {
        self.pending.unpushed = true;
    }
    return true;
}

/** Applies the buffered records up to the first missing one. */
std::size_t apply_buffered_records(node& self)
{
    replica& config = self.config_replica;
    std::size_t applied = 0;
    while (const auto next = take_buffered_record(config, config.state.next_offset))
    {
        if (!apply_next_record(self, next->record, next->source, false))
        {
            break;
        }
        ++applied;
    }
    return applied;
}

} // namespace

void clear_recent_records(replica& config)
{
    config.recent.clear();
    config.recent_bytes = 0;
}

std::size_t apply_records(node& self, std::span<const log_record> records, std::string_view source)
{
    replica& config = self.config_replica;
    const bool broadcast = should_broadcast_records(self, source);
    std::size_t applied = 0;
    for (const log_record& record : records)
    {
        if (record.offset > config.state.next_offset)
        {
            buffer_out_of_order_record(config, record, source);
        }
        else if (record.offset == config.state.next_offset)
        {
            applied += apply_next_record(self, record, source, broadcast) ? 1 : 0;
        }
    }
    applied += apply_buffered_records(self);
    if (applied == 0)
    {
        return 0;
    }
    handle_config_change(self);
    check_ready(self);
    if (broadcast)
    {
        self.pending.freshness = self.pending.freshness || !self.config.log_push_records;
        schedule_flush(self);
    }
    return applied;
}

bool adopt_snapshot(node& self, std::string_view snapshot, std::string_view source)
{
    replica& config = self.config_replica;
    error reason;
    auto state = restore_snapshot(snapshot, reason);
    if (!state)
    {
        log_event(log_level::warning, "snapshot_rejected",
                  {{"source", source}, {"reason", describe(reason)}});
        return false;
    }
    if (state->next_offset <= config.state.next_offset || state->version < config.state.version)
    {
        return false;
    }
    config.state = std::move(*state);
    config.superseded.reset();
    config.delta_unusable = false;
    clear_recent_records(config);
    log_event(log_level::info, "snapshot_adopted",
              {{"source", source},
               {"next_offset", config.state.next_offset},
               {"version", config.state.version}});
    apply_buffered_records(self);
    handle_config_change(self);
    check_ready(self);
    if (should_broadcast_records(self, source))
    {
        self.pending.unpushed = true;
        self.pending.freshness = true;
        schedule_flush(self);
    }
    return true;
}

void broadcast_records_since(node& self, std::uint64_t from)
{
    for (const log_record& record : self.config_replica.recent)
    {
        if (record.offset >= from)
        {
            self.pending.records.push_back(record);
        }
    }
    schedule_flush(self);
}

} // namespace sardinepoint
