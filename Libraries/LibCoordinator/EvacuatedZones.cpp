/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibCoordinator/EvacuatedZones.h>

#include <algorithm>
#include <utility>

namespace Coordinator
{

EvacuatedZones::EvacuatedZones(Protocol::Evacuations snapshot) : state(std::move(snapshot))
{
}

bool EvacuatedZones::apply(const Protocol::EvacuationOrder &order, std::int64_t index)
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
    this->state.revision = index;
    return true;
}

const Protocol::Evacuations &EvacuatedZones::current() const
{
    return this->state;
}

}
