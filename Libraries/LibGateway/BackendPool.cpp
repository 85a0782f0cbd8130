/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/BackendPool.h>

#include <LibCore/Log.h>
#include <LibGateway/BackendLog.h>
#include <LibGateway/RequestTrace.h>

#include <algorithm>
#include <iterator>
#include <nlohmann/json.hpp>
#include <numeric>
#include <utility>

namespace Gateway
{

static constexpr Core::Duration SweepPeriod = Core::milliseconds(50);
// Sweep period while no attempt is in flight and no request waits for capacity. Sweeps then only close idle connections, and an expired connection is also
// closed before the next send picks one.
static constexpr Core::Duration IdleSweepPeriod = Core::milliseconds(250);
// How often a gateway needs news about the warm-up of backend servers, and for how long after it sent to one with a warm-up limit.
static constexpr Core::Duration WarmthUpdatePeriod = Core::milliseconds(200);
static constexpr Core::Duration WarmthInterestTime = Core::seconds(10);
// Shortest typical latency against which speed is judged; the event loop's own delays are of this order.
static constexpr Core::Duration ShortestTypicalLatency = Core::milliseconds(1);

BackendPool::BackendPool(BackendPoolOptions options, const Dialect &dialect, Core::EventPoll &poll, Core::TimerService &timers)
    : options(std::move(options))
    , dialect(dialect)
    , timers(timers)
    , choice(this->options.choice)
    , warmupLimiter(this->options.warmup)
    , warmthChecks(this->options.warmthChecks, timers, this->makeWarmthCheckHooks())
    , crashChecks(timers, this->makeCrashCheckHooks())
    , connector(this->connectorOptions(), poll, timers, this->makeConnectorHooks())
    , waiters(timers, this->makeCapacityHooks())
{
    this->sweepEvery(IdleSweepPeriod);
}

BackendPool::~BackendPool()
{
    for (const auto &[name, backend] : this->backends) {
        backend->connections.closeAll();
    }
    for (const auto &former : this->formerIncarnations) {
        former->connections.closeAll();
    }
}

// ---- Backend servers and services

BackendPool::Service &BackendPool::serviceOf(const Core::ServiceName &name)
{
    auto &service = this->services[name];
    if (!service.budget) {
        service.budget = std::make_unique<RetryBudget>(this->options.budget);
    }
    return service;
}

void BackendPool::update(const Fleet::BackendRecord &record)
{
    const auto &announcement = record.announcement;
    const auto found = this->backends.find(announcement.id);
    const bool isNewIncarnation = found != this->backends.end() && announcement.born > found->second->born;
    if (isNewIncarnation) {
        this->retire(std::move(found->second));
        this->backends.erase(found);
    } else if (found != this->backends.end()) {
        if (announcement.born < found->second->born) {
            return;
        }
        if (Fleet::isDeparture(announcement) && announcement.phase != found->second->phase) {
            logDeparture(*found->second, announcement);
        }
        found->second->phase = announcement.phase;
        if (announcement.phase == Protocol::BackendPhase::GONE) {
            this->markGone(*found->second);
        }
        found->second->slots = std::max(1, announcement.slots);
        found->second->warmUntil = record.warmUntil;
        return;
    }
    const auto endpoint = Core::Endpoint::parse(announcement.address);
    if (announcement.phase != Protocol::BackendPhase::READY || !endpoint.has_value()) {
        return;
    }
    auto backend = std::make_unique<Backend>();
    backend->name = BackendName(announcement.id);
    backend->service = Core::ServiceName(announcement.serviceName);
    backend->endpoint = endpoint.value();
    backend->zone = announcement.zone;
    backend->sameZone = announcement.zone == this->options.zone.value();
    backend->sameRegion = this->isInRegion(announcement.zone);
    const auto region = this->options.regions.find(announcement.zone);
    backend->region = region == this->options.regions.end() ? std::string() : region->second;
    backend->born = announcement.born;
    backend->slots = std::max(1, announcement.slots);
    backend->warmUntil = record.warmUntil;
    const auto service = backend->service;
    auto &row = this->serviceOf(service);
    row.backends.push_back(backend.get());
    row.zones.insert(backend->zone);
    backend->serviceAcceptance = row.acceptance;
    this->backends[announcement.id] = std::move(backend);
    this->waiters.offer(service);
}

void BackendPool::markGone(Backend &backend)
{
    backend.phase = Protocol::BackendPhase::GONE;
    this->swept.insert(&backend);
}

void BackendPool::remove(Backend &backend)
{
    this->swept.erase(&backend);
    auto &rows = this->serviceOf(backend.service).backends;
    std::erase(rows, &backend);
    this->backends.erase(backend.name.value());
}

// Attempts in flight to the former incarnation still end by themselves. No further requests go to it, and its health does not carry over to the next
// incarnation.
void BackendPool::retire(std::unique_ptr<Backend> former)
{
    former->phase = Protocol::BackendPhase::GONE;
    this->swept.erase(former.get());
    std::erase(this->serviceOf(former->service).backends, former.get());
    this->formerIncarnations.push_back(std::move(former));
}

void BackendPool::setDeclaration(std::shared_ptr<const Fleet::Declaration> newDeclaration)
{
    this->declaration = std::move(newDeclaration);
    for (const auto &[name, declared] : this->declaration->services) {
        auto &row = this->serviceOf(name);
        row.connectionCap = declared.connectionCap;
        row.warmupTime = declared.warmupTime;
        row.warmupRequestsPerSecond = declared.warmupRequestsPerSecond;
        row.healthPath = declared.healthPath;
    }
}

void BackendPool::setGatewayCount(int all, int inZone)
{
    this->gateways = GatewayCount{.all = std::max(1, all), .inZone = std::max(1, inZone)};
}

int BackendPool::gatewayCount() const
{
    return this->gateways.all;
}

void BackendPool::recordRequest(const Core::ServiceName &service)
{
    this->serviceOf(service).budget->recordRequest(this->timers.now());
}

bool BackendPool::consumeRetry(const Core::ServiceName &service, const RepeatRequest &repeat)
{
    const auto now = this->timers.now();
    auto &row = this->serviceOf(service);
    const double share = this->slackShareOf(service, row);
    const bool isGranted = row.budget->consumeRetry(now, share, repeat.value);
    this->counts.repeats.record(repeat.kind, isGranted);
    if (!isGranted) {
        this->deniedRepeats.record(service, repeat, row.budget->useAt(now, share), now);
    }
    if (row.budget->wasShort() && this->repeatsShort) {
        this->shortServices.insert(service);
        this->repeatsShort();
    }
    return isGranted;
}

std::map<Core::ServiceName, int> BackendPool::repeatShortages()
{
    std::map<Core::ServiceName, int> shortages;
    std::erase_if(this->shortServices, [this, &shortages](const Core::ServiceName &name) {
        const auto &row = this->serviceOf(name);
        const int shortage = row.budget->shortage(this->timers.now(), this->slackShareOf(name, row));
        if (shortage > 0) {
            shortages[name] = shortage;
        }
        return shortage == 0;
    });
    return shortages;
}

int BackendPool::lendRepeats(const Core::ServiceName &service, int wanted)
{
    const auto found = this->services.find(service);
    if (found == this->services.end() || !found->second.budget) {
        return 0;
    }
    return found->second.budget->lend(this->timers.now(), this->slackShareOf(service, found->second), wanted);
}

void BackendPool::borrowRepeats(const Core::ServiceName &service, int count, Core::Instant queriedAt)
{
    auto &budget = *this->serviceOf(service).budget;
    budget.addLoan(count, queriedAt + budget.loanValidity());
}

void BackendPool::recordPostponedRepeat()
{
    ++this->counts.repeatsPostponed;
}

void BackendPool::recordUnawaitedRepeat()
{
    ++this->counts.repeatsNotAwaited;
}

double BackendPool::slackShareOf(const Core::ServiceName &name, const Service &service) const
{
    return this->slackShare ? this->slackShare(name, service.zones) : 1.0 / this->gateways.all;
}

std::vector<ServiceBudgetUse> BackendPool::mostRepeated(std::size_t count) const
{
    std::vector<ServiceBudgetUse> used;
    for (const auto &[name, service] : this->services) {
        const auto use = service.budget ? service.budget->useAt(this->timers.now(), this->slackShareOf(name, service)) : BudgetUse{};
        if (use.repeats > 0.0) {
            used.push_back({.service = name, .use = use});
        }
    }
    const auto end = used.begin() + static_cast<std::ptrdiff_t>(std::min(count, used.size()));
    std::partial_sort(used.begin(), end, used.end(), [](const ServiceBudgetUse &first, const ServiceBudgetUse &second) {
        return first.use.repeats > second.use.repeats;
    });
    used.erase(end, used.end());
    return used;
}

bool BackendPool::hasReady(const Core::ServiceName &service) const
{
    const auto found = this->services.find(service);
    return found != this->services.end() && std::any_of(found->second.backends.begin(), found->second.backends.end(), [](const Backend *backend) {
        return backend->phase == Protocol::BackendPhase::READY;
    });
}

bool BackendPool::hasEligible(const Core::ServiceName &service, const Fleet::AllowedRegions &allowedRegions) const
{
    const auto found = this->services.find(service);
    return found != this->services.end() && std::any_of(found->second.backends.begin(), found->second.backends.end(), [&](const Backend *backend) {
        return this->isEligible(*backend, allowedRegions);
    });
}

std::vector<std::string> BackendPool::goodZonesOf(
    const Core::ServiceName &service, Core::Duration typicalLatency, const Fleet::AllowedRegions &allowedRegions) const
{
    const auto found = this->services.find(service);
    if (found == this->services.end()) {
        return {};
    }
    std::vector<Backend *> candidates;
    std::copy_if(found->second.backends.begin(), found->second.backends.end(), std::back_inserter(candidates), [&](const Backend *backend) {
        return this->isEligible(*backend, allowedRegions) && (this->hasCapacity(*backend, found->second) || this->hasUnknownCapacity(*backend, found->second));
    });
    return this->choice.goodZones(candidates, typicalLatency, this->timers.now());
}

bool BackendPool::isGoodInRegion(const Core::ServiceName &service, Core::Duration typicalLatency, const Fleet::AllowedRegions &allowedRegions) const
{
    const auto zones = this->goodZonesOf(service, typicalLatency, allowedRegions);
    return std::any_of(zones.begin(), zones.end(), [this](const std::string &zone) {
        return this->isInRegion(zone);
    });
}

bool BackendPool::isInRegion(const std::string &zone) const
{
    return Fleet::inSameRegion(this->options.regions, this->options.zone.value(), zone);
}

void BackendPool::recordPartLatency(const Core::ServiceName &service, const std::string &zone, double ratio)
{
    const auto found = this->services.find(service);
    if (found == this->services.end()) {
        return;
    }
    for (auto *backend : found->second.backends) {
        // NOTE: Which backend server of the zone served the request is not reported, so the latency counts for all of them.
        if (backend->zone == zone) {
            backend->health.recordRemoteAnswer(ratio, this->timers.now());
        }
    }
}

Core::Duration BackendPool::roundTripTo(const Core::ServiceName &service) const
{
    Core::Duration shortest = this->options.choice.assumedRegionRoundTrip;
    const auto found = this->services.find(service);
    if (found == this->services.end()) {
        return shortest;
    }
    for (const auto *backend : found->second.backends) {
        shortest = std::min(shortest, backend->roundTrip.value_or(shortest));
    }
    return shortest;
}

Core::Duration BackendPool::acknowledgementLimitTo(const Core::ServiceName &service) const
{
    return std::min(this->options.acknowledgementTimeout, Wire::acknowledgementLimit(this->roundTripTo(service)));
}

const PoolCounters &BackendPool::counters() const
{
    return this->counts;
}

std::size_t BackendPool::connectionCount() const
{
    std::size_t count = 0;
    for (const auto &[name, backend] : this->backends) {
        count += backend->connections.size();
    }
    return count;
}

std::size_t BackendPool::backendCount() const
{
    return this->backends.size();
}

// ---- Choice

std::size_t BackendPool::connectionLimit(const Backend &backend, const Service &service) const
{
    if (service.connectionCap == 0) {
        return static_cast<std::size_t>(this->options.undeclaredCap);
    }
    return Gateway::connectionLimit(this->options.connections, service.connectionCap, backend.sameZone, this->gateways);
}

bool BackendPool::hasCapacity(const Backend &backend, const Service &service, const CallerRequest *request) const
{
    return this->isWithinWarmupLimit(backend, service) && this->hasFreeConnection(backend, service, request);
}

bool BackendPool::hasUnknownCapacity(const Backend &backend, const Service &service, const CallerRequest *request) const
{
    const bool isUnknown = this->warmthOf(backend, service) == Warmth::Unknown;
    return isUnknown && this->warmthChecks.mayTell(backend) && this->hasFreeConnection(backend, service, request);
}

bool BackendPool::hasFreeConnection(const Backend &backend, const Service &service, const CallerRequest *request) const
{
    const bool takesMore = backend.connectionRejected.hasElapsed(this->timers.now());
    const auto limit = this->connectionLimit(backend, service);
    if (takesMore && backend.connections.size() < limit) {
        return true;
    }
    if (request == nullptr) {
        // The request is not known yet, so any idle connection can be reused for it.
        return backend.connections.hasIdle();
    }
    if (takesMore && backend.connections.size() == limit && backend.connections.hasIdle()) {
        // When every idle connection has sent this key before, one connection beyond the limit is opened, and an idle one is closed once the new one is
        // established.
        return true;
    }
    // Uses the key that send() would assign to the request.
    return backend.connections.hasIdleFor(this->dialect.replyKey({.caller = request, .backend = backend.name, .number = this->nextAttempt}));
}

bool BackendPool::hasAnyCapacity(const Service &service, const Fleet::AllowedRegions &allowedRegions) const
{
    return std::any_of(service.backends.begin(), service.backends.end(), [&](const Backend *backend) {
        return this->isEligible(*backend, allowedRegions) && this->hasCapacity(*backend, service);
    });
}

std::size_t BackendPool::connectionLimitOfAll(const Service &service) const
{
    return std::accumulate(service.backends.begin(), service.backends.end(), std::size_t(0), [&](std::size_t sum, const Backend *backend) {
        return sum + this->connectionLimit(*backend, service);
    });
}

bool BackendPool::isEligible(const Backend &backend, const Fleet::AllowedRegions &allowedRegions) const
{
    const bool takesWork = backend.phase == Protocol::BackendPhase::READY;
    return takesWork && !this->evacuatedZones.contains(backend.zone) && allowedRegions.allows(backend.region);
}

// ---- Warm-up

bool BackendPool::isWarmthCurrent() const
{
    if (!this->warmthKnownAt) {
        return true;
    }
    const auto knownAt = this->warmthKnownAt();
    return knownAt.has_value() && this->timers.now() - knownAt.value() <= this->options.maximumWarmthAge;
}

BackendPool::Warmth BackendPool::warmthOf(const Backend &backend, const Service &service) const
{
    if (service.warmupRequestsPerSecond <= 0.0) {
        return Warmth::Warm;
    }
    if (this->timers.now() < backend.warmUntil) {
        return Warmth::Cold;
    }
    return this->isWarmthCurrent() ? Warmth::Warm : Warmth::Unknown;
}

bool BackendPool::isWithinWarmupLimit(const Backend &backend, const Service &service) const
{
    const auto warmth = this->warmthOf(backend, service);
    if (warmth == Warmth::Warm || (warmth == Warmth::Unknown && this->warmthChecks.allowsSend(backend))) {
        return true;
    }
    const int total = this->warmupLimiter.total(service.warmupRequestsPerSecond);
    const int share = this->warmupShare ? this->warmupShare(backend.service, backend.zone, total) : 0;
    return this->warmupLimiter.isWithin(backend.name, share, this->timers.now());
}

// NOTE: A request that is sent because of an answer does not count in the share. At most half of the limit is distributed as shares (computeWarmupShare()). A
//       backend server that turns cold right after its answers gets beside that what these allowed; see sendsPerCheck().
void BackendPool::recordWarmupSend(Backend &backend, const Service &service)
{
    if (service.warmupRequestsPerSecond <= 0.0) {
        return;
    }
    const auto now = this->timers.now();
    this->lastLimitedSend = now;
    const auto warmth = this->warmthOf(backend, service);
    if (warmth == Warmth::Unknown && this->warmthChecks.allowsSend(backend)) {
        this->warmthChecks.recordSend(backend);
    } else if (warmth != Warmth::Warm) {
        this->warmupLimiter.recordSend(backend.name, now);
    }
}

std::optional<Core::Duration> BackendPool::warmthUpdatePeriod() const
{
    const bool isNeeded = this->lastLimitedSend.has_value() && this->timers.now() - this->lastLimitedSend.value() < WarmthInterestTime;
    return isNeeded ? std::optional(WarmthUpdatePeriod) : std::nullopt;
}

void BackendPool::logWarmthAge()
{
    const bool isOutdated = this->warmthUpdatePeriod().has_value() && !this->isWarmthCurrent();
    if (std::exchange(this->isWarmthOutdated, isOutdated) == isOutdated) {
        return;
    }
    const auto knownAt = this->warmthKnownAt ? this->warmthKnownAt() : std::nullopt;
    Core::logEvent(Core::LogLevel::Information,
        isOutdated ? "warmth.outdated" : "warmth.current",
        {{"age_ms", knownAt.has_value() ? Core::toMilliseconds(this->timers.now() - knownAt.value()) : -1}, {"checks", this->warmthCounters().begun}});
}

// The gateways together send a quarter of the limit, or one request each if that is more. A check begins for a request that waits for it, so that an answer
// is unused for a moment only.
int BackendPool::sendsPerCheck(const Service &service) const
{
    const int quarter = this->warmupLimiter.total(service.warmupRequestsPerSecond) / 4;
    return std::max(1, quarter / this->gateways.all);
}

const WarmthCheckCounters &BackendPool::warmthCounters() const
{
    return this->warmthChecks.counters();
}

WarmthCheckHooks BackendPool::makeWarmthCheckHooks()
{
    WarmthCheckHooks hooks;
    hooks.connectionFor = [this](Backend &backend, const ReplyKey &key) {
        return this->connectionForCheck(backend, key);
    };
    hooks.write = [this](std::string &bytes, const Backend &backend, const ReplyKey &key) {
        const auto &path = this->serviceOf(backend.service).healthPath;
        return !path.empty() && this->dialect.writeHealthRequest(bytes, {.endpoint = backend.endpoint, .target = path, .key = key});
    };
    hooks.recognise = [this](const Wire::Response &response, const ReplyKey &key) {
        // Backend servers answer requests with their key, and may leave it out here.
        const auto answered = this->dialect.readReplyKey(response);
        return answered.value().empty() || answered == key;
    };
    hooks.read = [this](const Wire::Response &response, const Backend &backend) {
        return this->dialect.readWarmupLeft(response, backend.name);
    };
    hooks.ended = [this](Backend &backend) {
        this->waiters.offer(backend.service);
    };
    return hooks;
}

ConnectionPointer BackendPool::connectionForCheck(Backend &backend, const ReplyKey &key)
{
    const auto &service = this->serviceOf(backend.service);
    return this->hasFreeConnection(backend, service, nullptr) ? this->connector.connectionFor(backend, key) : nullptr;
}

void BackendPool::assumeWarmingUp(Backend &backend)
{
    const auto &service = this->serviceOf(backend.service);
    if (service.warmupRequestsPerSecond > 0.0) {
        backend.warmUntil = std::max(backend.warmUntil, this->timers.now() + service.warmupTime);
    }
}

void BackendPool::setEvacuatedZones(const std::vector<std::string> &zones)
{
    const auto before = std::exchange(this->evacuatedZones, std::set<std::string>(zones.begin(), zones.end()));
    for (const auto &[name, backend] : this->backends) {
        // The zone is in use again. Its backend servers may have restarted in the meantime and be warming up, and the heartbeat that reports this may not have
        // arrived yet.
        if (before.contains(backend->zone) && !this->evacuatedZones.contains(backend->zone)) {
            this->assumeWarmingUp(*backend);
        }
    }
}

Backend *BackendPool::choose(const SelectionCriteria &criteria)
{
    const auto &row = this->serviceOf(criteria.service);
    std::vector<Backend *> candidates;
    std::vector<Backend *> unknown;
    for (auto *backend : row.backends) {
        const bool wasTried = std::find(criteria.tried.begin(), criteria.tried.end(), backend->name) != criteria.tried.end();
        if (wasTried || !this->isEligible(*backend, criteria.allowedRegions)) {
            continue;
        }
        if (this->hasCapacity(*backend, row, criteria.request)) {
            candidates.push_back(backend);
        } else if (this->hasUnknownCapacity(*backend, row, criteria.request)) {
            unknown.push_back(backend);
        }
    }
    const ChoiceTerms terms{
        .typicalLatency = criteria.typicalLatency, .within = criteria.within, .refusedBy = criteria.refusedBy, .mayProbe = criteria.mayProbe};
    if (unknown.empty()) {
        return this->choice.best(candidates, terms, this->timers.now());
    }
    return this->chooseWithUnknown(std::move(candidates), unknown, criteria, terms);
}

// A first send waits for the check of the best backend server, which takes a round trip, rather than go to a worse one. A repeat does not wait.
Backend *BackendPool::chooseWithUnknown(
    std::vector<Backend *> candidates, const std::vector<Backend *> &unknown, const SelectionCriteria &criteria, const ChoiceTerms &terms)
{
    const auto now = this->timers.now();
    auto all = candidates;
    all.insert(all.end(), unknown.begin(), unknown.end());
    auto *best = this->choice.best(all, terms, now);
    if (best == nullptr || std::find(unknown.begin(), unknown.end(), best) == unknown.end()) {
        return best;
    }
    this->warmthChecks.begin(*best, this->sendsPerCheck(this->serviceOf(best->service)));
    const bool isRepeat = !criteria.tried.empty() || criteria.within.has_value();
    const bool waits = !isRepeat && this->warmthChecks.isChecking(*best);
    return waits ? nullptr : this->choice.best(candidates, terms, now);
}

Backend *BackendPool::firstHealthy(const std::vector<BackendName> &names, const SelectionCriteria &criteria)
{
    const auto now = this->timers.now();
    for (const auto &name : names) {
        const auto found = this->backends.find(name.value());
        const bool wasTried = std::find(criteria.tried.begin(), criteria.tried.end(), name) != criteria.tried.end();
        const bool hasRefused = std::find(criteria.refusedBy.begin(), criteria.refusedBy.end(), name) != criteria.refusedBy.end();
        if (found == this->backends.end() || wasTried || hasRefused) {
            continue;
        }
        auto &backend = *found->second;
        const auto &row = this->serviceOf(backend.service);
        const bool takesWork = this->isEligible(backend, criteria.allowedRegions) && this->hasCapacity(backend, row, criteria.request);
        if (takesWork && !backend.health.isAvoided(now) && !BackendChoice::isStuck(backend, now)) {
            return &backend;
        }
    }
    return nullptr;
}

// ---- Connections

BackendConnectorOptions BackendPool::connectorOptions() const
{
    return {.connectTimeout = this->options.connectTimeout,
        .acceptsPromptly = this->options.acceptsPromptly,
        .acknowledgementTimeout = this->options.acknowledgementTimeout,
        .awaitsAcknowledgement = this->options.awaitsAcknowledgement,
        .trial = this->options.trial,
        .receiveBudget = this->options.receiveBudget};
}

BackendConnectorHooks BackendPool::makeConnectorHooks()
{
    BackendConnectorHooks hooks;
    hooks.nearestRoundTrip = [this](const Core::ServiceName &service) {
        return this->roundTripTo(service);
    };
    hooks.opened = [this](Backend &backend) {
        ++this->counts.connectionsOpened;
        this->swept.insert(&backend);
    };
    hooks.closed = [this](Backend &backend, const Wire::ClientConnection *connection) {
        this->connectionClosed(backend, connection);
    };
    hooks.keptApart = [this] {
        ++this->counts.reuseAvoided;
    };
    return hooks;
}

void BackendPool::connectionClosed(Backend &backend, const Wire::ClientConnection *connection)
{
    const auto service = backend.service;
    const bool wasPlanned = backend.phase != Protocol::BackendPhase::READY;
    if (connection->endedUnexpectedlyWhileIdle() && !wasPlanned) {
        this->crashChecks.recordEndedConnection(backend);
    }
    backend.connections.remove(connection);
    this->waiters.offer(service);
}

bool BackendPool::hasServersEnding() const
{
    return this->crashChecks.hasServersEnding();
}

// ---- Attempts

AttemptId BackendPool::send(Backend &backend, AttemptOptions attemptOptions)
{
    const AttemptId id = this->nextAttempt++;
    this->sweepEvery(SweepPeriod);
    ++this->counts.attempts;
    this->counts.attemptsToOtherRegion += backend.sameRegion ? 0 : 1;
    this->counts.attemptsToOtherZone += backend.sameRegion && !backend.sameZone ? 1 : 0;
    this->counts.attemptsToLowAcceptance += backend.health.observedAcceptance(this->timers.now()).value_or(1.0) < LowAcceptance ? 1 : 0;
    auto &attempt = this->attempts[id];
    attempt.id = id;
    attempt.backend = &backend;
    attempt.trace = attemptOptions.caller->trace;
    attempt.startedAt = this->timers.now();
    attempt.typicalLatency = attemptOptions.typicalLatency;
    attempt.queueing = backend.health.queueing(backend.inFlight.size(), backend.slots, attempt.startedAt);
    attempt.done = std::move(attemptOptions.done);
    backend.inFlight.push_back(&attempt);
    const bool eligible = this->isEligible(backend, attemptOptions.allowedRegions);
    if (!eligible) {
        Core::logEvent(Core::LogLevel::Error, "backend.not_eligible", {{"backend", backend.name.value()}, {"request", attemptOptions.caller->id.value()}});
    }
    const BackendRequest request{.caller = attemptOptions.caller, .backend = backend.name, .timeLeft = attemptOptions.timeLeft, .number = id};
    const auto key = this->dialect.replyKey(request);
    std::string bytes;
    const bool isWritable = this->dialect.writeRequest(bytes, request);
    if (!isWritable) {
        Core::logEvent(Core::LogLevel::Error, "request.invalid", {{"backend", backend.name.value()}, {"request", attemptOptions.caller->id.value()}});
    }
    attempt.connection = eligible && isWritable ? this->connector.connectionFor(backend, key) : nullptr;
    if (!attempt.connection) {
        // Reports the outcome from the event loop at the next sweep, as all outcomes are reported from the loop.
        attempt.cancelAt = attempt.startedAt;
        return id;
    }
    this->recordWarmupSend(backend, this->serviceOf(backend.service));
    attempt.connection->send({.bytes = std::move(bytes),
        .key = key.value(),
        .isHead = attemptOptions.caller->message.method == "HEAD",
        .verifyOpen = attemptOptions.verifyOpen,
        .mayConfirm = std::move(attemptOptions.mayConfirm),
        .recognise =
            [this, key, name = backend.name](const Wire::Response &response) {
                return this->isAnswerTo(key, name, response);
            },
        .done =
            [this, id](Wire::ClientResult result) {
                this->finish(id, std::move(result));
            }});
    return id;
}

bool BackendPool::isAnswerTo(const ReplyKey &expected, const BackendName &backend, const Wire::Response &response)
{
    // Every answer names the request that it belongs to. An answer without a name belongs to no request, and an answer with a name does not match a request
    // without one.
    const auto answered = this->dialect.readReplyKey(response);
    const bool refusalWithoutKey = answered.value().empty() && this->dialect.isRefusalWithoutKey && this->dialect.isRefusalWithoutKey(response);
    if (answered == expected || refusalWithoutKey) {
        return true;
    }
    ++this->counts.discarded;
    Core::logEvent(Core::LogLevel::Information,
        "answer.passed_over",
        {{"request", expected.value()}, {"answers", answered.value()}, {"backend", backend.value()}, {"status", response.status}});
    return false;
}

Attempt BackendPool::extractAttempt(AttemptId id)
{
    const auto found = this->attempts.find(id);
    Attempt attempt = std::move(found->second);
    std::erase(attempt.backend->inFlight, &found->second);
    this->attempts.erase(found);
    return attempt;
}

void BackendPool::finish(AttemptId id, Wire::ClientResult result)
{
    auto &attempt = this->attempts.at(id);
    auto &backend = *attempt.backend;
    const auto end = result.end;
    auto outcome = this->outcomeOf(attempt, std::move(result));
    if (end == Wire::ClientEnd::ConnectionRejected) {
        this->recordRejection(backend);
    } else {
        this->observeOutcome(backend, attempt, outcome);
    }
    const bool isFirstAnswer = end == Wire::ClientEnd::Answered && attempt.connection->answered() == 1;
    if (isFirstAnswer) {
        // This connection is now established. It may have been opened beyond the limit, because all idle ones had sent the request's key.
        backend.connections.closeIdleBeyond(this->connectionLimit(backend, this->serviceOf(backend.service)));
    }
    const bool mayHaveEnded = outcome.end == AttemptEnd::Broken && this->options.recordsCrashes && attempt.trace && this->isEligible(backend, {});
    if (mayHaveEnded && this->crashChecks.recordBreak(backend, attempt.trace, id)) {
        attempt.unverified = std::move(outcome);
        return;
    }
    this->complete(id, outcome);
}

AttemptOutcome BackendPool::outcomeOf(const Attempt &attempt, Wire::ClientResult result)
{
    AttemptOutcome outcome;
    outcome.reason = std::move(result.reason);
    outcome.confirmed = result.confirmed;
    switch (result.end) {
    case Wire::ClientEnd::Answered:
        outcome.end = AttemptEnd::Replied;
        outcome.reply = this->dialect.readReply(std::move(result.response));
        if (this->options.recordsCrashes) {
            recordAnswer(attempt, outcome.reply, this->requestAnswered);
        }
        if (this->replied) {
            this->replied(*attempt.backend, outcome.reply, this->timers.now() - attempt.startedAt);
        }
        break;
    case Wire::ClientEnd::NotSent:
    case Wire::ClientEnd::ConnectionRejected:
        outcome.end = AttemptEnd::NotSent;
        break;
    case Wire::ClientEnd::Broken:
        outcome.end = AttemptEnd::Broken;
        if (attempt.connection->answered() == 0) {
            this->connector.recordReset();
        }
        logBroken(attempt, outcome.reason, this->timers.now());
        break;
    case Wire::ClientEnd::Malformed:
        outcome.end = AttemptEnd::Broken;
        ++this->counts.malformed;
        logBroken(attempt, outcome.reason, this->timers.now());
        break;
    case Wire::ClientEnd::Unacknowledged:
        outcome.end = AttemptEnd::Unacknowledged;
        logBroken(attempt, outcome.reason, this->timers.now());
        break;
    }
    return outcome;
}

void BackendPool::complete(AttemptId id, const AttemptOutcome &outcome)
{
    const Attempt attempt = this->extractAttempt(id);
    const auto service = attempt.backend->service;
    if (attempt.done) {
        attempt.done(outcome);
    }
    this->waiters.offer(service);
}

// ---- Crashes

CrashCheckHooks BackendPool::makeCrashCheckHooks()
{
    CrashCheckHooks hooks;
    hooks.openConnection = [this](Backend &backend) {
        return this->connector.open(backend, false);
    };
    hooks.expectedRoundTrip = [this](const Backend &backend) {
        return this->connector.expectedRoundTrip(backend);
    };
    hooks.serverEnded = [this] {
        ++this->counts.crashes;
    };
    hooks.requestCrashed = [this](const RequestTrace &trace, const Backend &backend, Core::Instant crashedAt) {
        if (this->requestCrashed) {
            this->requestCrashed(trace, backend, crashedAt);
        }
    };
    hooks.verified = [this](AttemptId id, bool hasEnded) {
        AttemptOutcome outcome = std::move(this->attempts.at(id).unverified.value());
        outcome.crashed = hasEnded;
        this->complete(id, outcome);
    };
    return hooks;
}

// An error of the server does not show that it ran the request to its end: it may have failed before, or reached the time limit.
void BackendPool::recordAnswer(const Attempt &attempt, const BackendReply &reply, const std::function<void(const RequestTrace &trace)> &answered)
{
    static constexpr int FirstServerError = 500;
    const bool ranToItsEnd = !reply.notExecuted && !reply.signature.empty() && reply.message.status < FirstServerError;
    if (!ranToItsEnd || !attempt.trace) {
        return;
    }
    attempt.trace->answered = true;
    if (answered) {
        answered(*attempt.trace);
    }
}

void BackendPool::observeOutcome(Backend &backend, const Attempt &attempt, const AttemptOutcome &outcome)
{
    const auto now = this->timers.now();
    if (outcome.end != AttemptEnd::Replied) {
        (outcome.end == AttemptEnd::NotSent ? this->counts.notSent : this->counts.broken) += 1;
        // The backend server may have restarted, and may serve the next request before its heartbeat reports that it is warming up.
        this->assumeWarmingUp(backend);
        if (outcome.end == AttemptEnd::Unacknowledged) {
            this->recordUnresponsive(backend, outcome.reason);
        } else {
            this->recordFailure(backend, outcome.reason);
        }
        return;
    }
    const auto &reply = outcome.reply;
    this->recordPauseEnd(backend, attempt);
    backend.health.recordReply(reply.load, now);
    backend.connectionRejected.recordReply();
    if (attempt.connection->connectTime() > Core::Duration(0)) {
        const auto measured = attempt.connection->connectTime();
        backend.roundTrip = std::min(backend.roundTrip.value_or(measured), measured);
    }
    if (reply.wrongBackend) {
        ++this->counts.wrongBackend;
        Core::logEvent(Core::LogLevel::Information, "backend.replaced", {{"backend", backend.name.value()}, {"address", backend.endpoint.toString()}});
        this->markGone(backend);
        return;
    }
    if (attempt.isMessage) {
        return;
    }
    if (reply.notExecuted) {
        ++this->counts.notExecuted;
        this->recordAcceptance(backend, false);
        return;
    }
    this->recordAcceptance(backend, true);
    if (reply.message.status >= 500) {
        this->recordFailure(backend, "status " + std::to_string(reply.message.status));
        return;
    }
    this->recordSpeed(backend, attempt);
}

void BackendPool::recordSpeed(Backend &backend, const Attempt &attempt)
{
    const auto now = this->timers.now();
    const auto usual = std::max(ShortestTypicalLatency, attempt.typicalLatency);
    const auto way = backend.sameRegion ? Core::Duration(0) : backend.roundTrip.value_or(Core::Duration(0));
    const double ratio = Core::toFractionalMilliseconds(now - attempt.startedAt - way) / Core::toFractionalMilliseconds(usual);
    backend.health.recordAnswer({.ratio = ratio, .typical = usual, .sentAt = attempt.startedAt, .queueing = attempt.queueing}, now);
    this->evidenceUntil = std::max(this->evidenceUntil, backend.health.reportableUntil());
    this->takeSpeedChange(backend);
}

void BackendPool::takeSpeedChange(Backend &backend)
{
    const auto change = backend.health.takeSpeedChange(this->timers.now());
    if (!change.has_value()) {
        return;
    }
    if (const auto omitted = this->speedLines.take(this->timers.now()); omitted.has_value()) {
        logSpeedChange(backend, change.value(), omitted.value());
    }
}

void BackendPool::recordPauseEnd(const Backend &backend, const Attempt &attempt)
{
    const auto now = this->timers.now();
    if (!BackendChoice::isStuck(backend, now)) {
        return;
    }
    ++this->counts.pauses;
    const auto silence = now - std::max(attempt.startedAt, backend.health.lastReply());
    const double factor = Core::toFractionalMilliseconds(silence) / Core::toFractionalMilliseconds(std::max(ShortestTypicalLatency, attempt.typicalLatency));
    if (const auto omitted = this->pauseLines.take(now); omitted.has_value()) {
        logSpeedChange(backend, {.kind = SpeedChangeKind::Pause, .factor = factor, .samples = 1, .age = silence}, omitted.value());
    }
}

SpeedCounts BackendPool::speedCounts() const
{
    const auto now = this->timers.now();
    SpeedCounts result;
    for (const auto &[name, backend] : this->backends) {
        result.slow += backend->health.isSlow(now) ? 1 : 0;
        result.paused += BackendChoice::isStuck(*backend, now) ? 1 : 0;
    }
    return result;
}

void BackendPool::recordAcceptance(Backend &backend, bool accepted)
{
    const auto now = this->timers.now();
    accepted ? backend.health.recordAccepted(now) : backend.health.recordRefusal(now);
    backend.serviceAcceptance->record(accepted, now);
    this->evidenceUntil = std::max(this->evidenceUntil, backend.health.reportableUntil());
    this->takeAcceptanceChange(backend);
}

void BackendPool::takeAcceptanceChange(Backend &backend)
{
    const auto change = backend.health.takeAcceptanceChange(this->timers.now());
    if (!change.has_value()) {
        return;
    }
    if (const auto omitted = this->acceptanceLines.take(this->timers.now()); omitted.has_value()) {
        logAcceptanceChange(backend, change.value(), omitted.value());
    }
}

bool BackendPool::hasEvidence() const
{
    return this->timers.now() < this->evidenceUntil;
}

std::string BackendPool::evidenceOf(const std::vector<Core::ServiceName> &names, EvidenceScope scope)
{
    if (!this->hasEvidence()) {
        return {};
    }
    const auto now = this->timers.now();
    std::vector<EvidenceEntry> entries;
    for (const auto &name : names) {
        const auto row = this->services.find(name);
        if (row == this->services.end()) {
            continue;
        }
        for (const auto *backend : row->second.backends) {
            const auto report = backend->health.reportFor(scope, now);
            if (report.has_value()) {
                entries.push_back({.server = backend->name.value(), .report = report.value()});
            }
        }
    }
    chooseEntries(entries, now);
    this->evidence.sent += entries.size();
    return encodeEvidence(entries, now);
}

void BackendPool::receiveEvidence(std::string_view header, const std::string &source, Core::Duration transit)
{
    const auto now = this->timers.now();
    const auto decoded = decodeEvidence(header, source, transit, now);
    EvidenceReceipt receipt{.source = source, .ignored = decoded.ignored};
    for (const auto &[server, report] : decoded.entries) {
        const auto found = this->backends.find(server);
        if (found == this->backends.end() || !found->second->health.receiveReport(report, now)) {
            ++receipt.ignored;
            continue;
        }
        ++receipt.kept;
        receipt.oldest = std::max(receipt.oldest, now - report.observedAt);
        this->evidenceUntil = std::max(this->evidenceUntil, found->second->health.reportableUntil());
        this->takeAcceptanceChange(*found->second);
        this->takeSpeedChange(*found->second);
    }
    this->evidence.received += decoded.entries.size() + decoded.ignored;
    this->evidence.ignored += receipt.ignored;
    this->evidenceLog.record(receipt, now);
}

EvidenceCounters BackendPool::evidenceCounters() const
{
    auto counters = this->evidence;
    counters.changedChoices = this->choice.choicesChangedByReports();
    return counters;
}

// The backend server is at its connection cap, which counts the connections of all gateways. That says nothing about its health, so no failure is recorded.
void BackendPool::recordRejection(Backend &backend)
{
    ++this->counts.connectionRejected;
    this->connector.recordReset();
    backend.connectionRejected.recordRejection(this->options.connectionRejected, this->timers.now());
}

void BackendPool::recordFailure(Backend &backend, const std::string &reason)
{
    if (backend.health.recordFailure(this->options.failuresUntilAvoided, this->timers.now())) {
        logAvoidance(backend, reason, this->timers.now());
    }
}

void BackendPool::recordUnresponsive(Backend &backend, const std::string &reason)
{
    if (backend.health.recordUnresponsive(this->timers.now())) {
        logAvoidance(backend, reason, this->timers.now());
    }
}

void BackendPool::abandon(AttemptId id, bool callerGone)
{
    const auto found = this->attempts.find(id);
    if (found == this->attempts.end()) {
        return;
    }
    auto &attempt = found->second;
    attempt.done = nullptr;
    // A request that was not sent yet is withdrawn immediately: it must not be sent later, when another one has been sent in its place.
    if (attempt.connection && attempt.connection->withdraw()) {
        const auto service = attempt.backend->service;
        (void)this->extractAttempt(id);
        this->waiters.offer(service);
        return;
    }
    attempt.cancelAt = this->timers.now() + (callerGone ? this->options.cancelTimeout : this->options.abandonTimeout);
}

void BackendPool::sendMessage(const BackendName &gateway, const CallerRequest &message)
{
    const auto found = this->backends.find(gateway.value());
    if (found == this->backends.end() || !this->isEligible(*found->second, {}) || !this->hasCapacity(*found->second, this->serviceOf(found->second->service))) {
        return;
    }
    ++this->counts.messages;
    const auto id = this->send(*found->second, {.caller = &message, .timeLeft = this->options.cancelTimeout});
    auto &attempt = this->attempts.at(id);
    attempt.isMessage = true;
    attempt.cancelAt = this->timers.now() + this->options.cancelTimeout;
}

bool BackendPool::mayHaveBeenSent(AttemptId id) const
{
    const auto found = this->attempts.find(id);
    return found == this->attempts.end() || (found->second.connection && found->second.connection->isConnected());
}

// ---- Capacity

CapacityHooks BackendPool::makeCapacityHooks()
{
    CapacityHooks hooks;
    hooks.hasCapacity = [this](const Core::ServiceName &service, const Fleet::AllowedRegions &regions) {
        return this->hasAnyCapacity(this->serviceOf(service), regions);
    };
    hooks.limitOf = [this](const Core::ServiceName &service) {
        return this->connectionLimitOfAll(this->serviceOf(service));
    };
    return hooks;
}

WaiterNumber BackendPool::waitForCapacity(const Core::ServiceName &service, CapacityWaiter waiter)
{
    this->sweepEvery(SweepPeriod);
    return this->waiters.add(service, std::move(waiter));
}

void BackendPool::stopWaiting(const Core::ServiceName &service, WaiterNumber number)
{
    this->waiters.remove(service, number);
}

bool BackendPool::hasWaiting(const Core::ServiceName &service) const
{
    return this->waiters.isAwaited(service);
}

void BackendPool::offerCapacityToNew(const Core::ServiceName &service, WaiterNumber number)
{
    ++this->counts.joinedWaiting;
    this->waiters.offerToNew(service, number);
}

std::map<Urgency, std::size_t> BackendPool::waitingByUrgency() const
{
    return this->waiters.waitingByUrgency();
}

const CapacityWaits &BackendPool::capacityWaits() const
{
    return this->waiters.waits();
}

// ---- Sweeps

void BackendPool::sweep()
{
    const auto now = this->timers.now();
    this->cancelOverdue(now);
    this->warmupLimiter.removeExpired(now);
    this->logWarmthAge();
    this->crashChecks.removeExpired(now);
    this->closeIdleConnections(now);
    // Capacity can become free by time alone: a warm-up limit or a rejection backoff elapses.
    this->waiters.offerAtAll();
    if (this->attempts.empty() && this->waiters.isEmpty()) {
        this->sweepEvery(IdleSweepPeriod);
    }
}

void BackendPool::sweepEvery(Core::Duration period)
{
    if (std::exchange(this->sweepPeriod, period) == period) {
        return;
    }
    this->sweepTimer = this->timers.every(period, [this](Core::Instant) {
        this->sweep();
    });
}

void BackendPool::cancelOverdue(Core::Instant now)
{
    std::vector<AttemptId> overdue;
    for (const auto &[id, attempt] : this->attempts) {
        if (attempt.unverified.has_value()) {
            // Ends with its crash check.
            continue;
        }
        const bool connecting = attempt.connection && !attempt.connection->isConnected();
        const bool connectsTooLong = connecting && now - attempt.startedAt >= this->options.connectTimeout;
        if ((attempt.cancelAt.has_value() && attempt.cancelAt.value() <= now) || connectsTooLong) {
            overdue.push_back(id);
        }
    }
    for (const auto id : overdue) {
        const auto found = this->attempts.find(id);
        if (found == this->attempts.end()) {
            continue;
        }
        const Attempt attempt = this->extractAttempt(id);
        auto &backend = *attempt.backend;
        const bool sent = attempt.connection && attempt.connection->isConnected();
        ++this->counts.cancelled;
        if (sent && now - backend.health.lastReply() >= this->options.abandonTimeout) {
            // The backend server did not reply for longer than any pause lasts, so this is not a pause.
            this->recordUnresponsive(backend, "silent");
        } else if (!sent) {
            this->recordFailure(backend, "no connection in time");
        }
        if (attempt.connection) {
            attempt.connection->close();
        }
        if (attempt.done) {
            attempt.done(AttemptOutcome{.end = AttemptEnd::NotSent, .reply = {}, .reason = "no connection in time"});
        }
    }
}

void BackendPool::closeIdleConnections(Core::Instant now)
{
    const auto isReleasable = [this](Backend &backend) {
        const bool isUsed
            = backend.connections.size() != 0 || !backend.inFlight.empty() || this->crashChecks.isChecking(backend) || this->warmthChecks.isChecking(backend);
        return backend.phase == Protocol::BackendPhase::GONE && !isUsed;
    };
    // Connections to a backend server that is gone are closed once they are idle; LimitsWhenGone has timeouts of zero.
    const IdleLimits limits{.connectTimeout = this->options.connectTimeout, .idleTimeout = this->options.idleTimeout};
    static constexpr IdleLimits LimitsWhenGone{};
    std::vector<ConnectionPointer> overdueIdle;
    std::vector<Backend *> gone;
    this->counts.swept += this->swept.size();
    for (auto *backend : this->swept) {
        const bool isGone = backend->phase == Protocol::BackendPhase::GONE;
        backend->connections.appendOverdueIdle(overdueIdle, now, isGone ? LimitsWhenGone : limits);
        if (isReleasable(*backend)) {
            gone.push_back(backend);
        }
    }
    for (const auto &former : this->formerIncarnations) {
        former->connections.appendOverdueIdle(overdueIdle, now, LimitsWhenGone);
    }
    closeIdle(overdueIdle);
    for (auto *backend : gone) {
        this->remove(*backend);
    }
    std::erase_if(this->swept, [](const Backend *backend) {
        return backend->connections.size() == 0 && backend->phase != Protocol::BackendPhase::GONE;
    });
    std::erase_if(this->formerIncarnations, [&isReleasable](const auto &former) {
        return isReleasable(*former);
    });
}

std::string BackendPool::dump() const
{
    nlohmann::json rows = nlohmann::json::array();
    for (const auto &[name, backend] : this->backends) {
        rows.push_back(describeBackend(*backend, this->evacuatedZones.contains(backend->zone), this->timers.now()));
    }
    return rows.dump(2);
}

}
