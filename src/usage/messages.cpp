#include "usage/messages.hpp"

#include "json_reader.hpp"

#include <array>
#include <span>

namespace sardinepoint
{

namespace
{

using nlohmann::json;

constexpr std::int64_t max_count = 1'000'000'000;

/** Reads an array of exactly `values.size()` counts. */
bool read_counts(const json& source, std::span<std::int64_t> values)
{
    if (!source.is_array() || source.size() != values.size())
    {
        return false;
    }
    for (std::size_t i = 0; i < values.size(); ++i)
    {
        if (!source[i].is_number_integer())
        {
            return false;
        }
        values[i] = source[i].get<std::int64_t>();
        if (values[i] < 0 || values[i] > max_count)
        {
            return false;
        }
    }
    return true;
}

json to_json(const usage_nonce& nonce)
{
    return json::array({nonce.ledger, nonce.made_at});
}

std::optional<usage_nonce> parse_nonce(const json& value)
{
    if (!value.is_array() || value.size() != 2 || !value[0].is_number_unsigned() ||
        !value[1].is_number_integer())
    {
        return std::nullopt;
    }
    return usage_nonce{.ledger = value[0].get<std::uint64_t>(), .made_at = value[1].get<time_ms>()};
}

} // namespace

json to_json(const usage_request& request)
{
    json value{{"id", request.sender},
               {"i", request.incarnation},
               {"q", request.sequence},
               {"n", request.members}};
    if (request.echo)
    {
        value["e"] = to_json(*request.echo);
    }
    if (!request.claims.empty())
    {
        json& claims = value["o"] = json::object();
        for (const auto& [name, claim] : request.claims)
        {
            claims[name] =
                json::array({claim.held, claim.spent, claim.waiting, claim.wanted, claim.demand});
        }
    }
    return value;
}

std::optional<usage_request> parse_usage_request(const json& value)
{
    error reason;
    detail::json_reader reader(value, "usage message", error_kind::internal, reason);
    usage_request request;
    request.sender = reader.text("id");
    request.incarnation = reader.unsigned_integer("i");
    request.sequence = reader.unsigned_integer("q");
    request.members = static_cast<int>(reader.integer("n", 1, max_count));
    if (reader.failed())
    {
        return std::nullopt;
    }
    if (const auto echo = value.find("e"); echo != value.end())
    {
        request.echo = parse_nonce(*echo);
    }
    if (reader.has("o"))
    {
        for (const auto& [name, counts] : reader.object("o").items())
        {
            std::array<std::int64_t, 5> values{};
            if (!read_counts(counts, values))
            {
                return std::nullopt;
            }
            request.claims[name] = {.held = static_cast<int>(values[0]),
                                    .spent = static_cast<int>(values[1]),
                                    .waiting = static_cast<int>(values[2]),
                                    .wanted = static_cast<int>(values[3]),
                                    .demand = static_cast<int>(values[4])};
        }
    }
    return request;
}

json to_json(const usage_answer& answer)
{
    json value{{"e", to_json(answer.nonce)}, {"s", answer.support_percent}};
    if (!answer.grants.empty())
    {
        json& grants = value["o"] = json::object();
        for (const auto& [name, grant] : answer.grants)
        {
            grants[name] = json::array({grant.tokens, grant.more_in});
        }
    }
    return value;
}

std::optional<usage_answer> parse_usage_answer(const json& value)
{
    if (!value.is_object() || !value.contains("e"))
    {
        return std::nullopt;
    }
    error reason;
    detail::json_reader reader(value, "usage answer", error_kind::internal, reason);
    const auto nonce = parse_nonce(value.at("e"));
    usage_answer answer;
    constexpr int whole_percent = 100;
    answer.support_percent = static_cast<int>(reader.integer_or("s", 0, 0, whole_percent));
    if (!nonce || reader.failed())
    {
        return std::nullopt;
    }
    answer.nonce = *nonce;
    if (reader.has("o"))
    {
        for (const auto& [name, counts] : reader.object("o").items())
        {
            std::array<std::int64_t, 2> values{};
            if (!read_counts(counts, values))
            {
                return std::nullopt;
            }
            answer.grants[name] = {.tokens = static_cast<int>(values[0]), .more_in = values[1]};
        }
    }
    return answer;
}

} // namespace sardinepoint
