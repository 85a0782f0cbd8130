/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibEntry/RegistryRefresher.h>

namespace Entry
{

RegistryRefresher::RegistryRefresher(RegistryRefresherOptions options, BackendTable &table, Probe probe, Core::TimerService &timers)
    : options(options), table(table), probe(std::move(probe)), timers(timers), timer(timers.every(options.period, [this](Core::Instant now) {
        this->run(now);
    }))
{
}

std::uint64_t RegistryRefresher::probesSent() const
{
    return this->sent;
}

bool RegistryRefresher::needsProbe(const Backend &backend, Core::Instant now) const
{
    const bool leaving = backend.announcement.incarnation <= backend.leavingIncarnation;
    const bool dueSoon = now + this->options.probeBeforeExpiry >= backend.leaseEnd;
    const bool withinProbePeriod = now < backend.leaseEnd + this->options.probeAfterExpiry;
    return !leaving && dueSoon && withinProbePeriod && !this->inFlight.contains(backend.id);
}

void RegistryRefresher::run(Core::Instant now)
{
    for (const auto &backend : this->table.rows()) {
        if (this->inFlight.size() >= this->options.maximumInFlight) {
            return;
        }
        if (this->needsProbe(backend, now)) {
            this->sendProbe(backend);
        }
    }
}

void RegistryRefresher::sendProbe(const Backend &backend)
{
    ++this->sent;
    this->inFlight.insert(backend.id);
    const Core::Endpoint endpoint{.address = backend.announcement.address, .port = static_cast<std::uint16_t>(backend.announcement.port)};
    const std::weak_ptr<int> lifetime = this->lifetimeToken;
    this->probe(endpoint, [this, id = backend.id, lifetime](const Core::Result<Protocol::Announcement> &announcement) {
        if (!lifetime.expired()) {
            this->handleReply(id, announcement);
        }
    });
}

void RegistryRefresher::handleReply(BackendId id, const Core::Result<Protocol::Announcement> &announcement)
{
    this->inFlight.erase(id);
    if (!announcement.has_value()) {
        return;
    }
    // Another backend server may use the address now, so a reply is accepted only under the name that was probed.
    const auto &known = this->table.row(id).announcement;
    if (announcement->serviceName != known.serviceName || announcement->replicaName != known.replicaName) {
        return;
    }
    const Core::Instant now = this->timers.now();
    if (this->table.announce(announcement.value(), Core::Duration(0), now) == AnnounceOutcome::Outdated) {
        this->table.recordReply(id, announcement->incarnation, now);
    }
}

}
