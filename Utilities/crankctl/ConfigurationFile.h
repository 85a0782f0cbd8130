/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Converts the configuration between the JSON file that operators write and the Thrift structure.

#pragma once

#include <LibCore/Json.h>
#include <LibCore/Result.h>
#include <LibProtocol/Generated/operator_types.h>

namespace CrankCtl
{

/** Parses the text of a configuration file. Unknown members are errors, so that a misspelt member is reported instead of ignored. */
[[nodiscard]] Core::Result<Protocol::Configuration> configurationFromText(const std::string &text);

/** Makes a document that configurationFromText() can parse. */
[[nodiscard]] nlohmann::json configurationToJson(const Protocol::Configuration &configuration);

}
