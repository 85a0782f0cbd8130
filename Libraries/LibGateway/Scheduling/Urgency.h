/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// The urgency of requests, by which those that wait for capacity are ordered.

#pragma once

#include <compare>

namespace Gateway
{

/** Order in which requests that wait for capacity are served. The smallest value is most urgent; the workspace's priority is compared before the route's. */
struct Urgency {
    int workspace{0};
    int route{0};
    auto operator<=>(const Urgency &) const = default;
};

}
