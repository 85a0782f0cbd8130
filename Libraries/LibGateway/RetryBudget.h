/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Limits the repeats (hedges and retries) that a service receives beyond the
// first send of each request. The budget holds for the whole deployment. Each
// gateway counts the requests that it receives and enforces a limit of its own,
// such that the sum stays within the budget wherever callers send their next
// requests. Gateways lend each other what they do not need (RepeatLending). When
// most of the limit is used, the rest is kept for the most valuable repeats
// (Scheduling/RepeatValue). Does no I/O.

#pragma once

#include <LibCore/Time.h>
#include <LibGateway/Scheduling/RepeatValue.h>

#include <array>
#include <cstdint>
#include <vector>

namespace Gateway
{

/** The budget of the whole deployment for one service. */
struct RetryBudgetOptions {
    /** Allowed repeats per request. */
    double ratio{0.2};
    /** Additional repeats that all gateways together may send in one window. */
    double slack{60.0};
    Core::Duration window{Core::seconds(10)};
    /**
     * No slack is granted before this time and the validity of a loan after it. A restarted process does not know what its earlier incarnation consumed or
     * lent, so this is one window after its start.
     */
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
    /** Maximum number of repeats in the window: those that were consumed and those that may be consumed now, borrowed ones included. */
    double limit{0.0};
    /** How many of them were borrowed and not consumed yet. */
    double borrowed{0.0};
    /** Least value of a repeat that is granted, from 0 to 1. */
    double threshold{0.0};
};

/**
 * Counts the requests and the repeats of one service. Invariant: at any time t, now or later and whatever is received meanwhile, the repeats that were sent or
 * lent within the window that ends at t are at most `usedShare` of the slack and of `ratio` times half of the requests in that window and half of those in the
 * window before it. The limit is linear in the requests, so the limits of all gateways add up to that of all requests, which is at most that of the window with
 * more requests, however the requests are spread over gateways and time. A gateway that restarts or is cut off keeps to its own limit and changes no other one.
 */
class RetryBudget
{
public:
    explicit RetryBudget(RetryBudgetOptions options = {});

    void recordRequest(Core::Instant now);

    /**
     * Consumes one repeat of the budget, a borrowed one first. Returns false if the budget is exhausted, or if the value is 0 or below the threshold.
     * `slackShare` is this gateway's share of the slack, from 0 to 1. Repeats of the highest value are granted until the budget is exhausted.
     */
    [[nodiscard]] bool consumeRetry(Core::Instant now, double slackShare, double value = HighestRepeatValue);

    /**
     * Lends up to `wanted` repeats to another gateway, and returns how many. They count here from now until a window after their validity. At least half of
     * what may be consumed stays here, and everything while repeats were denied here.
     */
    [[nodiscard]] int lend(Core::Instant now, double slackShare, int wanted);

    /** Repeats that another gateway lends may be sent for this long after they were requested. */
    [[nodiscard]] Core::Duration loanValidity() const;
    /** Adds repeats that another gateway has lent. */
    void addLoan(int count, Core::Instant validUntil);

    /** Whether, after the latest repeat was requested, less was left than was requested lately. */
    [[nodiscard]] bool wasShort() const;
    /** Returns how many repeats this gateway should borrow, by the repeats that were requested lately; 0 while it has as many. */
    [[nodiscard]] int shortage(Core::Instant now, double slackShare) const;

    /** Returns what is used; `slackShare` as in consumeRetry(). */
    [[nodiscard]] BudgetUse useAt(Core::Instant now, double slackShare) const;

private:
    static constexpr std::int64_t SlicesInWindow = 40;
    // The requests of two windows count, at the beginning of the earlier one also a part of a slice.
    static constexpr std::int64_t RequestSlices = 2 * SlicesInWindow + 1;
    // Repeats of a whole window, also if it begins within a slice, and loans, which are counted in the slice in which they are consumed at the latest.
    static constexpr std::int64_t LoanSlices = 2;
    static constexpr std::int64_t RepeatSlices = SlicesInWindow + 1 + LoanSlices;
    // A gateway has one budget for each service that it sends to, so it is kept small. A full counter of requests limits more than needed.
    using Count = std::uint16_t;
    struct Loan {
        int count{0};
        Core::Instant validUntil;
    };

    [[nodiscard]] Core::Duration sliceLength() const;
    /** Moves the counters on to the slice of this time. */
    void advance(Core::Instant now);
    [[nodiscard]] std::int64_t sliceNumberAt(Core::Instant now) const;
    /** Counts of whole slices: requests in the window that ends now and in the one before it, without the slices that lie in a window in part only, and
     * repeats. */
    struct SliceSums {
        double requests{0.0};
        double requestsBefore{0.0};
        double repeats{0.0};
    };
    [[nodiscard]] SliceSums sumsAt(std::int64_t slice) const;
    [[nodiscard]] double requestsIn(std::int64_t slice) const;
    [[nodiscard]] double repeatsIn(std::int64_t slice) const;
    /** Returns how many more repeats may be sent or lent now, so that no window that ends now or later exceeds the limit. */
    [[nodiscard]] double headroomAt(Core::Instant now, double slackShare) const;
    [[nodiscard]] double headroomWith(SliceSums sums, Core::Instant now, double slackShare) const;
    [[nodiscard]] double borrowedAt(Core::Instant now) const;
    /** Consumes a borrowed repeat. Returns false if there is none. */
    [[nodiscard]] bool consumeLoan(Core::Instant now);
    [[nodiscard]] double thresholdFor(double repeats, double limit) const;

    RetryBudgetOptions options;
    // Rings by slice number. Invariant: they hold the slices up to `current`, and repeats also those after it that loans are counted in.
    std::int64_t current{0};
    std::array<Count, static_cast<std::size_t>(RequestSlices)> requests{};
    std::array<Count, static_cast<std::size_t>(RepeatSlices)> repeats{};
    // Repeats that were requested, and those of them that were denied for want of budget, in the last slices, of which the current one is the first.
    std::array<Count, static_cast<std::size_t>(LoanSlices + 1)> requested{};
    std::array<Count, static_cast<std::size_t>(LoanSlices + 1)> exhausted{};
    std::vector<Loan> loans;
    bool isShort{false};
};

}
