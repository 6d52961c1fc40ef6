#include "packed_text.hpp"

#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/binary_from_base64.hpp>
#include <boost/archive/iterators/dataflow_exception.hpp>
#include <boost/archive/iterators/transform_width.hpp>

#include <zlib.h>

#include <stdexcept>

namespace sardinepoint
{

namespace
{

namespace iterators = boost::archive::iterators;

constexpr std::size_t bits_per_byte = 8;
constexpr std::size_t bits_per_digit = 6;
constexpr std::size_t digits_per_group = 4;

const Bytef* byte_pointer(std::string_view text)
{
    return reinterpret_cast<const Bytef*>(text.data()); // NOLINT
}

} // namespace

std::string encode_base64(std::string_view bytes)
{
    using encoder =
        iterators::base64_from_binary<iterators::transform_width<std::string_view::const_iterator,
                                                                 bits_per_digit, bits_per_byte>>;
    std::string text(encoder(bytes.begin()), encoder(bytes.end()));
    while (text.size() % digits_per_group != 0)
    {
        text.push_back('=');
    }
    return text;
}

std::optional<std::string> decode_base64(std::string_view text)
{
    using decoder =
        iterators::transform_width<iterators::binary_from_base64<std::string_view::const_iterator>,
                                   bits_per_byte, bits_per_digit>;
    while (!text.empty() && text.back() == '=')
    {
        text.remove_suffix(1);
    }
    const std::size_t length = text.size() * bits_per_digit / bits_per_byte;
    // A single digit after the last full group encodes no whole byte, so the loop would ignore it.
    if (text.size() % digits_per_group == 1)
    {
        return std::nullopt;
    }
    std::string bytes;
    bytes.reserve(length);
    try
    {
        decoder position(text.begin());
        for (std::size_t i = 0; i < length; ++i, ++position)
        {
            bytes.push_back(*position);
        }
    }
    catch (const iterators::dataflow_exception&)
    {
        return std::nullopt;
    }
    return bytes;
}

std::string pack_text(std::string_view text)
{
    uLongf size = ::compressBound(text.size());
    std::string compressed(size, '\0');
    if (::compress(reinterpret_cast<Bytef*>(compressed.data()), &size, byte_pointer(text), // NOLINT
                   text.size()) != Z_OK)
    {
        throw std::runtime_error("zlib failed to compress a text: out of memory");
    }
    compressed.resize(size);
    return encode_base64(compressed);
}

std::optional<std::string> unpack_text(std::string_view packed, std::size_t max_bytes)
{
    const auto compressed = decode_base64(packed);
    if (!compressed)
    {
        return std::nullopt;
    }
    std::string text(max_bytes, '\0');
    uLongf size = text.size();
    if (::uncompress(reinterpret_cast<Bytef*>(text.data()), &size, // NOLINT
                     byte_pointer(*compressed), compressed->size()) != Z_OK)
    {
        return std::nullopt;
    }
    text.resize(size);
    return text;
}

} // namespace sardinepoint
