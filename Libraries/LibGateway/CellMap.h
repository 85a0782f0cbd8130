/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Which gateways of a zone own which shards. Where hundreds of gateways each see
// a search in some seconds, none of them would know anything of a backend server,
// each would hold a connection that rests, and one alone would send to all shards.
// So the shards of a zone are divided into cells, a few gateways own each cell,
// and searches bring each cell's shards to one of its owners. Pure.

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

/** When a zone is divided, and how finely. */
struct CellOptions {
    /**
     * Shards of one cell in one zone. A send and its reply take about 60 us of a core, a part about 150 us for the one that asks; with 180 shards
     * on an eighth of a core the two are least together at about 20.
     */
    std::size_t shardsInCell{20};
    /**
     * An owner is asked for about so many parts a second at most; more owners share a cell beyond. With 20 shards a part that is a twentieth of
     * an eighth of a core, so parts hardly wait for each other.
     */
    double partsPerSecond{5.0};
    /** Owners of a cell at least, so that one may be gone. */
    std::size_t fewestOwners{2};
    /** A zone with fewer gateways is not divided: each of them has a good part of its searches anyway. */
    std::size_t fewestGateways{6};
};

/** A gateway that takes parts. */
struct CellGateway {
    /** Names its incarnation. */
    BackendName name;
    /** Stays the same when it starts again, and so do its cells. */
    std::string address;
};

/** All gateways come to the same owners as far as they know the same gateways; what they know differently costs a connection, and no promise. */
class CellMap
{
public:
    /** `ownAddress` as the other gateways know it. */
    CellMap(CellOptions options, std::string ownZone, Fleet::RegionOfZone regions, std::string ownAddress);

    /** The gateways that are ready, by zone; this one included. */
    void setGateways(std::map<std::string, std::vector<CellGateway>> gatewaysByZone);

    /** Searches that callers bring to one gateway, a second; with the number of gateways an estimate of all. */
    void setSearchRate(double perSecond);

    /** Whether gateways are so many that zones are divided, unless searches are too frequent for it. */
    [[nodiscard]] bool cellsHaveOwners() const;

    /** The cells of this zone for searches over so many shards whose first `ranks` owners include this gateway. */
    [[nodiscard]] std::vector<std::size_t> ownCells(std::size_t shardsInSearch, std::size_t ranks) const;

    /** Whether searches for a zone's shards go to owners of cells. */
    [[nodiscard]] bool isDivided(const std::string &zone) const;

    /** The cell of a shard in a zone, for searches over so many shards. */
    [[nodiscard]] std::size_t cellOf(const Core::ServiceName &shard, std::size_t shardsInSearch, const std::string &zone) const;

    /** The owners of a cell in the order in which this gateway should ask them; empty where the zone is not divided. */
    [[nodiscard]] std::vector<BackendName> ownersOf(std::size_t cell, std::size_t shardsInSearch, const std::string &zone) const;

    /** Owners of the cell that all these shards belong to; empty when they belong to several. */
    [[nodiscard]] std::vector<BackendName> commonOwnersOf(
        const std::vector<Core::ServiceName> &shards, std::size_t shardsInSearch, const std::string &zone) const;

    /** Whether this gateway is one of the owners of a cell of its own zone. */
    [[nodiscard]] bool isOwnCell(std::size_t cell, std::size_t shardsInSearch) const;

    [[nodiscard]] std::size_t gatewaysIn(const std::string &zone) const;

    /** This gateway's place among all gateways of its zone, in the order in which they own a cell; nothing while it is not known there itself. */
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

/** The rate of events, smoothed. */
class SmoothedRate
{
public:
    void note();

    /** To be called after each span of time. */
    void advance(double seconds);

    /** Events a second. */
    [[nodiscard]] double perSecond() const;

private:
    double events{0.0};
    double rate{0.0};
};

}
