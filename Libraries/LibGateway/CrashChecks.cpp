/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/CrashChecks.h>

#include <LibCore/Log.h>
#include <LibGateway/RequestTrace.h>

#include <algorithm>
#include <cerrno>

namespace Gateway
{

// A request that crashes backend servers ends several at once. Its caller retries it within this time, at a gateway that may not know of it yet.
static constexpr Core::Duration EndedConnectionsWindow = Core::seconds(1);
static constexpr int ServersUntilCautious = 3;

CrashChecks::CrashChecks(Core::TimerService &timers, CrashCheckHooks hooks) : timers(timers), hooks(std::move(hooks))
{
}

bool CrashChecks::recordBreak(Backend &backend, const std::shared_ptr<RequestTrace> &trace, AttemptId id)
{
    auto *check = this->checkOf(backend);
    if (check == nullptr) {
        return false;
    }
    ++trace->breaks;
    if (mustAwaitCrashCheck(*trace)) {
        check->attempts.push_back(AwaitingAttempt{.id = id, .trace = trace});
        return true;
    }
    check->traces.push_back(trace);
    return false;
}

CrashChecks::Check *CrashChecks::checkOf(Backend &backend)
{
    if (const auto found = this->checks.find(&backend); found != this->checks.end()) {
        return &found->second;
    }
    const auto connection = this->hooks.openConnection(backend);
    if (!connection) {
        return nullptr;
    }
    connection->connectEnded = [this, &backend](int error) {
        this->end(backend, error == ECONNREFUSED);
    };
    auto &check = this->checks[&backend];
    check.startedAt = this->timers.now();
    check.timeout = this->timers.once(Wire::acknowledgementLimit(this->hooks.expectedRoundTrip(backend)), [this, &backend](Core::Instant) {
        this->end(backend, false);
    });
    return &check;
}

void CrashChecks::end(Backend &backend, bool hasEnded)
{
    const auto ended = this->checks.extract(&backend);
    if (ended.empty()) {
        return;
    }
    const auto &check = ended.mapped();
    if (hasEnded) {
        this->hooks.serverEnded();
        this->endedConnections[backend.name] = this->timers.now();
        for (const auto &trace : check.traces) {
            this->recordCrash(*trace, backend, check.startedAt);
        }
        for (const auto &attempt : check.attempts) {
            this->recordCrash(*attempt.trace, backend, check.startedAt);
        }
    }
    for (const auto &attempt : check.attempts) {
        this->hooks.verified(attempt.id, hasEnded);
    }
}

void CrashChecks::recordCrash(RequestTrace &trace, const Backend &backend, Core::Instant crashedAt) const
{
    ++trace.crashes;
    Core::logEvent(Core::LogLevel::Information,
        "backend.crashed",
        {{"backend", backend.name.value()},
            {"service", backend.service.value()},
            {"request", trace.id.value()},
            {"digest", trace.digest.value()},
            {"crashes", trace.crashes},
            {"answered", trace.answered ? 1 : 0}});
    if (!trace.answered) {
        this->hooks.requestCrashed(trace, backend, crashedAt);
    }
}

void CrashChecks::recordEndedConnection(const Backend &backend)
{
    this->endedConnections[backend.name] = this->timers.now();
}

bool CrashChecks::isChecking(Backend &backend) const
{
    return this->checks.contains(&backend);
}

bool CrashChecks::hasServersEnding() const
{
    const auto since = this->timers.now() - EndedConnectionsWindow;
    const auto count = std::count_if(this->endedConnections.begin(), this->endedConnections.end(), [since](const auto &item) {
        return item.second >= since;
    });
    return count >= ServersUntilCautious;
}

void CrashChecks::removeExpired(Core::Instant now)
{
    std::erase_if(this->endedConnections, [now](const auto &item) {
        return now - item.second > EndedConnectionsWindow;
    });
}

}
