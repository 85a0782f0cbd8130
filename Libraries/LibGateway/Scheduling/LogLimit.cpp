/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/Scheduling/LogLimit.h>

#include <utility>

namespace Gateway
{

static constexpr Core::Duration Period = Core::seconds(1);

LogLimit::LogLimit(int linesPerSecond) : linesPerSecond(linesPerSecond)
{
}

std::optional<std::uint64_t> LogLimit::take(Core::Instant now)
{
    if (!this->periodFrom.has_value() || now - this->periodFrom.value() >= Period) {
        this->periodFrom = now;
        this->linesInPeriod = 0;
    }
    if (this->linesInPeriod >= this->linesPerSecond) {
        ++this->omitted;
        return std::nullopt;
    }
    ++this->linesInPeriod;
    return std::exchange(this->omitted, 0);
}

}
