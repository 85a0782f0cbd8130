/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// The gateways that a coordinator knows, on its disk as well, and whether these are all
// that may hold quota shares. A gateway that is cut off from the coordinators holds its
// shares for seconds more. After all coordinators were killed, nobody hears from it, so
// without the file a gateway that starts would be told that all others are in contact.

#pragma once

#include <LibCoordinator/RegistryStore.h>
#include <LibFleet/BackendRegistry.h>

namespace Coordinator
{

/** Settings of the list. */
struct GatewayListOptions {
    /** The whole system starts for the first time, so there were no gateways before. */
    bool isFirstStart{false};
    /** A restored gateway that is not heard of counts as ready for this long, as one that is cut off does. */
    Core::Duration unconfirmedTimeout{Core::seconds(12)};
    /**
     * After this time every gateway has received a change of the list, or holds no shares any more: a second for the change to reach it, and the time for
     * which a gateway that is cut off holds shares (GatewayNode), with a margin.
     */
    Core::Duration settleTime{Core::seconds(9)};
};

/**
 * The list is complete if it contains every gateway that may hold quota shares. It becomes complete in one of these ways, and stays so while this process runs:
 * C1. This is the first start of the whole system.
 * C2. It was restored from the disk, which holds complete lists only.
 * C3. It was received from a coordinator whose list is complete.
 * C4. This coordinator has been in touch for the settle time without interruption. A gateway that was not announced to any coordinator in touch since has
 *     lost its shares.
 */
class GatewayList
{
public:
    GatewayList(const GatewayListOptions &options, Core::TimerService &timers);
    GatewayList(const GatewayList &) = delete;
    GatewayList &operator=(const GatewayList &) = delete;

    [[nodiscard]] Fleet::BackendRegistry &registry();
    [[nodiscard]] const Fleet::BackendRegistry &registry() const;

    /** Reads the file. Has to succeed before store(). */
    [[nodiscard]] Core::Result<void> restore(Storage::Folder &folder);
    /** Writes what has changed, once the list is complete. */
    [[nodiscard]] Core::Result<void> store(Storage::Folder &folder);
    /** Whether the file holds all of the list. */
    [[nodiscard]] bool isDurable() const;

    /** Marks the gateways that are established now, and those silent that were restored and not heard of. To be called a few times a second. */
    void advance();

    [[nodiscard]] bool isComplete() const;

    /** Returns whether this coordinator has a leader and the lists of all coordinators that it reaches; never if not set. */
    std::function<bool()> isInTouch;
    /** Returns whether the list was received from a coordinator whose list is complete; never if not set. */
    std::function<bool()> isReceivedComplete;
    /** Called after each change that watchers have to be notified of. */
    std::function<void(const Fleet::BackendRecord &record)> changed;

private:
    void setComplete(const char *reason);
    void updateCompleteness();

    GatewayListOptions options;
    Core::TimerService &timers;
    Fleet::BackendRegistry gateways;
    RegistryStore file{"gateways"};
    bool complete{false};
    std::optional<Core::Instant> inTouchSince;
};

}
