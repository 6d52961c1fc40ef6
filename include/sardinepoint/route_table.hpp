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

/** Routes by host for lookups on the request path; built anew for each configuration. */
struct route_table
{
    std::unordered_map<std::string, std::vector<route>> by_host;
};

route_table make_route_table(const config_state& state);

/** The route of the host with the longest prefix that begins the path, or null. */
const route* find_route(const route_table& table, std::string_view host, std::string_view path);

/** Credit that each service of a split has collected; calls go to the richest. */
struct split_credit
{
    std::vector<std::string> services;
    std::vector<double> credit;
};

/** Keeps the shares of split routes exact: each target collects credit for each call. */
struct split_credits
{
    std::map<std::string, split_credit, std::less<>> by_route;
};

/** The service for the next call of the route. A split of other services begins anew. */
const std::string& next_service(split_credits& credits, const route& matched,
                                std::mt19937_64& random);

/** Forgets the credit of routes that are no longer split. */
void remove_unsplit_routes(split_credits& credits, const config_state& state);

/** Lets through a part of the calls evenly, not by chance. */
struct share_credit
{
    double credit = 0;
};

/** Whether the next call belongs to a part of this many percent. */
bool select_by_share(share_credit& share, double percent);

} // namespace sardinepoint
