/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Counts and logs relayed parts whose outcome stays unknown. How many attempts are
// assumed for the shards of such a part decides whether they are sent again, and is
// compared with what the serving gateway has logged for the same request.

#pragma once

#include <LibCore/StrongValue.h>
#include <LibCore/Time.h>
#include <LibGateway/Scheduling/LogLimit.h>

#include <cstdint>
#include <optional>
#include <string>

namespace Gateway
{

/** A part that was sent and not answered. */
struct LostPart {
    const Core::RequestId &request;
    /** Zone of the gateways that may serve the part. */
    const std::string &zone;
    std::size_t shards{0};
    /** Time from the send until the connection broke; nullopt if the part has timed out. */
    std::optional<Core::Duration> after;
    const std::string &reason;
    /** Attempts that each shard is assumed to have had. */
    int assumedAttempts{0};
    /** Attempts that the route allows. */
    int maximumAttempts{0};

    /** Returns whether the shards may be sent again. */
    [[nodiscard]] bool mayRetry() const
    {
        return this->assumedAttempts < this->maximumAttempts;
    }
};

/** Numbers of lost parts, and the log line `part.lost` for at most a few of them a second. */
class LostParts
{
public:
    void record(const LostPart &part, Core::Instant now);

    /** Returns the number of lost parts whose shards may be sent again, or of the others. */
    [[nodiscard]] std::uint64_t count(bool mayRetry) const;

private:
    static constexpr int LinesPerSecond = 5;

    LogLimit lines{LinesPerSecond};
    std::uint64_t retriable{0};
    std::uint64_t unknown{0};
};

}
