/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/Quota/TakeoverWait.h>

#include <algorithm>

namespace Gateway
{

// A connected gateway is in contact at least this often: a long poll of 1.8 s, a lost packet that is sent again, and the exchange between coordinators. One
// that has not been in contact for longer when this gateway joins is not expected to be while it waits.
static constexpr Core::Duration SilentAfter = Core::seconds(4);

TakeoverWait::TakeoverWait(const TakeoverOptions &options) : options(options)
{
}

void TakeoverWait::update(bool isMember, bool knowsOthers, Core::Instant now)
{
    this->hasOthers = knowsOthers;
    if (isMember == this->joinedAt.has_value()) {
        return;
    }
    this->joinedAt = isMember ? std::optional(now) : std::nullopt;
    this->statement.reset();
    this->endedAt.reset();
    this->endReason.reset();
}

void TakeoverWait::recordStatement(const Fleet::ContactStatement &newStatement, Core::Instant now)
{
    if (!this->joinedAt.has_value() || newStatement.statedAt < this->joinedAt.value()) {
        return;
    }
    this->statement = newStatement;
    const auto propagated = std::max(this->joinedAt.value() + this->options.propagationTime, newStatement.listedSince);
    if (newStatement.oldestContact >= propagated && !this->isOver(now)) {
        this->endAt(now, this->hasOthers ? TakeoverEnd::Contacts : TakeoverEnd::NoOthers);
    }
}

bool TakeoverWait::isOver(Core::Instant now)
{
    if (!this->joinedAt.has_value() || this->endedAt.has_value()) {
        return this->endedAt.has_value();
    }
    const auto latest = this->joinedAt.value() + this->options.maximumTime;
    if (now >= latest) {
        this->endAt(latest, TakeoverEnd::MaximumTime);
    }
    return this->endedAt.has_value();
}

void TakeoverWait::endAt(Core::Instant time, TakeoverEnd reason)
{
    this->endedAt = time;
    this->endReason = reason;
}

Core::Instant TakeoverWait::expectedEnd(Core::Instant now) const
{
    if (this->endedAt.has_value() || !this->joinedAt.has_value()) {
        return this->endedAt.value_or(now);
    }
    const auto joined = this->joinedAt.value();
    const bool isSomeoneSilent = this->statement.has_value() && this->statement->oldestContact + SilentAfter < this->statement->statedAt;
    const bool isLate = now >= joined + this->options.expectedTime;
    return isSomeoneSilent || isLate ? joined + this->options.maximumTime : joined + this->options.expectedTime;
}

bool TakeoverWait::isMember() const
{
    return this->joinedAt.has_value();
}

std::optional<TakeoverEnd> TakeoverWait::end() const
{
    return this->endReason;
}

Core::Instant TakeoverWait::beganAt() const
{
    return this->joinedAt.value_or(Core::Instant());
}

const std::optional<Fleet::ContactStatement> &TakeoverWait::lastStatement() const
{
    return this->statement;
}

}
