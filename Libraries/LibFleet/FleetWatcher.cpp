/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibFleet/FleetWatcher.h>

#include <LibCore/Log.h>
#include <LibFleet/TextDelta.h>

#include <algorithm>
#include <functional>
#include <tuple>
#include <utility>

namespace Fleet
{

// The longest declaration text that is accepted.
static constexpr std::size_t MaximumTextBytes = 16 * 1024 * 1024;
// Crashes within this time are reported together, since a request that is spread over many backend servers crashes several at about the same time.
static constexpr Core::Duration CrashReportDelay = Core::milliseconds(10);
// Records in one report, and delay until the next report when there are more. Bounds the reports of a gateway when very many backend servers crash together.
static constexpr std::size_t CrashRecordsPerReport = 64;
static constexpr Core::Duration NextCrashReportDelay = Core::milliseconds(200);

FleetWatcher::FleetWatcher(WatcherOptions options, BackendRegistry &backends, BackendRegistry &gateways, CrashLedger &crashes, Core::TimerService &timers)
    : options(std::move(options)), backends(backends), gateways(gateways), crashes(crashes), timers(timers)
{
}

FleetWatcher::Watched &FleetWatcher::add(const Core::Endpoint &endpoint)
{
    const auto [position, isNew] = this->table.try_emplace(endpoint);
    if (isNew) {
        position->second.endpoint = endpoint;
        position->second.order = std::hash<std::string>{}(this->options.name + endpoint.toString());
        position->second.addedAt = this->timers.now();
        position->second.lastReply = this->timers.now();
    }
    return position->second;
}

void FleetWatcher::addCoordinators(const std::vector<Core::Endpoint> &endpoints)
{
    for (const auto &endpoint : endpoints) {
        if (endpoint != this->options.own) {
            this->add(endpoint);
        }
    }
    this->watchSelected();
}

void FleetWatcher::requestConfirmation()
{
    this->wantsConfirmation = true;
    this->confirmedVersion.reset();
}

bool FleetWatcher::isConfirmed() const
{
    return this->confirmedVersion.has_value() && this->heldVersion() >= this->confirmedVersion.value();
}

bool FleetWatcher::hasReceivedUpdate() const
{
    return this->receivedReply;
}

std::size_t FleetWatcher::reachableCount() const
{
    return static_cast<std::size_t>(std::count_if(this->table.begin(), this->table.end(), [](const auto &item) {
        return item.second.reachable;
    }));
}

std::optional<Core::Instant> FleetWatcher::lastLeaderSync() const
{
    return this->latestLeaderSync;
}

std::optional<Core::Instant> FleetWatcher::registryConfirmedAt() const
{
    return this->latestConfirmedRegistry;
}

const std::optional<ContactStatement> &FleetWatcher::contactStatement() const
{
    return this->latestStatement;
}

std::optional<Core::Instant> FleetWatcher::syncedWith(const std::string &address) const
{
    const auto endpoint = Core::Endpoint::parse(address);
    const auto found = endpoint.has_value() ? this->table.find(endpoint.value()) : this->table.end();
    return found == this->table.end() ? std::nullopt : found->second.syncedAt;
}

std::optional<Core::Instant> FleetWatcher::lastReplyFrom(const std::string &address) const
{
    const auto endpoint = Core::Endpoint::parse(address);
    const auto found = endpoint.has_value() ? this->table.find(endpoint.value()) : this->table.end();
    return found == this->table.end() ? std::nullopt : std::optional(found->second.lastReply);
}

bool FleetWatcher::hasReachableRegistries() const
{
    const bool haveAll = std::all_of(this->table.begin(), this->table.end(), [](const auto &item) {
        return item.second.failing || (item.second.reachable && item.second.receivedEverything);
    });
    return haveAll && (this->table.empty() || this->reachableCount() > 0);
}

bool FleetWatcher::hasReceivedAllGateways() const
{
    return std::any_of(this->table.begin(), this->table.end(), [](const auto &item) {
        return item.second.reachable && item.second.receivedEverything && item.second.hasAllGateways;
    });
}

std::vector<Core::Endpoint> FleetWatcher::coordinators() const
{
    std::vector<Core::Endpoint> endpoints;
    for (const auto &[endpoint, watched] : this->table) {
        endpoints.push_back(endpoint);
    }
    return endpoints;
}

std::int64_t FleetWatcher::heldVersion() const
{
    return this->knownVersion ? this->knownVersion().value() : -1;
}

int FleetWatcher::distanceOf(const Watched &watched) const
{
    if (watched.zone.empty()) {
        return 2;
    }
    if (watched.zone == this->options.zone) {
        return 0;
    }
    return inSameRegion(this->options.regions, this->options.zone, watched.zone) ? 1 : 2;
}

// All coordinators, in the order in which they are preferred: working ones before failing ones, then those with a known leader, then those at a shorter
// distance. Watchers order equal coordinators differently, so that they spread over them.
std::vector<FleetWatcher::Watched *> FleetWatcher::ranked()
{
    const auto now = this->timers.now();
    const auto rank = [this, now](const Watched &watched) {
        const bool withoutLeader = !watched.hasLeader;
        const bool unanswered = !watched.reachable && now - watched.addedAt >= this->options.crossRegionDelay;
        return std::tuple(watched.failing, unanswered, withoutLeader, this->distanceOf(watched), watched.order);
    };
    std::vector<Watched *> rows;
    for (auto &[endpoint, watched] : this->table) {
        rows.push_back(&watched);
    }
    std::sort(rows.begin(), rows.end(), [&rank](const Watched *left, const Watched *right) {
        return rank(*left) < rank(*right);
    });
    return rows;
}

std::vector<FleetWatcher::Watched *> FleetWatcher::selected()
{
    auto rows = this->ranked();
    if (rows.size() > this->options.maximumWatched) {
        rows.resize(this->options.maximumWatched);
    }
    return rows;
}

// The first coordinator sends all changes of the registry and the other selected ones send departures only. A coordinator that is not
// selected sends no changes, since its bytes would be the same again.
Protocol::RegistryInterest::type FleetWatcher::interestIn(const Watched &watched)
{
    using Protocol::RegistryInterest;
    if (this->options.wantsHeard) {
        return RegistryInterest::EVERYTHING;
    }
    const auto rows = this->ranked();
    // The zones of the coordinators are unknown until one of them has replied, so this coordinator may be in another region.
    const bool mayBeInOtherRegion = rows.size() > 1 && watched.zone.empty() && this->timers.now() - watched.addedAt < this->options.crossRegionDelay;
    if (mayBeInOtherRegion) {
        return RegistryInterest::NOTHING;
    }
    if (rows.front() == &watched) {
        return RegistryInterest::EVERYTHING;
    }
    const auto end = rows.begin() + static_cast<std::ptrdiff_t>(std::min(rows.size(), this->options.maximumWatched));
    return std::find(rows.begin(), end, &watched) != end ? RegistryInterest::LEAVERS : RegistryInterest::NOTHING;
}

void FleetWatcher::watchSelected()
{
    for (auto *watched : this->selected()) {
        const bool isPartial = watched->inFlight && watched->requestedInterest != Protocol::RegistryInterest::EVERYTHING;
        if (isPartial && this->interestIn(*watched) == Protocol::RegistryInterest::EVERYTHING) {
            // This coordinator is now the first one, since the previous one failed. It may hold the request in flight for long, so that request is
            // abandoned and the whole registry is requested at once.
            abandonRequest(*watched);
        }
        if (!watched->retry.isActive()) {
            this->sendRequest(*watched);
        }
    }
}

Protocol::WatchRequest FleetWatcher::makeRequest(Watched &watched)
{
    Protocol::WatchRequest request;
    request.watcherName = this->options.name;
    request.coordinatorIncarnation = watched.incarnation;
    request.cursor = watched.cursor;
    request.gatewayCursor = watched.gatewayCursor;
    request.confirm = this->wantsConfirmation;
    request.wantsHeard = this->options.wantsHeard;
    request.registryInterest = this->interestIn(watched);
    const bool wantsEverything = request.registryInterest == Protocol::RegistryInterest::EVERYTHING;
    if (wantsEverything && !watched.receivedEverything) {
        request.cursor = 0;
        request.gatewayCursor = 0;
    }
    const bool overdue = this->newestNamedVersion > this->heldVersion() && this->timers.now() - this->newestNamedAt >= this->options.declarationFallbackDelay;
    request.wantsDeclaration = this->options.wantsOrders && (wantsEverything || overdue);
    request.declarationVersion = request.wantsDeclaration ? this->declarationTextVersion : std::max(this->heldVersion(), this->newestNamedVersion);
    request.evacuationRevision = this->evacuated.revision;
    request.wantsCrashes = request.registryInterest != Protocol::RegistryInterest::NOTHING;
    request.crashCursor = watched.crashCursor;
    if (!this->options.wantsOrders) {
        request.declarationVersion = INT64_MAX;
        request.evacuationRevision = INT64_MAX;
    }
    const auto own = this->ownAnnouncement ? this->ownAnnouncement() : std::nullopt;
    if (own.has_value()) {
        request.__set_gateway(own.value());
    }
    if (const auto hold = wantsEverything && this->maximumHold ? this->maximumHold() : std::nullopt; hold.has_value()) {
        request.__set_maximumHoldMs(static_cast<std::int32_t>(Core::toMilliseconds(hold.value())));
    }
    // A coordinator states contacts to a gateway only with the whole registry, since only then it knows which list the gateway holds.
    const bool mayWantContacts = this->options.wantsHeard || (wantsEverything && own.has_value());
    if (mayWantContacts && this->wantsContacts && this->wantsContacts()) {
        request.__set_wantsContacts(true);
        if (this->options.wantsHeard) {
            request.__set_watcherAddress(this->options.own.toString());
        }
    }
    return request;
}

void FleetWatcher::sendRequest(Watched &watched)
{
    if (watched.inFlight) {
        return;
    }
    watched.inFlight = true;
    const auto endpoint = watched.endpoint;
    if (!watched.channel) {
        watched.channel = Rpc::RpcChannel::create({.endpoint = endpoint, .callTimeout = this->options.responseTimeout, .limits = {}}, this->timers);
    }
    const auto request = this->makeRequest(watched);
    watched.requestedInterest = request.registryInterest;
    watched.requestNumber = ++this->lastRequestNumber;
    watched.requestedAt = this->timers.now();
    const std::weak_ptr<int> weak = this->alive;
    Rpc::call<Protocol::CoordinatorCobClient, Protocol::WatchReply>(
        watched.channel,
        [request](auto &client, auto callback) {
            client.watch(callback, request);
        },
        [](auto &client, auto &reply) {
            client.recv_watch(reply);
        },
        [this, weak, endpoint, request, sentNumber = watched.requestNumber](const Core::Result<Protocol::WatchReply> &reply) {
            const bool isCurrent = !weak.expired() && this->table.contains(endpoint) && this->table.at(endpoint).requestNumber == sentNumber;
            if (isCurrent) {
                this->handleOutcome(endpoint, reply, request);
            }
        });
}

void FleetWatcher::abandonRequest(Watched &watched)
{
    watched.channel.reset();
    watched.inFlight = false;
    watched.requestNumber = NoRequest;
}

void FleetWatcher::scheduleRequest(const Core::Endpoint &endpoint, Core::Duration delay)
{
    this->table.at(endpoint).retry = this->timers.once(delay, [this, endpoint](Core::Instant) {
        const auto found = this->table.find(endpoint);
        if (found == this->table.end()) {
            return;
        }
        const auto rows = this->selected();
        const bool isSelected = std::find(rows.begin(), rows.end(), &found->second) != rows.end();
        // An unreachable coordinator is sent watch requests even when it is not selected, so that its recovery is noticed.
        if (isSelected || !found->second.reachable) {
            this->sendRequest(found->second);
        } else {
            abandonRequest(found->second);
            // Its last reply about the leader will be out of date when it is selected again, so a known leader is assumed.
            found->second.hasLeader = true;
        }
        this->watchSelected();
    });
}

void FleetWatcher::handleOutcome(const Core::Endpoint &endpoint, const Core::Result<Protocol::WatchReply> &reply, const Protocol::WatchRequest &request)
{
    auto &watched = this->table.at(endpoint);
    watched.inFlight = false;
    if (reply.has_value()) {
        this->handleReply(watched, reply.value(), request);
    } else {
        this->handleFailure(watched, watched.channel->lastFailure());
    }
}

void FleetWatcher::handleReply(Watched &watched, const Protocol::WatchReply &reply, const Protocol::WatchRequest &request)
{
    using Protocol::RegistryInterest;
    const auto endpoint = watched.endpoint;
    watched.lastReply = this->timers.now();
    watched.failing = false;
    if (!std::exchange(watched.reachable, true)) {
        Core::logEvent(Core::LogLevel::Information, "coordinator.reached", {{"coordinator", endpoint.toString()}});
    }
    const bool isSameIncarnation = watched.incarnation == reply.coordinatorIncarnation;
    const bool departuresOnly = request.registryInterest == RegistryInterest::LEAVERS;
    watched.receivedEverything
        = request.registryInterest == RegistryInterest::EVERYTHING || (isSameIncarnation && watched.receivedEverything && !departuresOnly);
    this->applyReply(watched, reply, request);
    if (!isSameIncarnation) {
        watched.announcedSince.reset();
    }
    this->applyContacts(watched, reply, request);
    if (reply.hasLeader && request.registryInterest == RegistryInterest::EVERYTHING) {
        this->latestLeaderSync = std::max(this->latestLeaderSync, std::optional(watched.requestedAt));
    }
    if (request.confirm && reply.confirmed && this->wantsConfirmation) {
        this->wantsConfirmation = false;
        this->confirmedVersion = reply.declarationVersion;
        Core::logEvent(Core::LogLevel::Information, "declaration.confirmed", {{"version", reply.declarationVersion}, {"coordinator", endpoint.toString()}});
    }
    // NOTE: The next watch request is sent from the event loop, so that a coordinator that replies at once can't keep this function from returning. When the
    //       text of a newer declaration is missing, the request is delayed, so that it asks this coordinator for the text only if the first one has not sent
    //       it by then. It is not delayed while a confirmation is awaited, since no search is answered before the confirmation.
    const bool textMissing = this->options.wantsOrders && this->newestNamedVersion > this->heldVersion() && !this->wantsConfirmation;
    this->scheduleRequest(endpoint, textMissing ? this->options.declarationFallbackDelay : Core::Duration(0));
    this->watchSelected();
    // Reports that were lost, or that this incarnation of the coordinator has not received, are sent again.
    this->reportCrashes();
}

// ---- Crash records

void FleetWatcher::reportCrashes()
{
    const auto selectedRows = this->selected();
    const bool hasUnreported = std::any_of(selectedRows.begin(), selectedRows.end(), [this](const Watched *watched) {
        return watched->crashesReported < this->crashes.position(CrashRecords::Own);
    });
    if (hasUnreported && !this->crashReportTimer.isActive()) {
        this->crashReportTimer = this->timers.once(CrashReportDelay, [this](Core::Instant) {
            this->sendCrashReports();
        });
    }
}

void FleetWatcher::sendCrashReports()
{
    const auto newest = this->crashes.position(CrashRecords::Own);
    bool hasMore = false;
    for (auto *watched : this->selected()) {
        if (watched->reachable && watched->channel && watched->crashesReported < newest) {
            this->sendCrashReport(*watched);
            hasMore = hasMore || watched->crashesReported < newest;
        }
    }
    if (hasMore) {
        this->crashReportTimer = this->timers.once(NextCrashReportDelay, [this](Core::Instant) {
            this->sendCrashReports();
        });
    }
}

// NOTE: The coordinator receives the report at once, but the reply waits for that to the watch request on the same connection. So the report counts as received
//       when it is sent, and it is sent again when the call fails.
void FleetWatcher::sendCrashReport(Watched &watched)
{
    const auto before = watched.crashesReported;
    auto records = this->crashes.changedSince(before, CrashRecords::Own, this->timers.now(), CrashRecordsPerReport);
    watched.crashesReported = this->crashes.positionAfter(before, CrashRecords::Own, CrashRecordsPerReport);
    const std::weak_ptr<int> weak = this->alive;
    Rpc::call<Protocol::CoordinatorCobClient, std::int32_t>(
        watched.channel,
        [records = std::move(records)](auto &client, auto callback) {
            client.reportCrashes(callback, records);
        },
        [](auto &client, std::int32_t &held) {
            held = client.recv_reportCrashes();
        },
        [this, weak, endpoint = watched.endpoint, before](const Core::Result<std::int32_t> &held) {
            if (weak.expired() || held.has_value()) {
                return;
            }
            Core::logEvent(Core::LogLevel::Information, "crashes.not_reported", {{"coordinator", endpoint.toString()}, {"error", held.error().message}});
            if (const auto found = this->table.find(endpoint); found != this->table.end()) {
                found->second.crashesReported = std::min(found->second.crashesReported, before);
            }
        });
}

void FleetWatcher::applyReply(Watched &watched, const Protocol::WatchReply &reply, const Protocol::WatchRequest &request)
{
    const auto now = this->timers.now();
    this->receivedReply = true;
    if (std::exchange(watched.incarnation, reply.coordinatorIncarnation) != reply.coordinatorIncarnation) {
        watched.crashCursor = 0;
        watched.crashesReported = 0;
    }
    watched.cursor = reply.cursor;
    watched.gatewayCursor = reply.gatewayCursor;
    watched.hasLeader = reply.hasLeader;
    watched.hasAllGateways = reply.hasAllGateways;
    for (const auto &announcement : reply.changed) {
        this->backends.merge(announcement, now);
    }
    for (const auto &announcement : reply.changedGateways) {
        this->gateways.merge(announcement, now);
    }
    for (const auto &record : reply.crashes) {
        this->crashes.merge(record, now);
    }
    watched.crashCursor = std::max(watched.crashCursor, reply.crashCursor);
    for (const auto &id : reply.heard) {
        this->backends.recordRemoteHeartbeat(id, now);
        this->gateways.recordRemoteHeartbeat(id, now);
    }
    if (reply.declarationVersion > this->newestNamedVersion) {
        this->newestNamedVersion = reply.declarationVersion;
        this->newestNamedAt = now;
    }
    this->applyEvacuations(reply, request);
    this->applyDeclaration(reply, request.declarationVersion);
    for (const auto &place : reply.coordinators) {
        const auto endpoint = Core::Endpoint::parse(place.address);
        if (endpoint.has_value() && endpoint.value() != this->options.own) {
            this->add(endpoint.value()).zone = place.zone;
        }
    }
}

// NOTE: Times are counted from the sending of the request, on the clock of this process, so that neither the way of the reply nor a pause of this process makes
//       a contact look more recent than it was.
void FleetWatcher::applyContacts(Watched &watched, const Protocol::WatchReply &reply, const Protocol::WatchRequest &request)
{
    const auto repliedAt = watched.requestedAt + Core::milliseconds(std::max(0, reply.heldMs));
    const bool hasEverything = request.registryInterest == Protocol::RegistryInterest::EVERYTHING;
    watched.syncedAt = hasEverything ? std::optional(repliedAt) : std::nullopt;
    if (hasEverything && reply.hasLeader && reply.isRegistryConfirmed) {
        this->latestConfirmedRegistry = std::max(this->latestConfirmedRegistry, std::optional(repliedAt));
    }
    for (const auto &[id, ageMs] : reply.contactAgesMs) {
        this->gateways.recordContact(id, repliedAt - Core::milliseconds(std::max(0, ageMs)));
    }
    const bool isAnnounced = hasEverything && request.__isset.gateway;
    if (!isAnnounced) {
        watched.announcedSince.reset();
        return;
    }
    if (!watched.announcedSince.has_value()) {
        watched.announcedSince = this->timers.now();
    }
    if (reply.hasLeader && reply.__isset.oldestContactAgeMs) {
        const auto oldest = repliedAt - Core::milliseconds(std::max(0, reply.oldestContactAgeMs));
        this->latestStatement = {.oldestContact = oldest, .listedSince = watched.announcedSince.value(), .statedAt = repliedAt};
    }
}

const Protocol::Evacuations &FleetWatcher::evacuations() const
{
    return this->evacuated;
}

// A reply to a watch request with an older revision contains all evacuations, so a watcher whose state was confirmed holds the newest ones.
void FleetWatcher::applyEvacuations(const Protocol::WatchReply &reply, const Protocol::WatchRequest &request)
{
    if (!reply.__isset.evacuations) {
        return;
    }
    const bool isNewer = reply.evacuations.revision > this->evacuated.revision;
    // What a quorum confirmed after the request was sent includes every revision that was committed before, so a higher one that is still held was never
    // committed.
    const bool isCorrection
        = request.confirm && reply.confirmed && request.evacuationRevision == this->evacuated.revision && reply.evacuations.revision < this->evacuated.revision;
    if (!isNewer && !isCorrection) {
        return;
    }
    this->evacuated = reply.evacuations;
    if (this->evacuationsChanged) {
        this->evacuationsChanged(this->evacuated);
    }
}

void FleetWatcher::applyDeclaration(const Protocol::WatchReply &reply, std::int64_t baseVersion)
{
    const bool hasDeclaration = reply.__isset.declaration || reply.__isset.declarationDelta;
    if (!hasDeclaration || reply.declarationVersion <= this->declarationTextVersion) {
        return;
    }
    if (!reply.__isset.declaration && baseVersion != this->declarationTextVersion) {
        // The reply of another coordinator was applied after this request was sent, so the delta is based on a text other than the one held now. The next
        // watch request names the version that is held.
        return;
    }
    auto text = reply.__isset.declaration ? expandText(reply.declaration, MaximumTextBytes) : applyTextDelta(this->declarationText, reply.declarationDelta);
    if (!text.has_value()) {
        // Without a held text the next watch request asks for the whole text.
        Core::logEvent(Core::LogLevel::Error, "declaration.unreadable", {{"version", reply.declarationVersion}, {"error", text.error().message}});
        this->declarationText.clear();
        this->declarationTextVersion = -1;
        return;
    }
    this->declarationText = std::move(text.value());
    this->declarationTextVersion = reply.declarationVersion;
    if (this->declarationReceived) {
        this->declarationReceived(DeclarationVersion(reply.declarationVersion), this->declarationText);
    }
}

void FleetWatcher::handleFailure(Watched &watched, const std::string &reason)
{
    const auto endpoint = watched.endpoint;
    watched.failing = true;
    if (std::exchange(watched.reachable, false)) {
        Core::logEvent(Core::LogLevel::Warning, "coordinator.lost", {{"coordinator", endpoint.toString()}, {"reason", reason}});
    }
    const bool othersReachable = this->reachableCount() > 0;
    if (othersReachable && this->timers.now() - watched.lastReply >= this->options.removalTimeout) {
        // A removed coordinator that recovers is added again, since the replies of the others name it.
        Core::logEvent(Core::LogLevel::Information, "coordinator.given_up", {{"coordinator", endpoint.toString()}});
        this->table.erase(endpoint);
        return;
    }
    this->scheduleRequest(endpoint, this->options.retryDelay);
    this->watchSelected();
}

}
