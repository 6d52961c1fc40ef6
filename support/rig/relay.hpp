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
    /** Bytes are held back until the rule is removed. */
    hold,
    /** Only bytes from the target are held back: it receives but is not heard. */
    hold_responses,
    /** Existing and new connections are closed. */
    close,
    /** Bytes are forwarded after a delay. */
    delay,
    /** A text in the bytes from the target is replaced. */
    rewrite_responses,
};

/** Action applied to the traffic between two peers. */
struct relay_rule
{
    /** Source address of the connections; empty matches any. */
    std::string source;
    /** Name of the forward, which is the target's address by default. */
    std::string target;
    relay_action action = relay_action::hold;
    time_ms delay = 0;
    /** Text that rewrite_responses replaces; it must arrive in one piece. */
    std::string pattern = {};
    std::string replacement = {};
};

struct relay_connection;

/** TCP relay on an event loop that injects network faults between processes under test. */
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

/**
 * Opens a listener on the target's address that forwards to the target. Returns its port, or 0 if
 * it can't be opened.
 */
int add_forward(relay& self, const endpoint& target, std::string name = {});

/** Replaces all rules. */
void apply_rules(relay& self, std::vector<relay_rule> rules);

/** Closes the open connections of a forward with a TCP reset. */
void reset_connections(relay& self, const std::string& name);

/** Forwards nothing more on the open connections of a forward; new ones work. */
void silence_connections(relay& self, const std::string& name);

} // namespace sardinepoint::rig
