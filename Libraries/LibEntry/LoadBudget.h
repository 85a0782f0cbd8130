/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Caps the extra load that hedges and retries put on backend servers: each
// first sub-request earns a fraction of an extra one.

#pragma once

namespace Entry
{

/** How much is earned and how much may be saved up. */
struct LoadBudgetOptions {
    double earnedPerRequest{0.05};
    double burst{20.0};
};

/** A bucket of tokens. One extra sub-request costs one token. */
class LoadBudget
{
public:
    explicit LoadBudget(LoadBudgetOptions options) : options(options), tokens(options.burst)
    {
    }

    /** A first sub-request was sent. */
    void earn()
    {
        this->tokens
            = this->tokens + this->options.earnedPerRequest > this->options.burst ? this->options.burst : this->tokens + this->options.earnedPerRequest;
    }

    /** Whether an extra sub-request may be sent; if so it is paid for. */
    [[nodiscard]] bool spend()
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
