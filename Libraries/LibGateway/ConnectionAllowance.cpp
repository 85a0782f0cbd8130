/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/ConnectionAllowance.h>

#include <algorithm>

namespace Gateway
{

std::size_t connectionLimit(const ConnectionShares &shares, int cap, bool sameZone, GatewayCount gateways)
{
    const double share = sameZone ? shares.ownZone / gateways.inZone : shares.otherZones / gateways.all;
    return std::max<std::size_t>(1, static_cast<std::size_t>(share * cap));
}

TrialPeriod::TrialPeriod(Core::Instant start) : latest(start)
{
}

void TrialPeriod::recordReset(Core::Instant now)
{
    this->latest = now;
}

std::optional<Core::Duration> TrialPeriod::marginAt(const TrialOptions &options, Core::Instant now) const
{
    return now - this->latest < options.period ? std::optional(options.margin) : std::nullopt;
}

void RejectionBackoff::recordRejection(const RejectionBackoffOptions &options, Core::Instant now)
{
    this->delay = std::clamp(2 * this->delay, options.initialDelay, options.maximumDelay);
    this->end = now + this->delay;
}

void RejectionBackoff::recordReply()
{
    this->delay = Core::Duration(0);
}

bool RejectionBackoff::hasElapsed(Core::Instant now) const
{
    return now >= this->end;
}

}
