/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibCoordinator/WatchService.h>

#include <algorithm>

namespace Coordinator
{

// Urgent changes within this time are sent in one update. It is far below the seconds within which such a change has to take effect.
static constexpr Core::Duration UrgentNotificationDelay = Core::milliseconds(5);
// Other changes, such as arrivals, are sent in one update after this time, since no request waits for them. When hundreds of gateways start at the same
// moment, each of them is an update for all others; with one update for each, a hundred watchers keep a coordinator busy for as long as gateways arrive.
static constexpr Core::Duration ArrivalNotificationDelay = Core::milliseconds(100);
// Crash records in one reply; a watcher that lacks more receives the rest with its next watch request.
static constexpr std::size_t CrashRecordsPerReply = 128;
static constexpr Core::Duration TimeoutCheckPeriod = Core::milliseconds(100);
// While contacts are wanted, requests are held for this long. A gateway that joins takes its quota shares over 2 s later, of which the first is for its
// announcement to reach all; in the other one a contact with each gateway, its way to this coordinator and that to the gateway have to follow each other.
static constexpr Core::Duration ContactPeriod = Core::milliseconds(200);
static constexpr Core::Duration ContactSummaryPeriod = Core::milliseconds(50);
// Contacts are wanted for this long after a request for them. The next one follows after ContactPeriod and a round trip, also when one is lost.
static constexpr Core::Duration ContactsWantedTime = Core::seconds(1);
// A direct contact that is older than this is not stated. A gateway that waits has stopped waiting by the time it could matter.
static constexpr Core::Duration MaximumContactAge = Core::seconds(8);
// How long a watch request for a confirmation is held while there is no known leader. An election takes about this long.
static constexpr Core::Duration ConfirmationTimeout = Core::milliseconds(400);

WatchService::WatchService(WatchServiceOptions options,
    DeclarationLog &log,
    const Fleet::BackendRegistry &registry,
    const Fleet::BackendRegistry &gateways,
    const Fleet::CrashLedger &crashes,
    Core::TimerService &timers)
    : options(options), log(log), registry(registry), gateways(gateways), crashes(crashes), timers(timers), lastCheck(timers.now()), checkBefore(timers.now())
{
    this->timeoutTimer = timers.every(TimeoutCheckPeriod, [this](Core::Instant now) {
        if (now - this->lastCheck >= TimeoutCheckPeriod / 2) {
            this->checkBefore = std::exchange(this->lastCheck, now);
        }
        if (this->log.hasKnownLeader()) {
            this->confirmWatchers();
        }
        this->answerTimedOutWatchers();
    });
}

std::size_t WatchService::waitingCount() const
{
    return this->watchers.size();
}

bool WatchService::hasRegistryUpdateFor(const Protocol::WatchRequest &request) const
{
    switch (request.registryInterest) {
    case Protocol::RegistryInterest::EVERYTHING:
        return request.cursor < this->registry.position() || request.gatewayCursor < this->gateways.position();
    case Protocol::RegistryInterest::LEAVERS:
        return request.cursor < this->registry.departurePosition() || request.gatewayCursor < this->gateways.departurePosition();
    default:
        return false;
    }
}

// A coordinator needs every record, since crashes under one request may have been reported to several coordinators. A gateway needs those of suspects only.
static Fleet::CrashRecords selectionFor(const Protocol::WatchRequest &request)
{
    return request.wantsHeard ? Fleet::CrashRecords::All : Fleet::CrashRecords::Shared;
}

bool WatchService::hasCrashesFor(const Protocol::WatchRequest &request) const
{
    return request.wantsCrashes && request.crashCursor < this->crashes.position(selectionFor(request));
}

bool WatchService::hasOrdersFor(const Protocol::WatchRequest &request) const
{
    return request.declarationVersion < this->log.version() || request.evacuationRevision < this->log.evacuations().revision;
}

bool WatchService::hasUpdateFor(const Protocol::WatchRequest &request) const
{
    const bool isOtherIncarnation = request.coordinatorIncarnation != this->options.incarnation;
    return isOtherIncarnation || this->hasRegistryUpdateFor(request) || this->hasCrashesFor(request) || this->hasOrdersFor(request);
}

// Whether an update has to be sent without the delay for arrivals. All changes are urgent for other coordinators, since they have to reach the watchers of
// every coordinator, and for a watcher that has not received the registry from this incarnation yet.
bool WatchService::hasUrgentUpdateFor(const Protocol::WatchRequest &request) const
{
    const bool lacksBackends = request.cursor == 0 && this->registry.position() > 0;
    const bool lacksGateways = request.gatewayCursor == 0 && this->gateways.position() > 0;
    if (request.wantsHeard || lacksBackends || lacksGateways || request.coordinatorIncarnation != this->options.incarnation) {
        return this->hasUpdateFor(request);
    }
    const bool wantsDepartures = request.registryInterest != Protocol::RegistryInterest::NOTHING;
    const bool hasDeparture = request.cursor < this->registry.departurePosition() || request.gatewayCursor < this->gateways.departurePosition();
    return (wantsDepartures && hasDeparture) || this->hasOrdersFor(request);
}

void WatchService::watch(const Protocol::WatchRequest &request, const std::function<void(const Protocol::WatchReply &reply)> &done)
{
    const auto now = this->timers.now();
    WaitingWatcher watcher{.request = request, .done = done, .receivedAt = now, .deadline = now + this->options.longPollTimeout};
    if (request.__isset.maximumHoldMs) {
        watcher.deadline = std::min(watcher.deadline, now + Core::milliseconds(std::max(0, request.maximumHoldMs)));
    }
    if (request.wantsContacts) {
        this->contactsExchangedUntil = now + ContactsWantedTime;
        this->contactsWantedUntil = request.wantsHeard ? this->contactsWantedUntil : now + ContactsWantedTime;
    }
    if (request.confirm) {
        // Without a known leader the request is held for a while, so that the watcher does not repeat it without a pause.
        watcher.deadline = std::min(watcher.deadline, this->timers.now() + ConfirmationTimeout);
        this->confirmWatcher(std::move(watcher));
        return;
    }
    if (this->hasUrgentUpdateFor(request)) {
        this->answerWatcher(watcher, false);
        return;
    }
    if (this->hasUpdateFor(request)) {
        this->scheduleArrivalNotification();
    }
    this->watchers.push_back(std::move(watcher));
}

void WatchService::confirmWatcher(WaitingWatcher watcher)
{
    const std::weak_ptr<int> weak = this->alive;
    this->log.confirm([this, weak, watcher = std::move(watcher)](bool confirmed) {
        if (weak.expired()) {
            return;
        }
        if (confirmed || this->hasUrgentUpdateFor(watcher.request)) {
            this->answerWatcher(watcher, confirmed);
        } else {
            this->watchers.push_back(watcher);
        }
    });
}

// Tries again to confirm the held requests for a confirmation, which may succeed once this coordinator has a known leader.
void WatchService::confirmWatchers()
{
    std::list<WaitingWatcher> unconfirmed;
    for (auto next = this->watchers.begin(); next != this->watchers.end();) {
        const auto current = next++;
        if (current->request.confirm) {
            unconfirmed.splice(unconfirmed.end(), this->watchers, current);
        }
    }
    for (auto &watcher : unconfirmed) {
        this->confirmWatcher(std::move(watcher));
    }
}

std::vector<std::string> WatchService::receivedHeartbeatsFor(const std::string &watcher)
{
    const auto since = std::exchange(this->heartbeatsReportedUntil[watcher], this->timers.now());
    auto heard = this->registry.mergedSince(since);
    const auto gatewayIds = this->gateways.mergedSince(since);
    heard.insert(heard.end(), gatewayIds.begin(), gatewayIds.end());
    return heard;
}

void WatchService::addRegistry(Protocol::WatchReply &reply, const Protocol::WatchRequest &request) const
{
    const bool isSameIncarnation = request.coordinatorIncarnation == this->options.incarnation;
    reply.cursor = isSameIncarnation ? request.cursor : 0;
    reply.gatewayCursor = isSameIncarnation ? request.gatewayCursor : 0;
    if (request.registryInterest == Protocol::RegistryInterest::NOTHING) {
        return;
    }
    const auto now = this->timers.now();
    const bool everything = request.registryInterest == Protocol::RegistryInterest::EVERYTHING;
    reply.changed = everything ? this->registry.changedSince(reply.cursor, now) : this->registry.departuresSince(reply.cursor, now);
    reply.cursor = this->registry.position();
    reply.changedGateways = everything ? this->gateways.changedSince(reply.gatewayCursor, now) : this->gateways.departuresSince(reply.gatewayCursor, now);
    reply.gatewayCursor = this->gateways.position();
}

void WatchService::addCrashes(Protocol::WatchReply &reply, const Protocol::WatchRequest &request) const
{
    reply.crashCursor = request.coordinatorIncarnation == this->options.incarnation ? request.crashCursor : 0;
    if (!request.wantsCrashes) {
        return;
    }
    const auto selection = selectionFor(request);
    reply.crashes = this->crashes.changedSince(reply.crashCursor, selection, this->timers.now(), CrashRecordsPerReply);
    reply.crashCursor = this->crashes.positionAfter(reply.crashCursor, selection, CrashRecordsPerReply);
}

// ---- Contacts

bool WatchService::provesCurrentList(const Protocol::WatchRequest &request) const
{
    const bool isSameIncarnation = request.coordinatorIncarnation == this->options.incarnation;
    const bool hasEverything = request.registryInterest == Protocol::RegistryInterest::EVERYTHING && request.gatewayCursor == this->gateways.position();
    return request.__isset.gateway && isSameIncarnation && hasEverything;
}

Core::Instant WatchService::earliestArrival() const
{
    return this->checkBefore;
}

bool WatchService::areContactsWanted() const
{
    return this->timers.now() < this->contactsWantedUntil;
}

bool WatchService::isDueForContacts(const WaitingWatcher &watcher) const
{
    const auto now = this->timers.now();
    const bool hasContact = watcher.request.wantsHeard || watcher.request.registryInterest == Protocol::RegistryInterest::EVERYTHING;
    return now < this->contactsExchangedUntil && hasContact && now - watcher.receivedAt >= ContactPeriod;
}

// Rounds up, so that no contact looks more recent than it was.
static std::int32_t ageAt(Core::Instant now, Core::Instant time)
{
    return static_cast<std::int32_t>(std::chrono::ceil<Core::milliseconds>(std::max(Core::Duration(0), now - time)).count());
}

std::map<std::string, std::int32_t> WatchService::directContactAges(Core::Instant synced) const
{
    const auto now = this->timers.now();
    std::map<std::string, std::int32_t> ages;
    for (const auto *record : this->gateways.readyRecords()) {
        const auto &contact = record->lastDirectContact;
        if (contact.has_value() && now - contact.value() < MaximumContactAge) {
            ages[record->announcement.id] = ageAt(now, std::min(contact.value(), synced));
        }
    }
    return ages;
}

void WatchService::addContacts(Protocol::WatchReply &reply, const WaitingWatcher &watcher)
{
    const auto now = this->timers.now();
    if (now >= this->contactsExchangedUntil) {
        return;
    }
    const auto &request = watcher.request;
    if (request.wantsHeard || request.wantsContacts) {
        reply.__set_heldMs(static_cast<std::int32_t>(Core::toMilliseconds(now - watcher.receivedAt)));
    }
    if (!request.wantsContacts) {
        return;
    }
    if (request.wantsHeard) {
        const auto synced = this->syncedWith ? this->syncedWith(request.watcherAddress) : std::nullopt;
        if (synced.has_value()) {
            reply.__set_contactAgesMs(this->directContactAges(synced.value()));
        }
        return;
    }
    if (!this->knowsAllGateways || !this->knowsAllGateways()) {
        return;
    }
    // Summarised at most once in a period, since when all gateways start at the same moment, all of them want contacts while the list changes all the time.
    if (this->contacts.ageAt(now) >= ContactSummaryPeriod) {
        this->contacts = Fleet::ContactSummary(this->gateways, now);
    }
    const auto oldest = this->contacts.oldestExcept(request.gateway.address);
    if (oldest.has_value() && this->contacts.isOf(this->gateways)) {
        reply.__set_oldestContactAgeMs(ageAt(now, oldest.value()));
    }
}

void WatchService::addDeclaration(Protocol::WatchReply &reply, std::int64_t knownVersion)
{
    const auto *delta = this->log.deltaFrom(knownVersion);
    if (delta != nullptr && delta->size() < this->log.compressed().size()) {
        reply.__set_declarationDelta(*delta);
    } else {
        reply.__set_declaration(this->log.compressed());
    }
}

void WatchService::answerWatcher(const WaitingWatcher &watcher, bool confirmed)
{
    const auto &request = watcher.request;
    Protocol::WatchReply reply;
    reply.coordinatorIncarnation = this->options.incarnation;
    this->addRegistry(reply, request);
    this->addCrashes(reply, request);
    if (request.wantsHeard) {
        reply.heard = this->receivedHeartbeatsFor(request.watcherName);
        reply.__set_hasAllGateways(this->hasAllGateways && this->hasAllGateways());
    }
    reply.declarationVersion = this->log.version();
    if (request.wantsDeclaration && reply.declarationVersion > request.declarationVersion) {
        this->addDeclaration(reply, request.declarationVersion);
    }
    // A confirmed reply also corrects a watcher that holds a revision which was never committed.
    const auto revision = this->log.evacuations().revision;
    if (request.evacuationRevision < revision || (confirmed && request.evacuationRevision != revision)) {
        reply.__set_evacuations(this->log.evacuations());
    }
    reply.__set_isRegistryConfirmed(this->isRegistryConfirmed && this->isRegistryConfirmed());
    if (request.__isset.maximumHoldMs) {
        reply.__set_heldMs(static_cast<std::int32_t>(Core::toMilliseconds(this->timers.now() - watcher.receivedAt)));
    }
    this->addContacts(reply, watcher);
    reply.confirmed = confirmed;
    const auto *replicated = this->log.log();
    if (replicated != nullptr) {
        reply.hasLeader = replicated->leader() != nullptr;
        for (const auto &member : replicated->membership().members) {
            Protocol::CoordinatorPlace place;
            place.address = member.entryAddress;
            place.zone = member.zone;
            reply.coordinators.push_back(std::move(place));
        }
    }
    watcher.done(reply);
}

void WatchService::scheduleNotification()
{
    if (this->notificationTimer.isActive()) {
        return;
    }
    this->notificationTimer = this->timers.once(UrgentNotificationDelay, [this](Core::Instant) {
        this->notifyWatchers();
    });
}

void WatchService::scheduleArrivalNotification()
{
    if (this->arrivalTimer.isActive()) {
        return;
    }
    this->arrivalTimer = this->timers.once(ArrivalNotificationDelay, [this](Core::Instant) {
        this->answerWhere([this](const WaitingWatcher &watcher) {
            return this->hasUpdateFor(watcher.request);
        });
    });
}

void WatchService::notifyWatchers()
{
    this->answerWhere([this](const WaitingWatcher &watcher) {
        return this->hasUrgentUpdateFor(watcher.request);
    });
    const bool othersHaveUpdate = std::any_of(this->watchers.begin(), this->watchers.end(), [this](const WaitingWatcher &watcher) {
        return this->hasUpdateFor(watcher.request);
    });
    if (othersHaveUpdate) {
        this->scheduleArrivalNotification();
    }
}

void WatchService::answerAll()
{
    this->answerWhere([](const WaitingWatcher &) {
        return true;
    });
}

void WatchService::answerTimedOutWatchers()
{
    this->answerWhere([this, now = this->timers.now()](const WaitingWatcher &watcher) {
        return watcher.deadline <= now || this->isDueForContacts(watcher);
    });
}

void WatchService::answerWhere(const std::function<bool(const WaitingWatcher &watcher)> &condition)
{
    std::list<WaitingWatcher> ready;
    for (auto next = this->watchers.begin(); next != this->watchers.end();) {
        const auto current = next++;
        if (condition(*current)) {
            ready.splice(ready.end(), this->watchers, current);
        }
    }
    for (const auto &watcher : ready) {
        this->answerWatcher(watcher, false);
    }
}

}
