/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/Quota/RetryTimes.h>

#include <algorithm>

namespace Gateway
{

static constexpr double MicrosecondsInASecond = 1'000'000.0;

static Core::Duration timePerToken(double tokensPerSecond)
{
    const double longest = static_cast<double>(RetryTimes::MaximumWait.count());
    const double microseconds = tokensPerSecond > 0.0 ? std::min(longest, MicrosecondsInASecond / tokensPerSecond) : longest;
    return Core::Duration(static_cast<Core::Duration::rep>(microseconds));
}

Core::Instant RetryTimes::next(const Urgency &urgency, Core::Instant freeAt, double tokensPerSecond, Core::Instant now)
{
    std::erase_if(this->nextTokens, [now](const auto &item) {
        return item.second <= now;
    });
    auto &nextToken = this->nextTokens[urgency];
    const auto time = std::clamp(nextToken, freeAt, std::max(freeAt, now + MaximumWait));
    nextToken = time + timePerToken(tokensPerSecond);
    return time;
}

}
