/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// What a gateway counts, and how metrics show it; docs/OPERATIONS.md tells what the
// names mean.

#pragma once

#include <LibGateway/BackendPool.h>
#include <LibGateway/QuotaLimiter.h>
#include <LibMetrics/MetricsPage.h>

namespace Gateway
{

/** Counts for metrics. */
struct GatewayCounters {
    std::uint64_t requests{0};
    std::uint64_t answered{0};
    std::uint64_t partial{0};
    std::uint64_t refused{0};
    std::uint64_t failed{0};
    std::uint64_t callersGone{0};
    std::uint64_t unrouted{0};
    /** Without an API key that a workspace holds. */
    std::uint64_t unauthorized{0};
    /** Beyond their workspace's quota. */
    std::uint64_t overQuota{0};
    std::uint64_t hedges{0};
    /** Searches of which another gateway was asked for a part, and parts that others asked for. */
    std::uint64_t relayed{0};
    std::uint64_t takenForOthers{0};
};

/** Requests by outcome, and what they cost. */
void addRequestMetrics(Metrics::MetricsPage &page, const GatewayCounters &counts);

/** Sends and connections to backend servers; of those to other gateways, what can't be told apart. */
void addSendMetrics(Metrics::MetricsPage &page, const BackendPool &servers, const BackendPool &gateways);

void addQuotaMetrics(Metrics::MetricsPage &page, const QuotaLimiter &quotas);

}
