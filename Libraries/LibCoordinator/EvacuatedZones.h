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

/** The evacuated zones and their revision, which is the index of the entry that made the latest change. */
class EvacuatedZones
{
public:
    EvacuatedZones() = default;
    /** Takes the state of a snapshot. */
    explicit EvacuatedZones(Protocol::Evacuations snapshot);

    /**
     * Applies the committed order at an index of the log and returns whether it changed the zones. An order without effect, such as a repeated one, leaves the
     * revision as it is.
     */
    bool apply(const Protocol::EvacuationOrder &order, std::int64_t index);

    [[nodiscard]] const Protocol::Evacuations &current() const;

private:
    // Invariant: each zone is contained at most once.
    Protocol::Evacuations state;
};

}
