/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/Scheduling/StopAdmission.h>

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

}
