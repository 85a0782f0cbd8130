/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/Quota/KeeperRoundTrips.h>

namespace Gateway
{

// Assumed in the own region until a reply has been measured: two hops and a turn of a loaded gateway.
static constexpr Core::Duration AssumedInRegion = Core::milliseconds(10);
// Assumed to another region: the longest known round trip between regions is 24 ms, and the same turn.
static constexpr Core::Duration AssumedBetweenRegions = Core::milliseconds(30);
// Each reply counts for this part of the estimate, so that one late turn of a keeper does not rule out queries to it.
static constexpr int SmoothingDivisor = 8;
// A keeper without requests for this long may have moved to another machine.
static constexpr Core::Duration MaximumAge = Core::seconds(60);

void KeeperRoundTrips::add(const std::string &address, Core::Duration roundTrip, Core::Instant now)
{
    const auto [row, isNew] = this->rows.try_emplace(address, Row{.roundTrip = roundTrip, .measuredAt = now});
    if (!isNew) {
        row->second.roundTrip += (roundTrip - row->second.roundTrip) / SmoothingDivisor;
        row->second.measuredAt = now;
    }
}

Core::Duration KeeperRoundTrips::expected(const std::string &address, bool isInOwnRegion) const
{
    const auto found = this->rows.find(address);
    if (found != this->rows.end()) {
        return found->second.roundTrip;
    }
    return isInOwnRegion ? AssumedInRegion : AssumedBetweenRegions;
}

void KeeperRoundTrips::forgetOld(Core::Instant now)
{
    std::erase_if(this->rows, [now](const auto &item) {
        return now - item.second.measuredAt > MaximumAge;
    });
}

}
