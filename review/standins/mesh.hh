// Small stand-ins for a review script: the platform's store, servers, clients and the operator, all
// in one process with a thread for each connection. The daemons are processes of their own. The
// stand-ins follow PROTOCOL.md; everything that is sent, answered or run goes to record.txt.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace mesh
{

inline std::int64_t steady_ms()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(steady_clock::now().time_since_epoch()).count();
}

inline std::int64_t wall_ms()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

inline void pause_ms(std::int64_t ms)
{
    if (ms > 0)
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(ms));
    }
}

inline void pause_until(std::int64_t at)
{
    pause_ms(at - steady_ms());
}

/** Lines of record.txt, with the time since the start in milliseconds. */
class record
{
public:
    explicit record(const std::string& file) : out(file, std::ios::trunc), start(steady_ms()) {}

    void line(const std::string& text)
    {
        const std::lock_guard lock(this->mutex);
        this->out << steady_ms() - this->start << " ms  " << text << std::endl;
    }

    std::int64_t since_start(std::int64_t at) const
    {
        return at - this->start;
    }

private:
    std::mutex mutex;
    std::ofstream out;
    std::int64_t start;
};

inline record* the_record = nullptr;

/** Exit status of the script; set by finish() and cannot_run(). */
inline int exit_status = 2;

inline void note(const std::string& text)
{
    the_record->line(text);
}

// --- Sockets and HTTP/1.1 -------------------------------------------------------------------

struct address
{
    std::string ip;
    std::uint16_t port = 0;

    std::string text() const
    {
        return this->ip + ":" + std::to_string(this->port);
    }
};

inline sockaddr_in to_sockaddr(const address& to)
{
    sockaddr_in parsed{};
    parsed.sin_family = AF_INET;
    parsed.sin_port = htons(to.port);
    inet_pton(AF_INET, to.ip.c_str(), &parsed.sin_addr);
    return parsed;
}

inline int random_number(int low, int high)
{
    static std::mt19937 engine{std::random_device{}()};
    return std::uniform_int_distribution<int>(low, high)(engine);
}

/** The loopback addresses of a run begin with this, so that runs side by side share no address. */
inline const std::string& network()
{
    static const std::string prefix = "127." + std::to_string(random_number(10, 250)) + "." +
                                      std::to_string(random_number(1, 250)) + ".";
    return prefix;
}

/** A port that is free at each of the addresses, below those that the system gives to clients. */
inline std::uint16_t free_port(const std::vector<std::string>& ips)
{
    static std::set<std::uint16_t> taken;
    for (int attempt = 0; attempt < 200; ++attempt)
    {
        std::vector<int> fds;
        const auto port = static_cast<std::uint16_t>(random_number(20000, 32000));
        bool ok = true;
        for (const std::string& ip : ips)
        {
            const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            fds.push_back(fd);
            const sockaddr_in wanted = to_sockaddr({ip, port});
            ok = ok && ::bind(fd, reinterpret_cast<const sockaddr*>(&wanted), sizeof(wanted)) == 0;
        }
        for (const int fd : fds)
        {
            ::close(fd);
        }
        if (ok && taken.insert(port).second)
        {
            return port;
        }
    }
    std::fprintf(stderr, "no free port\n");
    std::exit(2);
}

inline bool send_all(int fd, const std::string& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size())
    {
        const ssize_t result = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (result <= 0)
        {
            return false;
        }
        sent += static_cast<std::size_t>(result);
    }
    return true;
}

struct message
{
    std::string first_line;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    std::string header(const std::string& name) const
    {
        for (const auto& [key, value] : this->headers)
        {
            if (strcasecmp(key.c_str(), name.c_str()) == 0)
            {
                return value;
            }
        }
        return "";
    }

    std::string method() const
    {
        return this->first_line.substr(0, this->first_line.find(' '));
    }

    std::string target() const
    {
        const auto from = this->first_line.find(' ') + 1;
        return this->first_line.substr(from, this->first_line.find(' ', from) - from);
    }

