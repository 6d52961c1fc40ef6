#include "patch_submission.hpp"

#include "json_reader.hpp"
#include "replica.hpp"

#include "sardinepoint/logging.hpp"

#include <nlohmann/json.hpp>

#include <utility>

namespace sardinepoint
{

namespace
{

using nlohmann::json;

constexpr time_ms read_back_timeout_ms = 3000;
constexpr time_ms read_back_interval_ms = 10;
// Number of waits after which the log is read once more: a long poll that was sent during an outage
// of the log may get no response after the outage.
constexpr int waits_before_extra_read = 30;

using response_callback = std::function<void(http_response)>;

int http_status_of(error_kind kind)
{
    switch (kind)
    {
    case error_kind::stale_version:
        return 409;
    case error_kind::log_unavailable:
    case error_kind::not_ready:
        return 503;
    case error_kind::outcome_unknown:
        return 504;
    default:
        return 400;
    }
}

http_response rejection_response(const error& reason)
{
    return error_response(http_status_of(reason.kind), reason);
}

http_response outcome_response(const patch_outcome& outcome)
{
    if (outcome.reason.kind != error_kind::none)
    {
        return rejection_response(outcome.reason);
    }
    const json body{{"result", "accepted"},
                    {"id", outcome.id},
                    {"version", outcome.version},
                    {"offset", outcome.offset}};
    return json_response(200, detail::dump_json(body));
}

error unknown_outcome_error(const std::string& id, const std::string& why)
{
    return {error_kind::outcome_unknown,
            "it is not known whether patch '" + id + "' was accepted: " + why,
            "submit it again with the same id"};
}

/** Responds once this daemon has applied the patch's record, or when the deadline has passed;
 * `wait_count` is the number of waits so far. */
void await_fold(node& self, const std::string& id, time_ms deadline, int wait_count,
                const response_callback& respond)
{
    if (const patch_outcome* outcome = find_patch_outcome(self.config_replica.state, id))
    {
        respond(outcome_response(*outcome));
        return;
    }
    if (steady_now() >= deadline)
    {
        respond(
            rejection_response(unknown_outcome_error(id, "its record was not read back in time")));
        return;
    }
    if (wait_count % waits_before_extra_read == waits_before_extra_read - 1)
    {
        read_during_poll(self);
    }
    run_after(*self.loop, read_back_interval_ms,
              [&self, id, deadline, wait_count, respond]
              { await_fold(self, id, deadline, wait_count + 1, respond); });
}

void handle_append_result(node& self, const std::string& id, const append_result& result,
                          const response_callback& respond)
{
    log_event(log_level::info, "patch_appended",
              {{"id", id},
               {"outcome", to_string(result.outcome)},
               {"offset", result.offset},
               {"reason", result.reason}});
    if (result.outcome == append_outcome::refused)
    {
        respond(rejection_response({error_kind::log_unavailable,
                                    "the log refused the patch: " + result.reason,
                                    "submit it again when the log is available"}));
        return;
    }
    // If the response of the append was lost, the record may still be written, so both cases wait.
    request_read(self);
    await_fold(self, id, steady_now() + read_back_timeout_ms, 0, respond);
}

bool check_deadlines(const patch& change, error& reason)
{
    for (const patch_operation& operation : change.operations)
    {
        const auto* move = std::get_if<start_move>(&operation);
        if (move != nullptr && move->value.deadline <= wall_now())
        {
            reason = {error_kind::invalid_patch,
                      "key 'deadline_ms' has the value " + std::to_string(move->value.deadline) +
                          ", which has passed",
                      "give a deadline in the future, in milliseconds since the Unix epoch"};
            return false;
        }
    }
    return true;
}

} // namespace

void submit_patch(node& self, std::string_view text, bool dry_run,
                  std::function<void(http_response)> respond)
{
    error reason;
    auto change = parse_patch(text, reason);
    if (!change)
    {
        respond(rejection_response(reason));
        return;
    }
    const replica& config = self.config_replica;
    if (!config.ready || self.leaving)
    {
        respond(rejection_response({error_kind::not_ready,
                                    "this daemon is not ready: " + config.not_ready_reason,
                                    "submit to another daemon or wait"}));
        return;
    }
    if (const patch_outcome* outcome = find_patch_outcome(config.state, change->id))
    {
        respond(outcome_response(*outcome));
        return;
    }
    if (change->created == 0)
    {
        change->created = wall_now();
    }
    // A base version newer than this daemon's may be valid, so it is checked when the record is
    // applied. A dry run can only be checked against this daemon's version.
    const bool base_is_newer = !dry_run && change->base > config.state.version;
    if (!check_deadlines(*change, reason) ||
        (!base_is_newer && !apply_patch(config.state, *change, reason)))
    {
        log_event(log_level::info, "patch_refused",
                  {{"id", change->id}, {"reason", reason.message}});
        respond(rejection_response(reason));
        return;
    }
    if (dry_run)
    {
        const json body{{"result", "valid"}, {"id", change->id}, {"version", config.state.version}};
        respond(json_response(200, detail::dump_json(body)));
        return;
    }
    append_record(
        self.log, config_stream, dump_patch(*change),
        [&self, id = change->id, respond = std::move(respond)](const append_result& result)
        { handle_append_result(self, id, result, respond); });
}

} // namespace sardinepoint
