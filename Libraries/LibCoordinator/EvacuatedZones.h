/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// The availability zones that operators have evacuated, as a state machine over
// the committed orders, which are applied in the order of the log. Without side
// effects.

#pragma once

#include <LibProtocol/Generated/fleet_types.h>

namespace Coordinator
{

/** The evacuated zones and their revision. All coordinators apply the same orders in the same order, so a revision means the same zones on each of them. */
class EvacuatedZones
{
public:
    /** Applies a committed order and returns whether it changed the zones. An order without effect, such as a repeated one, does not raise the revision. */
    bool apply(const Protocol::EvacuationOrder &order);

    /** Replaces the state by that of a snapshot if the snapshot has a higher revision. Returns whether it did. */
    bool restore(const Protocol::Evacuations &snapshot);

    [[nodiscard]] const Protocol::Evacuations &current() const;

private:
    // Invariant: each zone is contained at most once.
    Protocol::Evacuations state;
};

}
