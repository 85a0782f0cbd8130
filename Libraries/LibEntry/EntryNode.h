/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// An entry instance: creates its parts, runs periodic maintenance, and handles
// the HTTP requests of callers, backend servers, the platform and operators.

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
#include <map>
#include <memory>

namespace Entry
{

/** Parameters of an entry instance. */
struct EntryNodeOptions {
    EntryOptions entry;
    ActionOptions actions;
    PeerRelayOptions relay;
    RegistryRefresherOptions refresher;
    std::vector<Core::Endpoint> controlInstances;
    std::int64_t incarnation{0};
};

/** Connects the parts of an entry instance. */
class EntryNode
{
public:
    EntryNode(EntryNodeOptions options, Core::TimerService &timers);
    EntryNode(const EntryNode &) = delete;
    EntryNode &operator=(const EntryNode &) = delete;

    /** Handles a request of a caller: search, look-up or action. */
    void handleCaller(const Http::Request &request, const Http::ResponderPointer &responder);

    /** Handles an announcement of a backend server. */
    void handleBackend(const Http::Request &request, const Http::ResponderPointer &responder);

    /** Handles a request of the platform or an operator: health, readiness, metrics, state, traces, drain. */
    void handleAdministration(const Http::Request &request, const Http::ResponderPointer &responder);

    [[nodiscard]] PeerRelay &relay();

    /**
     * Begins a planned stop: reports not ready. New requests are refused from schedule.noticeEnds on, and before if their deadline is later than
     * schedule.answersDue.
     */
    void beginStop(const Core::StopSchedule &schedule);

    /** Number of searches, look-ups and actions that have not ended. */
    [[nodiscard]] std::size_t activeCount() const;

    /** Answers every request of a caller that has no answer yet: its outcome is unknown. */
    void answerOpenCalls();

    /** Called when an operator requests a planned stop of the process. */
    std::function<void()> stopRequested;

    /** Returns the state of the instance as JSON, for operators. */
    [[nodiscard]] std::string dump() const;

    /** Whether the load balancer should send requests to this instance. */
    [[nodiscard]] bool isReady() const;

private:
    void runMaintenance(Core::Instant now);
    [[nodiscard]] Core::Result<void> handleAnnouncement(const std::string &body);
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
    // Requests of callers without an answer, by the order of their arrival.
    struct OpenCall {
        Core::RequestId requestId;
        Http::ResponderPointer responder;
    };
    std::map<std::uint64_t, OpenCall> openCalls;
    std::uint64_t nextCall{1};
    Core::TimerSubscription maintenanceTimer;
};

}
