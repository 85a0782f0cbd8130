/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Holds the questions of gateways and other coordinators until there is news for
// them, and puts the answers together.

#pragma once

#include <LibCoordinator/DeclarationLog.h>
#include <LibFleet/BackendRegistry.h>

#include <list>

namespace Coordinator
{

/** How questions are held. */
struct WatchServiceOptions {
    /** Names this life of the coordinator; cursors of another life mean nothing. */
    std::int64_t incarnation{0};
    /** See CoordinatorOptions::longPollTimeout. */
    Core::Duration hold{Core::milliseconds(1800)};
};

/** Looks at the log and the registries of its coordinator, which outlive it. */
class WatchService
{
public:
    WatchService(WatchServiceOptions options,
        DeclarationLog &log,
        const Fleet::BackendRegistry &registry,
        const Fleet::BackendRegistry &gateways,
        Core::TimerService &timers);
    WatchService(const WatchService &) = delete;
    WatchService &operator=(const WatchService &) = delete;

    /** Calls `done` once, when there is news or the question was held for long enough. */
    void watch(const Protocol::WatchRequest &request, const std::function<void(const Protocol::WatchReply &reply)> &done);

    /** Something changed that watchers may want to know: at once who leaves and what is declared, a little later who arrives. */
    void scheduleNotification();

    [[nodiscard]] std::size_t waitingCount() const;

private:
    struct WaitingWatcher {
        Protocol::WatchRequest request;
        std::function<void(const Protocol::WatchReply &reply)> done;
        Core::Instant answerBy;
    };

    void answerWatcher(const WaitingWatcher &watcher, bool confirmed);
    void addRegistry(Protocol::WatchReply &reply, const Protocol::WatchRequest &request) const;
    void addDeclaration(Protocol::WatchReply &reply, std::int64_t knownVersion);
    void confirmWatcher(WaitingWatcher watcher);
    void confirmWatchers();
    [[nodiscard]] bool hasRegistryNewsFor(const Protocol::WatchRequest &request) const;
    /** Operators' orders that the watcher does not hold. */
    [[nodiscard]] bool hasOrdersFor(const Protocol::WatchRequest &request) const;
    [[nodiscard]] bool hasNewsFor(const Protocol::WatchRequest &request) const;
    [[nodiscard]] bool hasUrgentNewsFor(const Protocol::WatchRequest &request) const;
    void scheduleArrivals();
    void answerWatchersWithNews();
    void answerOverdueWatchers();
    /** Answers those that a condition holds for, unconfirmed. */
    void answerWhere(const std::function<bool(const WaitingWatcher &watcher)> &condition);
    [[nodiscard]] std::vector<std::string> heardFor(const std::string &watcher);

    WatchServiceOptions options;
    DeclarationLog &log;
    const Fleet::BackendRegistry &registry;
    const Fleet::BackendRegistry &gateways;
    Core::TimerService &timers;
    std::list<WaitingWatcher> watchers;
    // Up to when each coordinator knows whose heartbeats came here.
    std::map<std::string, Core::Instant> heardUntil;
    Core::TimerSubscription newsTimer;
    Core::TimerSubscription arrivalTimer;
    Core::TimerSubscription overdueTimer;
    std::shared_ptr<int> alive{std::make_shared<int>(0)};
};

}
