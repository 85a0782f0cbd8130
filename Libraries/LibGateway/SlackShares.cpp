/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/SlackShares.h>

#include <algorithm>

namespace Gateway
{

SlackShares::SlackShares(SlackShareOptions options, Core::Instant start) : options(options), cellsLastOwnedAt(start)
{
}

void SlackShares::setGateways(int count, bool cellsHaveOwners, Core::Instant now)
{
    this->gateways = std::max(1, count);
    if (cellsHaveOwners) {
        this->cellsLastOwnedAt = now;
    } else {
        this->ownSince.clear();
    }
}

void SlackShares::setOwnCells(const std::set<CellKey> &cells, Core::Instant now)
{
    std::erase_if(this->ownSince, [&cells](const auto &item) {
        return !cells.contains(item.first);
    });
    for (const auto &cell : cells) {
        this->ownSince.try_emplace(cell, now);
    }
}

double SlackShares::shareOfShard(const CellKey &cell, std::size_t zones, bool inOwnZone, Core::Instant now) const
{
    // Rule S2.
    if (now - this->cellsLastOwnedAt >= 2 * this->options.window) {
        return this->shareOfUnshardedService();
    }
    const double equalShare = (1.0 - this->options.ownersShare) / this->gateways;
    // Rule S1.
    const auto owned = this->ownSince.find(cell);
    const bool isOwner = inOwnZone && owned != this->ownSince.end() && now - owned->second >= this->options.window;
    if (!isOwner) {
        return equalShare;
    }
    const auto owners = this->options.ownersPerZone * std::max<std::size_t>(1, zones);
    return equalShare + this->options.ownersShare / static_cast<double>(owners);
}

double SlackShares::shareOfUnshardedService() const
{
    return 1.0 / this->gateways;
}

}
