/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "Tally.h"

#include <algorithm>

namespace Load
{

Core::Duration Tally::quantile(double quantile)
{
    if (this->latencies.empty()) {
        return Core::Duration(0);
    }
    std::sort(this->latencies.begin(), this->latencies.end());
    const auto position = static_cast<std::size_t>(quantile * static_cast<double>(this->latencies.size()));
    return this->latencies[std::min(position, this->latencies.size() - 1)];
}

double Tally::coveredPercent() const
{
    return this->shardsRequested == 0 ? 100.0 : 100.0 * static_cast<double>(this->shardsIncluded) / static_cast<double>(this->shardsRequested);
}

void Tally::add(const Tally &other)
{
    this->sent += other.sent;
    this->answered += other.answered;
    this->partial += other.partial;
    this->refusedNotRun += other.refusedNotRun;
    this->refusedUnknown += other.refusedUnknown;
    this->lost += other.lost;
    this->withinDeadline += other.withinDeadline;
    this->shardsRequested += other.shardsRequested;
    this->shardsIncluded += other.shardsIncluded;
    this->mixedSnapshots += other.mixedSnapshots;
    this->wrongAnswers += other.wrongAnswers;
    this->snapshotWentBack += other.snapshotWentBack;
    this->latencies.insert(this->latencies.end(), other.latencies.begin(), other.latencies.end());
}

}
