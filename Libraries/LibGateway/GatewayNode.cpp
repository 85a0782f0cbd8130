/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/GatewayNode.h>

#include <LibCore/Identity.h>
#include <LibCore/Log.h>
#include <LibCore/Settings.h>
#include <LibFleet/CrashMetrics.h>
#include <LibGateway/RequestTrace.h>
#include <LibGateway/SingleRequest.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace Gateway
{

static constexpr Core::Duration HousekeepingPeriod = Core::seconds(1);
// How long the largest number of known gateways is used after the number has fallen. Slightly longer than the window of the retry budget.
static constexpr Core::Duration GatewayCountMemory = Core::seconds(15);
// How long a gateway without a reachable coordinator continues to own cells. Coordinators remove a silent gateway after 12 s and another gateway then owns
// its cells, so this must be shorter.
static constexpr Core::Duration CoordinatorlessOwnershipTime = Core::seconds(5);
// How long a gateway continues to hold quota shares after its last watch request that a coordinator with a known leader answered. Coordinators remove a
// silent gateway after 12 s and another gateway then holds its shares, so this must be shorter. The difference covers the time during which a leader that
// was cut off does not know this yet.
static constexpr Core::Duration LeaderlessHoldTime = Core::seconds(7);
// Period of the log line with all counters. After a crash the last such line is at most this old.
static constexpr Core::Duration CounterLogPeriod = Core::seconds(10);
// Attempts are named by a digest of their id, since callers may send ids of any length.
static constexpr std::size_t AttemptNameCharacters = 16;

// Requests that are named in the log when the process ends with requests unanswered.
static constexpr std::size_t MaximumUnansweredLines = 200;

static BackendPoolOptions relayPoolOptions(const GatewayOptions &options)
{
    BackendPoolOptions relays = options.pool;
    relays.undeclaredCap = options.relayConnections;
    // Gateways do not limit the connections that they accept, so no connection needs a trial.
    relays.trial.reset();
    relays.connectTimeout = options.relay.connectTimeout;
    relays.acceptsPromptly = true;
    relays.acknowledgementTimeout = options.relay.acknowledgementTimeout;
    relays.failuresUntilAvoided = 1;
    // A gateway that ends has not run the request, and its part names the crashes of backend servers.
    relays.recordsCrashes = false;
    return relays;
}

GatewayNode::GatewayNode(GatewayOptions options, Core::EventPoll &poll, Core::TimerService &timers)
    : options(std::move(options))
    , timers(timers)
    , pool(this->options.pool, this->options.dialect, poll, timers)
    , relayDialect(makeRelayDialect(this->options.dialect))
    , relays(relayPoolOptions(this->options), this->relayDialect, poll, timers)
    , watcher(Fleet::WatcherOptions{.name = this->options.name, .zone = this->options.pool.zone.value(), .regions = this->options.pool.regions, .own = {}},
          this->registry,
          this->gateways,
          this->crashes,
          timers)
    , ownership(this->options.ownership, this->options.pool.zone.value(), this->options.pool.regions, this->options.relayEndpoint.toString(), timers.now())
    , quotas(this->options.quotas, this->options.pool.regions, this->options.pool.zone.value(), this->options.relayEndpoint.toString(), this->relays, timers)
    , lending({.ownAddress = this->options.relayEndpoint.toString()}, this->pool, this->relays, timers)
    , admission(this->quotas)
    , targetSplits(Core::randomNumber)
    , stop(timers)
    , lastReachableAt(timers.now())
    , incarnationName(this->options.name + "/" + Core::randomToken().substr(0, 8))
{
    this->registry.changed = [this](const Fleet::BackendRecord &record) {
        this->pool.update(record);
    };
    this->gateways.changed = [this](const Fleet::BackendRecord &record) {
        this->updateRelays(record);
    };
    this->admission.decided = [this](WaitingRequest waiting, const QuotaDecision &decision) {
        this->handleDecision(std::move(waiting), decision);
    };
    this->admission.callerGone = [this] {
        ++this->counts.callersGone;
    };
    this->pool.slackShare = [this](const Core::ServiceName &service, const std::set<std::string> &zones) {
        return this->ownership.slackShareOf(service, zones, this->timers.now());
    };
    this->pool.requestCrashed = [this](const RequestTrace &trace, const Backend &backend, Core::Instant crashedAt) {
        this->reportCrash(trace, backend, crashedAt);
    };
    this->pool.repeatsShort = [this] {
        if (!this->isStopping()) {
            this->lending.borrowSoon();
        }
    };
    this->pool.requestAnswered = [this](const RequestTrace &trace) {
        this->crashes.recordAnswer(trace.digest, this->timers.now());
    };
    this->crashes.changed = [this](Fleet::CrashRecords origin) {
        if (origin == Fleet::CrashRecords::Own) {
            this->watcher.reportCrashes();
        }
    };
    this->watcher.knownVersion = [this] {
        return this->routes ? this->routes->declaration().version : Fleet::DeclarationVersion(-1);
    };
    this->watcher.ownAnnouncement = [this] {
        return this->makeOwnAnnouncement();
    };
    this->watcher.wantsContacts = [this] {
        this->updateQuotas();
        return !this->isStopping() && this->quotas.isTakeoverPending();
    };
    this->watcher.declarationReceived = [this](Fleet::DeclarationVersion version, const std::string &content) {
        this->applyDeclaration(version, content);
    };
    this->pool.warmupShare = [this](const Core::ServiceName &service, const std::string &zone, int total) {
        return this->ownership.warmupShareOf(service, zone, total, this->timers.now());
    };
    this->pool.warmthKnownAt = [this] {
        return this->watcher.registryConfirmedAt();
    };
    this->watcher.maximumHold = [this] {
        return this->pool.warmthUpdatePeriod();
    };
    this->watcher.evacuationsChanged = [this](const Protocol::Evacuations &evacuations) {
        this->applyEvacuations(evacuations);
    };
    this->watcher.requestConfirmation();
    this->watcher.addCoordinators(this->options.coordinators);
    this->counterTimer = timers.every(CounterLogPeriod, [this](Core::Instant) {
        this->logCounters();
    });
    this->housekeeping = timers.every(HousekeepingPeriod, [this](Core::Instant now) {
        this->housekeep(now);
    });
    this->measureLoad();
}

void GatewayNode::measureLoad()
{
    this->relays.replied = [this](const Backend &owner, const BackendReply &reply, Core::Duration took) {
        if (const auto *load = Wire::findHeader(reply.message.headers, RelayHeader::OwnerLoad); load != nullptr) {
            this->ownerLoad.receive(owner.name, *load, took, this->timers.now());
        }
    };
    if (!this->options.loopWaited) {
        return;
    }
    this->loopLoad.emplace(this->timers.now());
    this->loadTimer = this->timers.every(LoadSamplePeriod, [this](Core::Instant now) {
        this->loopLoad->sample(this->options.loopWaited(), now);
    });
}

void GatewayNode::housekeep(Core::Instant now)
{
    if (this->watcher.hasReceivedUpdate() && !this->firstUpdateAt.has_value()) {
        this->firstUpdateAt = now;
    }
    for (auto *digests : {&this->latencies, &this->relayLatencies}) {
        for (auto &[name, digest] : *digests) {
            digest.decay(now);
        }
    }
    this->registry.forget(now);
    this->gateways.forget(now);
    this->crashes.forget(now);
    this->ownerLoad.forget(now);
    this->countGateways(now);
    if (this->watcher.reachableCount() > 0) {
        this->lastReachableAt = now;
    }
    const bool mayOwn = !this->isStopping() && now - this->lastReachableAt < CoordinatorlessOwnershipTime;
    this->ownership.updateGateways(this->gateways, this->timers.now());
    this->lending.updateGateways(this->gateways);
    this->updateQuotas();
    this->quotas.sweep();
    this->ownership.advance({.gateways = this->pool.gatewayCount(), .sharingSlack = this->sharingGateways, .mayOwn = mayOwn}, HousekeepingPeriod, now);
}

// Uses the largest number of ready gateways within GatewayCountMemory, since gateways whose heartbeats are missing at the moment still send requests, and
// gateways that start together become known one after another.
void GatewayNode::countGateways(Core::Instant now)
{
    if (std::exchange(this->countedPosition, this->gateways.position()) != this->gateways.position()) {
        const auto running = runningGateways(this->gateways);
        this->runningCount = static_cast<int>(running.size());
        this->runningInZone = static_cast<int>(std::count_if(running.begin(), running.end(), [this](const KeeperGateway &gateway) {
            return gateway.zone == this->options.pool.zone.value();
        }));
        this->presentGateways = this->gateways.presentCount();
    }
    const int all = this->runningCount;
    if (all >= this->maximumGateways || now - this->maximumAt >= GatewayCountMemory) {
        this->maximumGateways = all;
        this->gatewaysInZone = this->runningInZone;
        this->maximumAt = now;
    }
    const bool known = this->isReady() && all > 0;
    if (!known) {
        return;
    }
    const int sharing = std::max(this->maximumGateways, this->presentGateways);
    if (sharing != this->sharingGateways) {
        Core::logEvent(Core::LogLevel::Information,
            "gateways.counted",
            {{"gateways", sharing},
                {"before", this->sharingGateways},
                {"ready_now", all},
                {"age_ms", Core::toMilliseconds(now - this->maximumAt)},
                {"coordinators", this->watcher.reachableCount()}});
    }
    this->sharingGateways = sharing;
    this->pool.setGatewayCount(this->maximumGateways, this->gatewaysInZone);
}

void GatewayNode::logCounters() const
{
    const auto &sends = this->pool.counters();
    const auto repeated = this->pool.mostRepeated(1);
    const auto most = repeated.empty() ? ServiceBudgetUse{} : repeated.front();
    Core::logEvent(Core::LogLevel::Information,
        "gateway.counters",
        {{"requests", this->counts.requests},
            {"answered", this->counts.answered},
            {"partial", this->counts.partial},
            {"refused", this->counts.refused},
            {"failed", this->counts.failed},
            {"callers_gone", this->counts.callersGone},
            {"unauthorized", this->counts.unauthorized},
            {"over_quota", this->counts.overQuota},
            {"quarantined", this->counts.quarantined},
            {"crashes", sends.crashes},
            {"relayed", this->counts.relayed},
            {"for_others", this->counts.partsReceived},
            {"hedges", this->counts.hedges},
            {"sends", sends.attempts},
            {"sends_other_zone", sends.attemptsToOtherZone},
            {"sends_other_region", sends.attemptsToOtherRegion},
            {"broken", sends.broken},
            {"not_sent", sends.notSent},
            {"turned_away", sends.connectionRejected},
            {"not_executed", sends.notExecuted},
            {"cancelled", sends.cancelled},
            {"answers_passed_over", sends.discarded + this->relays.counters().discarded},
            {"kept_apart", sends.reuseAvoided},
            {"connections_opened", sends.connectionsOpened},
            {"connections", this->pool.connectionCount()},
            {"parts_lost_retriable", this->lostParts.count(true)},
            {"parts_lost_unknown", this->lostParts.count(false)},
            {"most_repeated", most.service.value()},
            {"window_repeats", most.use.repeats},
            {"window_requests", most.use.requests},
            {"window_limit", most.use.limit},
            {"gateways", this->pool.gatewayCount()},
            {"coordinators", this->watcher.reachableCount()}});
}

// ---- Other gateways

std::optional<Protocol::BackendAnnouncement> GatewayNode::makeOwnAnnouncement()
{
    // A gateway that has the coordinators' current state may serve other gateways, even while missing backend servers keep it from being ready for callers.
    const bool isCurrent = this->routes && this->watcher.isConfirmed() && this->watcher.lastLeaderSync().has_value();
    if (!isCurrent && !this->isReady() && !this->isStopping()) {
        return std::nullopt;
    }
    Protocol::BackendAnnouncement ownAnnouncement;
    ownAnnouncement.id = this->incarnationName;
    ownAnnouncement.address = this->options.relayEndpoint.toString();
    ownAnnouncement.zone = this->options.pool.zone.value();
    ownAnnouncement.slots = this->options.relayConnections;
    ownAnnouncement.phase = this->isStopping() ? Protocol::BackendPhase::DRAINING : Protocol::BackendPhase::READY;
    ownAnnouncement.sequence = ++this->announcementSequence;
    return ownAnnouncement;
}

void GatewayNode::updateRelays(const Fleet::BackendRecord &record)
{
    if (record.announcement.id == this->incarnationName || record.confirmBy.has_value()) {
        return;
    }
    Fleet::BackendRecord relay = record;
    relay.announcement.serviceName = relayService(record.announcement.zone).value();
    this->relays.update(relay);
}

void GatewayNode::addCoordinators(const std::vector<Core::Endpoint> &endpoints)
{
    this->watcher.addCoordinators(endpoints);
}

void GatewayNode::applyDeclaration(Fleet::DeclarationVersion version, const std::string &content)
{
    if (this->routes && version <= this->routes->declaration().version) {
        return;
    }
    auto declaration = this->options.readDeclaration(content);
    if (!declaration.has_value()) {
        // Coordinators reject declarations that they can't parse, so this one comes from a newer coordinator and this program does not support it.
        Core::logEvent(Core::LogLevel::Error, "declaration.unreadable", {{"version", version.value()}, {"error", declaration.error().message}});
        return;
    }
    this->routes = std::make_shared<const Fleet::RouteTable>(declaration.value());
    this->pool.setDeclaration(declaration.value());
    this->ownership.applyDeclaration(*declaration.value());
    this->quotas.applyDeclaration(declaration.value());
    for (const auto &[id, request] : this->requests) {
        request->restrictTo(*this->routes);
    }
    this->targetSplits.applyDeclaration(*declaration.value());
    Core::logEvent(Core::LogLevel::Information,
        "declaration.in_force",
        {{"version", version.value()},
            {"routes", declaration.value()->routes.size()},
            {"services", declaration.value()->services.size()},
            {"workspaces", declaration.value()->workspaces.has_value() ? declaration.value()->workspaces->all().size() : 0}});
    if (this->limitsChanged) {
        this->limitsChanged(declaration.value()->limits);
    }
}

void GatewayNode::applyEvacuations(const Protocol::Evacuations &evacuations)
{
    this->pool.setEvacuatedZones(evacuations.zones);
    Core::logEvent(Core::LogLevel::Information, "evacuations.in_force", {{"revision", evacuations.revision}, {"zones", Core::joinList(evacuations.zones)}});
}

bool GatewayNode::knowsEveryService() const
{
    const auto &routeList = this->routes->declaration().routes;
    return std::all_of(routeList.begin(), routeList.end(), [this](const Fleet::Route &route) {
        const bool targetsKnown = std::all_of(route.targets.begin(), route.targets.end(), [this](const auto &target) {
            return target.weight <= 0.0 || this->pool.hasReady(target.service);
        });
        const bool shardsKnown = std::all_of(route.shards.begin(), route.shards.end(), [this](const auto &shard) {
            return this->pool.hasReady(shard);
        });
        return targetsKnown && shardsKnown;
    });
}

bool GatewayNode::isReady() const
{
    if (this->isStopping() || !this->routes || !this->watcher.isConfirmed()) {
        return false;
    }
    // NOTE: After the readiness timeout, missing backend servers do not make this gateway unready: other gateways have lost the same backend servers, so
    // callers would gain nothing by going there.
    const bool hasTimedOut = this->firstUpdateAt.has_value() && this->timers.now() - this->firstUpdateAt.value() >= this->options.readinessTimeout;
    return hasTimedOut || this->knowsEveryService();
}

std::size_t GatewayNode::requestsInFlight() const
{
    return this->requests.size() + this->admission.size();
}

const GatewayCounters &GatewayNode::counters() const
{
    return this->counts;
}

const BackendPool &GatewayNode::backends() const
{
    return this->pool;
}

// ---- Requests

static RoutedRequest::AnswerHook answerTo(const Wire::ExchangePointer &exchange)
{
    return [exchange](const Wire::Response &response) {
        exchange->respond(response);
    };
}

// Adds the name of the send to each answer to another gateway, also to refusals, so that the requesting gateway can match the answer with its send.
static RoutedRequest::AnswerHook answerToSend(const Wire::ExchangePointer &exchange, std::string sendName)
{
    return [exchange, sendName = std::move(sendName)](Wire::Response response) {
        response.headers.push_back({RelayHeader::Send, sendName});
        exchange->respond(response);
    };
}

RoutedRequest::AnswerHook GatewayNode::withOwnLoad(RoutedRequest::AnswerHook answer) const
{
    if (!this->loopLoad.has_value()) {
        return answer;
    }
    return [this, answer = std::move(answer)](Wire::Response response) {
        response.headers.push_back({RelayHeader::OwnerLoad, formatLoad(this->loopLoad->report())});
        answer(std::move(response));
    };
}

void GatewayNode::handle(Wire::Request message, const Wire::ExchangePointer &exchange)
{
    ++this->counts.requests;
    CallerRequest request = this->options.dialect.readRequest(std::move(message));
    if (request.fault != nullptr) {
        ++this->counts.ambiguous;
        this->refuse(Refusal::Ambiguous, request, answerTo(exchange), request.fault);
        return;
    }
    if (!this->routes || !this->watcher.isConfirmed()) {
        this->refuse(Refusal::NotRun, request, answerTo(exchange), "declaration-unknown");
        return;
    }
    const auto *route = this->routes->match(request.host, request.message.target);
    if (route == nullptr) {
        ++this->counts.unrouted;
        this->refuse(Refusal::NoRoute, request, answerTo(exchange), "no-route");
        return;
    }
    const auto *workspace = this->authenticate(request);
    if (workspace == nullptr && this->routes->declaration().workspaces.has_value() && !route->isPublic) {
        ++this->counts.unauthorized;
        this->refuse(Refusal::Unauthorized, request, answerTo(exchange), request.key.has_value() ? "key-unknown" : "no-key");
        return;
    }
    if (this->refuseIfTooLate(*route, request, request.callerTimeout, answerTo(exchange))) {
        return;
    }
    if (workspace != nullptr && workspace->quota.isBounded()) {
        this->admit(*workspace, *route, std::move(request), exchange);
        return;
    }
    this->startRequest(*route, workspace, std::move(request), exchange);
}

// ---- Planned stop

bool GatewayNode::isStopping() const
{
    return this->stop.isStopping();
}

void GatewayNode::beginStop(const Core::StopSchedule &schedule)
{
    this->stop.begin(schedule);
    this->endRequestsBy(schedule.answersDue);
}

void GatewayNode::endRequests()
{
    for (const auto &waiting : this->admission.takeAll()) {
        ++this->counts.refusedInStop;
        this->refuse(Refusal::NotRun, waiting.request, answerTo(waiting.exchange), "stopping");
    }
    this->endRequestsBy(this->timers.now());
}

// Ending a request may end others.
void GatewayNode::endRequestsBy(Core::Instant latest)
{
    std::vector<std::uint64_t> numbers;
    numbers.reserve(this->requests.size());
    for (const auto &[number, request] : this->requests) {
        numbers.push_back(number);
    }
    for (const auto number : numbers) {
        if (const auto found = this->requests.find(number); found != this->requests.end()) {
            found->second->endBy(latest);
        }
    }
}

bool GatewayNode::refuseIfTooLate(
    const Fleet::Route &route, const CallerRequest &request, std::optional<Core::Duration> timeLeft, const RoutedRequest::AnswerHook &answer)
{
    if (!this->isStopping()) {
        return false;
    }
    const ExpectedWork work{.callerTimeout = timeLeft.value_or(this->options.requests.defaultTimeout),
        .routeTimeout = route.timeout,
        .targetLatency = route.targetLatency,
        .isRepeatable = route.idempotent,
        .latencies = &this->latencies[route.name]};
    if (!this->stop.isTooLate(work, route.name, request.id)) {
        return false;
    }
    ++this->counts.refusedInStop;
    this->refuse(Refusal::NotRun, request, answer, "stopping");
    return true;
}

Wire::Response GatewayNode::stoppingResponse() const
{
    return this->options.dialect.writeRefusal(Refusal::NotRun, Core::RequestId(), this->options.requests.retryAfter);
}

// ---- Quotas

void GatewayNode::updateQuotas()
{
    this->quotas.updateGateways(this->gateways);
    const auto lastSync = this->watcher.lastLeaderSync();
    this->quotas.setMayHoldShares(!this->isStopping() && lastSync.has_value() && this->timers.now() - lastSync.value() < LeaderlessHoldTime);
    if (const auto &statement = this->watcher.contactStatement(); statement.has_value()) {
        this->quotas.setContactStatement(statement.value());
    }
}

void GatewayNode::admit(const Fleet::Workspace &workspace, const Fleet::Route &route, CallerRequest request, const Wire::ExchangePointer &exchange)
{
    this->updateQuotas();
    const QuotaTerms terms{.urgency = urgencyOf(&workspace, route),
        .digest = digestOf(request),
        .timeLeft = request.callerTimeout.value_or(this->options.requests.defaultTimeout),
        .targetLeft = route.targetLatency,
        .typicalLatency = typicalLatencyOf(this->options.requests, route, this->latencies[route.name])};
    this->admission.add(workspace, WaitingRequest{.request = std::move(request), .exchange = exchange, .terms = terms});
}

void GatewayNode::handleDecision(WaitingRequest waiting, const QuotaDecision &decision)
{
    auto &request = waiting.request;
    const auto &exchange = waiting.exchange;
    request.waited = decision.waited;
    if (decision.verdict != QuotaDecision::Verdict::Granted) {
        this->refuseByQuota(waiting, decision);
        return;
    }
    // Another declaration may have become active while the request waited.
    const auto *route = this->routes->match(request.host, request.message.target);
    const auto *workspace = this->routes->declaration().workspaceNamed(request.workspace.value());
    if (route == nullptr || workspace == nullptr) {
        this->refuse(route == nullptr ? Refusal::NoRoute : Refusal::Unauthorized, request, answerTo(exchange), "declaration-changed");
        return;
    }
    if (this->refuseIfTooLate(*route, request, request.callerTimeout, answerTo(exchange))) {
        return;
    }
    this->startRequest(*route, workspace, std::move(request), exchange);
}

void GatewayNode::refuseByQuota(const WaitingRequest &waiting, const QuotaDecision &decision)
{
    const auto &request = waiting.request;
    const auto &terms = waiting.terms;
    const bool isOverQuota = decision.verdict == QuotaDecision::Verdict::OverQuota;
    const bool isStarting = decision.verdict == QuotaDecision::Verdict::Starting;
    // When no keeper has replied, the caller should retry when a keeper that takes over now begins to grant requests, which is after about this time.
    const auto retryAfter = isOverQuota || isStarting ? decision.retryAfter : this->options.quotas.quota.handoverTime;
    const char *const outcome = isStarting ? "quota-share-starting" : "no-quota-keeper";
    this->counts.overQuota += isOverQuota ? 1 : 0;
    Core::logEvent(Core::LogLevel::Information,
        "quota.refused",
        {{"request", request.id.value()},
            {"workspace", request.workspace.value().value()},
            {"digest", terms.digest.value()},
            {"urgency", terms.urgency.route},
            {"asked", decision.asked},
            {"waited_ms", Core::toMilliseconds(decision.waited)},
            {"reserved", decision.isReserved ? 1 : 0},
            {"retry_ms", Core::toMilliseconds(retryAfter)},
            {"caller_left_ms", Core::toMilliseconds(terms.timeLeft)},
            {"known_exhausted", decision.knownExhausted},
            {"known_age_ms", Core::toMilliseconds(decision.knownAge)},
            {"unqueried", decision.unqueried},
            {"over_quota", isOverQuota ? 1 : 0},
            {"starting", isStarting ? 1 : 0}});
    this->refuse(isOverQuota ? Refusal::OverQuota : Refusal::NotRun, request, answerTo(waiting.exchange), isOverQuota ? "over-quota" : outcome, retryAfter);
}

void GatewayNode::answerQuotaQuery(const ReceivedQuotaQuery &received, const CallerRequest &query, const RoutedRequest::AnswerHook &answer)
{
    this->updateQuotas();
    const auto reply = this->quotas.answer(received);
    if (!reply.isKeeper) {
        this->refuse(Refusal::NotRun, query, answer, "not-quota-keeper");
        return;
    }
    answer(this->options.dialect.writePartial(query.id, writeQuotaReply(reply, received.query.terms.has_value())));
}

// ---- Refusals

// Removes the API key from the request once its workspace is found, so that the key is not forwarded.
const Fleet::Workspace *GatewayNode::authenticate(CallerRequest &request) const
{
    const auto &workspaces = this->routes->declaration().workspaces;
    const auto *holder = workspaces.has_value() && request.key.has_value() ? workspaces->holderOf(request.key.value()) : nullptr;
    if (holder != nullptr) {
        request.key.reset();
        request.workspace = holder->name;
    }
    return holder;
}

void GatewayNode::refuse(
    Refusal refusal, const CallerRequest &request, const RoutedRequest::AnswerHook &answer, const char *outcome, std::optional<Core::Duration> retryAfter)
{
    Core::logEvent(Core::LogLevel::Information,
        "request.refused",
        {{"request", request.id.value()},
            {"outcome", outcome},
            {"workspace", request.workspace.has_value() ? request.workspace->value() : std::string()},
            {"host", request.host},
            {"target", request.message.target},
            {"declaration", this->routes ? this->routes->declaration().version.value() : -1},
            {"confirmed", this->watcher.isConfirmed() ? 1 : 0}});
    const auto &settings = this->options.requests;
    const auto defaultRetryAfter = this->watcher.isConfirmed() ? settings.retryAfter : settings.retryAfterStartup;
    answer(this->options.dialect.writeRefusal(refusal, request.id, retryAfter.value_or(defaultRetryAfter)));
}

void GatewayNode::handleRelayed(Wire::Request message, const Wire::ExchangePointer &exchange)
{
    auto parameters = extractRelayParameters(message.headers);
    const auto send = extractSendId(message.headers);
    const auto answerToQuery = answerToSend(exchange, send);
    if (const auto cancelled = extractCancellation(message.headers); cancelled.has_value()) {
        this->cancelPart(cancelled.value());
        answerToQuery(Wire::Response{.status = 200, .headers = {}, .body = {}});
        return;
    }
    const auto quotaQuery = extractQuotaQuery(message.headers);
    const auto loanQuery = extractLoanQuery(message);
    CallerRequest request = this->options.dialect.readRequest(std::move(message));
    if (quotaQuery.has_value()) {
        this->answerQuotaQuery(quotaQuery.value(), request, answerToQuery);
        return;
    }
    if (loanQuery.has_value()) {
        answerToQuery(this->options.dialect.writePartial(request.id, this->lending.lend(loanQuery.value())));
        return;
    }
    ++this->counts.partsReceived;
    const auto answer = this->withOwnLoad(answerToQuery);
    request.workspace = parameters.has_value() ? parameters->workspace : std::nullopt;
    const auto *route = this->routes && this->watcher.isConfirmed() ? this->routes->match(request.host, request.message.target) : nullptr;
    const auto *workspace = this->routes && request.workspace.has_value() ? this->routes->declaration().workspaceNamed(request.workspace.value()) : nullptr;
    const bool knowsWorkspace = workspace != nullptr || !request.workspace.has_value();
    const bool holdsShards
        = route != nullptr && parameters.has_value() && std::all_of(parameters->shards.begin(), parameters->shards.end(), [route](const auto &shard) {
              return std::find(route->shards.begin(), route->shards.end(), shard) != route->shards.end();
          });
    if (!holdsShards || !knowsWorkspace) {
        // The active declarations of the two gateways differ, or the parameters are incomplete. The requesting gateway sends to the backend servers itself
        // after this refusal.
        this->refuse(Refusal::NotRun, request, answer, "part-refused");
        return;
    }
    if (this->refuseIfTooLate(*route, request, parameters->timeLeftToDeadline, answer) || this->declineIfBusy(request, parameters.value(), answer)) {
        return;
    }
    if (!parameters->evidence.empty()) {
        this->pool.receiveEvidence(parameters->evidence, {}, Core::Duration(0));
    }
    parameters->send = send;
    RelayPlan plan;
    if (parameters->mayRelayFurther) {
        auto view = this->relayView(*route, workspace, true);
        view.allowedRegions = view.allowedRegions.intersectedWith(parameters->allowedRegions);
        plan = planRelay(parameters->shards, view, this->options.relay);
    } else {
        plan.direct = parameters->shards;
    }
    plan.before = parameters->before;
    for (auto &part : plan.parts) {
        part.before = parameters->before;
    }
    if (!this->startTrace(request, answer)) {
        return;
    }
    auto context = this->contextFor(*route, workspace, std::move(parameters));
    context.isAwaited = [exchange] {
        return exchange->isAwaited();
    };
    this->run(std::make_unique<FanOutRequest>(std::move(context), this->routes, *route, std::move(request), std::move(plan), RequestOrigin::OtherGateway),
        exchange,
        answer);
}

// A part that has ended, or has not arrived, is not found.
void GatewayNode::cancelPart(const PartId &part)
{
    const auto found = std::find_if(this->requests.begin(), this->requests.end(), [&part](const auto &row) {
        return row.second->isPart(part);
    });
    if (found != this->requests.end()) {
        ++this->counts.partsCancelled;
        found->second->searchEnded();
    }
}

bool GatewayNode::declineIfBusy(const CallerRequest &request, const RelayParameters &parameters, const RoutedRequest::AnswerHook &answer)
{
    if (!this->loopLoad.has_value() || !parameters.otherOwner.has_value()) {
        return false;
    }
    const auto load = this->loopLoad->report();
    if (!shouldDecline(load, parameters.otherOwner.value(), parameters.timeLeftToTarget)) {
        return false;
    }
    ++this->counts.partsDeclined;
    if (const auto omitted = this->declineLines.take(this->timers.now()); omitted.has_value()) {
        Core::logEvent(Core::LogLevel::Information,
            "part.declined",
            {{"request", request.id.value()},
                {"shards", parameters.shards.size()},
                {"busy_percent", load.busyPercent},
                {"late_ms", Core::toMilliseconds(load.late)},
                {"target_left_ms", Core::toMilliseconds(parameters.timeLeftToTarget)},
                {"other_busy_percent", parameters.otherOwner->busyPercent},
                {"other_late_ms", Core::toMilliseconds(parameters.otherOwner->late)},
                {"omitted", omitted.value()}});
    }
    answer(this->options.dialect.writeRefusal(Refusal::NotRun, request.id, this->options.requests.retryAfter));
    return true;
}

RequestContext GatewayNode::contextFor(const Fleet::Route &route, const Fleet::Workspace *workspace, std::optional<RelayParameters> relayParameters)
{
    return RequestContext{.pool = &this->pool,
        .relays = &this->relays,
        .timers = &this->timers,
        .dialect = &this->options.dialect,
        .settings = &this->options.requests,
        .latencies = &this->latencies[route.name],
        .relayLatencies = &this->relayLatencies[route.name],
        .workLimit = &this->workLimits[route.name],
        .cells = &this->ownership.cells(),
        .workspace = workspace,
        .isCautious = this->pool.hasServersEnding(),
        .relayParameters = std::move(relayParameters),
        .endsBy = this->stop.answersDue(),
        .cancelsParts = this->options.relay.cancelsParts,
        .lostParts = &this->lostParts,
        .ownerLoad = &this->ownerLoad};
}

// ---- Crashing requests

bool GatewayNode::startTrace(CallerRequest &request, const RoutedRequest::AnswerHook &answer)
{
    const auto now = this->timers.now();
    request.trace = makeTrace(request, now);
    const auto verdict = this->crashes.verdictOf(request.trace->digest, now);
    request.trace->isSuspect = verdict.standing == Fleet::RequestStanding::Suspect;
    if (verdict.standing != Fleet::RequestStanding::Quarantined) {
        return true;
    }
    ++this->counts.quarantined;
    Core::logEvent(Core::LogLevel::Information,
        "request.quarantined",
        {{"request", request.id.value()},
            {"digest", request.trace->digest.value()},
            {"crashes", verdict.crashes},
            {"rounds", verdict.rounds},
            {"for_s", Core::toMilliseconds(verdict.quarantinedUntil - now) / 1000}});
    this->refuse(Refusal::NotRun, request, answer, "quarantined", verdict.quarantinedUntil - now);
    return false;
}

void GatewayNode::reportCrash(const RequestTrace &trace, const Backend &backend, Core::Instant crashedAt)
{
    // Without an id from the caller, each arrival at a gateway counts as an attempt of its own.
    const auto attempt = trace.id.value().empty() ? this->incarnationName + std::to_string(trace.receivedAt.sinceStart().count()) : trace.id.value();
    this->crashes.recordCrash({.digest = trace.digest,
        .attempt = Core::sha256(attempt).substr(0, AttemptNameCharacters),
        .backend = backend.name.value() + "/" + std::to_string(backend.born),
        .startedAt = trace.receivedAt,
        .crashedAt = crashedAt});
}

// Other gateways may have served parts of the request, and may have seen crashes only or answers only.
void GatewayNode::reportAnswer(const RequestTrace &trace)
{
    if (!trace.answered) {
        return;
    }
    if (trace.crashes > 0) {
        this->crashes.recordAnswerDespiteCrash(trace.digest, this->timers.now());
    } else {
        this->crashes.recordAnswer(trace.digest, this->timers.now());
    }
}

RelayView GatewayNode::relayView(const Fleet::Route &route, const Fleet::Workspace *workspace, bool onlyOtherRegions)
{
    this->ownership.updateGateways(this->gateways, this->timers.now());
    return RelayView{.pool = this->pool,
        .relays = this->relays,
        .ownZone = this->options.pool.zone.value(),
        .regions = this->options.pool.regions,
        .typicalLatency = typicalLatencyOf(this->options.requests, route, this->latencies[route.name]),
        .number = this->nextRequest,
        .cells = this->ownership.cells(),
        .shardsInSearch = route.shards.size(),
        .onlyOtherRegions = onlyOtherRegions,
        .allowedRegions = workspace == nullptr ? route.allowedRegions : route.allowedRegions.intersectedWith(workspace->allowedRegions)};
}

void GatewayNode::startRequest(const Fleet::Route &route, const Fleet::Workspace *workspace, CallerRequest request, const Wire::ExchangePointer &exchange)
{
    // Removes the headers that only gateways may send, so that callers can't pass for gateways.
    (void)extractRelayParameters(request.message.headers);
    (void)extractSendId(request.message.headers);
    (void)extractCancellation(request.message.headers);
    (void)extractQuotaQuery(request.message.headers);
    (void)Wire::extractHeader(request.message.headers, RelayHeader::RepeatLoans);
    if (!this->startTrace(request, answerTo(exchange))) {
        return;
    }
    const auto context = this->contextFor(route, workspace, std::nullopt);
    if (!route.isFanOut()) {
        this->run(
            std::make_unique<SingleRequest>(context, this->routes, route, std::move(request), this->targetSplits.choose(route)), exchange, answerTo(exchange));
        return;
    }
    this->ownership.recordSearch();
    auto plan = planRelay(route.shards, this->relayView(route, workspace, false), this->options.relay);
    this->counts.relayed += plan.parts.size();
    this->run(std::make_unique<FanOutRequest>(context, this->routes, route, std::move(request), std::move(plan), RequestOrigin::Caller),
        exchange,
        answerTo(exchange));
}

void GatewayNode::run(std::unique_ptr<RoutedRequest> request, const Wire::ExchangePointer &exchange, RoutedRequest::AnswerHook answer)
{
    const auto id = this->nextRequest++;
    auto &started = *request;
    this->requests[id] = std::move(request);
    exchange->aborted = [this, id](Wire::ConnectionEnd end) {
        const auto found = this->requests.find(id);
        if (found != this->requests.end()) {
            found->second->callerGone(end);
        }
    };
    exchange->confirmed = [this, id] {
        const auto found = this->requests.find(id);
        if (found != this->requests.end()) {
            found->second->receiptConfirmed();
        }
    };
    started.start(std::move(answer), [this, id](const RequestSummary &summary) {
        this->count(summary);
        this->log(summary);
        this->reportAnswer(*summary.request->trace);
        this->requests.erase(id);
    });
}

void GatewayNode::count(const RequestSummary &summary)
{
    this->counts.hedges += static_cast<std::uint64_t>(summary.hedges);
    this->counts.endedByStop += summary.endedByStop ? 1 : 0;
    if (summary.evidence.has_value()) {
        ++this->counts.endings[{summary.outcome, summary.evidence.value()}];
    }
    (summary.route->isFanOut() ? this->searchLatencies : this->singleLatencies).add(summary.took);
    switch (summary.outcome) {
    case RequestOutcome::Answered:
        ++this->counts.answered;
        break;
    case RequestOutcome::Partial:
        ++this->counts.partial;
        break;
    case RequestOutcome::NotRun:
        ++this->counts.refused;
        break;
    case RequestOutcome::CallerGone:
        ++this->counts.callersGone;
        break;
    case RequestOutcome::FailedByBackend:
    case RequestOutcome::TimedOut:
    case RequestOutcome::Failed:
        ++this->counts.failed;
        break;
    }
}

void GatewayNode::log(const RequestSummary &summary)
{
    Core::logEvent(Core::LogLevel::Information,
        "request.finished",
        {{"request", summary.request->id.value()},
            {"digest", summary.request->trace->digest.value()},
            {"route", summary.route->name},
            {"workspace", summary.request->workspace.has_value() ? summary.request->workspace->value() : std::string()},
            {"declaration", summary.declarationVersion},
            {"outcome", outcomeName(summary.outcome)},
            {"status", summary.status},
            {"may_have_run", summary.evidence.has_value() ? evidenceName(summary.evidence.value()) : ""},
            {"shards", summary.shards},
            {"answered", summary.answered},
            {"relayed", summary.relayed},
            {"attempts", summary.attempts},
            {"hedges", summary.hedges},
            {"most_attempts", summary.mostAttempts},
            {"max_attempts", summary.route->maximumAttempts},
            {"took_ms", Core::toMilliseconds(summary.took)},
            {"ended_by_stop", summary.endedByStop ? 1 : 0},
            {"connection", summary.connectionEnd.has_value() ? Wire::connectionEndName(summary.connectionEnd.value()) : ""},
            {"missing", summary.detail}});
}

void GatewayNode::logUnanswered() const
{
    std::size_t lines = 0;
    for (const auto &[number, request] : this->requests) {
        if (++lines > MaximumUnansweredLines) {
            break;
        }
        const auto state = request->currentState();
        Core::logEvent(Core::LogLevel::Warning,
            "request.cut",
            {{"request", state.request->id.value()},
                {"digest", state.request->trace->digest.value()},
                {"route", state.route->name},
                {"shards", state.shards},
                {"answered", state.answered},
                {"attempts", state.attempts},
                {"age_ms", Core::toMilliseconds(state.took)},
                {"missing", state.detail}});
    }
    this->admission.forEach([&lines](const WaitingRequest &waiting) {
        if (++lines <= MaximumUnansweredLines) {
            Core::logEvent(Core::LogLevel::Warning, "request.cut", {{"request", waiting.request.id.value()}, {"attempts", 0}, {"missing", "quota decision"}});
        }
    });
}

std::string GatewayNode::metrics() const
{
    Metrics::MetricsPage page;
    addRequestMetrics(page, this->counts);
    addSendMetrics(page, this->pool, this->relays);
    addLostPartMetrics(page, this->lostParts);
    addQuotaMetrics(page, this->quotas);
    addLendingMetrics(page, this->lending.counters());
    addOwnerMetrics(page, this->ownerLoad.counters(), this->loopLoad.has_value() ? std::optional(this->loopLoad->report()) : std::nullopt);
    Fleet::addCrashMetrics(page, this->crashes, this->timers.now());
    page.gauge("crankrudder_evacuated_zones", "Availability zones that are evacuated.", static_cast<double>(this->watcher.evacuations().zones.size()));
    page.gauge("crankrudder_requests_under_way", "Requests that wait for their answer.", static_cast<double>(this->requests.size()));
    page.counter("crankrudder_requests_refused_in_stop_total",
        "Requests and parts that were refused since this gateway ends before they would.",
        static_cast<double>(this->counts.refusedInStop));
    page.counter("crankrudder_requests_ended_by_stop_total",
        "Requests and parts that ended before their timeout since this gateway is stopping.",
        static_cast<double>(this->counts.endedByStop));
    if (this->callerConnections) {
        addConnectionMetrics(page, this->callerConnections());
    }
    page.gauge("crankrudder_ready", "Whether callers should come here.", this->isReady() ? 1 : 0);
    page.gauge("crankrudder_coordinators_in_reach", "Coordinators that answer.", static_cast<double>(this->watcher.reachableCount()));
    page.gauge("crankrudder_gateways", "Gateways that are known to be ready.", this->pool.gatewayCount());
    page.gauge(
        "crankrudder_gateways_sharing_slack", "Gateways by which the slack of the retry budgets is divided, silent ones included.", this->sharingGateways);
    page.gauge(
        "crankrudder_declaration_version", "The declaration in force.", this->routes ? static_cast<double>(this->routes->declaration().version.value()) : -1.0);
    page.histogram("crankrudder_request_seconds", "Time until the answer.", this->searchLatencies, {{"kind", "search"}});
    page.histogram("crankrudder_request_seconds", "Time until the answer.", this->singleLatencies, {{"kind", "single"}});
    return page.text();
}

std::string GatewayNode::dump() const
{
    nlohmann::json document;
    document["name"] = this->options.name;
    document["ready"] = this->isReady();
    document["declaration_version"] = this->routes ? this->routes->declaration().version.value() : -1;
    document["evacuated_zones"] = this->watcher.evacuations().zones;
    document["confirmed"] = this->watcher.isConfirmed();
    document["coordinators_in_reach"] = this->watcher.reachableCount();
    document["gateways"] = this->pool.gatewayCount();
    document["requests_under_way"] = this->requests.size();
    document["crashing_requests"] = nlohmann::json::array();
    for (const auto &digest : this->crashes.suspects(this->timers.now())) {
        const auto verdict = this->crashes.verdictOf(digest, this->timers.now());
        document["crashing_requests"].push_back(
            {{"digest", digest.value()}, {"standing", Fleet::standingName(verdict.standing)}, {"crashes", verdict.crashes}, {"rounds", verdict.rounds}});
    }
    document["backends"] = nlohmann::json::parse(this->pool.dump());
    return document.dump(2);
}

}
