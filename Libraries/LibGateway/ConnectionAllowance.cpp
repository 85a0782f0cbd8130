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
    const double part = sameZone ? shares.near / gateways.inZone : shares.far / gateways.all;
    return std::max<std::size_t>(1, static_cast<std::size_t>(part * cap));
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
    this->pause = std::clamp(2 * this->pause, options.firstPause, options.longestPause);
    this->end = now + this->pause;
}

void RejectionBackoff::recordReply()
{
    this->pause = Core::Duration(0);
}

bool RejectionBackoff::isOver(Core::Instant now) const
{
    return now >= this->end;
}

}
