/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// A backend server as one gateway sees it, and the sends to it that are under way.

#pragma once

#include <LibFleet/BackendRegistry.h>
#include <LibGateway/BackendHealth.h>
#include <LibGateway/ConnectionAllowance.h>
#include <LibGateway/Dialect.h>
#include <LibGateway/KeptConnections.h>

#include <memory>

namespace Gateway
{

struct Backend;

/** Names an attempt until it has ended. */
using AttemptId = std::uint64_t;

/** How a send to a backend server ended. */
enum class AttemptEnd {
    Replied,
    /** It never left this gateway. */
    NotSent,
    /** It may have run. */
    Broken,
    /** It has most likely not arrived, since its bytes stayed unacknowledged. */
    Unacknowledged,
};

struct AttemptOutcome {
    AttemptEnd end{AttemptEnd::Broken};
    BackendReply reply;
    std::string reason;
};

/** One send that is under way. */
struct Attempt {
    AttemptId id{0};
    Backend *backend{nullptr};
    ConnectionPointer connection;
    Core::Instant startedAt;
    Core::Duration typicalLatency{0};
    // Set when nobody waits for the outcome any more.
    std::optional<Core::Instant> cancelAt;
    std::function<void(const AttemptOutcome &outcome)> done;
};

/** One life of a backend server. */
struct Backend {
    BackendName name;
    Core::ServiceName service;
    Core::Endpoint endpoint;
    std::string zone;
    /** Empty when its zone is in no known region. */
    std::string region;
    /** See Protocol::BackendAnnouncement. */
    std::int64_t born{0};
    bool sameZone{false};
    bool sameRegion{false};
    int slots{1};
    Protocol::BackendPhase::type phase{Protocol::BackendPhase::READY};
    Core::Instant warmUntil;

    BackendHealth health;
    std::optional<Core::Duration> roundTrip;
    RejectionBackoff connectionRejected;

    KeptConnections connections;
    // Invariant: exactly the attempts of the pool that name this backend.
    std::vector<Attempt *> inFlight;
};

}
