/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// What a gateway saw of one backend server itself: how slow it is, how often it
// refuses or fails, whether it is silent, how busy it said that it was. Pure.

#pragma once

#include <LibCore/Time.h>
#include <LibGateway/Dialect.h>

#include <optional>

namespace Gateway
{

/** Fades with time, so that one that recovered is asked again. */
class BackendHealth
{
public:
    /** It answered, `ratio` times as late as such requests usually are. */
    void recordAnswer(double ratio, Core::Instant now);

    /** As recordAnswer(), but another gateway saw it: says nothing of failures and of connections from here. */
    void noteAnswerElsewhere(double ratio, Core::Instant now);

    /** It refused a request that it did not run. */
    void recordRefusal(Core::Instant now);

    /** It failed a request. It is avoided after `failuresUntilAvoided` in a row. Returns whether it is avoided from now on and was not before. */
    bool recordFailure(int failuresUntilAvoided, Core::Instant now);

    /** It is silent, which counts at once. Returns whether it was not avoided before. */
    bool recordSilence(Core::Instant now);

    /** Anything came from it. */
    void recordReply(const std::optional<LoadReport> &report, Core::Instant now);

    /** How many times the usual latency it is expected to take: for its slowness and its queue. `own` requests are under way from here, `slots` run at once. */
    [[nodiscard]] double expectedFactor(std::size_t own, int slots, Core::Instant now) const;

    /** The share of requests that it refuses or fails. */
    [[nodiscard]] double failureRate(Core::Instant now) const;

    [[nodiscard]] bool isAvoided(Core::Instant now) const;
    [[nodiscard]] Core::Instant avoidedUntil() const;
    [[nodiscard]] Core::Instant lastReply() const;
    [[nodiscard]] int consecutiveFailures() const;

private:
    void noteOutcome(bool trouble, Core::Instant now);
    bool avoid(int doublings, Core::Instant now);
    [[nodiscard]] double slownessAt(Core::Instant now) const;
    /** What it says of its slowdown where it does, which one reply is enough to know; else what its latencies show. */
    [[nodiscard]] double paceAt(Core::Instant now) const;

    // How much longer than usual it takes, smoothed; 1 is usual.
    double slowness{1.0};
    Core::Instant slownessTime;
    // What its latest report said of its machine's slowdown; nothing where its reports don't tell.
    std::optional<double> slowdown;
    Core::Instant paceTime;
    double trouble{0.0};
    Core::Instant troubleTime;
    int failures{0};
    Core::Instant avoidEnd;
    Core::Instant replyTime;
    LoadReport load;
    Core::Instant loadTime;
};

}
