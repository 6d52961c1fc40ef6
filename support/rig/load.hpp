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

/** Part of the calls that use a method; weights are relative. */
struct method_weight
{
    std::string method;
    double weight = 1;
};

struct load_options
{
    /** Data endpoints, used in turn. */
    std::vector<endpoint> targets;
    std::string path = "/duty/today";
    double calls_per_second = 100;
    /** Arrivals end after this time or this number of calls, whichever comes first. */
    time_ms duration = 1000;
    std::uint64_t max_calls = 200'000;
    /** Sent as the deadline header; an answer after it is no success. */
    time_ms deadline = 1000;
    /** Time after the deadline during which the answer's outcome is still recorded. */
    time_ms grace = 500;
    std::vector<method_weight> methods{{"GET", 1}};
    /** Least size of the bodies of POST, PUT and PATCH. */
    std::size_t min_body_bytes = 32;
    /** Part of the POST, PUT and PATCH calls that have an empty body. */
    double empty_body_fraction = 0;
    std::uint64_t seed = 1;
    /** Adds headers to a call before it is sent; runs on the load's thread. */
    std::function<void(http_call& call, std::uint64_t number)> prepare;
};

enum class load_verdict
{
    /** Complete answer with status 200 to the call's own request, within the deadline. */
    success,
    /** Complete answer with status 200 to the call's own request, after the deadline. */
    late,
    /** Answer of another request, or of this one with other content. */
    mismatched,
    /** Reported as answered with status 200, but the body is no complete echo. */
    incomplete,
    /** Any other status. */
    refused,
    /** No complete answer arrived. */
    no_response,
};

std::string_view to_string(load_verdict verdict);

/** One logical request and how it ended. */
struct load_call
{
    std::string request_id;
    std::string method;
    std::size_t target = 0;
    /** Steady time of sending. */
    std::int64_t started_us = 0;
    std::int64_t elapsed_us = 0;
    int status = 0;
    /** Sardinepoint-Outcome header; "none" without one. */
    std::string outcome = "none";
    std::string reason;
    /** Sardinepoint-Upstream header. */
    std::string upstream;
    load_verdict verdict = load_verdict::no_response;
};

struct load_report
{
    /** In the order in which the calls ended. */
    std::vector<load_call> calls;
    /** Longest time by which a call was sent later than planned. */
    std::int64_t max_send_delay_us = 0;
};

std::uint64_t count_verdict(const load_report& report, load_verdict verdict);
std::map<std::string, std::uint64_t> count_outcomes(const load_report& report);
std::map<int, std::uint64_t> count_statuses(const load_report& report);

/** Successes divided by calls; 1 without calls. */
double success_fraction(const load_report& report);

/** Quantile of the time that the calls with this verdict took, in ms; 0 without such calls. */
double latency_quantile(const load_report& report, double quantile,
                        load_verdict verdict = load_verdict::success);

/** Text with counts by verdict, outcome and status, and latency quantiles. */
std::string describe(const load_report& report);

/** Runs the load on this thread until the last call has ended. */
load_report run_load(const load_options& options);

/** Runs the load on a thread of its own, so that faults can be injected meanwhile. */
class background_load
{
public:
    explicit background_load(load_options options);
    ~background_load();
    background_load(const background_load&) = delete;
    background_load& operator=(const background_load&) = delete;

    /** Calls that have ended so far, and those of them that succeeded. */
    std::uint64_t ended() const;
    std::uint64_t succeeded() const;

    /** Ends the arrivals early. */
    void stop_arrivals();

    /** Waits for the end of the last call. */
    load_report finish();

private:
    friend load_report run_load(const load_options& options);

    /** What the thread that runs the load shares with others. */
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
