/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Limits the repeats (hedges and retries) that a service receives beyond the
// first send of each request. Each gateway enforces its own share of a budget for
// the whole deployment, so the sum stays within the budget without any
// communication between gateways. When most of the share is used, the rest is kept
// for the most valuable repeats (Scheduling/RepeatValue). Does no I/O.

#pragma once

#include <LibCore/Time.h>
#include <LibGateway/Scheduling/RepeatValue.h>

#include <array>
#include <cstdint>

namespace Gateway
{

/** The budget of the whole deployment for one service. */
struct RetryBudgetOptions {
    /** Allowed repeats per request. */
    double ratio{0.2};
    /** Additional repeats that all gateways together may send in one window. */
    double slack{60.0};
    Core::Duration window{Core::seconds(10)};
    /** No slack is granted before this time. A restarted process does not know what its earlier incarnation consumed, so it gets no slack for one window. */
    Core::Instant slackFrom;
    /**
     * Fraction of the budget that is used. The rest allows for requests that arrive some milliseconds after they were sent, and for a gateway count that
     * is wrong for a moment.
     */
    double usedShare{0.95};
    /**
     * Fraction of the limit that is granted to repeats of any value above 0. Over the rest the least value that gets a repeat rises linearly from 0 to the
     * highest value. A limit of up to three repeats is too small to keep any of them back, and each goes to the first that asks.
     */
    double unrankedShare{2.0 / 3.0};
};

/** What a gateway has used of its share of a service's budget. */
struct BudgetUse {
    /** Repeats and first sends in the window that ends now. */
    double repeats{0.0};
    double requests{0.0};
    /** Maximum number of repeats in the window. */
    double limit{0.0};
    /** Least value of a repeat that is granted, from 0 to 1. */
    double threshold{0.0};
};

/** Counts the requests and the repeats of one service in a sliding window. */
class RetryBudget
{
public:
    explicit RetryBudget(RetryBudgetOptions options = {});

    void recordRequest(Core::Instant now);

    /**
     * Consumes one repeat of the budget. Returns false if the budget is exhausted, or if the value is 0 or below the threshold. `slackShare` is this gateway's
     * share of the slack, from 0 to 1. Repeats of the highest value are granted until the budget is exhausted.
     */
    [[nodiscard]] bool consumeRetry(Core::Instant now, double slackShare, double value = HighestRepeatValue);

    /** Returns what is used; `slackShare` as in consumeRetry(). */
    [[nodiscard]] BudgetUse useAt(Core::Instant now, double slackShare) const;

private:
    // One slice more than the window has, so that every span of the window's length lies within the counted slices. All of their repeats count. Of the oldest
    // slice, only the part of the requests counts that lies in the window that ends now; otherwise more repeats would be granted than its requests allow.
    static constexpr std::int64_t SlicesInWindow = 20;
    static constexpr std::int64_t SliceCount = SlicesInWindow + 1;
    struct Slice {
        std::int64_t number{-1};
        std::uint32_t requests{0};
        std::uint32_t repeats{0};
    };

    [[nodiscard]] std::int64_t sliceNumberAt(Core::Instant now) const;
    [[nodiscard]] Slice &sliceAt(Core::Instant now);
    /** The part of the current slice that is still to come, from 0 to 1: as much of the oldest one lies in the window. */
    [[nodiscard]] double remainderOfSlice(Core::Instant now) const;
    [[nodiscard]] double thresholdFor(double repeats, double limit) const;

    RetryBudgetOptions options;
    std::array<Slice, static_cast<std::size_t>(SliceCount)> slices{};
};

}
