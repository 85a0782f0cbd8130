/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Decides whether a gateway that is being stopped still takes a request. Taken too
// late, it would end without the backend server's answer; refused too early, its
// caller loses the time until it has found another gateway.

#pragma once

#include <LibCore/LatencyDigest.h>
#include <LibFleet/Declaration.h>

namespace Gateway
{

/** What is known of a request and of how long such requests take. */
struct ExpectedWork {
    /** How long the caller waits, or the requesting gateway. */
    Core::Duration callerTimeout{0};
    Core::Duration routeTimeout{0};
    Core::Duration targetLatency{0};
    /** A request that may be run once only has no second chance at another gateway once it was sent. */
    bool isRepeatable{true};
    /** Latencies of the route's replies. */
    const Core::LatencyDigest *latencies{nullptr};
};

/** Returns how long the request is expected to take at most: never longer than it may take. */
[[nodiscard]] Core::Duration expectedDuration(const ExpectedWork &work);

}
