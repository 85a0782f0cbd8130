/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Merges the records of several shards and keeps the greatest ones. Does no I/O.

#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace Gateway
{

/** Size of a record in bytes. A part is a sequence of records in any order. */
constexpr std::size_t RecordBytes = 16;

/**
 * Returns the `count` greatest records of all parts in descending order. Records are compared byte by byte, and equal records are all kept. Trailing bytes
 * that are less than a record are ignored.
 */
[[nodiscard]] std::string mergeGreatest(const std::vector<std::string_view> &parts, std::size_t count);

/** Removes all records less than `minimum` from `records`, which must be in descending order. Does nothing if `minimum` is empty. */
void dropLessThan(std::string &records, std::string_view minimum);

}
