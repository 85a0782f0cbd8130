/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibEntry/HedgePolicy.h>

#include <algorithm>

namespace Entry
{

HedgePolicy::HedgePolicy(HedgePolicyOptions options) : options(options), hedges(options.hedgeBudget), retries(options.retryBudget)
{
}

std::optional<Core::Duration> HedgePolicy::delay(const Core::LatencyDigest &latencies) const
{
    if (!this->options.enabled) {
        return std::nullopt;
    }
    if (this->options.fixedDelay.has_value()) {
        return this->options.fixedDelay;
    }
    return std::max(this->options.minimumDelay, latencies.quantile(this->options.quantile, this->options.fallbackDelay));
}

void HedgePolicy::recordFirstAttempt()
{
    this->hedges.refill();
    this->retries.refill();
}

bool HedgePolicy::consumeHedge()
{
    return this->hedges.consume();
}

bool HedgePolicy::consumeRetry()
{
    return this->retries.consume();
}

double HedgePolicy::hedgesAvailable() const
{
    return this->hedges.available();
}

double HedgePolicy::retriesAvailable() const
{
    return this->retries.available();
}

}
