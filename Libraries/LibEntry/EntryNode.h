/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// One entry instance: the state, the systems that run over it, and the doors
// through which callers, backend servers, the platform and operators come.

#pragma once

#include <LibEntry/ActionService.h>
#include <LibEntry/BackendClient.h>
#include <LibEntry/ConfigurationFollower.h>
#include <LibEntry/ControlClient.h>
#include <LibEntry/EntryState.h>
#include <LibEntry/PeerRelay.h>
#include <LibEntry/QueryService.h>
#include <LibEntry/RegistryRefresher.h>
#include <LibHttp/Message.h>

#include <functional>
#include <memory>

namespace Entry
{

/** Settings of an entry instance. */
struct EntryNodeOptions {
    EntryOptions entry;
    ActionOptions actions;
    PeerRelayOptions relay;
    RegistryRefresherOptions refresher;
    std::vector<Core::Endpoint> controlInstances;
    std::int64_t incarnation{0};
    /** A planned stop still takes work for this long after /readyz says no, since the balancer needs to notice. */
    Core::Duration drainNotice{Core::milliseconds(1000)};
};

/** Wires the parts; decides nothing itself. */
class EntryNode
{
public:
    EntryNode(EntryNodeOptions options, Core::TimerService &timers);
    EntryNode(const EntryNode &) = delete;
    EntryNode &operator=(const EntryNode &) = delete;

    /** Callers: searches, look-ups, actions. */
    void handleCaller(const Http::Request &request, const Http::ResponderPointer &responder);

    /** Backend servers: announcements. */
    void handleBackend(const Http::Request &request, const Http::ResponderPointer &responder);

    /** Platform and operators: health, metrics, state, traces, drain. */
    void handleAdministration(const Http::Request &request, const Http::ResponderPointer &responder);

    [[nodiscard]] PeerRelay &relay();

    /** Leaves the balancer, then takes no new work. `stopped` is called when nothing is under way any more. */
    void drain(std::function<void()> stopped);

    /** Called when an operator asks for a planned stop of the process. */
    std::function<void()> stopRequested;

    /** The whole state as JSON. */
    [[nodiscard]] std::string dump() const;

    /** Whether the balancer should send callers here. */
    [[nodiscard]] bool isReady() const;

private:
    void runSystems(Core::Instant now);
    void finishDrain();
    [[nodiscard]] Core::Result<void> takeAnnouncement(const std::string &body);
    [[nodiscard]] bool isDeclared(const Protocol::Announcement &announcement) const;
    [[nodiscard]] nlohmann::json backendsToJson() const;
    [[nodiscard]] nlohmann::json servicesToJson() const;
    [[nodiscard]] std::string metrics() const;

    EntryNodeOptions options;
    Core::TimerService &timers;
    BackendClient backendClient;
    EntryState state;
    ControlClient control;
    ConfigurationFollower follower;
    QueryService queries;
    ActionService actions;
    PeerRelay peerRelay;
    RegistryRefresher refresher;
    std::function<void()> stopped;
    // Set when a planned stop begins; state.draining follows once the balancer had time to notice.
    std::optional<Core::Instant> leavingSince;
    Core::TimerSubscription systemTimer;
    Core::TimerSubscription drainTimer;
};

}
