/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Watches coordinators by long poll and applies their updates: backend servers,
// gateways, the declaration, the evacuated zones and the other coordinators.
// Gateways watch coordinators with it, and coordinators watch each other.

#pragma once

#include <LibCore/Settings.h>
#include <LibFleet/BackendRegistry.h>
#include <LibFleet/ContactSummary.h>
#include <LibFleet/CrashLedger.h>
#include <LibFleet/Declaration.h>
#include <LibFleet/Regions.h>
#include <LibProtocol/Generated/Coordinator.h>
#include <LibRpc/RpcChannel.h>

#include <map>
#include <memory>

namespace Fleet
{

/** Identity of a watcher, what it watches, and its timeouts. */
struct WatcherOptions {
    std::string name;
    std::string zone;
    RegionOfZone regions;
    /** Endpoint of the watcher itself, if it is a coordinator; it is never watched. */
    Core::Endpoint own;
    /** How many coordinators are watched at once. Further coordinators are known, but are sent watch requests only when these fail. */
    std::size_t maximumWatched{2};
    /** Whether updates contain operators' orders: the declaration and the evacuated zones. */
    bool wantsOrders{true};
    /** Whether updates contain the ids of the backend servers and gateways whose heartbeats the coordinator received. */
    bool wantsHeard{false};
    /**
     * A watch request without a reply for this long fails and is sent again over a new connection. It is longer than a coordinator holds a watch request
     * (CoordinatorOptions::longPollTimeout), and short enough that a healed network is used within three seconds.
     */
    Core::Duration responseTimeout{Core::milliseconds(2800)};
    /** Delay before the next watch request to a coordinator after one failed. */
    Core::Duration retryDelay{Core::milliseconds(200)};
    /** A declaration that the first coordinator has not sent this long after its version became known is requested from the other coordinators, too. */
    Core::Duration declarationFallbackDelay{Core::milliseconds(300)};
    /**
     * A new watcher waits this long for coordinators of its own zone and region before it requests the registry from those of other regions, since
     * cross-region traffic is expensive. A coordinator that listens accepts a connection within a round trip, and a lost first packet is sent again after
     * 0.3 s.
     */
    Core::Duration crossRegionDelay{Core::milliseconds(500)};
    /** A failing coordinator is removed after this long without a reply, while others reply. It is added again when a reply names it. */
    Core::Duration removalTimeout{Core::seconds(20)};
};

/** Watches several coordinators at once. A declaration is passed on as text; the owner of the watcher validates it and decides whether it becomes active. */
class FleetWatcher
{
public:
    FleetWatcher(WatcherOptions options, BackendRegistry &backends, BackendRegistry &gateways, CrashLedger &crashes, Core::TimerService &timers);
    FleetWatcher(const FleetWatcher &) = delete;
    FleetWatcher &operator=(const FleetWatcher &) = delete;

    /** Adds coordinators that may be watched and sends watch requests to the selected ones. */
    void addCoordinators(const std::vector<Core::Endpoint> &endpoints);

    /** Sends the records that this process changed itself to the selected coordinators, soon and several at once. To be called after such a change. */
    void reportCrashes();

    /** Requests a confirmation with each watch request until a coordinator replies that its declaration and evacuations are confirmed to be the newest. */
    void requestConfirmation();

    /** Whether the declaration version that is held here was confirmed to be the newest since requestConfirmation() was called. */
    [[nodiscard]] bool isConfirmed() const;
    /** Number of coordinators that are reachable, that is whose latest watch request did not fail. */
    [[nodiscard]] std::size_t reachableCount() const;
    /** Endpoints of all known coordinators, whether or not they are watched. */
    [[nodiscard]] std::vector<Core::Endpoint> coordinators() const;
    /**
     * When the latest watch request for the whole registry was sent that was answered by a coordinator with a known leader. The state held here is at least
     * as recent as this time.
     */
    [[nodiscard]] std::optional<Core::Instant> lastLeaderSync() const;
    /**
     * As of when the records of all ready backend servers here are known to be those of a coordinator that heard of each of them and knows a leader; nothing
     * until it stated that. A backend server that turned cold before this time is known to be cold.
     */
    [[nodiscard]] std::optional<Core::Instant> registryConfirmedAt() const;
    /** The latest statement about contacts with the other gateways, if any; it is requested while `wantsContacts` returns true. */
    [[nodiscard]] const std::optional<ContactStatement> &contactStatement() const;
    /** The latest time as of which all changes of the coordinator at an address were received here; nothing for an unknown one. */
    [[nodiscard]] std::optional<Core::Instant> syncedWith(const std::string &address) const;
    /** When a coordinator last replied, or else became known; nothing for an unknown address. While it runs, it replies after the long-poll timeout. */
    [[nodiscard]] std::optional<Core::Instant> lastReplyFrom(const std::string &address) const;
    /** Whether every known coordinator has sent its whole registry, except those that can't be reached; at least one must have, if any is known. */
    [[nodiscard]] bool hasReachableRegistries() const;
    /** Whether a coordinator that has sent its whole registry stated that its list contains every gateway that may hold quota shares. */
    [[nodiscard]] bool hasReceivedAllGateways() const;
    /** Whether any coordinator has replied yet. */
    [[nodiscard]] bool hasReceivedUpdate() const;