    std::string path() const
    {
        const std::string target = this->target();
        return target.substr(0, target.find('?'));
    }

    std::string query(const std::string& name) const
    {
        const std::string target = this->target();
        std::size_t at = target.find('?');
        while (at != std::string::npos)
        {
            const std::size_t end = target.find('&', at + 1);
            const std::string pair = target.substr(
                at + 1, end == std::string::npos ? std::string::npos : end - at - 1);
            if (pair.rfind(name + "=", 0) == 0)
            {
                return pair.substr(name.size() + 1);
            }
            at = end;
        }
        return "";
    }

    int status() const
    {
        return this->first_line.size() > 11 ? std::atoi(this->first_line.c_str() + 9) : 0;
    }
};

enum class read_end
{
    complete,
    closed,
    timed_out,
};

/** Reads messages with a Content-Length (or none) from a connection. */
class reader
{
public:
    explicit reader(int fd) : fd(fd) {}

    read_end next(message& into, std::int64_t deadline)
    {
        into = {};
        std::size_t head = std::string::npos;
        while ((head = this->buffer.find("\r\n\r\n")) == std::string::npos)
        {
            const read_end state = this->more(deadline);
            if (state != read_end::complete)
            {
                return state;
            }
        }
        std::istringstream lines(this->buffer.substr(0, head));
        std::string line;
        std::size_t length = 0;
        while (std::getline(lines, line))
        {
            if (!line.empty() && line.back() == '\r')
            {
                line.pop_back();
            }
            if (into.first_line.empty())
            {
                into.first_line = line;
                continue;
            }
            const std::size_t colon = line.find(':');
            if (colon == std::string::npos)
            {
                continue;
            }
            const std::size_t value = line.find_first_not_of(' ', colon + 1);
            into.headers.emplace_back(line.substr(0, colon),
                                      value == std::string::npos ? "" : line.substr(value));
        }
        length = static_cast<std::size_t>(std::atoll(into.header("Content-Length").c_str()));
        this->buffer.erase(0, head + 4);
        while (this->buffer.size() < length)
        {
            const read_end state = this->more(deadline);
            if (state != read_end::complete)
            {
                return state;
            }
        }
        into.body = this->buffer.substr(0, length);
        this->buffer.erase(0, length);
        return read_end::complete;
    }

private:
    read_end more(std::int64_t deadline)
    {
        pollfd waiting{.fd = this->fd, .events = POLLIN, .revents = 0};
        const std::int64_t left = deadline - steady_ms();
        if (left <= 0 || ::poll(&waiting, 1, static_cast<int>(left)) <= 0)
        {
            return read_end::timed_out;
        }
        char bytes[65536];
        const ssize_t result = ::recv(this->fd, bytes, sizeof(bytes), 0);
        if (result <= 0)
        {
            return read_end::closed;
        }
        this->buffer.append(bytes, static_cast<std::size_t>(result));
        return read_end::complete;
    }

    int fd;
    std::string buffer;
};

constexpr std::int64_t forever = INT64_MAX / 2;

/** Listens on an address and gives each connection a thread. */
class listener
{
public:
    listener(const address& at, std::function<void(int)> serve) : serve(std::move(serve))
    {
        this->fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(this->fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        const sockaddr_in wanted = to_sockaddr(at);
        if (::bind(this->fd, reinterpret_cast<const sockaddr*>(&wanted), sizeof(wanted)) != 0 ||
            ::listen(this->fd, 512) != 0)
        {
            std::fprintf(stderr, "can't listen on %s\n", at.text().c_str());
            std::exit(2);
        }
        std::thread(
            [this]
            {
                while (true)
                {
                    const int connection = ::accept4(this->fd, nullptr, nullptr, SOCK_CLOEXEC);
                    if (connection < 0)
                    {
                        return;
                    }
                    const int on = 1;
                    ::setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
                    std::thread(
                        [this, connection]
                        {
                            this->serve(connection);
                            ::close(connection);
                        })
                        .detach();
                }
            })
            .detach();
    }

    /** New connections are refused from now on. */
    void close()
    {
        ::shutdown(this->fd, SHUT_RDWR);
        ::close(this->fd);
    }

private:
    std::function<void(int)> serve;
    int fd = -1;
};

inline int connect_to(const address& to, std::int64_t timeout)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in target = to_sockaddr(to);
    int failed = ::connect(fd, reinterpret_cast<const sockaddr*>(&target), sizeof(target));
    if (failed != 0 && errno == EINPROGRESS)
    {
        pollfd waiting{.fd = fd, .events = POLLOUT, .revents = 0};
        int problem = 1;
        socklen_t size = sizeof(problem);
        if (::poll(&waiting, 1, static_cast<int>(timeout)) > 0)
        {
            ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &problem, &size);
        }
        failed = problem;
    }
    if (failed != 0)
    {
        ::close(fd);
        return -1;
    }
    ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return fd;
}

