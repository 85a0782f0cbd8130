/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// The regions of availability zones, and the regions in which a request may be
// served. Without side effects.

#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

namespace Fleet
{

/** Region of each availability zone, by name. */
using RegionOfZone = std::map<std::string, std::string>;

/** Whether two availability zones lie in the same region. A zone that is not in the table forms a region of its own. */
[[nodiscard]] bool inSameRegion(const RegionOfZone &regions, const std::string &left, const std::string &right);

/** The regions in which a request may be served. */
class AllowedRegions
{
public:
    /** Allows every region, unknown ones included. */
    AllowedRegions() = default;

    /** Allows the named regions only; an empty set allows none. */
    [[nodiscard]] static AllowedRegions only(std::set<std::string> names);

    /** Whether every region is allowed. */
    [[nodiscard]] bool isAnywhere() const;

    /** Whether a region is allowed. An unknown region has the empty name and is allowed only when every region is. */
    [[nodiscard]] bool allows(const std::string &region) const;

    /** The regions that both allow. */
    [[nodiscard]] AllowedRegions intersectedWith(const AllowedRegions &other) const;

    /** The names of the allowed regions; unset when every region is allowed. */
    [[nodiscard]] const std::optional<std::set<std::string>> &names() const;

    bool operator==(const AllowedRegions &) const = default;

private:
    // Invariant: unset when every region is allowed. An empty set allows none.
    std::optional<std::set<std::string>> regions;
};

}
