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
    /** A whole configuration already decoded by the platform adapter; the body is then empty. */
    std::optional<whole_config> decoded_config = {};
};

enum class fold_kind
{
    patch_accepted,
    patch_rejected,
    /** The outcome of an earlier patch with the same id stands. */
    patch_repeated,
    move_ended,
    /** A record without effect: an outcome that no longer changes its move, a whole configuration
     * that isn't newer than the state, or a record that doesn't concern the configuration. */
    outcome_ignored,
    /** A newer whole configuration was applied. */
    state_replaced,
    move_ordered,
    /** A locality was evacuated or its evacuation ended, perhaps not for the first time. */
    evacuation_set,
    malformed,
    /** The record can't be applied to this state, which is unchanged; see fold_record. */
    out_of_order,
};

/** Effect of one record on the state. */
struct fold_result
{
    fold_kind kind = fold_kind::malformed;
    /** Id of the patch or move, version of the whole configuration, or locality; empty if there is
     * none. */
    std::string id;
    error reason;
};

std::string_view to_string(fold_kind kind);

/** Returns the state after all operations of the patch, or nothing and the reason if one of them
 * is invalid. */
std::optional<config_state> apply_patch(const config_state& state, const patch& change,
                                        error& reason);

/** Applies the record at state.next_offset. A record at any other offset is out of order, and so is
 * a delta that is based on another version or whose packed text is corrupt. */
fold_result fold_record(config_state& state, const log_record& record);

/** Finds the outcome of a recent patch; null if no patch with this id is remembered. */
const patch_outcome* find_patch_outcome(const config_state& state, std::string_view id);

/** Serialises the state as the JSON text of a snapshot record; equal states give equal texts. */
std::string make_snapshot(const config_state& state);

/** Parses a snapshot; returns nothing if it is malformed or its digest doesn't match its state. */
std::optional<config_state> restore_snapshot(std::string_view json, error& reason);

} // namespace sardinepoint
