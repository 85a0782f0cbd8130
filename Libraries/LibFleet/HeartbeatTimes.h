/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// What is derived from how often backend servers call, all in one place.

#pragma once

#include <LibCore/Time.h>

#include <algorithm>

namespace Fleet
{

/** How long heartbeats are waited for, by whom. */
struct HeartbeatTimes {
    /** A single heartbeat comes up to this much late. */
    static constexpr Core::Duration Lateness = Core::milliseconds(2300);
    /** Fewer heartbeats missing in a row, or less silence, prove nothing. */
    static constexpr int MissedInSilence = 4;
    static constexpr Core::Duration LeastSilence = Core::seconds(20);

    /** A coordinator that has just started takes a backend server on its disk for ready for this long without a heartbeat. */
    Core::Duration unconfirmedTimeout{0};
    /** A backend server without a heartbeat for this long is taken for gone. */
    Core::Duration silence{0};
    /** Within this time after its first news a gateway knows every backend server that calls. */
    Core::Duration registryCompleteAfter{0};

    [[nodiscard]] static HeartbeatTimes of(Core::Duration period)
    {
        return {.unconfirmedTimeout = period + Lateness,
            .silence = std::max(LeastSilence, MissedInSilence * period),
            // Two periods, and the way from a coordinator.
            .registryCompleteAfter = 2 * period + Core::milliseconds(200)};
    }
};

}
