/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/Quota/UnreservedDigests.h>

#include <algorithm>

namespace Gateway
{

// As many as a share has reservations. A caller whose digest was displaced counts as new, as after the loss of its reservation.
static constexpr std::size_t MaximumCount = 128;
// The longest wait for a reservation is 5 s, and it is kept 250 ms longer for a caller that is late.
static constexpr Core::Duration Retention = Core::milliseconds(5250);

void UnreservedDigests::add(const Fleet::RequestDigest &digest, Core::Instant now)
{
    std::erase_if(this->rows, [&digest, now](const Row &row) {
        return row.digest == digest || row.until <= now;
    });
    if (this->rows.size() >= MaximumCount) {
        this->rows.erase(this->rows.begin());
    }
    this->rows.push_back({.digest = digest, .until = now + Retention});
}

bool UnreservedDigests::contains(const Fleet::RequestDigest &digest, Core::Instant now) const
{
    return std::any_of(this->rows.begin(), this->rows.end(), [&digest, now](const Row &row) {
        return row.digest == digest && row.until > now;
    });
}

}
