/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// How many requests this gateway may send to a backend server that is cold. Such a
// one bears a bounded number a second from all gateways together and falls over
// beyond. Each gateway keeps to its part of that number without a word to the
// others. Pure.

#pragma once

#include <LibGateway/Dialect.h>

#include <deque>
#include <map>

namespace Gateway
{

/** What a cold backend server gets beyond what is declared that it bears; the platform's settings tell both. */
struct WarmupOptions {
    /** Times the declared rate. */
    double overshoot{1.0};
    /** Requests in a second, besides. */
    double slack{0.0};
};

/** A part of a total that several gateways share. */
struct ColdPart {
    int total{0};
    int gateways{1};
    /** Gateways in the backend server's zone, and this gateway's rank among them; nothing when it is none of them. */
    int inZone{0};
    std::optional<int> rank;
};

/**
 * An equal part of half of the total where that is one request at least. Where there are more gateways than that, the half is shared by the first
 * ones in the backend server's zone, who see most of its requests. Gateways that count each other differently for a moment may come to the one way
 * and to the other; each takes half of the total, so that the parts of all of them add up to the total at most.
 */
[[nodiscard]] int shareOfCold(const ColdPart &part);

/** Counts what was sent to each backend server while it was cold. */
class WarmupLimiter
{
public:
    explicit WarmupLimiter(WarmupOptions options);

    /** Requests in any second from all gateways together, for a declared rate. */
    [[nodiscard]] int total(double requestsPerSecond) const;

    /** Whether one more request stays within so many in any second. */
    [[nodiscard]] bool isWithin(const BackendName &backend, int share, Core::Instant now) const;

    void note(const BackendName &backend, Core::Instant now);

    /** Forgets what is longer ago than a second. */
    void forget(Core::Instant now);

private:
    WarmupOptions options;
    // Times of sends, the oldest first. Invariant: none is empty.
    std::map<BackendName, std::deque<Core::Instant>> sends;
};

}
