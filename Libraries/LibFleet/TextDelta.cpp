/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibFleet/TextDelta.h>

#include <LibProtocol/Generated/fleet_types.h>
#include <LibRpc/Serialization.h>

#include <unordered_map>
#include <zlib.h>

namespace Fleet
{

// The shortest run of equal bytes that a delta copies from the earlier text. A reference to a shorter run is as long as the bytes themselves.
static constexpr std::size_t BlockBytes = 32;
// Multiplier of the rolling hash. Any large odd number is suitable.
static constexpr std::uint64_t HashFactor = 0x9E3779B97F4A7C15ULL;
// A compressed text starts with its uncompressed length in this many bytes, little-endian.
static constexpr std::size_t LengthBytes = 8;

static std::uint32_t checksum(std::string_view text)
{
    return static_cast<std::uint32_t>(crc32(0, reinterpret_cast<const Bytef *>(text.data()), static_cast<uInt>(text.size())));
}

namespace
{

/** A rolling hash over a window of BlockBytes bytes. */
class RollingHash
{
public:
    explicit RollingHash(std::string_view block)
    {
        for (const char byte : block) {
            this->value = this->value * HashFactor + static_cast<unsigned char>(byte);
        }
        for (std::size_t index = 1; index < BlockBytes; ++index) {
            this->topFactor *= HashFactor;
        }
    }

    void move(char leaving, char entering)
    {
        this->value = (this->value - this->topFactor * static_cast<unsigned char>(leaving)) * HashFactor + static_cast<unsigned char>(entering);
    }

    std::uint64_t value{0};

private:
    std::uint64_t topFactor{1};
};

using BlockTable = std::unordered_map<std::uint64_t, std::size_t>;

BlockTable indexBlocks(std::string_view text)
{
    BlockTable blocks;
    for (std::size_t offset = 0; offset + BlockBytes <= text.size(); offset += BlockBytes) {
        blocks.try_emplace(RollingHash(text.substr(offset, BlockBytes)).value, offset);
    }
    return blocks;
}

std::size_t commonLength(std::string_view left, std::string_view right)
{
    const auto limit = std::min(left.size(), right.size());
    std::size_t length = 0;
    while (length < limit && left[length] == right[length]) {
        ++length;
    }
    return length;
}

}

std::string makeTextDelta(std::string_view before, std::string_view after)
{
    Protocol::TextDelta delta;
    delta.length = static_cast<std::int64_t>(after.size());
    delta.checksum = static_cast<std::int64_t>(checksum(after));
    const auto blocks = indexBlocks(before);
    std::size_t position = 0;
    std::size_t literalStart = 0;
    const auto emit = [&delta, &after](std::size_t from, std::size_t to, std::size_t copyFrom, std::size_t copyLength) {
        Protocol::TextPiece piece;
        piece.literal = std::string(after.substr(from, to - from));
        piece.copyFrom = static_cast<std::int64_t>(copyFrom);
        piece.copyLength = static_cast<std::int64_t>(copyLength);
        delta.pieces.push_back(std::move(piece));
    };
    while (position + BlockBytes <= after.size()) {
        RollingHash hash(after.substr(position, BlockBytes));
        std::size_t length = 0;
        std::size_t from = 0;
        while (true) {
            const auto found = blocks.find(hash.value);
            if (found != blocks.end()) {
                from = found->second;
                length = commonLength(before.substr(from), after.substr(position));
            }
            if (length >= BlockBytes || position + BlockBytes >= after.size()) {
                break;
            }
            length = 0;
            hash.move(after[position], after[position + BlockBytes]);
            ++position;
        }
        if (length < BlockBytes) {
            break;
        }
        emit(literalStart, position, from, length);
        position += length;
        literalStart = position;
    }
    emit(literalStart, after.size(), 0, 0);
    return Rpc::serialize(delta);
}

Core::Result<std::string> applyTextDelta(std::string_view before, std::string_view bytes)
{
    const auto delta = Rpc::deserialize<Protocol::TextDelta>(bytes);
    if (!delta.has_value()) {
        return tl::make_unexpected(delta.error());
    }
    std::string after;
    for (const auto &piece : delta->pieces) {
        after += piece.literal;
        const auto size = static_cast<std::int64_t>(before.size());
        const bool fits = piece.copyFrom >= 0 && piece.copyLength >= 0 && piece.copyFrom <= size && piece.copyLength <= size - piece.copyFrom;
        if (!fits || after.size() > static_cast<std::size_t>(Rpc::MaximumStringBytes)) {
            return Core::failure(Core::ErrorKind::Corruption, "text delta copies bytes beyond the end of its base text, or its result is too long");
        }
        after += before.substr(static_cast<std::size_t>(piece.copyFrom), static_cast<std::size_t>(piece.copyLength));
    }
    const bool same = static_cast<std::int64_t>(after.size()) == delta->length && static_cast<std::int64_t>(checksum(after)) == delta->checksum;
    if (!same) {
        return Core::failure(Core::ErrorKind::Corruption, "text delta gave a result with another length or checksum than stated");
    }
    return after;
}

std::string compressText(std::string_view text)
{
    uLongf length = compressBound(static_cast<uLong>(text.size()));
    std::string bytes(LengthBytes + length, '\0');
    for (std::size_t index = 0; index < LengthBytes; ++index) {
        bytes[index] = static_cast<char>(text.size() >> (8 * index));
    }
    auto *target = reinterpret_cast<Bytef *>(bytes.data() + LengthBytes);
    compress2(target, &length, reinterpret_cast<const Bytef *>(text.data()), static_cast<uLong>(text.size()), Z_BEST_SPEED);
    bytes.resize(LengthBytes + length);
    return bytes;
}

Core::Result<std::string> expandText(std::string_view bytes, std::size_t maximumBytes)
{
    if (bytes.size() < LengthBytes) {
        return Core::failure(Core::ErrorKind::Corruption, "compressed text is truncated within its length field");
    }
    std::uint64_t length = 0;
    for (std::size_t index = 0; index < LengthBytes; ++index) {
        length |= static_cast<std::uint64_t>(static_cast<unsigned char>(bytes[index])) << (8 * index);
    }
    if (length > maximumBytes) {
        return Core::failure(Core::ErrorKind::Corruption, "compressed text expands to more bytes than allowed");
    }
    std::string text(length, '\0');
    uLongf expanded = static_cast<uLongf>(length);
    const auto source = bytes.substr(LengthBytes);
    const int outcome
        = uncompress(reinterpret_cast<Bytef *>(text.data()), &expanded, reinterpret_cast<const Bytef *>(source.data()), static_cast<uLong>(source.size()));
    if (outcome != Z_OK || expanded != length) {
        return Core::failure(Core::ErrorKind::Corruption, "compressed text is invalid or does not have its stated length");
    }
    return text;
}

}
