#include "rig/load.hpp"

#include "call_headers.hpp"

#include "sardinepoint/event_loop.hpp"
#include "sardinepoint/http.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <map>
#include <random>
#include <set>
#include <utility>

namespace sardinepoint::rig
{

namespace
{

constexpr double us_per_second = 1e6;
constexpr double us_per_ms = 1000;
constexpr time_ms arrival_tick_ms = 1;
// Beyond the limit libcurl queues calls, and the arrival rate would depend on the response times.
constexpr long connection_limit = 4000;

/** State of a running load. */
struct load_state
{
    const load_options* options = nullptr;
    event_loop* loop = nullptr;
    http_client* client = nullptr;
    std::mt19937_64 random;
    std::int64_t start_us = 0;
    std::int64_t next_send_us = 0;
    std::uint64_t sent = 0;
    std::uint64_t open = 0;
    bool arrivals_ended = false;
    load_report report;
    std::function<void(const load_call&)> on_call_ended;
};

bool has_body(std::string_view method)
{
    return method == "POST" || method == "PUT" || method == "PATCH";
}

const std::string& draw_method(load_state& state)
{
    const auto& methods = state.options->methods;
    std::vector<double> weights;
    std::transform(methods.begin(), methods.end(), std::back_inserter(weights),
                   [](const method_weight& entry) { return entry.weight; });
    std::discrete_distribution<std::size_t> draw(weights.begin(), weights.end());
    return methods[draw(state.random)].method;
}

/** Values that the response of the stand-in upstream must echo. */
struct expected_echo
{
    std::string request_id;
    std::string target;
    std::string body;
};

load_verdict check_echo(const http_response& response, const expected_echo& expected)
{
    const auto body = nlohmann::json::parse(response.body, nullptr, false);
    const bool complete = body.is_object() && body.contains("request_id") &&
                          body.contains("target") && body.contains("echo");
    if (!complete)
    {
        return load_verdict::incomplete;
    }
    const bool matches_request = body["request_id"] == expected.request_id &&
                                 body["target"] == expected.target && body["echo"] == expected.body;
    return matches_request ? load_verdict::success : load_verdict::mismatched;
}

load_verdict classify_response(const load_state& state, const http_result& result,
                               const load_call& call, const expected_echo& expected)
{
    if (result.outcome != call_outcome::answered)
    {
        return load_verdict::no_response;
    }
    if (result.response.status != 200)
    {
        return load_verdict::refused;
    }
    const load_verdict verdict = check_echo(result.response, expected);
    const auto deadline_us = static_cast<std::int64_t>(us_per_ms) * state.options->deadline;
    const bool late = verdict == load_verdict::success && call.elapsed_us > deadline_us;
    return late ? load_verdict::late : verdict;
}

std::string header_or(const http_response& response, std::string_view name, std::string_view other)
{
    return std::string(find_header(response.headers, name).value_or(other));
}

void finish_if_done(load_state& state)
{
    if (state.arrivals_ended && state.open == 0)
    {
        stop(*state.loop);
    }
}

void record_result(load_state& state, load_call call, const http_result& result,
                   const expected_echo& expected)
{
    call.elapsed_us = steady_now_us() - call.started_us;
    call.reason = result.reason;
    if (result.outcome == call_outcome::answered)
    {
        call.status = result.response.status;
        call.outcome = header_or(result.response, call_headers::outcome, "none");
        call.reason = header_or(result.response, call_headers::reason, "");
        call.upstream = header_or(result.response, call_headers::upstream, "");
    }
    call.verdict = classify_response(state, result, call, expected);
    state.on_call_ended(call);
    state.report.calls.push_back(std::move(call));
    --state.open;
    finish_if_done(state);
}

void send_call(load_state& state)
{
    const load_options& options = *state.options;
    const std::uint64_t number = state.sent++;
    load_call call;
    call.request_id = fmt::format("{}-{}", options.seed, number);
    call.method = draw_method(state);
    call.target = number % options.targets.size();
    expected_echo expected{.request_id = call.request_id,
                           .target = options.path + "?n=" + call.request_id};
    const bool empty_body = std::bernoulli_distribution(options.empty_body_fraction)(state.random);
    if (has_body(call.method) && !empty_body)
    {
        expected.body = "body of " + call.request_id + " ";
        expected.body.resize(std::max(expected.body.size(), options.min_body_bytes), '.');
    }
    http_call request{
        .method = call.method,
        .url = "http://" + to_string(options.targets[call.target]) + expected.target,
        .headers = {{"Request-Id", call.request_id},
                    {std::string(call_headers::deadline), std::to_string(options.deadline)}},
        .body = expected.body,
        .timeout = options.deadline + options.response_grace,
        .connect_timeout = options.deadline,
        // Each POST, PUT or PATCH is sent only once, so that runs at the upstream can be counted.
        .retryable = !has_body(call.method)};
    if (options.prepare)
    {
        options.prepare(request, number);
    }
    ++state.open;
    call.started_us = steady_now_us();
    send_request(*state.client, std::move(request),
                 [&state, call = std::move(call), expected = std::move(expected)](
                     const http_result& result) { record_result(state, call, result, expected); });
}

std::int64_t draw_interval_us(load_state& state)
{
    std::exponential_distribution<double> interval(state.options->calls_per_second);
    return std::llround(interval(state.random) * us_per_second);
}

void send_due_calls(load_state& state, const std::atomic<bool>& stopped)
{
    if (state.arrivals_ended)
    {
        return;
    }
    const load_options& options = *state.options;
    const std::int64_t now = steady_now_us();
    const std::int64_t end_us =
        state.start_us + static_cast<std::int64_t>(us_per_ms) * options.duration;
    while (state.next_send_us <= std::min(now, end_us) && state.sent < options.max_calls &&
           !stopped)
    {
        state.report.max_send_delay_us =
            std::max(state.report.max_send_delay_us, now - state.next_send_us);
        send_call(state);
        state.next_send_us += draw_interval_us(state);
    }
    state.arrivals_ended =
        stopped || state.next_send_us > end_us || state.sent >= options.max_calls;
    finish_if_done(state);
}

template <class Key, class Member>
std::map<Key, std::uint64_t> count_by(const load_report& report, Member member)
{
    std::map<Key, std::uint64_t> counts;
    for (const load_call& call : report.calls)
    {
        ++counts[call.*member];
    }
    return counts;
}

} // namespace

std::string_view to_string(load_verdict verdict)
{
    switch (verdict)
    {
    case load_verdict::success:
        return "success";
    case load_verdict::late:
        return "late";
    case load_verdict::mismatched:
        return "mixed_up";
    case load_verdict::incomplete:
        return "incomplete";
    case load_verdict::refused:
        return "refused";
    case load_verdict::no_response:
        return "no_answer";
    }
    return "unknown";
}

std::uint64_t count_verdict(const load_report& report, load_verdict verdict)
{
    return static_cast<std::uint64_t>(std::count_if(report.calls.begin(), report.calls.end(),
                                                    [verdict](const load_call& call)
                                                    { return call.verdict == verdict; }));
}

std::map<std::string, std::uint64_t> count_outcomes(const load_report& report)
{
    return count_by<std::string>(report, &load_call::outcome);
}

std::map<int, std::uint64_t> count_statuses(const load_report& report)
{
    return count_by<int>(report, &load_call::status);
}

double success_fraction(const load_report& report)
{
    return report.calls.empty()
               ? 1
               : static_cast<double>(count_verdict(report, load_verdict::success)) /
                     static_cast<double>(report.calls.size());
}

double latency_quantile(const load_report& report, double quantile, load_verdict verdict)
{
    std::vector<std::int64_t> times;
    for (const load_call& call : report.calls)
    {
        if (call.verdict == verdict)
        {
            times.push_back(call.elapsed_us);
        }
    }
    if (times.empty())
    {
        return 0;
    }
    const auto rank = static_cast<std::ptrdiff_t>(quantile * static_cast<double>(times.size() - 1));
    std::nth_element(times.begin(), times.begin() + rank, times.end());
    return static_cast<double>(times[static_cast<std::size_t>(rank)]) / us_per_ms;
}

std::string describe(const load_report& report)
{
    std::string text =
        fmt::format("calls={} success_share={:.5f}", report.calls.size(), success_fraction(report));
    std::map<std::string_view, std::uint64_t> verdicts;
    for (const load_call& call : report.calls)
    {
        ++verdicts[to_string(call.verdict)];
    }
    for (const auto& [verdict, count] : verdicts)
    {
        text += fmt::format(" {}={}", verdict, count);
    }
    for (const auto& [outcome, count] : count_outcomes(report))
    {
        text += fmt::format(" outcome_{}={}", outcome, count);
    }
    for (const auto& [status, count] : count_statuses(report))
    {
        text += fmt::format(" status_{}={}", status, count);
    }
    text += fmt::format(" p50_ms={:.2f} p99_ms={:.2f} max_ms={:.2f} worst_lag_ms={:.2f}",
                        latency_quantile(report, 0.5), latency_quantile(report, 0.99),
                        latency_quantile(report, 1),
                        static_cast<double>(report.max_send_delay_us) / us_per_ms);
    // Shows the first failure of each kind, as a failed run may not be reproducible.
    std::set<load_verdict> shown;
    for (const load_call& call : report.calls)
    {
        if (call.verdict != load_verdict::success && shown.insert(call.verdict).second)
        {
            text += fmt::format("\n  {} {} status={} outcome={} after_ms={} reason='{}'",
                                call.method, call.request_id, call.status, call.outcome,
                                static_cast<double>(call.elapsed_us) / us_per_ms, call.reason);
        }
    }
    return text;
}

load_report background_load::run(const load_options& options, shared_counts& shared)
{
    event_loop_ptr loop = make_event_loop();
    http_client_ptr client = open_http_client(
        *loop, {.max_connections = connection_limit, .max_connections_per_peer = connection_limit});
    load_state state{.options = &options,
                     .loop = loop.get(),
                     .client = client.get(),
                     .random = std::mt19937_64(options.seed)};
    state.on_call_ended = [&shared](const load_call& call)
    {
        ++shared.ended;
        shared.succeeded += call.verdict == load_verdict::success ? 1 : 0;
    };
    state.start_us = steady_now_us();
    state.next_send_us = state.start_us;
    run_every(*loop, arrival_tick_ms, [&] { send_due_calls(state, shared.stop); });
    sardinepoint::run(*loop);
    return std::move(state.report);
}

load_report run_load(const load_options& options)
{
    background_load::shared_counts shared;
    return background_load::run(options, shared);
}

background_load::background_load(load_options options)
    : runner([this, options = std::move(options)]
             { this->report = background_load::run(options, this->shared); })
{
}

background_load::~background_load()
{
    this->finish();
}

std::uint64_t background_load::ended() const
{
    return this->shared.ended;
}

std::uint64_t background_load::succeeded() const
{
    return this->shared.succeeded;
}

void background_load::stop_arrivals()
{
    this->shared.stop = true;
}

load_report background_load::finish()
{
    if (this->runner.joinable())
    {
        this->runner.join();
    }
    return this->report;
}

} // namespace sardinepoint::rig
