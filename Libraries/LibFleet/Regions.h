/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Which availability zones lie in the same region. Pure.

#pragma once

#include <map>
#include <string>

namespace Fleet
{

/** Region of each availability zone, by name. */
using RegionOfZone = std::map<std::string, std::string>;

/** Whether two availability zones lie in the same region. A zone that is not in the table shares its region with itself alone. */
[[nodiscard]] bool inSameRegion(const RegionOfZone &regions, const std::string &left, const std::string &right);

}
