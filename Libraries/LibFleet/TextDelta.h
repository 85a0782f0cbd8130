/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Deltas between two versions of a text, and compression of texts. A declaration
// may have thousands of routes, changes by one route at a time and is sent to
// every gateway, so a delta saves most of its bytes. Without side effects.

#pragma once

#include <LibCore/Result.h>

#include <string>
#include <string_view>

namespace Fleet
{

/** Returns a serialized delta that turns `before` into `after`. It is never much longer than `after`. */
[[nodiscard]] std::string makeTextDelta(std::string_view before, std::string_view after);

/** Applies a delta. Fails with Corruption when the delta is unreadable, was made for a text other than `before`, or gives a result with another checksum. */
[[nodiscard]] Core::Result<std::string> applyTextDelta(std::string_view before, std::string_view delta);

/** Compresses a text with zlib, after eight bytes that hold its length. */
[[nodiscard]] std::string compressText(std::string_view text);

/** Expands a compressed text. Fails with Corruption when the bytes are not a compressed text or the text is longer than `maximumBytes`. */
[[nodiscard]] Core::Result<std::string> expandText(std::string_view bytes, std::size_t maximumBytes);

}