inline std::string response_text(int status, const std::string& headers, const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/** Sends one request on a new connection. The status is 0 if there is no whole answer. */
struct answer
{
    int status = 0;
    bool refused = false;
    read_end end = read_end::closed;
    message text;
};

inline answer exchange(const address& to, const std::string& request, std::int64_t timeout)
{
    answer result;
    const std::int64_t deadline = steady_ms() + timeout;
    const int fd = connect_to(to, std::min<std::int64_t>(timeout, 1000));
    if (fd < 0)
    {
        result.refused = true;
        return result;
    }
    if (send_all(fd, request))
    {
        reader input(fd);
        result.end = input.next(result.text, deadline);
        result.status = result.end == read_end::complete ? result.text.status() : 0;
    }
    ::close(fd);
    return result;
}

// --- The platform's store --------------------------------------------------------------------

inline std::string base64(const std::string& bytes)
{
    static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3)
    {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j)
        {
            group = (group << 8U) |
                    (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        }
        for (std::size_t j = 0; j < 4; ++j)
        {
            text += i + j <= bytes.size() ? digits[(group >> (18 - 6 * j)) & 63U] : '=';
        }
    }
    return text;
}

inline std::string big_endian(std::uint64_t value, int bytes)
{
    std::string text;
    for (int i = bytes - 1; i >= 0; --i)
    {
        text.push_back(static_cast<char>((value >> (8 * i)) & 0xffU));
    }
    return text;
}

inline std::string json_text(const std::string& text)
{
    return "\"" + text + "\"";
}

/** Keyed topics of the log, with one partition each. Answers take 4 ms. */
class store
{
public:
    explicit store(const address& at) : here(at), accepted(at, [this](int fd) { this->serve(fd); })
    {
    }

    address at() const
    {
        return this->here;
    }

    /** The operator writes a record; returns the time of the acknowledgement. */
    std::int64_t write(const std::string& topic, const std::string& key, const std::string& value)
    {
        const std::lock_guard lock(this->mutex);
        this->topics[topic].emplace_back(key, value);
        this->changed.notify_all();
        return steady_ms();
    }

    std::string newest(const std::string& topic, const std::string& key)
    {
        const std::lock_guard lock(this->mutex);
        std::string value;
        for (const auto& [other, text] : this->topics[topic])
        {
            value = other == key ? text : value;
        }
        return value;
    }

    /** Called with the topic, key and value of each record that a daemon appends. */
    std::function<void(const std::string&, const std::string&, const std::string&)> on_append;

private:
    using records = std::vector<std::pair<std::string, std::string>>;

    void serve(int fd)
    {
        reader input(fd);
        message request;
        while (input.next(request, forever) == read_end::complete)
        {
            pause_ms(4);
            if (!send_all(fd, this->execute(request)))
            {
                return;
            }
        }
    }

    std::string execute(const message& request)
    {
        const std::string path = request.path();
        const std::string topic = request.query("Topic");
        if (path == "/api/log-append")
        {
            return this->append(topic, request);
        }
        if (path == "/api/log-read")
        {
            return this->read(topic, std::strtoull(request.query("From").c_str(), nullptr, 10),
                              std::atoll(request.query("WaitMs").c_str()));
        }
        if (path == "/api/log-newest")
        {
            return this->read_newest(topic);
        }
        return response_text(404, "", "");
    }

