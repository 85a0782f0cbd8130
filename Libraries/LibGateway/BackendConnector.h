/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Picks the connection for a send to a backend server, and opens new ones.
//
// Load pattern: a gateway sends a server a few requests a second, and each server limits
// the connections of all gateways together. A kept connection saves a round trip; a new
// one may be reset by a server at its cap, or never be accepted by one that has ended.
// How long opening one may take therefore follows from the round trip to the server, not
// from the caller's deadline: another server can still answer in time after that.

#pragma once

#include <LibCore/EventPoll.h>
#include <LibCore/TimerService.h>
#include <LibGateway/Backend.h>

#include <functional>

namespace Gateway
{

/** Parameters of new connections; see BackendPoolOptions. */
struct BackendConnectorOptions {
    Core::Duration connectTimeout{0};
    bool acceptsPromptly{false};
    Core::Duration acknowledgementTimeout{0};
    std::function<bool(const Wire::Socket &socket)> awaitsAcknowledgement;
    std::optional<TrialOptions> trial;
    std::shared_ptr<Wire::ReceiveBudget> receiveBudget;
};

/** What the owner of the connections provides. */
struct BackendConnectorHooks {
    /** Returns the shortest round trip to a server of the service, or the one that is assumed. */
    std::function<Core::Duration(const Core::ServiceName &service)> nearestRoundTrip;
    /** Called when a connection has been added to the backend server. */
    std::function<void(Backend &backend)> opened;
    /** Called when a connection of the backend server has closed; it has to be removed from it. */
    std::function<void(Backend &backend, const Wire::ClientConnection *connection)> closed;
    /** Called when a connection is opened because every idle one has sent the same key. */
    std::function<void()> keptApart;
};

/** Opens connections to backend servers. A backend server must not be destroyed while it has connections. */
class BackendConnector
{
public:
    BackendConnector(BackendConnectorOptions options, Core::EventPoll &poll, Core::TimerService &timers, BackendConnectorHooks hooks);

    /** Returns an idle connection that has not sent this key, or else a new one; nullptr when the connection failed. */
    [[nodiscard]] ConnectionPointer connectionFor(Backend &backend, const ReplyKey &key);
    /** `reuseAvoided`: idle connections exist but have sent the key, so the backend server may be at its cap and the new connection is tried out. */
    [[nodiscard]] ConnectionPointer open(Backend &backend, bool reuseAvoided);
    /** Records that a connection was reset before its first answer. New connections are then tried out for a while. */
    void recordReset();
    /** Returns the round trip to a backend server, as measured or, until then, as assumed. */
    [[nodiscard]] Core::Duration expectedRoundTrip(const Backend &backend) const;

private:
    [[nodiscard]] std::optional<Core::Duration> trialMargin(bool reuseAvoided) const;
    /** Returns how long establishing a new connection may take; nothing when only connectTimeout bounds it. */
    [[nodiscard]] std::optional<Core::Duration> connectLimit(const Backend &backend) const;

    BackendConnectorOptions options;
    Core::EventPoll &poll;
    Core::TimerService &timers;
    BackendConnectorHooks hooks;
    TrialPeriod trialPeriod;
};

}
