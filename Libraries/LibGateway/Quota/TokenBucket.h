/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Token bucket: limits a rate of events and permits a burst after an idle time. Pure.

#pragma once

#include <LibCore/Time.h>

namespace Gateway
{

/** Capacity and fill rate of a token bucket. */
struct BucketSize {
    /** Maximum number of tokens. */
    double capacity{0.0};
    double perSecond{0.0};
    /** Tokens of a new bucket. */
    double initialTokens{0.0};
};

/** In any span of T seconds a bucket grants at most max(capacity, initialTokens) + perSecond x T tokens, also when its size changes to smaller ones. */
class TokenBucket
{
public:
    /** Starts to fill at `fillStart`, which may lie in the future. */
    TokenBucket(const BucketSize &size, Core::Instant fillStart);

    /** Discards the tokens beyond a smaller capacity. A larger capacity has to fill first. */
    void resize(const BucketSize &newSize, Core::Instant now);

    [[nodiscard]] bool take(Core::Instant now);

    /** Returns the tokens at this time, with fractions. */
    [[nodiscard]] double tokensAt(Core::Instant now);

    /** Returns the time up to which the bucket is filled: that of the latest call, or `fillStart` while that lies in the future. */
    [[nodiscard]] Core::Instant filledUntil() const;

    [[nodiscard]] const BucketSize &currentSize() const;

    /** Returns how long it takes to fill one token; at most a day. */
    [[nodiscard]] Core::Duration timePerToken() const;

    /** Returns the time until there is a whole token; at most a day of filling. */
    [[nodiscard]] Core::Duration timeToToken(Core::Instant now);

private:
    void fill(Core::Instant now);

    BucketSize size;
    double tokens{0.0};
    Core::Instant filledAt;
};

}
