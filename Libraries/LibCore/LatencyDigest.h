/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Estimates quantiles of recent latencies in bounded memory, with a histogram whose
// buckets grow by a fixed factor and whose counts decay over time.

#pragma once

#include <LibCore/Time.h>

#include <array>

namespace Core
{

/** A histogram of latencies from 50 µs to more than 100 s; each bucket is 10 % wider than the one before. */
class LatencyDigest
{
public:
    /** Counts one latency. */
    void add(Duration latency);

    /** Halves all counts once for each half-life that has passed since the previous call. */
    void decay(Instant now);

    /** Returns the upper bound of the bucket that contains the quantile (from 0 to 1); `fallback` when count() is below `minimumCount`. */
    [[nodiscard]] Duration quantile(double quantile, Duration fallback, double minimumCount = 50.0) const;

    /** Returns the number of latencies, with decay. */
    [[nodiscard]] double count() const;

private:
    static constexpr std::size_t BucketCount = 160;
    static constexpr Duration HalfLife = seconds(10);

    [[nodiscard]] static std::size_t bucketOf(Duration latency);
    [[nodiscard]] static Duration upperBound(std::size_t bucket);

    std::array<double, BucketCount> counts{};
    double total{0.0};
    Instant lastDecay;
};

}
