/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/RegionRate.h>

#include <LibCore/Settings.h>

#include <algorithm>
#include <cmath>

namespace Gateway
{

// Part of the way to its own rate by which a gateway moves its estimate each second while it hears from others. Less than what it hears in a second, so that
// estimates agree.
static constexpr double OwnWeight = 0.04;
// Part of the way to the estimate of another gateway.
static constexpr double OtherWeight = 0.1;
// Factor between two steps. A cell has 3 to 10 owners where owners matter, so a step changes their number by about one.
static constexpr double StepFactor = 1.25;
// A step is left only when the estimate is beyond its middle by this part of a step: at 0.5 it would be left at the border to the next one.
static constexpr double Hysteresis = 0.8;
// Rates below this one give the least number of owners in any case, so the step does not fall any further.
static constexpr double NegligibleRate = 0.001;
// Least time from a change of the step until it rises. Too few owners make callers wait, so it is short.
static constexpr Core::Duration RisePeriod = Core::seconds(5);
// Least time from a change of the step until it falls. Longer than the period of 17 s in which demand swings, so that owners don't follow the swing.
static constexpr Core::Duration FallPeriod = Core::seconds(20);
// Without an estimate of another gateway for this long, a gateway goes by its own rate alone.
static constexpr Core::Duration HeardPeriod = Core::seconds(10);
// Largest factor between the own rate and an estimate that is received. Zones whose demand differs by more don't agree, and a false estimate, however often it
// is sent, moves the own one no further.
static constexpr double MaximumRatio = 2.5;
// One gateway on a core serves fewer searches.
static constexpr double MaximumRate = 10'000.0;
static constexpr double Milli = 1000.0;

std::string formatRate(double perSecond)
{
    return std::to_string(std::llround(perSecond * Milli));
}

std::optional<double> parseRate(std::string_view text)
{
    const auto rate = Core::parseInteger(text, 0, static_cast<std::int64_t>(MaximumRate * Milli));
    return rate.has_value() ? std::optional(static_cast<double>(rate.value()) / Milli) : std::nullopt;
}

void RegionRate::update(double ownRate, Core::Instant now)
{
    this->own = ownRate;
    const bool hasHeard = this->heardAt.has_value() && now - this->heardAt.value() < HeardPeriod;
    this->mean += (hasHeard ? OwnWeight : 1.0) * (ownRate - this->mean);
    const double position = std::log(std::max(NegligibleRate, this->mean)) / std::log(StepFactor);
    const bool rises = !this->step.has_value() || position > this->step.value();
    const bool isTooSoon = this->changedAt.has_value() && now - this->changedAt.value() < (rises ? RisePeriod : FallPeriod);
    const bool isLeft = !this->step.has_value() || std::abs(position - this->step.value()) > Hysteresis;
    if (!isTooSoon && isLeft && this->mean >= NegligibleRate) {
        this->step = static_cast<int>(std::lround(position));
        this->changedAt = now;
    }
}

void RegionRate::receive(double otherEstimate, Core::Instant now)
{
    this->heardAt = now;
    const double bounded = std::clamp(otherEstimate, this->own / MaximumRatio, this->own * MaximumRatio);
    this->mean += OtherWeight * (bounded - this->mean);
}

double RegionRate::estimate() const
{
    return this->mean;
}

double RegionRate::usedRate() const
{
    return this->step.has_value() ? std::pow(StepFactor, this->step.value()) : 0.0;
}

}
