/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Measures, in one process and at several sizes each, what an additional replica, sub-request, service, change or claim costs.
// docs/CAPACITY.md uses these slopes.

#pragma once

#include <string>
#include <vector>

namespace Measure
{

/** One measured value at one size; `what` names the value in the output. */
struct Sample {
    std::string what;
    std::string unit;
    double size{0.0};
    double value{0.0};
};

/** Memory and processor time of the backend registry and its relay messages, for a number of replicas. */
[[nodiscard]] std::vector<Sample> measureRegistry(std::size_t replicas);

/** Processor time of the decisions for one search, without network, for a number of shards. */
[[nodiscard]] std::vector<Sample> measureFanOut(std::int32_t shards);

/** Memory, message size and processor time of a configuration, for a number of services. */
[[nodiscard]] std::vector<Sample> measureConfiguration(std::int32_t services);

/** Memory, message size and processor time of claim records, for a number of claims. */
[[nodiscard]] std::vector<Sample> measureClaims(std::size_t claims);

/** Memory, message size and processor time of crash records, each with three attempts, for a number of records. */
[[nodiscard]] std::vector<Sample> measureCrashRecords(std::size_t records);

/** Time until a coordinator's log with this many declarations of 1 MiB is open again, and until its newest declaration is applied. */
[[nodiscard]] std::vector<Sample> measureLogReopening(std::int64_t declarations);

}
