/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Histograms and log lines of the waits for capacity at all services of one pool.
//
// Load pattern: under overload hundreds of requests wait at each of 90 shards, so a line
// for each wait would cost more than the waits. A line is written only for waits of more
// than a quarter of the target: a request that is refused later than that is worth less
// to its caller than one that is refused at once, and of an answer's time it is the part
// that more capacity or another order would have saved.

#pragma once

#include <LibGateway/Scheduling/CapacityQueue.h>
#include <LibGateway/Scheduling/LogLimit.h>
#include <LibMetrics/LatencyHistogram.h>

namespace Gateway
{

/** Records how waits for capacity ended. */
class CapacityWaits
{
public:
    /** Maximum number of log lines in a second. The waits of one search over 90 shards end at about the same time, and a few of them show its cause. */
    static constexpr int MaximumLinesPerSecond = 5;

    /** Counts a wait that has ended, and logs it if it was long and few lines were written within the last second. Returns whether it was logged. */
    bool record(const Core::ServiceName &service, const CapacityWait &wait, Core::Instant now);

    /** Waits of requests that were sent. */
    [[nodiscard]] const Metrics::LatencyHistogram &sent() const;
    /** Waits of requests that left without capacity: they expired, were refused, or their callers have gone. */
    [[nodiscard]] const Metrics::LatencyHistogram &left() const;
    /** Waits that ended too late for an answer within the target. */
    [[nodiscard]] std::uint64_t late() const;
    /** Waits that ended while the newest came first, since requests had become late. */
    [[nodiscard]] std::uint64_t overloaded() const;

private:
    Metrics::LatencyHistogram sentWaits;
    Metrics::LatencyHistogram leftWaits;
    std::uint64_t lateWaits{0};
    std::uint64_t overloadedWaits{0};
    LogLimit lines{MaximumLinesPerSecond};
};

}
