/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/Scheduling/ServicePace.h>

#include <cmath>
#include <numbers>

namespace Gateway
{

// Half-life of the measurement. Servers pause for up to 250 ms; over one second such a pause changes the rate by less than a quarter.
static constexpr double HalfLifeSeconds = 1.0;
// Decayed time with waiting requests, in seconds, from which on the rate is known: nearly as long as a server pauses, and several times an answer takes.
static constexpr double MinimumWaitingSeconds = 0.2;

double ServicePace::decayUntil(Core::Instant now) const
{
    return std::exp2(-Core::toFractionalMilliseconds(now - this->updatedAt) / 1000.0 / HalfLifeSeconds);
}

double ServicePace::waitingSecondsAt(Core::Instant now) const
{
    const double decay = this->decayUntil(now);
    // The integral of the decay over the time since the last update.
    const double added = this->isWaiting ? (1.0 - decay) * HalfLifeSeconds / std::numbers::ln2 : 0.0;
    return this->waitingSeconds * decay + added;
}

void ServicePace::advance(Core::Instant now)
{
    this->waitingSeconds = this->waitingSecondsAt(now);
    this->sent *= this->decayUntil(now);
    this->updatedAt = now;
}

void ServicePace::recordWaiting(bool waits, Core::Instant now)
{
    if (waits == this->isWaiting) {
        return;
    }
    this->advance(now);
    this->isWaiting = waits;
    this->progressAt = now;
}

void ServicePace::recordSent(Core::Instant now)
{
    this->advance(now);
    this->sent += 1.0;
    this->progressAt = now;
}

std::optional<double> ServicePace::perSecond(Core::Instant now) const
{
    const double seconds = this->waitingSecondsAt(now);
    if (seconds < MinimumWaitingSeconds) {
        return std::nullopt;
    }
    return (this->sent * this->decayUntil(now) + 1.0) / seconds;
}

Core::Duration ServicePace::unsentFor(Core::Instant now) const
{
    return this->isWaiting ? now - this->progressAt : Core::Duration(0);
}

}
