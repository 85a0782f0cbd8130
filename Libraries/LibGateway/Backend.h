/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// State that a gateway holds for one backend server: its announcement, its observed
// health, its connections and the attempts in flight on it.

#pragma once

#include <LibFleet/BackendRegistry.h>
#include <LibGateway/BackendConnections.h>
#include <LibGateway/BackendHealth.h>
#include <LibGateway/ConnectionAllowance.h>
#include <LibGateway/Dialect.h>

#include <memory>

namespace Gateway
{

struct Backend;

/** Identifies an attempt until it has ended. Unique within one BackendPool. */
using AttemptId = std::uint64_t;

/** How an attempt to send a request to a backend server ended. */
enum class AttemptEnd {
    Replied,
    /** The request did not leave this gateway, so it was not executed. */
    NotSent,
    /** The connection failed after the request may have been sent, so it may have been executed. */
    Broken,
    /** The bytes of the request stayed unacknowledged, so it most likely did not reach the backend server. */
    Unacknowledged,
};

struct AttemptOutcome {
    AttemptEnd end{AttemptEnd::Broken};
    /** Set if the end is Broken and the backend server was found to have ended. */
    bool crashed{false};
    /** See Wire::ClientResult. */
    bool confirmed{false};
    BackendReply reply;
    std::string reason;
};

/** One request in flight to a backend server. */
struct Attempt {
    AttemptId id{0};
    Backend *backend{nullptr};
    ConnectionPointer connection;
    std::shared_ptr<RequestTrace> trace;
    Core::Instant startedAt;
    Core::Duration typicalLatency{0};
    // Whether it is a message to a gateway and no request, so that its outcome tells nothing about the requests that the gateway serves.
    bool isMessage{false};
    // Work that was ahead of the request when it was sent; see BackendHealth::queueing().
    double queueing{0.0};
    // Set once nobody waits for the outcome any more: when the attempt is cancelled.
    std::optional<Core::Instant> cancelAt;
    // Set while it is being checked whether the backend server has ended.
    std::optional<AttemptOutcome> unverified;
    std::function<void(const AttemptOutcome &outcome)> done;
};

/** The latest answer of a backend server itself about its warm-up; see WarmthChecks. */
struct WarmthAnswer {
    /** How many more requests may be sent because of it, and until when. */
    int sendsLeft{0};
    Core::Instant validUntil;
    /** The latest check failed; the next one is not begun before this time. */
    Core::Instant noCheckBefore;
};

/** One incarnation of a backend server. */
struct Backend {
    BackendName name;
    Core::ServiceName service;
    Core::Endpoint endpoint;
    std::string zone;
    /** Empty when the zone belongs to no known region. */
    std::string region;
    /** Start time of this incarnation, as in Protocol::BackendAnnouncement. */
    std::int64_t born{0};
    bool sameZone{false};
    bool sameRegion{false};
    int slots{1};
    Protocol::BackendPhase::type phase{Protocol::BackendPhase::READY};
    Core::Instant warmUntil;
    WarmthAnswer warmthAnswer;

    BackendHealth health;
    // Shared by the backend servers of a service.
    std::shared_ptr<ServiceAcceptance> serviceAcceptance{std::make_shared<ServiceAcceptance>()};
    std::optional<Core::Duration> roundTrip;
    RejectionBackoff connectionRejected;

    BackendConnections connections;
    // Invariant: holds exactly the attempts of the pool that refer to this backend server.
    std::vector<Attempt *> inFlight;
};

}
