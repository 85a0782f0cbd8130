/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/RequestSettings.h>

#include <algorithm>

namespace Gateway
{

// The share of a core on which the floor was measured.
static constexpr double MeasuredShare = 0.25;
// A smaller share is taken for this one, so that nothing absurd comes of a setting.
static constexpr double LeastShare = 0.05;

Core::Duration minimumReturnReserveFor(const RequestSettings &settings, double processorShare)
{
    const double share = std::clamp(processorShare, LeastShare, MeasuredShare);
    const double slower = 1.0 / share - 1.0 / MeasuredShare;
    return settings.minimumReturnReserve + Core::Duration(static_cast<Core::Duration::rep>(slower * static_cast<double>(settings.returnProcessorTime.count())));
}

}
