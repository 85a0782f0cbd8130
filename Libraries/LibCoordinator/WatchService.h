/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Holds the watch requests of gateways and other coordinators until there is an
// update for them, and builds the replies.

#pragma once

#include <LibCoordinator/DeclarationLog.h>
#include <LibFleet/BackendRegistry.h>
#include <LibFleet/ContactSummary.h>
#include <LibFleet/CrashLedger.h>

#include <list>

namespace Coordinator
{

/** Settings of the watch service. */
struct WatchServiceOptions {
    /** Identifies this incarnation of the coordinator. Cursors of another incarnation are not valid. */
    std::int64_t incarnation{0};
    /** A watch request for which there is no update is answered after this long (CoordinatorOptions::longPollTimeout). */
    Core::Duration longPollTimeout{Core::milliseconds(1800)};
};

/** Answers watch requests from the log, the registries and the crash records of its coordinator, which have to outlive it. */
class WatchService
{
public:
    WatchService(WatchServiceOptions options,
        DeclarationLog &log,
        const Fleet::BackendRegistry &registry,
        const Fleet::BackendRegistry &gateways,
        const Fleet::CrashLedger &crashes,
        Core::TimerService &timers);
    WatchService(const WatchService &) = delete;
    WatchService &operator=(const WatchService &) = delete;

    /**
     * Answers a watch request. `done` is called exactly once: as soon as there is an update or, if requested, a confirmation, and at the latest after the
     * long-poll timeout.
     */
    void watch(const Protocol::WatchRequest &request, const std::function<void(const Protocol::WatchReply &reply)> &done);

    /**
     * Has to be called after each change of the log or of a registry. Watchers are notified of departures, declarations and evacuations within
     * milliseconds, and of other changes after a longer delay.
     */
    void scheduleNotification();

    /** Whether a watch request shows that its gateway holds the current list of gateways of this coordinator. To be called after its announcement is merged. */
    [[nodiscard]] bool provesCurrentList(const Protocol::WatchRequest &request) const;

    /**
     * Returns a time before which a message that is handled now can't have arrived. When this process resumes after a pause, it handles messages that were sent
     * before the pause, whose senders may have been cut off since.
     */
    [[nodiscard]] Core::Instant earliestArrival() const;

    /** Whether a gateway that watches this coordinator has lately requested contacts. */
    [[nodiscard]] bool areContactsWanted() const;

    /** Returns whether contacts with all gateways that may hold quota shares can be stated now; never if not set. */
    std::function<bool()> knowsAllGateways;
    /** Returns whether the list of gateways contained, as of the last restart or exchange, every gateway that may hold quota shares; never if not set. */
    std::function<bool()> hasAllGateways;
    /** Returns whether every ready backend server in the registry has been heard of since it was restored (WatchReply::isRegistryConfirmed); never if not set.
     */
    std::function<bool()> isRegistryConfirmed;
    /** Returns the latest time as of which all changes of another coordinator were received here, by its address. */
    std::function<std::optional<Core::Instant>(const std::string &address)> syncedWith;

    /** Replies to all watch requests that are held, with what is new for each. */
    void answerAll();

    /** Number of watch requests that are held. */
    [[nodiscard]] std::size_t waitingCount() const;

private:
    struct WaitingWatcher {
        Protocol::WatchRequest request;
        std::function<void(const Protocol::WatchReply &reply)> done;
        Core::Instant receivedAt;
        Core::Instant deadline;
    };

    void answerWatcher(const WaitingWatcher &watcher, bool confirmed);
    void addRegistry(Protocol::WatchReply &reply, const Protocol::WatchRequest &request) const;
    void addCrashes(Protocol::WatchReply &reply, const Protocol::WatchRequest &request) const;
    void addContacts(Protocol::WatchReply &reply, const WaitingWatcher &watcher);
    [[nodiscard]] std::map<std::string, std::int32_t> directContactAges(Core::Instant synced) const;
    /** Whether a request has to be answered soon because contacts are wanted. */
    [[nodiscard]] bool isDueForContacts(const WaitingWatcher &watcher) const;
    void addDeclaration(Protocol::WatchReply &reply, std::int64_t knownVersion);
    void confirmWatcher(WaitingWatcher watcher);
    void confirmWatchers();
    [[nodiscard]] bool hasRegistryUpdateFor(const Protocol::WatchRequest &request) const;
    [[nodiscard]] bool hasCrashesFor(const Protocol::WatchRequest &request) const;
    /** Whether there are operators' orders that the watcher does not hold. */
    [[nodiscard]] bool hasOrdersFor(const Protocol::WatchRequest &request) const;
    [[nodiscard]] bool hasUpdateFor(const Protocol::WatchRequest &request) const;
    [[nodiscard]] bool hasUrgentUpdateFor(const Protocol::WatchRequest &request) const;
    void scheduleArrivalNotification();
    void notifyWatchers();
    void answerTimedOutWatchers();
    /** Answers the held watch requests for which a condition is true, without a confirmation. */
    void answerWhere(const std::function<bool(const WaitingWatcher &watcher)> &condition);
    [[nodiscard]] std::vector<std::string> receivedHeartbeatsFor(const std::string &watcher);

    WatchServiceOptions options;
    DeclarationLog &log;
    const Fleet::BackendRegistry &registry;
    const Fleet::BackendRegistry &gateways;
    const Fleet::CrashLedger &crashes;
    Core::TimerService &timers;
    std::list<WaitingWatcher> watchers;
    // By the name of a watching coordinator, up to when the ids whose heartbeats were received here have been sent to it.
    std::map<std::string, Core::Instant> heartbeatsReportedUntil;
    // Contacts are exchanged until then, as a gateway or another coordinator has requested them, and requested from other coordinators, as a gateway has.
    Core::Instant contactsExchangedUntil;
    Core::Instant contactsWantedUntil;
    Fleet::ContactSummary contacts;
    // When the event loop ran TimeoutCheckPeriod ago or more, and the time before that.
    Core::Instant lastCheck;
    Core::Instant checkBefore;
    Core::TimerSubscription notificationTimer;
    Core::TimerSubscription arrivalTimer;
    Core::TimerSubscription timeoutTimer;
    std::shared_ptr<int> alive{std::make_shared<int>(0)};
};

}
