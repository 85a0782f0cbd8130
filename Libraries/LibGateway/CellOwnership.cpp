/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/CellOwnership.h>

#include <LibCore/Log.h>
#include <LibGateway/Quota/QuotaKeepers.h>
#include <LibGateway/WarmupLimiter.h>

#include <algorithm>

namespace Gateway
{

static constexpr double MillisecondsInASecond = 1000.0;
// Gateways share a warm-up limit by rank only after the set of gateways has been unchanged for this long. Until then a gateway that has not received the change
// may still use its former share. An update reaches all connected gateways within a second, and a disconnected one stops using its share before the others drop
// it from their lists.
static constexpr Core::Duration RankSettleTime = Core::seconds(3);

CellOwnership::CellOwnership(
    CellOwnershipOptions options, std::string ownZone, const Fleet::RegionOfZone &regions, const std::string &ownAddress, Core::Instant now)
    : options(options), ownZone(std::move(ownZone)), map(options.cells, this->ownZone, regions, ownAddress), shares(options.slack, now), gatewaysSince(now)
{
}

const CellMap &CellOwnership::cells() const
{
    return this->map;
}

void CellOwnership::recordSearch()
{
    this->searchRate.recordEvent();
}

void CellOwnership::updateGateways(const Fleet::BackendRegistry &gateways, Core::Instant now)
{
    if (std::exchange(this->mapPosition, gateways.position()) == gateways.position()) {
        return;
    }
    std::map<std::string, std::vector<CellGateway>> byZone;
    for (auto &gateway : runningGateways(gateways)) {
        if (!gateway.isUnconfirmed) {
            byZone[gateway.zone].push_back({.name = std::move(gateway.name), .address = std::move(gateway.address)});
        }
    }
    this->map.setGateways(std::move(byZone));
    this->gatewaysSince = now;
}

void CellOwnership::applyDeclaration(const Fleet::Declaration &declaration)
{
    std::unordered_map<Core::ServiceName, std::size_t> declared;
    const std::vector<Core::ServiceName> *seen = nullptr;
    for (const auto &route : declaration.routes) {
        // Hundreds of routes may search the same shards, so equal neighbours are processed once.
        if (seen != nullptr && *seen == route.shards) {
            continue;
        }
        seen = &route.shards;
        for (const auto &shard : route.shards) {
            auto &shards = declared[shard];
            shards = std::max(shards, route.shards.size());
        }
    }
    declared.insert(this->shardsInSearch.begin(), this->shardsInSearch.end());
    this->shardsInSearch = std::move(declared);
}

std::set<CellKey> CellOwnership::findOwnCells() const
{
    std::set<std::size_t> sizes;
    for (const auto &[service, shards] : this->shardsInSearch) {
        sizes.insert(shards);
    }
    std::set<CellKey> own;
    for (const auto shards : sizes) {
        for (const auto cell : this->map.ownCells(shards, this->options.slack.ownersPerZone)) {
            own.emplace(shards, cell);
        }
    }
    return own;
}

void CellOwnership::advance(const OwnershipView &newView, Core::Duration span, Core::Instant now)
{
    this->view = newView;
    this->searchRate.advance(Core::toFractionalMilliseconds(span) / MillisecondsInASecond);
    this->map.setSearchRate(this->searchRate.perSecond());
    const bool haveOwners = this->map.cellsHaveOwners();
    auto own = this->view.mayOwn && haveOwners ? this->findOwnCells() : std::set<CellKey>();
    this->shares.setGateways(this->view.sharingSlack, haveOwners, now);
    this->shares.setOwnCells(own, now);
    if (own != this->ownCells) {
        Core::logEvent(Core::LogLevel::Information,
            "cells.owned",
            {{"cells", own.size()},
                {"before", this->ownCells.size()},
                {"gateways", this->view.gateways},
                {"may_own", this->view.mayOwn ? 1 : 0},
                {"zone_divided", this->map.isDivided(this->ownZone) ? 1 : 0}});
        this->ownCells = std::move(own);
    }
}

double CellOwnership::slackShareOf(const Core::ServiceName &service, const std::set<std::string> &zones, Core::Instant now) const
{
    const auto found = this->shardsInSearch.find(service);
    if (found == this->shardsInSearch.end()) {
        return this->shares.shareOfUnshardedService();
    }
    const CellKey cell(found->second, this->map.cellOf(service, found->second, this->ownZone));
    return this->shares.shareOfShard(cell, zones.size(), zones.contains(this->ownZone), now);
}

int CellOwnership::warmupShareOf(const Core::ServiceName &service, const std::string &zone, int total, Core::Instant now) const
{
    if (!this->view.mayOwn) {
        return 0;
    }
    WarmupSharing sharing{.total = total, .gateways = this->view.gateways, .inZone = 0, .rank = std::nullopt};
    const bool isSettled = now - this->gatewaysSince >= RankSettleTime;
    if (isSettled && zone == this->ownZone) {
        const auto found = this->shardsInSearch.find(service);
        // A service that is not a shard counts as a search over one shard and so as a cell of its own.
        const auto shards = found == this->shardsInSearch.end() ? std::size_t(1) : found->second;
        sharing.inZone = static_cast<int>(this->map.gatewaysIn(zone));
        sharing.rank = this->map.ownRank(this->map.cellOf(service, shards, zone), shards);
    }
    return computeWarmupShare(sharing);
}

}
