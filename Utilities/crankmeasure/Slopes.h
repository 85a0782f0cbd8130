/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Slopes for docs/CAPACITY.md, measured in one process at two sizes each: what
// one more replica, sub-request, service, change or claim costs.

#pragma once

#include <string>
#include <vector>

namespace Measure
{

/** One figure at one size. */
struct Sample {
    std::string what;
    std::string unit;
    double size{0.0};
    double value{0.0};
};

/** Bytes and processor time of the registry, by the number of replicas. */
[[nodiscard]] std::vector<Sample> measureRegistry(std::size_t replicas);

/** Processor time of the decisions for one search, without any network, by the number of shards. */
[[nodiscard]] std::vector<Sample> measureFanOut(std::int32_t shards);

/** Bytes and processor time of a configuration, by the number of services. */
[[nodiscard]] std::vector<Sample> measureConfiguration(std::int32_t services);

/** Bytes and processor time of the records of actions, by their number. */
[[nodiscard]] std::vector<Sample> measureClaims(std::size_t claims);

}
