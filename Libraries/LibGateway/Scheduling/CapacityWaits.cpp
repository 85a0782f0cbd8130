/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/Scheduling/CapacityWaits.h>

#include <LibCore/Log.h>
#include <LibGateway/RequestTrace.h>

namespace Gateway
{

// A wait is logged if it took more than this fraction of the target: 1 / 4.
static constexpr int LoggedTargetDivisor = 4;

static void logWait(const Core::ServiceName &service, const CapacityWait &wait, std::uint64_t omitted)
{
    const auto &waiter = wait.waiter;
    Core::logEvent(Core::LogLevel::Information,
        "capacity.waited",
        {{"request", waiter.trace ? waiter.trace->id.value() : std::string()},
            {"service", service.value()},
            {"workspace", waiter.flow.value()},
            {"outcome", wait.wasSent ? "sent" : "left"},
            {"waited_ms", Core::toMilliseconds(wait.waited)},
            {"target_ms", Core::toMilliseconds(waiter.target)},
            {"in_time", wait.wasInTime ? 1 : 0},
            {"workspace_priority", waiter.urgency.workspace},
            {"route_priority", waiter.urgency.route},
            {"weight", waiter.weight},
            {"ahead", wait.ahead},
            {"declined", wait.declined},
            {"others_waiting", wait.othersWaiting},
            {"others_of_workspace", wait.othersOfFlow},
            {"newest_first", wait.wasOverloaded ? 1 : 0},
            {"omitted", omitted}});
}

bool CapacityWaits::record(const Core::ServiceName &service, const CapacityWait &wait, Core::Instant now)
{
    (wait.wasSent ? this->sentWaits : this->leftWaits).add(wait.waited);
    this->lateWaits += wait.wasInTime ? 0 : 1;
    this->overloadedWaits += wait.wasOverloaded ? 1 : 0;
    const bool isLong = wait.waited > wait.waiter.target / LoggedTargetDivisor;
    if (!isLong) {
        return false;
    }
    const auto omitted = this->lines.take(now);
    if (omitted.has_value()) {
        logWait(service, wait, omitted.value());
    }
    return omitted.has_value();
}

const Metrics::LatencyHistogram &CapacityWaits::sent() const
{
    return this->sentWaits;
}

const Metrics::LatencyHistogram &CapacityWaits::left() const
{
    return this->leftWaits;
}

std::uint64_t CapacityWaits::late() const
{
    return this->lateWaits;
}

std::uint64_t CapacityWaits::overloaded() const
{
    return this->overloadedWaits;
}

}
