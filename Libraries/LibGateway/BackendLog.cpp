/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/BackendLog.h>

#include <LibCore/Log.h>
#include <LibGateway/BackendChoice.h>
#include <LibGateway/RequestTrace.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace Gateway
{

void logBroken(const Attempt &attempt, const std::string &reason, Core::Instant now)
{
    Core::logEvent(Core::LogLevel::Information,
        "attempt.broken",
        {{"request", attempt.trace ? attempt.trace->id.value() : std::string()},
            {"digest", attempt.trace ? attempt.trace->digest.value() : std::string()},
            {"backend", attempt.backend->name.value()},
            {"service", attempt.backend->service.value()},
            {"after_ms", Core::toMilliseconds(now - attempt.startedAt)},
            {"reason", reason}});
}

void logAvoidance(const Backend &backend, const std::string &reason, Core::Instant now)
{
    Core::logEvent(Core::LogLevel::Information,
        "backend.avoided",
        {{"backend", backend.name.value()},
            {"service", backend.service.value()},
            {"failures", backend.health.consecutiveFailures()},
            {"for_ms", Core::toMilliseconds(backend.health.avoidedUntil() - now)},
            {"reason", reason}});
}

void logAcceptanceChange(const Backend &backend, const AcceptanceChange &change, std::uint64_t omitted)
{
    Core::logEvent(Core::LogLevel::Information,
        "backend.acceptance_changed",
        {{"backend", backend.name.value()},
            {"service", backend.service.value()},
            {"share", change.share},
            {"evidence", change.evidence},
            {"remote_evidence", change.remoteEvidence},
            {"source", change.source},
            {"age_ms", Core::toMilliseconds(change.age)},
            {"omitted", omitted}});
}

void logDeparture(const Backend &backend, const Protocol::BackendAnnouncement &announcement)
{
    Core::logEvent(Core::LogLevel::Information,
        "backend.departed",
        {{"backend", backend.name.value()},
            {"service", backend.service.value()},
            {"phase", static_cast<int>(announcement.phase)},
            {"born", announcement.born}});
}

static const char *nameOf(SpeedChangeKind kind)
{
    switch (kind) {
    case SpeedChangeKind::Lasting:
        return "lasting";
    case SpeedChangeKind::Slowdown:
        return "slowdown";
    case SpeedChangeKind::Pause:
        return "pause";
    }
    return "";
}

void logSpeedChange(const Backend &backend, const SpeedChange &change, std::uint64_t omitted)
{
    Core::logEvent(Core::LogLevel::Information,
        "backend.speed_changed",
        {{"backend", backend.name.value()},
            {"service", backend.service.value()},
            {"kind", nameOf(change.kind)},
            {"factor", change.factor},
            {"samples", change.samples},
            {"age_ms", Core::toMilliseconds(change.age)},
            {"omitted", omitted}});
}

nlohmann::json describeBackend(const Backend &backend, bool isEvacuated, Core::Instant now)
{
    return {{"backend", backend.name.value()},
        {"service", backend.service.value()},
        {"address", backend.endpoint.toString()},
        {"phase", static_cast<int>(backend.phase)},
        {"evacuated", isEvacuated},
        {"cold_ms", Core::toMilliseconds(std::max(Core::Duration(0), backend.warmUntil - now))},
        {"born", backend.born},
        {"connections", backend.connections.size()},
        {"in_flight", backend.inFlight.size()},
        {"trouble_rate", backend.health.failureRate(now)},
        {"acceptance", 1.0 - BackendChoice::refusedShare(backend, now)},
        {"slowness", backend.health.observedFactor(now)},
        {"avoided_ms", Core::toMilliseconds(std::max(Core::Duration(0), backend.health.avoidedUntil() - now))},
        {"failures", backend.health.consecutiveFailures()}};
}

}
