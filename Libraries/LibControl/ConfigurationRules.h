/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// What makes a declared configuration acceptable, and how two of them differ.

#pragma once

#include <LibProtocol/Generated/operator_types.h>

#include <string>
#include <vector>

namespace Control
{

/** Limits that hold for every configuration. */
struct ConfigurationLimits {
    std::size_t maximumServices{100'000};
    std::size_t maximumClasses{64};
    std::int32_t maximumShards{65'536};
    std::int32_t maximumDeadlineMilliseconds{600'000};
    std::size_t maximumNameLength{128};
};

/** Every fault at once; empty when the configuration is acceptable. */
[[nodiscard]] std::vector<Protocol::Fault> findFaults(const Protocol::Configuration &configuration, const ConfigurationLimits &limits = {});

/** What changes from one configuration to the other, one line each. */
[[nodiscard]] std::vector<std::string> findDifferences(const Protocol::Configuration &before, const Protocol::Configuration &after);

/** Equal exactly when the contents are. */
[[nodiscard]] std::string contentDigest(const Protocol::Configuration &configuration);

}
