#include "hop_codec.hpp"

#include "call_headers.hpp"

#include <nlohmann/json.hpp>

#include <utility>

namespace sardinepoint
{

namespace
{

using nlohmann::json;

/** Removes the header and parses its value. Returns null if the header is missing, and a discarded
 * value if it isn't valid JSON. */
json take_json(std::vector<http_header>& headers, std::string_view name)
{
    json parsed;
    if (const auto value = find_header(headers, name))
    {
        parsed = json::parse(*value, nullptr, false);
    }
    remove_header(headers, name);
    return parsed;
}

run_outcome outcome_from(std::string_view name)
{
    for (const run_outcome outcome : {run_outcome::answered, run_outcome::not_run})
    {
        if (to_string(outcome) == name)
        {
            return outcome;
        }
    }
    return run_outcome::unknown;
}

} // namespace

void write_terms(http_request& request, const hop_terms& terms)
{
    json body{{"id", terms.id},
              {"i", terms.instance},
              {"r", terms.route},
              {"c", terms.caller_service},
              {"p", terms.priority},
              {"f", terms.parent_priority},
              {"g", terms.latency_target_time_left},
              {"t", terms.time_left},
              {"rep", terms.idempotent},
              {"again", terms.is_retry}};
    if (!terms.organisation.empty())
    {
        body["o"] = terms.organisation;
    }
    if (terms.has_cold_rate)
    {
        body["cold"] = true;
    }
    if (terms.needs_free_slot)
    {
        body["now"] = true;
    }
    // Header values must be ASCII, while names in the configuration may hold other characters.
    set_header(request.headers, call_headers::terms,
               body.dump(-1, ' ', true, json::error_handler_t::replace));
}

std::optional<hop_terms> take_terms(http_request& request)
{
    const json body = take_json(request.headers, call_headers::terms);
    if (!body.is_object())
    {
        return std::nullopt;
    }
    try
    {
        return hop_terms{.id = body.at("id").get<std::string>(),
                         .instance = body.at("i").get<std::string>(),
                         .caller_service = body.at("c").get<std::string>(),
                         .route = body.at("r").get<std::string>(),
                         .organisation = body.value("o", ""),
                         .priority = body.at("p").get<int>(),
                         .parent_priority = body.at("f").get<int>(),
                         .latency_target_time_left = body.at("g").get<time_ms>(),
                         .time_left = body.at("t").get<time_ms>(),
                         .idempotent = body.at("rep").get<bool>(),
                         .is_retry = body.at("again").get<bool>(),
                         .has_cold_rate = body.value("cold", false),
                         .needs_free_slot = body.value("now", false)};
    }
    catch (const json::exception&)
    {
        return std::nullopt;
    }
}

void write_report(http_response& response, const hop_report& report)
{
    json body{{"o", to_string(report.outcome)},
              {"q",
               {report.queue.running, report.queue.waiting, report.queue.backlog,
                report.queue.service_time}}};
    if (report.daemon_time > 0)
    {
        body["t"] = report.daemon_time;
    }
    if (report.upstream_time > 0)
    {
        body["w"] = report.upstream_time;
    }
    if (!report.reason.empty())
    {
        body["why"] = report.reason;
    }
    if (report.queue.cold_left > 0)
    {
        body["cold"] = report.queue.cold_left;
    }
    if (report.queue.room_in > 0)
    {
        body["room"] = report.queue.room_in;
    }
    if (report.crashed)
    {
        body["crashed"] = true;
    }
    if (report.arrived)
    {
        body["arrived"] = true;
    }
    if (report.gone)
    {
        body["gone"] = true;
    }
    set_header(response.headers, call_headers::report,
               body.dump(-1, ' ', true, json::error_handler_t::replace));
}

std::optional<hop_report> take_report(http_response& response)
{
    const json body = take_json(response.headers, call_headers::report);
    if (!body.is_object())
    {
        return std::nullopt;
    }
    try
    {
        const json& queue = body.at("q");
        return hop_report{.outcome = outcome_from(body.at("o").get<std::string>()),
                          .reason = body.value("why", ""),
                          .queue = {.running = queue.at(0).get<int>(),
                                    .waiting = queue.at(1).get<int>(),
                                    .backlog = queue.at(2).get<time_ms>(),
                                    .service_time = queue.at(3).get<time_ms>(),
                                    .cold_left = body.value("cold", time_ms{0}),
                                    .room_in = body.value("room", time_ms{0})},
                          .upstream_time = body.value("w", time_ms{0}),
                          .daemon_time = body.value("t", time_ms{0}),
                          .crashed = body.value("crashed", false),
                          .arrived = body.value("arrived", false),
                          .gone = body.value("gone", false)};
    }
    catch (const json::exception&)
    {
        return std::nullopt;
    }
}

} // namespace sardinepoint
