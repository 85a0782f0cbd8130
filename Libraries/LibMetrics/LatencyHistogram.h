/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Counts latencies in fixed buckets, so that a monitoring system can sum them over
// many processes. LatencyDigest serves decisions within one process.

#pragma once

#include <LibCore/Time.h>

#include <array>
#include <cstdint>

namespace Metrics
{

/** A histogram whose counts grow until the process ends. */
class LatencyHistogram
{
public:
    /** Upper bounds of the buckets in milliseconds; a last bucket counts the rest. They lie around the deployments' latency targets, 80 to 600 ms. */
    static constexpr std::array<int, 12> UpperBounds{5, 10, 20, 40, 80, 120, 200, 300, 600, 1200, 3000, 6000};

    void add(Core::Duration latency);

    /** Returns the number of latencies in each bucket. The last bucket counts those above all bounds. */
    [[nodiscard]] const std::array<std::uint64_t, UpperBounds.size() + 1> &counts() const;
    [[nodiscard]] double sumSeconds() const;

private:
    std::array<std::uint64_t, UpperBounds.size() + 1> buckets{};
    Core::Duration sum{0};
};

}
