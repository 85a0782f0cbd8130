/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Quantiles of recent latencies in bounded memory: a histogram with buckets
// that grow by a fixed factor, whose counts decay with time.

#pragma once

#include <LibCore/Time.h>

#include <array>

namespace Core
{

/** Latencies between 50 µs and about 100 s, each bucket 10 % wider than the last. */
class LatencyDigest
{
public:
    /** Counts one latency. */
    void add(Duration latency);

    /** Halves all counts once for each half-life that has passed. */
    void decay(Instant now);

    /** The upper end of the bucket that holds the quantile; `fallback` with fewer than `minimumCount` latencies. */
    [[nodiscard]] Duration quantile(double quantile, Duration fallback, double minimumCount = 50.0) const;

    [[nodiscard]] double count() const;

private:
    static constexpr std::size_t BucketCount = 160;
    static constexpr Duration HalfLife = seconds(10);

    [[nodiscard]] static std::size_t bucketOf(Duration latency);
    [[nodiscard]] static Duration upperEnd(std::size_t bucket);

    std::array<double, BucketCount> counts{};
    double total{0.0};
    Instant lastFade;
};

}
