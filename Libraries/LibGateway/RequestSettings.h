/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Limits and delays of requests under way.

#pragma once

#include <LibCore/Time.h>

namespace Gateway
{

/** All of them hold for every route; what differs by route is in the declaration. */
struct RequestSettings {
    /** The part of the target latency that is kept for the way back to the caller and for a new connection of it. */
    double returnReserveShare{0.13};
    /** … but at least this long: four times the one-way time of the farthest callers that we know of (3 ms), and some for both programs. */
    Core::Duration minimumReturnReserve{Core::milliseconds(16)};
    /** The processor time of a whole core that an answer takes from its target on: merging, writing, and what waits at the same time. */
    Core::Duration returnProcessorTime{Core::milliseconds(1)};
    /** An attempt without a reply is hedged after this many times the usual latency … */
    double hedgeFactor{2.2};
    /** … and at least this long, which is about what a round trip to the farthest region takes. */
    Core::Duration hedgeFloor{Core::milliseconds(16)};
    /** … and at most this part of the target latency, so that a hedge can still make it. */
    double hedgeCeilingShare{0.4};
    /** The usual latency, as a part of the target, before any was measured. */
    double assumedLatencyShare{0.15};
    /** Given to the caller as the time to come back after when nothing ran. */
    Core::Duration retryAfter{Core::milliseconds(150)};
    /** The same while this gateway does not know yet what is declared: about what is left of a start. Callers come back once, so sooner would be in vain. */
    Core::Duration retryAfterStartup{Core::milliseconds(600)};
    /** Kept back from the time that a request may take, so that its answer is out before the time is over. */
    Core::Duration answerReserve{Core::milliseconds(20)};
    /** The part of the target latency that a single request waits for room before it is refused. */
    double roomWaitShare{0.2};
    /**
     * A connection to another gateway that breaks within this time of a send was reset by a machine that knows nothing of it: a round trip within a
     * region (2 ms) and both programs. Shorter than any backend server takes to lose an answer, so each shard was sent once at most by then.
     */
    Core::Duration immediateBreak{Core::milliseconds(6)};
    /** How long a request may be held for which nobody said how long. */
    Core::Duration defaultPatience{Core::seconds(10)};
};

/** The return floor on a part of a core, which takes longer for the same work. A quarter of a core is in the floor itself, which was measured there. */
[[nodiscard]] Core::Duration minimumReturnReserveFor(const RequestSettings &settings, double processorShare);

}
