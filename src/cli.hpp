#pragma once

#include "sardinepoint/core.hpp"
#include "sardinepoint/http_client.hpp"
#include "sardinepoint/settings.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sardinepoint
{

/** Options shared by all commands. */
struct cli_options
{
    std::vector<endpoint> daemons;
    bool json = false;
    time_ms timeout = 10000;
};

struct patch_command
{
    std::string file;
    /** Version that the patch was made against; replaces the base in the file. */
    std::optional<std::uint64_t> base;
    /** Patch id; if empty, the file's id or a random one is used. */
    std::string id;
    /** Only validates the patch against the daemon's current configuration. */
    bool dry_run = false;
};

struct drain_command
{
    std::string member;
    bool undo = false;
};

/** Exit status of the watch command if the move was withdrawn. */
inline constexpr int withdrawn_exit_status = 13;

/** Returns the tool's exit status for an error kind; 0 for none. */
int exit_status(error_kind kind);

int run_patch(const cli_options& options, const patch_command& command);
int run_status(const cli_options& options);
int run_get(const cli_options& options);
int run_watch(const cli_options& options, const std::string& move);
int run_drain(const cli_options& options, const drain_command& command);

/** Prints an error as text or as JSON and returns its exit status. */
int report_error(const cli_options& options, const error& reason);

} // namespace sardinepoint
