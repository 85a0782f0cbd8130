/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/Scheduling/ServerAcceptance.h>

#include <algorithm>
#include <utility>

namespace Gateway
{

// Requests within this time of each other meet the same queue; a full queue clears within tens of milliseconds.
static constexpr Core::Duration Window = Core::milliseconds(40);
// Maximum number of observations that the requests of one window count for. With 2, a burst of refusals moves the requests of all gateways away.
static constexpr double MaximumPerWindow = 1.0;
// A server with a low share is probed when its latest observation is older. Recoveries are to be detected within about a second.
static constexpr Core::Duration ProbeInterval = Core::milliseconds(800);
// Share of the requests that probe a server once that is due. A gateway that sends few requests is one of many that probe the same server.
static constexpr double ProbeShare = 0.125;
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
// Minimum number of observations for the acceptance to be logged and counted.
static constexpr double MinimumEvidence = 1.5;
// Minimum time between two changes of one server that are logged.
static constexpr Core::Duration ChangeInterval = Core::seconds(1);

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

bool FadingOutcomes::hasRefused() const
{
    return this->settled.refused > 0.0 || this->current.refused > 0.0;
}

FadedOutcomes FadingOutcomes::at(Core::Instant now) const
{
    const auto counted = this->current.limited(MaximumPerWindow);
    const FadedOutcomes sum{.accepted = this->settled.accepted + counted.accepted, .refused = this->settled.refused + counted.refused};
    return sum.limited(MaximumEvidence).faded(now - this->windowStart);
}

void ServiceAcceptance::record(bool accepted, Core::Instant now)
{
    this->outcomes.record(accepted, now);
}

double ServiceAcceptance::refusedShare(Core::Instant now) const
{
    if (!this->outcomes.hasRefused()) {
        return 0.0;
    }
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
    const auto own = this->outcomes.at(now);
    if (own.total() >= MinimumEvidence && own.accepted <= RestoredAcceptance * own.total()) {
        this->ownReportableUntil = now + EvidenceLifetime;
    }
}

FadedOutcomes ServerAcceptance::remoteAt(const FadedOutcomes &own, Core::Instant now) const
{
    return this->remote.has_value() ? this->remote->at(now).limited(std::max(0.0, MaximumEvidence - own.total())) : FadedOutcomes{};
}

FadedOutcomes ServerAcceptance::observedAt(Core::Instant now, EvidenceScope scope) const
{
    const auto own = this->outcomes.at(now);
    const auto reported = scope == EvidenceScope::All ? this->remoteAt(own, now) : FadedOutcomes{};
    return {.accepted = own.accepted + reported.accepted, .refused = own.refused + reported.refused};
}

bool ServerAcceptance::hasReport(Core::Instant now) const
{
    return this->remote.has_value() && !this->remote->isExpired(now);
}

bool ServerAcceptance::isReportNewer(Core::Instant now) const
{
    return this->hasReport(now) && this->remote->observedAt > this->latest;
}

bool ServerAcceptance::receive(EvidenceReport report, Core::Instant now)
{
    this->newestReport = std::max(this->newestReport, std::min(report.observedAt, now));
    if (!replacesReport(this->remote, report, now)) {
        return false;
    }
    this->remote = std::move(report);
    return true;
}

std::optional<EvidenceReport> ServerAcceptance::ownReport(Core::Instant now) const
{
    if (now >= this->ownReportableUntil) {
        return std::nullopt;
    }
    return this->observations();
}

EvidenceReport ServerAcceptance::observations() const
{
    return EvidenceReport{.outcomes = this->outcomes.at(this->latest), .observedAt = this->latest};
}

bool ServerAcceptance::knowsRefusals() const
{
    return this->outcomes.hasRefused() || this->remote.has_value();
}

std::optional<EvidenceReport> ServerAcceptance::forwardableReport(Core::Instant now) const
{
    return this->hasReport(now) && !this->remote->source.empty() ? this->remote : std::nullopt;
}

std::optional<EvidenceReport> ServerAcceptance::reportFor(EvidenceScope scope, Core::Instant now) const
{
    auto own = this->ownReport(now);
    auto reported = scope == EvidenceScope::All ? this->forwardableReport(now) : std::nullopt;
    const bool isOwnStronger = own.has_value() && (!reported.has_value() || own->at(now).total() >= reported->at(now).total());
    return isOwnStronger ? own : reported;
}

Core::Instant ServerAcceptance::reportableUntil() const
{
    const bool isForwardable = this->remote.has_value() && !this->remote->source.empty();
    return isForwardable ? std::max(this->ownReportableUntil, this->remote->observedAt + EvidenceLifetime) : this->ownReportableUntil;
}

// A newer report of a recovery lets this gateway try the server itself, one request at a time. Any other newer report is another gateway's probe and takes the
// place of one of this gateway, so that all gateways together do not probe much more often than one.
double ServerAcceptance::probeShare(Core::Instant now) const
{
    const bool isRecovering = this->isReportNewer(now) && this->remote->isGood();
    const bool mayHaveRecovered = isRecovering || (this->acceptedInRow > 0 && this->latest >= this->newestReport);
    const auto latestNews = mayHaveRecovered ? this->latest : std::max(this->latest, this->newestReport);
    if (now - latestNews < (mayHaveRecovered ? FollowUpInterval : ProbeInterval)) {
        return 0.0;
    }
    const auto observed = this->observedAt(now);
    const bool isLowNow = observed.refused >= MinimumProbedRefusals && observed.accepted <= RestoredAcceptance * observed.total();
    return !isLowNow ? 0.0 : mayHaveRecovered ? 1.0 : ProbeShare;
}

double ServerAcceptance::refusedShare(double expected, Core::Instant now, EvidenceScope scope) const
{
    if (expected == 0.0 && !this->outcomes.hasRefused() && !this->remote.has_value()) {
        return 0.0;
    }
    const auto observed = this->observedAt(now, scope);
    return (observed.refused + ServerPriorWeight * expected) / (observed.total() + ServerPriorWeight);
}

std::optional<double> ServerAcceptance::observedShare(Core::Instant now) const
{
    const auto observed = this->observedAt(now);
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
    const auto own = this->outcomes.at(now);
    const bool isReportNewer = this->isReportNewer(now);
    return AcceptanceChange{.share = share.value(),
        .evidence = this->observedAt(now).total(),
        .age = isReportNewer ? now - this->remote->observedAt : this->latestAge,
        .remoteEvidence = this->remoteAt(own, now).total(),
        .source = this->hasReport(now) ? this->remote->source : std::string()};
}

double refusalCost(double refusedShare, const RefusalTimes &times)
{
    return refusedShare * (times.roundTrip + times.repeatPrice + std::max(0.0, times.nextBest - times.own));
}

}
