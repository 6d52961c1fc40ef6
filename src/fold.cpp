#include "sardinepoint/fold.hpp"

#include "json_reader.hpp"

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

namespace sardinepoint
{

namespace
{

using detail::json_reader;
using nlohmann::json;

// At 11,000 patches a day this covers about two hours, far longer than the command-line tool
// retries a patch.
constexpr std::size_t max_recent_patches = 1024;
constexpr std::size_t max_ended_moves = 256;

error invalid_patch_error(std::string message, std::string remedy)
{
    return {error_kind::invalid_patch, std::move(message), std::move(remedy)};
}

bool service_has_running_move(const config_state& state, std::string_view service)
{
    return std::any_of(state.moves.begin(), state.moves.end(),
                       [service](const auto& entry)
                       {
                           const move_record& record = entry.second;
                           return record.state == move_state::running &&
                                  record.spec.service == service;
                       });
}

void end_move(config_state& state, move_record& record, move_state outcome, std::string reason)
{
    record.state = outcome;
    record.reason = std::move(reason);
    state.ended_moves.push_back(record.spec.id);
    while (state.ended_moves.size() > max_ended_moves)
    {
        state.moves.erase(state.ended_moves.front());
        state.ended_moves.pop_front();
    }
}

std::map<std::string, int> versions_after_move(const move_record& record)
{
    std::map<std::string, int> versions = record.previous_versions;
    const int share = versions[record.spec.from];
    versions.erase(record.spec.from);
    versions[record.spec.to] += share;
    return versions;
}

/** Applies the operations of a patch to a copy of the state. */
struct operation_applier
{
    config_state& state;
    const patch& change;
    error& reason;

    bool operator()(const put_route& op) const
    {
        for (const auto& [name, other] : this->state.routes)
        {
            if (name != op.value.name && other.prefix == op.value.prefix)
            {
                return this->reject("prefix '" + op.value.prefix + "' belongs to route '" + name +
                                        "' already",
                                    "choose another prefix or remove that route");
            }
        }
        this->state.routes[op.value.name] = op.value;
        return true;
    }

    bool operator()(const remove_route& op) const
    {
        if (this->state.routes.erase(op.name) == 0)
        {
            return this->reject("route '" + op.name + "' does not exist",
                                "see 'sardinepoint get' for the routes");
        }
        return true;
    }

    bool operator()(const put_service& op) const
    {
        if (service_has_running_move(this->state, op.value.name))
        {
            return this->reject("service '" + op.value.name + "' has a running move",
                                "cancel the move or wait for its end");
        }
        this->state.services[op.value.name] = op.value;
        return true;
    }

    bool operator()(const remove_service& op) const
    {
        if (service_has_running_move(this->state, op.name))
        {
            return this->reject("service '" + op.name + "' has a running move",
                                "cancel the move first");
        }
        if (this->state.services.erase(op.name) == 0)
        {
            return this->unknown_service(op.name);
        }
        return true;
    }

    bool operator()(const start_move& op) const
    {
        const auto service = this->state.services.find(op.value.service);
        if (service == this->state.services.end())
        {
            return this->unknown_service(op.value.service);
        }
        if (this->state.moves.contains(op.value.id))
        {
            return this->reject("move '" + op.value.id + "' exists already",
                                "choose a new move id");
        }
        if (service_has_running_move(this->state, op.value.service))
        {
            return this->reject("service '" + op.value.service + "' has a running move",
                                "cancel the move or wait for its end");
        }
        if (!service->second.versions.contains(op.value.from) || op.value.from == op.value.to)
        {
            return this->reject("version '" + op.value.from + "' is not a version of service '" +
                                    op.value.service + "' that can move to '" + op.value.to + "'",
                                "name a present version in 'from' and a different one in 'to'");
        }
        return this->add_move(op.value, service->second);
    }

