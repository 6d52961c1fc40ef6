#include "json_reader.hpp"

namespace sardinepoint::detail
{

namespace
{

constexpr std::size_t max_shown_value_bytes = 60;

const nlohmann::json empty_array = nlohmann::json::array();
const nlohmann::json empty_object = nlohmann::json::object();

std::string truncated_dump(const nlohmann::json& value)
{
    std::string text = dump_json(value);
    if (text.size() > max_shown_value_bytes)
    {
        text.resize(max_shown_value_bytes);
        text += "...";
    }
    return text;
}

} // namespace

std::string dump_json(const nlohmann::json& value)
{
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

bool is_utf8(std::string_view text)
{
    try
    {
        // Strict serialisation is the only check that the library offers.
        static_cast<void>(nlohmann::json(text).dump());
        return true;
    }
    catch (const nlohmann::json::type_error&)
    {
        return false;
    }
}

std::optional<nlohmann::json> parse_json(std::string_view text, error_kind kind, error& reason)
{
    nlohmann::json parsed = nlohmann::json::parse(text, nullptr, false);
    if (parsed.is_discarded())
    {
        reason = {kind, "the text is not valid JSON", "check quotes, commas and brackets"};
        return std::nullopt;
    }
    return parsed;
}

json_reader::json_reader(const nlohmann::json& value, std::string location, error_kind kind,
                         error& reason)
    : value(&value), location(std::move(location)), kind(kind), reason(&reason)
{
    if (!value.is_object())
    {
        this->has_failed = true;
        reason = {kind, this->location + " is " + truncated_dump(value) + ", not an object",
                  "write it as {\"key\": value, ...}"};
        this->value = &empty_object;
    }
}

bool json_reader::has(std::string_view key) const
{
    return this->value->contains(key);
}

const nlohmann::json* json_reader::find(std::string_view key)
{
    this->known_keys.emplace(key);
    const auto found = this->value->find(key);
    return found == this->value->end() ? nullptr : &*found;
}

void json_reader::fail(std::string_view key, std::string_view problem, std::string_view remedy)
{
    if (this->has_failed)
    {
        return;
    }
    this->has_failed = true;
    std::string message = this->location + ": key '" + std::string(key) + "' ";
    const auto found = this->value->find(key);
    if (found != this->value->end())
    {
        message += "has the value " + truncated_dump(*found) + " and ";
    }
    message += problem;
    *this->reason = {this->kind, std::move(message), std::string(remedy)};
}

std::string json_reader::text(std::string_view key)
{
    const nlohmann::json* member = this->find(key);
    if (member == nullptr)
    {
        this->fail(key, "is missing", "add it as a non-empty string");
        return {};
    }
    if (!member->is_string() || member->get_ref<const std::string&>().empty())
    {
        this->fail(key, "is not a non-empty string", "give a non-empty string in quotes");
        return {};
    }
    return member->get<std::string>();
}

std::string json_reader::text_or(std::string_view key, std::string fallback)
{
    const nlohmann::json* member = this->find(key);
    if (member == nullptr)
    {
        return fallback;
    }
    if (!member->is_string())
    {
        this->fail(key, "is not a string", "give a string in quotes");
        return {};
    }
    return member->get<std::string>();
}

std::int64_t json_reader::integer(std::string_view key, std::int64_t low, std::int64_t high)
{
    const nlohmann::json* member = this->find(key);
    const std::string range =
        "give a whole number from " + std::to_string(low) + " to " + std::to_string(high);
    if (member == nullptr)
    {
        this->fail(key, "is missing", range);
        return low;
    }
    const bool too_large = member->is_number_unsigned() &&
                           member->get<std::uint64_t>() >
                               static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
    if (!member->is_number_integer() || too_large)
    {
        this->fail(key, "is not a whole number in range", range);
        return low;
    }
    const std::int64_t number = member->get<std::int64_t>();
    if (number < low || number > high)
    {
        this->fail(key, "is out of range", range);
        return low;
    }
    return number;
}

std::int64_t json_reader::integer_or(std::string_view key, std::int64_t fallback, std::int64_t low,
                                     std::int64_t high)
{
    this->known_keys.emplace(key);
    return this->has(key) ? this->integer(key, low, high) : fallback;
}

std::uint64_t json_reader::unsigned_integer(std::string_view key)
{
    return static_cast<std::uint64_t>(
        this->integer(key, 0, std::numeric_limits<std::int64_t>::max()));
}

double json_reader::number(std::string_view key, double low, double high)
{
    const nlohmann::json* member = this->find(key);
    const std::string range =
        "give a number from " + std::to_string(low) + " to " + std::to_string(high);
    if (member == nullptr)
    {
        this->fail(key, "is missing", range);
        return low;
    }
    if (!member->is_number())
    {
        this->fail(key, "is not a number", range);
        return low;
    }
    const double number = member->get<double>();
    if (!(number >= low && number <= high))
    {
        this->fail(key, "is out of range", range);
        return low;
    }
    return number;
}

double json_reader::number_or(std::string_view key, double fallback, double low, double high)
{
    this->known_keys.emplace(key);
    return this->has(key) ? this->number(key, low, high) : fallback;
}

bool json_reader::boolean_or(std::string_view key, bool fallback)
{
    const nlohmann::json* member = this->find(key);
    if (member == nullptr)
    {
        return fallback;
    }
    if (!member->is_boolean())
    {
        this->fail(key, "is not true or false", "give true or false without quotes");
        return fallback;
    }
    return member->get<bool>();
}

const nlohmann::json& json_reader::array(std::string_view key)
{
    const nlohmann::json* member = this->find(key);
    if (member == nullptr || !member->is_array())
    {
        this->fail(key, member == nullptr ? "is missing" : "is not an array",
                   "write it as [value, ...]");
        return empty_array;
    }
    return *member;
}

const nlohmann::json& json_reader::object(std::string_view key)
{
    const nlohmann::json* member = this->find(key);
    if (member == nullptr || !member->is_object())
    {
        this->fail(key, member == nullptr ? "is missing" : "is not an object",
                   "write it as {\"key\": value, ...}");
        return empty_object;
    }
    return *member;
}

bool json_reader::finish()
{
    for (const auto& [key, member] : this->value->items())
    {
        if (!this->known_keys.contains(key))
        {
            std::string expected;
            for (const std::string& name : this->known_keys)
            {
                expected += (expected.empty() ? "" : ", ") + name;
            }
            this->fail(key, "is unknown here", "remove it or use one of: " + expected);
        }
    }
    return !this->has_failed;
}

bool json_reader::failed() const
{
    return this->has_failed;
}

} // namespace sardinepoint::detail
