/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Limits the time that a search gives a backend server for a part of it. A search is
// answered at its target time if enough shards have replied. Work on the remaining shards
// after that has no effect on the answer, and newer searches queue behind it. Pure.

#pragma once

#include <LibCore/Time.h>

namespace Gateway
{

/** When an answer is no longer useful, and when this limit is not applied. */
struct WorkLimitOptions {
    /**
     * Time after the target in which an answer is still useful: a round trip between regions and a little more, for a search that waits slightly longer for its
     * last shards.
     */
    Core::Duration grace{Core::milliseconds(40)};
    /** The limit is not applied while a larger share of sends times out: answers are late everywhere then, and callers can only get late ones. */
    double maximumTimeoutShare{0.25};
    /** Weight of the newest send in the smoothed share of timeouts, and the half-life of that share, after which the limit is tried again. */
    double weight{0.05};
    double halfLifeSeconds{2.0};
};

/** Work limit of one route. */
class WorkLimit
{
public:
    explicit WorkLimit(WorkLimitOptions options = {});

    /** Returns the time to give a backend server: `timeLeft`, or less when the answer would be useless before that. */
    [[nodiscard]] Core::Duration timeFor(Core::Duration timeLeft, Core::Duration timeLeftToTarget, Core::Duration typicalLatency, Core::Instant now) const;

    /** Records that a send with a limit was answered within it. */
    void recordAnswered(Core::Instant now);
    /** Records that a send ended without an answer after its limit. */
    void recordTimeout(Core::Instant now);

private:
    [[nodiscard]] double timeoutShare(Core::Instant now) const;
    void update(double timedOut, Core::Instant now);

    WorkLimitOptions options;
    double smoothedTimeoutShare{0.0};
    Core::Instant timeoutShareTime;
};

}
