#pragma once

#include "sardinepoint/fold.hpp"
#include "sardinepoint/http_client.hpp"
#include "sardinepoint/settings.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sardinepoint
{

/** Streams of the platform's log that the system uses. */
inline constexpr std::string_view config_stream = "config";
inline constexpr std::string_view snapshot_stream = "snapshots";
inline constexpr std::string_view member_stream = "members";

enum class append_outcome
{
    appended,
    /** The log certainly didn't append the record. */
    refused,
    /** The log may or may not have appended the record. */
    unknown,
};

/** Name of the outcome in log lines. */
std::string_view to_string(append_outcome outcome);

struct append_result
{
    append_outcome outcome = append_outcome::unknown;
    std::uint64_t offset = 0;
    std::string reason;
};

struct read_result
{
    bool ok = false;
    /** The log did not respond in time, possibly because the connection is silent. */
    bool timed_out = false;
    /** The requested offset is below that of the oldest record kept. */
    bool expired = false;
    /** Offset of the oldest record kept. */
    std::uint64_t first = 0;
    /** Offset of the next record to be appended. */
    std::uint64_t next = 0;
    std::vector<log_record> records;
    std::string reason;
};

struct read_options
{
    std::uint64_t from = 0;
    int limit = 256;
    /** How long the log waits for a new record before it responds without records. */
    time_ms wait = 0;
};

struct log_client;

/** Result of recording a move's outcome. */
struct outcome_result
{
    append_outcome outcome = append_outcome::unknown;
    /** The recorded state; differs from the requested one if another daemon recorded first. */
    move_state recorded = move_state::running;
    std::string reason;
};

/** Operations of a platform's log service, implemented by its adapter. */
struct log_protocol
{
    void (*append)(const log_client& log, std::string_view stream, std::string_view body,
                   std::function<void(append_result)> done) = nullptr;
    void (*read)(const log_client& log, std::string_view stream, const read_options& options,
                 std::function<void(read_result)> done) = nullptr;
    void (*read_newest)(const log_client& log, std::string_view stream, int count,
                        std::function<void(read_result)> done) = nullptr;
    /** Records the end of a move, or its start if the state is `running`. */
    void (*record_outcome)(const log_client& log, const move_spec& move,
                           const move_outcome& outcome,
                           std::function<void(outcome_result)> done) = nullptr;
    /** Whether the log expires records, so that snapshots are needed. */
    bool needs_snapshots = true;
};

/** HTTP client of the platform's log service. */
struct log_client
{
    http_client* http = nullptr;
    const log_protocol* protocol = nullptr;
    endpoint service;
    time_ms timeout = 3000;
    /** Sent with each request so that the service can attribute its load to clients. */
    std::string client_id;
};

/** Appends a record to a stream. */
void append_record(const log_client& log, std::string_view stream, std::string_view body,
                   std::function<void(append_result)> done);

/** Reads records of a stream. */
void read_records(const log_client& log, std::string_view stream, const read_options& options,
                  std::function<void(read_result)> done);

/** Reads the newest records of a stream, at most the given number. */
void read_newest(const log_client& log, std::string_view stream, int count,
                 std::function<void(read_result)> done);

/** Records the end of a move, or its start if the state is `running`. */
void record_outcome(const log_client& log, const move_spec& move, const move_outcome& outcome,
                    std::function<void(outcome_result)> done);

} // namespace sardinepoint