    std::string append(const std::string& topic, const message& request)
    {
        records added;
        std::string offsets;
        {
            const std::lock_guard lock(this->mutex);
            if (topic == "keyed.op" || topic == "keyed.servers")
            {
                return response_text(403, "", "");
            }
            records& known = this->topics[topic];
            const std::string condition = request.query("At");
            if (!condition.empty() && condition != std::to_string(known.size()))
            {
                return response_text(412, "Content-Type: application/json\r\n",
                                     "{\"EndOffset\":" + std::to_string(known.size()) + "}");
            }
            offsets = "{\"Offset\":" + std::to_string(known.size());
            std::string body = request.body;
            while (body.size() > 4)
            {
                std::size_t length = 0;
                for (int i = 0; i < 4; ++i)
                {
                    length = (length << 8U) | static_cast<unsigned char>(body[static_cast<std::size_t>(i)]);
                }
                const std::string whole = body.substr(4, length);
                body.erase(0, 4 + length);
                const std::size_t key = static_cast<unsigned char>(whole.at(0));
                added.emplace_back(whole.substr(1, key), whole.substr(1 + key));
                known.push_back(added.back());
            }
            offsets += ",\"EndOffset\":" + std::to_string(known.size()) + "}";
            this->changed.notify_all();
        }
        for (const auto& [key, value] : added)
        {
            if (this->on_append)
            {
                this->on_append(topic, key, value);
            }
        }
        return response_text(200, "Content-Type: application/json\r\n", offsets);
    }

    std::string read(const std::string& topic, std::uint64_t from, std::int64_t wait)
    {
        std::unique_lock lock(this->mutex);
        this->changed.wait_for(lock, std::chrono::milliseconds(wait),
                               [&] { return this->topics[topic].size() > from; });
        const records& known = this->topics[topic];
        std::string body = big_endian(known.size(), 8) + big_endian(0, 8);
        for (std::uint64_t i = from; i < known.size(); ++i)
        {
            const auto& [key, value] = known[i];
            body += big_endian(1 + key.size() + value.size(), 4) + big_endian(key.size(), 1) + key +
                    value;
        }
        return response_text(200, "Content-Type: application/octet-stream\r\n", body);
    }

    std::string read_newest(const std::string& topic)
    {
        const std::lock_guard lock(this->mutex);
        const records& known = this->topics[topic];
        std::map<std::string, std::size_t> last;
        for (std::size_t i = 0; i < known.size(); ++i)
        {
            last[known[i].first] = i;
        }
        std::string items;
        for (const auto& [key, i] : last)
        {
            items += (items.empty() ? "" : ",") + std::string("{\"Key\":") + json_text(key) +
                     ",\"Value\":" + json_text(base64(known[i].second)) +
                     ",\"Offset\":" + std::to_string(i) + "}";
        }
        return response_text(200, "Content-Type: application/json\r\n",
                             "{\"items\":[" + items + "],\"HasMore\":false,\"EndOffset\":" +
                                 std::to_string(known.size()) + "}");
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, records> topics;
    address here;
    listener accepted;
};

// --- A relay whose open connections can go silent -------------------------------------------

class relay
{
public:
    relay(const address& at, const address& to)
        : here(at), to(to), accepted(at, [this](int fd) { this->serve(fd); })
    {
    }

    address at() const
    {
        return this->here;
    }

