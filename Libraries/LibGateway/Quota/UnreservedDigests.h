/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Contents for which a keeper could not reserve a token in time. Load pattern: many callers
// send the same content and so have the same home keeper, whose share is a fraction of the
// quota. The next keeper in the order of the digest reserves for those who find no token
// there, and a returning caller is sent to it only if the home remembers its content. Pure.

#pragma once

#include <LibGateway/Dialect.h>

#include <vector>

namespace Gateway
{

/** Remembers the most recent digests of one share. */
class UnreservedDigests
{
public:
    void add(const Fleet::RequestDigest &digest, Core::Instant now);
    [[nodiscard]] bool contains(const Fleet::RequestDigest &digest, Core::Instant now) const;

private:
    struct Row {
        Fleet::RequestDigest digest;
        Core::Instant until;
    };

    // Invariant: ordered by time, oldest first, each digest once, at most MaximumCount.
    std::vector<Row> rows;
};

}
