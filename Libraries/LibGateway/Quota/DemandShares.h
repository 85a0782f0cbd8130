/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Divides the refill of one share of a workspace's quota among the urgencies of its
// requests. Load pattern: a workspace requests several times its quota, and most of its
// requests are less urgent ones, which would take the tokens that an urgent request needs
// a moment later. Callers of urgent requests have less than a second, so a token has to
// be there when they arrive, while callers of the others can be told to return. Pure.

#pragma once

#include <LibGateway/Dialect.h>

#include <map>

namespace Gateway
{

/** The size of the share's token bucket. */
struct ShareSupply {
    double perSecond{0.0};
    double capacity{0.0};
};

/**
 * Measures demand by urgency and accounts for what each urgency is due.
 * D1. Unless more is requested than the share refills, nothing is set aside for anybody.
 * D2. Each urgency is guaranteed a quarter of the workspace's ratio of served to requested times its own demand.
 * D3. The rest of the refill goes to the urgencies in their order, to each at most what it requests.
 * D4. A request leaves in the bucket what more urgent ones are due by D3, unless it is due a token by D2 itself, and the whole tokens that less urgent ones are
 *     due by D2.
 */
class DemandShares
{
public:
    /** Demand is averaged over about `window`. */
    explicit DemandShares(Core::Duration window);

    /** Records the arrival of a request. */
    void recordRequest(const Urgency &urgency, const ShareSupply &supply, Core::Instant now);

    /** Records that a request was granted a token, or that a token was reserved for it. */
    void recordGrant(const Urgency &urgency);

    /** Records that a reserved token was not claimed. */
    void recordReturn(const Urgency &urgency);

    /** Returns how many tokens a request has to leave for others (D4), as of the latest recordRequest(); less than the bucket's capacity. */
    [[nodiscard]] double tokensForOthers(const Urgency &urgency, const ShareSupply &supply) const;

    /** Returns the tokens per second that requests of an urgency can count on, as of the latest recordRequest(). */
    [[nodiscard]] double rateFor(const Urgency &urgency, const ShareSupply &supply) const;

    /** Lets demand decay without a request, so that the division of an idle share ends. */
    void decay(const ShareSupply &supply, Core::Instant now);

    /** Whether the refill is divided by urgency (D1), as of the latest recordRequest() or decay(). */
    [[nodiscard]] bool isDividing() const;

    /** Returns the requests per second of all urgencies, as of the latest recordRequest(). */
    [[nodiscard]] double totalDemand() const;

private:
    /** What is known of one urgency. */
    struct Kind {
        // Requests per second.
        double demand{0.0};
        // Tokens per second by D2, and by D2 and D3 together.
        double guaranteedRate{0.0};
        double dueRate{0.0};
        // Limits of the tokens that may be due by D2, and by D2 and D3 together.
        double maximumGuaranteed{0.0};
        double maximumDue{0.0};
        // Tokens that are due at the moment; below zero when more were taken.
        double guaranteed{0.0};
        double due{0.0};
    };

    /** Lets demand decay, and adds what became due since the last call. */
    void advance(Core::Instant now);
    /** Computes the rates by D1 to D3. */
    void divide(const ShareSupply &supply);

    Core::Duration window;
    // Invariant: holds only urgencies that were requested within the last few windows.
    std::map<Urgency, Kind> kinds;
    Core::Instant advancedAt;
    bool isDivided{false};
};

}
