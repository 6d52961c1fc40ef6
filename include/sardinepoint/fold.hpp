#pragma once

#include "sardinepoint/config.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sardinepoint
{

/** One record of the platform's log. */
struct log_record
{
    std::uint64_t offset = 0;
    time_ms appended = 0;
    std::string body;
    /** A whole configuration that a platform's adapter has read already; the body is empty then. */
    std::optional<whole_config> decoded_config = {};
};

enum class fold_kind
{
    patch_accepted,
    patch_rejected,
    patch_repeated,
    move_ended,
    outcome_ignored,
    state_replaced,
    move_ordered,
    malformed,
    out_of_order,
};

/** What one record did to the state. */
struct fold_result
{
    fold_kind kind = fold_kind::malformed;
    /** Patch or move id, if the record has one. */
    std::string id;
    error reason;
};

std::string_view to_string(fold_kind kind);

/** Applies a patch whole, or returns nothing and the reason. */
std::optional<config_state> apply_patch(const config_state& state, const patch& change,
                                        error& reason);

/** Folds the record at state.next_offset; any other offset leaves the state unchanged. */
fold_result fold_record(config_state& state, const log_record& record);

/** Outcome of a recent patch, if this id was folded. */
const patch_outcome* find_patch_outcome(const config_state& state, std::string_view id);

/** A snapshot as the JSON text of a log record; equal states give equal texts. */
std::string make_snapshot(const config_state& state);

/** Restores a snapshot; rejects it whole if its digest doesn't match. */
std::optional<config_state> restore_snapshot(std::string_view json, error& reason);

} // namespace sardinepoint
