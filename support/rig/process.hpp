#pragma once

#include <sys/types.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace sardinepoint::rig
{

/** A child process that prints its ports in its first line; killed by the destructor. */
class process
{
public:
    /** Starts a program and waits for its first line of output. */
    process(const std::string& program, const std::vector<std::string>& arguments,
            const std::string& log_file);
    ~process();
    process(process&& other) noexcept;
    process& operator=(process&& other) noexcept;
    process(const process&) = delete;
    process& operator=(const process&) = delete;

    /** Port after "NAME=" in the first line. */
    std::uint16_t port(std::string_view name) const;

    /** Sends a signal; does nothing if the process has ended. */
    void signal(int number) const;

    /** Waits for the process to end; returns its exit status, or -1 if a signal ended it. */
    int wait();

    bool is_running();

    pid_t id() const;

private:
    void reap(int status);

    pid_t pid = -1;
    int exit_status = 0;
    std::string first_line;
};

/** User and system CPU time of a process in seconds. */
double cpu_seconds(pid_t pid);

/** Resident memory of a process in bytes. */
std::uint64_t resident_bytes(pid_t pid);

/** Peak of the resident memory of a process in bytes; 0 if it has ended. */
std::uint64_t peak_resident_bytes(pid_t pid);

/** Number of open descriptors of a process; 0 if it has ended. */
std::size_t open_descriptors(pid_t pid);

} // namespace sardinepoint::rig
