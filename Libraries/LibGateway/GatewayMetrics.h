/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Counters of a gateway, and how they appear on its metrics page;
// docs/OPERATIONS.md describes the metrics.

#pragma once

#include <LibGateway/BackendPool.h>
#include <LibGateway/LostParts.h>
#include <LibGateway/Quota/QuotaLimiter.h>
#include <LibGateway/RepeatLending.h>
#include <LibGateway/RoutedRequest.h>
#include <LibGateway/Scheduling/OwnerLoad.h>
#include <LibMetrics/MetricsPage.h>
#include <LibWire/Server.h>

namespace Gateway
{

/** Counters of requests. */
struct GatewayCounters {
    std::uint64_t requests{0};
    std::uint64_t answered{0};
    std::uint64_t partial{0};
    /** Requests that were started and then refused, since no backend server had run them. */
    std::uint64_t refused{0};
    std::uint64_t failed{0};
    /** Requests whose caller closed the connection before the answer. */
    std::uint64_t callersGone{0};
    /** Requests that match no route. */
    std::uint64_t unrouted{0};
    /** Requests without an unambiguous meaning (CallerRequest::fault). */
    std::uint64_t ambiguous{0};
    /** Requests without an API key of a workspace, on routes that need one. */
    std::uint64_t unauthorized{0};
    /** Requests beyond the quota of their workspace. */
    std::uint64_t overQuota{0};
    /** Requests, and parts of searches, that were refused because they crash backend servers. */
    std::uint64_t quarantined{0};
    /** Requests, and parts of searches, that were refused since this gateway is being stopped. */
    std::uint64_t refusedInStop{0};
    /** Requests that had to end before their timeout since this gateway is being stopped. */
    std::uint64_t endedByStop{0};
    /** Requests that were refused or failed, by outcome and why they may have run. */
    std::map<std::pair<RequestOutcome, RunEvidence>, std::uint64_t> endings;
    std::uint64_t hedges{0};
    /** Parts of callers' searches that were to be relayed to other gateways when the search began. */
    std::uint64_t relayed{0};
    /** Parts that other gateways requested from this one, including those that it refused. */
    std::uint64_t partsReceived{0};
    /** Parts for other gateways that ended because these cancelled them. */
    std::uint64_t partsCancelled{0};
    /** Of these, parts that were declined because this gateway is too busy and another owner is not. */
    std::uint64_t partsDeclined{0};
};

/** Adds the numbers of requests by outcome, of hedges and of relayed parts. */
void addRequestMetrics(Metrics::MetricsPage &page, const GatewayCounters &counts);

/**
 * Adds the counters of sends and connections to backend servers, and the waits for capacity at these. The metrics of discarded answers and of swept rows do not
 * distinguish backend servers from gateways, so they are sums over both pools.
 */
void addSendMetrics(Metrics::MetricsPage &page, const BackendPool &servers, const BackendPool &gateways);

/** Adds the numbers of relayed parts whose outcome stays unknown. */
void addLostPartMetrics(Metrics::MetricsPage &page, const LostParts &lost);

/** Adds the counters of repeats that gateways lend each other, and of the queries for them. */
void addLendingMetrics(Metrics::MetricsPage &page, const LendingCounters &counts);

/** Adds the counters of quota decisions, of queries to and from other gateways, and the number of quotas of which this gateway holds a share. */
void addQuotaMetrics(Metrics::MetricsPage &page, const QuotaLimiter &quotas);

/** Adds how the connections of callers ended. */
void addConnectionMetrics(Metrics::MetricsPage &page, const Wire::ServerCounters &counts);

/** Adds the counters of parts by owner and the load of this gateway, if it is measured. */
void addOwnerMetrics(Metrics::MetricsPage &page, const OwnerLoadCounters &counts, const std::optional<LoopReport> &ownLoad);

}
