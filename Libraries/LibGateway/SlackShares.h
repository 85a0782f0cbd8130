/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Computes this gateway's share of a service's slack of repeats. The slack holds
// for the whole deployment, and each gateway consumes its share without asking
// the others. With hundreds of gateways an equal share is one or two repeats, and
// those of gateways that do not use the service stay unused. Where the shards of
// a zone have owners (CellMap), half of the slack is therefore reserved for them.
// Does no I/O.

#pragma once

#include <LibCore/Time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace Gateway
{

/** A cell of this gateway's zone: the number of shards in the searches that it divides, and the number of the cell. */
using CellKey = std::pair<std::size_t, std::size_t>;

/** How the slack is divided among gateways. */
struct SlackShareOptions {
    /**
     * Fraction of the slack for owners. The rest is divided equally among all gateways, since each of them may have to send to a shard itself when an
     * owner failed.
     */
    double ownersShare{0.5};
    /** Owners of a cell in one zone that share the slack: as many as are used for a search in six seconds by each of 300 gateways. */
    std::size_t ownersPerZone{4};
    /** Length of the sliding window in which the slack is counted, and the time for which a repeat that was lent may be sent. */
    Core::Duration window{Core::seconds(10)};
};

/**
 * The number of gateways includes silent ones, so gateways that are cut off from each other divide the slack by about the same number. As long as all know the
 * same set of gateways, their shares add up to at most 1 in any window. Two rules ensure this:
 * S1. A gateway gets an owner's share only after it has been an owner for a whole window, and loses it immediately when it is no longer an owner. By then the
 *     repeats of the owner before it have left the window.
 * S2. A gateway gets an equal share of the whole slack only after it has known for two windows that there are no owners.
 */
class SlackShares
{
public:
    SlackShares(SlackShareOptions options, Core::Instant start);

    /** Updates the number of gateways, and whether there are enough of them for cells to have owners. */
    void setGateways(int count, bool cellsHaveOwners, Core::Instant now);

    /** Updates the cells of which this gateway is one of the owners that share the slack. */
    void setOwnCells(const std::set<CellKey> &cells, Core::Instant now);

    /**
     * Returns the share for a shard of `cell`. `zones` is the number of zones in which the shard has or had backend servers; `inOwnZone` tells whether
     * this gateway's zone is one of them.
     */
    [[nodiscard]] double shareOfShard(const CellKey &cell, std::size_t zones, bool inOwnZone, Core::Instant now) const;

    /** Returns the share for a service that is not a shard. */
    [[nodiscard]] double shareOfUnshardedService() const;

private:
    SlackShareOptions options;
    int gateways{1};
    // When there were last enough gateways for cells to have owners. Initially the start time, since the number of gateways is not yet known then.
    Core::Instant cellsLastOwnedAt;
    // Since when this gateway has owned each cell without interruption.
    std::map<CellKey, Core::Instant> ownSince;
};

}
