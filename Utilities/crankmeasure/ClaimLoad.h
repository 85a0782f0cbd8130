/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Sends claims to running control instances and measures commit latency, claims per second and, if their leader is killed meanwhile,
// the time without commits.

#pragma once

#include <LibCore/Settings.h>
#include <LibCore/TimerService.h>
#include <LibEntry/ControlClient.h>

#include <functional>
#include <vector>

namespace Measure
{

/** Keeps a fixed number of claims in flight for a given time. */
class ClaimLoad
{
public:
    ClaimLoad(std::vector<Core::Endpoint> instances, std::size_t inFlight, Core::Duration duration, Core::TimerService &timers);

    void start(std::function<void()> finished);

    [[nodiscard]] std::uint64_t granted() const;
    [[nodiscard]] std::uint64_t failed() const;
    [[nodiscard]] Core::Duration quantile(double quantile);
    /** The longest time without a grant, from the start or the previous grant to the next grant. */
    [[nodiscard]] Core::Duration longestTimeWithoutGrant() const;

private:
    void next();
    void handleReply(Core::Instant sentAt, const Core::Result<Protocol::ClaimReply> &reply);

    Entry::ControlClient client;
    std::size_t inFlight;
    Core::Duration duration;
    Core::TimerService &timers;
    Core::Instant endsAt;
    Core::Instant lastGrant;
    Core::Duration longestGap{0};
    std::uint64_t grants{0};
    std::uint64_t failures{0};
    std::size_t outstanding{0};
    std::vector<Core::Duration> latencies;
    std::vector<Core::TimerSubscription> retryTimers;
    std::function<void()> finished;
};

}
