/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Scenario: hundreds of gateways on an eighth of a core each, each of which receives a
// search over 180 shards every six seconds. When one gateway sent to all shards, 90
// requests and replies kept it busy for half of an urgent search's 100 ms, and each
// fourth send opened a connection, since the previous one had been closed as idle. With
// owners of cells, the answers to urgent searches of the print bureau's 300 gateways had
// 0.91 instead of 0.73 of their full value to callers, and new connections fell to a third.

#include <LibGateway/CellMap.h>

#include <algorithm>
#include <cmath>
#include <criterion/criterion.h>
#include <set>

using Gateway::BackendName;
using Gateway::CellMap;

namespace
{

// Deployment of the print bureau on 300 instances: 50 gateways in each of two zones of three regions, 48 searches per second over 180 shards.
constexpr std::size_t GatewaysInZone = 50;
constexpr std::size_t Shards = 180;
constexpr double SearchesPerGateway = 48.0 / 300.0;
const Fleet::RegionOfZone regions{{"a1", "a"}, {"a2", "a"}, {"b1", "b"}, {"b2", "b"}, {"c1", "c"}, {"c2", "c"}};

std::string addressOf(const std::string &zone, std::size_t number)
{
    return zone + ":" + std::to_string(number);
}

std::map<std::string, std::vector<Gateway::CellGateway>> gatewaysIn(std::size_t perZone, const std::string &incarnation = "1")
{
    std::map<std::string, std::vector<Gateway::CellGateway>> gateways;
    for (const auto &[zone, region] : regions) {
        for (std::size_t number = 0; number < perZone; ++number) {
            const auto address = addressOf(zone, number);
            gateways[zone].push_back({.name = BackendName(address + "/" + incarnation), .address = address});
        }
    }
    return gateways;
}

CellMap mapOf(std::size_t number, std::size_t perZone = GatewaysInZone, double rate = SearchesPerGateway)
{
    CellMap cells({}, "a1", regions, addressOf("a1", number));
    cells.setGateways(gatewaysIn(perZone));
    cells.setSearchRate(rate);
    return cells;
}

std::size_t cellsIn(const CellMap &cells, const std::string &zone)
{
    std::set<std::size_t> found;
    for (std::size_t shard = 0; shard < Shards; ++shard) {
        found.insert(cells.cellOf(Core::ServiceName("shard-" + std::to_string(shard)), Shards, zone));
    }
    return found.size();
}

std::set<BackendName> ownerSet(const CellMap &cells, std::size_t cell, const std::string &zone)
{
    const auto owners = cells.ownersOf(cell, Shards, zone);
    return {owners.begin(), owners.end()};
}

}

Test(CellMap, allGatewaysComputeTheSameOwners)
{
    const auto one = mapOf(0);
    const auto other = mapOf(GatewaysInZone - 1);
    for (const auto &[zone, region] : regions) {
        for (std::size_t cell = 0; cell < cellsIn(one, zone); ++cell) {
            cr_assert_not(ownerSet(one, cell, zone).empty());
            cr_assert(ownerSet(one, cell, zone) == ownerSet(other, cell, zone));
        }
    }
}

Test(CellMap, partsAreBalancedAcrossOwners)
{
    std::map<BackendName, int> firstChoices;
    const auto cellCount = cellsIn(mapOf(0), "a1");
    cr_assert_eq(cellCount, 5, "180 shards, 20 in a cell of each of two zones");
    for (std::size_t number = 0; number < GatewaysInZone; ++number) {
        for (std::size_t cell = 0; cell < cellCount; ++cell) {
            ++firstChoices[mapOf(number).ownersOf(cell, Shards, "a1").front()];
        }
    }
    // 16 searches per second in the region send 16 parts to each cell, for which four owners are enough; some gateways own two cells.
    cr_assert(firstChoices.size() >= 12 && firstChoices.size() <= 20, "%zu owners are the first choice", firstChoices.size());
    const auto busiest = std::max_element(firstChoices.begin(), firstChoices.end(), [](const auto &left, const auto &right) {
        return left.second < right.second;
    });
    cr_assert(busiest->second <= 50, "one owner is the first choice of %d in 250", busiest->second);
}

