/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Limits the extra load of hedges and retries on backend servers to a fraction
// of the first attempts.

#pragma once

namespace Entry
{

/** Refill rate and capacity of the bucket, in tokens. */
struct LoadBudgetOptions {
    double tokensPerRequest{0.05};
    double burst{20.0};
};

/** A token bucket that each first attempt refills. A hedge or retry consumes one token. */
class LoadBudget
{
public:
    explicit LoadBudget(LoadBudgetOptions options) : options(options), tokens(options.burst)
    {
    }

    /** Adds the tokens for one first attempt. */
    void refill()
    {
        this->tokens
            = this->tokens + this->options.tokensPerRequest > this->options.burst ? this->options.burst : this->tokens + this->options.tokensPerRequest;
    }

    /** Returns whether a token was available, and if so consumes it. */
    [[nodiscard]] bool consume()
    {
        if (this->tokens < 1.0) {
            return false;
        }
        this->tokens -= 1.0;
        return true;
    }

    [[nodiscard]] double available() const
    {
        return this->tokens;
    }

private:
    LoadBudgetOptions options;
    double tokens;
};

}
