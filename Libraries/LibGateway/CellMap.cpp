/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/CellMap.h>

#include <LibGateway/StableHash.h>

#include <algorithm>
#include <cmath>

namespace Gateway
{

// Time constant of the smoothed search rate. At one search in six seconds it covers five searches, and the rate follows a rising load within a few of these
// periods.
static constexpr double RateTimeConstantSeconds = 30.0;

CellMap::CellMap(CellOptions options, std::string ownZone, Fleet::RegionOfZone regions, std::string ownAddress)
    : options(options), ownZone(std::move(ownZone)), regions(std::move(regions)), ownAddress(std::move(ownAddress))
{
}

void CellMap::setGateways(std::map<std::string, std::vector<CellGateway>> gatewaysByZone)
{
    this->gateways = std::move(gatewaysByZone);
}

void CellMap::setSearchRate(double perSecond)
{
    this->searchRate = perSecond;
}

std::size_t CellMap::ownerCount(const std::string &zone) const
{
    // Each search of the region sends one part to each cell of the zone.
    std::size_t inRegion = 0;
    for (const auto &[name, row] : this->gateways) {
        inRegion += Fleet::inSameRegion(this->regions, name, zone) ? row.size() : 0;
    }
    const double parts = this->searchRate * static_cast<double>(inRegion);
    return std::max(this->options.minimumOwners, static_cast<std::size_t>(std::ceil(parts / this->options.partsPerSecond)));
}

bool CellMap::isDivided(const std::string &zone) const
{
    const auto found = this->gateways.find(zone);
    if (found == this->gateways.end() || found->second.size() < this->options.minimumGateways) {
        return false;
    }
    // When half of the gateways of a zone would own each cell, relaying parts to owners has no advantage.
    return 2 * this->ownerCount(zone) <= found->second.size();
}

std::size_t CellMap::cellCount(std::size_t shardsInSearch, const std::string &zone) const
{
    const auto zones = std::count_if(this->regions.begin(), this->regions.end(), [this, &zone](const auto &item) {
        return Fleet::inSameRegion(this->regions, item.first, zone);
    });
    const auto shardsOfOneCell = this->options.shardsInCell * static_cast<std::size_t>(std::max<std::ptrdiff_t>(1, zones));
    return std::max<std::size_t>(1, (shardsInSearch + shardsOfOneCell - 1) / shardsOfOneCell);
}

std::size_t CellMap::cellOf(const Core::ServiceName &shard, std::size_t shardsInSearch, const std::string &zone) const
{
    return stableHash(shard.value()) % this->cellCount(shardsInSearch, zone);
}

// Rendezvous hashing: a gateway that joins or leaves changes only the cells that it owns.
std::vector<const CellGateway *> CellMap::rankedOwners(std::size_t cell, std::size_t shardsInSearch, const std::string &zone, std::size_t count) const
{
    const auto cellName = zone + "/" + std::to_string(this->cellCount(shardsInSearch, zone)) + "/" + std::to_string(cell) + "/";
    std::vector<std::pair<std::uint64_t, const CellGateway *>> ranked;
    for (const auto &gateway : this->gateways.at(zone)) {
        ranked.emplace_back(stableHash(cellName + gateway.address), &gateway);
    }
    const auto owners = std::min(count, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(owners), ranked.end());
    std::vector<const CellGateway *> chosen;
    for (std::size_t rank = 0; rank < owners; ++rank) {
        chosen.push_back(ranked[rank].second);
    }
    return chosen;
}

std::vector<BackendName> CellMap::ownersOf(std::size_t cell, std::size_t shardsInSearch, const std::string &zone) const
{
    if (!this->isDivided(zone)) {
        return {};
    }
    auto owners = this->rankedOwners(cell, shardsInSearch, zone, this->ownerCount(zone));
    // Rotating the owners spreads the gateways over them. Each gateway always prefers the same owner, to which its connections are open.
    const auto first = stableHash(this->ownAddress + "/" + std::to_string(cell)) % owners.size();
    std::rotate(owners.begin(), owners.begin() + static_cast<std::ptrdiff_t>(first), owners.end());
    std::vector<BackendName> names;
    for (const auto *owner : owners) {
        names.push_back(owner->name);
    }
    return names;
}

std::vector<BackendName> CellMap::commonOwnersOf(const std::vector<Core::ServiceName> &shards, std::size_t shardsInSearch, const std::string &zone) const
{
    if (shards.empty() || !this->isDivided(zone)) {
        return {};
    }
    const auto cell = this->cellOf(shards.front(), shardsInSearch, zone);
    const bool common = std::all_of(shards.begin(), shards.end(), [&](const Core::ServiceName &shard) {
        return this->cellOf(shard, shardsInSearch, zone) == cell;
    });
    return common ? this->ownersOf(cell, shardsInSearch, zone) : std::vector<BackendName>();
}

bool CellMap::isOwnCell(std::size_t cell, std::size_t shardsInSearch) const
{
    return this->isDivided(this->ownZone) && this->isAmong(this->rankedOwners(cell, shardsInSearch, this->ownZone, this->ownerCount(this->ownZone)));
}

bool CellMap::cellsHaveOwners() const
{
    std::size_t all = 0;
    for (const auto &[zone, row] : this->gateways) {
        all += row.size();
    }
    return all > 0 && all >= this->options.minimumGateways * this->gateways.size();
}

std::vector<std::size_t> CellMap::ownCells(std::size_t shardsInSearch, std::size_t ranks) const
{
    std::vector<std::size_t> own;
    if (!this->gateways.contains(this->ownZone)) {
        return own;
    }
    for (std::size_t cell = 0; cell < this->cellCount(shardsInSearch, this->ownZone); ++cell) {
        if (this->isAmong(this->rankedOwners(cell, shardsInSearch, this->ownZone, ranks))) {
            own.push_back(cell);
        }
    }
    return own;
}

std::size_t CellMap::gatewaysIn(const std::string &zone) const
{
    const auto found = this->gateways.find(zone);
    return found == this->gateways.end() ? 0 : found->second.size();
}

std::optional<int> CellMap::ownRank(std::size_t cell, std::size_t shardsInSearch) const
{
    const auto all = this->gatewaysIn(this->ownZone);
    if (all == 0) {
        return std::nullopt;
    }
    const auto ranked = this->rankedOwners(cell, shardsInSearch, this->ownZone, all);
    const auto own = std::find_if(ranked.begin(), ranked.end(), [this](const CellGateway *gateway) {
        return gateway->address == this->ownAddress;
    });
    return own == ranked.end() ? std::nullopt : std::optional<int>(static_cast<int>(own - ranked.begin()));
}

bool CellMap::isAmong(const std::vector<const CellGateway *> &owners) const
{
    return std::any_of(owners.begin(), owners.end(), [this](const CellGateway *owner) {
        return owner->address == this->ownAddress;
    });
}

void SmoothedRate::recordEvent()
{
    this->events += 1.0;
}

void SmoothedRate::advance(double seconds)
{
    const double retained = std::exp(-seconds / RateTimeConstantSeconds);
    this->rate = retained * this->rate + (1.0 - retained) * this->events / seconds;
    this->events = 0.0;
}

double SmoothedRate::perSecond() const
{
    return this->rate;
}

}
