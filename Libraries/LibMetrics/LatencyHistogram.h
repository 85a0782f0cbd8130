/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Counts of latencies in fixed buckets, for a monitoring system to add up over
// many processes. LatencyDigest is for decisions inside one.

#pragma once

#include <LibCore/Time.h>

#include <array>
#include <cstdint>

namespace Metrics
{

/** Grows for the life of the process. */
class LatencyHistogram
{
public:
    /** Upper ends of the buckets in milliseconds; a last bucket takes the rest. Around the targets of the deployments, 80 to 600 ms. */
    static constexpr std::array<int, 12> UpperEnds{5, 10, 20, 40, 80, 120, 200, 300, 600, 1200, 3000, 6000};

    void add(Core::Duration latency);

    /** Latencies in each bucket, the last one for the rest. */
    [[nodiscard]] const std::array<std::uint64_t, UpperEnds.size() + 1> &counts() const;
    [[nodiscard]] double sumSeconds() const;

private:
    std::array<std::uint64_t, UpperEnds.size() + 1> buckets{};
    Core::Duration sum{0};
};

}
