// Stand-ins for the cases of the second review: the platform's store, application servers, clients,
// and machines that run the project's daemon as a separate process with the command and the
// template of the deploy file. They follow the users' pages. Only POSIX and the standard library
// are used.
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

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
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
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace rig
{

using ms = std::int64_t;

inline ms now()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

inline ms unix_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

inline void pause_ms(ms time)
{
    if (time > 0)
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(time));
    }
}

/** Exit statuses of a case. */
constexpr int held = 0;
constexpr int broken = 1;
constexpr int cannot_run = 2;

/** Writes record.txt: one line per event with the time in ms since the start of the case. */
class record
{
public:
    explicit record(const std::string& file) : out(file), start(now()) {}

    void line(const char* format, ...) __attribute__((format(printf, 2, 3)))
    {
        char text[1024];
        va_list arguments;
        va_start(arguments, format);
        std::vsnprintf(text, sizeof(text), format, arguments);
        va_end(arguments);
        const std::lock_guard lock(this->mutex);
        this->out << (now() - this->start) << " " << text << "\n";
    }

    /** A line of the record that is printed too. */
    void say(const std::string& text)
    {
        this->line("%s", text.c_str());
        std::printf("%s\n", text.c_str());
        std::fflush(stdout);
    }

    void flush()
    {
        const std::lock_guard lock(this->mutex);
        this->out.flush();
    }

private:
    std::ofstream out;
    ms start;
    std::mutex mutex;
};

struct address
{
    std::string ip;
    int port = 0;

    std::string text() const
    {
        return this->ip + ":" + std::to_string(this->port);
    }
};

inline sockaddr_in socket_address(const address& value)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(value.port));
    ::inet_pton(AF_INET, value.ip.c_str(), &result.sin_addr);
    return result;
}

/** Opens a listener; returns -1 on failure. */
inline int listen_on(const address& value)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in bound = socket_address(value);
    if (::bind(fd, reinterpret_cast<const sockaddr*>(&bound), sizeof(bound)) != 0 ||
        ::listen(fd, 512) != 0)
    {
        ::close(fd);
        return -1;
    }
    return fd;
}

/** Connects within the time limit; returns -1 on failure. The source is in the loopback network. */
inline int connect_to(const address& value, ms limit, const std::string& source = "")
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (!source.empty())
    {
        const sockaddr_in local = socket_address({source, 0});
        ::bind(fd, reinterpret_cast<const sockaddr*>(&local), sizeof(local));
    }
    const sockaddr_in peer = socket_address(value);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&peer), sizeof(peer)) != 0)
    {
        pollfd polled{fd, POLLOUT, 0};
        int problem = 0;
        socklen_t size = sizeof(problem);
        if (errno != EINPROGRESS || ::poll(&polled, 1, static_cast<int>(limit)) != 1 ||
            ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &problem, &size) != 0 || problem != 0)
        {
            ::close(fd);
            return -1;
        }
    }
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    return fd;
}

inline bool send_all(int fd, const std::string& text)
{
    std::size_t sent = 0;
    while (sent < text.size())
    {
        const ssize_t result = ::send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (result <= 0)
        {
            return false;
        }
        sent += static_cast<std::size_t>(result);
    }
    return true;
}

/** A request or a response. */
struct message
{
    std::string method;
    std::string target;
    int status = 0;
    std::map<std::string, std::string> headers; // names in lower case
    std::string body;

    std::string header(const std::string& name) const
    {
        const auto found = this->headers.find(name);
        return found == this->headers.end() ? "" : found->second;
    }

    std::string path() const
    {
        return this->target.substr(0, this->target.find('?'));
    }

    std::string query(const std::string& name) const
    {
        const std::size_t mark = this->target.find('?');
        std::stringstream rest(mark == std::string::npos ? "" : this->target.substr(mark + 1));
        std::string pair;
        while (std::getline(rest, pair, '&'))
        {
            if (pair.substr(0, pair.find('=')) == name)
            {
                return pair.substr(pair.find('=') + 1);
            }
        }
        return "";
    }
};

enum class read_status
{
    complete,
    closed,
    timed_out,
    malformed
};

/** Reads HTTP/1.1 messages from a connection. */
class reader
{
public:
    explicit reader(int fd) : fd(fd) {}

