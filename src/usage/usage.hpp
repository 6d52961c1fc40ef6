#pragma once

#include "node.hpp"
#include "usage/ledger.hpp"
#include "usage/wallet.hpp"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>

namespace sardinepoint
{

struct outbound_call;

/** Milliseconds of CLOCK_BOOTTIME, which goes on while the VM is suspended. */
time_ms boot_now();

/** A call that waits for a token of its organisation. */
struct usage_waiter
{
    std::uint64_t call = 0;
    /** Sequence number of the first message whose answer decides on the call. */
    std::uint64_t decided_by = 0;
};

/** Why a call gets no token. */
struct usage_refusal
{
    std::string reason;
    time_ms retry_after = 0;
};

/** Calls that waited for a token are passed on, or refused if the refusal isn't null. */
using usage_decision =
    std::function<void(node& self, std::uint64_t call, const usage_refusal* refusal)>;

/** Usage limits of a sidecar. Without limited organisations, it holds no accounts and no ledger. */
struct usage_runtime
{
    usage_decision decide;
    bool limited = false;
    usage_wallet wallet;
    usage_ledger ledger;
    std::map<std::string, std::deque<usage_waiter>, std::less<>> waiters;
    timer_id regular_timer;
    time_ms regular_due = 0;
    int logged_support_percent = -1;
    time_ms logged_at = 0;
    bool logged_silence = false;
};

/** Sets up the usage limits when the daemon starts. */
void open_usage(node& self, usage_decision decide);

/** Applies the organisations of the current configuration. */
void refresh_usage(node& self);

/**
 * Takes a token for a call that passed the key check. Returns whether the call may be offered; else
 * the decision follows by usage_runtime::decide, possibly before this function returns.
 */
bool admit_usage(node& self, outbound_call& call);

/** Puts back the token, if any, of a call that did not run. */
void return_usage(node& self, outbound_call& call);

/** Handles another daemon's usage message and returns the answer. */
nlohmann::json handle_usage(node& self, const nlohmann::json& body);

} // namespace sardinepoint
