/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Spreads the returns of refused callers without a reservation over the tokens of a share.
// Load pattern: many callers are refused within the time of one token. Told the same time,
// they return together, and all but one are refused a second time, which costs most. Pure.

#pragma once

#include <LibGateway/Dialect.h>

#include <map>

namespace Gateway
{

/** The times that were told to callers of one share, by urgency. */
class RetryTimes
{
public:
    /** Callers are not told to return later than this, unless there is no token before, since the use of the quota can't be predicted that far. */
    static constexpr Core::Duration MaximumWait = Core::seconds(5);

    /** Returns `freeAt`, or the time of the token after the one that the caller of this urgency refused last was told. */
    [[nodiscard]] Core::Instant next(const Urgency &urgency, Core::Instant freeAt, double tokensPerSecond, Core::Instant now);

private:
    // When the token after the last one that was told to a caller of the urgency is there. Invariant: holds only times after the latest call.
    std::map<Urgency, Core::Instant> nextTokens;
};

}
