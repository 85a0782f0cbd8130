/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Counts the repeats that retry budgets grant and deny, and logs the denied ones.
// While half of the backend servers refuse most requests, each search is denied
// dozens of repeats, and a line for each would cost more than the repeats. A few lines
// a second with the number of those left out show the values and thresholds.

#pragma once

#include <LibCore/StrongValue.h>
#include <LibGateway/RetryBudget.h>
#include <LibGateway/Scheduling/LogLimit.h>

#include <array>
#include <cstdint>

namespace Gateway
{

/** A repeat that a request asks the retry budget for. */
struct RepeatRequest {
    const Core::RequestId &request;
    RepeatKind kind{RepeatKind::RetryAfterFailure};
    /** What the repeat is worth, from 0 to 1. */
    double value{HighestRepeatValue};
};

/** Numbers of granted and denied repeats, by kind. */
class RepeatCounters
{
public:
    struct Counts {
        std::uint64_t granted{0};
        std::uint64_t denied{0};
    };

    void record(RepeatKind kind, bool isGranted);
    [[nodiscard]] Counts of(RepeatKind kind) const;

private:
    static constexpr std::size_t Kinds = 3;
    std::array<Counts, Kinds> counts{};
};

/** Logs `repeat.denied` for at most a few denied repeats a second. */
class DeniedRepeatLog
{
public:
    /** Lines in any period of one second that starts with a line. */
    static constexpr int LinesPerSecond = 3;

    /** Logs the repeat or counts it as left out. Returns whether it was logged. */
    bool record(const Core::ServiceName &service, const RepeatRequest &repeat, const BudgetUse &use, Core::Instant now);

private:
    LogLimit lines{LinesPerSecond};
};

}
