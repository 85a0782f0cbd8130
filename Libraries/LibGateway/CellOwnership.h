/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Keeps the map of cells and the parts of the slack up to date with what a gateway
// learns: which gateways there are, what is declared, how often it is searched.

#pragma once

#include <LibFleet/BackendRegistry.h>
#include <LibFleet/Declaration.h>
#include <LibGateway/CellMap.h>
#include <LibGateway/SlackShares.h>

#include <unordered_map>

namespace Gateway
{

struct CellOwnershipOptions {
    CellOptions cells;
    SlackShareOptions slack;
};

/** Whether this gateway may own cells at all, and among how many gateways. */
struct OwnershipView {
    int gateways{1};
    /** False while it drains, or hears from no coordinator: another one may own its cells by then. */
    bool mayOwn{false};
};

/** Of one gateway. */
class CellOwnership
{
public:
    /** `ownAddress` as the other gateways know it. */
    CellOwnership(CellOwnershipOptions options, std::string ownZone, const Fleet::RegionOfZone &regions, const std::string &ownAddress, Core::Instant now);

    /** Takes the ready gateways over if any has come or gone. */
    void updateGateways(const Fleet::BackendRegistry &gateways, Core::Instant now);
    void applyDeclaration(const Fleet::Declaration &declaration);
    /** A caller brought a search. */
    void recordSearch();
    /** To be called after each `span` of time. */
    void advance(const OwnershipView &view, Core::Duration span, Core::Instant now);

    [[nodiscard]] const CellMap &cells() const;

    /** This gateway's part of a service's slack of repeats; `zones` have or had backend servers of it. */
    [[nodiscard]] double slackShareOf(const Core::ServiceName &service, const std::set<std::string> &zones, Core::Instant now) const;

    /** This gateway's part of `total` requests a second that a cold backend server of a service in a zone bears. */
    [[nodiscard]] int warmupShareOf(const Core::ServiceName &service, const std::string &zone, int total, Core::Instant now) const;

private:
    [[nodiscard]] std::set<CellKey> findOwnCells() const;

    CellOwnershipOptions options;
    std::string ownZone;
    CellMap map;
    SlackShares shares;
    SmoothedRate searchRate;
    std::set<CellKey> ownCells;
    // How many shards the largest search has that asks a service. What is no shard any more stays one here, since searches of the declaration
    // before may still ask it.
    std::unordered_map<Core::ServiceName, std::size_t> shardsInSearch;
    // As of the last advance().
    OwnershipView view;
    // When the gateways last changed.
    Core::Instant gatewaysSince;
    // The position in the changes of gateways that the map is of.
    std::int64_t mapPosition{-1};
};

}
