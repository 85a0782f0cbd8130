/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Validation and comparison of declared configurations.

#pragma once

#include <LibProtocol/Generated/operator_types.h>

#include <string>
#include <vector>

namespace Control
{

/** Limits that every configuration has to observe. */
struct ConfigurationLimits {
    std::size_t maximumServices{100'000};
    std::size_t maximumClasses{64};
    std::int32_t maximumShards{65'536};
    std::int32_t maximumDeadlineMilliseconds{600'000};
    std::size_t maximumNameLength{128};
};

/** All faults of a configuration, so that an operator sees them at once; empty when the configuration is valid. */
[[nodiscard]] std::vector<Protocol::Fault> findFaults(const Protocol::Configuration &configuration, const ConfigurationLimits &limits = {});

/** The differences between two configurations for operators, one line for each. */
[[nodiscard]] std::vector<std::string> findDifferences(const Protocol::Configuration &before, const Protocol::Configuration &after);

/** The SHA-256 of the serialized configuration, equal for two configurations exactly when their contents are equal. */
[[nodiscard]] std::string contentDigest(const Protocol::Configuration &configuration);

}
