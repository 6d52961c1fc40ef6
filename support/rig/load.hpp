#pragma once

#include "sardinepoint/http_client.hpp"
#include "sardinepoint/settings.hpp"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <thread>
#include <vector>

namespace sardinepoint::rig
{

/** Relative frequency of a method among the calls. */
struct method_weight
{
    std::string method;
    double weight = 1;
};

struct load_options
{
    /** Data endpoints of daemons, used in round-robin order. */
    std::vector<endpoint> targets;
    std::string path = "/duty/today";
    double calls_per_second = 100;
    /** Calls are started until this time has passed or `max_calls` is reached. */
    time_ms duration = 1000;
    std::uint64_t max_calls = 200'000;
    /** Sent in the deadline header; a response after it does not count as a success. */
    time_ms deadline = 1000;
    /** Time after the deadline in which a response is still recorded. */
    time_ms response_grace = 500;
    std::vector<method_weight> methods{{"GET", 1}};
    /** Minimum body size of POST, PUT and PATCH calls. */
    std::size_t min_body_bytes = 32;
    /** Fraction of the POST, PUT and PATCH calls that have an empty body. */
    double empty_body_fraction = 0;
    std::uint64_t seed = 1;
    /** Modifies a call before it is sent, e.g. adds headers; runs on the load's thread. */
    std::function<void(http_call& call, std::uint64_t number)> prepare;
};

enum class load_verdict
{
    /** Complete and matching response with status 200 within the deadline. */
    success,
    /** Complete and matching response with status 200 after the deadline. */
    late,
    /** Response to another request, or to this request with different content. */
    mismatched,
    /** Status 200, but the body is not a complete echo of the request. */
    incomplete,
    /** Any other status. */
    refused,
    /** No complete response arrived. */
    no_response,
};

std::string_view to_string(load_verdict verdict);

/** A request and its result. */
struct load_call
{
    std::string request_id;
    std::string method;
    std::size_t target = 0;
    /** Steady-clock time at which the call was sent. */
    std::int64_t started_us = 0;
    std::int64_t elapsed_us = 0;
    int status = 0;
    /** Value of the Sardinepoint-Outcome header; "none" without one. */
    std::string outcome = "none";
    std::string reason;
    /** Value of the Sardinepoint-Upstream header. */
    std::string upstream;
    load_verdict verdict = load_verdict::no_response;
};

struct load_report
{
    /** In the order in which the calls ended. */
    std::vector<load_call> calls;
    /** Maximum delay between the planned and the actual sending of a call. */
    std::int64_t max_send_delay_us = 0;
};

std::uint64_t count_verdict(const load_report& report, load_verdict verdict);
std::map<std::string, std::uint64_t> count_outcomes(const load_report& report);
std::map<int, std::uint64_t> count_statuses(const load_report& report);

/** Fraction of the calls that succeeded; 1 without calls. */
double success_fraction(const load_report& report);

/** Latency quantile in ms of the calls with this verdict; 0 without such calls. */
double latency_quantile(const load_report& report, double quantile,
                        load_verdict verdict = load_verdict::success);

/** Formats counts by verdict, outcome and status, and latency quantiles. */
std::string describe(const load_report& report);

/** Runs the load on the calling thread until the last call has ended. */
load_report run_load(const load_options& options);

/** Runs the load on a separate thread, so that faults can be injected meanwhile. */
class background_load
{
public:
    explicit background_load(load_options options);
    ~background_load();
    background_load(const background_load&) = delete;
    background_load& operator=(const background_load&) = delete;

    /** Number of calls that have ended so far. */
    std::uint64_t ended() const;
    /** Number of calls that have succeeded so far. */
    std::uint64_t succeeded() const;

    /** Starts no further calls. */
    void stop_arrivals();

    /** Waits until the last call has ended. */
    load_report finish();

private:
    friend load_report run_load(const load_options& options);

    /** State shared between the thread that runs the load and its owner. */
    struct shared_counts
    {
        std::atomic<std::uint64_t> ended = 0;
        std::atomic<std::uint64_t> succeeded = 0;
        std::atomic<bool> stop = false;
    };

    static load_report run(const load_options& options, shared_counts& shared);

    shared_counts shared;
    load_report report;
    std::thread runner;
};

} // namespace sardinepoint::rig