    /** The connections that are open now carry nothing any more; new ones work. */
    void silence_open_connections()
    {
        ++this->generation;
    }

private:
    void serve(int fd)
    {
        const int born = this->generation;
        const int other = connect_to(this->to, 1000);
        if (other < 0)
        {
            return;
        }
        pollfd ends[2] = {{.fd = fd, .events = POLLIN, .revents = 0},
                          {.fd = other, .events = POLLIN, .revents = 0}};
        std::string bytes(65536, 0);
        while (true)
        {
            ::poll(ends, 2, 20);
            if (born != this->generation)
            {
                // Keeps both ends open and reads nothing more, until the process ends.
                pause_ms(600'000);
            }
            for (int i = 0; i < 2; ++i)
            {
                if ((ends[i].revents & (POLLIN | POLLHUP | POLLERR)) == 0)
                {
                    continue;
                }
                const ssize_t count = ::recv(ends[i].fd, bytes.data(), bytes.size(), 0);
                if (count <= 0 || !send_all(ends[1 - i].fd,
                                            bytes.substr(0, static_cast<std::size_t>(count))))
                {
                    ::close(other);
                    return;
                }
            }
        }
    }

    std::atomic<int> generation{0};
    address here;
    address to;
    listener accepted;
};

// --- Servers ---------------------------------------------------------------------------------

struct run
{
    std::string id;
    std::string instance;
    std::string service;
    std::string path;
    std::int64_t at = 0;
};

/** An application server: answers requests and tells its daemon of itself. */
class server
{
public:
    std::string service;
    std::string instance;
    std::string version = "v1";
    std::string zone;
    int slots = 8;
    std::int64_t born = wall_ms();
    std::int64_t work_ms = 20;
    address app;
    address daemon_control;

    /** Starts to serve and to announce itself each HeartbeatInterval. */
    void start()
    {
        this->accepted = std::make_unique<listener>(this->app, [this](int fd) { this->serve(fd); });
        std::thread(
            [this]
            {
                while (this->announces)
                {
                    if (this->report_delay_ms > 0)
                    {
                        this->announce_late();
                    }
                    else
                    {
                        this->announce();
                    }
                    pause_ms(1500);
                }
            })
            .detach();
    }

    std::string announcement(std::uint64_t sequence, const std::string& state) const
    {
        return "{\"Service\":" + json_text(this->service) + ",\"Addr\":" +
               json_text(this->app.text()) + ",\"Zone\":" + json_text(this->zone) +
               ",\"Version\":" + json_text(this->version) +
               ",\"Slots\":" + std::to_string(this->slots) + ",\"State\":" + json_text(state) +
               ",\"ColdLeft\":\"0ms\",\"Seq\":" + std::to_string(sequence) +
               ",\"born\":" + std::to_string(this->born) + "}";
    }

    /** Sends a body under an id; returns the status, 0 without an answer within a second. */
    int send(const std::string& call, const std::string& id, const std::string& body) const
    {
        return exchange(this->daemon_control,
                        "POST /api/Instances." + call + "/" + id + " HTTP/1.1\r\nHost: " +
                            this->daemon_control.text() +
                            "\r\nContent-Type: application/json\r\nContent-Length: " +
                            std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n" + body,
                        1000)
            .status;
    }

    int announce()
    {
        const std::lock_guard lock(this->announcing);
        return this->send("Heartbeat", this->instance,
                          this->announcement(++this->sequence, this->state));
    }

    /** The report is written now and arrives report_delay_ms later. */
    void announce_late()
    {
        const std::lock_guard lock(this->announcing);
        std::thread(
            [this, body = this->announcement(++this->sequence, this->state),
             delay = this->report_delay_ms.load()]
            {
                pause_ms(delay);
                note("a report of server " + this->instance + " arrives " + std::to_string(delay) +
                     " ms late");
                this->send("Heartbeat", this->instance, body);
            })
            .detach();
    }

    /** Tells the daemon that it is draining; returns the status. */
    int drain()
    {
        {
            const std::lock_guard lock(this->announcing);
            this->state = "draining";
        }
        return this->announce();
    }

    int deregister()
    {
        this->announces = false;
        const std::lock_guard lock(this->announcing);
        return this->send("Deregister", this->instance,
                          "{\"born\":" + std::to_string(this->born) + "}");
    }

    std::vector<run> runs()
    {
        const std::lock_guard lock(this->mutex);
        return this->seen;
    }

    std::uint64_t last_sequence()
    {
        const std::lock_guard lock(this->announcing);
        return this->sequence;
    }

