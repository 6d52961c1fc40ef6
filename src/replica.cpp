#include "replica.hpp"

#include "replica_records.hpp"
#include "sync.hpp"

#include "sardinepoint/logging.hpp"

#include <algorithm>
#include <utility>

namespace sardinepoint
{

namespace
{

// Minimum time between fetches of missing records from peers. Shorter than the interval of the
// periodic exchange, which would take about a second to deliver them.
constexpr time_ms gap_repair_interval_ms = 100;
// Time limit for reading advertised records from the log, after which peers are asked: 360 KB take
// 0.2 s at 16 Mbit/s, and the same is allowed for other traffic on the link.
constexpr time_ms advertised_read_timeout_ms = 400;
// An advertised change usually arrives from a peer within this time: pushes from several peers
// overlap, and each is forwarded by up to three daemons.
constexpr time_ms push_wait_ms = 150;
// Time limit for a peer's response with small records, after which the log is read.
constexpr time_ms peer_records_timeout_ms = 250;
constexpr int max_snapshots_read = 3;
constexpr time_ms read_retry_delay_ms = 500;
constexpr time_ms read_retry_jitter_ms = 500;
// Three missed freshness broadcasts of both log readers.
constexpr time_ms max_freshness_age_ms = 6000;
constexpr time_ms stale_read_jitter_ms = 4000;
// Peers exchange digests every second, so a longer silence means that none is reachable.
constexpr time_ms peer_silence_limit_ms = 1500;
// Age of the state at which a daemon without reachable peers reads the log.
constexpr time_ms max_age_without_peers_ms = 500;
// During a log outage, a starting daemon must reach the highest offset among the peers that respond
// within this time.
constexpr time_ms peer_responses_wait_ms = 500;

time_ms random_jitter(node& self, time_ms max_jitter)
{
    return std::uniform_int_distribution<time_ms>(0, max_jitter)(self.random);
}

void update_log_reachability(node& self, bool reachable, std::string_view reason)
{
    replica& config = self.config_replica;
    if (config.log_reachable != reachable)
    {
        config.log_reachable = reachable;
        log_event(reachable ? log_level::info : log_level::warning,
                  reachable ? "log_reachable" : "log_unreachable", {{"reason", reason}});
    }
}

void schedule_read_retry(node& self)
{
    replica& config = self.config_replica;
    config.reading = false;
    config.next_read =
        steady_now() + read_retry_delay_ms + random_jitter(self, read_retry_jitter_ms);
}

/** Snapshots are loaded before the log is read, because the newest one sets the offset to read.
 * `after_expiry` is set if the log no longer keeps the next record, so that a newer snapshot is
 * required. */
void load_snapshots(node& self, bool after_expiry);

/**
 * Requests the missing records from a peer if they are small. If a push was lost, the log offers
 * its change only as part of a whole configuration, which is much larger. Any peer has the change,
 * so a random one is asked, which spreads the load.
 */
void request_small_records(node& self)
{
    replica& config = self.config_replica;
    if (!is_behind(self))
    {
        return;
    }
    config.await_peers_until = steady_now() + peer_records_timeout_ms;
    sync_with_random_member(self, record_request::small,
                            [&self](bool)
                            {
                                if (is_behind(self))
                                {
                                    self.config_replica.await_peers_until = steady_now();
                                }
                            });
}

void handle_read(node& self, const read_result& result, time_ms requested_at)
{
    replica& config = self.config_replica;
    if (!result.ok)
    {
        const bool was_reachable = config.log_reachable;
        update_log_reachability(self, false, result.reason);
        schedule_read_retry(self);
        if (result.timed_out && was_reachable)
        {
            // The connection may have gone silent while the log works; the next read opens another.
            config.next_read = steady_now();
        }
        return;
    }
    update_log_reachability(self, true, "");
    config.reading = false;
    if (result.expired)
    {
        log_event(log_level::warning, "records_expired",
                  {{"wanted", config.state.next_offset}, {"first", result.first}});
        load_snapshots(self, true);
        return;
    }
    if (!result.records.empty())
    {
        log_event(log_level::info, "log_read",
                  {{"records", static_cast<std::uint64_t>(result.records.size())},
                   {"next_offset", result.next},
                   {"told_offset", config.advertised_offset},
                   {"ms", steady_now() - requested_at}});
    }
    apply_records(self, result.records, "log");
    const bool complete = config.state.next_offset >= result.next;
    if (!config.ready && !config.target_from_log)
    {
        // Offsets from peers that responded before the log did may be behind the log's end.
        config.target = std::max(config.target.value_or(0), result.next);
        config.target_from_log = true;
    }
    if (complete)
    {
        config.fresh_at = std::max(config.fresh_at, requested_at);
    }
    check_ready(self);
    config.next_read = steady_now();
    if (!result.records.empty())
    {
        // For daemons that read on advertisement, the duration of the read counts towards the
        // pause. A log reader's duration includes the wait of its long poll, so it doesn't count.
        config.next_read = is_log_reader(self)
                               ? config.next_read + self.config.log_read_pause
                               : requested_at + self.config.log_advertised_read_pause;
    }
    if (config.ready && !self.config.log_push_records)
    {
        // Fetches changes that were advertised during a long read.
        request_small_records(self);
    }
}

/** Skips records that a newer whole configuration replaces. Requires that no read is in progress.
 */
void skip_superseded(replica& config)
{
    const superseded_records& advertised = config.advertised_superseded;
    const std::uint64_t next = config.state.next_offset;
    if (!config.ready || next < advertised.from || next >= advertised.newest)
    {
        return;
    }
    log_event(log_level::info, "records_superseded",
              {{"next_offset", next}, {"newest", advertised.newest}});
    config.state.next_offset = advertised.newest;
    // Peers that are behind then get a snapshot instead of records with a gap.
    clear_recent_records(config);
}

void read_log(node& self)
{
    replica& config = self.config_replica;
    skip_superseded(config);
    config.reading = true;
    const time_ms requested_at = steady_now();
    const bool is_long_poll = config.ready && is_log_reader(self);
    count(self.stats, "log_reads");
    read_records(
        self.log, config_stream,
        {.from = config.state.next_offset, .wait = is_long_poll ? self.config.log_poll_wait : 0},
        [&self, requested_at](const read_result& result)
        { handle_read(self, result, requested_at); });
}

void load_snapshots(node& self, bool after_expiry)
{
    self.config_replica.reading = true;
    read_newest(self.log, snapshot_stream, max_snapshots_read,
                [&self, after_expiry](const read_result& result)
                {
                    bool adopted = false;
                    for (auto record = result.records.rbegin(); record != result.records.rend();
                         ++record)
                    {
                        if (adopt_snapshot(self, record->body, "log"))
                        {
                            adopted = true;
                            break;
                        }
                    }
                    // Without a newer snapshot the next read would fail as expired again.
                    if (!result.ok || (after_expiry && !adopted))
                    {
                        schedule_read_retry(self);
                        return;
                    }
                    self.config_replica.reading = false;
                    self.config_replica.next_read = steady_now();
                });
}

void write_snapshot(node& self)
{
    replica& config = self.config_replica;
    config.writing_snapshot = true;
    const std::uint64_t offset = config.state.next_offset;
    append_record(self.log, snapshot_stream, make_snapshot(config.state),
                  [&self, offset](const append_result& result)
                  {
                      replica& target = self.config_replica;
                      target.writing_snapshot = false;
                      const bool written = result.outcome == append_outcome::appended;
                      if (written)
                      {
                          target.snapshot_at = steady_now();
                      }
                      else
                      {
                          // Retries after a tenth of the interval.
                          target.snapshot_at = steady_now() - self.config.snapshot_interval +
                                               self.config.snapshot_interval / 10;
                      }
                      log_event(log_level::info, "snapshot_written",
                                {{"next_offset", offset},
                                 {"ok", written ? "yes" : "no"},
                                 {"reason", result.reason}});
                  });
}

/** Members of this daemon's locality. Each locality has its own log readers, because it may be cut
 * off from the other localities but not from the log. */
std::vector<std::string_view> log_reader_candidates(const node& self)
{
    std::vector<std::string_view> ids;
    for (const auto& [id, entry] : self.members.members)
    {
        const auto& upstreams = entry.record.upstreams;
        const std::string_view locality =
            upstreams.empty() ? std::string_view{} : upstreams.front().locality;
        if (is_alive(entry) && entry.record.domain == self.config.domain &&
            (id == self.config.id || locality == self.config.sidecar.locality))
        {
            ids.push_back(id);
        }
    }
    return ids;
}

std::optional<std::size_t> log_reader_rank(const node& self)
{
    const auto ids = log_reader_candidates(self);
    const auto picked =
        rendezvous_pick(ids, "fetcher", static_cast<std::size_t>(self.config.log_readers));
    const auto found = std::find(picked.begin(), picked.end(), self.config.id);
    if (found == picked.end())
    {
        return std::nullopt;
    }
    return static_cast<std::size_t>(found - picked.begin());
}

bool snapshot_due(const node& self)
{
    const replica& config = self.config_replica;
    const auto rank = log_reader_rank(self);
    if (!self.log.protocol->needs_snapshots || !rank || config.writing_snapshot || !config.ready ||
        config.state.next_offset == 0)
    {
        return false;
    }
    // The second log reader uses a longer interval; it is there in case the first one fails.
    const time_ms due = self.config.snapshot_interval * (*rank == 0 ? 2 : 3) / 2;
    return steady_now() - config.snapshot_at >= due;
}

} // namespace

void start_replica(node& self)
{
    self.config_replica.snapshot_at = steady_now();
    load_snapshots(self, false);
}

bool is_log_reader(const node& self)
{
    return log_reader_rank(self).has_value();
}

time_ms freshness_age(const node& self)
{
    return steady_now() - self.config_replica.fresh_at;
}

void record_freshness(node& self, std::uint64_t peer_next_offset, time_ms age)
{
    replica& config = self.config_replica;
    if (config.state.next_offset >= peer_next_offset)
    {
        config.fresh_at = std::max(config.fresh_at, steady_now() - age);
    }
}

void request_read(node& self)
{
    if (!self.config_replica.reading)
    {
        read_log(self);
    }
}

bool is_behind(const node& self)
{
    return self.config_replica.advertised_offset > self.config_replica.state.next_offset;
}

bool should_request_records(const node& self)
{
    const replica& config = self.config_replica;
    const bool advertised_late = config.advertised_read_late && is_behind(self);
    return self.config.log_push_records || !config.log_reachable || advertised_late;
}

namespace
{

void fetch_from_peer(node& self, const endpoint& peer)
{
    replica& config = self.config_replica;
    if (steady_now() >= config.next_gap_repair)
    {
        config.next_gap_repair = steady_now() + gap_repair_interval_ms;
        sync_with(self, peer, record_request::all, {});
    }
}

/**
 * Schedules the read of advertised records from the log: at once if they aren't broadcast, else
 * after the time for pushes and a peer's response. Requests them from a peer if that takes too
 * long.
 */
void read_advertised_records(node& self, const advertised_records& advertised)
{
    replica& config = self.config_replica;
    const bool was_behind = is_behind(self);
    config.advertised_offset = std::max(config.advertised_offset, advertised.next_offset);
    if (advertised.unpushed)
    {
        config.await_peers_until = steady_now();
    }
    if (was_behind)
    {
        return;
    }
    config.advertised_read_late = false;
    if (!advertised.unpushed)
    {
        config.await_peers_until = steady_now() + push_wait_ms + peer_records_timeout_ms;
        run_after(*self.loop, push_wait_ms, [&self] { request_small_records(self); });
    }
    run_after(*self.loop, self.config.log_advertised_read_pause + advertised_read_timeout_ms,
              [&self, next_offset = advertised.next_offset]
              {
                  replica& config = self.config_replica;
                  config.advertised_read_late = config.state.next_offset < next_offset;
                  if (config.advertised_read_late)
                  {
                      log_event(
                          log_level::info, "told_read_late",
                          {{"wanted", next_offset}, {"next_offset", config.state.next_offset}});
                      sync_with_random_member(self, records_to_request(self), {});
                  }
              });
}

} // namespace

record_request records_to_request(const node& self)
{
    return should_request_records(self) ? record_request::all : record_request::none;
}

void fetch_advertised_records(node& self, const advertised_records& advertised)
{
    if (self.config_replica.state.next_offset >= advertised.next_offset)
    {
        return;
    }
    if (!self.config.log_push_records)
    {
        read_advertised_records(self, advertised);
    }
    if (should_request_records(self))
    {
        fetch_from_peer(self, advertised.peer);
    }
}

void read_during_poll(node& self)
{
    count(self.stats, "log_reads");
    read_records(self.log, config_stream, {.from = self.config_replica.state.next_offset},
                 [&self](const read_result& result)
                 {
                     if (result.ok)
                     {
                         apply_records(self, result.records, "log");
                     }
                 });
}

void tick_replica(node& self)
{
    replica& config = self.config_replica;
    if (snapshot_due(self))
    {
        write_snapshot(self);
    }
    check_ready(self);
    const time_ms now = steady_now();
    if (config.reading || now < config.next_read)
    {
        return;
    }
    const bool advertised_missing = is_behind(self) && now >= config.await_peers_until;
    if (!config.ready || advertised_missing || is_log_reader(self))
    {
        read_log(self);
        return;
    }
    const time_ms silence = now - self.peers_heard_at;
    if (freshness_age(self) >
        (silence > peer_silence_limit_ms ? max_age_without_peers_ms : max_freshness_age_ms))
    {
        log_event(log_level::info, "log_read_without_fetcher",
                  {{"age_ms", freshness_age(self)}, {"peers_silent_ms", silence}});
        read_log(self);
        config.next_read = now + max_freshness_age_ms + random_jitter(self, stale_read_jitter_ms);
    }
}

void record_peer_offset(node& self, std::uint64_t next_offset)
{
    replica& config = self.config_replica;
    if (self.first_peer_response_at == 0)
    {
        self.first_peer_response_at = steady_now();
    }
    if (!config.ready && !config.log_reachable)
    {
        config.target = std::max(config.target.value_or(0), next_offset);
    }
}

void record_served_offset(node& self, std::uint64_t next_offset)
{
    replica& config = self.config_replica;
    // A daemon without any state reports offset 0. Two such daemons must not become ready on each
    // other's report.
    if (!config.ready && next_offset > 0)
    {
        config.target = std::max(config.target.value_or(0), next_offset);
    }
}

void check_ready(node& self)
{
    replica& config = self.config_replica;
    if (config.ready)
    {
        return;
    }
    if (!config.target)
    {
        config.not_ready_reason = "neither the log nor a ready peer has been reached";
        return;
    }
    if (config.state.next_offset < *config.target)
    {
        config.not_ready_reason = "the configuration is loaded up to offset " +
                                  std::to_string(config.state.next_offset) + " of " +
                                  std::to_string(*config.target);
        return;
    }
    if (!config.log_reachable &&
        steady_now() - self.first_peer_response_at < peer_responses_wait_ms)
    {
        config.not_ready_reason = "waiting for the offsets of more peers";
        return;
    }
    config.ready = true;
    config.not_ready_reason.clear();
    log_event(log_level::info, "ready",
              {{"version", config.state.version}, {"next_offset", config.state.next_offset}});
    publish_self_record(self);
}

} // namespace sardinepoint
