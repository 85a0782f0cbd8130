/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibMetrics/LatencyHistogram.h>

#include <algorithm>

namespace Metrics
{

void LatencyHistogram::add(Core::Duration latency)
{
    const auto bucket = std::lower_bound(UpperBounds.begin(), UpperBounds.end(), Core::toFractionalMilliseconds(latency));
    ++this->buckets[static_cast<std::size_t>(bucket - UpperBounds.begin())];
    this->sum += latency;
}

const std::array<std::uint64_t, LatencyHistogram::UpperBounds.size() + 1> &LatencyHistogram::counts() const
{
    return this->buckets;
}

double LatencyHistogram::sumSeconds() const
{
    return Core::toFractionalMilliseconds(this->sum) / 1000.0;
}

}
