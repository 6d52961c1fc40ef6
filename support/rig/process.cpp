#include "rig/process.hpp"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <utility>

extern char** environ; // NOLINT

namespace sardinepoint::rig
{

namespace
{

off_t size_of(const std::string& path)
{
    struct stat status
    {
    };
    return ::stat(path.c_str(), &status) == 0 ? status.st_size : 0;
}

/** Returns the first line written after this offset; empty if the process ends without one. */
std::string read_first_line(const std::string& path, off_t offset, pid_t pid)
{
    constexpr useconds_t pause_us = 1000;
    bool ended = false;
    while (true)
    {
        std::ifstream file(path);
        file.seekg(offset);
        std::string line;
        if (std::getline(file, line) && !file.eof())
        {
            return line;
        }
        if (ended)
        {
            return {};
        }
        siginfo_t info{};
        ended = ::waitid(P_PID, static_cast<id_t>(pid), &info, WEXITED | WNOHANG | WNOWAIT) != 0 ||
                info.si_pid == pid;
        ::usleep(pause_us);
    }
}

pid_t spawn(const std::string& path, const std::vector<std::string>& arguments,
            const std::string& log_file)
{
    std::vector<char*> argv{const_cast<char*>(path.c_str())}; // NOLINT
    for (const std::string& argument : arguments)
    {
        argv.push_back(const_cast<char*>(argument.c_str())); // NOLINT
    }
    argv.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_file.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    pid_t pid = -1;
    const int failure = ::posix_spawn(&pid, path.c_str(), &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (failure != 0)
    {
        throw std::runtime_error("cannot start " + path + ": " + std::strerror(failure));
    }
    return pid;
}

} // namespace

process::process(const std::string& program, const std::vector<std::string>& arguments,
                 const std::string& log_file)
{
    const off_t offset = size_of(log_file);
    this->pid = spawn(program, arguments, log_file);
    this->first_line = read_first_line(log_file, offset, this->pid);
    if (this->first_line.empty())
    {
        throw std::runtime_error(program + " did not start; see " + log_file);
    }
}

process::~process()
{
    this->signal(SIGCONT);
    this->signal(SIGKILL);
    this->wait();
}

process::process(process&& other) noexcept
    : pid(std::exchange(other.pid, -1)), exit_status(other.exit_status),
      first_line(std::move(other.first_line))
{
}

process& process::operator=(process&& other) noexcept
{
    std::swap(this->pid, other.pid);
    std::swap(this->exit_status, other.exit_status);
    std::swap(this->first_line, other.first_line);
    return *this;
}

std::uint16_t process::port(std::string_view name) const
{
    const std::string prefix = std::string(name) + "=";
    std::istringstream words(this->first_line);
    std::string word;
    while (words >> word)
    {
        if (word.compare(0, prefix.size(), prefix) == 0)
        {
            return static_cast<std::uint16_t>(std::stoi(word.substr(prefix.size())));
        }
    }
    throw std::runtime_error("no port '" + std::string(name) + "' in: " + this->first_line);
}

void process::signal(int number) const
{
    if (this->pid > 0)
    {
        ::kill(this->pid, number);
    }
}

void process::reap(int status)
{
    this->exit_status = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    this->pid = -1;
}

int process::wait()
{
    int status = 0;
    if (this->pid > 0 && ::waitpid(this->pid, &status, 0) == this->pid)
    {
        this->reap(status);
    }
    return this->exit_status;
}

bool process::is_running()
{
    int status = 0;
    if (this->pid > 0 && ::waitpid(this->pid, &status, WNOHANG) == this->pid)
    {
        this->reap(status);
    }
    return this->pid > 0;
}

pid_t process::id() const
{
    return this->pid;
}

double cpu_seconds(pid_t pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
    std::string text((std::istreambuf_iterator<char>(file)), {});
    // The command name may contain spaces, so fields are counted from its closing parenthesis.
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    constexpr int fields_before_user_time = 11;
    std::string skipped;
    for (int i = 0; i < fields_before_user_time; ++i)
    {
        fields >> skipped;
    }
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

std::uint64_t resident_bytes(pid_t pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/statm");
    std::uint64_t total = 0;
    std::uint64_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<std::uint64_t>(::sysconf(_SC_PAGESIZE));
}

std::uint64_t peak_resident_bytes(pid_t pid)
{
    constexpr std::uint64_t bytes_per_kb = 1024;
    std::ifstream file("/proc/" + std::to_string(pid) + "/status");
    std::string word;
    std::uint64_t peak_kb = 0;
    while (file >> word)
    {
        if (word == "VmHWM:")
        {
            file >> peak_kb;
            break;
        }
    }
    return peak_kb * bytes_per_kb;
}

std::size_t open_descriptors(pid_t pid)
{
    std::error_code problem;
    std::size_t count = 0;
    for (std::filesystem::directory_iterator entry("/proc/" + std::to_string(pid) + "/fd", problem);
         !problem && entry != std::filesystem::directory_iterator(); entry.increment(problem))
    {
        ++count;
    }
    return count;
}

} // namespace sardinepoint::rig
