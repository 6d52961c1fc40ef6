#include "sardinepoint/logging.hpp"

#include "log_sink.hpp"

#include <fmt/format.h>
#include <spdlog/spdlog.h>

#include <unistd.h>

namespace sardinepoint
{

namespace
{

spdlog::level::level_enum to_spdlog(log_level level)
{
    switch (level)
    {
    case log_level::debug:
        return spdlog::level::debug;
    case log_level::info:
        return spdlog::level::info;
    case log_level::warning:
        return spdlog::level::warn;
    case log_level::error:
        return spdlog::level::err;
    }
    return spdlog::level::info;
}

/**
 * Quotes empty values and values with whitespace, quotes, backslashes or '=', so that a line can be
 * split into its fields. Line breaks and tabs become spaces.
 */
void append_value(std::string& line, std::string_view value)
{
    if (!value.empty() && value.find_first_of(" =\"\\\n\r\t") == std::string_view::npos)
    {
        line += value;
        return;
    }
    line += '"';
    for (const char c : value)
    {
        if (c == '"' || c == '\\')
        {
            line += '\\';
            line += c;
        }
        else
        {
            line += c == '\n' || c == '\r' || c == '\t' ? ' ' : c;
        }
    }
    line += '"';
}

} // namespace

log_field::log_field(std::string_view key, double value)
    : key(key), value(fmt::format("{:.3f}", value))
{
}

void set_up_logging(log_level lowest, std::string_view process_id)
{
    auto logger = std::make_shared<spdlog::logger>(
        "sardinepoint", std::make_shared<detail::bounded_sink>(STDOUT_FILENO));
    logger->set_level(to_spdlog(lowest));
    logger->set_pattern("time=%Y-%m-%dT%H:%M:%S.%eZ level=%l process=" + std::string(process_id) +
                            " %v",
                        spdlog::pattern_time_type::utc);
    spdlog::set_default_logger(std::move(logger));
}

void set_log_level(log_level lowest)
{
    spdlog::default_logger_raw()->set_level(to_spdlog(lowest));
}

void start_log_buffering()
{
    for (const spdlog::sink_ptr& sink : spdlog::default_logger_raw()->sinks())
    {
        if (auto* bounded = dynamic_cast<detail::bounded_sink*>(sink.get()))
        {
            bounded->start_buffering();
        }
    }
}

void flush_logs()
{
    spdlog::default_logger_raw()->flush();
}

bool log_enabled(log_level level)
{
    return spdlog::default_logger_raw()->should_log(to_spdlog(level));
}

void log_event(log_level level, std::string_view event, std::initializer_list<log_field> fields)
{
    if (!log_enabled(level))
    {
        return;
    }
    std::string line = "event=";
    line += event;
    for (const log_field& field : fields)
    {
        line += ' ';
        line += field.key;
        line += '=';
        append_value(line, field.value);
    }
    spdlog::default_logger_raw()->log(to_spdlog(level), spdlog::string_view_t(line));
}

} // namespace sardinepoint
