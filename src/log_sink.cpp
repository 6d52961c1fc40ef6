#include "log_sink.hpp"

#include <spdlog/pattern_formatter.h>

#include <algorithm>
#include <chrono>

#include <poll.h>
#include <unistd.h>

namespace sardinepoint::detail
{

namespace
{

// About three times the rate of a daemon at the planned load. Warnings and errors are exempt.
constexpr std::size_t max_lines_per_second = 1000;
// Covers the lines that accumulate while the reader pauses for a few seconds.
constexpr std::size_t max_pending_bytes = 512U << 10U;
constexpr std::size_t flush_threshold_bytes = 16U << 10U;
// POSIX guarantees that a pipe that polls as writable accepts this much without blocking.
constexpr std::size_t max_write_bytes = 4096;

} // namespace

bounded_sink::bounded_sink(int descriptor) : descriptor(descriptor) {}

bounded_sink::~bounded_sink()
{
    this->write_available();
}

void bounded_sink::start_buffering()
{
    this->buffering = true;
}

bool bounded_sink::admit_line(const spdlog::details::log_msg& message)
{
    const auto now =
        std::chrono::duration_cast<std::chrono::seconds>(message.time.time_since_epoch()).count();
    if (now != this->current_second)
    {
        this->current_second = now;
        this->lines_in_second = 0;
    }
    const bool exempt = message.level >= spdlog::level::warn;
    if ((!exempt && this->lines_in_second >= max_lines_per_second) ||
        this->pending.size() >= max_pending_bytes)
    {
        ++this->dropped_lines;
        return false;
    }
    ++this->lines_in_second;
    return true;
}

void bounded_sink::sink_it_(const spdlog::details::log_msg& message)
{
    if (!this->admit_line(message))
    {
        return;
    }
    spdlog::memory_buf_t line;
    if (this->dropped_lines > 0)
    {
        const std::string text =
            "event=log_lines_dropped lines=" + std::to_string(this->dropped_lines);
        spdlog::details::log_msg notice(message.time, {}, message.logger_name, spdlog::level::warn,
                                        text);
        this->formatter_->format(notice, line);
        this->dropped_lines = 0;
    }
    this->formatter_->format(message, line);
    this->pending.append(line.data(), line.size());
    if (!this->buffering || this->pending.size() >= flush_threshold_bytes)
    {
        this->write_available();
    }
}

void bounded_sink::flush_()
{
    this->write_available();
}

void bounded_sink::write_available()
{
    std::size_t written = 0;
    while (written < this->pending.size())
    {
        pollfd state{this->descriptor, POLLOUT, 0};
        if (::poll(&state, 1, 0) <= 0 || (state.revents & POLLOUT) == 0)
        {
            break;
        }
        const std::size_t length = std::min(max_write_bytes, this->pending.size() - written);
        const ssize_t result = ::write(this->descriptor, this->pending.data() + written, length);
        if (result <= 0)
        {
            break;
        }
        written += static_cast<std::size_t>(result);
    }
    this->pending.erase(0, written);
}

} // namespace sardinepoint::detail
