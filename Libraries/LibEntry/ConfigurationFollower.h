/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Keeps the active configuration current: polls a control instance, which sends
// new revisions and renews the lease.

#pragma once

#include <LibCore/TimerService.h>
#include <LibEntry/ActiveConfiguration.h>
#include <LibEntry/ControlClient.h>

namespace Entry
{

/** Identity of this instance and periods of polling. */
struct ConfigurationFollowerOptions {
    Core::InstanceName entryName;
    std::int64_t incarnation{0};
    Core::Duration period{Core::milliseconds(1000)};
    /** Delay after a failure, until the next instance is polled. */
    Core::Duration retryPeriod{Core::milliseconds(200)};
};

/** Polls until destroyed. */
class ConfigurationFollower
{
public:
    ConfigurationFollower(ConfigurationFollowerOptions options, ActiveConfiguration &activeConfiguration, ControlAccess &control, Core::TimerService &timers);

    /** Number of requests without a usable reply since the last one that had a usable reply. */
    [[nodiscard]] int consecutiveFailures() const;

private:
    void sendRequest();
    void handleReply(const Core::Result<Protocol::FollowReply> &reply, Core::Instant sentAt);

    ConfigurationFollowerOptions options;
    ActiveConfiguration &activeConfiguration;
    ControlAccess &control;
    Core::TimerService &timers;
    int failures{0};
    Core::TimerSubscription next;
    // Hooks of outstanding calls hold this weakly, so that a reply after the destruction of this object is ignored.
    std::shared_ptr<int> lifetimeToken{std::make_shared<int>(0)};
};

}
