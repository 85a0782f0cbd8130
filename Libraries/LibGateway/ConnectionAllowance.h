/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// How many connections this gateway may hold to a backend server, whose cap
// counts those of all gateways together, and when it opens the next one to a
// server that has turned one away. Pure.

#pragma once

#include <LibCore/Time.h>

#include <cstddef>
#include <optional>

namespace Gateway
{

/**
 * The parts of a backend server's cap. Together they stay below half of it: after a loss of power the server goes on counting the connections of
 * the gateways' earlier lives until it notices, and the new ones have to fit beside them.
 */
struct ConnectionShares {
    /** What gateways of its own zone may open together; most requests come from there. */
    double near{0.3};
    /** What all other gateways may open together. */
    double far{0.15};
};

/** How many gateways share the backend servers. */
struct GatewayCount {
    int all{1};
    /** Of these, in the zone of the gateway that asks. */
    int inZone{1};
};

/** The connections that one gateway may hold to a backend server with a cap; one at least, since nothing works without. */
[[nodiscard]] std::size_t connectionLimit(const ConnectionShares &shares, int cap, bool sameZone, GatewayCount gateways);

/** For how long a backend server that turned a connection away gets no new one. */
struct RejectionBackoffOptions {
    /** At first; a few round trips, in which another gateway may close one. */
    Core::Duration firstPause{Core::milliseconds(100)};
    /** At most, doubling each time; short against the seconds in which a server notices that the other side has lost power. */
    Core::Duration longestPause{Core::milliseconds(800)};
};

/** When new connections are tried out before a request goes over them (Wire::ClientConnectionOptions::trialMargin). */
struct TrialOptions {
    /** After a start, and after a connection was reset before it had an answer: about as long as backend servers go on counting those of a gateway that lost
     * power. */
    Core::Duration period{Core::seconds(10)};
    /** What a small share of a core adds to a round trip. */
    Core::Duration margin{Core::milliseconds(1)};
};

/** A trial costs each new connection a round trip, so there is one only while backend servers may be at their caps. */
class TrialPeriod
{
public:
    explicit TrialPeriod(Core::Instant start);

    /** A connection was reset before it had an answer. */
    void recordReset(Core::Instant now);

    /** The margin of a connection that is opened now; nothing when it needs no trial. */
    [[nodiscard]] std::optional<Core::Duration> marginAt(const TrialOptions &options, Core::Instant now) const;

private:
    Core::Instant latest;
};

/** Remembers for one backend server that it has as many connections as it takes. Says nothing of how it works. */
class RejectionBackoff
{
public:
    /** It accepted a connection and reset it before a request was sent. */
    void recordRejection(const RejectionBackoffOptions &options, Core::Instant now);

    /** It answered a request, so it holds a connection from here. */
    void recordReply();

    /** Whether a new connection may be tried. */
    [[nodiscard]] bool isOver(Core::Instant now) const;

private:
    Core::Instant end;
    Core::Duration pause{0};
};

}
