#pragma once

#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>

#include <cstddef>
#include <cstdint>
#include <string>

namespace sardinepoint::detail
{

/**
 * Writes lines to a descriptor without blocking, and limits their rate and the unwritten bytes.
 * Lines over a limit are dropped; their number is logged with the next line that is accepted.
 */
class bounded_sink : public spdlog::sinks::base_sink<spdlog::details::null_mutex>
{
public:
    explicit bounded_sink(int descriptor);
    ~bounded_sink() override;
    bounded_sink(const bounded_sink&) = delete;
    bounded_sink& operator=(const bounded_sink&) = delete;

    /** Buffers lines until flush is called, for programs that flush at regular intervals. */
    void start_buffering();

protected:
    void sink_it_(const spdlog::details::log_msg& message) override;
    void flush_() override;

private:
    bool admit_line(const spdlog::details::log_msg& message);
    void write_available();

    int descriptor;
    bool buffering = false;
    std::string pending;
    std::int64_t current_second = 0;
    std::size_t lines_in_second = 0;
    std::uint64_t dropped_lines = 0;
};

} // namespace sardinepoint::detail
