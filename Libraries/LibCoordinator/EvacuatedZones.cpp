/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibCoordinator/EvacuatedZones.h>

#include <algorithm>

namespace Coordinator
{

bool EvacuatedZones::apply(const Protocol::EvacuationOrder &order)
{
    auto &zones = this->state.zones;
    const auto found = std::find(zones.begin(), zones.end(), order.zone);
    const bool isEvacuated = found != zones.end();
    if (isEvacuated == order.evacuate) {
        return false;
    }
    if (order.evacuate) {
        zones.push_back(order.zone);
    } else {
        zones.erase(found);
    }
    ++this->state.revision;
    return true;
}

bool EvacuatedZones::restore(const Protocol::Evacuations &snapshot)
{
    if (snapshot.revision <= this->state.revision) {
        return false;
    }
    this->state = snapshot;
    return true;
}

const Protocol::Evacuations &EvacuatedZones::current() const
{
    return this->state;
}

}
