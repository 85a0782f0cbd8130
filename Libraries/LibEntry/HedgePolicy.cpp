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
    return std::max(this->options.shortestDelay, latencies.quantile(this->options.quantile, this->options.fallbackDelay));
}

void HedgePolicy::noteFirstAttempt()
{
    this->hedges.earn();
    this->retries.earn();
}

bool HedgePolicy::spendHedge()
{
    return this->hedges.spend();
}

bool HedgePolicy::spendRetry()
{
    return this->retries.spend();
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
