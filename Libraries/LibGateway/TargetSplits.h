/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Divides the requests of each route among its services by their weights.
//
// Load pattern: many gateways each get a few requests a second for a route, while new
// declarations arrive several times a second. A gateway may see a single request under
// each of them, so the shares have to hold over the gateways together, and for any
// request after a change.

#pragma once

#include <LibFleet/Declaration.h>

#include <cstdint>
#include <functional>
#include <unordered_map>
#include <vector>

namespace Gateway
{

/** The splits of one gateway, by the name of the route. */
class TargetSplits
{
public:
    /** `randomNumber` returns 64 random bits; it must differ between gateways. */
    explicit TargetSplits(std::function<std::uint64_t()> randomNumber);

    /** Forgets the splits that differ from those of the declaration; the others continue. */
    void applyDeclaration(const Fleet::Declaration &declaration);

    /** Returns the service for the next request of a route without fan-out. */
    [[nodiscard]] Core::ServiceName choose(const Fleet::Route &route);

private:
    struct Target {
        Core::ServiceName service;
        /** Fraction of the requests. */
        double share{0.0};
        /** Requests that the service is behind its share. */
        double credit{0.0};
    };
    using Split = std::vector<Target>;

    [[nodiscard]] Split makeSplit(const Fleet::Route &route) const;
    /** Returns the target of the next request. */
    [[nodiscard]] static Target &advance(Split &split);

    std::function<std::uint64_t()> randomNumber;
    // Invariant: the split of a route has its targets and their shares, in their order.
    std::unordered_map<std::string, Split> splits;
};

}
