/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// A hash of names that is the same on all gateways and in all builds.

#pragma once

#include <cstdint>
#include <string_view>

namespace Gateway
{

/** FNV-1a with a final mixing step, so that names that differ only in their last character also differ in the high bits. */
[[nodiscard]] std::uint64_t stableHash(std::string_view text);

}
