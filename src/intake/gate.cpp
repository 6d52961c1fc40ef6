#include "intake/gate.hpp"

#include "sardinepoint/logging.hpp"

namespace sardinepoint::intake
{

namespace
{

constexpr time_ms report_interval_ms = 1000;

void log_refusals(gate& gate, time_ms now)
{
    for (auto& [key, refusals] : gate.refusals)
    {
        if (refusals.since_log == 0 || now - refusals.logged_at < report_interval_ms)
        {
            continue;
        }
        log_event(log_level::warning, "intake_refused",
                  {{"listener", gate.listeners[key.first].limits.name},
                   {"reason", key.second},
                   {"clients", refusals.since_log},
                   {"held_bytes", static_cast<std::uint64_t>(gate.budget.bytes)},
                   {"max_bytes", static_cast<std::uint64_t>(gate.budget.max_bytes)},
                   {"listener_bytes",
                    static_cast<std::uint64_t>(gate.budget.listeners[key.first].bytes)}});
        refusals = {.logged_at = now};
    }
}

void report(gate& gate)
{
    log_refusals(gate, steady_now());
    set_gauge(*gate.stats, "intake_held_bytes", static_cast<double>(gate.budget.bytes));
    set_gauge(*gate.stats, "intake_max_bytes", static_cast<double>(gate.budget.max_bytes));
    std::vector<std::size_t> connections(gate.listeners.size());
    for (const auto& [key, account] : gate.budget.connections)
    {
        ++connections[key.listener];
    }
    for (std::size_t i = 0; i < connections.size(); ++i)
    {
        const std::string label = "{listener=\"" + gate.listeners[i].limits.name + "\"}";
        set_gauge(*gate.stats, "intake_connections" + label, static_cast<double>(connections[i]));
        set_gauge(*gate.stats, "intake_listener_bytes" + label,
                  static_cast<double>(gate.budget.listeners[i].bytes));
    }
}

connection_key key_of(const gate_handle& handle, std::uint64_t connection)
{
    return {.listener = handle.listener, .connection = connection};
}

} // namespace

gate::gate(event_loop& loop, metrics& stats, std::size_t max_bytes)
    : loop(&loop), stats(&stats), budget{.max_bytes = max_bytes}
{
    this->report_timer = run_every(loop, report_interval_ms, [this] { report(*this); });
}

gate::~gate()
{
    cancel_timer(*this->loop, this->report_timer);
}

gate_handle register_listener(const gate_options& options, std::function<void(std::uint64_t)> drop)
{
    if (options.gate == nullptr)
    {
        return {};
    }
    const std::size_t index = add_listener(options.gate->budget, options.limits.max_bytes);
    options.gate->listeners.push_back({options.limits, std::move(drop)});
    return {options.gate, index};
}

void unregister_listener(const gate_handle& handle)
{
    if (handle.gate != nullptr)
    {
        handle.gate->listeners[handle.listener].drop = {};
    }
}

void open_connection(const gate_handle& handle, std::uint64_t connection, std::uint32_t peer)
{
    if (handle.gate != nullptr)
    {
        add_connection(handle.gate->budget, key_of(handle, connection), peer, steady_now());
    }
}

void close_connection(const gate_handle& handle, std::uint64_t connection)
{
    if (handle.gate != nullptr)
    {
        remove_connection(handle.gate->budget, key_of(handle, connection));
    }
}

void hold(const gate_handle& handle, std::uint64_t connection, std::size_t bytes)
{
    if (handle.gate != nullptr)
    {
        set_held_bytes(handle.gate->budget, key_of(handle, connection), bytes);
    }
}

void note_progress(const gate_handle& handle, std::uint64_t connection, time_ms now)
{
    if (handle.gate != nullptr)
    {
        record_progress(handle.gate->budget, key_of(handle, connection), now);
    }
}

void note_completed(const gate_handle& handle, std::uint64_t connection)
{
    if (handle.gate != nullptr)
    {
        record_completed(handle.gate->budget, key_of(handle, connection));
    }
}

void enforce(const gate_handle& handle)
{
    // Closing a connection may cancel calls and so change what others hold.
    if (handle.gate == nullptr || handle.gate->enforcing || !is_exceeded(handle.gate->budget))
    {
        return;
    }
    gate& gate = *handle.gate;
    gate.enforcing = true;
    for (const connection_key& key : choose_to_shed(gate.budget, steady_now()))
    {
        record_refusal({&gate, key.listener}, "memory");
        if (gate.listeners[key.listener].drop)
        {
            gate.listeners[key.listener].drop(key.connection);
        }
    }
    gate.enforcing = false;
}

void enforce_later(const gate_handle& handle)
{
    if (handle.gate == nullptr || handle.gate->enforcement_scheduled ||
        !is_exceeded(handle.gate->budget))
    {
        return;
    }
    handle.gate->enforcement_scheduled = true;
    run_after(*handle.gate->loop, 0,
              [handle]
              {
                  handle.gate->enforcement_scheduled = false;
                  enforce(handle);
              });
}

void set_budget(gate& gate, std::size_t max_bytes)
{
    if (gate.budget.max_bytes == max_bytes || gate.budget.max_bytes == 0)
    {
        return;
    }
    const double factor =
        static_cast<double>(max_bytes) / static_cast<double>(gate.budget.max_bytes);
    for (listener_account& listener : gate.budget.listeners)
    {
        listener.max_bytes =
            static_cast<std::size_t>(static_cast<double>(listener.max_bytes) * factor);
    }
    gate.budget.max_bytes = max_bytes;
}

void record_refusal(const gate_handle& handle, const std::string& reason)
{
    if (handle.gate == nullptr)
    {
        return;
    }
    gate& gate = *handle.gate;
    count(*gate.stats, "intake_refused{listener=\"" + gate.listeners[handle.listener].limits.name +
                           "\",reason=\"" + reason + "\"}");
    ++gate.refusals[{handle.listener, reason}].since_log;
    log_refusals(gate, steady_now());
}

} // namespace sardinepoint::intake
