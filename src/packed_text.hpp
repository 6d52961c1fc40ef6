#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace sardinepoint
{

/** Compresses the text with zlib and encodes it in base64, so that it can be a JSON string. */
std::string pack_text(std::string_view text);

/** Inverse of pack_text(). Returns nothing if the input is damaged or the text is longer than
 * `max_bytes`. */
std::optional<std::string> unpack_text(std::string_view packed, std::size_t max_bytes);

/** Encodes bytes in base64 with padding (RFC 4648). */
std::string encode_base64(std::string_view bytes);

/** Inverse of encode_base64(), with or without padding. Returns nothing if the text isn't base64.
 */
std::optional<std::string> decode_base64(std::string_view text);

} // namespace sardinepoint
