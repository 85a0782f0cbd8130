/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// The availability zones that operators have evacuated, as a state machine over
// the committed orders in the order of the log. Pure.

#pragma once

#include <LibProtocol/Generated/fleet_types.h>

namespace Coordinator
{

/** Every coordinator applies the same orders in the same order, so a revision stands for the same zones everywhere. */
class EvacuatedZones
{
public:
    /** Applies a committed order. One that changes nothing, such as one that an operator sent again, keeps the revision. Returns whether it changed anything.
     */
    bool apply(const Protocol::EvacuationOrder &order);

    /** Takes over the state of a snapshot, unless what is held is newer. Returns whether it was taken. */
    bool restore(const Protocol::Evacuations &snapshot);

    [[nodiscard]] const Protocol::Evacuations &current() const;

private:
    // Invariant: no zone stands twice.
    Protocol::Evacuations state;
};

}
