/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/Quota/TokenBucket.h>

#include <algorithm>

namespace Gateway
{

static constexpr double MillisecondsInASecond = 1000.0;
// Longer waits are reported as a day.
static constexpr double MaximumWaitSeconds = 86'400.0;

TokenBucket::TokenBucket(const BucketSize &size, Core::Instant fillStart) : size(size), tokens(size.initialTokens), filledAt(fillStart)
{
}

void TokenBucket::fill(Core::Instant now)
{
    if (now <= this->filledAt) {
        return;
    }
    const double seconds = Core::toFractionalMilliseconds(now - this->filledAt) / MillisecondsInASecond;
    this->tokens = std::min(this->size.capacity, this->tokens + seconds * this->size.perSecond);
    this->filledAt = now;
}

void TokenBucket::resize(const BucketSize &newSize, Core::Instant now)
{
    this->fill(now);
    this->size = newSize;
    this->tokens = std::min(this->tokens, newSize.capacity);
}

double TokenBucket::tokensAt(Core::Instant now)
{
    this->fill(now);
    return this->tokens;
}

Core::Instant TokenBucket::filledUntil() const
{
    return this->filledAt;
}

const BucketSize &TokenBucket::currentSize() const
{
    return this->size;
}

bool TokenBucket::take(Core::Instant now)
{
    this->fill(now);
    if (this->tokens < 1.0) {
        return false;
    }
    this->tokens -= 1.0;
    return true;
}

// Returns at most a day.
static Core::Duration timeToFill(double tokens, double perSecond)
{
    const double seconds = perSecond > 0.0 ? std::min(tokens / perSecond, MaximumWaitSeconds) : MaximumWaitSeconds;
    return Core::milliseconds(static_cast<std::int64_t>(seconds * MillisecondsInASecond));
}

Core::Duration TokenBucket::timePerToken() const
{
    return timeToFill(1.0, this->size.perSecond);
}

Core::Duration TokenBucket::timeToToken(Core::Instant now)
{
    this->fill(now);
    if (this->tokens >= 1.0) {
        return Core::Duration(0);
    }
    const auto untilItFills = std::max(Core::Duration(0), this->filledAt - now);
    return untilItFills + timeToFill(1.0 - this->tokens, this->size.perSecond) + Core::milliseconds(1);
}

}
