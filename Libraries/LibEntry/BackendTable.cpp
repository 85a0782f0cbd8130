/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibEntry/BackendTable.h>

#include <algorithm>
#include <tuple>

namespace Entry
{

BackendTable::BackendTable(BackendTableOptions options) : options(options)
{
}

static bool isLeavingState(Protocol::BackendState::type state)
{
    return state == Protocol::BackendState::DRAINING || state == Protocol::BackendState::STOPPED;
}

BackendId BackendTable::addRow(const Protocol::Announcement &announcement)
{
    const BackendId id(this->table.size());
    Backend backend;
    backend.id = id;
    this->table.push_back(std::move(backend));
    this->byName[Name(announcement.serviceName, announcement.replicaName)] = id;
    this->byService[Core::ServiceName(announcement.serviceName)].push_back(id);
    return id;
}

void BackendTable::applyAnnouncement(Backend &backend, const Protocol::Announcement &announcement, Core::Instant announcedAt)
{
    const bool isNewIncarnation = backend.announcement.incarnation != announcement.incarnation || backend.announcement.serviceName.empty();
    const bool isChange = isNewIncarnation || backend.announcement.state != announcement.state || backend.announcement.snapshots != announcement.snapshots;
    if (isNewIncarnation) {
        // The health of the previous incarnation does not describe the new one. Only the count of requests still in flight stays valid.
        backend.health = BackendHealth{.inFlight = backend.health.inFlight};
    }
    backend.announcement = announcement;
    backend.announcedAt = announcedAt;
    backend.leaseEnd = announcedAt + this->options.lease;
    if (isLeavingState(announcement.state)) {
        backend.leavingIncarnation = std::max(backend.leavingIncarnation, announcement.incarnation);
    }
    if (isChange) {
        ++this->changes;
    }
}

AnnounceOutcome BackendTable::announce(const Protocol::Announcement &announcement, Core::Duration age, Core::Instant now)
{
    if (age >= this->options.lease) {
        return AnnounceOutcome::Expired;
    }
    const auto found = this->byName.find(Name(announcement.serviceName, announcement.replicaName));
    if (found == this->byName.end()) {
        this->applyAnnouncement(this->row(this->addRow(announcement)), announcement, now - age);
        return AnnounceOutcome::Accepted;
    }
    auto &backend = this->row(found->second);
    const auto &known = backend.announcement;
    if (isLeavingState(announcement.state)) {
        // An incarnation that started to leave never serves again, even if its announcements arrive out of order.
        this->markLeaving(backend.id, announcement.incarnation);
    }
    if (std::tie(announcement.incarnation, announcement.sequence) <= std::tie(known.incarnation, known.sequence)) {
        return AnnounceOutcome::Outdated;
    }
    const bool otherAddress = announcement.address != known.address || announcement.port != known.port;
    // Another address may take over a name only after its holder has left, its lease has expired, or it has not replied to this instance for a lease.
    if (otherAddress && this->isUsable(backend, now) && backend.health.lastReply + this->options.lease > now) {
        return AnnounceOutcome::NameTaken;
    }
    this->applyAnnouncement(backend, announcement, now - age);
    return AnnounceOutcome::Accepted;
}

void BackendTable::markLeaving(BackendId id, std::int64_t incarnation)
{
    auto &backend = this->row(id);
    if (backend.leavingIncarnation < incarnation) {
        backend.leavingIncarnation = incarnation;
        ++this->changes;
    }
}

void BackendTable::recordReply(BackendId id, std::int64_t incarnation, Core::Instant now)
{
    auto &backend = this->row(id);
    if (backend.announcement.incarnation != incarnation) {
        return;
    }
    backend.health.lastReply = now;
    backend.leaseEnd = std::max(backend.leaseEnd, now + this->options.lease);
}

bool BackendTable::isUsable(const Backend &backend, Core::Instant now) const
{
    const auto &announcement = backend.announcement;
    const bool leaving = announcement.incarnation <= backend.leavingIncarnation;
    return announcement.state == Protocol::BackendState::SERVING && !leaving && now < backend.leaseEnd;
}

const std::vector<BackendId> &BackendTable::ofService(const Core::ServiceName &service) const
{
    static const std::vector<BackendId> none;
    const auto found = this->byService.find(service);
    return found == this->byService.end() ? none : found->second;
}

Backend &BackendTable::row(BackendId id)
{
    return this->table.at(id.value());
}

const Backend &BackendTable::row(BackendId id) const
{
    return this->table.at(id.value());
}

std::size_t BackendTable::size() const
{
    return this->byName.size();
}

const std::vector<Backend> &BackendTable::rows() const
{
    return this->table;
}

void BackendTable::removeSilent(Core::Instant now)
{
    // FIXME: Rows without a name stay in `table`, about 400 bytes each. Reuse a row once no request in flight refers to it.
    std::erase_if(this->byName, [this, now](const auto &item) {
        const auto &backend = this->row(item.second);
        if (now - backend.leaseEnd < this->options.retention) {
            return false;
        }
        auto &rows = this->byService[Core::ServiceName(item.first.first)];
        std::erase(rows, item.second);
        ++this->changes;
        return true;
    });
}

std::uint64_t BackendTable::generation() const
{
    return this->changes;
}

const BackendTableOptions &BackendTable::tableOptions() const
{
    return this->options;
}

}
