#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace sardinepoint
{

/** The text compressed (zlib) and in base64, so that it fits into JSON. */
std::string pack_text(std::string_view text);

/** Inverse; nothing if it is damaged or its text is longer than `max_bytes`. */
std::optional<std::string> unpack_text(std::string_view packed, std::size_t max_bytes);

/** Base64 with padding. */
std::string encode_base64(std::string_view bytes);

/** Inverse; nothing if it holds other characters. */
std::optional<std::string> decode_base64(std::string_view text);

} // namespace sardinepoint
