/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Decides whether a gateway that is being stopped still takes a request. Taken too
// late, it would end without the backend server's answer; refused too early, its
// caller loses the time until it has found another gateway.

#pragma once

#include <LibCore/GracefulStop.h>
#include <LibCore/LatencyDigest.h>
#include <LibFleet/Declaration.h>
#include <LibGateway/Scheduling/LogLimit.h>

#include <optional>
#include <string>

namespace Gateway
{

/** What is known of a request and of how long such requests take. */
struct ExpectedWork {
    /** How long the caller waits, or the requesting gateway. */
    Core::Duration callerTimeout{0};
    Core::Duration routeTimeout{0};
    Core::Duration targetLatency{0};
    /** A request that may be run once only has no second chance at another gateway once it was sent. */
    bool isRepeatable{true};
    /** Latencies of the route's replies. */
    const Core::LatencyDigest *latencies{nullptr};
};

/** Returns how long the request is expected to take at most: never longer than it may take. */
[[nodiscard]] Core::Duration expectedDuration(const ExpectedWork &work);

/** Refuses requests that are not expected to end before this gateway does. Until begin() it takes all of them. */
class StopAdmission
{
public:
    explicit StopAdmission(Core::TimerService &timers);

    void begin(const Core::StopSchedule &schedule);
    [[nodiscard]] bool isStopping() const;
    /** When each request has to have its answer; nothing before begin(). */
    [[nodiscard]] std::optional<Core::Instant> answersDue() const;

    /** Whether the request comes too late, which is logged with the inputs of the decision. `route` and `request` are for the log line. */
    [[nodiscard]] bool isTooLate(const ExpectedWork &work, const std::string &route, const Core::RequestId &request);

private:
    Core::TimerService &timers;
    std::optional<Core::StopSchedule> schedule;
    static constexpr int LinesPerSecond = 20;
    LogLimit lines{LinesPerSecond};
};

}
