#include "sardinepoint/membership.hpp"

#include <nlohmann/json.hpp>

#include <fmt/format.h>

#include <charconv>
#include <limits>
#include <utility>

namespace sardinepoint
{

namespace
{

using nlohmann::json;

constexpr std::size_t root_digits = 16;
constexpr std::size_t bucket_digits = 8;

/** Reads the fields of one object and keeps the first error. */
struct field_reader
{
    const json& object;
    error& reason;
    bool valid = true;

    void reject(std::string_view field, std::string_view expected)
    {
        if (!this->valid)
        {
            return;
        }
        this->valid = false;
        this->reason = {.kind = error_kind::invalid_argument,
                        .message = fmt::format("field \"{}\" must be {}", field, expected),
                        .remedy = "check that the sending daemon runs a compatible release"};
    }

    std::string text(const char* field, bool required = true)
    {
        const auto position = this->object.find(field);
        if (position == this->object.end() && !required)
        {
            return {};
        }
        if (position == this->object.end() || !position->is_string() ||
            (required && position->get_ref<const std::string&>().empty()))
        {
            this->reject(field, "a non-empty string");
            return {};
        }
        return position->get<std::string>();
    }

    /** Returns 0 if the field is absent. */
    std::uint64_t number(const char* field, std::uint64_t maximum)
    {
        const auto position = this->object.find(field);
        if (position == this->object.end())
        {
            return 0;
        }
        // A value built in code, unlike a parsed one, may hold a non-negative number as signed.
        const bool valid_number =
            position->is_number_unsigned() ||
            (position->is_number_integer() && position->get<std::int64_t>() >= 0);
        if (!valid_number || position->get<std::uint64_t>() > maximum)
        {
            this->reject(field, fmt::format("an integer from 0 to {}", maximum));
            return 0;
        }
        return position->get<std::uint64_t>();
    }

    std::uint64_t counter(const char* field)
    {
        return this->number(field, std::numeric_limits<std::uint64_t>::max());
    }

    std::uint16_t port(const char* field)
    {
        return static_cast<std::uint16_t>(
            this->number(field, std::numeric_limits<std::uint16_t>::max()));
    }

    int non_negative_int(const char* field)
    {
        return static_cast<int>(this->number(field, std::numeric_limits<int>::max()));
    }

