/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Drives live control instances: how long a commit takes, how many claims a
// second they take, and how long they are silent when their leader dies.

#pragma once

#include <LibCore/Settings.h>
#include <LibCore/TimerService.h>
#include <LibEntry/ControlClient.h>

#include <functional>
#include <vector>

namespace Measure
{

/** Keeps a number of claims in flight for a while. */
class ClaimLoad
{
public:
    ClaimLoad(std::vector<Core::Endpoint> instances, std::size_t inFlight, Core::Duration duration, Core::TimerService &timers);

    void start(std::function<void()> finished);

    [[nodiscard]] std::uint64_t granted() const;
    [[nodiscard]] std::uint64_t failed() const;
    [[nodiscard]] Core::Duration quantile(double quantile);
    /** The longest time without any grant. */
    [[nodiscard]] Core::Duration longestSilence() const;

private:
    void next();
    void take(Core::Instant sentAt, const Core::Result<Protocol::ClaimReply> &reply);

    Entry::ControlClient client;
    std::size_t inFlight;
    Core::Duration duration;
    Core::TimerService &timers;
    Core::Instant endsAt;
    Core::Instant lastGrant;
    Core::Duration silence{0};
    std::uint64_t grants{0};
    std::uint64_t failures{0};
    std::size_t outstanding{0};
    std::vector<Core::Duration> latencies;
    std::vector<Core::TimerSubscription> pauses;
    std::function<void()> finished;
};

}
