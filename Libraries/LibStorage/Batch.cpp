/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibStorage/Batch.h>

#include <zlib.h>

namespace Storage
{

// A content whose last blocks were never written ends with at least this many zero bytes.
static constexpr std::size_t UnwrittenTailBytes = 64;

void appendNumber(std::string &bytes, std::uint32_t number)
{
    for (const unsigned shift : {24U, 16U, 8U, 0U}) {
        bytes += static_cast<char>(number >> shift);
    }
}

std::uint32_t numberAt(std::string_view bytes, std::size_t offset)
{
    std::uint32_t number = 0;
    for (std::size_t index = 0; index < NumberBytes; ++index) {
        number = (number << 8U) | static_cast<std::uint8_t>(bytes[offset + index]);
    }
    return number;
}

static std::uint32_t checksumOf(std::string_view bytes)
{
    return static_cast<std::uint32_t>(crc32_z(0, reinterpret_cast<const Bytef *>(bytes.data()), bytes.size()));
}

std::string frameBatch(std::string_view content)
{
    std::string batch;
    appendNumber(batch, static_cast<std::uint32_t>(content.size()));
    appendNumber(batch, checksumOf(batch));
    appendNumber(batch, checksumOf(content));
    batch += content;
    return batch;
}

static bool isAllZero(std::string_view bytes)
{
    return bytes.find_first_not_of('\0') == std::string_view::npos;
}

// After a crash during a write, the file is too short, or its last blocks were never written and read as zeros. Other bytes that do not match
// their checksum changed after they were written. They may be an entry that this instance has acknowledged, so they must not be treated as
// torn: the instance would continue without an entry that others rely on.
BatchState examineBatch(std::string_view rest)
{
    if (rest.size() < BatchHeaderBytes) {
        return BatchState::Torn;
    }
    if (numberAt(rest, NumberBytes) != checksumOf(rest.substr(0, NumberBytes))) {
        return isAllZero(rest) ? BatchState::Torn : BatchState::Corrupt;
    }
    const std::size_t length = numberAt(rest, 0);
    const std::string_view content = rest.substr(BatchHeaderBytes);
    if (content.size() < length) {
        return BatchState::Torn;
    }
    if (numberAt(rest, 2 * NumberBytes) == checksumOf(content.substr(0, length))) {
        return BatchState::Intact;
    }
    const bool isLast = content.size() == length;
    const bool tailUnwritten = length >= UnwrittenTailBytes && isAllZero(content.substr(length - UnwrittenTailBytes, UnwrittenTailBytes));
    return isLast && tailUnwritten ? BatchState::Torn : BatchState::Corrupt;
}

std::string_view batchContent(std::string_view rest)
{
    return rest.substr(BatchHeaderBytes, numberAt(rest, 0));
}

}