    bool operator()(const cancel_move& op) const
    {
        const auto found = this->state.moves.find(op.id);
        if (found == this->state.moves.end() || found->second.state != move_state::running)
        {
            return this->reject("move '" + op.id + "' is not running",
                                "see 'sardinepoint status' for the running moves");
        }
        end_move(this->state, found->second, move_state::withdrawn, "cancelled by an operator");
        return true;
    }

    bool add_move(const move_spec& spec, const service_config& service) const
    {
        move_record record{.spec = spec};
        record.spec.start = this->change.created;
        record.previous_versions = service.versions;
        if (record.spec.deadline <= record.spec.start)
        {
            return this->reject(
                "key 'deadline_ms' has the value " + std::to_string(record.spec.deadline) +
                    ", which is not after the patch's time " + std::to_string(record.spec.start),
                "give a deadline in the future");
        }
        this->state.moves[spec.id] = std::move(record);
        return true;
    }

    bool unknown_service(const std::string& name) const
    {
        this->reason = {error_kind::unknown_service, "service '" + name + "' does not exist",
                        "add it with put_service or correct the name"};
        return false;
    }

    bool reject(std::string message, std::string remedy) const
    {
        this->reason = invalid_patch_error(std::move(message), std::move(remedy));
        return false;
    }
};

void record_patch_outcome(config_state& state, const patch& change, std::uint64_t offset,
                          const error& reason)
{
    state.recent_patches.push_back(
        {.id = change.id, .offset = offset, .version = state.version, .reason = reason});
    if (state.recent_patches.size() > max_recent_patches)
    {
        state.recent_patches.pop_front();
    }
}

fold_result fold_patch(config_state& state, const log_record& record)
{
    fold_result result;
    const auto change = parse_patch(record.body, result.reason);
    if (!change)
    {
        result.kind = fold_kind::malformed;
        return result;
    }
    result.id = change->id;
    if (find_patch_outcome(state, change->id) != nullptr)
    {
        result.kind = fold_kind::patch_repeated;
        return result;
    }
    auto next = apply_patch(state, *change, result.reason);
    if (next)
    {
        state = std::move(*next);
    }
    record_patch_outcome(state, *change, record.offset, result.reason);
    result.kind = next ? fold_kind::patch_accepted : fold_kind::patch_rejected;
    return result;
}

/** Whether an outcome still changes the move. A completed move may be withdrawn as long as the
 * service has the shares of the completion and no other running move. */
bool outcome_applies(const config_state& state, const move_record& record, move_state outcome)
{
    if (record.state == move_state::running)
    {
        return outcome != move_state::running;
    }
    if (record.state != move_state::done || outcome != move_state::withdrawn)
    {
        return false;
    }
    const auto service = state.services.find(record.spec.service);
    return service != state.services.end() &&
           service->second.versions == versions_after_move(record) &&
           !service_has_running_move(state, record.spec.service);
}

void apply_outcome(config_state& state, move_record& record, const move_outcome& outcome)
{
    auto& versions = state.services[record.spec.service].versions;
    versions =
        outcome.state == move_state::done ? versions_after_move(record) : record.previous_versions;
    if (record.state == move_state::running)
    {
        end_move(state, record, outcome.state, outcome.reason);
        return;
    }
    record.state = outcome.state;
    record.reason = outcome.reason;
}

fold_result fold_outcome(config_state& state, const json& body)
{
    fold_result result;
    json_reader reader(body, "outcome", error_kind::invalid_patch, result.reason);
    reader.text("kind");
    move_outcome outcome;
    outcome.move = reader.text("move");
    const std::string state_name = reader.text("state");
    outcome.reason = reader.text_or("reason", "");
    if (state_name != "done" && state_name != "withdrawn")
    {
        reader.fail("state", "is not a final state of a move", "use done or withdrawn");
    }
    if (!reader.finish())
    {
        return result;
    }
    outcome.state = state_name == "done" ? move_state::done : move_state::withdrawn;
    result.id = outcome.move;
    const auto found = state.moves.find(outcome.move);
    if (found == state.moves.end() || !outcome_applies(state, found->second, outcome.state))
    {
        result.kind = fold_kind::outcome_ignored;
        return result;
    }
    apply_outcome(state, found->second, outcome);
    result.kind = fold_kind::move_ended;
    return result;
}

fold_result fold_whole_config(config_state& state, whole_config next)
{
    fold_result result{.id = std::to_string(next.version)};
    if (next.version <= state.version)
    {
        result.kind = fold_kind::outcome_ignored;
        result.reason = invalid_patch_error("version " + result.id + " is not newer than version " +
                                                std::to_string(state.version),
                                            "publish with a higher version");
        return result;
    }
    state.version = next.version;
    state.routes = std::move(next.routes);
    state.services = std::move(next.services);
    state.limits = next.limits;
    state.organisations = std::move(next.organisations);
    result.kind = fold_kind::state_replaced;
    return result;
}

/** Applies a whole configuration from the log; an invalid one leaves the state unchanged. */
fold_result validate_and_fold_config(config_state& state, whole_config next)
{
    error reason;
    return check_routes(next.routes, next.services, reason) &&
                   check_organisations(next.organisations, reason)
               ? fold_whole_config(state, std::move(next))
               : fold_result{.reason = reason};
}

fold_result fold_whole_record(config_state& state, const log_record& record)
{
    error reason;
    auto next = parse_whole_config(record.body, reason);
    return next ? validate_and_fold_config(state, std::move(*next)) : fold_result{.reason = reason};
}

/** Applies a delta whose base is the state's version. Any other delta is reported as out of order,
 * so that the record itself is read from the log. */
fold_result fold_delta(config_state& state, std::string_view text)
{
    fold_result result;
    const auto delta = parse_delta(text, result.reason);
    if (!delta)
    {
        return result;
    }
    if (delta->base != state.version)
    {
        result.kind = fold_kind::out_of_order;
        result.reason =
            invalid_patch_error("the delta applies to version " + std::to_string(delta->base) +
                                    ", but the state has version " + std::to_string(state.version),
                                "read the record from the log");
        return result;
    }
    return fold_whole_config(state, apply_delta(state, *delta));
}

/** A corrupt packed delta is reported as out of order too. */
fold_result fold_packed_delta(config_state& state, const log_record& record)
{
    fold_result result{.kind = fold_kind::out_of_order};
    const auto text = unpack_delta(record.body, result.reason);
    return text ? fold_delta(state, *text) : result;
}

fold_result fold_order(config_state& state, const log_record& record)
{
    fold_result result;
    const auto order = parse_order(record.body, result.reason);
    if (!order)
    {
        return result;
    }
    move_record move = make_ordered_move(*order, record.offset, record.appended);
    result.id = move.spec.id;
    state.moves[move.spec.id] = std::move(move);
    result.kind = fold_kind::move_ordered;
    return result;
}

fold_result fold_evacuation(config_state& state, const log_record& record)
{
    fold_result result;
    const auto order = parse_evacuation(record.body, result.reason);
    if (!order)
    {
        return result;
    }
    if (order->active)
    {
        state.evacuated.insert(order->locality);
    }
    else
    {
        state.evacuated.erase(order->locality);
    }
    result.id = order->locality;
    result.kind = fold_kind::evacuation_set;
    return result;
}

/** Applies the next record according to the kind that its body names. */
fold_result fold_body(config_state& state, const log_record& record)
{
    fold_result result;
    const json body = json::parse(record.body, nullptr, false);
    if (!body.is_object() || !body.contains("kind") || !body["kind"].is_string())
    {
        result.reason = invalid_patch_error("the record is not a JSON object with a string 'kind'",
                                            "publish with the sardinepoint tool only");
        return result;
    }
    const std::string kind = body["kind"].get<std::string>();
    if (kind == "patch")
    {
        return fold_patch(state, record);
    }
    if (kind == "outcome")
    {
        return fold_outcome(state, body);
    }
    if (kind == "whole")
    {
        return fold_whole_record(state, record);
    }
    if (kind == "delta")
    {
        return fold_delta(state, record.body);
    }
    if (kind == "packed")
    {
        return fold_packed_delta(state, record);
    }
    if (kind == "order")
    {
        return fold_order(state, record);
    }
    if (kind == "evacuation")
    {
        return fold_evacuation(state, record);
    }
    if (kind == "foreign")
    {
        // A record of another writer, which doesn't concern the configuration.
        result.kind = fold_kind::outcome_ignored;
        return result;
    }
    result.reason = invalid_patch_error("key 'kind' has the unknown value '" + kind + "'",
                                        "publish with the sardinepoint tool only");
    return result;
}

std::string compute_digest(std::string_view text)
{
    const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
    std::array<char, 33> buffer{};
    std::snprintf(buffer.data(), buffer.size(), "%016llx%016llx",
                  static_cast<unsigned long long>(hash.high64),
                  static_cast<unsigned long long>(hash.low64));
    return buffer.data();
}

} // namespace

std::string_view to_string(fold_kind kind)
{
    switch (kind)
    {
    case fold_kind::patch_accepted:
        return "patch_accepted";
    case fold_kind::patch_rejected:
        return "patch_rejected";
    case fold_kind::patch_repeated:
        return "patch_repeated";
    case fold_kind::move_ended:
        return "move_ended";
    case fold_kind::outcome_ignored:
        return "outcome_ignored";
    case fold_kind::state_replaced:
        return "state_replaced";
    case fold_kind::move_ordered:
        return "move_ordered";
    case fold_kind::evacuation_set:
        return "evacuation_set";
    case fold_kind::malformed:
        return "malformed";
    case fold_kind::out_of_order:
        return "out_of_order";
    }
    return "malformed";
}

std::optional<config_state> apply_patch(const config_state& state, const patch& change,
                                        error& reason)
{
    if (change.base != state.version)
    {
        reason = {error_kind::stale_version,
                  "key 'base' has the value " + std::to_string(change.base) +
                      " but the current version is " + std::to_string(state.version),
                  "read the current version with 'sardinepoint get' and submit against it"};
        return std::nullopt;
    }
    config_state next = state;
    for (const patch_operation& operation : change.operations)
    {
        if (!std::visit(operation_applier{next, change, reason}, operation))
        {
            return std::nullopt;
        }
    }
    if (!check_routes(next.routes, next.services, reason))
    {
        return std::nullopt;
    }
    ++next.version;
    return next;
}

fold_result fold_record(config_state& state, const log_record& record)
{
    if (record.offset != state.next_offset)
    {
        return {.kind = fold_kind::out_of_order};
    }
    fold_result result = record.decoded_config
                             ? validate_and_fold_config(state, *record.decoded_config)
                             : fold_body(state, record);
    if (result.kind != fold_kind::out_of_order)
    {
        ++state.next_offset;
    }
    return result;
}

const patch_outcome* find_patch_outcome(const config_state& state, std::string_view id)
{
    const auto found = std::find_if(state.recent_patches.begin(), state.recent_patches.end(),
                                    [id](const patch_outcome& known) { return known.id == id; });
    return found == state.recent_patches.end() ? nullptr : &*found;
}

std::string make_snapshot(const config_state& state)
{
    const std::string text = dump_state(state);
    return json{{"kind", "snapshot"}, {"digest", compute_digest(text)}, {"state", text}}.dump();
}

std::optional<config_state> restore_snapshot(std::string_view text, error& reason)
{
    const auto parsed = detail::parse_json(text, error_kind::internal, reason);
    if (!parsed)
    {
        return std::nullopt;
    }
    json_reader reader(*parsed, "snapshot", error_kind::internal, reason);
    reader.text("kind");
    const std::string digest = reader.text("digest");
    const std::string state = reader.text("state");
    if (!reader.finish())
    {
        return std::nullopt;
    }
    if (digest != compute_digest(state))
    {
        reason = {error_kind::internal, "the snapshot's digest doesn't match its state",
                  "use an older snapshot"};
        return std::nullopt;
    }
    return parse_state(state, reason);
}

} // namespace sardinepoint
