#include "sardinepoint/http_client.hpp"

#include "response_head.hpp"

#include <curl/curl.h>

#include <algorithm>
#include <cstring>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace sardinepoint
{

namespace
{

constexpr time_ms ms_per_second = 1000;

struct curl_easy_deleter
{
    void operator()(CURL* handle) const
    {
        curl_easy_cleanup(handle);
    }
};

struct curl_list_deleter
{
    void operator()(curl_slist* list) const
    {
        curl_slist_free_all(list);
    }
};

/** A peer that did not answer a call in time. */
struct unanswered_call
{
    /** Steady times at which the call was sent and timed out. */
    time_ms sent_at = 0;
    time_ms timed_out_at = 0;
    /** Whether the peer has answered a call that was sent after the timeout. */
    bool answered_since = false;
};

struct active_call
{
    std::uint64_t id = 0;
    time_ms sent_at = 0;
    http_call call;
    std::function<void(http_result)> done;
    http_result result;
    response_head head;
    /** Why the response is no valid HTTP/1.1; empty if it is. */
    std::string defect;
    std::size_t body_sent = 0;
    std::size_t max_body_bytes = 0;
    std::unique_ptr<curl_slist, curl_list_deleter> header_list;
    std::unique_ptr<CURL, curl_easy_deleter> handle;
};

std::size_t write_body(char* data, std::size_t size, std::size_t count, void* context)
{
    active_call& call = *static_cast<active_call*>(context);
    const std::size_t length = size * count;
    if (call.result.response.body.size() + length > call.max_body_bytes)
    {
        return 0;
    }
    call.result.response.body.append(data, length);
    return length;
}

std::size_t read_body(char* buffer, std::size_t size, std::size_t count, void* context)
{
    active_call& call = *static_cast<active_call*>(context);
    const std::size_t left = call.call.body.size() - call.body_sent;
    const std::size_t length = std::min(left, size * count);
    std::memcpy(buffer, call.call.body.data() + call.body_sent, length);
    call.body_sent += length;
    return length;
}

int refuse_rewind(void*, curl_off_t, int)
{
    return CURL_SEEKFUNC_FAIL;
}

/** Adds the field of a checked line, or continues the last one. */
void add_field(std::vector<http_header>& headers, std::string_view line)
{
    const bool continues = is_continuation(line);
    const std::size_t colon = line.find(':');
    std::string_view value = continues ? line : line.substr(colon + 1);
    value.remove_prefix(std::min(value.find_first_not_of(" \t"), value.size()));
    if (continues)
    {
        headers.back().value.append(" ").append(value);
        return;
    }
    headers.push_back({std::string(line.substr(0, colon)), std::string(value)});
}

std::size_t write_header(char* data, std::size_t size, std::size_t count, void* context)
{
    active_call& call = *static_cast<active_call*>(context);
    std::string_view line(data, size * count);
    line.remove_suffix(line.ends_with('\n') ? 1 : 0);
    line.remove_suffix(line.ends_with('\r') ? 1 : 0);
    if (call.head.complete && is_interim_status(call.head.status))
    {
        call.head = {};
        call.result.response.headers.clear();
    }
    const bool is_status_line = call.head.status == 0;
    call.defect = check_head_line(call.head, line);
    if (!call.defect.empty())
    {
        // Aborts the transfer and closes its connection.
        return 0;
    }
    if (!is_status_line && !line.empty())
    {
        add_field(call.result.response.headers, line);
    }
    return size * count;
}

} // namespace

class http_client
{
public:
    event_loop* loop = nullptr;
    http_client_options options;
    CURLM* multi = nullptr;
    std::unordered_map<std::uint64_t, std::unique_ptr<active_call>> calls;
    std::unordered_map<CURL*, std::uint64_t> ids;
    timer_id timer;
    std::uint64_t last_id = 0;
    std::uint64_t bytes = 0;
    /** The latest call that timed out, by peer. */
    std::map<std::string, unanswered_call, std::less<>> unanswered;
};

namespace
{

void count_bytes(http_client& client, CURL* handle, const active_call& call)
{
    long header_size = 0;
    long request_size = 0;
    curl_easy_getinfo(handle, CURLINFO_HEADER_SIZE, &header_size);
    curl_easy_getinfo(handle, CURLINFO_REQUEST_SIZE, &request_size);
    // CURLINFO_REQUEST_SIZE covers a body only when it goes out with the headers.
    const auto sent =
        std::max<std::uint64_t>(static_cast<std::uint64_t>(request_size), call.call.body.size());
    client.bytes +=
        static_cast<std::uint64_t>(header_size) + sent + call.result.response.body.size();
}

// A response that is delimited only by the end of its connection may be truncated by a crash.
bool is_self_delimiting(const http_response& response, int status)
{
    constexpr int no_content = 204;
    constexpr int not_modified = 304;
    return response.body.empty() || status == no_content || status == not_modified ||
           find_header(response.headers, "Content-Length") ||
           find_header(response.headers, "Transfer-Encoding");
}

void classify_result(CURLcode code, active_call& call)
{
    http_result& result = call.result;
    CURL* handle = call.handle.get();
    const int status = call.head.status;
    if (!call.defect.empty())
    {
        result = {.reason = unreadable_response(call.defect)};
        return;
    }
    if (code == CURLE_OK && !is_self_delimiting(result.response, status))
    {
        result = {.reason = "the end of the answer can't be proved: it has neither a length nor "
                            "chunks"};
        return;
    }
    if (code == CURLE_OK)
    {
        result.outcome = call_outcome::answered;
        result.response.status = status;
        return;
    }
    long request_size = 0;
    curl_easy_getinfo(handle, CURLINFO_REQUEST_SIZE, &request_size);
    result.outcome = request_size == 0 ? call_outcome::not_sent : call_outcome::unknown;
    result.reason = curl_easy_strerror(code);
    result.timed_out = code == CURLE_OPERATION_TIMEDOUT;
    result.connection_lost = code == CURLE_GOT_NOTHING || code == CURLE_RECV_ERROR ||
                             code == CURLE_SEND_ERROR || code == CURLE_PARTIAL_FILE ||
                             code == CURLE_SEND_FAIL_REWIND ||
                             // A reused connection was lost and libcurl couldn't open a new one.
                             (code == CURLE_COULDNT_CONNECT && request_size > 0);
    // Partial responses are never passed on.
    result.response = {};
}

/** Scheme, host and port of a URL. */
std::string_view peer_of(std::string_view url)
{
    const std::size_t host = url.find("://");
    return host == std::string_view::npos ? url : url.substr(0, url.find('/', host + 3));
}

void record_timeout(http_client& client, const active_call& call)
{
    const std::string_view peer = peer_of(call.call.url);
    const auto found = client.unanswered.find(peer);
    if (call.result.timed_out && call.result.outcome == call_outcome::unknown)
    {
        client.unanswered[std::string(peer)] = {.sent_at = call.sent_at,
                                                .timed_out_at = steady_now()};
    }
    else if (found != client.unanswered.end() && call.result.outcome == call_outcome::answered &&
             call.sent_at >= found->second.timed_out_at)
    {
        found->second.answered_since = true;
    }
}

/**
 * Connections can go silent without a reset. After a timeout, the calls to the peer use none that
 * was open when the unanswered call was sent: it would cost each of them another timeout.
 */
void avoid_silent_connections(http_client& client, CURL* handle, const active_call& call)
{
    const auto found = client.unanswered.find(peer_of(call.call.url));
    if (found == client.unanswered.end())
    {
        return;
    }
    if (!found->second.answered_since)
    {
        curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, 1L);
        return;
    }
    const time_ms age = call.sent_at - found->second.sent_at;
    if (age > call.call.max_connection_idle)
    {
        client.unanswered.erase(found);
        return;
    }
    // libcurl compares whole seconds, and 0 would disable the limit.
    const long max_age_s = std::max<long>(1, age / ms_per_second - 1);
    curl_easy_setopt(handle, CURLOPT_MAXLIFETIME_CONN, max_age_s);
}

void finish_call(http_client& client, CURL* handle, CURLcode code)
{
    const auto id = client.ids.find(handle);
    if (id == client.ids.end())
    {
        return;
    }
    auto entry = client.calls.extract(id->second);
    client.ids.erase(id);
    std::unique_ptr<active_call> call = std::move(entry.mapped());
    classify_result(code, *call);
    record_timeout(client, *call);
    count_bytes(client, handle, *call);
    curl_multi_remove_handle(client.multi, handle);
    call->handle.reset();
    call->done(std::move(call->result));
}

void finish_completed_calls(http_client& client)
{
    int left = 0;
    while (CURLMsg* message = curl_multi_info_read(client.multi, &left))
    {
        if (message->msg == CURLMSG_DONE)
        {
            finish_call(client, message->easy_handle, message->data.result);
        }
    }
}

void run_socket_action(http_client& client, curl_socket_t socket, int events)
{
    int running = 0;
    curl_multi_socket_action(client.multi, socket, events, &running);
    finish_completed_calls(client);
}

int update_socket(CURL*, curl_socket_t socket, int action, void* context, void*)
{
    http_client& client = *static_cast<http_client*>(context);
    if (action == CURL_POLL_REMOVE)
    {
        unwatch_fd(*client.loop, socket);
        return 0;
    }
    const io_interest interest{.read = (action & CURL_POLL_IN) != 0,
                               .write = (action & CURL_POLL_OUT) != 0};
    watch_fd(
        *client.loop, socket, interest,
        [&client, socket](io_interest ready)
        { run_socket_action(client, socket, ready.read ? CURL_CSELECT_IN : CURL_CSELECT_OUT); },
        client.options.priority);
    return 0;
}

int update_timer(CURLM*, long timeout, void* context)
{
    http_client& client = *static_cast<http_client*>(context);
    cancel_timer(*client.loop, client.timer);
    client.timer = {};
    if (timeout >= 0)
    {
        // Timers may fire up to 1 ms early, and libcurl doesn't set the timer again after an early
        // call.
        const time_ms delay = timeout == 0 ? 0 : timeout + 1;
        client.timer = run_after(*client.loop, delay,
                                 [&client] { run_socket_action(client, CURL_SOCKET_TIMEOUT, 0); });
    }
    return 0;
}

void set_method(CURL* handle, active_call& call)
{
    const std::string& method = call.call.method;
    const bool has_body =
        !call.call.body.empty() || method == "POST" || method == "PUT" || method == "PATCH";
    if (method == "HEAD")
    {
        curl_easy_setopt(handle, CURLOPT_NOBODY, 1L);
        return;
    }
    if (!has_body)
    {
        curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, method.c_str());
        return;
    }
    curl_easy_setopt(handle, CURLOPT_POST, 1L);
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, method.c_str());
    curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(call.call.body.size()));
    if (call.call.retryable)
    {
        curl_easy_setopt(handle, CURLOPT_POSTFIELDS, call.call.body.data());
        return;
    }
    curl_easy_setopt(handle, CURLOPT_READFUNCTION, &read_body);
    curl_easy_setopt(handle, CURLOPT_READDATA, &call);
    curl_easy_setopt(handle, CURLOPT_SEEKFUNCTION, &refuse_rewind);
}

