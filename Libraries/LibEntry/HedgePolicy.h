/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// When a second attempt is sent for a sub-request that has no answer yet, and
// how much of that backend servers are burdened with.

#pragma once

#include <LibCore/LatencyDigest.h>
#include <LibCore/Time.h>
#include <LibEntry/LoadBudget.h>

#include <optional>

namespace Entry
{

/** Knobs, with the baselines that measurements compare against. */
struct HedgePolicyOptions {
    bool enabled{true};
    /** The share of sub-requests that are expected to answer before a hedge is sent. */
    double quantile{0.95};
    /** When set, hedges are sent after this delay whatever the latencies are. */
    std::optional<Core::Duration> fixedDelay;
    Core::Duration shortestDelay{Core::milliseconds(2)};
    /** Used until enough latencies are known. */
    Core::Duration fallbackDelay{Core::milliseconds(30)};
    LoadBudgetOptions hedgeBudget{.earnedPerRequest = 0.05, .burst = 20.0};
    LoadBudgetOptions retryBudget{.earnedPerRequest = 0.10, .burst = 50.0};
};

/** One for each service. */
class HedgePolicy
{
public:
    explicit HedgePolicy(HedgePolicyOptions options);

    /** How long after sending the second attempt is due; nothing when there are no hedges. */
    [[nodiscard]] std::optional<Core::Duration> delay(const Core::LatencyDigest &latencies) const;

    void noteFirstAttempt();
    /** Whether a hedge may be sent now; if so it is paid for. */
    [[nodiscard]] bool spendHedge();
    /** Whether an attempt that failed may be repeated now; if so it is paid for. */
    [[nodiscard]] bool spendRetry();

    [[nodiscard]] double hedgesAvailable() const;
    [[nodiscard]] double retriesAvailable() const;

private:
    HedgePolicyOptions options;
    LoadBudget hedges;
    LoadBudget retries;
};

}
