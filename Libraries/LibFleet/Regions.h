/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Which availability zones lie in the same region, and which regions a request
// may be served in. Pure.

#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

namespace Fleet
{

/** Region of each availability zone, by name. */
using RegionOfZone = std::map<std::string, std::string>;

/** Whether two availability zones lie in the same region. A zone that is not in the table shares its region with itself alone. */
[[nodiscard]] bool inSameRegion(const RegionOfZone &regions, const std::string &left, const std::string &right);

/** The regions in which a request may be served. */
class AllowedRegions
{
public:
    /** Any region, also an unknown one. */
    AllowedRegions() = default;

    /** These and no others; with none of them, nowhere. */
    [[nodiscard]] static AllowedRegions only(std::set<std::string> names);

    [[nodiscard]] bool isAnywhere() const;

    /** The name of an unknown region is empty, and is allowed only where any is. */
    [[nodiscard]] bool allows(const std::string &region) const;

    /** What is allowed by both. */
    [[nodiscard]] AllowedRegions intersectedWith(const AllowedRegions &other) const;

    /** The names, where not any region is allowed. */
    [[nodiscard]] const std::optional<std::set<std::string>> &names() const;

private:
    // Invariant: nothing where any region is allowed. An empty set allows none.
    std::optional<std::set<std::string>> regions;
};

}