void set_headers(CURL* handle, active_call& call)
{
    curl_slist* list = curl_slist_append(nullptr, "Expect:");
    bool has_content_type = false;
    bool has_accept = false;
    for (const http_header& header : call.call.headers)
    {
        // libcurl sends "Name;" as a header with an empty value.
        const std::string line =
            header.value.empty() ? header.name + ";" : header.name + ": " + header.value;
        list = curl_slist_append(list, line.c_str());
        has_content_type = has_content_type || equal_header_name(header.name, "Content-Type");
        has_accept = has_accept || equal_header_name(header.name, "Accept");
    }
    // Prevents libcurl from adding default headers.
    if (!has_accept)
    {
        list = curl_slist_append(list, "Accept:");
    }
    if (!has_content_type)
    {
        list = curl_slist_append(list, "Content-Type:");
    }
    call.header_list.reset(list);
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, list);
}

void set_options(CURL* handle, active_call& call)
{
    curl_easy_setopt(handle, CURLOPT_URL, call.call.url.c_str());
    curl_easy_setopt(handle, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(handle, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(handle, CURLOPT_FOLLOWLOCATION, 0L);
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(handle, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, std::max<long>(1, call.call.timeout));
    if (call.call.stall_timeout > 0)
    {
        curl_easy_setopt(handle, CURLOPT_LOW_SPEED_LIMIT, 1L);
        curl_easy_setopt(handle, CURLOPT_LOW_SPEED_TIME,
                         std::max<long>(1, call.call.stall_timeout / ms_per_second));
    }
    curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS,
                     std::max<long>(1, call.call.connect_timeout));
    // Shorter than the idle timeout of the servers: whether a request sent on a closing connection
    // was executed is unknown.
    curl_easy_setopt(handle, CURLOPT_MAXAGE_CONN,
                     static_cast<long>(call.call.max_connection_idle / ms_per_second));
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &write_body);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &call);
    curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, &write_header);
    curl_easy_setopt(handle, CURLOPT_HEADERDATA, &call);
    // libcurl resends a request on a new connection when a reused one closes without a response. A
    // body that can't be rewound prevents that; a request without a body needs a new connection.
    if (!call.call.retryable && call.call.body.empty())
    {
        curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, 1L);
    }
}

} // namespace

