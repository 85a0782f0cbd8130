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

namespace Fleet
{

// The longest declaration that is taken.
static constexpr std::size_t MaximumTextBytes = 16 * 1024 * 1024;

FleetWatcher::FleetWatcher(WatcherOptions options, BackendRegistry &backends, BackendRegistry &gateways, Core::TimerService &timers)
    : options(std::move(options)), backends(backends), gateways(gateways), timers(timers)
{
}

FleetWatcher::Watched &FleetWatcher::add(const Core::Endpoint &endpoint)
{
    const auto [position, isNew] = this->table.try_emplace(endpoint);
    if (isNew) {
        position->second.endpoint = endpoint;
        position->second.order = std::hash<std::string>{}(this->options.name + endpoint.toString());
        position->second.addedAt = this->timers.now();
        position->second.lastAnswer = this->timers.now();
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
    this->askChosen();
}

void FleetWatcher::requestConfirmation()
{
    this->wantsConfirmation = true;
    this->confirmedVersion.reset();
}

bool FleetWatcher::isConfirmed() const
{
    return this->confirmedVersion.has_value() && this->held() >= this->confirmedVersion.value();
}

bool FleetWatcher::hasReceivedUpdate() const
{
    return this->anyAnswer;
}

std::size_t FleetWatcher::reachableCount() const
{
    return static_cast<std::size_t>(std::count_if(this->table.begin(), this->table.end(), [](const auto &item) {
        return item.second.reachable;
    }));
}

std::optional<Core::Instant> FleetWatcher::lastLeaderSync() const
{
    return this->leaderKnown;
}

std::vector<Core::Endpoint> FleetWatcher::coordinators() const
{
    std::vector<Core::Endpoint> endpoints;
    for (const auto &[endpoint, watched] : this->table) {
        endpoints.push_back(endpoint);
    }
    return endpoints;
}

std::int64_t FleetWatcher::held() const
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

// The near ones that work go first; among equals each watcher has an order of its own, so that watchers spread.
std::vector<FleetWatcher::Watched *> FleetWatcher::ranked()
{
    const auto now = this->timers.now();
    const auto rank = [this, now](const Watched &watched) {
        const bool doubtful = !watched.hasLeader;
        const bool unanswered = !watched.reachable && now - watched.addedAt >= this->options.nearPatience;
        return std::tuple(watched.failing, unanswered, doubtful, this->distanceOf(watched), watched.order);
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

std::vector<FleetWatcher::Watched *> FleetWatcher::chosen()
{
    auto rows = this->ranked();
    if (rows.size() > this->options.maximumWatched) {
        rows.resize(this->options.maximumWatched);
    }
    return rows;
}

// The nearest one tells everything and the next ones of leavers; the others only confirm, since their bytes would be the same again.
Protocol::RegistryInterest::type FleetWatcher::interestIn(const Watched &watched)
{
    using Protocol::RegistryInterest;
    if (this->options.wantsHeard) {
        return RegistryInterest::EVERYTHING;
    }
    const auto rows = this->ranked();
    // Until a coordinator has told where it and the others are, the near ones can't be known.
    const bool mayBeFar = rows.size() > 1 && watched.zone.empty() && this->timers.now() - watched.addedAt < this->options.nearPatience;
    if (mayBeFar) {
        return RegistryInterest::NOTHING;
    }
    if (rows.front() == &watched) {
        return RegistryInterest::EVERYTHING;
    }
    const auto end = rows.begin() + static_cast<std::ptrdiff_t>(std::min(rows.size(), this->options.maximumWatched));
    return std::find(rows.begin(), end, &watched) != end ? RegistryInterest::LEAVERS : RegistryInterest::NOTHING;
}

void FleetWatcher::askChosen()
{
    for (auto *watched : this->chosen()) {
        const bool toldLess = watched->asking && watched->askedInterest != Protocol::RegistryInterest::EVERYTHING;
        if (toldLess && this->interestIn(*watched) == Protocol::RegistryInterest::EVERYTHING) {
            // The nearest one has failed, and this one takes its place: it may hold the question that it has for long.
            dropQuestion(*watched);
        }
        if (!watched->retry.isActive()) {
            this->ask(*watched);
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
    if (wantsEverything && !watched.toldEverything) {
        request.cursor = 0;
        request.gatewayCursor = 0;
    }
    const bool overdue = this->newestKnown > this->held() && this->timers.now() - this->newestKnownSince >= this->options.declarationFallbackDelay;
    request.wantsDeclaration = this->options.wantsOrders && (wantsEverything || overdue);
    request.declarationVersion = request.wantsDeclaration ? this->heldTextVersion : std::max(this->held(), this->newestKnown);
    request.evacuationRevision = this->evacuated.revision;
    if (!this->options.wantsOrders) {
        request.declarationVersion = INT64_MAX;
        request.evacuationRevision = INT64_MAX;
    }
    const auto own = this->ownAnnouncement ? this->ownAnnouncement() : std::nullopt;
    if (own.has_value()) {
        request.__set_gateway(own.value());
    }
    return request;
}

void FleetWatcher::ask(Watched &watched)
{
    if (watched.asking) {
        return;
    }
    watched.asking = true;
    const auto endpoint = watched.endpoint;
    if (!watched.channel) {
        watched.channel = Rpc::RpcChannel::create({.endpoint = endpoint, .callTimeout = this->options.responseTimeout, .limits = {}}, this->timers);
    }
    const auto request = this->makeRequest(watched);
    watched.askedInterest = request.registryInterest;
    watched.question = ++this->lastQuestion;
    watched.askedAt = this->timers.now();
    const std::weak_ptr<int> weak = this->alive;
    Rpc::call<Protocol::CoordinatorCobClient, Protocol::WatchReply>(
        watched.channel,
        [request](auto &client, auto callback) {
            client.watch(callback, request);
        },
        [](auto &client, auto &reply) {
            client.recv_watch(reply);
        },
        [this, weak, endpoint, request, number = watched.question](const Core::Result<Protocol::WatchReply> &answer) {
            const bool isWanted = !weak.expired() && this->table.contains(endpoint) && this->table.at(endpoint).question == number;
            if (isWanted) {
                this->handleOutcome(endpoint, answer, request);
            }
        });
}

void FleetWatcher::dropQuestion(Watched &watched)
{
    watched.channel.reset();
    watched.asking = false;
    watched.question = NoQuestion;
}

void FleetWatcher::askLater(const Core::Endpoint &endpoint, Core::Duration pause)
{
    this->table.at(endpoint).retry = this->timers.once(pause, [this, endpoint](Core::Instant) {
        const auto found = this->table.find(endpoint);
        if (found == this->table.end()) {
            return;
        }
        const auto rows = this->chosen();
        const bool wanted = std::find(rows.begin(), rows.end(), &found->second) != rows.end();
        // One that fails is asked now and then all the same, to notice that it is back.
        if (wanted || !found->second.reachable) {
            this->ask(found->second);
        } else {
            dropQuestion(found->second);
            // What it said of its leader is out of date by the time that it is needed again.
            found->second.hasLeader = true;
        }
        this->askChosen();
    });
}

void FleetWatcher::handleOutcome(const Core::Endpoint &endpoint, const Core::Result<Protocol::WatchReply> &answer, const Protocol::WatchRequest &request)
{
    auto &watched = this->table.at(endpoint);
    watched.asking = false;
    if (answer.has_value()) {
        this->handleAnswer(watched, answer.value(), request);
    } else {
        this->failed(watched, watched.channel->lastFailure());
    }
}

void FleetWatcher::handleAnswer(Watched &watched, const Protocol::WatchReply &answer, const Protocol::WatchRequest &request)
{
    using Protocol::RegistryInterest;
    const auto endpoint = watched.endpoint;
    watched.lastAnswer = this->timers.now();
    watched.failing = false;
    if (!std::exchange(watched.reachable, true)) {
        Core::logEvent(Core::LogLevel::Information, "coordinator.reached", {{"coordinator", endpoint.toString()}});
    }
    const bool isSameIncarnation = watched.incarnation == answer.coordinatorIncarnation;
    const bool skipped = request.registryInterest == RegistryInterest::LEAVERS;
    watched.toldEverything = request.registryInterest == RegistryInterest::EVERYTHING || (isSameIncarnation && watched.toldEverything && !skipped);
    this->takeNews(watched, answer, request.declarationVersion);
    if (answer.hasLeader && request.registryInterest == RegistryInterest::EVERYTHING) {
        this->leaderKnown = std::max(this->leaderKnown, std::optional(watched.askedAt));
    }
    if (request.confirm && answer.confirmed && this->wantsConfirmation) {
        this->wantsConfirmation = false;
        this->confirmedVersion = answer.declarationVersion;
        Core::logEvent(Core::LogLevel::Information, "declaration.confirmed", {{"version", answer.declarationVersion}, {"coordinator", endpoint.toString()}});
    }
    // NOTE: Asked from the loop, so that a coordinator that answers at once can't keep this function from returning. One that told of a
    //       declaration without its text is asked after a pause, to want the text from it if it has not come from the first one by then. But a
    //       confirmation is not to wait for that, since nothing is answered before there is one.
    const bool textMissing = this->options.wantsOrders && this->newestKnown > this->held() && !this->wantsConfirmation;
    this->askLater(endpoint, textMissing ? this->options.declarationFallbackDelay : Core::Duration(0));
    this->askChosen();
}

void FleetWatcher::takeNews(Watched &watched, const Protocol::WatchReply &reply, std::int64_t askedFrom)
{
    const auto now = this->timers.now();
    this->anyAnswer = true;
    watched.incarnation = reply.coordinatorIncarnation;
    watched.cursor = reply.cursor;
    watched.gatewayCursor = reply.gatewayCursor;
    watched.hasLeader = reply.hasLeader;
    for (const auto &announcement : reply.changed) {
        this->backends.merge(announcement, now);
    }
    for (const auto &announcement : reply.changedGateways) {
        this->gateways.merge(announcement, now);
    }
    for (const auto &id : reply.heard) {
        this->backends.recordRemoteHeartbeat(id, now);
        this->gateways.recordRemoteHeartbeat(id, now);
    }
    if (reply.declarationVersion > this->newestKnown) {
        this->newestKnown = reply.declarationVersion;
        this->newestKnownSince = now;
    }
    this->applyEvacuations(reply);
    this->applyDeclaration(reply, askedFrom);
    for (const auto &place : reply.coordinators) {
        const auto endpoint = Core::Endpoint::parse(place.address);
        if (endpoint.has_value() && endpoint.value() != this->options.own) {
            this->add(endpoint.value()).zone = place.zone;
        }
    }
}

const Protocol::Evacuations &FleetWatcher::evacuations() const
{
    return this->evacuated;
}

// They come whole with each answer to a question that named an older revision, so whoever was confirmed to be current holds them.
void FleetWatcher::applyEvacuations(const Protocol::WatchReply &reply)
{
    if (!reply.__isset.evacuations || reply.evacuations.revision <= this->evacuated.revision) {
        return;
    }
    this->evacuated = reply.evacuations;
    if (this->evacuationsChanged) {
        this->evacuationsChanged(this->evacuated);
    }
}

void FleetWatcher::applyDeclaration(const Protocol::WatchReply &reply, std::int64_t askedFrom)
{
    const bool carries = reply.__isset.declaration || reply.__isset.declarationDelta;
    if (!carries || reply.declarationVersion <= this->heldTextVersion) {
        return;
    }
    if (!reply.__isset.declaration && askedFrom != this->heldTextVersion) {
        // Another coordinator's answer came in between, so the delta is not from the text that is held now. The next question says which one is.
        return;
    }
    auto text = reply.__isset.declaration ? expandText(reply.declaration, MaximumTextBytes) : applyTextDelta(this->heldText, reply.declarationDelta);
    if (!text.has_value()) {
        // Asked for whole next time.
        Core::logEvent(Core::LogLevel::Error, "declaration.unreadable", {{"version", reply.declarationVersion}, {"error", text.error().message}});
        this->heldText.clear();
        this->heldTextVersion = -1;
        return;
    }
    this->heldText = std::move(text.value());
    this->heldTextVersion = reply.declarationVersion;
    if (this->declarationReceived) {
        this->declarationReceived(DeclarationVersion(reply.declarationVersion), this->heldText);
    }
}

void FleetWatcher::failed(Watched &watched, const std::string &reason)
{
    const auto endpoint = watched.endpoint;
    watched.failing = true;
    if (std::exchange(watched.reachable, false)) {
        Core::logEvent(Core::LogLevel::Warning, "coordinator.lost", {{"coordinator", endpoint.toString()}, {"reason", reason}});
    }
    const bool othersAnswer = this->reachableCount() > 0;
    if (othersAnswer && this->timers.now() - watched.lastAnswer >= this->options.removalTimeout) {
        // One that comes back is named again by the others.
        Core::logEvent(Core::LogLevel::Information, "coordinator.given_up", {{"coordinator", endpoint.toString()}});
        this->table.erase(endpoint);
        return;
    }
    this->askLater(endpoint, this->options.retryPause);
    this->askChosen();
}

}
