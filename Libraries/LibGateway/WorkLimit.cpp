/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/WorkLimit.h>

#include <algorithm>
#include <cmath>

namespace Gateway
{

WorkLimit::WorkLimit(WorkLimitOptions options) : options(options)
{
}

double WorkLimit::cutShare(Core::Instant now) const
{
    const double seconds = Core::toFractionalMilliseconds(now - this->shareTime) / 1000.0;
    return this->share * std::exp2(-seconds / this->options.halfLifeSeconds);
}

Core::Duration WorkLimit::timeFor(Core::Duration timeLeft, Core::Duration untilTarget, Core::Duration typicalLatency, Core::Instant now) const
{
    // One that is sent too late for the target is sent because a late answer is wanted.
    const bool isForTarget = typicalLatency < untilTarget;
    if (!isForTarget || this->cutShare(now) > this->options.mostCut) {
        return timeLeft;
    }
    return std::min(timeLeft, untilTarget + this->options.grace);
}

void WorkLimit::note(double cut, Core::Instant now)
{
    this->share = (1.0 - this->options.weight) * this->cutShare(now) + this->options.weight * cut;
    this->shareTime = now;
}

void WorkLimit::recordAnswered(Core::Instant now)
{
    this->note(0.0, now);
}

void WorkLimit::recordTimeout(Core::Instant now)
{
    this->note(1.0, now);
}

}
