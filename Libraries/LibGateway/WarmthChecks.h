/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Asks backend servers themselves whether they are warming up, by their health path,
// while the coordinators can't tell: this gateway is cut off from them or was suspended,
// or they have restarted and have not heard of every backend server yet.
//
// An answer is out of date as soon as it was made. It therefore counts for a request or a few
// only, and the next check begins when one more waits. The requests that reach a backend
// server after it turned cold are then at most those, however many this gateway gets.

#pragma once

#include <LibCore/TimerService.h>
#include <LibGateway/Backend.h>
#include <LibGateway/Scheduling/LogLimit.h>

#include <functional>
#include <unordered_map>

namespace Gateway
{

/** Times of the checks. */
struct WarmthCheckOptions {
    /** A check without an answer for this long has failed. */
    Core::Duration timeout{Core::milliseconds(200)};
    /** After a failed check the backend server is not checked again for this long. */
    Core::Duration retryDelay{Core::seconds(1)};
    /** An answer counts for this long at most. */
    Core::Duration validity{Core::milliseconds(100)};
};

/** What the checks need of the pool that owns them. All hooks must be set. */
struct WarmthCheckHooks {
    /** Returns a connection to the backend server that has not sent this key; nullptr if there is none. */
    std::function<ConnectionPointer(Backend &backend, const ReplyKey &key)> connectionFor;
    /** Appends the bytes of the check. Returns false if the service has no health path. */
    std::function<bool(std::string &bytes, const Backend &backend, const ReplyKey &key)> write;
    /** Returns whether an answer may be the one to a check with this key. */
    std::function<bool(const Wire::Response &response, const ReplyKey &key)> recognise;
    /** Returns how much longer the backend server warms up; nothing if the answer does not tell, or is that of another one. */
    std::function<std::optional<Core::Duration>(const Wire::Response &response, const Backend &backend)> read;
    /** Called when a check has ended, so that requests that wait for it can be sent. */
    std::function<void(Backend &backend)> ended;
};

/** Counters for metrics. */
struct WarmthCheckCounters {
    std::uint64_t begun{0};
    std::uint64_t failed{0};
    /** Answers that told of a backend server that is warming up. */
    std::uint64_t cold{0};
};

/** The checks in progress. A backend server must not be destroyed while it is checked. */
class WarmthChecks
{
public:
    WarmthChecks(WarmthCheckOptions options, Core::TimerService &timers, WarmthCheckHooks hooks);
    WarmthChecks(const WarmthChecks &) = delete;
    WarmthChecks &operator=(const WarmthChecks &) = delete;

    /** Whether one more request may be sent because of the latest answer. */
    [[nodiscard]] bool allowsSend(const Backend &backend) const;
    void recordSend(Backend &backend);

    [[nodiscard]] bool isChecking(const Backend &backend) const;
    /** Whether a check is in progress or can be begun. */
    [[nodiscard]] bool mayTell(const Backend &backend) const;
    /** Begins a check unless one is in progress. If the answer tells that the backend server is warm, it allows `sends` requests. */
    void begin(Backend &backend, int sends);

    [[nodiscard]] const WarmthCheckCounters &counters() const;

private:
    struct Check {
        int sends{0};
        ConnectionPointer connection;
        Core::TimerSubscription timeout;
    };

    void end(Backend &backend, std::optional<Core::Duration> warmupLeft);

    WarmthCheckOptions options;
    Core::TimerService &timers;
    WarmthCheckHooks hooks;
    std::unordered_map<const Backend *, Check> checks;
    std::uint64_t nextKey{1};
    WarmthCheckCounters counts;
    static constexpr int ColdLinesPerSecond = 5;
    LogLimit coldLines{ColdLinesPerSecond};
};

}
