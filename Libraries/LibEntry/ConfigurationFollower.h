/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Keeps the configuration in force current: asks a control instance again and
// again, and remembers how old the proof is.

#pragma once

#include <LibCore/TimerService.h>
#include <LibEntry/ActiveConfiguration.h>
#include <LibEntry/ControlClient.h>

namespace Entry
{

/** How often control instances are asked. */
struct ConfigurationFollowerOptions {
    Core::InstanceName entryName;
    std::int64_t incarnation{0};
    Core::Duration period{Core::milliseconds(1000)};
    /** After a failure the next instance is asked sooner. */
    Core::Duration retryPeriod{Core::milliseconds(200)};
};

/** Asks until destroyed. */
class ConfigurationFollower
{
public:
    ConfigurationFollower(ConfigurationFollowerOptions options, ActiveConfiguration &activeConfiguration, ControlAccess &control, Core::TimerService &timers);

    /** Questions that got no usable answer since the last one that did. */
    [[nodiscard]] int failuresInARow() const;

private:
    void ask();
    void handleReply(const Core::Result<Protocol::FollowReply> &reply, Core::Instant sentAt);

    ConfigurationFollowerOptions options;
    ActiveConfiguration &activeConfiguration;
    ControlAccess &control;
    Core::TimerService &timers;
    int failures{0};
    Core::TimerSubscription next;
    std::shared_ptr<int> alive{std::make_shared<int>(0)};
};

}
