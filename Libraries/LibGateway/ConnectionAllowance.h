/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Limits the connections that this gateway holds to a backend server, whose connection
// cap counts the connections of all gateways together, and delays new connections after
// the server rejected one. Pure.

#pragma once

#include <LibCore/Time.h>

#include <cstddef>
#include <optional>

namespace Gateway
{

/**
 * Shares of a backend server's connection cap. Their sum stays below half of the cap: after a power loss of the gateways, the server still counts the
 * connections of their former incarnations until it detects the loss, and the new connections have to fit beside them.
 */
struct ConnectionShares {
    /** Share of all gateways in the zone of the backend server together; they send most of its requests. */
    double ownZone{0.3};
    /** Share of all other gateways together. */
    double otherZones{0.15};
};

/** How many gateways share the backend servers. */
struct GatewayCount {
    int all{1};
    /** Gateways in the zone of this gateway, included in `all`. */
    int inZone{1};
};

/** Returns how many connections one gateway may hold to a backend server with this cap. At least one, since a gateway without any could not send requests. */
[[nodiscard]] std::size_t connectionLimit(const ConnectionShares &shares, int cap, bool sameZone, GatewayCount gateways);

/** How long no new connection is opened to a backend server that rejected one. */
struct RejectionBackoffOptions {
    /** Delay after the first rejection: a few round trips, in which another gateway may close a connection. */
    Core::Duration initialDelay{Core::milliseconds(100)};
    /** Maximum delay, reached by doubling at each rejection; short compared with the seconds that a server takes to detect that a gateway has lost power. */
    Core::Duration maximumDelay{Core::milliseconds(800)};
};

/** When new connections are tried out before a request is sent over them (Wire::ClientConnectionOptions::trialMargin). */
struct TrialOptions {
    /**
     * How long trials last after a start, and after a connection was reset before its first answer: about as long as backend servers count the connections of a
     * gateway that lost power.
     */
    Core::Duration period{Core::seconds(10)};
    /** How much longer a round trip takes for a gateway on a small share of a core. */
    Core::Duration margin{Core::milliseconds(1)};
};

/**
 * Decides whether new connections are tried out. A trial costs each new connection a round trip, so connections are tried out only while backend servers may be
 * at their caps.
 */
class TrialPeriod
{
public:
    explicit TrialPeriod(Core::Instant start);

    /** Records that a connection was reset before its first answer. */
    void recordReset(Core::Instant now);

    /** Returns the trial margin of a connection that is opened now; nothing when it needs no trial. */
    [[nodiscard]] std::optional<Core::Duration> marginAt(const TrialOptions &options, Core::Instant now) const;

private:
    Core::Instant latest;
};

/** Delays new connections to one backend server that has reached its connection cap. A rejection says nothing about the server's health. */
class RejectionBackoff
{
public:
    /** Records that the backend server accepted a connection and reset it before a request was sent. */
    void recordRejection(const RejectionBackoffOptions &options, Core::Instant now);

    /**
     * Records that the backend server answered a request, so it accepts a connection from this gateway again; the next rejection starts with the initial delay.
     */
    void recordReply();

    /** Whether the delay is over and a new connection may be opened. */
    [[nodiscard]] bool hasElapsed(Core::Instant now) const;

private:
    Core::Instant end;
    Core::Duration delay{0};
};

}
