/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Timeouts that are derived from the heartbeat period of the backend servers.

#pragma once

#include <LibCore/Time.h>

#include <algorithm>

namespace Fleet
{

/** Timeouts of coordinators and gateways that depend on the heartbeat period. */
struct HeartbeatTimes {
    /** The longest delay of a single heartbeat. */
    static constexpr Core::Duration MaximumHeartbeatDelay = Core::milliseconds(2300);
    /**
     * A backend server counts as silent only after it missed this many heartbeats in a row and after the minimum heartbeat timeout. Less than that does not
     * show that it has ended.
     */
    static constexpr int MissedHeartbeats = 4;
    static constexpr Core::Duration MinimumHeartbeatTimeout = Core::seconds(20);

    /** A coordinator that has just started treats a backend server that it restored from disk as ready for this long without a heartbeat. */
    Core::Duration unconfirmedTimeout{0};
    /** A backend server from which no heartbeat was received for this long becomes silent, or gone if it was draining. */
    Core::Duration heartbeatTimeout{0};
    /** This long after its first update a gateway knows every backend server that sends heartbeats. */
    Core::Duration registryCompleteAfter{0};

    [[nodiscard]] static HeartbeatTimes of(Core::Duration period)
    {
        return {.unconfirmedTimeout = period + MaximumHeartbeatDelay,
            .heartbeatTimeout = std::max(MinimumHeartbeatTimeout, MissedHeartbeats * period),
            // Two heartbeat periods, and the time that an update takes from a coordinator to a gateway.
            .registryCompleteAfter = 2 * period + Core::milliseconds(200)};
    }
};

}
