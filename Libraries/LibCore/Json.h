/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Reads JSON from outside the process. Every access returns an error that says what
// is wrong, instead of throwing an exception.

#pragma once

#include <LibCore/Result.h>

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace Core
{

/** Parses a text that must be one JSON object. Fails with InvalidInput. */
[[nodiscard]] Result<nlohmann::json> parseObject(std::string_view text);

/** Returns a member that must be a string of at most `maximumLength` bytes. Fails with InvalidInput. */
[[nodiscard]] Result<std::string> textMember(const nlohmann::json &object, const char *name, std::size_t maximumLength = 4096);

/** Returns a member that must be an integer from `lowest` to `highest`. Fails with InvalidInput. */
[[nodiscard]] Result<std::int64_t> integerMember(const nlohmann::json &object, const char *name, std::int64_t lowest, std::int64_t highest);

/** Serializes a document. Bytes that are not valid UTF-8 are replaced instead of causing an exception. */
[[nodiscard]] std::string toText(const nlohmann::json &document, int indentation = -1);

}
