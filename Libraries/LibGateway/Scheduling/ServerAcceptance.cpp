/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/Scheduling/ServerAcceptance.h>

#include <algorithm>
#include <cmath>

namespace Gateway
{

// Observations count for half after this time. A gateway sends a server one to three requests a second where 30 gateways share it: with 550 ms, servers that
// refuse 0.6 rejected 19,255 of 196,234 arrivals, with 3 s they rejected 12,649 of 181,246. A recovery is detected by probes, not by forgetting.
static constexpr Core::Duration HalfLife = Core::seconds(3);
// Requests within this time of each other meet the same queue; a full queue clears within tens of milliseconds.
static constexpr Core::Duration Window = Core::milliseconds(40);
// Maximum number of observations that the requests of one window count for. With 2, a burst of refusals moves the requests of all gateways away.
static constexpr double MaximumPerWindow = 1.0;
// Maximum number of observations in all. More would delay the detection of a fault and of a recovery.
static constexpr double MaximumEvidence = 6.0;
// A server with a low share is probed when its latest observation is older. Recoveries are to be detected within about a second.
static constexpr Core::Duration ProbeInterval = Core::milliseconds(900);
// The same after an accepted request: long enough that a full queue that has let one request in counts as a different observation.
static constexpr Core::Duration FollowUpInterval = Core::milliseconds(100);
// Minimum number of refusals after fading for a server to need probes; with fewer it is chosen by its score again.
static constexpr double MinimumProbedRefusals = 0.5;
// From so many accepted requests in succession on, each reduces the refusals before to this share. A server that refuses 0.6 accepts three in succession once
// in 16 times.
static constexpr int RecoveryAccepted = 3;
static constexpr double RecoveryFactor = 0.25;
// Number of observations that the expectation for an unknown server counts for. With two, one refusal by a server that accepted all before does not move
// requests to another region.
static constexpr double ServerPriorWeight = 2.0;
// Number of accepted requests that are assumed for a service. So a server that was not tried yet is expected to accept more than one that refuses, even when
// the latter received all requests of the service.
static constexpr double ServicePriorWeight = 9.0;
// The acceptance counts as restored only above this share, so that a server close to LowAcceptance does not fill the log.
static constexpr double RestoredAcceptance = 0.75;
// Minimum number of observations for the acceptance to be logged and counted.
static constexpr double MinimumEvidence = 1.5;
// Minimum time between two changes of one server that are logged.
static constexpr Core::Duration ChangeInterval = Core::seconds(1);

static FadedOutcomes scaled(const FadedOutcomes &outcomes, double factor)
{
    return {.accepted = outcomes.accepted * factor, .refused = outcomes.refused * factor};
}

// Returns the outcomes with the same mean, but `maximum` observations at most.
static FadedOutcomes limited(const FadedOutcomes &outcomes, double maximum)
{
    return outcomes.total() <= maximum ? outcomes : scaled(outcomes, maximum / outcomes.total());
}

void FadingOutcomes::record(bool accepted, Core::Instant now)
{
    if (now - this->windowStart >= Window) {
        this->settled = this->at(now);
        this->current = {};
        this->windowStart = now;
    }
    (accepted ? this->current.accepted : this->current.refused) += 1.0;
}

void FadingOutcomes::discountRefused(double factor, Core::Instant now)
{
    this->settled = this->at(now);
    this->settled.refused *= factor;
    this->current = {};
    this->windowStart = now;
}

FadedOutcomes FadingOutcomes::at(Core::Instant now) const
{
    const auto counted = limited(this->current, MaximumPerWindow);
    const FadedOutcomes sum{.accepted = this->settled.accepted + counted.accepted, .refused = this->settled.refused + counted.refused};
    const double halfLives = Core::toFractionalMilliseconds(now - this->windowStart) / Core::toFractionalMilliseconds(HalfLife);
    return scaled(limited(sum, MaximumEvidence), std::exp2(-halfLives));
}

void ServiceAcceptance::record(bool accepted, Core::Instant now)
{
    this->outcomes.record(accepted, now);
}

double ServiceAcceptance::refusedShare(Core::Instant now) const
{
    const auto observed = this->outcomes.at(now);
    return observed.refused / (observed.total() + ServicePriorWeight);
}

void ServerAcceptance::record(bool accepted, Core::Instant now)
{
    this->latestAge = now - this->latest;
    const bool isNewWindow = this->latestAge >= Window;
    this->outcomes.record(accepted, now);
    this->latest = now;
    if (!accepted) {
        this->acceptedInRow = 0;
    } else if (isNewWindow) {
        ++this->acceptedInRow;
    }
    if (accepted && isNewWindow && this->acceptedInRow >= RecoveryAccepted) {
        this->outcomes.discountRefused(RecoveryFactor, now);
    }
}

bool ServerAcceptance::isProbeDue(Core::Instant now) const
{
    const auto interval = this->acceptedInRow > 0 ? FollowUpInterval : ProbeInterval;
    if (now - this->latest < interval) {
        return false;
    }
    const auto observed = this->outcomes.at(now);
    return observed.refused >= MinimumProbedRefusals && observed.accepted <= RestoredAcceptance * observed.total();
}

double ServerAcceptance::refusedShare(double expected, Core::Instant now) const
{
    const auto observed = this->outcomes.at(now);
    return (observed.refused + ServerPriorWeight * expected) / (observed.total() + ServerPriorWeight);
}

std::optional<double> ServerAcceptance::observedShare(Core::Instant now) const
{
    const auto observed = this->outcomes.at(now);
    return observed.total() < MinimumEvidence ? std::nullopt : std::optional(observed.accepted / observed.total());
}

std::optional<AcceptanceChange> ServerAcceptance::takeChange(Core::Instant now)
{
    const auto share = this->observedShare(now);
    if (!share.has_value() || (this->changedAt.has_value() && now - this->changedAt.value() < ChangeInterval)) {
        return std::nullopt;
    }
    const bool changes = this->isLow ? share.value() > RestoredAcceptance : share.value() < LowAcceptance;
    if (!changes) {
        return std::nullopt;
    }
    this->isLow = !this->isLow;
    this->changedAt = now;
    return AcceptanceChange{.share = share.value(), .evidence = this->outcomes.at(now).total(), .age = this->latestAge};
}

double refusalCost(double refusedShare, const RefusalTimes &times)
{
    return refusedShare * (times.roundTrip + times.repeatPrice + std::max(0.0, times.nextBest - times.own));
}

}
