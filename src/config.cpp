#include "sardinepoint/config.hpp"

#include "config_json.hpp"
#include "json_reader.hpp"

#include "sardinepoint/move.hpp"
#include "sardinepoint/registry.hpp"

#include <nlohmann/json.hpp>

#include <limits>
#include <utility>

namespace sardinepoint
{

namespace
{

using detail::json_reader;
using detail::parse_route;
using detail::parse_service;
using detail::parse_shares;
using detail::to_json;
using nlohmann::json;

constexpr time_ms max_watch_period_ms = 7LL * 24 * 3600 * 1000;
constexpr time_ms max_timestamp_ms = std::numeric_limits<time_ms>::max() / 2;
constexpr std::size_t max_move_steps = 32;

json to_json(const move_step& step)
{
    return {{"share", step.share}, {"start_fraction", step.start_fraction}};
}

json to_json(const move_policy& policy)
{
    return {{"advance_on_little_evidence", policy.advance_on_little_evidence},
            {"rise_without_log", policy.rise_without_log},
            {"stop_when_isolated", policy.stop_when_isolated},
            {"tolerated_increase", policy.tolerated_increase},
            {"tolerated_slow_increase", policy.tolerated_slow_increase},
            {"wrong_withdrawal_probability", policy.wrong_withdrawal_probability},
            {"verdict_test", policy.verdict_test},
            {"watch_ms", policy.watch_period}};
}

json to_json(const move_spec& spec)
{
    json steps = json::array();
    for (const move_step& step : spec.steps)
    {
        steps.push_back(to_json(step));
    }
    return {{"id", spec.id},       {"service", spec.service},        {"from", spec.from},
            {"to", spec.to},       {"start_ms", spec.start},         {"deadline_ms", spec.deadline},
            {"order", spec.order}, {"policy", to_json(spec.policy)}, {"steps", std::move(steps)}};
}

json to_json(const patch_operation& operation)
{
    struct writer
    {
        json operator()(const put_route& op) const
        {
            return this->tag("put_route", to_json(op.value));
        }
        json operator()(const remove_route& op) const
        {
            return this->tag("remove_route", {{"name", op.name}});
        }
        json operator()(const put_service& op) const
        {
            return this->tag("put_service", to_json(op.value));
        }
        json operator()(const remove_service& op) const
        {
            return this->tag("remove_service", {{"name", op.name}});
        }
        json operator()(const start_move& op) const
        {
            return this->tag("start_move", to_json(op.value));
        }
        json operator()(const cancel_move& op) const
        {
            return this->tag("cancel_move", {{"id", op.id}});
        }
        json tag(const char* name, json value) const
        {
            value["op"] = name;
            return value;
        }
    };
    return std::visit(writer{}, operation);
}

move_policy parse_move_policy(const json& value, error_kind kind, error& reason, bool& failed)
{
    json_reader reader(value, "move policy", kind, reason);
    move_policy policy;
    policy.advance_on_little_evidence =
        reader.boolean_or("advance_on_little_evidence", policy.advance_on_little_evidence);
    policy.rise_without_log = reader.boolean_or("rise_without_log", policy.rise_without_log);
    policy.tolerated_increase =
        reader.number_or("tolerated_increase", policy.tolerated_increase, 0, 1);
    policy.stop_when_isolated = reader.boolean_or("stop_when_isolated", policy.stop_when_isolated);
    policy.tolerated_slow_increase =
        reader.number_or("tolerated_slow_increase", policy.tolerated_slow_increase, 0, 1);
    policy.wrong_withdrawal_probability = reader.number_or(
        "wrong_withdrawal_probability", policy.wrong_withdrawal_probability, 1e-9, 0.5);
    policy.verdict_test = reader.text_or("verdict_test", policy.verdict_test);
    if (registry<verdict_test>::find(policy.verdict_test) == nullptr)
    {
        reader.fail("verdict_test", "is not a registered test", "use sequential or threshold");
    }
    policy.watch_period =
        reader.integer_or("watch_ms", policy.watch_period, 0, max_watch_period_ms);
    failed = !reader.finish();
    return policy;
}

std::vector<move_step> parse_move_steps(const json& values, error_kind kind, error& reason,
                                        bool& failed)
{
    std::vector<move_step> steps;
    for (const json& value : values)
    {
        json_reader reader(value, "move step", kind, reason);
        move_step step;
        step.share = reader.number("share", 0, 100);
        step.start_fraction = reader.number("start_fraction", 0, 1);
        const bool rises = steps.empty() || (step.share > steps.back().share &&
                                             step.start_fraction > steps.back().start_fraction);
        if (!rises)
        {
            reader.fail("share", "does not rise from the step before",
                        "list steps with rising share and rising start_fraction");
        }
        failed = !reader.finish() || failed;
        steps.push_back(step);
        if (failed)
        {
            return {};
        }
    }
    return steps;
}

move_spec parse_move_spec(json_reader& reader, error_kind kind, error& reason)
{
    move_spec spec;
    spec.id = reader.text("id");
    spec.service = reader.text("service");
    spec.order = reader.has("order") ? reader.unsigned_integer("order") : 0;
    // An ordered move replaces any present version, so it doesn't need 'from'.
    spec.from = spec.order > 0 ? reader.text_or("from", "") : reader.text("from");
    spec.to = reader.text("to");
    spec.start = reader.integer_or("start_ms", 0, 0, max_timestamp_ms);
    spec.deadline = reader.integer("deadline_ms", 0, max_timestamp_ms);
    spec.steps = default_move_steps();
    bool failed = reader.failed();
    if (!failed && reader.has("policy"))
    {
        const json& policy = reader.object("policy");
        spec.policy = parse_move_policy(policy, kind, reason, failed);
    }
    if (!failed && reader.has("steps"))
    {
        spec.steps = parse_move_steps(reader.array("steps"), kind, reason, failed);
        if (!failed && (spec.steps.empty() || spec.steps.size() > max_move_steps ||
                        spec.steps.back().share < 100))
        {
            reader.fail("steps", "does not end at share 100 or has no or too many steps",
                        "list 1 to 32 steps, the last with share 100");
        }
    }
    if (failed && !reader.failed())
    {
        const error original_reason = reason;
        reader.fail("policy", "", "");
        reason = original_reason;
    }
    return spec;
}

std::optional<patch_operation> parse_operation(const json& value, std::size_t index, error& reason)
{
    constexpr error_kind kind = error_kind::invalid_patch;
    json_reader reader(value, "operation " + std::to_string(index), kind, reason);
    const std::string name = reader.text("op");
    std::optional<patch_operation> operation;
    if (name == "put_route")
    {
        operation = put_route{parse_route(reader)};
    }
    else if (name == "remove_route")
    {
        operation = remove_route{reader.text("name")};
    }
    else if (name == "put_service")
    {
        operation = put_service{parse_service(reader)};
    }
    else if (name == "remove_service")
    {
        operation = remove_service{reader.text("name")};
    }
    else if (name == "start_move")
    {
        operation = start_move{parse_move_spec(reader, kind, reason)};
    }
    else if (name == "cancel_move")
    {
        operation = cancel_move{reader.text("id")};
    }
    else
    {
        reader.fail("op", "is not a known operation",
                    "use put_route, remove_route, put_service, remove_service, start_move or "
                    "cancel_move");
    }
    return reader.finish() ? operation : std::nullopt;
}

json to_json(const move_record& record)
{
    return {{"spec", to_json(record.spec)},
            {"state", to_string(record.state)},
            {"reason", record.reason},
            {"previous_versions", record.previous_versions}};
}

json to_json(const patch_outcome& outcome)
{
    return {{"id", outcome.id},
            {"offset", outcome.offset},
            {"version", outcome.version},
            {"kind", to_string(outcome.reason.kind)},
            {"message", outcome.reason.message},
            {"remedy", outcome.reason.remedy}};
}

std::optional<move_state> parse_move_state(std::string_view name)
{
    for (const move_state state : {move_state::running, move_state::done, move_state::withdrawn})
    {
        if (to_string(state) == name)
        {
            return state;
        }
    }
    return std::nullopt;
}

std::optional<move_record> parse_move_record(const json& value, error& reason)
{
    constexpr error_kind kind = error_kind::internal;
    json_reader reader(value, "move", kind, reason);
    move_record record;
    const auto state = parse_move_state(reader.text("state"));
    if (!state)
    {
        reader.fail("state", "is not a move state", "use running, done or withdrawn");
    }
    record.state = state.value_or(move_state::running);
    record.reason = reader.text_or("reason", "");
    if (!reader.object("previous_versions").empty())
    {
        record.previous_versions = parse_shares(reader, "previous_versions");
    }
    json_reader spec(reader.object("spec"), "move spec", kind, reason);
    record.spec = parse_move_spec(spec, kind, reason);
    if (!spec.finish() || !reader.finish())
    {
        return std::nullopt;
    }
    return record;
}

patch_outcome parse_patch_outcome(const json& value, error& reason)
{
    json_reader reader(value, "patch outcome", error_kind::internal, reason);
    patch_outcome outcome;
    outcome.id = reader.text("id");
    outcome.offset = reader.unsigned_integer("offset");
    outcome.version = reader.unsigned_integer("version");
    outcome.reason.kind = parse_error_kind(reader.text("kind"));
    outcome.reason.message = reader.text_or("message", "");
    outcome.reason.remedy = reader.text_or("remedy", "");
    reader.finish();
    return outcome;
}

} // namespace

std::string_view to_string(move_state state)
{
    switch (state)
    {
    case move_state::running:
        return "running";
    case move_state::done:
        return "done";
    case move_state::withdrawn:
        return "withdrawn";
    }
    return "running";
}

std::optional<patch> parse_patch(std::string_view text, error& reason)
{
    const auto parsed = detail::parse_json(text, error_kind::invalid_patch, reason);
    if (!parsed)
    {
        return std::nullopt;
    }
    json_reader reader(*parsed, "patch", error_kind::invalid_patch, reason);
    reader.text_or("kind", "patch");
    patch change;
    change.id = reader.text("id");
    change.base = reader.unsigned_integer("base");
    change.created = reader.integer_or("created_ms", 0, 0, max_timestamp_ms);
    const json& operations = reader.array("ops");
    if (operations.empty())
    {
        reader.fail("ops", "has no operation", "list at least one operation");
    }
    if (!reader.finish())
    {
        return std::nullopt;
    }
    for (const json& value : operations)
    {
        auto operation = parse_operation(value, change.operations.size(), reason);
        if (!operation)
        {
            return std::nullopt;
        }
        change.operations.push_back(std::move(*operation));
    }
    return change;
}

std::string dump_patch(const patch& change)
{
    json operations = json::array();
    for (const patch_operation& operation : change.operations)
    {
        operations.push_back(to_json(operation));
    }
    return json{{"kind", "patch"},
                {"id", change.id},
                {"base", change.base},
                {"created_ms", change.created},
                {"ops", std::move(operations)}}
        .dump();
}

std::string dump_outcome(const move_outcome& outcome)
{
    return json{{"kind", "outcome"},
                {"move", outcome.move},
                {"state", to_string(outcome.state)},
                {"reason", outcome.reason}}
        .dump();
}

std::string dump_state(const config_state& state)
{
    json routes = json::array();
    for (const auto& [name, value] : state.routes)
    {
        routes.push_back(to_json(value));
    }
    json services = json::array();
    for (const auto& [name, value] : state.services)
    {
        services.push_back(to_json(value));
    }
    json moves = json::array();
    for (const auto& [id, value] : state.moves)
    {
        moves.push_back(to_json(value));
    }
    json patches = json::array();
    for (const patch_outcome& outcome : state.recent_patches)
    {
        patches.push_back(to_json(outcome));
    }
    json out{{"version", state.version},         {"next_offset", state.next_offset},
             {"routes", std::move(routes)},      {"services", std::move(services)},
             {"limits", to_json(state.limits)},  {"moves", std::move(moves)},
             {"ended_moves", state.ended_moves}, {"patches", std::move(patches)}};
    for (const auto& [name, value] : state.organisations)
    {
        out["organisations"].push_back(to_json(value));
    }
    if (!state.evacuated.empty())
    {
        out["evacuated"] = state.evacuated;
    }
    return out.dump();
}

std::optional<config_state> parse_state(std::string_view text, error& reason)
{
    constexpr error_kind kind = error_kind::internal;
    reason = {};
    const auto parsed = detail::parse_json(text, kind, reason);
    if (!parsed)
    {
        return std::nullopt;
    }
    json_reader reader(*parsed, "state", kind, reason);
    config_state state;
    state.version = reader.unsigned_integer("version");
    state.next_offset = reader.unsigned_integer("next_offset");
    state.routes = detail::parse_routes(reader, kind, reason);
    state.services = detail::parse_services(reader, kind, reason);
    // Snapshots written by earlier releases have no 'limits'.
    if (reader.has("limits"))
    {
        state.limits = detail::parse_limits(reader.object("limits"), kind, reason);
    }
    state.organisations = detail::parse_organisations(reader, kind, reason);
    if (reader.has("evacuated"))
    {
        for (const json& value : reader.array("evacuated"))
        {
            if (!value.is_string())
            {
                reader.fail("evacuated", "has a locality that is not a string",
                            "use an older snapshot");
                break;
            }
            state.evacuated.insert(value.get<std::string>());
        }
    }
    for (const json& value : reader.array("moves"))
    {
        auto parsed_move = parse_move_record(value, reason);
        if (!parsed_move)
        {
            return std::nullopt;
        }
        state.moves[parsed_move->spec.id] = std::move(*parsed_move);
    }
    for (const json& value : reader.array("ended_moves"))
    {
        state.ended_moves.push_back(value.is_string() ? value.get<std::string>() : "");
    }
    for (const json& value : reader.array("patches"))
    {
        state.recent_patches.push_back(parse_patch_outcome(value, reason));
    }
    if (!reader.finish() || reason.kind != error_kind::none)
    {
        return std::nullopt;
    }
    return state;
}

} // namespace sardinepoint
