#include "organisations/keys.hpp"

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstddef>

namespace sardinepoint
{

namespace
{

constexpr std::size_t digest_bytes = 16;
constexpr std::size_t digest_digits = 2 * digest_bytes;
constexpr std::size_t index_digits = 16;
constexpr std::string_view authorization = "Authorization";
constexpr std::string_view bearer_scheme = "Bearer";

/** Index of a digest; only digests are compared by it, so it tells nothing of a key. */
std::uint64_t index_of(std::string_view digest)
{
    std::uint64_t index = 0;
    const std::string_view digits = digest.substr(0, index_digits);
    std::from_chars(digits.data(), digits.data() + digits.size(), index, 16);
    return index;
}

/** Key of a credential such as "Bearer KEY"; the scheme's name is not case-sensitive. */
std::string_view bearer_key(std::string_view credential)
{
    const std::size_t space = credential.find(' ');
    if (space == std::string_view::npos ||
        !equal_header_name(credential.substr(0, space), bearer_scheme))
    {
        return {};
    }
    const std::size_t start = credential.find_first_not_of(' ', space);
    return start == std::string_view::npos ? std::string_view{} : credential.substr(start);
}

} // namespace

std::string key_digest(std::string_view key)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> hash{};
    SHA256(reinterpret_cast<const unsigned char*>(key.data()), key.size(), hash.data());
    std::string digest;
    digest.reserve(digest_digits);
    for (std::size_t i = 0; i < digest_bytes; ++i)
    {
        fmt::format_to(std::back_inserter(digest), "{:02x}", hash.at(i));
    }
    return digest;
}

key_directory make_key_directory(const config_state& state)
{
    key_directory directory{.entries = {}, .required = !state.organisations.empty()};
    for (const auto& [name, value] : state.organisations)
    {
        for (const std::string& digest : value.key_digests)
        {
            directory.entries.emplace(index_of(digest),
                                      key_directory::entry{.digest = digest, .organisation = name});
        }
    }
    return directory;
}

const std::string* find_organisation(const key_directory& directory, std::string_view digest)
{
    const auto [first, last] = directory.entries.equal_range(index_of(digest));
    const auto found =
        std::find_if(first, last,
                     [digest](const auto& item)
                     {
                         const std::string& known = item.second.digest;
                         return known.size() == digest.size() &&
                                CRYPTO_memcmp(known.data(), digest.data(), digest.size()) == 0;
                     });
    return found == last ? nullptr : &found->second.organisation;
}

std::optional<std::string> take_bearer_key(std::vector<http_header>& headers)
{
    const auto count = std::count_if(headers.begin(), headers.end(),
                                     [](const http_header& header)
                                     { return equal_header_name(header.name, authorization); });
    std::optional<std::string> digest;
    if (count == 1)
    {
        const std::string_view key = bearer_key(find_header(headers, authorization).value_or(""));
        digest = key.empty() ? std::nullopt : std::optional(key_digest(key));
    }
    remove_header(headers, authorization);
    return digest;
}

} // namespace sardinepoint