    std::atomic<int> working{0};
    std::atomic<std::int64_t> report_delay_ms{0};

private:
    void serve(int fd)
    {
        reader input(fd);
        message request;
        while (input.next(request, forever) == read_end::complete)
        {
            const std::string id = request.header("X-Request-Id");
            const std::string expected = request.header("X-Expect-Instance");
            const std::string echo = "X-Request-Id: " + id + "\r\n";
            if (!expected.empty() && expected != this->instance)
            {
                note("server " + this->instance + " answers 421 to " + id);
                send_all(fd, response_text(421, echo + "X-Instance-Id: " + this->instance + "\r\n",
                                           ""));
                continue;
            }
            note("server " + this->instance + " (" + this->service + " " + this->version +
                 ") runs " + id + " " + request.target());
            {
                const std::lock_guard lock(this->mutex);
                this->seen.push_back({.id = id,
                                      .instance = this->instance,
                                      .service = this->service,
                                      .path = request.target(),
                                      .at = steady_ms()});
            }
            ++this->working;
            pause_ms(this->work_ms);
            --this->working;
            if (!send_all(fd, response_text(200,
                                            echo + "X-Response-Stamp: stamp." + this->instance +
                                                "\r\n",
                                            "answer of " + this->instance + " to " + id)))
            {
                return;
            }
        }
    }

    std::unique_ptr<listener> accepted;
    std::atomic<bool> announces{true};
    std::mutex announcing;
    std::string state = "ready";
    std::uint64_t sequence = 0;
    std::mutex mutex;
    std::vector<run> seen;
};

// --- Machines and daemons --------------------------------------------------------------------

struct bounds
{
    std::int64_t stable_window = 3000;
    std::int64_t drain = 2000;
    std::int64_t config_apply = 2000;
};

/** A machine with its daemon, which is a process, and its server. */
class machine
{
public:
    std::string name;
    std::string ip;
    std::string zone;
    address outbound;
    address ready;
    address control;
    std::uint16_t first_port = 0;
    std::uint16_t second_port = 0;
    address store_at;
    server app;
    std::string folder;
    /** Steady time of the process's last start. */
    std::int64_t started = 0;

    /** Renders deploy/node.ini.tmpl with the fields of this machine. */
    void write_settings() const
    {
        std::ifstream file("deploy/node.ini.tmpl");
        std::stringstream all;
        all << file.rdbuf();
        std::string text = all.str();
        const std::map<std::string, std::string> fields{
            {"Node", this->name},
            {"Region", "ee-north"},
            {"Ip", this->ip},
            {"Zone", this->zone},
            {"PortRange.0", std::to_string(this->first_port)},
            {"PortRange.1", std::to_string(this->second_port)},
            {"Bounds.Grace", "6s"},
            {"Limits.MemoryMb", "260"},
            {"Platform.Addr", this->store_at.text()},
            {"Seeds", ""},
            {"Listen.Outbound", this->outbound.text()},
            {"Listen.Ready", this->ready.text()},
            {"Listen.Control", this->control.text()},
            {"AppAddr", this->app.app.text()},
            {"Service", this->app.service},
            {"HeartbeatInterval", "1500ms"},
            {"Bounds.RetryBudget", "0.2"},
            {"Bounds.BudgetWindow", "10s"},
            {"Bounds.BudgetExtra", "64"}};
        for (const auto& [key, value] : fields)
        {
            const std::string mark = "{{" + key + "}}";
            for (std::size_t at = text.find(mark); at != std::string::npos; at = text.find(mark))
            {
                text.replace(at, mark.size(), value);
            }
        }
        if (text.find("{{") != std::string::npos)
        {
            std::fprintf(stderr, "a field of the template is not known here\n");
            std::exit(2);
        }
        std::ofstream(this->settings()) << text;
    }

    std::string settings() const
    {
        return this->folder + "/" + this->name + ".conf";
    }

    std::string log_file() const
    {
        return this->folder + "/" + this->name + ".log";
    }

