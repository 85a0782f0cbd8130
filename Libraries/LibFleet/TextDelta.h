/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// The way from one text to a later one that is mostly the same, and compressed
// texts. A declaration with thousands of routes changes by one route at a time
// and goes to every gateway. Pure.

#pragma once

#include <LibCore/Result.h>

#include <string>
#include <string_view>

namespace Fleet
{

/** What turns `before` into `after`. Never much longer than `after`. */
[[nodiscard]] std::string makeTextDelta(std::string_view before, std::string_view after);

/** Carries a delta out. Fails with Corruption when it does not fit to `before` or the outcome is not what it was made for. */
[[nodiscard]] Core::Result<std::string> applyTextDelta(std::string_view before, std::string_view delta);

/** Smaller bytes for the same text (zlib). */
[[nodiscard]] std::string compressText(std::string_view text);

/** Fails with Corruption when the bytes are no compressed text, or one over `maximumBytes`. */
[[nodiscard]] Core::Result<std::string> expandText(std::string_view bytes, std::size_t maximumBytes);

}