Test(CellMap, ownersGrowWithTheSearchRateUntilZonesAreNotDivided)
{
    std::size_t before = 0;
    for (const double rate : {0.0, 0.16, 0.5, 1.0}) {
        const auto owners = mapOf(0, GatewaysInZone, rate).ownersOf(0, Shards, "a1").size();
        cr_assert(owners >= std::max<std::size_t>(2, before));
        before = owners;
    }
    // At this rate each gateway sends to each shard several times per second, as often as an owner would.
    const auto busy = mapOf(0, GatewaysInZone, 2.0);
    cr_assert_not(busy.isDivided("a1"));
    cr_assert(busy.ownersOf(0, Shards, "a1").empty());
    cr_assert_not(busy.isOwnCell(0, Shards));
}

// Guards against dividing a zone among a handful of gateways: one owner's view of a failing shard would decide for all of them, and its queue would delay all
// of them.
Test(CellMap, zonesWithFewGatewaysAreNotDivided)
{
    for (const double rate : {0.0, 0.16, 10.0}) {
        cr_assert_not(mapOf(0, 4, rate).isDivided("a1"));
    }
    cr_assert_not(mapOf(0).isDivided("unknown"));
}

Test(CellMap, aDepartureChangesOnlyTheCellsThatTheGatewayOwned)
{
    const auto before = mapOf(0);
    auto without = gatewaysIn(GatewaysInZone);
    without["a2"].erase(without["a2"].begin() + 7);
    auto after = mapOf(0);
    after.setGateways(without);
    const BackendName gone(addressOf("a2", 7) + "/1");
    for (std::size_t cell = 0; cell < cellsIn(before, "a2"); ++cell) {
        auto owners = ownerSet(before, cell, "a2");
        const bool owned = owners.erase(gone) > 0;
        const auto now = ownerSet(after, cell, "a2");
        cr_assert(std::includes(now.begin(), now.end(), owners.begin(), owners.end()));
        cr_assert(owned || now == owners);
    }
}

Test(CellMap, aRestartedGatewayOwnsTheSameCells)
{
    auto again = mapOf(0);
    again.setGateways(gatewaysIn(GatewaysInZone, "2"));
    const auto before = mapOf(0);
    for (std::size_t cell = 0; cell < cellsIn(before, "b1"); ++cell) {
        const auto old = before.ownersOf(cell, Shards, "b1");
        const auto now = again.ownersOf(cell, Shards, "b1");
        cr_assert_eq(old.size(), now.size());
        for (std::size_t rank = 0; rank < old.size(); ++rank) {
            const auto address = old[rank].value().substr(0, old[rank].value().find('/'));
            cr_assert_eq(now[rank].value(), address + "/2");
        }
    }
}

Test(CellMap, shardsHaveCommonOwnersOnlyWithinOneCell)
{
    const auto cells = mapOf(0);
    const auto shard = [](int number) {
        return Core::ServiceName("shard-" + std::to_string(number));
    };
    int same = 0;
    int other = 0;
    for (int number = 1; number < 60; ++number) {
        const bool oneCell = cells.cellOf(shard(0), Shards, "c2") == cells.cellOf(shard(number), Shards, "c2");
        (oneCell ? same : other) += 1;
        cr_assert_eq(cells.commonOwnersOf({shard(0), shard(number)}, Shards, "c2").empty(), !oneCell);
    }
    cr_assert(same > 0 && other > 0);
    cr_assert(cells.commonOwnersOf({}, Shards, "c2").empty());
}

Test(SmoothedRate, convergesToASteadyRateAndDecays)
{
    Gateway::SmoothedRate rate;
    for (int second = 0; second < 120; ++second) {
        rate.recordEvent();
        rate.recordEvent();
        rate.advance(1.0);
    }
    cr_assert(std::abs(rate.perSecond() - 2.0) < 0.1);
    for (int second = 0; second < 120; ++second) {
        rate.advance(1.0);
    }
    cr_assert(rate.perSecond() < 0.1);
}
