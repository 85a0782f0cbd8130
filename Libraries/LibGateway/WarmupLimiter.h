/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Limits the requests that this gateway sends to a backend server that is warming up.
// Such a server can serve only a bounded number of requests per second from all gateways
// together and fails beyond that. Each gateway uses its own share of that number, without
// coordination between gateways. Pure.

#pragma once

#include <LibGateway/Dialect.h>

#include <deque>
#include <map>

namespace Gateway
{

/** How far the declared warm-up rate may be exceeded; both values come from the platform's settings. */
struct WarmupOptions {
    /** Factor on the declared rate. */
    double overshoot{1.0};
    /** Requests per second beyond that. */
    double slack{0.0};
};

/** Parameters by which gateways share a warm-up limit. */
struct WarmupSharing {
    int total{0};
    int gateways{1};
    /** Gateways in the zone of the backend server, and this gateway's rank among them; no rank when this gateway is in another zone. */
    int inZone{0};
    std::optional<int> rank;
};

/**
 * Returns this gateway's share of the total. If half of the total is at least one request per gateway, every gateway gets an equal share of that half.
 * Otherwise the half is shared among the gateways with the lowest ranks in the zone of the backend server, which send most of its requests. Gateways whose
 * counts differ for a moment may apply different rules. Each rule distributes only half of the total, so the shares of all gateways never exceed the total.
 */
[[nodiscard]] int computeWarmupShare(const WarmupSharing &sharing);

/** Counts the requests that were sent to each backend server while it was warming up. */
class WarmupLimiter
{
public:
    explicit WarmupLimiter(WarmupOptions options);

    /** Returns the limit on requests in any second from all gateways together, for a declared rate. */
    [[nodiscard]] int total(double requestsPerSecond) const;

    /** Whether one more request stays within `share` requests in any second. */
    [[nodiscard]] bool isWithin(const BackendName &backend, int share, Core::Instant now) const;

    void recordSend(const BackendName &backend, Core::Instant now);

    /** Removes sends that are older than a second. */
    void removeExpired(Core::Instant now);

private:
    WarmupOptions options;
    // Times of sends per backend server, oldest first. Invariant: no entry is empty.
    std::map<BackendName, std::deque<Core::Instant>> sends;
};

}
