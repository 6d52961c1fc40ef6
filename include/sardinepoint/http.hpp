#pragma once

#include "sardinepoint/core.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sardinepoint
{

struct http_header
{
    std::string name;
    std::string value;
};

/** A complete request. `target` is the raw path with the query string. */
struct http_request
{
    std::string method;
    std::string target;
    std::vector<http_header> headers;
    std::string body;
    /**
     * Earliest time at which the request may have arrived, in microseconds on the steady clock; 0
     * if unknown.
     */
    std::int64_t arrived_us = 0;
};

struct http_response
{
    int status = 200;
    std::vector<http_header> headers;
    std::string body;
};

/** Value of the first header with this name, ignoring case. */
std::optional<std::string_view> find_header(std::span<const http_header> headers,
                                            std::string_view name);

/** Replaces all headers with this name by a single one. */
void set_header(std::vector<http_header>& headers, std::string_view name, std::string value);

/** Removes all headers with this name. */
void remove_header(std::vector<http_header>& headers, std::string_view name);

/** Compares two header names, ignoring case. */
bool equal_header_name(std::string_view left, std::string_view right);

/** Removes the hop-by-hop headers, including those listed in Connection. Host is kept. */
void strip_connection_headers(std::vector<http_header>& headers);

/** Removes the headers that daemons exchange with each other (`Sardinepoint-*`). */
void strip_internal_headers(std::vector<http_header>& headers);

/** Path part of a request target. */
std::string_view path_of(std::string_view target);

/** Decoded value of a query parameter. */
std::optional<std::string> query_parameter(std::string_view target, std::string_view name);

/** Query parameter as a non-negative integer, or the fallback if it is missing or invalid. */
std::int64_t query_integer(std::string_view target, std::string_view name, std::int64_t fallback);

/** Parses a non-negative decimal integer; empty if the text is anything else. */
std::optional<std::int64_t> parse_integer(std::string_view text);

/** A response with a JSON body. */
http_response json_response(int status, std::string body);

/** A response with the standard JSON body for an error. */
http_response error_response(int status, const error& reason);

} // namespace sardinepoint
