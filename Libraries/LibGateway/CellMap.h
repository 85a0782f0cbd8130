/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Assigns the shards of a zone to owning gateways. With hundreds of gateways, each of
// which serves a search only every few seconds, a gateway on its own would observe too
// little of each backend server's health, would hold mostly idle connections, and would
// have to send to all shards itself. So the shards of a zone are divided into cells, each
// cell is owned by a few gateways, and searches relay each cell's shards to one of its
// owners. Pure.

#pragma once

#include <LibCore/StrongValue.h>
#include <LibFleet/Regions.h>
#include <LibGateway/Dialect.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Gateway
{

/** When a zone is divided into cells, and into how many. */
struct CellOptions {
    /**
     * Shards of one cell in one zone. A send and its reply take about 60 us of a core, a part about 150 us for the requesting gateway; for 180 shards on an
     * eighth of a core the sum is lowest at about 20 shards per cell.
     */
    std::size_t shardsInCell{20};
    /**
     * Parts that one owner serves per second; a cell gets more owners when there are more parts. With 20 shards per part this rate uses a twentieth of an
     * eighth of a core, so parts rarely queue behind each other.
     */
    double partsPerSecond{5.0};
    /** Minimum number of owners of a cell, so that one of them can fail. */
    std::size_t minimumOwners{2};
    /** A zone with fewer gateways is not divided, since each of them already serves a large share of its searches. */
    std::size_t minimumGateways{6};
};

/** A gateway that can serve parts. */
struct CellGateway {
    /** Identifies the incarnation of the gateway. */
    BackendName name;
    /** Stays the same over restarts, so a restarted gateway owns the same cells. */
    std::string address;
};

/**
 * Computes the owners of cells. Gateways that know the same gateways compute the same owners. Where they differ, parts go over additional connections, but no
 * guarantee is violated.
 */
class CellMap
{
public:
    /** `ownAddress` is the address under which the other gateways know this one. */
    CellMap(CellOptions options, std::string ownZone, Fleet::RegionOfZone regions, std::string ownAddress);

    /** Sets the ready gateways by zone, including this one. */
    void setGateways(std::map<std::string, std::vector<CellGateway>> gatewaysByZone);

    /** Sets the searches per second that one gateway receives from callers; multiplied by the number of gateways it estimates the rate of all. */
    void setSearchRate(double perSecond);

    /** Whether there are enough gateways for cells to have owners. A zone may still not be divided because searches are too frequent; see isDivided(). */
    [[nodiscard]] bool cellsHaveOwners() const;

    /** Returns the cells of this zone, for searches over `shardsInSearch` shards, that have this gateway among their first `ranks` owners. */
    [[nodiscard]] std::vector<std::size_t> ownCells(std::size_t shardsInSearch, std::size_t ranks) const;

    /** Whether searches relay the shards of a zone to the owners of its cells. */
    [[nodiscard]] bool isDivided(const std::string &zone) const;

    /** Returns the cell of a shard in a zone, for searches over `shardsInSearch` shards. */
    [[nodiscard]] std::size_t cellOf(const Core::ServiceName &shard, std::size_t shardsInSearch, const std::string &zone) const;

    /** Returns the owners of a cell in the order in which this gateway should prefer them; empty when the zone is not divided. */
    [[nodiscard]] std::vector<BackendName> ownersOf(std::size_t cell, std::size_t shardsInSearch, const std::string &zone) const;

    /** Returns the owners of the cell that contains all these shards; empty when the shards belong to several cells. */
    [[nodiscard]] std::vector<BackendName> commonOwnersOf(
        const std::vector<Core::ServiceName> &shards, std::size_t shardsInSearch, const std::string &zone) const;

    /** Whether this gateway is an owner of a cell in its own zone. */
    [[nodiscard]] bool isOwnCell(std::size_t cell, std::size_t shardsInSearch) const;

    [[nodiscard]] std::size_t gatewaysIn(const std::string &zone) const;

    /**
     * Returns the rank of this gateway, from 0, among all gateways of its zone in the order in which they would own a cell; nothing while this gateway is not
     * in the map.
     */
    [[nodiscard]] std::optional<int> ownRank(std::size_t cell, std::size_t shardsInSearch) const;

private:
    [[nodiscard]] std::size_t cellCount(std::size_t shardsInSearch, const std::string &zone) const;
    [[nodiscard]] std::size_t ownerCount(const std::string &zone) const;
    [[nodiscard]] std::vector<const CellGateway *> rankedOwners(std::size_t cell, std::size_t shardsInSearch, const std::string &zone, std::size_t count) const;
    [[nodiscard]] bool isAmong(const std::vector<const CellGateway *> &owners) const;

    CellOptions options;
    std::string ownZone;
    Fleet::RegionOfZone regions;
    std::string ownAddress;
    std::map<std::string, std::vector<CellGateway>> gateways;
    double searchRate{0.0};
};

/** Smoothed rate of events. */
class SmoothedRate
{
public:
    void recordEvent();

    /** Updates the rate with the events of the last `seconds`; call it after each such period. */
    void advance(double seconds);

    /** Returns the events per second. */
    [[nodiscard]] double perSecond() const;

private:
    double events{0.0};
    double rate{0.0};
};

}
