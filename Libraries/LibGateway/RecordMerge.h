/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Merges the records of several shards into the greatest ones. Pure.

#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace Gateway
{

/** Bytes of one record; parts are rows of them, in no order. */
constexpr std::size_t RecordBytes = 16;

/** The greatest `count` records of all parts, greatest first, compared byte by byte. Equal records all count. A remainder is no record. */
[[nodiscard]] std::string mergeGreatest(const std::vector<std::string_view> &parts, std::size_t count);

/** Cuts records that stand greatest first off after the last one that is as great as `least`, or greater. An empty `least` cuts nothing. */
void dropLessThan(std::string &records, std::string_view least);

}
