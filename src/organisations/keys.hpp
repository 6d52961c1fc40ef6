#pragma once

#include "sardinepoint/config.hpp"
#include "sardinepoint/http.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace sardinepoint
{

/** SHA-256 digest of a key, cut to 128 bits, in hexadecimal. */
std::string key_digest(std::string_view key);

/** Organisations by the digests of their keys; rebuilt for each configuration. */
struct key_directory
{
    struct entry
    {
        std::string digest;
        std::string organisation;
    };
    /** By the first 64 bits of the digest. */
    std::unordered_multimap<std::uint64_t, entry> entries;
    /** Whether the configuration has organisations, so that calls need a key. */
    bool required = false;
};

key_directory make_key_directory(const config_state& state);

/** Name of the organisation with this key, or null. Compares digests in constant time. */
const std::string* find_organisation(const key_directory& directory, std::string_view digest);

/**
 * Removes all Authorization headers and returns the digest of the bearer key; empty unless there is
 * exactly one header, with the scheme Bearer and a key.
 */
std::optional<std::string> take_bearer_key(std::vector<http_header>& headers);

} // namespace sardinepoint
