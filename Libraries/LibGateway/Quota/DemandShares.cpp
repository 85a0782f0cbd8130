/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/Quota/DemandShares.h>

#include <algorithm>
#include <cmath>

namespace Gateway
{

// Each urgency is served at least this fraction as often as all requests of the workspace.
static constexpr double GuaranteedShare = 0.25;
// The guarantee is kept with this margin, since grants come in whole tokens and demand is measured with some noise.
static constexpr double GuaranteeMargin = 1.1;
// Tokens become due this much faster than they are requested on average, so that one is there for a request that comes early.
static constexpr double DueMargin = 1.25;
// Tokens of so many seconds may be due to one urgency. More would be kept from the others for requests that may not come.
static constexpr double MaximumDueSeconds = 0.5;
// One urgency may be due at most this part of the tokens that can be kept and are not due to more urgent ones.
static constexpr double MaximumDueShare = 0.5;
// At least so many tokens may be due to one urgency, so that one is there for a request that comes every few seconds.
static constexpr double MinimumDueTokens = 1.0;
// An urgency with fewer requests than this within a window is forgotten.
static constexpr double MinimumRequestsInWindow = 0.05;
static constexpr double MillisecondsInASecond = 1000.0;

static double secondsOf(Core::Duration duration)
{
    return Core::toFractionalMilliseconds(duration) / MillisecondsInASecond;
}

DemandShares::DemandShares(Core::Duration window) : window(window)
{
}

double DemandShares::totalDemand() const
{
    double total = 0.0;
    for (const auto &[urgency, kind] : this->kinds) {
        total += kind.demand;
    }
    return total;
}

void DemandShares::advance(Core::Instant now)
{
    const double seconds = now > this->advancedAt ? secondsOf(now - this->advancedAt) : 0.0;
    this->advancedAt = std::max(this->advancedAt, now);
    const double windowSeconds = secondsOf(this->window);
    const double remaining = std::exp(-seconds / windowSeconds);
    for (auto &[urgency, kind] : this->kinds) {
        kind.guaranteed = std::min(kind.maximumGuaranteed, kind.guaranteed + seconds * kind.guaranteedRate);
        kind.due = std::min(kind.maximumDue, kind.due + DueMargin * seconds * kind.dueRate);
        kind.demand *= remaining;
    }
    std::erase_if(this->kinds, [windowSeconds](const auto &item) {
        return item.second.demand * windowSeconds < MinimumRequestsInWindow;
    });
}

void DemandShares::divide(const ShareSupply &supply)
{
    const double total = this->totalDemand();
    this->isDivided = total > supply.perSecond;
    if (!this->isDivided) {
        // D1.
        for (auto &[urgency, kind] : this->kinds) {
            kind = Kind{.demand = kind.demand};
        }
        return;
    }
    // D2.
    double left = supply.perSecond;
    for (auto &[urgency, kind] : this->kinds) {
        kind.guaranteedRate = GuaranteedShare * GuaranteeMargin * supply.perSecond * kind.demand / total;
        left -= kind.guaranteedRate;
    }
    // A bucket can keep one token less than its capacity, since a full bucket grants to any request.
    double available = std::max(0.0, supply.capacity - 1.0);
    // D3.
    for (auto &[urgency, kind] : this->kinds) {
        const double more = std::clamp(kind.demand - kind.guaranteedRate, 0.0, std::max(0.0, left));
        kind.dueRate = kind.guaranteedRate + more;
        left -= more;
        kind.maximumDue = std::max(std::min(MinimumDueTokens, available), std::min(MaximumDueSeconds * kind.dueRate, MaximumDueShare * available));
        // A guarantee is used one token at a time, so a whole one must be able to become due, also where little can be kept.
        kind.maximumGuaranteed = std::max(MinimumDueTokens, kind.maximumDue);
        available -= kind.maximumDue;
    }
}

void DemandShares::decay(const ShareSupply &supply, Core::Instant now)
{
    this->advance(now);
    this->divide(supply);
}

bool DemandShares::isDividing() const
{
    return this->isDivided;
}

void DemandShares::recordRequest(const Urgency &urgency, const ShareSupply &supply, Core::Instant now)
{
    this->advance(now);
    this->kinds[urgency].demand += 1.0 / secondsOf(this->window);
    this->divide(supply);
}

void DemandShares::recordGrant(const Urgency &urgency)
{
    const auto found = this->kinds.find(urgency);
    if (found == this->kinds.end()) {
        return;
    }
    auto &kind = found->second;
    // The balance goes no lower than -1, so that tokens which nobody else was due delay later requests by one token at most.
    kind.guaranteed = std::max(kind.guaranteed - 1.0, -1.0);
    kind.due = std::max(kind.due - 1.0, -1.0);
}

void DemandShares::recordReturn(const Urgency &urgency)
{
    const auto found = this->kinds.find(urgency);
    if (found == this->kinds.end()) {
        return;
    }
    auto &kind = found->second;
    kind.guaranteed = std::min(kind.maximumGuaranteed, kind.guaranteed + 1.0);
    kind.due = std::min(kind.maximumDue, kind.due + 1.0);
}

double DemandShares::tokensForOthers(const Urgency &urgency, const ShareSupply &supply) const
{
    const auto own = this->kinds.find(urgency);
    const bool isDue = own != this->kinds.end() && own->second.guaranteed >= 1.0;
    double tokens = 0.0;
    for (const auto &[other, kind] : this->kinds) {
        if (other < urgency) {
            tokens += isDue ? 0.0 : std::max(0.0, kind.due);
        } else if (urgency < other) {
            tokens += std::floor(std::max(0.0, kind.guaranteed));
        }
    }
    // A full bucket grants a token to any request.
    return std::min(tokens, std::max(0.0, supply.capacity - 1.0));
}

double DemandShares::rateFor(const Urgency &urgency, const ShareSupply &supply) const
{
    double rate = supply.perSecond;
    for (const auto &[other, kind] : this->kinds) {
        if (other < urgency) {
            rate -= kind.dueRate;
        } else if (urgency < other) {
            rate -= kind.guaranteedRate;
        }
    }
    const auto own = this->kinds.find(urgency);
    const double guaranteed = own != this->kinds.end() ? own->second.guaranteedRate : 0.0;
    return std::max(rate, guaranteed);
}

}
