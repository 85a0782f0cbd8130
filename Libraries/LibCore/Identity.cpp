/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibCore/Identity.h>

#include <array>
#include <cstdlib>
#include <fmt/core.h>
#include <glib.h>
#include <sys/random.h>

namespace Core
{

static constexpr std::size_t UuidTextLength = 36;

template<std::size_t Size>
static std::array<std::uint8_t, Size> randomBytes()
{
    std::array<std::uint8_t, Size> bytes{};
    // getrandom() never returns fewer bytes for a request of up to 256 bytes once the kernel's generator is seeded.
    if (getrandom(bytes.data(), bytes.size(), 0) != static_cast<ssize_t>(bytes.size())) {
        std::abort();
    }
    return bytes;
}

std::string randomToken()
{
    std::string text;
    for (const auto byte : randomBytes<16>()) {
        text += fmt::format("{:02x}", byte);
    }
    return text;
}

std::uint64_t randomNumber()
{
    std::uint64_t number = 0;
    for (const auto byte : randomBytes<8>()) {
        number = (number << 8U) | byte;
    }
    return number;
}

std::string sha256(std::string_view content)
{
    char *digest = g_compute_checksum_for_data(G_CHECKSUM_SHA256, reinterpret_cast<const guchar *>(content.data()), content.size());
    std::string text(digest);
    g_free(digest);
    return text;
}

std::string makeUuidVersion7(WallTime time)
{
    auto bytes = randomBytes<16>();
    const auto milliseconds = static_cast<std::uint64_t>(time.count());
    for (std::size_t index = 0; index < 6; ++index) {
        bytes[index] = static_cast<std::uint8_t>(milliseconds >> (40U - 8U * index));
    }
    bytes[6] = static_cast<std::uint8_t>((bytes[6] & 0x0FU) | 0x70U);
    bytes[8] = static_cast<std::uint8_t>((bytes[8] & 0x3FU) | 0x80U);
    std::string text;
    for (std::size_t index = 0; index < bytes.size(); ++index) {
        if (index == 4 || index == 6 || index == 8 || index == 10) {
            text += '-';
        }
        text += fmt::format("{:02x}", bytes[index]);
    }
    return text;
}

static bool isUuidText(std::string_view text)
{
    if (text.size() != UuidTextLength) {
        return false;
    }
    for (std::size_t index = 0; index < text.size(); ++index) {
        const bool isDash = index == 8 || index == 13 || index == 18 || index == 23;
        if (isDash ? text[index] != '-' : !g_ascii_isxdigit(text[index])) {
            return false;
        }
    }
    return true;
}

Result<WallTime> timeOfUuidVersion7(std::string_view text)
{
    if (!isUuidText(text)) {
        return failure(ErrorKind::InvalidInput, "the key is not a UUID");
    }
    const std::string_view variants = "89abAB";
    if (text[14] != '7' || variants.find(text[19]) == std::string_view::npos) {
        return failure(ErrorKind::InvalidInput, "the key is a UUID, but not of version 7");
    }
    std::int64_t milliseconds = 0;
    for (const std::size_t index : {0, 1, 2, 3, 4, 5, 6, 7, 9, 10, 11, 12}) {
        milliseconds = milliseconds * 16 + g_ascii_xdigit_value(text[index]);
    }
    return WallTime(milliseconds);
}

std::int32_t shardOfKey(std::string_view key, std::int32_t shardCount)
{
    // The shard is the first eight bytes of the digest, as a big-endian number, modulo the number of shards.
    const std::string digest = sha256(key).substr(0, 16);
    const std::uint64_t number = std::strtoull(digest.c_str(), nullptr, 16);
    return static_cast<std::int32_t>(number % static_cast<std::uint64_t>(shardCount));
}

}
