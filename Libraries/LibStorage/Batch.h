/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// The file format of a batch, the bytes of one write. Its checksums let a reader distinguish a write that a crash cut short from bytes that
// changed after they were written.
//
// A batch consists of the length of the content in four bytes, the CRC-32 of the length, the CRC-32 of the content, and the content. Numbers
// are big-endian.

#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace Storage
{

constexpr std::size_t NumberBytes = 4;
constexpr std::size_t BatchHeaderBytes = 3 * NumberBytes;

/** The result of checking a batch. */
enum class BatchState {
    Intact,
    /** The last write was cut short by a crash. The batch was never acknowledged. */
    Torn,
    /** Bytes changed after they were written. The batch may have been acknowledged. */
    Corrupt,
};

/** Appends a number in four big-endian bytes. */
void appendNumber(std::string &bytes, std::uint32_t number);

/** Reads a number of four big-endian bytes at an offset. The caller checks that there are enough bytes. */
[[nodiscard]] std::uint32_t numberAt(std::string_view bytes, std::size_t offset);

/** Returns the batch for a content: header and content. */
[[nodiscard]] std::string frameBatch(std::string_view content);

/** Checks the batch at the start of `rest`, the rest of a file. */
[[nodiscard]] BatchState examineBatch(std::string_view rest);

/** The content of the batch at the start of `rest`, which has to be intact. */
[[nodiscard]] std::string_view batchContent(std::string_view rest);

}
