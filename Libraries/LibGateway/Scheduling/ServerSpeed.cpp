/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/Scheduling/ServerSpeed.h>

#include <algorithm>
#include <cmath>

namespace Gateway
{

// The lasting speed is the mean over about this many answers: enough that the random durations of requests hardly change it.
static constexpr int SpeedSamples = 30;
// Number of answers at usual speed that are assumed of a server, so that the first few do not decide. Few enough that one very fast answer outweighs the noise
// of the choice (0.15): of servers that are not known otherwise, the one to which connections are open is used again.
static constexpr int PriorSamples = 5;
// The lasting speed is kept for this time after the latest answer that it was learned from. Then the server is tried again as any other.
static constexpr Core::Duration SpeedLifetime = Core::seconds(60);
// Bounds of one answer in the lasting speed.
static constexpr double SampleFloor = 0.1;
static constexpr double SampleCeiling = 2.5;
// Least lasting speed. A server that answers at once, whatever it is asked, must not get all requests for that.
static constexpr double SpeedFloor = 0.5;
// An answer is late if it also takes this much longer than usual. With less no caller's target is at risk.
static constexpr Core::Duration LateExcess = Core::milliseconds(8);
// Two late answers confirm each other if they are less apart: long enough for one request a second, less than half of the time between two pauses.
static constexpr Core::Duration ConfirmationPeriod = Core::seconds(3);
// A slowdown fades by half in this time, and in more if the late answers that show it are further apart: a gateway with one request a second would otherwise
// have forgotten it before its next request. It fades linearly, which needs no exponent and ends: a server that has recovered is used again within about a
// second.
static constexpr Core::Duration SlowdownHalfLife = Core::milliseconds(600);
static constexpr Core::Duration MaximumHalfLife = Core::milliseconds(1500);
// Share of a slowdown that remains after an answer in time: the duration of one request is random, so a single fast one does not end it.
static constexpr double InTimeShare = 0.3;
// A slowdown by less is none.
static constexpr double NoSlowdown = 1.2;
// A server that only answers late for longer than this, which no wave lasts, has a lower lasting speed.
static constexpr Core::Duration LastingAfter = Core::seconds(20);
// Minimum change of a lasting speed that is logged, and answers that it must rest on.
static constexpr double LoggedSpeedChange = 0.2;
static constexpr int LoggedSpeedSamples = 20;

// Returns the factor after linear fading; `lifetime` is the time until nothing of it is left.
static double faded(double factor, Core::Duration age, Core::Duration lifetime)
{
    if (age >= lifetime) {
        return 1.0;
    }
    const double left = 1.0 - static_cast<double>(std::max(age, Core::Duration(0)).count()) / static_cast<double>(lifetime.count());
    return 1.0 + (factor - 1.0) * left;
}

double ServerSpeed::lasting(Core::Instant now) const
{
    return now - this->speedAt < SpeedLifetime ? this->speed : 1.0;
}

Core::Duration ServerSpeed::slowdownLifetime() const
{
    return 2 * this->halfLife;
}

double ServerSpeed::ownSlowdown(Core::Instant now) const
{
    return this->slowFactor == 1.0 ? 1.0 : faded(this->slowFactor, now - this->lateAt, this->slowdownLifetime());
}

// V3.
bool ServerSpeed::hasReport(Core::Instant now) const
{
    return this->reportedFactor > 1.0 && this->reportedAt > this->latest && now - this->reportedAt < ReportedSlowdownLifetime;
}

double ServerSpeed::reportedSlowdown(Core::Instant now) const
{
    return this->hasReport(now) ? faded(this->reportedFactor, now - this->reportedAt, 2 * SlowdownHalfLife) : 1.0;
}

double ServerSpeed::slowdown(Core::Instant now, SpeedBasis basis) const
{
    if (basis == SpeedBasis::Latest) {
        return now - this->lateAt < ConfirmationPeriod ? this->slowFactor : 1.0;
    }
    const double own = this->ownSlowdown(now);
    return basis == SpeedBasis::Own ? own : std::max(own, this->reportedSlowdown(now));
}

Core::Instant ServerSpeed::reportableUntil() const
{
    return this->slowFactor == 1.0 ? Core::Instant() : this->lateAt + std::min(this->slowdownLifetime(), ReportedSlowdownLifetime);
}

bool ServerSpeed::isLate(double ratio, const SpeedSample &sample, Core::Instant now) const
{
    const double usual = this->lasting(now);
    const double excess = (ratio - usual) * static_cast<double>(sample.typical.count());
    return ratio >= LateFactor * usual && excess >= static_cast<double>(LateExcess.count());
}

bool ServerSpeed::record(const SpeedSample &sample, Core::Instant now)
{
    // A queue explains a late answer, but no report of a queue makes a server look faster than it has been: such reports may be false.
    const double withoutQueue = sample.ratio / (1.0 + sample.queueing);
    const double ratio = std::max(withoutQueue, std::min(sample.ratio, this->lasting(now)));
    const bool isLateAnswer = this->isLate(ratio, sample, now);
    if (isLateAnswer) {
        this->recordLate(ratio, sample, now);
    } else if (sample.sentAt >= this->lateAt) {
        this->recordInTime(ratio, now);
    }
    this->latest = now;
    return !isLateAnswer;
}

// V1. If the request was sent before the first late answer arrived, only the time since then can show a slowdown: what was before may have been a pause.
void ServerSpeed::recordLate(double ratio, const SpeedSample &sample, Core::Instant now)
{
    const double before = this->ownSlowdown(now);
    const bool isFirst = before == 1.0 && (this->lateAnswers == 0 || now - this->lateAt >= ConfirmationPeriod);
    const double sinceLate = static_cast<double>((now - this->lateAt).count()) / static_cast<double>(sample.typical.count()) / (1.0 + sample.queueing);
    const bool isSamePause = !isFirst && sample.sentAt < this->lateAt && !this->isLate(sinceLate, sample, now);
    if (isSamePause) {
        return;
    }
    const double factor = std::min(MaximumSlowdown, ratio / this->lasting(now));
    if (before > 1.0) {
        this->slowFactor = (before + factor) / 2.0;
    } else if (!isFirst || this->hasReport(now)) {
        this->slowFactor = isFirst ? factor : std::min(this->suspected, factor);
    } else {
        this->slowFactor = 1.0;
    }
    this->halfLife = isFirst ? SlowdownHalfLife : std::min(SlowdownHalfLife + (now - this->lateAt), MaximumHalfLife);
    this->lateSince = isFirst ? now : this->lateSince;
    this->lateAnswers = isFirst ? 1 : this->lateAnswers + 1;
    this->suspected = factor;
    this->lateAt = now;
    if (now - this->lateSince >= LastingAfter) {
        this->learnLasting(ratio, now);
    }
}

void ServerSpeed::recordInTime(double ratio, Core::Instant now)
{
    this->lateAnswers = 0;
    const double slow = this->ownSlowdown(now);
    if (slow == 1.0) {
        this->slowFactor = 1.0;
        this->learnLasting(ratio, now);
        return;
    }
    const double left = 1.0 + (this->slowFactor - 1.0) * InTimeShare;
    this->slowFactor = left < NoSlowdown ? 1.0 : left;
}

void ServerSpeed::learnLasting(double ratio, Core::Instant now)
{
    if (now - this->speedAt >= SpeedLifetime) {
        this->speed = 1.0;
        this->speedSamples = 0;
    }
    this->speedSamples = std::min(this->speedSamples + 1, SpeedSamples);
    const double change = (std::clamp(ratio, SampleFloor, SampleCeiling) - this->speed) / (this->speedSamples + PriorSamples);
    this->speed = std::max(SpeedFloor, this->speed + change);
    this->speedAt = now;
}

bool ServerSpeed::receive(double factor, Core::Instant observedAt, Core::Instant now)
{
    const bool isValid = factor > 1.0 && now - observedAt < ReportedSlowdownLifetime;
    if (!isValid || observedAt <= this->reportedAt) {
        return false;
    }
    this->reportedFactor = std::min(factor, MaximumSlowdown);
    this->reportedAt = std::min(observedAt, now);
    return true;
}

std::optional<SpeedChange> ServerSpeed::takeChange(Core::Instant now)
{
    const double slow = this->slowdown(now);
    const bool isSlow = slow >= (this->loggedSlow ? NoSlowdown : LateFactor);
    if (isSlow != this->loggedSlow) {
        this->loggedSlow = isSlow;
        return SpeedChange{.kind = SpeedChangeKind::Slowdown, .factor = slow, .samples = this->lateAnswers, .age = now - this->lateSince};
    }
    const bool isLearned = this->speedSamples >= LoggedSpeedSamples;
    if (isLearned && std::abs(this->speed - this->loggedSpeed) >= LoggedSpeedChange) {
        this->loggedSpeed = this->speed;
        return SpeedChange{.kind = SpeedChangeKind::Lasting, .factor = this->speed, .samples = this->speedSamples};
    }
    return std::nullopt;
}

}
