/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibFleet/Regions.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace Fleet
{

bool inSameRegion(const RegionOfZone &regions, const std::string &left, const std::string &right)
{
    if (left == right) {
        return true;
    }
    const auto leftRegion = regions.find(left);
    const auto rightRegion = regions.find(right);
    return leftRegion != regions.end() && rightRegion != regions.end() && leftRegion->second == rightRegion->second;
}

AllowedRegions AllowedRegions::only(std::set<std::string> names)
{
    AllowedRegions allowed;
    allowed.regions = std::move(names);
    return allowed;
}

bool AllowedRegions::isAnywhere() const
{
    return !this->regions.has_value();
}

bool AllowedRegions::allows(const std::string &region) const
{
    return !this->regions.has_value() || this->regions->contains(region);
}

AllowedRegions AllowedRegions::intersectedWith(const AllowedRegions &other) const
{
    if (!this->regions.has_value()) {
        return other;
    }
    if (!other.regions.has_value()) {
        return *this;
    }
    std::set<std::string> both;
    std::set_intersection(this->regions->begin(), this->regions->end(), other.regions->begin(), other.regions->end(), std::inserter(both, both.begin()));
    return only(std::move(both));
}

const std::optional<std::set<std::string>> &AllowedRegions::names() const
{
    return this->regions;
}

}
