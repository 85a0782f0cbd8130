/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// A hash of names that all gateways come to alike, whatever their build.

#pragma once

#include <cstdint>
#include <string_view>

namespace Gateway
{

/** FNV-1a and a last mixing step, so that names that differ in their last digit differ in the high bits, too. */
[[nodiscard]] std::uint64_t stableHash(std::string_view text);

}