    read_status read(message& out, ms until, bool is_response)
    {
        out = {};
        std::size_t end = 0;
        while ((end = this->input.find("\r\n\r\n")) == std::string::npos)
        {
            if (const read_status status = this->more(until); status != read_status::complete)
            {
                return status;
            }
        }
        if (!parse_head(this->input.substr(0, end), out, is_response))
        {
            return read_status::malformed;
        }
        this->input.erase(0, end + 4);
        const std::string length = out.header("content-length");
        if (out.header("transfer-encoding") == "chunked")
        {
            return this->read_chunks(out, until);
        }
        const std::size_t wanted = length.empty() ? 0 : std::stoul(length);
        while (this->input.size() < wanted)
        {
            if (const read_status status = this->more(until); status != read_status::complete)
            {
                return status;
            }
        }
        out.body = this->input.substr(0, wanted);
        this->input.erase(0, wanted);
        return read_status::complete;
    }

    /** Bytes that no message has used yet. */
    std::string input;

private:
    read_status more(ms until)
    {
        pollfd polled{this->fd, POLLIN, 0};
        const ms left = until - now();
        if (left <= 0 || ::poll(&polled, 1, static_cast<int>(left)) <= 0)
        {
            return read_status::timed_out;
        }
        char buffer[65536];
        const ssize_t result = ::recv(this->fd, buffer, sizeof(buffer), 0);
        if (result <= 0)
        {
            return read_status::closed;
        }
        this->input.append(buffer, static_cast<std::size_t>(result));
        return read_status::complete;
    }

    read_status read_chunks(message& out, ms until)
    {
        for (;;)
        {
            std::size_t end = 0;
            while ((end = this->input.find("\r\n")) == std::string::npos)
            {
                if (const read_status status = this->more(until); status != read_status::complete)
                {
                    return status;
                }
            }
            const std::size_t size = std::stoul(this->input.substr(0, end), nullptr, 16);
            while (this->input.size() < end + 2 + size + 2)
            {
                if (const read_status status = this->more(until); status != read_status::complete)
                {
                    return status;
                }
            }
            out.body += this->input.substr(end + 2, size);
            this->input.erase(0, end + 2 + size + 2);
            if (size == 0)
            {
                return read_status::complete;
            }
        }
    }

    static bool parse_head(const std::string& head, message& out, bool is_response)
    {
        std::stringstream lines(head);
        std::string line;
        std::getline(lines, line);
        std::stringstream first(line);
        std::string version;
        if (is_response)
        {
            first >> version >> out.status;
        }
        else
        {
            first >> out.method >> out.target >> version;
        }
        if (version != "HTTP/1.1")
        {
            return false;
        }
        while (std::getline(lines, line))
        {
            if (!line.empty() && line.back() == '\r')
            {
                line.pop_back();
            }
            const std::size_t colon = line.find(':');
            if (colon == std::string::npos)
            {
                return false;
            }
            std::string name = line.substr(0, colon);
            std::transform(name.begin(), name.end(), name.begin(),
                           [](unsigned char c) { return std::tolower(c); });
            std::string value = line.substr(colon + 1);
            value.erase(0, value.find_first_not_of(' '));
            out.headers[name] = value;
        }
        return true;
    }

    int fd;
};

