/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// How busy a gateway is, as it measures it and tells it to others.
//
// Load pattern: gateways that own cells serve parts on a tenth of a core each. A part
// occupies such a gateway for about 11 ms, and callers of urgent searches expect an answer
// within 80 ms. At half of its time a gateway delays a part by another 11 ms, at 0.75 by
// 33 ms, and beyond that most urgent searches are late, while the next gateway may be idle.
// The share of time in which the loop does not wait shows that early, and the lateness of
// timers shows what it does not: a process that could run and gets no processor. Pure.

#pragma once

#include <LibCore/Time.h>

#include <optional>
#include <string>
#include <string_view>

namespace Gateway
{

/** Period of LoopLoad::sample(): several samples within the time constant of the smoothing. */
inline constexpr Core::Duration LoadSamplePeriod = Core::milliseconds(100);

/** Load of a gateway, as it reports it. */
struct LoopReport {
    /** Share of the time in which the loop was not waiting for events, from 0 to 100. */
    int busyPercent{0};
    /** How late timers run. */
    Core::Duration late{0};

    /** Returns both measures as one number: 1 is a gateway without spare capacity. Comparable between gateways of different speed. */
    [[nodiscard]] double pressure() const;
    /** Returns the expected time until a part that arrives now has been processed, without the time that backend servers take. */
    [[nodiscard]] Core::Duration expectedDelay() const;
    /** Whether a part would most likely be late if its answer is due after `timeLeft`. */
    [[nodiscard]] bool isTooBusyFor(Core::Duration timeLeft) const;
};

/** Writes a report as BUSY_PERCENT,LATE_MS. */
[[nodiscard]] std::string formatLoad(const LoopReport &report);

/** Returns nothing for a text that formatLoad() does not write. */
[[nodiscard]] std::optional<LoopReport> parseLoad(std::string_view text);

/**
 * Whether a gateway should decline a part whose answer is due after `timeLeft`, because it is too busy and another owner of the cell, to which the part would
 * go then, is not.
 */
[[nodiscard]] bool shouldDecline(const LoopReport &own, const LoopReport &other, Core::Duration timeLeft);

/** Measures the load of this gateway by samples. */
class LoopLoad
{
public:
    explicit LoopLoad(Core::Instant now);

    /**
     * Takes a sample. To be called by a timer with the period LoadSamplePeriod that is due at its multiples; `waited` is the time that the loop has waited for
     * events, since any fixed point in time.
     */
    void sample(Core::Duration waited, Core::Instant now);

    [[nodiscard]] LoopReport report() const;

private:
    // Invariant: from 0 to 1.
    double busy{0.0};
    double lateMilliseconds{0.0};
    Core::Duration waitedBefore{0};
    Core::Instant sampledAt;
};

}
