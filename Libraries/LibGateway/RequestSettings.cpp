/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/RequestSettings.h>

#include <algorithm>

namespace Gateway
{

// Share of a core for which the minimum reserve is set: the setting includes the work at this share, and only smaller shares add to it.
static constexpr double MeasuredShare = 0.25;
// Smaller shares are treated as this one, so that a wrong setting does not give an unusable reserve.
static constexpr double MinimumShare = 0.05;

Core::Duration minimumReturnReserveFor(const RequestSettings &settings, double processorShare)
{
    const double share = std::clamp(processorShare, MinimumShare, MeasuredShare);
    const double slower = 1.0 / share - 1.0 / MeasuredShare;
    return settings.minimumReturnReserve + Core::Duration(static_cast<Core::Duration::rep>(slower * static_cast<double>(settings.returnProcessorTime.count())));
}

}