inline std::string response_text(int status, const std::string& headers, const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/** Whether the peer has closed the connection or has broken it off. */
inline bool peer_has_closed(int fd)
{
    pollfd polled{fd, POLLRDHUP, 0};
    return ::poll(&polled, 1, 0) > 0 && (polled.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

/** A listener with a thread for each connection. */
class listener
{
public:
    /** Returns false if the connection shall be closed. */
    using handler = std::function<bool(int fd, const message& request)>;

    ~listener()
    {
        this->close();
    }

    bool open(const address& where, handler handle)
    {
        this->fd = listen_on(where);
        if (this->fd < 0)
        {
            return false;
        }
        this->handle = std::move(handle);
        this->stopped = false;
        this->acceptor = std::thread([this] { this->accept_all(); });
        return true;
    }

    /** Closes the listener and all connections, as the end of a process does. */
    void close()
    {
        if (this->fd < 0)
        {
            return;
        }
        this->stopped = true;
        ::shutdown(this->fd, SHUT_RDWR);
        this->acceptor.join();
        ::close(this->fd);
        this->fd = -1;
        {
            const std::lock_guard lock(this->mutex);
            for (const int connection : this->connections)
            {
                ::shutdown(connection, SHUT_RDWR);
            }
        }
        for (std::thread& worker : this->workers)
        {
            worker.join();
        }
        this->workers.clear();
    }

    std::atomic<bool> stopped{true};

private:
    void accept_all()
    {
        while (!this->stopped)
        {
            const int connection = ::accept4(this->fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (connection < 0)
            {
                if (this->stopped)
                {
                    return;
                }
                pause_ms(1);
                continue;
            }
            const int on = 1;
            ::setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            const std::lock_guard lock(this->mutex);
            this->connections.insert(connection);
            this->workers.emplace_back([this, connection] { this->serve(connection); });
        }
    }

    void serve(int connection)
    {
        reader input(connection);
        message request;
        while (!this->stopped)
        {
            const read_status status = input.read(request, now() + 500, false);
            if (status == read_status::timed_out)
            {
                continue;
            }
            if (status != read_status::complete || !this->handle(connection, request))
            {
                break;
            }
        }
        const std::lock_guard lock(this->mutex);
        this->connections.erase(connection);
        ::close(connection);
    }

    int fd = -1;
    handler handle;
    std::thread acceptor;
    std::mutex mutex;
    std::set<int> connections;
    std::vector<std::thread> workers;
};

/** Makes a call on a new connection; returns the status, or 0 without an answer. */
inline int call_once(const address& where, const std::string& text, ms limit,
                     message* answer = nullptr, const std::string& source = "")
{
    const ms until = now() + limit;
    const int fd = connect_to(where, std::min<ms>(limit, 1000), source);
    if (fd < 0)
    {
        return 0;
    }
    message response;
    reader input(fd);
    const bool complete =
        send_all(fd, text) && input.read(response, until, true) == read_status::complete;
    ::close(fd);
    if (answer != nullptr)
    {
        *answer = response;
    }
    return complete ? response.status : 0;
}

inline std::string base64(const std::string& bytes)
{
    static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < bytes.size(); i += 3)
    {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j)
        {
            group = group << 8U |
                    (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        }
        for (std::size_t j = 0; j < 4; ++j)
        {
            out += j > bytes.size() - i ? '=' : digits[(group >> (6 * (3 - j))) & 63U];
        }
    }
    return out;
}

inline std::string big_endian(std::uint64_t value, int bytes)
{
    std::string out;
    for (int i = bytes - 1; i >= 0; --i)
    {
        out += static_cast<char>((value >> (8 * i)) & 255U);
    }
    return out;
}

/**
 * The platform's metadata store. Records expire after `keep`; the newest record of each key is kept
 * for good.
 */
class store
{
public:
    ms keep = 20'000;
    std::function<void(const std::string& key, const std::string& value)> on_status;

    bool open(const address& where)
    {
        return this->server.open(where, [this](int fd, const message& request)
                                 { return this->handle(fd, request); });
    }

    void close()
    {
        this->server.close();
    }

    /** A record of the operator; the return is the ack. */
    void write(const std::string& topic, const std::string& key, const std::string& value)
    {
        const std::lock_guard lock(this->mutex);
        this->append(topic, key, value);
    }

private:
    struct entry
    {
        std::string key;
        std::string value;
        ms at = 0;
    };

    struct topic
    {
        std::deque<entry> records;
        std::uint64_t first = 0;
        std::map<std::string, std::pair<std::string, std::uint64_t>> newest;

        std::uint64_t end() const
        {
            return this->first + this->records.size();
        }
    };

    void append(const std::string& name, const std::string& key, const std::string& value)
    {
        topic& target = this->topics[name];
        const std::uint64_t offset = target.end();
        target.records.push_back({key, value, now()});
        if (value.empty())
        {
            target.newest.erase(key);
        }
        else
        {
            target.newest[key] = {value, offset};
        }
        if (name == "keyed.status" && this->on_status)
        {
            this->on_status(key, value);
        }
        this->changed.notify_all();
    }

    void expire(topic& target)
    {
        while (!target.records.empty() && now() - target.records.front().at > this->keep)
        {
            target.records.pop_front();
            ++target.first;
        }
    }

    std::string read(const message& request)
    {
        const std::uint64_t from = std::strtoull(request.query("From").c_str(), nullptr, 10);
        const ms until = now() + std::min<ms>(std::atoll(request.query("WaitMs").c_str()), 30'000);
        std::unique_lock lock(this->mutex);
        topic& target = this->topics[request.query("Topic")];
        while (from >= target.end() && now() < until && !this->server.stopped)
        {
            this->changed.wait_for(lock, std::chrono::milliseconds(50));
        }
        this->expire(target);
        if (from < target.first)
        {
            return response_text(410, "Content-Type: application/json\r\n",
                                 "{\"First\":" + std::to_string(target.first) + "}");
        }
        std::string body = big_endian(target.end(), 8) + big_endian(target.first, 8);
        for (std::uint64_t offset = from; offset < target.end(); ++offset)
        {
            const entry& record = target.records[offset - target.first];
            body += big_endian(1 + record.key.size() + record.value.size(), 4) +
                    big_endian(record.key.size(), 1) + record.key + record.value;
        }
        return response_text(200, "Content-Type: application/octet-stream\r\n", body);
    }

    std::string read_newest(const message& request)
    {
        const std::lock_guard lock(this->mutex);
        topic& target = this->topics[request.query("Topic")];
        this->expire(target);
        std::string items;
        for (const auto& [key, value] : target.newest)
        {
            if (!request.query("after").empty() && key <= request.query("after"))
            {
                continue;
            }
            items += std::string(items.empty() ? "" : ",") + "{\"Key\":\"" + key +
                     "\",\"Value\":\"" + base64(value.first) +
                     "\",\"Offset\":" + std::to_string(value.second) + "}";
        }
        return response_text(200, "Content-Type: application/json\r\n",
                             "{\"items\":[" + items + "],\"HasMore\":false,\"EndOffset\":" +
                                 std::to_string(target.end()) + "}");
    }

    std::string append_call(const message& request)
    {
        const std::lock_guard lock(this->mutex);
        const std::string name = request.query("Topic");
        topic& target = this->topics[name];
        if (name == "keyed.op" || name == "keyed.servers")
        {
            return response_text(403, "", "");
        }
        const std::string at = request.query("At");
        const std::uint64_t offset = target.end();
        if (!at.empty() && at != std::to_string(offset))
        {
            return response_text(412, "Content-Type: application/json\r\n",
                                 "{\"EndOffset\":" + std::to_string(offset) + "}");
        }
        std::string rest = request.body;
        while (rest.size() > 5)
        {
            std::size_t length = 0;
            for (int i = 0; i < 4; ++i)
            {
                length =
                    length << 8U | static_cast<unsigned char>(rest[static_cast<std::size_t>(i)]);
            }
            const std::string record = rest.substr(4, length);
            const std::size_t key = static_cast<unsigned char>(record[0]);
            this->append(name, record.substr(1, key), record.substr(1 + key));
            rest.erase(0, 4 + length);
        }
        return response_text(200, "Content-Type: application/json\r\n",
                             "{\"Offset\":" + std::to_string(offset) +
                                 ",\"EndOffset\":" + std::to_string(target.end()) + "}");
    }

    bool handle(int fd, const message& request)
    {
        const std::string path = request.path();
        std::string text = response_text(404, "", "");
        if (path == "/api/log-read")
        {
            text = this->read(request);
        }
        else if (path == "/api/log-newest")
        {
            text = this->read_newest(request);
        }
        else if (path == "/api/log-append")
        {
            text = this->append_call(request);
        }
        return send_all(fd, text);
    }

    listener server;
    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, topic> topics;
};

/** A run that a server began. */
struct run
{
    std::string id;
    std::string path;
    std::string instance;
    std::string version;
    ms at = 0;
};

/** An application server beside a daemon. Each start is a new lifetime. */
class app_server
{
public:
    std::string service;
    std::string version = "v1";
    std::string zone;
    address where;
    address control;
    int slots = 4;
    ms heartbeat_interval = 1500;
    ms work = 20;
    std::string instance;
    ms born = 0;
    /** "ready", "draining" or "" for none. */
    std::atomic<const char*> state{"ready"};
    std::function<void(const run&)> on_run;
    /** Status for a request; 200 if not set. */
    std::function<int(const message&)> status_of;
    /** Time for which a request is worked on; `work` if not set. */
    std::function<ms(const message&)> work_of;
    /** Whether the request ends the server. */
    std::function<bool(const message&)> crashes_on;
    std::function<void(app_server&)> on_crash;

    ~app_server()
    {
        this->stop();
    }

    bool start(const std::string& id)
    {
        this->instance = id;
        this->born = unix_ms();
        this->sequence = 0;
        this->running = 0;
        this->waiting = 0;
        this->crashed = false;
        this->state = "ready";
        const bool opened = this->server.open(this->where, [this](int fd, const message& request)
                                              { return this->handle(fd, request); });
        if (opened)
        {
            this->reporting = true;
            this->reporter = std::thread([this] { this->report(); });
        }
        return opened;
    }

    /** Ends the server without a word. */
    void stop()
    {
        this->reporting = false;
        if (this->reporter.joinable())
        {
            this->reporter.join();
        }
        this->server.close();
    }

    std::string heartbeat(const char* reported_state)
    {
        const std::string body =
            "{\"Service\":\"" + this->service + "\",\"Addr\":\"" + this->where.text() +
            "\",\"Zone\":\"" + this->zone + "\",\"Version\":\"" + this->version +
            "\",\"Slots\":" + std::to_string(this->slots) + ",\"State\":\"" + reported_state +
            "\",\"ColdLeft\":\"0ms\",\"Seq\":" + std::to_string(++this->sequence) +
            ",\"born\":" + std::to_string(this->born) + "}";
        return "POST /api/Instances.Heartbeat/" + this->instance +
               " HTTP/1.1\r\nHost: " + this->control.text() +
               "\r\nContent-Type: application/json\r\nContent-Length: " +
               std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    std::string deregistration() const
    {
        const std::string body = "{\"born\":" + std::to_string(this->born) + "}";
        return "POST /api/Instances.Deregister/" + this->instance +
               " HTTP/1.1\r\nHost: " + this->control.text() +
               "\r\nContent-Type: application/json\r\nContent-Length: " +
               std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    std::atomic<bool> crashed{false};

private:
    void report()
    {
        ms next = now();
        while (this->reporting)
        {
            if (now() < next)
            {
                pause_ms(10);
                continue;
            }
            next = now() + this->heartbeat_interval;
            const char* reported = this->state;
            if (*reported != '\0')
            {
                call_once(this->control, this->heartbeat(reported), 1000);
            }
        }
    }

    std::string load_header()
    {
        return "X-Server-Load: " + std::to_string(this->running) + "," +
               std::to_string(this->waiting) + "," + std::to_string(this->slots) + "\r\n";
    }

    /** Waits for a slot; false if the server is full or the caller left. */
    bool take_slot(int fd, bool& gone)
    {
        std::unique_lock lock(this->mutex);
        if (this->running >= this->slots && this->waiting >= 4 * this->slots)
        {
            return false;
        }
        ++this->waiting;
        while (this->running >= this->slots && !gone && !this->server.stopped)
        {
            this->freed.wait_for(lock, std::chrono::milliseconds(5));
            gone = peer_has_closed(fd);
        }
        --this->waiting;
        if (gone || this->server.stopped)
        {
            gone = true;
            return false;
        }
        ++this->running;
        return true;
    }

    void free_slot()
    {
        const std::lock_guard lock(this->mutex);
        --this->running;
        this->freed.notify_all();
    }

    bool handle(int fd, const message& request)
    {
        const std::string id = request.header("x-request-id");
        const std::string echo = "X-Request-Id: " + id + "\r\n";
        if (this->crashed)
        {
            return false;
        }
        if (request.path() == "/healthz")
        {
            return send_all(
                fd, response_text(200,
                                  "X-Instance-Id: " + this->instance + "\r\n" + this->load_header(),
                                  ""));
        }
        if (id.empty())
        {
            return send_all(fd, response_text(400, "X-Not-Executed: 1\r\n", ""));
        }
        const std::string expected = request.header("x-expect-instance");
        if (!expected.empty() && expected != this->instance)
        {
            return send_all(
                fd, response_text(421, echo + "X-Instance-Id: " + this->instance + "\r\n", ""));
        }
        bool gone = false;
        if (!this->take_slot(fd, gone))
        {
            return !gone && send_all(fd, response_text(503, echo + "X-Not-Executed: 1\r\n", ""));
        }
        if (this->on_run)
        {
            this->on_run({id, request.path(), this->instance, this->version, now()});
        }
        if (this->crashes_on && this->crashes_on(request))
        {
            this->crashed = true;
            this->free_slot();
            this->on_crash(*this);
            return false;
        }
        const ms end = now() + (this->work_of ? this->work_of(request) : this->work);
        while (now() < end && !gone)
        {
            pause_ms(std::min<ms>(5, end - now()));
            gone = this->server.stopped || this->crashed || peer_has_closed(fd);
        }
        this->free_slot();
        if (gone)
        {
            return false;
        }
        const int status = this->status_of ? this->status_of(request) : 200;
        return send_all(
            fd, response_text(status,
                              echo + "X-Response-Stamp: stamp." + id + "\r\n" + this->load_header(),
                              "the bytes of " + id));
    }

    listener server;
    std::thread reporter;
    std::atomic<bool> reporting{false};
    std::atomic<int> sequence{0};
    std::mutex mutex;
    std::condition_variable freed;
    int running = 0;
    int waiting = 0;
};

/** What a small deployment is configured with. */
struct terms
{
    ms grace = 6000;
    int memory_mb = 260;
    double retry_budget = 0.2;
    ms budget_window = 10'000;
    int budget_extra = 64;
};

/** A machine with a daemon, and the address of the server beside it. */
class machine
{
public:
    std::string name;
    std::string ip;
    std::string zone;
    std::string service;
    address outbound;
    address ready;
    address control;
    address app;
    int first_port = 0;
    int last_port = 0;
    std::string settings_file;
    std::string log_file;
    std::atomic<pid_t> pid{-1};
    /** Whether the platform sends new clients, by its readiness checks. */
    std::atomic<bool> in{false};
    /** Status with which the process ended by itself. */
    std::atomic<int> ended_with{0};

    void start(const std::vector<std::string>& command)
    {
        std::vector<std::string> words;
        for (const std::string& word : command)
        {
            const std::string option = "--config=";
            words.push_back(word.rfind(option, 0) == 0 ? option + this->settings_file : word);
        }
        std::vector<char*> arguments;
        for (std::string& word : words)
        {
            arguments.push_back(word.data());
        }
        arguments.push_back(nullptr);
        const int log =
            ::open(this->log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
        const pid_t parent = ::getpid();
        const pid_t child = ::fork();
        if (child == 0)
        {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            if (::getppid() != parent)
            {
                ::_exit(127);
            }
            ::dup2(log, 1);
            ::dup2(log, 2);
            ::execv(arguments[0], arguments.data());
            ::_exit(127);
        }
        ::close(log);
        this->pid = child;
    }

    void signal(int number) const
    {
        if (this->pid > 0)
        {
            ::kill(this->pid, number);
        }
    }

    /** Kills the process and waits for its end. */
    void kill()
    {
        const pid_t child = this->pid.exchange(-1);
        if (child > 0)
        {
            ::kill(child, SIGKILL);
            ::waitpid(child, nullptr, 0);
        }
    }

    /** Whether the process has ended by itself. */
    bool has_ended()
    {
        const pid_t child = this->pid;
        int status = 0;
        if (child > 0 && ::waitpid(child, &status, WNOHANG) == child)
        {
            this->ended_with = WIFSIGNALED(status) ? 128 + WTERMSIG(status) : WEXITSTATUS(status);
            this->pid = -1;
            return true;
        }
        return false;
    }
};

/** Replaces the placeholders of the project's template that are plain values. */
inline std::string render(std::string text, const std::map<std::string, std::string>& values)
{
    std::string out;
    std::size_t at = 0;
    for (;;)
    {
        const std::size_t open = text.find("{{", at);
        if (open == std::string::npos)
        {
            return out + text.substr(at);
        }
        const std::size_t close = text.find("}}", open);
        const std::string name = text.substr(open + 2, close - open - 2);
        const auto found = values.find(name);
        if (found == values.end())
        {
            throw std::runtime_error("the template has the unknown placeholder " + name);
        }
        out += text.substr(at, open - at) + found->second;
        at = close + 2;
    }
}

inline std::string read_file(const std::string& file)
{
    std::ifstream in(file);
    std::stringstream text;
    text << in.rdbuf();
    if (!in)
    {
        throw std::runtime_error("can't read " + file);
    }
    return text.str();
}

/** The words of `run` in the deploy file. */
inline std::vector<std::string> deploy_command()
{
    std::stringstream lines(read_file("deploy/system.toml"));
    std::string line;
    while (std::getline(lines, line))
    {
        if (line.rfind("run = \"", 0) == 0)
        {
            std::stringstream words(line.substr(7, line.rfind('"') - 7));
            std::vector<std::string> command;
            std::string word;
            while (words >> word)
            {
                command.push_back(word);
            }
            return command;
        }
    }
    throw std::runtime_error("deploy/system.toml has no line 'run'");
}

/** A small installation: a store, and machines of which each has a daemon and a server. */
class site
{
public:
    site(const std::string& folder, const terms& values)
        : log(folder + "/record.txt"), values(values), command(deploy_command())
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
        if (::mkdtemp(pattern.data()) == nullptr)
        {
            throw std::runtime_error("no temporary folder");
        }
        this->temporary = pattern;
        std::random_device seed;
        this->network = "127." + std::to_string(10 + seed() % 200) + "." +
                        std::to_string(1 + seed() % 250) + ".";
        this->base_port = static_cast<int>(20'000 + seed() % 10'000);
        this->platform = {this->network + "1", this->base_port};
        if (!this->platform_store.open(this->platform))
        {
            throw std::runtime_error("the store can't listen");
        }
    }

    ~site()
    {
        this->checking = false;
        if (this->checker.joinable())
        {
            this->checker.join();
        }
        for (const auto& server : this->servers)
        {
            server->stop();
        }
        for (const auto& one : this->machines)
        {
            one->kill();
        }
        this->platform_store.close();
        this->log.flush();
        std::error_code ignored;
        if (std::getenv("KEEP_LOGS") == nullptr)
        {
            std::filesystem::remove_all(this->temporary, ignored);
        }
        else
        {
            std::printf("logs: %s\n", this->temporary.c_str());
        }
    }

    /** Adds a machine with its daemon, which is started. */
    machine& add_machine(const std::string& zone, const std::string& service)
    {
        auto created = std::make_unique<machine>();
        machine& added = *created;
        const std::string number = std::to_string(this->machines.size() + 1);
        added.name = "sidecar-" + zone + "-" + number;
        added.ip = this->network + std::to_string(10 + this->machines.size());
        added.zone = zone;
        added.service = service;
        added.outbound = {added.ip, this->base_port + 4};
        added.ready = {added.ip, this->base_port + 2};
        added.control = {added.ip, this->base_port + 6};
        added.app = {added.ip, this->base_port + 1};
        added.first_port = this->base_port + 20;
        added.last_port = this->base_port + 35;
        added.settings_file = this->temporary + "/" + added.name + ".ini";
        added.log_file = this->temporary + "/" + added.name + ".log";
        std::ofstream(added.settings_file) << render(
            read_file("deploy/node.ini.tmpl"),
            {{"Node", added.name},
             {"Region", "ee-north"},
             {"Zone", zone},
             {"Ip", added.ip},
             {"PortRange.0", std::to_string(added.first_port)},
             {"PortRange.1", std::to_string(added.first_port + 1)},
             {"Bounds.Grace", std::to_string(this->values.grace / 1000) + "s"},
             {"Limits.MemoryMb", std::to_string(this->values.memory_mb)},
             {"Platform.Addr", this->platform.text()},
             {"Seeds", ""},
             {"Listen.Outbound", added.outbound.text()},
             {"Listen.Ready", added.ready.text()},
             {"Listen.Control", added.control.text()},
             {"AppAddr", added.app.text()},
             {"Service", service},
             {"HeartbeatInterval", "1500ms"},
             {"Bounds.RetryBudget", "0.2"},
             {"Bounds.BudgetWindow", std::to_string(this->values.budget_window / 1000) + "s"},
             {"Bounds.BudgetExtra", std::to_string(this->values.budget_extra)}});
        this->machines.push_back(std::move(created));
        added.start(this->command);
        return added;
    }

    /** Adds the server beside a machine; the caller sets it up and starts it. */
    app_server& add_server(const machine& beside)
    {
        auto created = std::make_unique<app_server>();
        created->service = beside.service;
        created->zone = beside.zone;
        created->where = beside.app;
        created->control = beside.control;
        this->servers.push_back(std::move(created));
        return *this->servers.back();
    }

    /** Starts the platform's readiness checks, one a second. */
    void start_checks()
    {
        this->checking = true;
        this->checker = std::thread(
            [this]
            {
                std::map<const machine*, int> misses;
                while (this->checking)
                {
                    for (const auto& one : this->machines)
                    {
                        const int status = call_once(
                            one->ready, "GET /api/readyz HTTP/1.1\r\nHost: x\r\n\r\n", 300);
                        misses[one.get()] = status == 200 ? 0 : misses[one.get()] + 1;
                        one->in = status == 200 || (one->in && misses[one.get()] < 2);
                    }
                    pause_ms(1000);
                }
            });
    }

    /** Waits until the platform counts all machines as ready. */
    bool wait_ready(ms limit)
    {
        const ms until = now() + limit;
        while (now() < until)
        {
            if (std::all_of(this->machines.begin(), this->machines.end(),
                            [](const auto& one) { return one->in.load(); }))
            {
                return true;
            }
            pause_ms(50);
        }
        return false;
    }

    record log;
    terms values;
    std::vector<std::string> command;
    std::string temporary;
    std::string network;
    int base_port = 0;
    address platform;
    store platform_store;
    std::vector<std::unique_ptr<machine>> machines;
    std::vector<std::unique_ptr<app_server>> servers;

private:
    std::atomic<bool> checking{false};
    std::thread checker;
};

/** A route of the operator's configuration. */
struct route
{
    std::string name;
    std::string prefix;
    std::string service;
    std::string kind = "idempotent";
    std::string timeout = "2000ms";
    std::string goal = "300ms";
    int priority = 1;
    int attempts = 2;
};

struct limits
{
    int header_bytes = 16'384;
    int body_bytes = 1'000'000;
    std::string header_timeout = "3000ms";
    std::string idle_timeout = "15s";
};

constexpr const char* host = "jepu9.example";

inline std::string config(int version, const std::vector<std::string>& services,
                          const std::vector<route>& routes, const limits& bounds = {})
{
    char number[16];
    std::snprintf(number, sizeof(number), "%08x", version);
    std::string text = std::string("{\"Version\":\"") + number + "\",\"Services\":[";
    for (std::size_t i = 0; i < services.size(); ++i)
    {
        text += std::string(i == 0 ? "" : ",") + "{\"Name\":\"" + services[i] +
                "\",\"HealthPath\":\"/healthz\",\"MaxConns\":130}";
    }
    text += std::string("],\"Hosts\":[{\"Host\":\"") + host + "\",\"Paths\":[";
    for (std::size_t i = 0; i < routes.size(); ++i)
    {
        const route& one = routes[i];
        text += std::string(i == 0 ? "" : ",") + "{\"Name\":\"" + one.name +
                "\",\"PathPrefix\":\"" + one.prefix + "\",\"Service\":\"" + one.service +
                "\",\"Kind\":\"" + one.kind + "\",\"Timeout\":\"" + one.timeout + "\",\"Goal\":\"" +
                one.goal + "\",\"MaxAttempts\":" + std::to_string(one.attempts) +
                ",\"Priority\":" + std::to_string(one.priority) + "}";
    }
    return text + "]}],\"Limits\":{\"MaxHeaderBytes\":" + std::to_string(bounds.header_bytes) +
           ",\"MaxBodyBytes\":" + std::to_string(bounds.body_bytes) + ",\"HeaderTimeout\":\"" +
           bounds.header_timeout + "\",\"IdleTimeout\":\"" + bounds.idle_timeout + "\"}}";
}

/** The text of a client's request. */
inline std::string client_request(const std::string& method, const std::string& path,
                                  const std::string& id, ms deadline, const std::string& body = "")
{
    std::string text = method + " " + path + " HTTP/1.1\r\nHost: " + host +
                       "\r\nX-Request-Id: " + id +
                       "\r\nX-Deadline-Ms: " + std::to_string(deadline) + "\r\n";
    if (!body.empty() || method == "POST")
    {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return text + "\r\n" + body;
}

/** Whether the disruption is wanted: not with TROUBLE=0. */
inline bool wants_trouble()
{
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

/** Runs a case; what can't be set up ends it with status 2. */
inline int run_case(int argc, char** argv, const std::function<int(const std::string&)>& body)
{
    ::signal(SIGPIPE, SIG_IGN);
    try
    {
        return body(argc > 1 ? argv[1] : ".");
    }
    catch (const std::exception& problem)
    {
        std::fprintf(stderr, "the case can't run: %s\n", problem.what());
        return cannot_run;
    }
}

} // namespace rig
