/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Identifiers that are generated from random bytes, and digests of content.

#pragma once

#include <LibCore/Result.h>
#include <LibCore/Time.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace Core
{

/** Generates an unguessable token: 128 bits from the kernel's random generator, in hexadecimal. */
[[nodiscard]] std::string randomToken();

/** Generates 64 random bits, for seeds and incarnations. */
[[nodiscard]] std::uint64_t randomNumber();

/** Computes the SHA-256 digest, in hexadecimal. */
[[nodiscard]] std::string sha256(std::string_view content);

/** Generates a UUID of version 7 (RFC 9562) with the given time. */
[[nodiscard]] std::string makeUuidVersion7(WallTime time);

/** Returns the time that is embedded in a UUID of version 7. Fails with InvalidInput for any other text. */
[[nodiscard]] Result<WallTime> timeOfUuidVersion7(std::string_view text);

/** Returns which of `shardCount` shards holds a key. Part of the interface with backend servers (docs/INTERFACES.md). */
[[nodiscard]] std::int32_t shardOfKey(std::string_view key, std::int32_t shardCount);

}
