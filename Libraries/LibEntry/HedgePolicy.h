/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Decides when a hedge is sent for a sub-request that has no reply yet, and
// limits the extra load of hedges and retries by budgets.

#pragma once

#include <LibCore/LatencyDigest.h>
#include <LibCore/Time.h>
#include <LibEntry/LoadBudget.h>

#include <optional>

namespace Entry
{

/** Parameters, including the baselines for measurements (no hedges, a fixed delay). */
struct HedgePolicyOptions {
    bool enabled{true};
    /** Quantile of the latencies that is the hedge delay: this share of sub-requests is expected to be answered before. */
    double quantile{0.95};
    /** When set, hedges are sent after this delay, independent of latencies. */
    std::optional<Core::Duration> fixedDelay;
    Core::Duration minimumDelay{Core::milliseconds(2)};
    /** Hedge delay until enough latencies have been recorded. */
    Core::Duration fallbackDelay{Core::milliseconds(30)};
    LoadBudgetOptions hedgeBudget{.tokensPerRequest = 0.05, .burst = 20.0};
    LoadBudgetOptions retryBudget{.tokensPerRequest = 0.10, .burst = 50.0};
};

/** Hedge delay and budgets of one service. */
class HedgePolicy
{
public:
    explicit HedgePolicy(HedgePolicyOptions options);

    /** Time from the latest attempt until a hedge is due, or nothing when hedging is disabled. */
    [[nodiscard]] std::optional<Core::Duration> delay(const Core::LatencyDigest &latencies) const;

    void recordFirstAttempt();
    /** Returns whether the budget allows a hedge now, and if so consumes one token of it. */
    [[nodiscard]] bool consumeHedge();
    /** Returns whether the budget allows a retry now, and if so consumes one token of it. */
    [[nodiscard]] bool consumeRetry();

    [[nodiscard]] double hedgesAvailable() const;
    [[nodiscard]] double retriesAvailable() const;

private:
    HedgePolicyOptions options;
    LoadBudget hedges;
    LoadBudget retries;
};

}
