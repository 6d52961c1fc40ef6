#pragma once

#include "intake/budget.hpp"
#include "intake/limits.hpp"

#include "sardinepoint/event_loop.hpp"
#include "sardinepoint/metrics.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace sardinepoint::intake
{

/** Refusals of a listener for one reason; logged at most once per second. */
struct refusal_count
{
    std::uint64_t since_log = 0;
    time_ms logged_at = 0;
};

struct gate_listener
{
    listener_limits limits;
    /** Closes a connection of the listener. Must tolerate unknown connections. */
    std::function<void(std::uint64_t)> drop;
};

/** The process-wide state that all listeners share. Must outlive them. */
struct gate
{
    event_loop* loop = nullptr;
    metrics* stats = nullptr;
    byte_budget budget;
    std::vector<gate_listener> listeners;
    std::map<std::pair<std::size_t, std::string>, refusal_count> refusals;
    bool enforcing = false;
    bool enforcement_scheduled = false;
    timer_id report_timer;

    gate(event_loop& loop, metrics& stats, std::size_t max_bytes);
    ~gate();
    gate(const gate&) = delete;
    gate& operator=(const gate&) = delete;
};

/** A listener's access to the gate; without a gate all functions below do nothing. */
struct gate_handle
{
    intake::gate* gate = nullptr;
    std::size_t listener = 0;
};

/** How a listener is added to a gate. */
struct gate_options
{
    intake::gate* gate = nullptr;
    listener_limits limits;
};

gate_handle register_listener(const gate_options& options, std::function<void(std::uint64_t)> drop);
/** Removes the connections of a listener that is being closed. */
void unregister_listener(const gate_handle& handle);

void open_connection(const gate_handle& handle, std::uint64_t connection, std::uint32_t peer);
void close_connection(const gate_handle& handle, std::uint64_t connection);
void hold(const gate_handle& handle, std::uint64_t connection, std::size_t bytes);
void note_progress(const gate_handle& handle, std::uint64_t connection, time_ms now);
void note_completed(const gate_handle& handle, std::uint64_t connection);

/**
 * Closes connections until the budget holds. Must be called only where any connection of any
 * listener may be closed, e.g. at the end of an event handler.
 */
void enforce(const gate_handle& handle);
/** Enforces the budget in the next iteration of the event loop, if it is exceeded. */
void enforce_later(const gate_handle& handle);

/** Changes the limit on all bytes and that of each listener in proportion. */
void set_budget(gate& gate, std::size_t max_bytes);

/** Counts and logs a client that was refused or disconnected. */
void record_refusal(const gate_handle& handle, const std::string& reason);

} // namespace sardinepoint::intake
