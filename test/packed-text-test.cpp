#define BOOST_TEST_MODULE packed_text
#include <boost/test/unit_test.hpp>

#include "packed_text.hpp"

#include <cstddef>
#include <random>
#include <string>

using namespace sardinepoint;

namespace
{

constexpr std::size_t max_bytes = 4096;

std::string random_bytes(std::mt19937_64& random, std::size_t length)
{
    std::string bytes;
    while (bytes.size() < length)
    {
        bytes.push_back(static_cast<char>(random() & 0xffU));
    }
    return bytes;
}

} // namespace

// Guards against an encoding that other programs of the platform can't read, as they follow RFC
// 4648.
BOOST_AUTO_TEST_CASE(base64_follows_rfc_4648)
{
    BOOST_TEST(encode_base64("") == "");
    BOOST_TEST(encode_base64("f") == "Zg==");
    BOOST_TEST(encode_base64("fo") == "Zm8=");
    BOOST_TEST(encode_base64("foo") == "Zm9v");
    BOOST_TEST(encode_base64("foobar") == "Zm9vYmFy");
    BOOST_TEST(encode_base64(std::string("\xff\xfe\x00", 3)) == "//4A");
    BOOST_TEST(!decode_base64("Zm9v!").has_value());
    BOOST_TEST(!decode_base64("Zm 9").has_value());
}

// Guards against texts that change when they are encoded and decoded, at any length and with any
// bytes.
BOOST_AUTO_TEST_CASE(texts_of_all_lengths_round_trip)
{
    constexpr std::size_t max_length = 300;
    std::mt19937_64 random{1};
    for (std::size_t length = 0; length <= max_length; ++length)
    {
        const std::string bytes = random_bytes(random, length);
        BOOST_TEST_REQUIRE((decode_base64(encode_base64(bytes)) == bytes));
        BOOST_TEST_REQUIRE((unpack_text(pack_text(bytes), max_bytes) == bytes));
    }
}

// Guards against a short message that exhausts the memory when it is decompressed.
BOOST_AUTO_TEST_CASE(unpacked_size_is_bounded)
{
    BOOST_TEST((unpack_text(pack_text(std::string(max_bytes, 'x')), max_bytes) ==
                std::string(max_bytes, 'x')));
    BOOST_TEST(!unpack_text(pack_text(std::string(max_bytes + 1, 'x')), max_bytes).has_value());
}

// Guards against damaged text that is accepted.
BOOST_AUTO_TEST_CASE(damaged_text_is_rejected)
{
    std::mt19937_64 random{2};
    const std::string packed = pack_text(random_bytes(random, max_bytes / 2));
    BOOST_TEST(!unpack_text("", max_bytes).has_value());
    BOOST_TEST(!unpack_text(packed.substr(0, packed.size() / 2), max_bytes).has_value());
    for (int i = 0; i < 200; ++i)
    {
        std::string damaged = packed;
        const std::size_t position = random() % (damaged.size() - 4);
        damaged[position] = damaged[position] == 'Q' ? 'R' : 'Q';
        BOOST_TEST_REQUIRE(!unpack_text(damaged, max_bytes).has_value());
    }
}