    /** Starts the process with the deploy file's command; only the settings' path differs. */
    void start()
    {
        this->started = steady_ms();
        const pid_t child = ::fork();
        if (child == 0)
        {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int log =
                ::open(this->log_file().c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(log, 1);
            ::dup2(log, 2);
            const std::string program = "target/sardinepointd";
            const std::string option = "--config=" + this->settings();
            const char* arguments[] = {program.c_str(), option.c_str(), nullptr};
            const std::string path = std::string("PATH=") + "/usr/bin:/bin";
            const char* environment[] = {path.c_str(), nullptr};
            ::execve(program.c_str(), const_cast<char**>(arguments),
                     const_cast<char**>(environment));
            ::_exit(127);
        }
        this->pid = child;
        note("process of " + this->name + " started");
    }

    void signal(int number) const
    {
        if (this->pid > 0)
        {
            ::kill(this->pid, number);
        }
    }

    /** SIGKILL, and waits for the end. */
    void kill()
    {
        if (this->pid > 0)
        {
            ::kill(this->pid, SIGKILL);
            int status = 0;
            ::waitpid(this->pid, &status, 0);
            this->pid = -1;
            note("process of " + this->name + " killed");
        }
    }

    /** Whether the process has ended by itself; its status is noted once. */
    bool has_ended()
    {
        int status = 0;
        if (this->pid > 0 && ::waitpid(this->pid, &status, WNOHANG) == this->pid)
        {
            this->pid = -1;
            note("process of " + this->name + " has ended by itself, " +
                 (WIFEXITED(status) ? "exit status " + std::to_string(WEXITSTATUS(status))
                                    : "signal " + std::to_string(WTERMSIG(status))));
            return true;
        }
        return false;
    }

    bool is_ready() const
    {
        return exchange(this->ready,
                        "GET /api/readyz HTTP/1.1\r\nHost: " + this->ready.text() +
                            "\r\nConnection: close\r\n\r\n",
                        800)
                   .status == 200;
    }

    pid_t pid = -1;
};

/** A deployment: machines in one zone or several, a store, and the operator's configuration. */
class deployment
{
public:
    std::string folder;
    std::unique_ptr<store> platform;
    std::vector<std::unique_ptr<machine>> machines;

    explicit deployment(const std::string& name)
    {
        std::string pattern =
            (std::filesystem::temp_directory_path() / ("review-" + name + "-XXXXXX")).string();
        if (::mkdtemp(pattern.data()) == nullptr)
        {
            std::exit(2);
        }
        this->folder = pattern;
        const std::string ip = network() + "1";
        this->platform = std::make_unique<store>(address{ip, free_port({ip})});
    }

    /** Ends all processes and then this one: the threads of the stand-ins may still run. */
    ~deployment()
    {
        for (const auto& each : this->machines)
        {
            each->kill();
        }
        if (std::getenv("KEEP") == nullptr)
        {
            std::error_code ignored;
            std::filesystem::remove_all(this->folder, ignored);
        }
        std::fflush(nullptr);
        ::_exit(exit_status);
    }

    /** Ports are the same on all machines, as on the platform. */
    void add(const std::string& service, const std::string& zone)
    {
        if (this->ports.empty())
        {
            std::vector<std::string> ips;
            for (int i = 1; i <= 8; ++i)
            {
                ips.push_back(network() + std::to_string(10 + i));
            }
            for (int i = 0; i < 6; ++i)
            {
                this->ports.push_back(free_port(ips));
            }
        }
        auto created = std::make_unique<machine>();
        const std::size_t number = this->machines.size() + 1;
        created->name = "vm-" + std::to_string(number);
        created->ip = network() + std::to_string(10 + number);
        created->zone = zone;
        created->outbound = {created->ip, this->ports[0]};
        created->ready = {created->ip, this->ports[1]};
        created->control = {created->ip, this->ports[2]};
        created->first_port = this->ports[3];
        created->second_port = this->ports[4];
        created->store_at = this->platform->at();
        created->folder = this->folder;
        created->app.service = service;
        created->app.instance = "i-" + std::to_string(number) + "a";
        created->app.zone = zone;
        created->app.app = {created->ip, this->ports[5]};
        created->app.daemon_control = created->control;
        this->machines.push_back(std::move(created));
    }

