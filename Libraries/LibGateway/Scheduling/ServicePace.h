/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// The rate at which the requests that wait at one service are sent, measured while some
// wait. Pure.
//
// Load pattern: a backlog says nothing without the rate at which it is served. 40 waiting
// requests are 100 ms at a healthy shard and 4 s at one that has lost two of three servers.

#pragma once

#include <LibCore/Time.h>

#include <optional>

namespace Gateway
{

/** Measurements decay, so that the rate follows servers that fail or recover. */
class ServicePace
{
public:
    /** Records whether requests wait from now on. */
    void recordWaiting(bool isWaiting, Core::Instant now);

    /** Records that a request that waited was sent. */
    void recordSent(Core::Instant now);

    /**
     * Returns the number of waiting requests that are sent in a second, or nothing while it was measured for too short a time. One request more than was
     * measured is counted, so that a service that has sent none has a small rate and not zero.
     */
    [[nodiscard]] std::optional<double> perSecond(Core::Instant now) const;

    /** Returns for how long requests have waited without any being sent; 0 if none waits. */
    [[nodiscard]] Core::Duration unsentFor(Core::Instant now) const;

private:
    void advance(Core::Instant now);
    /** Returns the time with waiting requests, in seconds, decayed to `now`. */
    [[nodiscard]] double waitingSecondsAt(Core::Instant now) const;
    [[nodiscard]] double decayUntil(Core::Instant now) const;

    // Invariant: `sent` and `waitingSeconds` are decayed to `updatedAt`.
    Core::Instant updatedAt;
    double sent{0.0};
    double waitingSeconds{0.0};
    bool isWaiting{false};
    // When the last waiting request was sent or, if that is later, the service's wait began.
    Core::Instant progressAt;
};

}