void http_client_deleter::operator()(http_client* client) const
{
    for (auto& [id, call] : client->calls)
    {
        curl_multi_remove_handle(client->multi, call->handle.get());
    }
    client->calls.clear();
    curl_multi_cleanup(client->multi);
    cancel_timer(*client->loop, client->timer);
    delete client;
}

http_client_ptr open_http_client(event_loop& loop, const http_client_options& options)
{
    static std::once_flag initialised;
    std::call_once(initialised, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
    http_client_ptr client(new http_client);
    client->loop = &loop;
    client->options = options;
    client->multi = curl_multi_init();
    curl_multi_setopt(client->multi, CURLMOPT_SOCKETFUNCTION, &update_socket);
    curl_multi_setopt(client->multi, CURLMOPT_SOCKETDATA, client.get());
    curl_multi_setopt(client->multi, CURLMOPT_TIMERFUNCTION, &update_timer);
    curl_multi_setopt(client->multi, CURLMOPT_TIMERDATA, client.get());
    curl_multi_setopt(client->multi, CURLMOPT_MAXCONNECTS, options.max_connections);
    curl_multi_setopt(client->multi, CURLMOPT_MAX_HOST_CONNECTIONS,
                      options.max_connections_per_peer);
    return client;
}

call_id send_request(http_client& client, http_call call, std::function<void(http_result)> done)
{
    auto created = std::make_unique<active_call>();
    active_call& active = *created;
    active.id = ++client.last_id;
    active.sent_at = steady_now();
    active.call = std::move(call);
    active.done = std::move(done);
    active.max_body_bytes = client.options.max_body_bytes;
    active.handle.reset(curl_easy_init());
    CURL* handle = active.handle.get();
    set_options(handle, active);
    avoid_silent_connections(client, handle, active);
    if (!client.options.local_address.empty())
    {
        const std::string interface = "host!" + client.options.local_address;
        curl_easy_setopt(handle, CURLOPT_INTERFACE, interface.c_str());
    }
    set_method(handle, active);
    set_headers(handle, active);
    client.ids[handle] = active.id;
    client.calls[active.id] = std::move(created);
    curl_multi_add_handle(client.multi, handle);
    return {active.id};
}

void cancel_call(http_client& client, call_id id)
{
    auto entry = client.calls.extract(id.value);
    if (entry.empty())
    {
        return;
    }
    CURL* handle = entry.mapped()->handle.get();
    client.ids.erase(handle);
    curl_multi_remove_handle(client.multi, handle);
}

std::uint64_t transferred_bytes(const http_client& client)
{
    return client.bytes;
}

} // namespace sardinepoint
