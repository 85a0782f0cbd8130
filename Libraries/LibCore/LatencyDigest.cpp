/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibCore/LatencyDigest.h>

#include <algorithm>
#include <cmath>

namespace Core
{

static constexpr double LowestMicroseconds = 50.0;
static constexpr double Growth = 1.1;

std::size_t LatencyDigest::bucketOf(Duration latency)
{
    const double ratio = static_cast<double>(latency.count()) / LowestMicroseconds;
    if (ratio <= 1.0) {
        return 0;
    }
    const auto bucket = static_cast<std::size_t>(std::ceil(std::log(ratio) / std::log(Growth)));
    return std::min(bucket, BucketCount - 1);
}

Duration LatencyDigest::upperBound(std::size_t bucket)
{
    return Duration(static_cast<Duration::rep>(LowestMicroseconds * std::pow(Growth, static_cast<double>(bucket))));
}

void LatencyDigest::add(Duration latency)
{
    this->counts[bucketOf(latency)] += 1.0;
    this->total += 1.0;
}

void LatencyDigest::decay(Instant now)
{
    while (now - this->lastDecay >= HalfLife) {
        this->lastDecay = std::max(this->lastDecay + HalfLife, now - 8 * HalfLife);
        for (auto &count : this->counts) {
            count /= 2.0;
        }
        this->total /= 2.0;
    }
}

Duration LatencyDigest::quantile(double quantile, Duration fallback, double minimumCount) const
{
    if (this->total < minimumCount) {
        return fallback;
    }
    double below = 0.0;
    for (std::size_t bucket = 0; bucket < BucketCount; ++bucket) {
        below += this->counts[bucket];
        if (below >= quantile * this->total) {
            return upperBound(bucket);
        }
    }
    return upperBound(BucketCount - 1);
}

double LatencyDigest::count() const
{
    return this->total;
}

}
