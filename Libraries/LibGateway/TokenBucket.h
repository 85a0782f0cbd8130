/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Lets through so many events a second, and some at once after a rest. Pure.

#pragma once

#include <LibCore/Time.h>

namespace Gateway
{

/** How large a bucket is, and how fast it fills. */
struct BucketSize {
    /** Tokens at most. */
    double capacity{0.0};
    double perSecond{0.0};
    /** Tokens of a new one. */
    double atStart{0.0};
};

/** In any span of length T it gives out max(capacity, atStart) + perSecond x T tokens at most, also over changes of its size to smaller ones. */
class TokenBucket
{
public:
    /** Fills from a time on that may lie ahead. */
    TokenBucket(const BucketSize &size, Core::Instant fillsFrom);

    /** Takes the tokens beyond a smaller capacity away; a larger one has to fill first. */
    void resize(const BucketSize &newSize, Core::Instant now);

    [[nodiscard]] bool take(Core::Instant now);

    /** How long one token takes to come; a day at most. */
    [[nodiscard]] Core::Duration timePerToken() const;

    /** How long until there is a whole token; a day at most. */
    [[nodiscard]] Core::Duration timeToToken(Core::Instant now);

private:
    void fill(Core::Instant now);

    BucketSize size;
    double tokens{0.0};
    Core::Instant filledAt;
};

}
