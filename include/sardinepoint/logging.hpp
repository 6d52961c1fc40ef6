#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace sardinepoint
{

enum class log_level
{
    debug,
    info,
    warning,
    error,
};

/** One key=value pair of a log line. */
struct log_field
{
    std::string_view key;
    std::string value;

    log_field(std::string_view key, std::string_view value) : key(key), value(value) {}
    log_field(std::string_view key, const char* value) : key(key), value(value) {}
    log_field(std::string_view key, const std::string& value) : key(key), value(value) {}
    log_field(std::string_view key, std::int64_t value) : key(key), value(std::to_string(value)) {}
    log_field(std::string_view key, std::uint64_t value) : key(key), value(std::to_string(value)) {}
    log_field(std::string_view key, int value) : key(key), value(std::to_string(value)) {}
    log_field(std::string_view key, double value);
};

/** Configures the default logger with the lowest level to write and the process id of each line. */
void set_up_logging(log_level lowest, std::string_view process_id);

/** Changes the lowest level to write. */
void set_log_level(log_level lowest);

/** Buffers lines from now on until flush_logs is called or the buffer reaches its threshold. */
void start_log_buffering();

/** Writes as many buffered lines as standard output accepts without blocking. */
void flush_logs();

/** Returns whether lines of this level are written. */
bool log_enabled(log_level level);

/** Writes one line with time, level, process, event and the fields as key=value pairs. */
void log_event(log_level level, std::string_view event, std::initializer_list<log_field> fields);

} // namespace sardinepoint
