/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// The memory that unfinished responses on many connections may take together. A
// server in trouble may send a response without end; each connection alone stays
// below the limit of a message while all of them exceed the memory of the process.

#pragma once

#include <cstddef>

namespace Wire
{

/** Shared by connections, each of which reports what it holds. */
class ReceiveBudget
{
public:
    explicit ReceiveBudget(std::size_t limitBytes) : limitBytes(limitBytes)
    {
    }

    /** Replaces what one connection holds, in bytes. */
    void replace(std::size_t before, std::size_t after)
    {
        this->usedBytes = this->usedBytes - before + after;
    }

    /** Whether a connection that holds `held` bytes has to give up its response. Small responses never have to. */
    [[nodiscard]] bool isExceededBy(std::size_t held) const
    {
        return this->usedBytes > this->limitBytes && held >= SmallResponseBytes;
    }

    [[nodiscard]] std::size_t used() const
    {
        return this->usedBytes;
    }

private:
    static constexpr std::size_t SmallResponseBytes = 64 * 1024;

    std::size_t limitBytes;
    // Invariant: the sum of what the connections hold.
    std::size_t usedBytes{0};
};

}
