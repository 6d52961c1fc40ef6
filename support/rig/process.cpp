#include "rig/process.hpp"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <utility>

extern char** environ; // NOLINT

namespace sardinepoint::rig
{

namespace
{

std::string read_line(int fd)
{
    std::string line;
    char c = 0;
    while (::read(fd, &c, 1) == 1 && c != '\n')
    {
        line += c;
    }
    return line;
}

pid_t spawn(const std::string& path, const std::vector<std::string>& arguments, int output,
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
    posix_spawn_file_actions_adddup2(&actions, output, STDOUT_FILENO);
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, log_file.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    pid_t pid = -1;
    const int failure = ::posix_spawn(&pid, path.c_str(), &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (failure != 0)
    {
        throw std::runtime_error("can't start " + path + ": " + std::strerror(failure));
    }
    return pid;
}

} // namespace

process::process(const std::string& program, const std::vector<std::string>& arguments,
                 const std::string& log_file)
{
    std::array<int, 2> ends{};
    if (::pipe2(ends.data(), O_CLOEXEC) != 0)
    {
        throw std::runtime_error("can't make a pipe");
    }
    this->pid = spawn(program, arguments, ends[1], log_file);
    ::close(ends[1]);
    this->first_line = read_line(ends[0]);
    ::close(ends[0]);
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
    const std::string wanted = std::string(name) + "=";
    std::istringstream words(this->first_line);
    std::string word;
    while (words >> word)
    {
        if (word.compare(0, wanted.size(), wanted) == 0)
        {
            return static_cast<std::uint16_t>(std::stoi(word.substr(wanted.size())));
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

bool process::running()
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
    // The command name may contain spaces, so fields are counted from its closing bracket.
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

} // namespace sardinepoint::rig
