/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Identifiers made from random bytes, and digests over content.

#pragma once

#include <LibCore/Result.h>
#include <LibCore/Time.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace Core
{

/** 128 bits from the kernel's generator, in hexadecimal. Nobody can guess one. */
[[nodiscard]] std::string randomToken();

/** 64 random bits, for seeds and incarnations. */
[[nodiscard]] std::uint64_t randomNumber();

/** SHA-256 in hexadecimal. */
[[nodiscard]] std::string sha256(std::string_view content);

/** A new UUID of version 7 (RFC 9562) with the given time. */
[[nodiscard]] std::string makeUuidVersion7(WallTime time);

/** The time embedded in a UUID of version 7, or what is wrong with the text. */
[[nodiscard]] Result<WallTime> timeOfUuidVersion7(std::string_view text);

/** Which of `shardCount` shards holds a key. Part of the interface with backend servers, see docs/INTERFACES.md. */
[[nodiscard]] std::int32_t shardOfKey(std::string_view key, std::int32_t shardCount);

}
