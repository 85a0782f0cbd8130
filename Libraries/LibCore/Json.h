/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Reading JSON that came from outside: every access says what is wrong
// instead of throwing.

#pragma once

#include <LibCore/Result.h>

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace Core
{

/** Parses text that has to be one JSON object. Fails with InvalidInput. */
[[nodiscard]] Result<nlohmann::json> parseObject(std::string_view text);

/** A member that has to be a string of at most `maximumLength` bytes. */
[[nodiscard]] Result<std::string> textMember(const nlohmann::json &object, const char *name, std::size_t maximumLength = 4096);

/** A member that has to be a whole number within limits. */
[[nodiscard]] Result<std::int64_t> integerMember(const nlohmann::json &object, const char *name, std::int64_t lowest, std::int64_t highest);

/** The text of a document; bytes that are no UTF-8 are replaced, never thrown on. */
[[nodiscard]] std::string toText(const nlohmann::json &document, int indentation = -1);

}
