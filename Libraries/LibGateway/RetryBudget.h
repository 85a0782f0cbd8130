/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Bounds the requests that a service gets beyond the first send of each. Every
// gateway keeps its own part of a budget that holds for all of them together, so
// the sum stays within it without a word between them. Pure.

#pragma once

#include <LibCore/Time.h>

#include <array>
#include <cstdint>

namespace Gateway
{

/** The budget of the whole deployment for one service. */
struct RetryBudgetOptions {
    /** Repeats for each request. */
    double ratio{0.2};
    /** Repeats allowed on top, in one window, by all gateways together. */
    double slack{60.0};
    Core::Duration window{Core::seconds(10)};
    /** No slack before then. What a process used before it was started again is forgotten, so a fresh one has none for a window. */
    Core::Instant slackFrom;
    /** The part of the budget that is used, since requests arrive some milliseconds after they are sent, and gateways may be miscounted for a moment. */
    double usedShare{0.95};
};

/** Counts requests and repeats in a sliding window. */
class RetryBudget
{
public:
    explicit RetryBudget(RetryBudgetOptions options = {});

    void recordRequest(Core::Instant now);

    /** Takes one repeat out of the budget; false when there is none left. `slackShare` is the part of the slack that is this gateway's, up to 1. */
    [[nodiscard]] bool consumeRetry(Core::Instant now, double slackShare);

private:
    // One slice more than a window has, so that each span of its length lies within what is counted.
    static constexpr std::int64_t SlicesInWindow = 20;
    static constexpr std::int64_t SliceCount = SlicesInWindow + 1;
    struct Slice {
        std::int64_t number{-1};
        std::uint32_t requests{0};
        std::uint32_t repeats{0};
    };

    [[nodiscard]] Slice &sliceAt(Core::Instant now);

    RetryBudgetOptions options;
    std::array<Slice, static_cast<std::size_t>(SliceCount)> slices{};
};

}
