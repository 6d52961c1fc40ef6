#pragma once

#include "sardinepoint/core.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <limits>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace sardinepoint::detail
{

/** Parses JSON text; a syntax error becomes the reason. */
std::optional<nlohmann::json> parse_json(std::string_view text, error_kind kind, error& reason);

/**
 * Reads the members of a JSON object with type and range checks. The first failure is kept;
 * later reads return nothing. Unknown members are failures.
 */
class json_reader
{
public:
    json_reader(const nlohmann::json& value, std::string location, error_kind kind, error& reason);

    bool has(std::string_view key) const;

    std::string text(std::string_view key);
    std::string text_or(std::string_view key, std::string fallback);
    std::int64_t integer(std::string_view key, std::int64_t low, std::int64_t high);
    std::int64_t integer_or(std::string_view key, std::int64_t fallback, std::int64_t low,
                            std::int64_t high);
    std::uint64_t counter(std::string_view key);
    double number(std::string_view key, double low, double high);
    double number_or(std::string_view key, double fallback, double low, double high);
    bool boolean_or(std::string_view key, bool fallback);
    /** A member that is an array or an object; an empty value if it is missing or wrong. */
    const nlohmann::json& array(std::string_view key);
    const nlohmann::json& object(std::string_view key);

    /** Records a failure that names the key. */
    void fail(std::string_view key, std::string_view problem, std::string_view remedy);

    /** Whether everything was read without a failure and no unknown member is left. */
    bool finish();

    bool failed() const;

private:
    const nlohmann::json* find(std::string_view key);

    const nlohmann::json* value;
    std::string location;
    error_kind kind;
    error* reason;
    bool has_failed = false;
    std::set<std::string, std::less<>> known_keys;
};

} // namespace sardinepoint::detail
