/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Time limits and delays of requests in flight.

#pragma once

#include <LibCore/Time.h>

namespace Gateway
{

/** Settings that apply to every route. Settings that differ by route are part of the declaration. */
struct RequestSettings {
    /** Fraction of the target latency that is reserved for sending the answer to the caller, including the caller opening a new connection. */
    double returnReserveShare{0.13};
    /** Minimum of this reserve: four times the one-way latency to the farthest known callers (3 ms), plus processing time in both programs. */
    Core::Duration minimumReturnReserve{Core::milliseconds(16)};
    /** Processor time on a whole core that answers take from the target on: merging, writing, and other work that is due at the same time. */
    Core::Duration returnProcessorTime{Core::milliseconds(1)};
    /** An attempt without a reply is hedged after this multiple of the typical latency. */
    double hedgeFactor{2.2};
    /** Minimum hedge delay: about one round trip to the farthest region. */
    Core::Duration hedgeFloor{Core::milliseconds(16)};
    /** Maximum hedge delay as a fraction of the target latency, so that a hedge can still be answered before the target. */
    double hedgeCeilingShare{0.4};
    /** Typical latency as a fraction of the target latency, assumed until enough latencies were measured. */
    double assumedLatencyShare{0.15};
    /** Sent to the caller as Retry-After when the request was not run. */
    Core::Duration retryAfter{Core::milliseconds(150)};
    /**
     * Sent as Retry-After while this gateway does not know the declaration yet: about the remaining time of a startup. Callers retry once, so an earlier
     * retry would fail as well.
     */
    Core::Duration retryAfterStartup{Core::milliseconds(600)};
    /** Reserved at the end of the time that a request may take, so that its answer is sent before that time is over. */
    Core::Duration answerReserve{Core::milliseconds(20)};
    /** Fraction of the target latency that a single request waits for free capacity before it is refused. */
    double capacityWaitShare{0.2};
    /**
     * Upper limit of the time in which a relayed part may be given up and its shards sent again. The serving gateway makes one attempt at each shard in that
     * time, so a longer one delays its hedges.
     */
    Core::Duration maximumGiveUpTime{Core::milliseconds(90)};
    /** Time limit of a request whose caller sent no timeout. */
    Core::Duration defaultTimeout{Core::seconds(10)};
};

/**
 * Returns the minimum reserve for a gateway that runs on `processorShare` of a core: the same work takes longer on a smaller share. The setting
 * includes the work at a quarter of a core, so only a smaller share adds to it.
 */
[[nodiscard]] Core::Duration minimumReturnReserveFor(const RequestSettings &settings, double processorShare);

}
