/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/BackendHealth.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace Gateway
{

// Weight of the newest sample in the smoothed latency of parts; three samples determine it.
static constexpr double SlownessWeight = 0.3;
// The latency of parts and a reported slowdown decay to half their deviation in this time, so that a backend server that recovered gets requests again.
static constexpr double SlownessHalfLifeSeconds = 2.0;
// Bounds of one sample, in multiples of the typical latency.
static constexpr double SlownessFloor = 0.5;
static constexpr double SlownessCeiling = 12.0;
// Weight of the newest outcome in the smoothed failure rate, and the half-life of that rate.
static constexpr double FailureWeight = 0.25;
static constexpr double FailureHalfLifeSeconds = 2.0;
// A load report counts for less the older it is, and not at all after this time; requests take tens of milliseconds.
static constexpr Core::Duration LoadReportValidity = Core::milliseconds(250);
// How long a failing backend server is avoided at first and at most: shorter than transient faults last, longer than a burst of requests.
static constexpr Core::Duration FirstAvoidance = Core::milliseconds(500);
static constexpr Core::Duration MaximumAvoidance = Core::seconds(4);
static constexpr int MaximumDoublings = 3;

// Returns what remains of `value` after `age` of exponential decay.
static double decayed(double value, Core::Duration age, double halfLifeSeconds)
{
    return value * std::exp2(-Core::toFractionalMilliseconds(age) / 1000.0 / halfLifeSeconds);
}

double BackendHealth::partSlownessAt(Core::Instant now) const
{
    return this->partSlowness == 1.0 ? 1.0 : 1.0 + decayed(this->partSlowness - 1.0, now - this->partSlownessTime, SlownessHalfLifeSeconds);
}

// A reported slowdown takes precedence over latencies: one reply is enough to know it, where latencies need two or more samples, and it is not affected by a
// pause of the server or by queueing. Where servers report it, the value of the answers to their callers rises by 0.014 +- 0.002; the maximum of slowdown and
// slowness is no better than that (0.009 +- 0.006). It decays, so that a backend server that recovered gets requests again.
double BackendHealth::currentSlowdown(Core::Instant now, SpeedBasis basis) const
{
    if (!this->slowdown.has_value()) {
        return this->speed.lasting(now) * std::max(this->speed.slowdown(now, basis), this->partSlownessAt(now));
    }
    return 1.0 + decayed(this->slowdown.value() - 1.0, now - this->slowdownTime, SlownessHalfLifeSeconds);
}

double BackendHealth::failureRate(Core::Instant now) const
{
    return decayed(this->smoothedFailureRate, now - this->failureRateTime, FailureHalfLifeSeconds);
}

void BackendHealth::recordOutcome(bool isFailure, Core::Instant now)
{
    this->smoothedFailureRate = (1.0 - FailureWeight) * this->failureRate(now) + (isFailure ? FailureWeight : 0.0);
    this->failureRateTime = now;
}

void BackendHealth::recordAnswer(const SpeedSample &sample, Core::Instant now)
{
    this->failures = 0;
    this->avoidanceEnd = now;
    this->recordOutcome(false, now);
    if (this->speed.record(sample, now)) {
        this->partSlowness = 1.0;
    }
}

void BackendHealth::recordAnswer(double ratio, Core::Instant now)
{
    this->recordAnswer(SpeedSample{.ratio = ratio, .sentAt = now}, now);
}

void BackendHealth::recordRemoteAnswer(double ratio, Core::Instant now)
{
    this->partSlowness = (1.0 - SlownessWeight) * this->partSlownessAt(now) + SlownessWeight * std::clamp(ratio, SlownessFloor, SlownessCeiling);
    this->partSlownessTime = now;
}

double BackendHealth::observedFactor(Core::Instant now) const
{
    return this->slowdown.has_value() ? 1.0 : this->speed.lasting(now) * this->speed.slowdown(now);
}

bool BackendHealth::wasSlow(Core::Instant now) const
{
    return !this->slowdown.has_value() && this->speed.slowdown(now, SpeedBasis::Latest) > 1.0;
}

bool BackendHealth::isSlow(Core::Instant now) const
{
    return (this->slowdown.has_value() ? this->currentSlowdown(now, SpeedBasis::All) : this->speed.slowdown(now)) >= LateFactor;
}

std::optional<SpeedChange> BackendHealth::takeSpeedChange(Core::Instant now)
{
    return this->slowdown.has_value() ? std::nullopt : this->speed.takeChange(now);
}

// A report of a slow server that refuses nothing is no news for the acceptance, unless refusals are known.
bool BackendHealth::receiveReport(EvidenceReport report, Core::Instant now)
{
    const bool isSlowdownNews = this->speed.receive(std::exchange(report.slowness, 1.0), report.observedAt, now);
    const bool isAboutRefusals = report.outcomes.refused > 0.0 || this->acceptance.knowsRefusals();
    return (isAboutRefusals && this->acceptance.receive(std::move(report), now)) || isSlowdownNews;
}

std::optional<EvidenceReport> BackendHealth::reportFor(EvidenceScope scope, Core::Instant now) const
{
    auto report = this->acceptance.reportFor(scope, now);
    if (this->slowdown.has_value() || now >= this->speed.reportableUntil()) {
        return report;
    }
    if (!report.has_value()) {
        report = this->acceptance.observations();
    }
    if (report->source.empty()) {
        report->slowness = this->speed.slowdown(report->observedAt, SpeedBasis::Own);
    }
    return report;
}

Core::Instant BackendHealth::reportableUntil() const
{
    const auto slowUntil = this->slowdown.has_value() ? Core::Instant() : this->speed.reportableUntil();
    return std::max(this->acceptance.reportableUntil(), slowUntil);
}

bool BackendHealth::hasReport(Core::Instant now) const
{
    return this->acceptance.hasReport(now) || (!this->slowdown.has_value() && this->speed.hasReport(now));
}

void BackendHealth::recordRefusal(Core::Instant now)
{
    this->acceptance.record(false, now);
}

void BackendHealth::recordAccepted(Core::Instant now)
{
    this->acceptance.record(true, now);
}

double BackendHealth::refusedShare(double expected, Core::Instant now, EvidenceScope scope) const
{
    return this->acceptance.refusedShare(expected, now, scope);
}

ServerAcceptance &BackendHealth::sharedAcceptance()
{
    return this->acceptance;
}

const ServerAcceptance &BackendHealth::sharedAcceptance() const
{
    return this->acceptance;
}

std::optional<double> BackendHealth::observedAcceptance(Core::Instant now) const
{
    return this->acceptance.observedShare(now);
}

double BackendHealth::probeShare(Core::Instant now) const
{
    return this->acceptance.probeShare(now);
}

std::optional<AcceptanceChange> BackendHealth::takeAcceptanceChange(Core::Instant now)
{
    return this->acceptance.takeChange(now);
}

bool BackendHealth::recordFailure(int failuresUntilAvoided, Core::Instant now)
{
    this->recordOutcome(true, now);
    ++this->failures;
    return this->failures >= failuresUntilAvoided && this->avoid(this->failures - failuresUntilAvoided, now);
}

bool BackendHealth::recordUnresponsive(Core::Instant now)
{
    this->recordOutcome(true, now);
    ++this->failures;
    return this->avoid(this->failures - 1, now);
}

bool BackendHealth::avoid(int doublings, Core::Instant now)
{
    const bool isNew = !this->isAvoided(now);
    const auto duration = std::min(FirstAvoidance * (1 << std::clamp(doublings, 0, MaximumDoublings)), MaximumAvoidance);
    this->avoidanceEnd = std::max(this->avoidanceEnd, now + duration);
    return isNew;
}

void BackendHealth::recordReply(const std::optional<LoadReport> &report, Core::Instant now)
{
    this->replyTime = now;
    if (report.has_value()) {
        this->load = report.value();
        this->loadTime = now;
        this->slowdown = report->slowdown;
        this->slowdownTime = now;
    }
}

double BackendHealth::queueing(std::size_t own, int slots, Core::Instant now) const
{
    const double age = Core::toFractionalMilliseconds(now - this->loadTime);
    const double freshness = std::max(0.0, 1.0 - age / Core::toFractionalMilliseconds(LoadReportValidity));
    const double reported = freshness * (this->load.running + this->load.waiting);
    return std::max(0.0, std::max(static_cast<double>(own), reported) + 1.0 - slots) / slots;
}

double BackendHealth::expectedFactor(std::size_t own, int slots, Core::Instant now, SpeedBasis basis) const
{
    return this->currentSlowdown(now, basis) * (1.0 + this->queueing(own, slots, now));
}

bool BackendHealth::isAvoided(Core::Instant now) const
{
    return now < this->avoidanceEnd;
}

Core::Instant BackendHealth::avoidedUntil() const
{
    return this->avoidanceEnd;
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
