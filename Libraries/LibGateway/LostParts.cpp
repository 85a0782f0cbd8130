/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/LostParts.h>

#include <LibCore/Log.h>

namespace Gateway
{

void LostParts::record(const LostPart &part, Core::Instant now)
{
    ++(part.mayRetry() ? this->retriable : this->unknown);
    const auto omitted = this->lines.take(now);
    if (!omitted.has_value()) {
        return;
    }
    Core::logEvent(Core::LogLevel::Information,
        "part.lost",
        {{"request", part.request.value()},
            {"zone", part.zone},
            {"shards", part.shards},
            {"after_ms", part.after.has_value() ? Core::toMilliseconds(part.after.value()) : -1},
            {"assumed_attempts", part.assumedAttempts},
            {"max_attempts", part.maximumAttempts},
            {"omitted", omitted.value()},
            {"reason", part.reason}});
}

std::uint64_t LostParts::count(bool mayRetry) const
{
    return mayRetry ? this->retriable : this->unknown;
}

}
