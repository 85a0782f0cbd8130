/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Which part of a service's slack of repeats belongs to this gateway. The slack
// holds for the whole deployment, and each gateway spends its part without a word
// to the others. In equal parts for hundreds of gateways it is a repeat or two for
// each, spent by none of those that don't ask the service. So where the shards of a
// zone have owners (CellMap), half of it is theirs. Pure.

#pragma once

#include <LibCore/Time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace Gateway
{

/** A cell of this gateway's zone: the shards of a search that it is a cell of, and its number. */
using CellKey = std::pair<std::size_t, std::size_t>;

/** How the slack is divided. */
struct SlackShareOptions {
    /** The owners' part of it. The rest is for all gateways alike, since each may have to ask for itself what an owner failed to. */
    double ownersPart{0.5};
    /** Owners of a cell in one zone that share it: as many as are asked at a search in six seconds for each of 300 gateways. */
    std::size_t ownersPerZone{4};
    /** The window that the slack is counted in. */
    Core::Duration window{Core::seconds(10)};
};

/**
 * The parts of all gateways add up to at most 1 in any window, as long as they know the same gateways:
 * S1. A gateway has an owner's part only once it was an owner for a whole window, and loses it at once; what the owner before it spent is out
 *     of the window by then.
 * S2. A gateway has an equal part of the whole slack only once it has known for two windows that there are no owners.
 */
class SlackShares
{
public:
    SlackShares(SlackShareOptions options, Core::Instant start);

    /** How many gateways there are, and whether they are so many that cells have owners. */
    void setGateways(int all, bool cellsHaveOwners, Core::Instant now);

    /** The cells that this gateway owns, as far as it shares their slack. */
    void setOwnCells(const std::set<CellKey> &cells, Core::Instant now);

    /** The part for a shard of a cell that has or had backend servers in so many zones; `inOwnZone` when this one is among them. */
    [[nodiscard]] double shareOfShard(const CellKey &cell, std::size_t zones, bool inOwnZone, Core::Instant now) const;

    /** The part for a service that is no shard. */
    [[nodiscard]] double shareOfUnshardedService() const;

private:
    SlackShareOptions options;
    int gateways{1};
    // When there were last so many gateways that cells have owners; the start counts, since little is known then.
    Core::Instant lastOwned;
    // Since when this gateway owns a cell without a break.
    std::map<CellKey, Core::Instant> ownSince;
};

}
