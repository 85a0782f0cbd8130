/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// The configuration as operators write it in a file: JSON, every member checked.

#pragma once

#include <LibCore/Json.h>
#include <LibCore/Result.h>
#include <LibProtocol/Generated/operator_types.h>

namespace CrankCtl
{

/** Reads a file's text. Unknown members are errors, so that a misspelt one is not passed over. */
[[nodiscard]] Core::Result<Protocol::Configuration> configurationFromText(const std::string &text);

/** The document that configurationFromText() reads. */
[[nodiscard]] nlohmann::json configurationToJson(const Protocol::Configuration &configuration);

}
