#pragma once

#include "sardinepoint/event_loop.hpp"
#include "sardinepoint/settings.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace sardinepoint::rig
{

enum class relay_action
{
    /** Bytes wait until the rule is gone. */
    hold,
    /** The same for those from the target only: it hears but isn't heard. */
    hold_responses,
    /** Connections are closed, new ones too. */
    close,
    /** Bytes are passed on later. */
    delay,
};

/** What happens to the traffic between two peers. */
struct relay_rule
{
    /** Address that connections come from; empty means any. */
    std::string source;
    /** Name of the forward, by default the target's address. */
    std::string target;
    relay_action action = relay_action::hold;
    time_ms delay = 0;
};

struct relay_connection;

/** TCP relay on an event loop, for failures of the network between processes of a rig. */
struct relay
{
    event_loop* loop = nullptr;
    std::vector<relay_rule> rules;
    std::vector<int> listeners;
    std::map<std::uint64_t, std::unique_ptr<relay_connection>> connections;
    std::uint64_t last_connection = 0;

    explicit relay(event_loop& loop);
    ~relay();
    relay(const relay&) = delete;
    relay& operator=(const relay&) = delete;
};

/** Opens a listener on the target's address that forwards to the target; returns its port, 0 if
 * there is none. */
int add_forward(relay& self, const endpoint& target, std::string name = {});

/** Replaces all rules. */
void apply_rules(relay& self, std::vector<relay_rule> rules);

/** Resets the open connections of a forward. */
void reset_connections(relay& self, const std::string& name);

} // namespace sardinepoint::rig
