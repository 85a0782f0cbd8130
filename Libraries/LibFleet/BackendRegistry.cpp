/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibFleet/BackendRegistry.h>

#include <algorithm>
#include <string_view>
#include <unordered_set>
#include <utility>

namespace Fleet
{

using Protocol::BackendAnnouncement;
using Protocol::BackendPhase;

BackendRegistry::BackendRegistry(RegistryOptions options) : options(options)
{
}

// Whether two announcements differ in a field that watchers act on. A higher sequence alone only shows that the backend server still runs.
static bool hasVisibleDifference(const BackendAnnouncement &held, const BackendAnnouncement &incoming)
{
    return held.phase != incoming.phase || held.address != incoming.address || held.serviceName != incoming.serviceName || held.slots != incoming.slots;
}

bool isDeparture(const BackendAnnouncement &announcement)
{
    return announcement.phase == BackendPhase::DRAINING || announcement.phase == BackendPhase::GONE;
}

// The order in which phases follow each other. SILENT has the rank of READY, since a later heartbeat makes a silent backend server ready again.
static int rankOf(BackendPhase::type phase)
{
    return phase == BackendPhase::SILENT ? static_cast<int>(BackendPhase::READY) : static_cast<int>(phase);
}

// Whether an announcement is a deregistration that does not name the incarnation that it ends.
static bool isDeregistrationWithoutIncarnation(const BackendAnnouncement &announcement)
{
    return announcement.born == 0 && announcement.phase == BackendPhase::GONE;
}

bool BackendRegistry::isCurrent(const BackendRecord &record, const BackendAnnouncement &announcement)
{
    const auto &held = record.announcement;
    if (announcement.born > held.born) {
        // Rule G6: A later incarnation replaces the earlier one, whatever phase the earlier one was in.
        return true;
    }
    if (announcement.born < held.born && !isDeregistrationWithoutIncarnation(announcement)) {
        // Rule G6: A late announcement of an earlier incarnation changes nothing.
        return false;
    }
    // Rule G7: A backend server does not change its service within one incarnation, so an announcement that names another service was made by another process.
    const bool isForeign = !announcement.serviceName.empty() && !held.serviceName.empty() && announcement.serviceName != held.serviceName;
    // Rule G1: A phase never goes back, however high the sequence of the announcement is.
    const bool goesBack = rankOf(announcement.phase) < rankOf(held.phase);
    // Rule G2: Within one phase the announcement with the higher sequence prevails.
    const bool samePhase = rankOf(announcement.phase) == rankOf(held.phase);
    // An unconfirmed record may be confirmed by the announcement that was stored, as another coordinator received it.
    const bool isOlder = announcement.sequence < held.sequence || (announcement.sequence == held.sequence && !record.confirmBy.has_value());
    const bool outdated = samePhase && isOlder;
    return !isForeign && !goesBack && !outdated;
}

bool BackendRegistry::mergeHeartbeat(const BackendAnnouncement &heartbeat, Core::Instant now)
{
    const auto found = this->records.find(heartbeat.id);
    const bool mayBeLate = found != this->records.end() && now < found->second.discardHeartbeatsUntil.value_or(now);
    return !mayBeLate && this->merge(heartbeat, now);
}

bool BackendRegistry::merge(const BackendAnnouncement &announcement, Core::Instant now)
{
    return announcement.isRestored ? this->restore(announcement, now) : this->apply(announcement, now, {});
}

bool BackendRegistry::apply(const BackendAnnouncement &announcement, Core::Instant now, const Restoration &restoration)
{
    const auto [position, isNew] = this->records.try_emplace(announcement.id);
    auto &record = position->second;
    if (!isNew && !isCurrent(record, announcement)) {
        return false;
    }
    const bool isNewIncarnation = !isNew && announcement.born > record.announcement.born;
    if (isNewIncarnation) {
        this->setConfirmBy(record, std::nullopt);
        // Everything recorded of the earlier incarnation is reset, except the position of its change, by which the record stands in byChange.
        record = BackendRecord{.announcement = {},
            .discardHeartbeatsUntil = {},
            .confirmBy = {},
            .lastContact = {},
            .lastDirectContact = {},
            .readySince = {},
            .isEstablished = false,
            .changePosition = record.changePosition};
    }
    const bool wasReady = !isNew && !isNewIncarnation && record.announcement.phase == BackendPhase::READY;
    if (!wasReady || announcement.phase != BackendPhase::READY) {
        record.readySince = now;
        record.isEstablished = restoration.isEstablished;
    }
    const auto warmUntil = now + Core::milliseconds(announcement.warmupLeftMs);
    const bool turnedCold = warmUntil > std::max(now, record.warmUntil) + this->options.warmupChangeThreshold;
    const bool isConfirmed = !isNew && record.confirmBy.has_value() && !restoration.confirmBy.has_value() && this->options.notifiesOfConfirmation;
    const bool hasUpdate = isNew || isNewIncarnation || turnedCold || isConfirmed || hasVisibleDifference(record.announcement, announcement);
    const bool hasAddress = !announcement.address.empty();
    const auto sequence = std::max(record.announcement.sequence, announcement.sequence);
    const auto born = std::max(record.announcement.born, announcement.born);
    if (isNew || isNewIncarnation || hasAddress) {
        record.announcement = announcement;
    }
    record.announcement.phase = announcement.phase;
    record.announcement.sequence = sequence;
    record.announcement.born = born;
    if (isNew && isDeregistrationWithoutIncarnation(announcement)) {
        record.discardHeartbeatsUntil = now + this->options.lateHeartbeatWindow;
    }
    record.warmUntil = warmUntil;
    record.lastHeartbeat = now;
    record.lastMerged = now;
    this->setConfirmBy(record, restoration.confirmBy);
    if (hasUpdate) {
        this->recordChange(record);
    }
    return hasUpdate;
}

bool BackendRegistry::markGone(const std::string &id, Core::Instant now, std::int64_t born)
{
    // Rule G3: The deregistration of an unknown id is recorded as well, since heartbeats of that backend server may still arrive.
    BackendAnnouncement deregistration;
    deregistration.id = id;
    deregistration.born = born;
    deregistration.phase = BackendPhase::GONE;
    deregistration.sequence = INT64_MAX;
    return this->merge(deregistration, now);
}

void BackendRegistry::recordRemoteHeartbeat(const std::string &id, Core::Instant now)
{
    const auto found = this->records.find(id);
    if (found != this->records.end()) {
        found->second.lastHeartbeat = now;
        const bool wasUnconfirmed = found->second.confirmBy.has_value();
        this->setConfirmBy(found->second, std::nullopt);
        if (wasUnconfirmed && this->options.notifiesOfConfirmation) {
            this->recordChange(found->second);
        }
    }
}

void BackendRegistry::recordDirectContact(const std::string &id, Core::Instant time)
{
    this->recordContact(id, time);
    if (const auto found = this->records.find(id); found != this->records.end()) {
        auto &latest = found->second.lastDirectContact;
        latest = std::max(latest, std::optional(time));
    }
}

void BackendRegistry::recordContact(const std::string &id, Core::Instant time)
{
    if (const auto found = this->records.find(id); found != this->records.end()) {
        auto &latest = found->second.lastContact;
        latest = std::max(latest, std::optional(time));
    }
}

std::vector<std::string> BackendRegistry::mergedSince(Core::Instant time) const
{
    std::vector<std::string> ids;
    for (const auto &[id, record] : this->records) {
        const bool wasHeard = record.lastMerged > time && !record.confirmBy.has_value();
        if (wasHeard && record.announcement.phase != BackendPhase::GONE) {
            ids.push_back(id);
        }
    }
    return ids;
}

std::vector<const BackendAnnouncement *> BackendRegistry::ready() const
{
    std::vector<const BackendAnnouncement *> rows;
    for (const auto &[id, record] : this->records) {
        if (record.announcement.phase == BackendPhase::READY) {
            rows.push_back(&record.announcement);
        }
    }
    return rows;
}

std::vector<const BackendRecord *> BackendRegistry::readyRecords() const
{
    std::vector<const BackendRecord *> rows;
    for (const auto &[id, record] : this->records) {
        if (record.announcement.phase == BackendPhase::READY) {
            rows.push_back(&record);
        }
    }
    return rows;
}

int BackendRegistry::readyCount() const
{
    return static_cast<int>(std::count_if(this->records.begin(), this->records.end(), [](const auto &item) {
        return item.second.announcement.phase == BackendPhase::READY;
    }));
}

int BackendRegistry::presentCount() const
{
    std::unordered_set<std::string_view> addresses;
    for (const auto &[id, record] : this->records) {
        const auto phase = record.announcement.phase;
        if (phase == BackendPhase::READY || phase == BackendPhase::SILENT) {
            addresses.insert(record.announcement.address);
        }
    }
    return static_cast<int>(addresses.size());
}

std::size_t BackendRegistry::expire(Core::Instant now, Core::Duration heartbeatTimeout)
{
    std::vector<BackendAnnouncement> silent;
    for (const auto &[id, record] : this->records) {
        const auto phase = record.announcement.phase;
        const bool expires = phase == BackendPhase::READY || phase == BackendPhase::DRAINING;
        if (expires && now - record.lastHeartbeat >= heartbeatTimeout) {
            silent.push_back(record.announcement);
        }
    }
    for (auto &announcement : silent) {
        if (announcement.phase == BackendPhase::DRAINING) {
            this->markGone(announcement.id, now);
            continue;
        }
        this->markSilent(std::move(announcement), now);
    }
    return silent.size();
}

void BackendRegistry::markSilent(BackendAnnouncement announcement, Core::Instant now)
{
    announcement.phase = BackendPhase::SILENT;
    ++announcement.sequence;
    this->merge(announcement, now);
}

bool BackendRegistry::restore(const BackendAnnouncement &announcement, Core::Instant now)
{
    auto stored = announcement;
    stored.__isset.isRestored = stored.__isset.isEstablished = false;
    stored.isRestored = stored.isEstablished = false;
    if (isDeparture(stored)) {
        return this->merge(stored, now);
    }
    if (const auto found = this->records.find(stored.id); found != this->records.end() && found->second.announcement.born >= stored.born) {
        auto &record = found->second;
        record.isEstablished = record.isEstablished || (announcement.isEstablished && record.confirmBy.has_value());
        return false;
    }
    return this->apply(stored, now, {.confirmBy = now + this->options.unconfirmedTimeout, .isEstablished = announcement.isEstablished});
}

std::size_t BackendRegistry::expireUnconfirmed(Core::Instant now)
{
    std::vector<BackendAnnouncement> unconfirmed;
    for (const auto &[id, record] : this->records) {
        if (record.confirmBy.has_value() && now >= record.confirmBy.value()) {
            unconfirmed.push_back(record.announcement);
        }
    }
    for (const auto &announcement : unconfirmed) {
        this->markSilent(announcement, now);
    }
    return unconfirmed.size();
}

std::size_t BackendRegistry::unconfirmedCount() const
{
    return this->unconfirmed;
}

std::vector<BackendAnnouncement> BackendRegistry::establish(Core::Instant now, Core::Duration time)
{
    std::vector<BackendAnnouncement> established;
    for (auto &[id, record] : this->records) {
        const bool isReady = record.announcement.phase == BackendPhase::READY;
        if (isReady && !record.isEstablished && now - record.readySince >= time) {
            record.isEstablished = true;
            established.push_back(record.announcement);
        }
    }
    return established;
}

void BackendRegistry::restartHeartbeatTimeouts(Core::Instant now)
{
    for (auto &[id, record] : this->records) {
        record.lastHeartbeat = now;
    }
}

void BackendRegistry::forget(Core::Instant now)
{
    std::erase_if(this->records, [this, now](const auto &item) {
        const auto &record = item.second;
        const bool hasEnded = record.announcement.phase == BackendPhase::GONE || record.announcement.phase == BackendPhase::SILENT;
        const bool isOver = hasEnded && now - record.lastHeartbeat >= this->options.retention;
        if (isOver) {
            this->unconfirmed -= record.confirmBy.has_value() ? 1 : 0;
            this->byChange.erase(record.changePosition);
            if (this->forgotten) {
                this->forgotten(item.first);
            }
        }
        return isOver;
    });
}

const BackendRecord *BackendRegistry::find(const std::string &id) const
{
    const auto found = this->records.find(id);
    return found == this->records.end() ? nullptr : &found->second;
}

std::vector<BackendAnnouncement> BackendRegistry::changedSince(std::int64_t position, Core::Instant now) const
{
    std::vector<BackendAnnouncement> changed;
    for (auto next = this->byChange.upper_bound(position); next != this->byChange.end(); ++next) {
        const auto &record = this->records.at(next->second);
        changed.push_back(record.announcement);
        const auto warmupLeft = std::max(Core::Duration(0), record.warmUntil - now);
        changed.back().warmupLeftMs = static_cast<std::int32_t>(Core::toMilliseconds(warmupLeft));
        if (record.confirmBy.has_value()) {
            changed.back().__set_isRestored(true);
            changed.back().__set_isEstablished(record.isEstablished);
        }
    }
    return changed;
}

std::vector<BackendAnnouncement> BackendRegistry::departuresSince(std::int64_t position, Core::Instant now) const
{
    auto departures = this->changedSince(position, now);
    std::erase_if(departures, [](const BackendAnnouncement &announcement) {
        return !isDeparture(announcement);
    });
    return departures;
}

std::int64_t BackendRegistry::departurePosition() const
{
    return this->latestDeparture;
}

std::int64_t BackendRegistry::position() const
{
    return this->changes;
}

std::size_t BackendRegistry::size() const
{
    return this->records.size();
}

void BackendRegistry::setConfirmBy(BackendRecord &record, std::optional<Core::Instant> time)
{
    this->unconfirmed -= record.confirmBy.has_value() ? 1 : 0;
    this->unconfirmed += time.has_value() ? 1 : 0;
    record.confirmBy = time;
}

void BackendRegistry::recordChange(BackendRecord &record)
{
    this->byChange.erase(record.changePosition);
    record.changePosition = ++this->changes;
    this->byChange[record.changePosition] = record.announcement.id;
    if (isDeparture(record.announcement)) {
        this->latestDeparture = record.changePosition;
    }
    if (this->changed) {
        this->changed(record);
    }
}

}
