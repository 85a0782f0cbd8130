/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/Scheduling/DeniedRepeatLog.h>

#include <LibCore/Log.h>

namespace Gateway
{

void RepeatCounters::record(RepeatKind kind, bool isGranted)
{
    auto &ofKind = this->counts.at(static_cast<std::size_t>(kind));
    ++(isGranted ? ofKind.granted : ofKind.denied);
}

RepeatCounters::Counts RepeatCounters::of(RepeatKind kind) const
{
    return this->counts.at(static_cast<std::size_t>(kind));
}

bool DeniedRepeatLog::record(const Core::ServiceName &service, const RepeatRequest &repeat, const BudgetUse &use, Core::Instant now)
{
    const auto leftOut = this->lines.take(now);
    if (!leftOut.has_value()) {
        return false;
    }
    Core::logEvent(Core::LogLevel::Information,
        "repeat.denied",
        {{"request", repeat.request.value()},
            {"service", service.value()},
            {"kind", repeatKindName(repeat.kind)},
            {"value", repeat.value},
            {"threshold", use.threshold},
            {"used", use.repeats},
            {"limit", use.limit},
            {"left_out", leftOut.value()}});
    return true;
}

}
