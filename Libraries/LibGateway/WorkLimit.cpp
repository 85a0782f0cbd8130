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

double WorkLimit::timeoutShare(Core::Instant now) const
{
    const double seconds = Core::toFractionalMilliseconds(now - this->timeoutShareTime) / 1000.0;
    return this->smoothedTimeoutShare * std::exp2(-seconds / this->options.halfLifeSeconds);
}

Core::Duration WorkLimit::timeFor(Core::Duration timeLeft, Core::Duration timeLeftToTarget, Core::Duration typicalLatency, Core::Instant now) const
{
    // A send that is expected to miss the target is made because a late answer is wanted, so it gets no limit.
    const bool isForTarget = typicalLatency < timeLeftToTarget;
    if (!isForTarget || this->timeoutShare(now) > this->options.maximumTimeoutShare) {
        return timeLeft;
    }
    return std::min(timeLeft, timeLeftToTarget + this->options.grace);
}

void WorkLimit::update(double timedOut, Core::Instant now)
{
    this->smoothedTimeoutShare = (1.0 - this->options.weight) * this->timeoutShare(now) + this->options.weight * timedOut;
    this->timeoutShareTime = now;
}

void WorkLimit::recordAnswered(Core::Instant now)
{
    this->update(0.0, now);
}

void WorkLimit::recordTimeout(Core::Instant now)
{
    this->update(1.0, now);
}

}
