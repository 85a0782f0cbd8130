/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/Scheduling/LoopLoad.h>

#include <LibCore/Settings.h>

#include <algorithm>
#include <cmath>

namespace Gateway
{

// Time constant of the smoothing. Parts arrive at an owner a few times a second, so a shorter one would report single parts; with a longer one a burst would
// be over before others learn of it.
static constexpr Core::Duration SmoothingTime = Core::milliseconds(500);
// Samples count as no later than this, so that a gateway that was frozen for seconds is used again about two seconds afterwards.
static constexpr Core::Duration MaximumLate = Core::seconds(1);
// Largest lateness that is read from a report.
static constexpr Core::Duration MaximumReportedLate = Core::seconds(60);
static constexpr int AllPercent = 100;
// Lateness that leaves a gateway no spare capacity: with more than this an urgent search with a target of 80 to 120 ms is late whatever the loop does.
static constexpr double FullLateMilliseconds = 100.0;
// Loop time of a part with 20 shards on an eighth of a core: 150 us for the part and 60 us for each shard.
static constexpr Core::Duration PartTime = Core::milliseconds(11);
// Share of the time until the target that a part may wait for the serving gateway. The backend servers and the way need the rest.
static constexpr double MaximumDelayShare = 0.5;

// Least difference of pressures for which a part is declined. A smaller one saves less than the additional hop costs.
static constexpr double DeclineMargin = 0.15;

double LoopReport::pressure() const
{
    return static_cast<double>(this->busyPercent) / AllPercent + Core::toFractionalMilliseconds(this->late) / FullLateMilliseconds;
}

Core::Duration LoopReport::expectedDelay() const
{
    // The time in a queue grows with the inverse of the spare capacity, of which a hundredth is assumed at least.
    const auto sparePercent = std::max(1, AllPercent - this->busyPercent);
    return this->late + AllPercent * PartTime / sparePercent;
}

bool LoopReport::isTooBusyFor(Core::Duration timeLeft) const
{
    return Core::toFractionalMilliseconds(this->expectedDelay()) > MaximumDelayShare * Core::toFractionalMilliseconds(timeLeft);
}

std::string formatLoad(const LoopReport &report)
{
    return std::to_string(report.busyPercent) + "," + std::to_string(Core::toMilliseconds(report.late));
}

std::optional<LoopReport> parseLoad(std::string_view text)
{
    const auto fields = Core::splitList(text);
    if (fields.size() != 2) {
        return std::nullopt;
    }
    const auto busy = Core::parseInteger(fields[0], 0, AllPercent);
    const auto late = Core::parseInteger(fields[1], 0, Core::toMilliseconds(MaximumReportedLate));
    if (!busy.has_value() || !late.has_value()) {
        return std::nullopt;
    }
    return LoopReport{.busyPercent = static_cast<int>(busy.value()), .late = Core::milliseconds(late.value())};
}

bool shouldDecline(const LoopReport &own, const LoopReport &other, Core::Duration timeLeft)
{
    return own.isTooBusyFor(timeLeft) && !other.isTooBusyFor(timeLeft) && own.pressure() - other.pressure() > DeclineMargin;
}

LoopLoad::LoopLoad(Core::Instant now) : sampledAt(now)
{
}

void LoopLoad::sample(Core::Duration waited, Core::Instant now)
{
    const auto elapsed = now - this->sampledAt;
    if (elapsed <= Core::Duration(0)) {
        return;
    }
    const auto due = Core::Instant((this->sampledAt.sinceStart() / LoadSamplePeriod + 1) * LoadSamplePeriod);
    const auto late = std::clamp(now - due, Core::Duration(0), MaximumLate);
    const double waitedShare = Core::toFractionalMilliseconds(waited - this->waitedBefore) / Core::toFractionalMilliseconds(elapsed);
    const double retained = std::exp(-Core::toFractionalMilliseconds(elapsed) / Core::toFractionalMilliseconds(SmoothingTime));
    this->busy = retained * this->busy + (1.0 - retained) * std::clamp(1.0 - waitedShare, 0.0, 1.0);
    this->lateMilliseconds = retained * this->lateMilliseconds + (1.0 - retained) * Core::toFractionalMilliseconds(late);
    this->waitedBefore = waited;
    this->sampledAt = now;
}

LoopReport LoopLoad::report() const
{
    const auto late = Core::milliseconds(std::llround(this->lateMilliseconds));
    return LoopReport{.busyPercent = static_cast<int>(std::lround(this->busy * AllPercent)), .late = late};
}

}
