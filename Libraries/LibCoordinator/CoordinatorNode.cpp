/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibCoordinator/CoordinatorNode.h>

#include <LibConsensus/Membership.h>
#include <LibCore/Identity.h>
#include <LibCore/Log.h>
#include <LibFleet/CrashMetrics.h>
#include <LibMetrics/MetricsPage.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace Coordinator
{

// File in the data folder that says that the whole system starts for the first time, and names the seeds.
static constexpr const char *FirstStartFile = "first-start";
static constexpr Core::Duration MemberCheckPeriod = Core::milliseconds(500);
static constexpr Core::Duration IntroductionPeriod = Core::milliseconds(300);
static constexpr Core::Duration IntroductionTimeout = Core::milliseconds(800);
// A coordinator that is still heard of this long after it last said that it is being stopped has started again.
static constexpr Core::Duration LeavingTimeout = Core::seconds(1);
// A new leader does not count members as silent before they could reply to it.
static constexpr Core::Duration FirstReplyTime = Core::milliseconds(500);
static constexpr Core::Duration ExpiryPeriod = Core::seconds(1);
// A longer gap between two checks for expired records shows that this process itself was stopped for a while.
static constexpr Core::Duration OwnPauseLimit = Core::seconds(3);
// How often changes of backend servers are written to disk, in one write. Changes that a loss of power drops are received again with heartbeats.
static constexpr Core::Duration StorePeriod = Core::milliseconds(500);
// Delay of a write for which departures wait. By then watchers have been notified, whom a slow disk must not keep waiting, and the departures that arrive
// within this time share one sync.
static constexpr Core::Duration DepartureStoreDelay = Core::milliseconds(10);
// On a slow disk the delay is this many times the duration of the latest write, which blocks this process, so that most of the time is left for watchers. The
// maximum leaves time to acknowledge departures.
static constexpr int DepartureStoreDelayFactor = 4;
static constexpr Core::Duration MaximumDepartureStoreDelay = Core::milliseconds(300);
// A backend server waits a second for an acknowledgement before it asks another coordinator.
static constexpr Core::Duration DepartureTimeout = Core::milliseconds(800);
static constexpr Core::Duration DrainPollPeriod = Core::milliseconds(20);
// How long a coordinator that is being stopped waits until the others have confirmed that they know. Some of them may not run.
static constexpr Core::Duration LeavingNoticeTime = Core::milliseconds(300);

CoordinatorNode::CoordinatorNode(CoordinatorOptions options, Core::TimerService &timers)
    : options(std::move(options))
    , timers(timers)
    , startedAt(timers.now())
    , incarnation(static_cast<std::int64_t>(Core::randomNumber() >> 1U))
    , registry(Fleet::RegistryOptions{.unconfirmedTimeout = this->options.heartbeats.unconfirmedTimeout})
    , departures({.name = this->options.log.log.identity.name, .requiredCopies = this->options.membership.targetVoters / 2 + 1}, timers)
    , gateways({.isFirstStart = this->options.mayBootstrap, .unconfirmedTimeout = this->options.gatewayHeartbeatTimeout}, timers)
    , lastExpiry(timers.now())
{
}

Core::Result<std::unique_ptr<CoordinatorNode>> CoordinatorNode::create(CoordinatorOptions options, Core::TimerService &timers)
{
    std::unique_ptr<CoordinatorNode> node(new CoordinatorNode(std::move(options), timers));
    auto log = DeclarationLog::create(node->options.log, timers);
    if (!log.has_value()) {
        return tl::make_unexpected(log.error());
    }
    node->log = std::move(log.value());
    (void)node->isFirstStart();
    node->watchService = std::make_unique<WatchService>(WatchServiceOptions{.incarnation = node->incarnation, .longPollTimeout = node->options.longPollTimeout},
        *node->log,
        node->registry,
        node->gateways.registry(),
        node->crashes,
        timers);
    node->log->changed = [raw = node.get()] {
        raw->watchService->scheduleNotification();
    };
    node->registry.changed = [raw = node.get()](const Fleet::BackendRecord &record) {
        const auto &announcement = record.announcement;
        Core::logEvent(Core::LogLevel::Information,
            "backend.changed",
            {{"backend", announcement.id},
                {"service", announcement.serviceName},
                {"address", announcement.address},
                {"phase", static_cast<int>(announcement.phase)},
                {"sequence", announcement.sequence},
                {"born", announcement.born},
                {"cold_ms", announcement.warmupLeftMs}});
        raw->store.addChange(announcement);
        raw->watchService->scheduleNotification();
    };
    node->crashes.changed = [raw = node.get()](Fleet::CrashRecords) {
        raw->watchService->scheduleNotification();
    };
    // A coordinator watches all other coordinators. It receives orders through the replicated log only, so updates need not contain them.
    node->peers = std::make_unique<Fleet::FleetWatcher>(Fleet::WatcherOptions{.name = node->options.log.log.identity.name,
                                                            .zone = node->options.log.log.identity.zone,
                                                            .own = node->options.watchEndpoint,
                                                            .maximumWatched = SIZE_MAX,
                                                            .wantsOrders = false,
                                                            .wantsHeard = true},
        node->registry,
        node->gateways.registry(),
        node->crashes,
        timers);
    node->peers->wantsContacts = [raw = node.get()] {
        return raw->watchService->areContactsWanted();
    };
    node->watchService->syncedWith = [raw = node.get()](const std::string &address) {
        return raw->peers->syncedWith(address);
    };
    node->connectGateways();
    node->peers->addCoordinators(node->options.seeds);
    node->connectDepartures();
    const auto restored = node->restoreStoredState();
    if (!restored.has_value()) {
        Core::logEvent(Core::LogLevel::Warning, "registry.unreadable", {{"error", restored.error().message}});
    }
    node->startTimers();
    return node;
}

void CoordinatorNode::startTimers()
{
    this->memberTimer = this->timers.every(MemberCheckPeriod, [this](Core::Instant) {
        this->changeMembers();
    });
    this->introductionTimer = this->timers.every(IntroductionPeriod, [this](Core::Instant) {
        this->requestMembership();
    });
    this->expiryTimer = this->timers.every(ExpiryPeriod, [this](Core::Instant) {
        this->expireBackends();
    });
    this->storeTimer = this->timers.every(StorePeriod, [this](Core::Instant) {
        this->expireUnconfirmedBackends();
        this->gateways.advance();
        this->storeBackends();
        this->storeGateways();
        this->storeCrashes();
    });
}

bool CoordinatorNode::isInTouch() const
{
    const auto *replicated = this->log->log();
    return replicated != nullptr && replicated->leader() != nullptr && this->peers->hasReachableRegistries();
}

void CoordinatorNode::connectGateways()
{
    this->gateways.changed = [this](const Fleet::BackendRecord &record) {
        this->watchService->scheduleNotification();
        if (Fleet::isDeparture(record.announcement)) {
            // Others take over its shares a second later. By then no coordinator may restore it as ready.
            this->storeSoon();
        }
    };
    this->gateways.isInTouch = [this] {
        return this->isInTouch();
    };
    this->gateways.isReceivedComplete = [this] {
        return this->peers->hasReceivedAllGateways();
    };
    // Every backend server that runs has sent a heartbeat by then, also those that are on no disk.
    this->watchService->isRegistryConfirmed = [this] {
        const bool hasHeardAll = this->timers.now() - this->startedAt >= this->options.heartbeats.unconfirmedTimeout;
        return hasHeardAll && this->isStateRestored && this->registry.unconfirmedCount() == 0;
    };
    this->watchService->hasAllGateways = [this] {
        return this->gateways.isComplete();
    };
    // NOTE: A gateway grants from its shares after a statement, and must not be missing here if all coordinators are killed then.
    this->watchService->knowsAllGateways = [this] {
        return this->isInTouch() && this->gateways.isComplete() && this->gateways.isDurable();
    };
}

void CoordinatorNode::connectDepartures()
{
    this->registry.forgotten = [this](const std::string &id) {
        this->store.forget(id);
        this->departures.forget(id);
    };
    this->departures.peers = [this] {
        return this->departurePeers();
    };
    this->departures.sendToPeer = [this](const Core::Endpoint &endpoint, const auto &sent, const auto &done) {
        this->sendDepartures(endpoint, sent, done);
    };
    this->departures.storeHere = [this](const auto &done) {
        this->storeBackendsSoon(done);
    };
}

void CoordinatorNode::addSeeds(const std::vector<Core::Endpoint> &seeds)
{
    this->options.seeds = seeds;
    this->peers->addCoordinators(seeds);
}

const DeclarationLog &CoordinatorNode::declarations() const
{
    return *this->log;
}

const Fleet::BackendRegistry &CoordinatorNode::backends() const
{
    return this->registry;
}

std::string CoordinatorNode::leaderOperatorAddress() const
{
    const auto *replicated = this->log->log();
    const auto *leader = replicated == nullptr ? nullptr : replicated->leader();
    return leader == nullptr ? std::string() : leader->operatorAddress;
}

// ---- Operators

void CoordinatorNode::declare(const std::string &content, const std::function<void(const OrderOutcome &outcome)> &done)
{
    OrderOutcome outcome;
    const auto version = this->options.validateDeclaration(content);
    if (!version.has_value()) {
        outcome.status = OrderStatus::Invalid;
        outcome.problem = version.error().message;
        done(outcome);
        return;
    }
    outcome.version = version->value();
    if (outcome.version <= this->log->version()) {
        // What is applied here is on the disks of a quorum already, so the order is accepted without the leader.
        outcome.status = OrderStatus::Accepted;
        done(outcome);
        return;
    }
    outcome.leaderAddress = this->leaderOperatorAddress();
    if (this->draining) {
        outcome.status = OrderStatus::NotLeader;
        done(outcome);
        return;
    }
    this->log->propose(outcome.version, content, makeProposalHook(outcome, done));
}

void CoordinatorNode::evacuate(const std::string &zone, bool evacuate, const std::function<void(const OrderOutcome &outcome)> &done)
{
    OrderOutcome outcome;
    if (!this->options.regions.contains(zone)) {
        outcome.status = OrderStatus::Invalid;
        outcome.problem = "unknown availability zone " + zone;
        done(outcome);
        return;
    }
    // NOTE: The order is always proposed through the leader. The state applied here may be out of date, so it can't show that the order is active already.
    outcome.leaderAddress = this->leaderOperatorAddress();
    if (this->draining) {
        outcome.status = OrderStatus::NotLeader;
        done(outcome);
        return;
    }
    Protocol::EvacuationOrder order;
    order.zone = zone;
    order.evacuate = evacuate;
    this->log->proposeEvacuation(order, makeProposalHook(outcome, done));
}

DeclarationLog::ProposalHook CoordinatorNode::makeProposalHook(OrderOutcome outcome, const std::function<void(const OrderOutcome &outcome)> &done)
{
    return [outcome = std::move(outcome), done](ProposalEnd end) mutable {
        switch (end) {
        case ProposalEnd::Committed:
            outcome.status = OrderStatus::Accepted;
            break;
        case ProposalEnd::NotLeader:
            outcome.status = OrderStatus::NotLeader;
            break;
        case ProposalEnd::Unknown:
            outcome.status = OrderStatus::Unknown;
            break;
        }
        done(outcome);
    };
}

void CoordinatorNode::read(const std::function<void(const ReadOutcome &outcome)> &done)
{
    this->log->confirm([this, done](bool confirmed) {
        ReadOutcome outcome;
        outcome.confirmed = confirmed;
        outcome.leaderAddress = this->leaderOperatorAddress();
        if (confirmed) {
            outcome.version = this->log->version();
            outcome.content = this->log->content();
        }
        done(outcome);
    });
}

// ---- Backend servers

void CoordinatorNode::announce(const Protocol::BackendAnnouncement &announcement, const DepartureReplication::OutcomeHook &done)
{
    this->registry.mergeHeartbeat(announcement, this->timers.now());
    if (Fleet::isDeparture(announcement)) {
        this->acknowledgeDeparture(announcement.id, done);
    } else {
        done(DepartureOutcome::Stored);
    }
}

void CoordinatorNode::deregister(const std::string &id, std::int64_t born, const DepartureReplication::OutcomeHook &done)
{
    this->registry.markGone(id, this->timers.now(), born);
    this->acknowledgeDeparture(id, done);
}

void CoordinatorNode::acknowledgeDeparture(const std::string &id, const DepartureReplication::OutcomeHook &done)
{
    // A departure of an earlier incarnation than the known one changes nothing.
    const auto *record = this->registry.find(id);
    if (record == nullptr || !Fleet::isDeparture(record->announcement)) {
        done(DepartureOutcome::Stored);
        return;
    }
    this->departures.replicate(record->announcement, done);
}

std::vector<Core::Endpoint> CoordinatorNode::departurePeers()
{
    auto endpoints = this->peers->coordinators();
    std::erase_if(this->departureChannels, [&endpoints](const auto &item) {
        return std::find(endpoints.begin(), endpoints.end(), item.first) == endpoints.end();
    });
    return endpoints;
}

// NOTE: Departures have connections of their own, since replies on one connection are sent in the order of the calls and a watch request may be held for long.
void CoordinatorNode::sendDepartures(
    const Core::Endpoint &endpoint, const std::vector<Protocol::BackendAnnouncement> &sent, const DepartureReplication::StoredHook &done)
{
    auto &channel = this->departureChannels[endpoint];
    if (!channel) {
        channel = Rpc::RpcChannel::create({.endpoint = endpoint, .callTimeout = DepartureTimeout, .limits = {}}, this->timers);
    }
    Rpc::call<Protocol::CoordinatorCobClient, bool>(
        channel,
        [sent](auto &client, auto callback) {
            client.storeDepartures(callback, sent);
        },
        [](auto &client, bool &stored) {
            stored = client.recv_storeDepartures();
        },
        [done](const Core::Result<bool> &stored) {
            done(stored.value_or(false));
        });
}

void CoordinatorNode::receiveDepartures(const std::vector<Protocol::BackendAnnouncement> &received, const DepartureReplication::StoredHook &done)
{
    for (const auto &departure : received) {
        this->registry.merge(departure, this->timers.now());
    }
    this->storeBackendsSoon(done);
}

std::size_t CoordinatorNode::waitingDepartureStores() const
{
    return this->storeHooks.size();
}

// ---- Files

// Reads what was stored on disk: backend servers and crash records. Does nothing if they were read before. Fails while the data folder can't be used.
Core::Result<void> CoordinatorNode::restoreStoredState()
{
    if (this->isStateRestored) {
        return {};
    }
    auto *folder = this->log->dataFolder();
    if (folder == nullptr) {
        return Core::failure(Core::ErrorKind::Storage, "the data folder can't be used");
    }
    const auto stored = this->store.load(*folder);
    if (!stored.has_value()) {
        return tl::make_unexpected(stored.error());
    }
    for (auto announcement : stored.value()) {
        // Whether it is warming up is not known. Gateways don't rely on this until the registry is confirmed.
        announcement.warmupLeftMs = 0;
        this->registry.restore(announcement, this->timers.now());
    }
    Core::logEvent(Core::LogLevel::Information, "registry.restored", {{"backends", stored->size()}, {"ready", this->registry.readyCount()}});
    if (const auto gatewaysRestored = this->gateways.restore(*folder); !gatewaysRestored.has_value()) {
        return gatewaysRestored;
    }
    this->isStateRestored = true;
    this->crashStore.load(*folder, this->crashes, this->timers.now(), Core::systemClock().wallTime());
    return {};
}

void CoordinatorNode::storeCrashes()
{
    auto *folder = this->log->dataFolder();
    if (folder == nullptr || !this->isStateRestored || !this->crashStore.hasUnwritten(this->crashes)) {
        return;
    }
    const auto written = this->crashStore.write(*folder, this->crashes, this->timers.now(), Core::systemClock().wallTime());
    if (!written.has_value()) {
        Core::logEvent(Core::LogLevel::Warning, "crashes.not_written", {{"error", written.error().message}});
    }
}

void CoordinatorNode::expireUnconfirmedBackends()
{
    const auto silent = this->registry.expireUnconfirmed(this->timers.now());
    if (silent > 0) {
        Core::logEvent(Core::LogLevel::Information, "registry.unconfirmed", {{"backends", silent}});
    }
}

void CoordinatorNode::storeBackendsSoon(const DepartureReplication::StoredHook &done)
{
    this->storeHooks.push_back(done);
    this->storeSoon();
}

void CoordinatorNode::storeSoon()
{
    if (!this->storeSoonTimer.isActive()) {
        const auto delay = std::clamp(DepartureStoreDelayFactor * this->storeDuration, DepartureStoreDelay, MaximumDepartureStoreDelay);
        this->storeSoonTimer = this->timers.once(delay, [this](Core::Instant) {
            this->storeBackends();
            this->storeGateways();
        });
    }
}

void CoordinatorNode::storeGateways()
{
    auto *folder = this->log->dataFolder();
    if (folder == nullptr || !this->isStateRestored) {
        return;
    }
    logWrite(this->gateways.store(*folder), this->isGatewayStoreFailing, "gateways.not_written", "gateways.written_again");
}

void CoordinatorNode::logWrite(const Core::Result<void> &written, bool &isFailing, const char *failedEvent, const char *recoveredEvent)
{
    const bool failed = !written.has_value();
    if (failed && !isFailing) {
        Core::logEvent(Core::LogLevel::Warning, failedEvent, {{"error", written.error().message}});
    } else if (!failed && isFailing) {
        Core::logEvent(Core::LogLevel::Information, recoveredEvent, {});
    }
    isFailing = failed;
}

Core::Result<void> CoordinatorNode::writeBackends()
{
    auto restored = this->restoreStoredState();
    if (!restored.has_value()) {
        return restored;
    }
    auto *folder = this->log->dataFolder();
    if (folder == nullptr) {
        return Core::failure(Core::ErrorKind::Storage, "the data folder can't be used");
    }
    if (this->store.isDurable()) {
        return {};
    }
    const auto began = this->timers.now();
    auto written = this->store.flush(*folder);
    this->storeDuration = this->timers.now() - began;
    return written;
}

void CoordinatorNode::storeBackends()
{
    const auto written = this->writeBackends();
    logWrite(written, this->isStoreFailing, "registry.not_written", "registry.written_again");
    for (const auto &done : std::exchange(this->storeHooks, {})) {
        done(written.has_value());
    }
}

void CoordinatorNode::expireBackends()
{
    const auto now = this->timers.now();
    const auto gap = now - std::exchange(this->lastExpiry, now);
    const bool isIsolated = this->peers->reachableCount() == 0 && !this->options.seeds.empty();
    if (gap >= OwnPauseLimit || isIsolated) {
        // Rule G4: A missed heartbeat does not show that a backend server has ended when this process was stopped, or when heartbeats may have reached other
        // coordinators that are unreachable from here.
        this->registry.restartHeartbeatTimeouts(now);
        this->gateways.registry().restartHeartbeatTimeouts(now);
        return;
    }
    const auto backendsGone = this->registry.expire(now, this->options.heartbeats.heartbeatTimeout);
    const auto gatewaysGone = this->gateways.registry().expire(now, this->options.gatewayHeartbeatTimeout);
    if (backendsGone + gatewaysGone > 0) {
        Core::logEvent(Core::LogLevel::Information, "registry.expired", {{"backends", backendsGone}, {"gateways", gatewaysGone}});
    }
    this->gateways.registry().forget(now);
    this->registry.forget(now);
    this->crashes.forget(now);
}

// ---- Watchers

void CoordinatorNode::watch(const Protocol::WatchRequest &request, const std::function<void(const Protocol::WatchReply &reply)> &done)
{
    if (request.__isset.gateway) {
        this->gateways.registry().merge(request.gateway, this->timers.now());
        if (this->watchService->provesCurrentList(request)) {
            this->gateways.registry().recordDirectContact(request.gateway.id, this->watchService->earliestArrival());
        }
    }
    this->watchService->watch(request, done);
}

std::size_t CoordinatorNode::receiveCrashes(const std::vector<Protocol::CrashRecord> &records)
{
    const auto now = this->timers.now();
    for (const auto &record : records) {
        this->crashes.merge(record, now);
    }
    return this->crashes.size();
}

// ---- Membership

bool CoordinatorNode::isMember() const
{
    const auto *replicated = this->log->log();
    if (replicated == nullptr) {
        return false;
    }
    return Consensus::findMember(replicated->membership(), replicated->identity().name) != nullptr;
}

// Rule F6: The platform says only once that the system starts for the first time, so a coordinator stores it, with the seeds, before it tells others. It holds
// for as long as the seeds are the same: with others a second log might be founded.
bool CoordinatorNode::isFirstStart()
{
    auto *folder = this->log->dataFolder();
    if (this->firstStart.has_value() || folder == nullptr) {
        return this->firstStart.value_or(false);
    }
    auto seeds = this->options.seeds;
    std::sort(seeds.begin(), seeds.end());
    std::string content;
    for (const auto &seed : seeds) {
        content += seed.toString() + "\n";
    }
    if (!this->options.mayBootstrap) {
        this->firstStart = folder->read(FirstStartFile).value_or("") == content;
    } else if (const auto stored = folder->replace(FirstStartFile, content); stored.has_value()) {
        this->firstStart = true;
    } else {
        Core::logEvent(Core::LogLevel::Warning, "first_start.not_stored", {{"error", stored.error().message}});
    }
    return this->firstStart.value_or(false);
}

Protocol::Introduction CoordinatorNode::ownIntroduction()
{
    Protocol::Introduction introduction;
    const auto *replicated = this->log->log();
    if (replicated != nullptr) {
        introduction.member = replicated->identity();
        introduction.initialised = replicated->isInitialised();
        introduction.mayFound = this->isFirstStart();
        introduction.leaving = this->draining;
    }
    return introduction;
}

Protocol::IntroductionReply CoordinatorNode::introduce(const Protocol::Introduction &introduction)
{
    Protocol::IntroductionReply reply;
    reply.callee = this->ownIntroduction();
    auto *replicated = this->log->log();
    if (replicated == nullptr) {
        return reply;
    }
    reply.membership = replicated->membership();
    const bool known = Consensus::findMember(reply.membership, introduction.member.name) != nullptr;
    if (introduction.leaving && known) {
        this->leavingSince[introduction.member.name] = this->timers.now();
    } else {
        this->leavingSince.erase(introduction.member.name);
    }
    const auto *leader = replicated->leader();
    reply.leaderAddress = leader == nullptr ? std::string() : leader->entryAddress;
    if (!this->log->isLeader() || known || introduction.leaving || introduction.member.storageId.empty()) {
        return reply;
    }
    Protocol::MemberChange change;
    change.kind = Protocol::MemberChangeKind::ADD;
    change.member = introduction.member;
    const auto proposed = replicated->proposeMembership(change);
    Core::logEvent(Core::LogLevel::Warning,
        "members.add",
        {{"member", introduction.member.name},
            {"address", introduction.member.peerAddress},
            {"outcome", proposed.has_value() ? std::string("proposed") : proposed.error().message}});
    return reply;
}

void CoordinatorNode::requestMembership()
{
    const auto *replicated = this->log->log();
    if (replicated == nullptr) {
        return;
    }
    // A member either has a known leader or becomes a candidate itself. A member without a leader may have been removed while it was down.
    const bool withoutLeader = replicated->leader() == nullptr;
    if (this->isMember() && !withoutLeader && !this->draining) {
        this->introductionChannels.clear();
        return;
    }
    this->introduceToAll();
}

void CoordinatorNode::introduceToAll()
{
    auto endpoints = this->peers->coordinators();
    for (const auto &endpoint : this->options.seeds) {
        if (std::find(endpoints.begin(), endpoints.end(), endpoint) == endpoints.end() && endpoint != this->options.watchEndpoint) {
            endpoints.push_back(endpoint);
        }
    }
    for (const auto &endpoint : endpoints) {
        this->introduceTo(endpoint);
    }
}

void CoordinatorNode::introduceTo(const Core::Endpoint &endpoint)
{
    auto &channel = this->introductionChannels[endpoint];
    if (!channel) {
        channel = Rpc::RpcChannel::create({.endpoint = endpoint, .callTimeout = IntroductionTimeout, .limits = {}}, this->timers);
    }
    if (channel->waitingCalls() > 0) {
        return;
    }
    const std::weak_ptr<int> weak = this->alive;
    Rpc::call<Protocol::CoordinatorCobClient, Protocol::IntroductionReply>(
        channel,
        [introduction = this->ownIntroduction()](auto &client, auto callback) {
            client.introduce(callback, introduction);
        },
        [](auto &client, auto &reply) {
            client.recv_introduce(reply);
        },
        [this, weak, endpoint](const Core::Result<Protocol::IntroductionReply> &reply) {
            if (!weak.expired() && reply.has_value()) {
                this->handleIntroductionReply(endpoint, reply.value());
            }
        });
}

void CoordinatorNode::handleIntroductionReply(const Core::Endpoint &endpoint, const Protocol::IntroductionReply &reply)
{
    this->introduced[endpoint] = reply.callee;
    this->bootstrapIfComplete();
}

// Rule F1: Only the seed with the lowest address bootstraps the log, only when the platform states that the whole system starts for the first time, and only
// once every seed has stated that it holds no log. An empty folder alone is no reason to bootstrap, since the log may exist on other coordinators.
void CoordinatorNode::bootstrapIfComplete()
{
    auto *replicated = this->log->log();
    if (replicated == nullptr || replicated->isInitialised() || this->options.seeds.empty() || !this->isFirstStart()) {
        return;
    }
    const auto lowest = *std::min_element(this->options.seeds.begin(), this->options.seeds.end());
    if (lowest != this->options.watchEndpoint) {
        return;
    }
    Protocol::Membership initialMembers;
    for (const auto &seed : this->options.seeds) {
        if (seed == this->options.watchEndpoint) {
            initialMembers.members.push_back(replicated->identity());
            continue;
        }
        const auto found = this->introduced.find(seed);
        if (found == this->introduced.end() || found->second.initialised || !found->second.mayFound) {
            return;
        }
        initialMembers.members.push_back(found->second.member);
    }
    for (auto &member : initialMembers.members) {
        member.voter = true;
    }
    const auto bootstrapped = replicated->bootstrap(initialMembers);
    Core::logEvent(Core::LogLevel::Information,
        "members.founded",
        {{"voters", initialMembers.members.size()}, {"outcome", bootstrapped.has_value() ? std::string("done") : bootstrapped.error().message}});
}

void CoordinatorNode::changeMembers()
{
    if (!this->log->isLeader() || this->draining) {
        return;
    }
    auto &replicated = *this->log->log();
    const MembershipView view{
        .leaderName = replicated.identity().name,
        .membership = replicated.membership(),
        .commitIndex = replicated.commitIndex(),
        .matchIndexOf =
            [&replicated](const std::string &name) {
                return replicated.matchIndexOf(name);
            },
        .timeSinceContact =
            [this, &replicated](const std::string &name) {
                const auto *member = Consensus::findMember(replicated.membership(), name);
                return member == nullptr ? Core::Duration(0) : this->timeSinceContactWith(*member);
            },
        .isLeaving =
            [this](const std::string &name) {
                return this->isLeaving(name);
            },
    };
    const auto change = chooseMemberChange(view, this->options.membership);
    if (!change.has_value()) {
        return;
    }
    const auto silence = view.timeSinceContact(change->member.name);
    this->logMemberChange(change.value(), silence, replicated.proposeMembership(change.value()));
}

static const char *nameOf(Protocol::MemberChangeKind::type kind)
{
    switch (kind) {
    case Protocol::MemberChangeKind::ADD:
        return "add";
    case Protocol::MemberChangeKind::PROMOTE:
        return "promote";
    case Protocol::MemberChangeKind::REMOVE:
        return "remove";
    case Protocol::MemberChangeKind::REPLACE:
        return "replace";
    }
    return "unknown";
}

void CoordinatorNode::logMemberChange(const Protocol::MemberChange &change, Core::Duration silence, const Core::Result<std::int64_t> &proposed) const
{
    Core::logEvent(Core::LogLevel::Warning,
        "members.change",
        {{"kind", nameOf(change.kind)},
            {"member", change.member.name},
            {"successor", change.successor.name},
            {"silent_ms", Core::toMilliseconds(silence)},
            {"leaving", this->isLeaving(change.member.name) ? 1 : 0},
            {"outcome", proposed.has_value() ? std::string("proposed") : proposed.error().message}});
}

Core::Duration CoordinatorNode::timeSinceContactWith(const Protocol::Member &member) const
{
    const auto now = this->timers.now();
    const auto *replicated = this->log->log();
    const auto reply = replicated->lastReplyFrom(member.name);
    if (reply.has_value()) {
        return now - reply.value();
    }
    const auto sinceFirstSend = now - replicated->lastContactWith(member.name);
    const auto watchReply = this->peers->lastReplyFrom(member.entryAddress);
    if (sinceFirstSend < FirstReplyTime || !watchReply.has_value()) {
        return sinceFirstSend;
    }
    return std::max(sinceFirstSend, now - watchReply.value());
}

bool CoordinatorNode::isLeaving(const std::string &name) const
{
    const auto found = this->leavingSince.find(name);
    if (found == this->leavingSince.end()) {
        return false;
    }
    const auto *replicated = this->log->log();
    const auto reply = replicated == nullptr ? std::nullopt : replicated->lastReplyFrom(name);
    return reply.value_or(Core::Instant()) <= found->second + LeavingTimeout;
}

void CoordinatorNode::receive(const std::vector<Protocol::LogMessage> &messages)
{
    this->log->receive(messages);
}

// ---- Stop and state

void CoordinatorNode::drain(std::function<void()> stoppedHook)
{
    this->draining = true;
    this->drainBegan = this->timers.now();
    this->stopped = std::move(stoppedHook);
    if (this->isMember()) {
        this->introduceToAll();
    }
    this->drainTimer = this->timers.every(DrainPollPeriod, [this](Core::Instant) {
        this->finishDrain();
    });
}

void CoordinatorNode::answerWatchers()
{
    this->watchService->answerAll();
}

void CoordinatorNode::finishDrain()
{
    const bool isNoticePending = std::any_of(this->introductionChannels.begin(), this->introductionChannels.end(), [](const auto &row) {
        return row.second->waitingCalls() > 0;
    });
    const bool mayWait = this->timers.now() - this->drainBegan < LeavingNoticeTime;
    if (this->log->waitingProposals() > 0 || this->departures.waitingCount() > 0 || (isNoticePending && mayWait)) {
        return;
    }
    if (this->log->isLeader() && this->log->log()->transferLeadership(this->timers.now())) {
        // The next poll finds that this coordinator has become a follower, or requests the transfer again.
        return;
    }
    this->drainTimer.cancel();
    const auto hook = std::exchange(this->stopped, nullptr);
    if (hook) {
        hook();
    }
}

std::string CoordinatorNode::metrics() const
{
    Metrics::MetricsPage page;
    const auto *replicated = this->log->log();
    page.gauge("crankrudder_folder_usable", "Whether the data folder can be used.", replicated != nullptr ? 1 : 0);
    page.gauge("crankrudder_leader", "Whether this coordinator leads.", this->log->isLeader() ? 1 : 0);
    page.gauge("crankrudder_has_leader", "Whether this coordinator hears from a leader.", replicated != nullptr && replicated->leader() != nullptr ? 1 : 0);
    page.gauge("crankrudder_declaration_version", "Version of the newest committed declaration.", static_cast<double>(this->log->version()));
    page.gauge("crankrudder_evacuated_zones", "Availability zones that are evacuated.", static_cast<double>(this->log->evacuations().zones.size()));
    page.gauge("crankrudder_backends_ready", "Backend servers that take work.", this->registry.readyCount());
    page.gauge("crankrudder_gateways", "Gateways that are ready.", this->gateways.registry().readyCount());
    page.gauge("crankrudder_gateways_unconfirmed",
        "Gateways that were restored from the disk and not heard of since.",
        static_cast<double>(this->gateways.registry().unconfirmedCount()));
    page.gauge("crankrudder_gateway_list_complete", "Whether every gateway that may hold quota shares is known.", this->gateways.isComplete() ? 1 : 0);
    page.gauge("crankrudder_watchers", "Questions that are held for news.", static_cast<double>(this->watchService->waitingCount()));
    page.gauge("crankrudder_coordinators_in_reach", "Other coordinators that are reachable.", static_cast<double>(this->peers->reachableCount()));
    constexpr const char *DepartureHelp = "Departures of backend servers, by whether enough coordinators stored them to acknowledge them.";
    page.counter("crankrudder_departures_total", DepartureHelp, static_cast<double>(this->departures.storedCount()), {{"outcome", "stored"}});
    page.counter("crankrudder_departures_total", DepartureHelp, static_cast<double>(this->departures.notStoredCount()), {{"outcome", "not_stored"}});
    page.gauge("crankrudder_departures_waiting", "Departures that are not acknowledged yet.", static_cast<double>(this->departures.waitingCount()));
    page.histogram("crankrudder_departure_stored_seconds", "Time until a departure was stored and acknowledged.", this->departures.storedTimes());
    page.counter("crankrudder_registry_syncs_total", "Syncs of the registry file.", static_cast<double>(this->store.syncCount()));
    Fleet::addCrashMetrics(page, this->crashes, this->timers.now());
    page.counter("crankrudder_disk_syncs_total", "Writes that were made last.", static_cast<double>(this->log->syncCount()));
    if (replicated != nullptr) {
        page.gauge("crankrudder_log_term", "Election term.", static_cast<double>(replicated->term()));
        page.gauge("crankrudder_log_commit_index", "Last committed entry.", static_cast<double>(replicated->commitIndex()));
    }
    return page.text();
}

std::string CoordinatorNode::dump() const
{
    nlohmann::json document;
    const auto *replicated = this->log->log();
    document["declaration_version"] = this->log->version();
    document["evacuated_zones"] = this->log->evacuations().zones;
    document["backends"] = this->registry.size();
    document["gateways"] = this->gateways.registry().readyCount();
    document["gateways_unconfirmed"] = this->gateways.registry().unconfirmedCount();
    document["gateway_list_complete"] = this->gateways.isComplete();
    document["gateways_on_disk"] = this->isStateRestored && this->gateways.isDurable();
    document["watchers"] = this->watchService->waitingCount();
    document["departures_waiting"] = this->departures.waitingCount();
    document["registry_on_disk"] = this->isStateRestored && this->store.isDurable();
    document["peers_in_reach"] = this->peers->reachableCount();
    document["folder_usable"] = replicated != nullptr;
    if (replicated != nullptr) {
        document["member"] = replicated->identity().name;
        document["role"] = Consensus::roleName(replicated->role());
        document["term"] = replicated->term();
        document["commit_index"] = replicated->commitIndex();
        document["members"] = nlohmann::json::array();
        for (const auto &member : replicated->membership().members) {
            document["members"].push_back({{"name", member.name}, {"voter", member.voter}, {"address", member.peerAddress}});
        }
    }
    return document.dump(2);
}

CoordinatorHandler::CoordinatorHandler(CoordinatorNode &node) : node(node)
{
}

void CoordinatorHandler::watch(std::function<void(Protocol::WatchReply const &)> callback, const Protocol::WatchRequest &request)
{
    this->node.watch(request, callback);
}

void CoordinatorHandler::introduce(std::function<void(Protocol::IntroductionReply const &)> callback, const Protocol::Introduction &introduction)
{
    callback(this->node.introduce(introduction));
}

void CoordinatorHandler::storeDepartures(std::function<void(bool const &)> callback, const std::vector<Protocol::BackendAnnouncement> &departures)
{
    this->node.receiveDepartures(departures, [callback = std::move(callback)](bool stored) {
        callback(stored);
    });
}

void CoordinatorHandler::reportCrashes(std::function<void(std::int32_t const &)> callback, const std::vector<Protocol::CrashRecord> &records)
{
    callback(static_cast<std::int32_t>(this->node.receiveCrashes(records)));
}

LogPeerHandler::LogPeerHandler(CoordinatorNode &node) : node(node)
{
}

void LogPeerHandler::deliver(std::function<void()> callback, const std::vector<Protocol::LogMessage> &messages)
{
    this->node.receive(messages);
    callback();
}

}
