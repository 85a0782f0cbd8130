/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/Scheduling/StopAdmission.h>

#include <LibCore/Log.h>

#include <algorithm>

namespace Gateway
{

// A repeatable request whose answer does not come in time is sent again by its caller, which costs the caller about as much time as ten refusals.
static constexpr double RepeatableQuantile = 0.9;
// A failure of any other request is final, so nearly all of them have to be answered, with time to spare for the slowest.
static constexpr double NonRepeatableQuantile = 0.99;
static constexpr int NonRepeatableReserveFactor = 2;
// Until enough latencies are known, requests are expected to take this many target latencies.
static constexpr int AssumedTargets = 2;
static constexpr double MinimumLatencySamples = 20.0;

Core::Duration expectedDuration(const ExpectedWork &work)
{
    const double quantile = work.isRepeatable ? RepeatableQuantile : NonRepeatableQuantile;
    const int factor = work.isRepeatable ? 1 : NonRepeatableReserveFactor;
    const auto usual = factor * work.latencies->quantile(quantile, AssumedTargets * work.targetLatency, MinimumLatencySamples);
    return std::min({std::max(usual, work.targetLatency), work.callerTimeout, work.routeTimeout});
}

StopAdmission::StopAdmission(Core::TimerService &timers) : timers(timers)
{
}

void StopAdmission::begin(const Core::StopSchedule &begun)
{
    this->schedule = begun;
}

bool StopAdmission::isStopping() const
{
    return this->schedule.has_value();
}

std::optional<Core::Instant> StopAdmission::answersDue() const
{
    return this->schedule.has_value() ? std::optional(this->schedule->answersDue) : std::nullopt;
}

bool StopAdmission::isTooLate(const ExpectedWork &work, const std::string &route, const Core::RequestId &request)
{
    if (!this->schedule.has_value()) {
        return false;
    }
    const auto now = this->timers.now();
    const auto expected = expectedDuration(work);
    const auto left = this->schedule->answersDue - now;
    if (expected <= left) {
        return false;
    }
    if (const auto omitted = this->lines.take(now); omitted.has_value()) {
        Core::logEvent(Core::LogLevel::Information,
            "stop.refused",
            {{"request", request.value()},
                {"route", route},
                {"expected_ms", Core::toMilliseconds(expected)},
                {"left_ms", Core::toMilliseconds(left)},
                {"since_stop_ms", Core::toMilliseconds(now - this->schedule->requestedAt)},
                {"omitted", omitted.value()}});
    }
    return true;
}

}
