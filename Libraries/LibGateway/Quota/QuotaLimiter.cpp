/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/Quota/QuotaLimiter.h>

#include <LibCore/Log.h>
#include <LibGateway/RelayPlan.h>
#include <LibGateway/StableHash.h>

#include <algorithm>
#include <tuple>

namespace Gateway
{

QuotaLimiter::QuotaLimiter(const QuotaLimiterOptions &options,
    const Fleet::RegionOfZone &regions,
    std::string ownZone,
    std::string ownAddress,
    BackendPool &relays,
    Core::TimerService &timers)
    : options(options)
    , ownZone(std::move(ownZone))
    , ownAddress(std::move(ownAddress))
    , relays(relays)
    , timers(timers)
    , ledger(regions, options.quota, this->ownAddress)
{
}

QuotaLimiter::~QuotaLimiter()
{
    for (const auto &[number, pending] : this->pendingDecisions) {
        if (pending.attempt.has_value()) {
            this->relays.abandon(pending.attempt.value(), true);
        }
    }
}

const QuotaCounters &QuotaLimiter::counters() const
{
    return this->counts;
}

std::size_t QuotaLimiter::heldShareCount() const
{
    return this->ledger.heldShareCount();
}

std::size_t QuotaLimiter::dividedShareCount() const
{
    return this->ledger.dividedShareCount();
}

void QuotaLimiter::updateGateways(const Fleet::BackendRegistry &gateways)
{
    if (!this->hasQuotas || std::exchange(this->gatewaysPosition, gateways.position()) == gateways.position()) {
        return;
    }
    this->ledger.setGateways(runningGateways(gateways), this->timers.now());
}

void QuotaLimiter::applyDeclaration(const std::shared_ptr<const Fleet::Declaration> &declaration)
{
    const auto &workspaces = declaration->workspaces;
    this->hasQuotas = workspaces.has_value() && std::any_of(workspaces->all().begin(), workspaces->all().end(), [](const auto &workspace) {
        return workspace->quota.isBounded();
    });
    this->declaration = declaration;
    this->ledger.setDeclaration(declaration, this->timers.now());
    // The earlier replies of keepers refer to the previous quota.
    this->exhausted.clear();
}

void QuotaLimiter::setMayHoldShares(bool mayHold)
{
    this->ledger.setMayHoldShares(mayHold, this->timers.now());
}

void QuotaLimiter::setContactStatement(const Fleet::ContactStatement &statement)
{
    this->ledger.setContactStatement(statement, this->timers.now());
}

bool QuotaLimiter::isTakeoverPending()
{
    const bool isPending = this->hasQuotas && this->ledger.isTakeoverPending(this->timers.now());
    this->logTakeover();
    return isPending;
}

std::size_t QuotaLimiter::waitingShareCount() const
{
    return this->ledger.waitingShareCount(this->timers.now());
}

static const char *nameOf(TakeoverEnd end)
{
    switch (end) {
    case TakeoverEnd::NoOthers:
        return "no_others";
    case TakeoverEnd::Contacts:
        return "contacts";
    case TakeoverEnd::MaximumTime:
        return "maximum_time";
    }
    return "";
}

void QuotaLimiter::logTakeover()
{
    const auto &takeover = this->ledger.takeover();
    if (!this->hasQuotas || !takeover.end().has_value() || this->loggedTakeover == takeover.beganAt()) {
        return;
    }
    this->loggedTakeover = takeover.beganAt();
    const auto now = this->timers.now();
    const auto &statement = takeover.lastStatement();
    Core::logEvent(Core::LogLevel::Information,
        "quota.takeover",
        {{"waited_ms", Core::toMilliseconds(takeover.expectedEnd(now) - takeover.beganAt())},
            {"ended_by", nameOf(takeover.end().value())},
            {"oldest_contact_ms", statement.has_value() ? Core::toMilliseconds(now - statement->oldestContact) : -1},
            {"shares", this->ledger.heldShareCount()}});
}

const ReservationCounters &QuotaLimiter::reservationCounters() const
{
    return this->ledger.reservationCounters();
}

std::size_t QuotaLimiter::outstandingReservations() const
{
    return this->ledger.outstandingReservations();
}

void QuotaLimiter::sweep()
{
    const auto now = this->timers.now();
    this->roundTrips.forgetOld(now);
    this->logDivisions();
    this->exhausted.forgetExpired(now);
    (void)this->isTakeoverPending();
    for (const auto &[workspace, count] : this->ledger.expireReservations(now)) {
        const auto omitted = this->reservationLines.take(now);
        if (omitted.has_value()) {
            Core::logEvent(
                Core::LogLevel::Information, "quota.reservation_expired", {{"workspace", workspace.value()}, {"count", count}, {"omitted", omitted.value()}});
        }
    }
}

void QuotaLimiter::logDivisions()
{
    const auto now = this->timers.now();
    for (const auto &change : this->ledger.updateDivisions(now)) {
        const auto omitted = this->divisionLines.take(now);
        if (omitted.has_value()) {
            Core::logEvent(Core::LogLevel::Information,
                "quota.division_changed",
                {{"workspace", change.workspace.value()},
                    {"divided", change.isDivided ? 1 : 0},
                    {"demand_per_s", change.demand},
                    {"refill_per_s", change.refill},
                    {"omitted", omitted.value()}});
        }
    }
}

// ---- As a keeper

static Urgency urgencyIn(const QuotaQuery &query)
{
    return query.terms.has_value() ? query.terms->urgency : Urgency{};
}

// Keeps what another gateway knows, if it is of keepers that this gateway knows as well.
void QuotaLimiter::learn(const QuotaQuery &query, const std::vector<ExhaustedKeeper> &exhausted)
{
    const auto *workspace = this->declaration ? this->declaration->workspaceNamed(query.workspace) : nullptr;
    if (workspace == nullptr || !query.terms.has_value() || exhausted.empty()) {
        return;
    }
    const auto keepers = this->ledger.keepers().keepersOf(*workspace);
    for (const auto &known : exhausted) {
        const bool isOtherKeeper = known.address != this->ownAddress && std::any_of(keepers.begin(), keepers.end(), [&known](const KeeperGateway *keeper) {
            return keeper->address == known.address;
        });
        if (isOtherKeeper) {
            this->exhausted.learnFromOther(query.workspace, known, query.terms->urgency, this->timers.now());
        }
    }
}

QuotaReply QuotaLimiter::admitHere(QuotaQuery query)
{
    const auto now = this->timers.now();
    const auto *workspace = this->declaration ? this->declaration->workspaceNamed(query.workspace) : nullptr;
    if (workspace != nullptr && query.reservation == ReservationMode::IfOthersExhausted && this->areOthersExhausted(*workspace, urgencyIn(query))) {
        query.reservation = ReservationMode::Always;
    }
    const auto reply = this->ledger.admit(query, now);
    this->logReservation(query, reply);
    return reply;
}

bool QuotaLimiter::areOthersExhausted(const Fleet::Workspace &workspace, const Urgency &urgency) const
{
    const auto keepers = this->ledger.keepers().keepersOf(workspace);
    return std::all_of(keepers.begin(), keepers.end(), [this, &workspace, &urgency](const KeeperGateway *keeper) {
        return keeper->address == this->ownAddress || this->exhausted.find(workspace.name, keeper->address, urgency, this->timers.now()).has_value();
    });
}

void QuotaLimiter::logReservation(const QuotaQuery &query, const QuotaReply &reply)
{
    if (!reply.isClaimed && !reply.isReserved) {
        return;
    }
    const auto omitted = this->reservationLines.take(this->timers.now());
    if (!omitted.has_value()) {
        return;
    }
    Core::logEvent(Core::LogLevel::Information,
        reply.isClaimed ? "quota.reservation_claimed" : "quota.reserved",
        {{"workspace", query.workspace.value()},
            {"digest", query.terms->digest.value()},
            {"urgency", query.terms->urgency.route},
            {"retry_ms", Core::toMilliseconds(reply.retryAfter)},
            {"caller_left_ms", Core::toMilliseconds(query.terms->timeLeft)},
            {"omitted", omitted.value()}});
}

QuotaReply QuotaLimiter::answer(const ReceivedQuotaQuery &received)
{
    ++this->counts.answered;
    this->learn(received.query, received.exhausted);
    auto reply = this->admitHere(received.query);
    if (reply.isKeeper && !reply.granted) {
        reply.exhausted = this->exhausted.list(received.query.workspace, urgencyIn(received.query), this->timers.now());
    }
    return reply;
}

// ---- Decisions

std::vector<RankedKeeper> QuotaLimiter::keepersInOrder(const Fleet::Workspace &workspace, const Fleet::RequestDigest &digest) const
{
    std::vector<std::pair<std::uint64_t, RankedKeeper>> ranked;
    for (const auto *keeper : this->ledger.keepers().keepersOf(workspace)) {
        const bool isInOwnRegion = this->ledger.keepers().isInRegionOf(*keeper, this->ownZone);
        ranked.emplace_back(stableHash(digest.value() + "/" + keeper->address), RankedKeeper{.gateway = *keeper, .isInOwnRegion = isInOwnRegion});
    }
    std::sort(ranked.begin(), ranked.end(), [](const auto &left, const auto &right) {
        return std::tie(left.second.isInOwnRegion, left.first) > std::tie(right.second.isInOwnRegion, right.first);
    });
    std::vector<RankedKeeper> keepers;
    for (auto &[hash, keeper] : ranked) {
        keepers.push_back(std::move(keeper));
    }
    return keepers;
}

std::uint64_t QuotaLimiter::decide(const Fleet::Workspace &workspace, const QuotaTerms &terms, const Core::RequestId &request, DecisionHook done)
{
    const auto number = this->nextDecision++;
    auto &pending = this->pendingDecisions[number];
    auto keepers = this->keepersInOrder(workspace, terms.digest);
    pending.queries = KeeperQueries({.workspace = workspace.name, .terms = terms}, std::move(keepers), this->ownAddress, this->timers.now());
    pending.done = std::move(done);
    pending.message.id = request;
    this->queryNext(number);
    return number;
}

void QuotaLimiter::cancel(std::uint64_t number)
{
    const auto found = this->pendingDecisions.find(number);
    if (found == this->pendingDecisions.end()) {
        return;
    }
    if (found->second.attempt.has_value()) {
        this->relays.abandon(found->second.attempt.value(), true);
    }
    this->pendingDecisions.erase(found);
}

void QuotaLimiter::queryNext(std::uint64_t number)
{
    const auto nextStep = [this, number] {
        return this->pendingDecisions.at(number).queries.next(this->exhausted, this->roundTrips, this->timers.now());
    };
    for (auto step = nextStep(); step.has_value(); step = nextStep()) {
        if (this->query(number, step.value())) {
            return;
        }
    }
    this->finish(number, this->pendingDecisions.at(number).queries.refusal(this->timers.now()));
}

bool QuotaLimiter::query(std::uint64_t number, const KeeperQueries::Step &step)
{
    if (step.keeper.address == this->ownAddress) {
        return this->handleReply(number, step.rank, this->admitHere(step.query));
    }
    return this->queryRemote(number, step);
}

bool QuotaLimiter::queryRemote(std::uint64_t number, const KeeperQueries::Step &step)
{
    const auto &keeper = step.keeper;
    auto &pending = this->pendingDecisions.at(number);
    const auto service = relayService(keeper.zone);
    const Fleet::AllowedRegions anywhere;
    const auto typical = this->roundTrips.expected(keeper.address, this->ledger.keepers().isInRegionOf(keeper, this->ownZone));
    auto *backend
        = this->relays.firstHealthy({keeper.name}, SelectionCriteria{.service = service, .tried = {}, .typicalLatency = typical, .allowedRegions = anywhere});
    if (backend == nullptr) {
        pending.queries.recordSilence(step.rank);
        return false;
    }
    pending.queries.recordSent();
    ++this->counts.asked;
    pending.sentAt = this->timers.now();
    pending.message.message = Wire::Request{.method = "GET", .target = "/", .headers = {}, .body = {}};
    const auto known = this->exhausted.list(step.query.workspace, urgencyIn(step.query), pending.sentAt);
    addQuotaQuery(pending.message.message.headers, step.query, known);
    pending.attempt = this->relays.send(*backend,
        AttemptOptions{.caller = &pending.message,
            .timeLeft = this->options.keeperTimeout,
            .typicalLatency = typical,
            .done = [this, number, rank = step.rank](const AttemptOutcome &outcome) {
                this->handleOutcome(number, rank, outcome);
            }});
    pending.keeperTimer = this->timers.once(this->options.keeperTimeout, [this, number, rank = step.rank](Core::Instant) {
        auto &late = this->pendingDecisions.at(number);
        this->relays.abandon(late.attempt.value(), false);
        late.attempt.reset();
        late.queries.recordSilence(rank);
        this->queryNext(number);
    });
    return true;
}

void QuotaLimiter::handleOutcome(std::uint64_t number, std::size_t rank, const AttemptOutcome &outcome)
{
    const auto found = this->pendingDecisions.find(number);
    if (found == this->pendingDecisions.end()) {
        return;
    }
    auto &pending = found->second;
    pending.attempt.reset();
    pending.keeperTimer.cancel();
    const bool hasReply = outcome.end == AttemptEnd::Replied && outcome.reply.isSuccess();
    const auto reply = hasReply ? readQuotaReply(outcome.reply.message.body) : std::nullopt;
    if (reply.has_value()) {
        const auto now = this->timers.now();
        this->roundTrips.add(pending.queries.keeper(rank).address, now - pending.sentAt, now);
    }
    if (!this->handleReply(number, rank, reply.value_or(QuotaReply{}))) {
        this->queryNext(number);
    }
}

bool QuotaLimiter::handleReply(std::uint64_t number, std::size_t rank, const QuotaReply &reply)
{
    auto &queries = this->pendingDecisions.at(number).queries;
    if (!reply.isKeeper) {
        queries.recordSilence(rank);
        return false;
    }
    const auto &workspace = queries.query().workspace;
    const auto urgency = urgencyIn(queries.query());
    const auto &address = queries.keeper(rank).address;
    const auto now = this->timers.now();
    if (reply.granted) {
        this->exhausted.learnOfGrant(workspace, address, urgency);
        auto decision = queries.refusal(now);
        decision.verdict = QuotaDecision::Verdict::Granted;
        this->finish(number, decision);
        return true;
    }
    if (address != this->ownAddress) {
        this->exhausted.learnFromKeeper(workspace, address, urgency, reply, now);
    }
    this->learn(queries.query(), reply.exhausted);
    queries.recordRefusal(rank, reply);
    return false;
}

void QuotaLimiter::finish(std::uint64_t number, QuotaDecision decision)
{
    auto row = this->pendingDecisions.extract(number);
    auto &pending = row.mapped();
    this->count(urgencyIn(pending.queries.query()), decision);
    pending.done(decision);
}

void QuotaLimiter::count(const Urgency &urgency, const QuotaDecision &decision)
{
    switch (decision.verdict) {
    case QuotaDecision::Verdict::Granted:
        ++this->counts.granted;
        return;
    case QuotaDecision::Verdict::OverQuota:
        ++this->counts.refused;
        break;
    case QuotaDecision::Verdict::Starting:
        ++this->counts.starting;
        break;
    case QuotaDecision::Verdict::NoKeeper:
        ++this->counts.noKeeper;
        break;
    }
    ++this->counts.refusedAfterQueries[std::min(decision.asked, this->counts.refusedAfterQueries.size() - 1)];
    ++this->counts.refusedByUrgency[urgency];
    this->counts.outOfTime += decision.unqueried > 0 ? 1 : 0;
    this->counts.refusalTimes.add(decision.waited);
}

}
