/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// How bytes that were written at once stand in a file, so that a reader can tell
// a write that a crash cut short from bytes that changed afterwards. Pure.
//
// A batch: four bytes of length, the CRC-32 of the length, the CRC-32 of the
// content, the content. Numbers are big-endian.

#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace Storage
{

constexpr std::size_t NumberBytes = 4;
constexpr std::size_t BatchHeaderBytes = 3 * NumberBytes;

/** What the bytes at some place of a file turned out to be. */
enum class BatchState {
    Intact,
    /** A crash cut the last write short. */
    Torn,
    /** Bytes changed after they were written. */
    Damaged,
};

/** Adds a number to bytes. */
void appendNumber(std::string &bytes, std::uint32_t number);

/** The number at a place; there have to be enough bytes. */
[[nodiscard]] std::uint32_t numberAt(std::string_view bytes, std::size_t offset);

[[nodiscard]] std::string frameBatch(std::string_view content);

/** Examines the first batch of the rest of a file. */
[[nodiscard]] BatchState examineBatch(std::string_view rest);

/** The content of the first batch, which has to be whole. */
[[nodiscard]] std::string_view batchContent(std::string_view rest);

}
