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

/** Serialises a value. Bytes that are not UTF-8 are replaced; json::dump() would throw. */
std::string dump_json(const nlohmann::json& value);

/** Whether the text can be a JSON string without replacements. */
bool is_utf8(std::string_view text);

/** Parses JSON text; sets the reason and returns nullopt on a syntax error. */
std::optional<nlohmann::json> parse_json(std::string_view text, error_kind kind, error& reason);

/**
 * Reads the members of a JSON object with type and range checks. Only the first error is reported;
 * a member that fails its check is read as an empty, lowest or fallback value. Unknown members are
 * errors.
 */
class json_reader
{
public:
    /** The location names the object in error messages. */
    json_reader(const nlohmann::json& value, std::string location, error_kind kind, error& reason);

    bool has(std::string_view key) const;

    std::string text(std::string_view key);
    std::string text_or(std::string_view key, std::string fallback);
    std::int64_t integer(std::string_view key, std::int64_t low, std::int64_t high);
    std::int64_t integer_or(std::string_view key, std::int64_t fallback, std::int64_t low,
                            std::int64_t high);
    /** A whole number from 0 to the largest int64. */
    std::uint64_t unsigned_integer(std::string_view key);
    double number(std::string_view key, double low, double high);
    double number_or(std::string_view key, double fallback, double low, double high);
    bool boolean_or(std::string_view key, bool fallback);
    /** Returns an array or object member, or an empty one if it is missing or of another type. */
    const nlohmann::json& array(std::string_view key);
    const nlohmann::json& object(std::string_view key);

    /** Records an error about the key with its value, unless there was an error before. */
    void fail(std::string_view key, std::string_view problem, std::string_view remedy);

    /** Reports unknown members, and returns whether there was no error. */
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