    void start_all()
    {
        for (const auto& each : this->machines)
        {
            each->write_settings();
            each->start();
            each->app.start();
        }
    }

    bool wait_ready(std::int64_t limit)
    {
        const std::int64_t end = steady_ms() + limit;
        for (const auto& each : this->machines)
        {
            while (!each->is_ready())
            {
                if (steady_ms() > end)
                {
                    return false;
                }
                pause_ms(100);
            }
        }
        return true;
    }

private:
    std::vector<std::uint16_t> ports;
};

// --- Configuration and clients ---------------------------------------------------------------

struct route
{
    std::string name;
    std::string prefix;
    std::string kind;
    std::string service;
    std::int64_t timeout = 4000;
};

inline std::string config_text(int version, const std::vector<std::string>& services,
                               const std::vector<route>& routes)
{
    char number[16];
    std::snprintf(number, sizeof(number), "%08x", version);
    std::string listed;
    for (const std::string& each : services)
    {
        listed += (listed.empty() ? "" : ",") + std::string("{\"Name\":") + json_text(each) +
                  ",\"HealthPath\":\"/healthz\",\"MaxConns\":130}";
    }
    std::string paths;
    for (const route& each : routes)
    {
        paths += (paths.empty() ? "" : ",") + std::string("{\"Name\":") + json_text(each.name) +
                 ",\"PathPrefix\":" + json_text(each.prefix) +
                 ",\"Kind\":" + json_text(each.kind) + ",\"Service\":" + json_text(each.service) +
                 ",\"Timeout\":\"" + std::to_string(each.timeout) +
                 "ms\",\"Goal\":\"400ms\",\"Priority\":1,\"MaxAttempts\":2}";
    }
    return std::string("{\"Version\":") + json_text(number) + ",\"Services\":[" + listed +
           "],\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":1048576,\"HeaderTimeout\":"
           "\"3000ms\",\"IdleTimeout\":\"15000ms\"},\"Hosts\":[{\"Host\":\"roster.example\","
           "\"Paths\":[" +
           paths + "]}]}";
}

inline std::string request_text(const std::string& method, const std::string& target,
                                const std::string& id, std::int64_t deadline,
                                const std::string& body = "", const std::string& more = "")
{
    return method + " " + target + " HTTP/1.1\r\nHost: roster.example\r\nX-Request-Id: " + id +
           "\r\nX-Deadline-Ms: " + std::to_string(deadline) + "\r\n" + more +
           (body.empty() && method == "GET"
                ? ""
                : "Content-Length: " + std::to_string(body.size()) + "\r\n") +
           "\r\n" + body;
}

/** One attempt of a client, on a connection of its own. */
inline answer call(const machine& at, const std::string& method, const std::string& target,
                   const std::string& id, std::int64_t deadline)
{
    note("client sends " + id + " " + method + " " + target + " to " + at.name);
    const answer result =
        exchange(at.outbound, request_text(method, target, id, deadline), deadline + 1500);
    note("client gets " +
         (result.status > 0
              ? std::to_string(result.status) + ", stamp '" +
                    result.text.header("X-Response-Stamp") + "'"
              : std::string(result.refused ? "no connection"
                                           : (result.end == read_end::closed ? "a closed connection"
                                                                             : "nothing"))) +
         " for " + id);
    return result;
}

inline bool with_trouble()
{
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

inline int finish(bool broken, const std::string& why)
{
    note(std::string(broken ? "BROKEN: " : "held: ") + why);
    std::printf("%s%s\n", broken ? "BROKEN: " : "held: ", why.c_str());
    exit_status = broken ? 1 : 0;
    return exit_status;
}

inline int cannot_run(const std::string& why)
{
    note("can't run: " + why);
    std::printf("can't run: %s\n", why.c_str());
    exit_status = 2;
    return exit_status;
}

} // namespace mesh
