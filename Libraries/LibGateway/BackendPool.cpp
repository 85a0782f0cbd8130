/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/BackendPool.h>

#include <LibCore/Log.h>

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>

namespace Gateway
{

static constexpr Core::Duration SweepPeriod = Core::milliseconds(50);
// Time added for one that refuses or fails everything; one that does so to each fourth is passed over for one that is 40 ms slower.
static constexpr double TroublePenaltyMilliseconds = 160.0;
// An attempt that takes this many times the usual latency, and at least the floor, makes its backend server look stuck.
static constexpr int StuckFactor = 3;
static constexpr Core::Duration StuckFloor = Core::milliseconds(25);
// Time added for one that looks stuck: more than any usual difference, less than what is avoided after failures.
static constexpr double StuckPenaltyMilliseconds = 300.0;
static constexpr double AvoidedPenaltyMilliseconds = 10'000.0;
// A cold backend server takes about this much longer.
static constexpr double ColdFactor = 1.6;
// Backend servers whose expected times differ by less are equally good; about half a round trip between regions.
static constexpr double EquallyGoodMilliseconds = 10.0;
// Expected times differ by up to this share at random, so that gateways don't all choose the same one.
static constexpr double ChoiceNoise = 0.15;

BackendPool::BackendPool(BackendPoolOptions options, const Dialect &dialect, Core::EventPoll &poll, Core::TimerService &timers)
    : options(std::move(options)), dialect(dialect), poll(poll), timers(timers), random(this->options.seed), trialPeriod(timers.now())
{
    this->sweepTimer = timers.every(SweepPeriod, [this](Core::Instant) {
        this->sweep();
    });
}

BackendPool::~BackendPool()
{
    for (auto &[name, backend] : this->backends) {
        for (const auto &connection : backend->connections) {
            connection->closed = nullptr;
            connection->close();
        }
    }
}

// ---- Rows

BackendPool::Service &BackendPool::serviceOf(const Core::ServiceName &name)
{
    auto &service = this->services[name];
    if (!service.budget) {
        service.budget = std::make_unique<RepeatBudget>(this->options.budget);
    }
    return service;
}

void BackendPool::update(const Fleet::BackendRecord &record)
{
    const auto &announcement = record.announcement;
    const auto found = this->backends.find(announcement.id);
    if (found != this->backends.end()) {
        found->second->phase = announcement.phase;
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
    backend->slots = std::max(1, announcement.slots);
    backend->warmUntil = record.warmUntil;
    const auto service = backend->service;
    auto &row = this->serviceOf(service);
    row.backends.push_back(backend.get());
    row.zones.insert(backend->zone);
    this->backends[announcement.id] = std::move(backend);
    this->offerRoom(service);
}

void BackendPool::remove(Backend &backend)
{
    auto &rows = this->serviceOf(backend.service).backends;
    std::erase(rows, &backend);
    this->backends.erase(backend.name.value());
}

void BackendPool::setDeclaration(std::shared_ptr<const Fleet::Declaration> newDeclaration)
{
    this->declaration = std::move(newDeclaration);
    for (const auto &[name, declared] : this->declaration->services) {
        this->serviceOf(name).connectionCap = declared.connectionCap;
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

void BackendPool::noteRequest(const Core::ServiceName &service)
{
    this->serviceOf(service).budget->noteRequest(this->timers.now());
}

bool BackendPool::takeRepeat(const Core::ServiceName &service)
{
    auto &row = this->serviceOf(service);
    const double share = this->slackShare ? this->slackShare(service, row.zones) : 1.0 / this->gateways.all;
    return row.budget->takeRepeat(this->timers.now(), share);
}

bool BackendPool::hasReady(const Core::ServiceName &service) const
{
    const auto found = this->services.find(service);
    return found != this->services.end() && std::any_of(found->second.backends.begin(), found->second.backends.end(), [](const Backend *backend) {
        return backend->phase == Protocol::BackendPhase::READY;
    });
}

std::vector<std::string> BackendPool::goodZonesOf(const Core::ServiceName &service, Core::Duration typicalLatency) const
{
    const auto found = this->services.find(service);
    if (found == this->services.end()) {
        return {};
    }
    const auto now = this->timers.now();
    std::map<std::string, double> scoreOfZone;
    double best = std::numeric_limits<double>::max();
    for (const auto *backend : found->second.backends) {
        if (backend->phase != Protocol::BackendPhase::READY || !this->hasRoom(*backend, found->second)) {
            continue;
        }
        const double score = this->expectedMilliseconds(*backend, typicalLatency, now) + this->biasMilliseconds(*backend, now);
        const auto [position, isNew] = scoreOfZone.try_emplace(backend->zone, score);
        position->second = std::min(position->second, score);
        best = std::min(best, score);
    }
    std::vector<std::string> zones;
    for (const auto &[zone, score] : scoreOfZone) {
        if (score <= best + EquallyGoodMilliseconds) {
            zones.push_back(zone);
        }
    }
    return zones;
}

bool BackendPool::isGoodInRegion(const Core::ServiceName &service, Core::Duration typicalLatency) const
{
    const auto zones = this->goodZonesOf(service, typicalLatency);
    return std::any_of(zones.begin(), zones.end(), [this](const std::string &zone) {
        return this->isInRegion(zone);
    });
}

bool BackendPool::isInRegion(const std::string &zone) const
{
    return Fleet::inSameRegion(this->options.regions, this->options.zone.value(), zone);
}

void BackendPool::learnFromPart(const Core::ServiceName &service, const std::string &zone, double ratio)
{
    const auto found = this->services.find(service);
    if (found == this->services.end()) {
        return;
    }
    for (auto *backend : found->second.backends) {
        // NOTE: Which one of several in that zone was asked is not told, so it counts for all of them.
        if (backend->zone == zone) {
            backend->evidence.noteAnswerElsewhere(ratio, this->timers.now());
        }
    }
}

Core::Duration BackendPool::roundTripTo(const Core::ServiceName &service) const
{
    Core::Duration shortest = this->options.assumedRegionRoundTrip;
    const auto found = this->services.find(service);
    if (found == this->services.end()) {
        return shortest;
    }
    for (const auto *backend : found->second.backends) {
        shortest = std::min(shortest, backend->roundTrip.value_or(shortest));
    }
    return shortest;
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

bool BackendPool::hasRoom(const Backend &backend, const Service &service) const
{
    const bool takesMore = backend.turnedAway.isOver(this->timers.now());
    if (takesMore && backend.connections.size() < this->connectionLimit(backend, service)) {
        return true;
    }
    return std::any_of(backend.connections.begin(), backend.connections.end(), [](const auto &connection) {
        return connection->isIdle();
    });
}

bool BackendPool::isStuck(const Backend &backend, Core::Instant now) const
{
    return std::any_of(backend.inFlight.begin(), backend.inFlight.end(), [&backend, now](const Attempt *attempt) {
        const auto limit = std::max(StuckFloor, StuckFactor * attempt->typicalLatency);
        // A reply that came later than the attempt began shows that the server works, if slowly on this one.
        return now - std::max(attempt->startedAt, backend.evidence.lastReply()) >= limit;
    });
}

static double milliseconds(Core::Duration duration)
{
    return Core::toFractionalMilliseconds(duration);
}

double BackendPool::expectedMilliseconds(const Backend &backend, Core::Duration typicalLatency, Core::Instant now) const
{
    double expected = milliseconds(typicalLatency) * backend.evidence.expectedFactor(backend.inFlight.size(), backend.slots, now);
    if (now < backend.warmUntil) {
        expected *= ColdFactor;
    }
    if (!backend.sameRegion) {
        expected += milliseconds(backend.roundTrip.value_or(this->options.assumedRegionRoundTrip));
    }
    expected += this->isStuck(backend, now) ? StuckPenaltyMilliseconds : 0.0;
    expected += backend.evidence.isAvoided(now) ? AvoidedPenaltyMilliseconds : 0.0;
    return expected;
}

// What goes into the choice besides the expected time.
double BackendPool::biasMilliseconds(const Backend &backend, Core::Instant now) const
{
    double bias = TroublePenaltyMilliseconds * backend.evidence.troubleRate(now);
    if (!backend.sameRegion) {
        bias += milliseconds(this->options.crossRegionBias);
    } else if (!backend.sameZone) {
        bias += milliseconds(this->options.crossZoneBias);
    }
    return bias;
}

Backend *BackendPool::choose(
    const Core::ServiceName &service, const std::vector<BackendName> &tried, Core::Duration typicalLatency, std::optional<Core::Duration> within)
{
    auto &row = this->serviceOf(service);
    const auto now = this->timers.now();
    Backend *best = nullptr;
    double bestScore = 0.0;
    for (auto *backend : row.backends) {
        const bool wasTried = std::find(tried.begin(), tried.end(), backend->name) != tried.end();
        if (backend->phase != Protocol::BackendPhase::READY || wasTried || !this->hasRoom(*backend, row)) {
            continue;
        }
        const double expected = this->expectedMilliseconds(*backend, typicalLatency, now);
        if (within.has_value() && expected > milliseconds(within.value())) {
            continue;
        }
        const double noise = 1.0 + std::uniform_real_distribution<double>(0.0, ChoiceNoise)(this->random);
        const double score = expected * noise + this->biasMilliseconds(*backend, now);
        if (best == nullptr || score < bestScore) {
            best = backend;
            bestScore = score;
        }
    }
    return best;
}

Backend *BackendPool::firstSound(const std::vector<BackendName> &names, const std::vector<BackendName> &tried)
{
    const auto now = this->timers.now();
    for (const auto &name : names) {
        const auto found = this->backends.find(name.value());
        const bool wasTried = std::find(tried.begin(), tried.end(), name) != tried.end();
        if (found == this->backends.end() || wasTried) {
            continue;
        }
        auto &backend = *found->second;
        const bool takesWork = backend.phase == Protocol::BackendPhase::READY && this->hasRoom(backend, this->serviceOf(backend.service));
        if (takesWork && !backend.evidence.isAvoided(now) && !this->isStuck(backend, now)) {
            return &backend;
        }
    }
    return nullptr;
}

// ---- Connections

std::optional<Core::Duration> BackendPool::trialMargin() const
{
    return this->options.trial.has_value() ? this->trialPeriod.marginAt(this->options.trial.value(), this->timers.now()) : std::nullopt;
}

std::shared_ptr<Wire::ClientConnection> BackendPool::openConnection(Backend &backend)
{
    auto opened = Wire::ClientConnection::create(
        {.endpoint = backend.endpoint, .silenceLimit = this->options.silenceLimit, .trialMargin = this->trialMargin(), .limits = {}}, this->poll, this->timers);
    if (!opened.has_value()) {
        Core::logEvent(Core::LogLevel::Warning, "backend.connect_failed", {{"backend", backend.name.value()}, {"reason", opened.error().message}});
        return nullptr;
    }
    ++this->counts.connectionsOpened;
    const auto &connection = opened.value();
    connection->closed = [this, name = backend.name.value(), raw = connection.get()] {
        const auto found = this->backends.find(name);
        if (found != this->backends.end()) {
            this->connectionClosed(*found->second, raw);
        }
    };
    backend.connections.push_back(connection);
    return connection;
}

std::shared_ptr<Wire::ClientConnection> BackendPool::connectionFor(Backend &backend)
{
    const auto now = this->timers.now();
    // One that is up goes first; of those the one that was used last is the least likely to have been closed by the other side.
    std::shared_ptr<Wire::ClientConnection> best;
    std::vector<std::shared_ptr<Wire::ClientConnection>> expired;
    for (const auto &connection : backend.connections) {
        if (!connection->isIdle()) {
            continue;
        }
        if (connection->idleUntil() <= now) {
            expired.push_back(connection);
        } else if (!best || std::pair(connection->isConnected(), connection->lastUsed()) > std::pair(best->isConnected(), best->lastUsed())) {
            best = connection;
        }
    }
    for (const auto &connection : expired) {
        connection->close();
    }
    return best ? best : this->openConnection(backend);
}

void BackendPool::connectionClosed(Backend &backend, const Wire::ClientConnection *connection)
{
    const auto service = backend.service;
    std::erase_if(backend.connections, [connection](const auto &held) {
        return held.get() == connection;
    });
    this->offerRoom(service);
}

// ---- Attempts

AttemptId BackendPool::send(Backend &backend, AttemptOptions attemptOptions)
{
    const AttemptId id = this->nextAttempt++;
    ++this->counts.attempts;
    this->counts.attemptsToOtherRegion += backend.sameRegion ? 0 : 1;
    this->counts.attemptsToOtherZone += backend.sameRegion && !backend.sameZone ? 1 : 0;
    auto &attempt = this->attempts[id];
    attempt.id = id;
    attempt.backend = &backend;
    attempt.startedAt = this->timers.now();
    attempt.typicalLatency = attemptOptions.typicalLatency;
    attempt.done = std::move(attemptOptions.done);
    backend.inFlight.push_back(&attempt);
    attempt.connection = this->connectionFor(backend);
    if (!attempt.connection) {
        // The outcome is told from the loop, as all outcomes are.
        attempt.cancelAt = attempt.startedAt;
        return id;
    }
    std::string bytes;
    this->dialect.writeRequest(bytes, BackendRequest{.caller = attemptOptions.caller, .backend = backend.name, .timeLeft = attemptOptions.timeLeft});
    attempt.connection->send(
        std::move(bytes),
        [this, expected = attemptOptions.caller->id](const Wire::Response &response) {
            const auto answered = this->dialect.readReplyId(response);
            return expected.value().empty() || answered.value().empty() || answered == expected;
        },
        [this, id](Wire::ClientResult result) {
            this->finish(id, std::move(result));
        });
    return id;
}

Attempt BackendPool::takeAttempt(AttemptId id)
{
    const auto found = this->attempts.find(id);
    Attempt attempt = std::move(found->second);
    std::erase(attempt.backend->inFlight, &found->second);
    this->attempts.erase(found);
    return attempt;
}

void BackendPool::finish(AttemptId id, Wire::ClientResult result)
{
    const Attempt attempt = this->takeAttempt(id);
    auto &backend = *attempt.backend;
    AttemptOutcome outcome;
    outcome.reason = std::move(result.reason);
    switch (result.end) {
    case Wire::ClientEnd::Answered:
        outcome.end = AttemptEnd::Replied;
        outcome.reply = this->dialect.readReply(std::move(result.response));
        break;
    case Wire::ClientEnd::NotSent:
        outcome.end = AttemptEnd::NotSent;
        break;
    case Wire::ClientEnd::TurnedAway:
        outcome.end = AttemptEnd::NotSent;
        this->noteTurnedAway(backend);
        break;
    case Wire::ClientEnd::Broken:
        outcome.end = AttemptEnd::Broken;
        if (attempt.connection->answered() == 0) {
            this->trialPeriod.noteReset(this->timers.now());
        }
        break;
    case Wire::ClientEnd::Unacknowledged:
        outcome.end = AttemptEnd::Unacknowledged;
        break;
    }
    if (result.end != Wire::ClientEnd::TurnedAway) {
        this->learn(backend, attempt, outcome);
    }
    const auto service = backend.service;
    if (attempt.done) {
        attempt.done(outcome);
    }
    this->offerRoom(service);
}

void BackendPool::learn(Backend &backend, const Attempt &attempt, const AttemptOutcome &outcome)
{
    const auto now = this->timers.now();
    if (outcome.end != AttemptEnd::Replied) {
        (outcome.end == AttemptEnd::NotSent ? this->counts.notSent : this->counts.broken) += 1;
        if (outcome.end == AttemptEnd::Unacknowledged) {
            this->noteSilence(backend, outcome.reason);
        } else {
            this->noteFailure(backend, outcome.reason);
        }
        return;
    }
    const auto &reply = outcome.reply;
    backend.evidence.noteReply(reply.load, now);
    backend.turnedAway.noteReply();
    if (attempt.connection->connectTime() > Core::Duration(0)) {
        const auto measured = attempt.connection->connectTime();
        backend.roundTrip = std::min(backend.roundTrip.value_or(measured), measured);
    }
    if (reply.wrongBackend) {
        ++this->counts.wrongBackend;
        Core::logEvent(Core::LogLevel::Information, "backend.replaced", {{"backend", backend.name.value()}, {"address", backend.endpoint.toString()}});
        backend.phase = Protocol::BackendPhase::GONE;
        return;
    }
    if (reply.notExecuted) {
        ++this->counts.notExecuted;
        backend.evidence.noteRefusal(now);
        return;
    }
    if (reply.message.status >= 500) {
        this->noteFailure(backend, "status " + std::to_string(reply.message.status));
        return;
    }
    const double usual = std::max(1.0, milliseconds(attempt.typicalLatency));
    const double latency = milliseconds(now - attempt.startedAt) - (backend.sameRegion ? 0.0 : milliseconds(backend.roundTrip.value_or(Core::Duration(0))));
    backend.evidence.noteAnswer(latency / usual, now);
}

// It has as many connections as it takes, from here and from elsewhere, which says nothing of how it works.
void BackendPool::noteTurnedAway(Backend &backend)
{
    ++this->counts.turnedAway;
    this->trialPeriod.noteReset(this->timers.now());
    backend.turnedAway.noteTurnedAway(this->options.turnedAway, this->timers.now());
}

void BackendPool::noteFailure(Backend &backend, const std::string &reason)
{
    if (backend.evidence.noteFailure(this->options.failuresUntilAvoided, this->timers.now())) {
        this->logAvoidance(backend, reason);
    }
}

void BackendPool::noteSilence(Backend &backend, const std::string &reason)
{
    if (backend.evidence.noteSilence(this->timers.now())) {
        this->logAvoidance(backend, reason);
    }
}

void BackendPool::logAvoidance(const Backend &backend, const std::string &reason) const
{
    Core::logEvent(Core::LogLevel::Information,
        "backend.avoided",
        {{"backend", backend.name.value()},
            {"service", backend.service.value()},
            {"failures", backend.evidence.consecutiveFailures()},
            {"for_ms", Core::toMilliseconds(backend.evidence.avoidedUntil() - this->timers.now())},
            {"reason", reason}});
}

void BackendPool::abandon(AttemptId id, bool callerGone)
{
    const auto found = this->attempts.find(id);
    if (found == this->attempts.end()) {
        return;
    }
    auto &attempt = found->second;
    attempt.done = nullptr;
    // One that has not left is taken back here and now: it must not leave later, when another has been sent in its place.
    if (attempt.connection && attempt.connection->withdraw()) {
        const auto service = attempt.backend->service;
        (void)this->takeAttempt(id);
        this->offerRoom(service);
        return;
    }
    attempt.cancelAt = this->timers.now() + (callerGone ? this->options.cancelPatience : this->options.abandonPatience);
}

bool BackendPool::mayHaveBeenSent(AttemptId id) const
{
    const auto found = this->attempts.find(id);
    return found == this->attempts.end() || (found->second.connection && found->second.connection->isConnected());
}

// ---- Room

std::uint64_t BackendPool::waitForRoom(const Core::ServiceName &service, int priority, RoomHook hook)
{
    auto &waiters = this->serviceOf(service).waiters;
    const auto number = this->nextWaiter++;
    const auto position = std::lower_bound(waiters.begin(), waiters.end(), priority, [](const Waiter &waiter, int wanted) {
        return waiter.priority < wanted;
    });
    waiters.insert(position, Waiter{.number = number, .priority = priority, .hook = std::move(hook)});
    return number;
}

void BackendPool::stopWaiting(const Core::ServiceName &service, std::uint64_t number)
{
    std::erase_if(this->serviceOf(service).waiters, [number](const Waiter &waiter) {
        return waiter.number == number;
    });
}

void BackendPool::offerRoom(const Core::ServiceName &service)
{
    auto &waiters = this->serviceOf(service).waiters;
    if (waiters.empty()) {
        return;
    }
    const Waiter first = std::move(waiters.front());
    waiters.erase(waiters.begin());
    // One that finds no room after all waits again.
    first.hook();
}

// ---- Each tick

// Time alone may have made room.
void BackendPool::offerRoomToWaiters()
{
    std::vector<Core::ServiceName> awaited;
    for (const auto &[name, service] : this->services) {
        if (!service.waiters.empty()) {
            awaited.push_back(name);
        }
    }
    for (const auto &name : awaited) {
        this->offerRoom(name);
    }
}

void BackendPool::sweep()
{
    const auto now = this->timers.now();
    this->cancelOverdue(now);
    this->closeResting(now);
    this->offerRoomToWaiters();
}

void BackendPool::cancelOverdue(Core::Instant now)
{
    std::vector<AttemptId> overdue;
    for (const auto &[id, attempt] : this->attempts) {
        const bool connecting = attempt.connection && !attempt.connection->isConnected();
        const bool connectsTooLong = connecting && now - attempt.startedAt >= this->options.connectPatience;
        if ((attempt.cancelAt.has_value() && attempt.cancelAt.value() <= now) || connectsTooLong) {
            overdue.push_back(id);
        }
    }
    for (const auto id : overdue) {
        const auto found = this->attempts.find(id);
        if (found == this->attempts.end()) {
            continue;
        }
        const Attempt attempt = this->takeAttempt(id);
        auto &backend = *attempt.backend;
        const bool sent = attempt.connection && attempt.connection->isConnected();
        ++this->counts.cancelled;
        if (sent && now - backend.evidence.lastReply() >= this->options.abandonPatience) {
            // Longer than any pause, so it is no pause.
            this->noteSilence(backend, "silent");
        } else if (!sent) {
            this->noteFailure(backend, "no connection in time");
        }
        if (attempt.connection) {
            attempt.connection->close();
        }
        if (attempt.done) {
            attempt.done(AttemptOutcome{.end = AttemptEnd::NotSent, .reply = {}, .reason = "no connection in time"});
        }
    }
}

void BackendPool::closeResting(Core::Instant now)
{
    std::vector<std::shared_ptr<Wire::ClientConnection>> resting;
    std::vector<Backend *> gone;
    for (const auto &[name, backend] : this->backends) {
        const bool isGone = backend->phase == Protocol::BackendPhase::GONE;
        for (const auto &connection : backend->connections) {
            const bool neverCameUp = !connection->isConnected() && now - connection->lastUsed() >= this->options.connectPatience;
            const bool expired = neverCameUp || connection->idleUntil() <= now || now - connection->lastUsed() >= this->options.idleLimit;
            if (connection->isIdle() && (expired || isGone)) {
                resting.push_back(connection);
            }
        }
        if (isGone && backend->connections.empty() && backend->inFlight.empty()) {
            gone.push_back(backend.get());
        }
    }
    for (const auto &connection : resting) {
        connection->close();
    }
    for (auto *backend : gone) {
        this->remove(*backend);
    }
}

std::string BackendPool::dump() const
{
    const auto now = this->timers.now();
    nlohmann::json rows = nlohmann::json::array();
    for (const auto &[name, backend] : this->backends) {
        rows.push_back({{"backend", name},
            {"service", backend->service.value()},
            {"address", backend->endpoint.toString()},
            {"phase", static_cast<int>(backend->phase)},
            {"connections", backend->connections.size()},
            {"in_flight", backend->inFlight.size()},
            {"trouble_rate", backend->evidence.troubleRate(now)},
            {"avoided_ms", Core::toMilliseconds(std::max(Core::Duration(0), backend->evidence.avoidedUntil() - now))},
            {"failures", backend->evidence.consecutiveFailures()}});
    }
    return rows.dump(2);
}

}