    /** Returns the version of the declaration that the owner of the watcher holds; -1 when it holds none. */
    std::function<DeclarationVersion()> knownVersion;
    /** Returns the own announcement that is sent with each watch request, when the watcher is a gateway that accepts requests. */
    std::function<std::optional<Protocol::BackendAnnouncement>()> ownAnnouncement;
    /** Returns whether contacts with gateways are requested (WatchRequest::wantsContacts); never if not set. */
    std::function<bool()> wantsContacts;
    /** Returns for how long a request for the whole registry may be held; not limited if not set, or without a value (WatchRequest::maximumHoldMs). */
    std::function<std::optional<Core::Duration>()> maximumHold;
    /** The newest evacuations that this watcher has received. */
    [[nodiscard]] const Protocol::Evacuations &evacuations() const;

    /** Called when the evacuated zones changed. */
    std::function<void(const Protocol::Evacuations &evacuations)> evacuationsChanged;
    /** Called with each newer declaration that is received. */
    std::function<void(DeclarationVersion version, const std::string &content)> declarationReceived;

private:
    static constexpr std::uint64_t NoRequest = 0;
    struct Watched {
        Core::Endpoint endpoint;
        std::string zone;
        std::shared_ptr<Rpc::RpcChannel> channel;
        std::int64_t incarnation{0};
        std::int64_t cursor{0};
        std::int64_t gatewayCursor{0};
        std::int64_t crashCursor{0};
        // The crash records of this process were sent to this incarnation of the coordinator up to this position.
        std::int64_t crashesReported{0};
        // Whether its updates up to the cursors contained all changes and not only departures.
        bool receivedEverything{false};
        // Whether it stated, with the registry, that it knows every gateway that may hold quota shares.
        bool hasAllGateways{false};
        bool inFlight{false};
        // Number of the watch request in flight. The outcome of another one is discarded: an abandoned request may still end, since its channel exists
        // until the call has ended.
        std::uint64_t requestNumber{NoRequest};
        // The registry interest of the watch request in flight.
        Protocol::RegistryInterest::type requestedInterest{Protocol::RegistryInterest::NOTHING};
        bool reachable{false};
        // Whether the last watch request failed. A coordinator that was never sent one is neither reachable nor failing.
        bool failing{false};
        // Whether the coordinator has a known leader. One without may not know the newest declaration.
        bool hasLeader{true};
        // Rank among coordinators at the same distance. It differs between watchers, so that they spread over the coordinators.
        std::size_t order{0};
        Core::Instant addedAt;
        Core::Instant lastReply;
        // When the watch request in flight was sent.
        Core::Instant requestedAt;
        // All changes of the coordinator up to this time have been received; nothing until it has sent its whole registry.
        std::optional<Core::Instant> syncedAt;
        // Since then this incarnation of the coordinator lists this gateway.
        std::optional<Core::Instant> announcedSince;
        Core::TimerSubscription retry;
    };

    Watched &add(const Core::Endpoint &endpoint);
    void watchSelected();
    [[nodiscard]] std::vector<Watched *> ranked();
    [[nodiscard]] std::vector<Watched *> selected();
    [[nodiscard]] Protocol::RegistryInterest::type interestIn(const Watched &watched);
    [[nodiscard]] int distanceOf(const Watched &watched) const;
    void sendRequest(Watched &watched);
    static void abandonRequest(Watched &watched);
    void handleOutcome(const Core::Endpoint &endpoint, const Core::Result<Protocol::WatchReply> &reply, const Protocol::WatchRequest &request);
    void scheduleRequest(const Core::Endpoint &endpoint, Core::Duration delay);
    [[nodiscard]] Protocol::WatchRequest makeRequest(Watched &watched);
    void handleReply(Watched &watched, const Protocol::WatchReply &reply, const Protocol::WatchRequest &request);
    void applyReply(Watched &watched, const Protocol::WatchReply &reply, const Protocol::WatchRequest &request);
    /** Applies contacts and sync times, after applyReply(). */
    void applyContacts(Watched &watched, const Protocol::WatchReply &reply, const Protocol::WatchRequest &request);
    void applyEvacuations(const Protocol::WatchReply &reply, const Protocol::WatchRequest &request);
    void applyDeclaration(const Protocol::WatchReply &reply, std::int64_t baseVersion);
    void handleFailure(Watched &watched, const std::string &reason);
    void sendCrashReports();
    void sendCrashReport(Watched &watched);
    [[nodiscard]] std::int64_t heldVersion() const;

    WatcherOptions options;
    BackendRegistry &backends;
    BackendRegistry &gateways;
    CrashLedger &crashes;
    Core::TimerService &timers;
    Core::TimerSubscription crashReportTimer;
    std::map<Core::Endpoint, Watched> table;
    // Invariant: no two watch requests have the same number, even to a coordinator that was removed and added again in between.
    std::uint64_t lastRequestNumber{NoRequest};
    bool wantsConfirmation{false};
    // The declaration version that a quorum confirmed to be the newest. Its text may not have been received yet.
    std::optional<std::int64_t> confirmedVersion;
    Protocol::Evacuations evacuated;
    bool receivedReply{false};
    std::optional<Core::Instant> latestLeaderSync;
    std::optional<Core::Instant> latestConfirmedRegistry;
    std::optional<ContactStatement> latestStatement;
    // The text of the last received declaration, as the base of the next delta. Not compressed, since each change needs it.
    std::string declarationText;
    std::int64_t declarationTextVersion{-1};
    // The newest declaration version that any coordinator named, and when it was first named.
    std::int64_t newestNamedVersion{-1};
    Core::Instant newestNamedAt;
    std::shared_ptr<int> alive{std::make_shared<int>(0)};
};

}
