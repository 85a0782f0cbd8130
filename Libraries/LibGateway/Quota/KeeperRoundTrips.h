/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Typical round trips to quota keepers. Load pattern: a workspace is near its quota and
// some of its keepers are in other regions, where a query takes a third of an urgent
// caller's target. Whether a query is still worth its time depends on the keeper. Pure.

#pragma once

#include <LibCore/Time.h>

#include <string>
#include <unordered_map>

namespace Gateway
{

/** Remembers a smoothed round trip for each keeper that replied within the last minute. */
class KeeperRoundTrips
{
public:
    void add(const std::string &address, Core::Duration roundTrip, Core::Instant now);

    /** Returns the expected round trip to a keeper, which is assumed while no reply of it has been measured. */
    [[nodiscard]] Core::Duration expected(const std::string &address, bool isInOwnRegion) const;

    /** Removes keepers that have not replied for a minute. */
    void forgetOld(Core::Instant now);

private:
    struct Row {
        Core::Duration roundTrip{0};
        Core::Instant measuredAt;
    };

    std::unordered_map<std::string, Row> rows;
};

}
