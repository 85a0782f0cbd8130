/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Keeps a gateway's map of cells and its shares of the retry slack up to date with the
// known gateways, the declaration and the search rate.

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

/** Whether this gateway may own cells, and how many gateways there are. */
struct OwnershipView {
    int gateways{1};
    /** Number of gateways that share the slack of the retry budgets, at least `gateways`. */
    int sharingSlack{1};
    /** False while this gateway drains or receives no updates from any coordinator, since another gateway may own its cells by then. */
    bool mayOwn{false};
};

/** Cells and budget shares of one gateway. */
class CellOwnership
{
public:
    /** `ownAddress` is the address under which the other gateways know this one. */
    CellOwnership(CellOwnershipOptions options, std::string ownZone, const Fleet::RegionOfZone &regions, const std::string &ownAddress, Core::Instant now);

    /** Applies the ready gateways to the map if any has joined or left. */
    void updateGateways(const Fleet::BackendRegistry &gateways, Core::Instant now);
    void applyDeclaration(const Fleet::Declaration &declaration);
    /** Counts a search that a caller sent to this gateway. */
    void recordSearch();
    /** Updates the search rate and the owned cells; call it after each `span` of time. */
    void advance(const OwnershipView &view, Core::Duration span, Core::Instant now);

    [[nodiscard]] const CellMap &cells() const;

    /** Returns this gateway's share of the slack in a service's retry budget. `zones` are those that have or had backend servers of the service. */
    [[nodiscard]] double slackShareOf(const Core::ServiceName &service, const std::set<std::string> &zones, Core::Instant now) const;

    /** Returns this gateway's share of the `total` requests per second that a backend server of a service in a zone may get while it is warming up. */
    [[nodiscard]] int warmupShareOf(const Core::ServiceName &service, const std::string &zone, int total, Core::Instant now) const;

private:
    [[nodiscard]] std::set<CellKey> findOwnCells() const;

    CellOwnershipOptions options;
    std::string ownZone;
    CellMap map;
    SlackShares shares;
    SmoothedRate searchRate;
    std::set<CellKey> ownCells;
    // Shards of the largest search that includes a service. Services that are no longer shards stay here, since searches that began under the previous
    // declaration may still send to them.
    std::unordered_map<Core::ServiceName, std::size_t> shardsInSearch;
    // View passed to the last advance().
    OwnershipView view;
    // When the set of ready gateways last changed.
    Core::Instant gatewaysSince;
    // Position in the changes of the gateway registry that the map was built from.
    std::int64_t mapPosition{-1};
};

}