    /** Returns an empty array if the field is absent. */
    const json& array(const char* field)
    {
        static const json none = json::array();
        const auto position = this->object.find(field);
        if (position == this->object.end())
        {
            return none;
        }
        if (!position->is_array())
        {
            this->reject(field, "an array");
            return none;
        }
        return *position;
    }
};

bool is_object(const json& value, std::string_view what, error& reason)
{
    if (value.is_object())
    {
        return true;
    }
    reason = {.kind = error_kind::invalid_argument,
              .message = fmt::format("{} must be a JSON object", what),
              .remedy = "check that the sending daemon runs a compatible release"};
    return false;
}

template <typename Value>
void put_unless_default(json& object, const char* field, const Value& value)
{
    if (value != Value{})
    {
        object[field] = value;
    }
}

json upstream_to_json(const upstream_record& upstream, std::string_view member_address)
{
    json object{{"s", upstream.service}, {"v", upstream.version}};
    if (upstream.address != member_address)
    {
        object["a"] = upstream.address;
    }
    put_unless_default(object, "p", upstream.port);
    put_unless_default(object, "n", upstream.slots);
    put_unless_default(object, "c", upstream.connections);
    put_unless_default(object, "t", static_cast<int>(upstream.state));
    put_unless_default(object, "i", upstream.instance);
    put_unless_default(object, "l", upstream.locality);
    put_unless_default(object, "w", upstream.cold_time_left);
    put_unless_default(object, "m", upstream.service_time);
    return object;
}

std::optional<upstream_record> parse_upstream_record(const json& value, std::string_view address,
                                                     error& reason)
{
    if (!is_object(value, "an upstream", reason))
    {
        return std::nullopt;
    }
    field_reader reader{.object = value, .reason = reason};
    upstream_record upstream;
    upstream.service = reader.text("s");
    upstream.version = reader.text("v");
    upstream.address = value.contains("a") ? reader.text("a", false) : std::string{address};
    upstream.port = reader.port("p");
    upstream.slots = reader.non_negative_int("n");
    upstream.connections = reader.non_negative_int("c");
    upstream.state = static_cast<upstream_state>(
        reader.number("t", static_cast<std::uint64_t>(upstream_state::left)));
    upstream.instance = reader.text("i", false);
    upstream.locality = reader.text("l", false);
    upstream.cold_time_left =
        static_cast<time_ms>(reader.number("w", std::numeric_limits<int>::max()));
    upstream.service_time =
        static_cast<time_ms>(reader.number("m", std::numeric_limits<int>::max()));
    if (!reader.valid)
    {
        return std::nullopt;
    }
    return upstream;
}

std::optional<service_summary> parse_service_summary(const json& value, error& reason)
{
    if (!is_object(value, "a service summary", reason))
    {
        return std::nullopt;
    }
    field_reader reader{.object = value, .reason = reason};
    service_summary service;
    service.service = reader.text("s");
    service.version = reader.text("v");
    service.upstreams = reader.non_negative_int("n");
    service.slots = reader.non_negative_int("k");
    for (const json& daemon : reader.array("a"))
    {
        if (!daemon.is_string())
        {
            reader.reject("a", "an array of strings");
            break;
        }
        service.daemons.push_back(daemon.get<std::string>());
    }
    if (!reader.valid)
    {
        return std::nullopt;
    }
    return service;
}

std::optional<std::uint64_t> parse_hex(std::string_view digits)
{
    std::uint64_t value = 0;
    const char* end = digits.data() + digits.size();
    const auto result = std::from_chars(digits.data(), end, value, 16);
    if (result.ec != std::errc{} || result.ptr != end)
    {
        return std::nullopt;
    }
    return value;
}

} // namespace

json to_json(const member_record& record)
{
    json object{{"i", record.id}, {"n", record.incarnation}, {"q", record.sequence}};
    put_unless_default(object, "d", record.domain);
    put_unless_default(object, "r", record.region);
    put_unless_default(object, "a", record.address);
    put_unless_default(object, "p", record.data_port);
    put_unless_default(object, "c", record.control_port);
    put_unless_default(object, "o", record.served_offset);
    put_unless_default(object, "v", record.served_version);
    put_unless_default(object, "s", static_cast<int>(record.state));
    put_unless_default(object, "x", record.departed.instance);
    put_unless_default(object, "y", record.departed.incarnation);
    if (!record.upstreams.empty())
    {
        json& upstreams = object["u"] = json::array();
        for (const upstream_record& upstream : record.upstreams)
        {
            upstreams.push_back(upstream_to_json(upstream, record.address));
        }
    }
    return object;
}

std::optional<member_record> parse_member_record(const json& value, error& reason)
{
    if (!is_object(value, "a member record", reason))
    {
        return std::nullopt;
    }
    field_reader reader{.object = value, .reason = reason};
    member_record record;
    record.id = reader.text("i");
    record.incarnation = reader.counter("n");
    record.sequence = reader.counter("q");
    record.domain = reader.text("d", false);
    record.region = reader.text("r", false);
    record.address = reader.text("a", false);
    record.data_port = reader.port("p");
    record.control_port = reader.port("c");
    record.served_offset = reader.counter("o");
    record.served_version = reader.counter("v");
    record.state = static_cast<member_state>(
        reader.number("s", static_cast<std::uint64_t>(member_state::dead)));
    record.departed = {.instance = reader.text("x", false), .incarnation = reader.counter("y")};
    for (const json& item : reader.array("u"))
    {
        std::optional<upstream_record> upstream =
            parse_upstream_record(item, record.address, reason);
        if (!upstream)
        {
            return std::nullopt;
        }
        record.upstreams.push_back(std::move(*upstream));
    }
    // Only the record of a dead member whose tombstone has expired may lack domain and address.
    if (record.state != member_state::dead && (record.domain.empty() || record.address.empty()))
    {
        reader.reject(record.domain.empty() ? "d" : "a", "a non-empty string");
    }
    if (!reader.valid)
    {
        return std::nullopt;
    }
    return record;
}

json to_json(const member_digest& digest, bool with_buckets)
{
    json object{{"r", fmt::format("{:016x}", digest.root)}};
    if (with_buckets)
    {
        std::string digits;
        for (const std::uint32_t bucket : digest.buckets)
        {
            digits += fmt::format("{:08x}", bucket);
        }
        object["b"] = std::move(digits);
    }
    return object;
}

std::optional<member_digest> parse_member_digest(const json& value, error& reason)
{
    if (!is_object(value, "a digest", reason))
    {
        return std::nullopt;
    }
    field_reader reader{.object = value, .reason = reason};
    member_digest digest;
    const std::string root = reader.text("r");
    const std::optional<std::uint64_t> root_value = parse_hex(root);
    if (root.size() != root_digits || !root_value)
    {
        reader.reject("r", "16 hexadecimal digits");
    }
    digest.root = root_value.value_or(0);
    const std::string digits = reader.text("b", false);
    if (!digits.empty() && digits.size() != bucket_digits * digest_buckets)
    {
        reader.reject("b", "8 hexadecimal digits for each bucket");
    }
    for (std::size_t at = 0; reader.valid && at < digits.size(); at += bucket_digits)
    {
        const auto bucket = parse_hex(std::string_view{digits}.substr(at, bucket_digits));
        if (!bucket)
        {
            reader.reject("b", "8 hexadecimal digits for each bucket");
            break;
        }
        digest.buckets.push_back(static_cast<std::uint32_t>(*bucket));
    }
    if (!reader.valid)
    {
        return std::nullopt;
    }
    return digest;
}

json to_json(const domain_summary& summary)
{
    json services = json::array();
    for (const service_summary& service : summary.services)
    {
        services.push_back({{"s", service.service},
                            {"v", service.version},
                            {"n", service.upstreams},
                            {"k", service.slots},
                            {"a", service.daemons}});
    }
    return {{"d", summary.domain}, {"s", std::move(services)}};
}

std::optional<domain_summary> parse_domain_summary(const json& value, error& reason)
{
    if (!is_object(value, "a domain summary", reason))
    {
        return std::nullopt;
    }
    field_reader reader{.object = value, .reason = reason};
    domain_summary summary{.domain = reader.text("d")};
    for (const json& item : reader.array("s"))
    {
        std::optional<service_summary> service = parse_service_summary(item, reason);
        if (!service)
        {
            return std::nullopt;
        }
        summary.services.push_back(std::move(*service));
    }
    if (!reader.valid)
    {
        return std::nullopt;
    }
    return summary;
}

} // namespace sardinepoint
