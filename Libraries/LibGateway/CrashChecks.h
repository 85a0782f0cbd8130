/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Finds out whether backend servers have ended, after connections to them broke, and
// attributes their crashes to the requests that they ran. A connection also breaks
// when it alone is reset, or when an answer is lost. A backend server that has ended
// refuses a new connection; otherwise that one takes the place of the broken one.

#pragma once

#include <LibCore/TimerService.h>
#include <LibGateway/Backend.h>

#include <functional>
#include <unordered_map>
#include <vector>

namespace Gateway
{

/** What the checks need of the pool that owns them, and what they report to it. All hooks must be set. */
struct CrashCheckHooks {
    /** Opens a connection to the backend server; returns nullptr if none could be opened. */
    std::function<ConnectionPointer(Backend &backend)> openConnection;
    /** Returns the round trip to the backend server, as measured or assumed. */
    std::function<Core::Duration(const Backend &backend)> expectedRoundTrip;
    /** Called once for each check that found that the backend server has ended. */
    std::function<void()> serverEnded;
    /** Called for each crash under a request that no backend server has answered. `crashedAt` is the start of the check. */
    std::function<void(const RequestTrace &trace, const Backend &backend, Core::Instant crashedAt)> requestCrashed;
    /** Called for each attempt that awaits the end of its check. */
    std::function<void(AttemptId id, bool hasEnded)> verified;
};

/** The checks in progress, and the backend servers that have ended recently. */
class CrashChecks
{
public:
    CrashChecks(Core::TimerService &timers, CrashCheckHooks hooks);
    CrashChecks(const CrashChecks &) = delete;
    CrashChecks &operator=(const CrashChecks &) = delete;

    /**
     * Records that the connection of an attempt broke while the backend server may have run the request, and starts a check of the backend server unless one
     * is in progress. Returns whether the outcome of the attempt must be withheld until `verified` is called for it.
     */
    [[nodiscard]] bool recordBreak(Backend &backend, const std::shared_ptr<RequestTrace> &trace, AttemptId id);

    /** Records that a backend server closed an idle connection unexpectedly. */
    void recordEndedConnection(const Backend &backend);

    /** Returns whether a check of the backend server is in progress, which refers to it. */
    [[nodiscard]] bool isChecking(Backend &backend) const;

    /** Returns whether several backend servers crashed within the last second, or ended their idle connections as they do when they crash. */
    [[nodiscard]] bool hasServersEnding() const;

    /** Removes records that are too old for hasServersEnding(). */
    void removeExpired(Core::Instant now);

private:
    struct AwaitingAttempt {
        AttemptId id{0};
        std::shared_ptr<RequestTrace> trace;
    };
    struct Check {
        // The requests whose connections broke, without those of `attempts`.
        std::vector<std::shared_ptr<RequestTrace>> traces;
        // Attempts that end with this check.
        std::vector<AwaitingAttempt> attempts;
        Core::Instant startedAt;
        Core::TimerSubscription timeout;
    };

    /** Returns the check of a backend server, which is started unless one is in progress; nullptr if none could be started. */
    [[nodiscard]] Check *checkOf(Backend &backend);
    void end(Backend &backend, bool hasEnded);
    void recordCrash(RequestTrace &trace, const Backend &backend, Core::Instant crashedAt) const;

    Core::TimerService &timers;
    CrashCheckHooks hooks;
    // Invariant: the attempts of all checks are exactly those with an unverified outcome.
    std::unordered_map<Backend *, Check> checks;
    // When a backend server last crashed or ended an idle connection unexpectedly. Entries that are older than a second are removed by removeExpired().
    std::unordered_map<BackendName, Core::Instant> endedConnections;
};

}
