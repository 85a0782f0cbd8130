/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/BackendHealth.h>

#include <algorithm>
#include <cmath>

namespace Gateway
{

// Weight of the newest latency in the smoothed slowness; three samples decide.
static constexpr double SlownessWeight = 0.3;
// What is known of slowness fades to half in this time, so that one that recovered is asked again.
static constexpr double SlownessHalfLifeSeconds = 2.0;
// One latency is never taken for less or more than these many times the usual.
static constexpr double SlownessFloor = 0.5;
static constexpr double SlownessCeiling = 12.0;
// Weight of the newest outcome in the smoothed share of refusals and failures, and how fast that share fades.
static constexpr double TroubleWeight = 0.25;
static constexpr double TroubleHalfLifeSeconds = 2.0;
// A load report is news for this long; requests take tens of milliseconds.
static constexpr Core::Duration LoadReportLife = Core::milliseconds(250);
// For how long one that fails is avoided at first and at most: shorter than the faults that pass by themselves, longer than a burst of requests.
static constexpr Core::Duration FirstAvoidance = Core::milliseconds(500);
static constexpr Core::Duration LongestAvoidance = Core::seconds(4);
static constexpr int MostDoublings = 3;

// What is left of a measure after a time.
static double faded(double value, Core::Duration age, double halfLifeSeconds)
{
    return value * std::exp2(-Core::toFractionalMilliseconds(age) / 1000.0 / halfLifeSeconds);
}

double BackendHealth::slownessAt(Core::Instant now) const
{
    return 1.0 + faded(this->slowness - 1.0, now - this->slownessTime, SlownessHalfLifeSeconds);
}

// A machine's own word for its slowdown goes before latencies: it takes one reply where those take three or more, and a pause of the server or a queue is
// no slowness in it. Buys 0.014 +- 0.002 of the worth where servers tell it (six pairs of days, all better); the greater of the two is no better than
// that (0.009 +- 0.006). It fades as slowness does, so that one that recovered is asked again.
double BackendHealth::paceAt(Core::Instant now) const
{
    if (!this->slowdown.has_value()) {
        return this->slownessAt(now);
    }
    return 1.0 + faded(this->slowdown.value() - 1.0, now - this->paceTime, SlownessHalfLifeSeconds);
}

double BackendHealth::failureRate(Core::Instant now) const
{
    return faded(this->trouble, now - this->troubleTime, TroubleHalfLifeSeconds);
}

void BackendHealth::noteOutcome(bool isTrouble, Core::Instant now)
{
    this->trouble = (1.0 - TroubleWeight) * this->failureRate(now) + (isTrouble ? TroubleWeight : 0.0);
    this->troubleTime = now;
}

void BackendHealth::recordAnswer(double ratio, Core::Instant now)
{
    this->failures = 0;
    this->avoidEnd = now;
    this->noteOutcome(false, now);
    this->noteAnswerElsewhere(ratio, now);
}

void BackendHealth::noteAnswerElsewhere(double ratio, Core::Instant now)
{
    this->slowness = (1.0 - SlownessWeight) * this->slownessAt(now) + SlownessWeight * std::clamp(ratio, SlownessFloor, SlownessCeiling);
    this->slownessTime = now;
}

void BackendHealth::recordRefusal(Core::Instant now)
{
    this->noteOutcome(true, now);
}

bool BackendHealth::recordFailure(int failuresUntilAvoided, Core::Instant now)
{
    this->noteOutcome(true, now);
    ++this->failures;
    return this->failures >= failuresUntilAvoided && this->avoid(this->failures - failuresUntilAvoided, now);
}

bool BackendHealth::recordSilence(Core::Instant now)
{
    this->noteOutcome(true, now);
    ++this->failures;
    return this->avoid(this->failures - 1, now);
}

bool BackendHealth::avoid(int doublings, Core::Instant now)
{
    const bool isNew = !this->isAvoided(now);
    const auto duration = std::min(FirstAvoidance * (1 << std::clamp(doublings, 0, MostDoublings)), LongestAvoidance);
    this->avoidEnd = std::max(this->avoidEnd, now + duration);
    return isNew;
}

void BackendHealth::recordReply(const std::optional<LoadReport> &report, Core::Instant now)
{
    this->replyTime = now;
    if (report.has_value()) {
        this->load = report.value();
        this->loadTime = now;
        this->slowdown = report->slowdown;
        this->paceTime = now;
    }
}

double BackendHealth::expectedFactor(std::size_t own, int slots, Core::Instant now) const
{
    const double age = Core::toFractionalMilliseconds(now - this->loadTime);
    const double freshness = std::max(0.0, 1.0 - age / Core::toFractionalMilliseconds(LoadReportLife));
    const double reported = freshness * (this->load.running + this->load.waiting);
    const double queueing = std::max(0.0, std::max(static_cast<double>(own), reported) + 1.0 - slots) / slots;
    return this->paceAt(now) * (1.0 + queueing);
}

bool BackendHealth::isAvoided(Core::Instant now) const
{
    return now < this->avoidEnd;
}

Core::Instant BackendHealth::avoidedUntil() const
{
    return this->avoidEnd;
}

Core::Instant BackendHealth::lastReply() const
{
    return this->replyTime;
}

int BackendHealth::consecutiveFailures() const
{
    return this->failures;
}

}
