/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/BackendConnector.h>

#include <LibCore/Log.h>

#include <algorithm>
#include <utility>

namespace Gateway
{

// Round trip between availability zones of one region that is assumed until one has been measured.
static constexpr Core::Duration AssumedZoneRoundTrip = Core::milliseconds(2);

BackendConnector::BackendConnector(BackendConnectorOptions options, Core::EventPoll &poll, Core::TimerService &timers, BackendConnectorHooks hooks)
    : options(std::move(options)), poll(poll), timers(timers), hooks(std::move(hooks)), trialPeriod(timers.now())
{
}

void BackendConnector::recordReset()
{
    this->trialPeriod.recordReset(this->timers.now());
}

std::optional<Core::Duration> BackendConnector::connectLimit(const Backend &backend) const
{
    if (!this->options.acceptsPromptly) {
        return std::nullopt;
    }
    return std::min(this->options.connectTimeout, Wire::acknowledgementLimit(this->expectedRoundTrip(backend)));
}

Core::Duration BackendConnector::expectedRoundTrip(const Backend &backend) const
{
    // The measured round trip of this backend server if there is one, else the shortest one to its service.
    const auto nearest = this->hooks.nearestRoundTrip(backend.service);
    return backend.roundTrip.value_or(backend.sameRegion ? std::min(nearest, AssumedZoneRoundTrip) : nearest);
}

std::optional<Core::Duration> BackendConnector::trialMargin(bool reuseAvoided) const
{
    if (!this->options.trial.has_value()) {
        return std::nullopt;
    }
    const auto &trial = this->options.trial.value();
    return reuseAvoided ? trial.margin : this->trialPeriod.marginAt(trial, this->timers.now());
}

ConnectionPointer BackendConnector::open(Backend &backend, bool reuseAvoided)
{
    auto opened = Wire::ClientConnection::create({.endpoint = backend.endpoint,
                                                     .acknowledgementTimeout = this->options.acknowledgementTimeout,
                                                     .connectLimit = this->connectLimit(backend),
                                                     .awaitsAcknowledgement = this->options.awaitsAcknowledgement,
                                                     .trialMargin = this->trialMargin(reuseAvoided),
                                                     .limits = {},
                                                     .receiveBudget = this->options.receiveBudget},
        this->poll,
        this->timers);
    if (!opened.has_value()) {
        Core::logEvent(Core::LogLevel::Warning, "backend.connect_failed", {{"backend", backend.name.value()}, {"reason", opened.error().message}});
        return nullptr;
    }
    const auto &connection = opened.value();
    // NOTE: A backend server is destroyed only once it has no connections, so this reference stays valid as long as the connection exists.
    connection->closed = [this, &backend, raw = connection.get()] {
        this->hooks.closed(backend, raw);
    };
    backend.connections.add(connection);
    this->hooks.opened(backend);
    return connection;
}

ConnectionPointer BackendConnector::connectionFor(Backend &backend, const ReplyKey &key)
{
    // NOTE: Expired connections are closed before one is picked: closing one notifies requests that wait for capacity, which may then use one of the remaining
    // connections.
    closeIdle(backend.connections.expired(this->timers.now()));
    if (auto idle = backend.connections.idleFor(key)) {
        return idle;
    }
    const bool reuseAvoided = backend.connections.hasIdle();
    if (reuseAvoided) {
        this->hooks.keptApart();
        Core::logEvent(Core::LogLevel::Information,
            "connection.kept_apart",
            {{"request", key.value()}, {"backend", backend.name.value()}, {"connections", backend.connections.size()}});
    }
    return this->open(backend, reuseAvoided);
}

}
