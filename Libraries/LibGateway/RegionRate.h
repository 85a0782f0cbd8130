/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// The search rate of an average gateway of the region, by which cells get their owners.
//
// Load pattern: demand swings between zones by half within 17 s, and callers are not spread
// evenly. A gateway that counts only its own searches takes other gateways for owners than
// its neighbour does, so that parts go to more gateways, over connections that are opened
// for them. Gateways therefore tell each other their estimates with parts and answers, and
// each moves its own towards them, which makes all estimates converge to the mean. The
// rate that is used moves in steps, so that nearly equal estimates give equal owners, and
// seldom, so that shards move seldom. Pure.

#pragma once

#include <LibCore/Time.h>

#include <optional>
#include <string>
#include <string_view>

namespace Gateway
{

/** Writes a rate in searches per second, for a header. */
[[nodiscard]] std::string formatRate(double perSecond);

/** Returns nothing for a text that is no rate. */
[[nodiscard]] std::optional<double> parseRate(std::string_view text);

/** Estimates the mean search rate of the region's gateways. */
class RegionRate
{
public:
    /** Moves the estimate towards this gateway's own rate. To be called about once a second. */
    void update(double ownRate, Core::Instant now);

    /** Moves the estimate towards that of another gateway of the region. */
    void receive(double otherEstimate, Core::Instant now);

    /** Returns the mean rate as far as this gateway knows it; it is what other gateways are told. */
    [[nodiscard]] double estimate() const;

    /** Returns the rate by which owners are computed. It changes by steps, and seldom. */
    [[nodiscard]] double usedRate() const;

private:
    // Invariant: not negative.
    double mean{0.0};
    // This gateway's own rate at the latest update.
    double own{0.0};
    std::optional<Core::Instant> heardAt;
    // Number of the step that is used; nothing while the estimate is negligible.
    std::optional<int> step;
    std::optional<Core::Instant> changedAt;
};

}
