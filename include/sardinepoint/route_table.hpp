#pragma once

#include "sardinepoint/config.hpp"

#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace sardinepoint
{

/** Routes by host for lookups on the request path; rebuilt for each configuration. */
struct route_table
{
    std::unordered_map<std::string, std::vector<route>> by_host;
};

route_table make_route_table(const config_state& state);

/** Returns the host's route with the longest prefix of the path, or null. */
const route* find_route(const route_table& table, std::string_view host, std::string_view path);

/** Credit of each service of a split; the next call goes to the one with the most credit. */
struct split_credit
{
    std::vector<std::string> services;
    std::vector<double> credit;
};

/**
 * Credits of all split routes. Each target earns credit by its weight for every call (smooth
 * weighted round-robin), which keeps the shares exact.
 */
struct split_credits
{
    std::map<std::string, split_credit, std::less<>> by_route;
};

/**
 * The service for the next call of the route. A split between other services than before starts
 * anew.
 */
const std::string& next_service(split_credits& credits, const route& matched,
                                std::mt19937_64& random);

/** Removes the credits of routes that are no longer split. */
void remove_unsplit_routes(split_credits& credits, const config_state& state);

/**
 * Credit of a share of the calls. Each unit of credit selects one call, at a random position: a
 * selection at even intervals picks the same phase of calls that differ periodically.
 */
struct share_credit
{
    double credit = 0;
    /** Credit at which the present unit selects its call, 1 if it has; empty before the first. */
    std::optional<double> next;
    /** Selections that are due. */
    int due = 0;
};

/** Whether the next call belongs to a share of the given percentage. */
bool select_by_share(share_credit& share, double percent, std::mt19937_64& random);

} // namespace sardinepoint
