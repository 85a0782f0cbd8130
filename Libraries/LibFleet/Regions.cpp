/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibFleet/Regions.h>

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

}
