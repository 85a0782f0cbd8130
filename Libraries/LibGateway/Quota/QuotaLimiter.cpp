/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/Quota/QuotaLimiter.h>

#include <LibCore/Log.h>
#include <LibGateway/RelayPlan.h>
#include <LibGateway/StableHash.h>

#include <algorithm>

namespace Gateway
{

// Assumed as a keeper's reply time until enough replies have been measured.
static constexpr Core::Duration AssumedReplyTime = Core::milliseconds(10);
static constexpr double MinimumReplies = 20.0;
// Log lines about reservations between two sweeps, which are a second apart. Bounds the log of a keeper while very many callers are refused.
static constexpr int MaximumReservationLines = 50;

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
    this->latencies.decay(now);
    this->exhausted.forgetExpired(now);
    this->reservationLines = 0;
    (void)this->isTakeoverPending();
    for (const auto &[workspace, count] : this->ledger.expireReservations(now)) {
        if (++this->reservationLines <= MaximumReservationLines) {
            Core::logEvent(Core::LogLevel::Information, "quota.reservation_expired", {{"workspace", workspace.value()}, {"count", count}});
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
    if (workspace != nullptr && query.reservation == ReservationMode::IfOthersExhausted) {
        const auto keepers = this->ledger.keepers().keepersOf(*workspace);
        const bool areExhausted = std::all_of(keepers.begin(), keepers.end(), [this, &query, now](const KeeperGateway *keeper) {
            return keeper->address == this->ownAddress || this->exhausted.find(query.workspace, keeper->address, query.terms->urgency, now).has_value();
        });
        query.reservation = areExhausted ? ReservationMode::Always : ReservationMode::Never;
    }
    const auto reply = this->ledger.admit(query, now);
    this->logReservation(query, reply);
    return reply;
}

void QuotaLimiter::logReservation(const QuotaQuery &query, const QuotaReply &reply)
{
    if ((!reply.isClaimed && !reply.isReserved) || ++this->reservationLines > MaximumReservationLines) {
        return;
    }
    Core::logEvent(Core::LogLevel::Information,
        reply.isClaimed ? "quota.reservation_claimed" : "quota.reserved",
        {{"workspace", query.workspace.value()},
            {"digest", query.terms->digest.value()},
            {"urgency", query.terms->urgency.route},
            {"retry_ms", Core::toMilliseconds(reply.retryAfter)},
            {"caller_left_ms", Core::toMilliseconds(query.terms->timeLeft)}});
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

static bool isHome(const std::optional<KeeperGateway> &home, const KeeperGateway &keeper)
{
    return home.has_value() && home->address == keeper.address;
}

std::vector<KeeperGateway> QuotaLimiter::keepersInOrder(const Fleet::Workspace &workspace, const Fleet::RequestDigest &digest) const
{
    std::vector<std::pair<std::uint64_t, KeeperGateway>> sameRegion;
    std::vector<std::pair<std::uint64_t, KeeperGateway>> otherRegions;
    for (const auto *keeper : this->ledger.keepers().keepersOf(workspace)) {
        auto &group = this->ledger.keepers().isInRegionOf(*keeper, this->ownZone) ? sameRegion : otherRegions;
        group.emplace_back(stableHash(digest.value() + "/" + keeper->address), *keeper);
    }
    std::vector<KeeperGateway> keepers;
    for (auto *group : {&sameRegion, &otherRegions}) {
        std::sort(group->begin(), group->end(), [](const auto &left, const auto &right) {
            return left.first > right.first;
        });
        for (auto &[hash, keeper] : *group) {
            keepers.push_back(std::move(keeper));
        }
    }
    return keepers;
}

std::uint64_t QuotaLimiter::decide(const Fleet::Workspace &workspace, const QuotaTerms &terms, const Core::RequestId &request, DecisionHook done)
{
    const auto number = this->nextDecision++;
    auto &pending = this->pendingDecisions[number];
    pending.query = {.workspace = workspace.name, .terms = terms};
    pending.startedAt = this->timers.now();
    pending.done = std::move(done);
    pending.message.id = request;
    auto keepers = this->keepersInOrder(workspace, terms.digest);
    if (!keepers.empty()) {
        pending.home = keepers.front();
    }
    // The share of this gateway comes before the home, since using it needs no round trip. It refuses at once when it has no token.
    std::stable_partition(keepers.begin(), keepers.end(), [this](const KeeperGateway &keeper) {
        return keeper.address == this->ownAddress;
    });
    std::reverse(keepers.begin(), keepers.end());
    pending.candidates = std::move(keepers);
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
    const auto mayQueryMore = [this, number] {
        const auto &row = this->pendingDecisions.at(number);
        return !row.candidates.empty() && !row.decision.isReserved && row.decision.asked < this->options.maximumQueries;
    };
    while (mayQueryMore()) {
        auto &candidates = this->pendingDecisions.at(number).candidates;
        const KeeperGateway keeper = std::move(candidates.back());
        candidates.pop_back();
        if (this->query(number, keeper)) {
            return;
        }
    }
    auto &pending = this->pendingDecisions.at(number);
    if (std::exchange(pending.mayWaitAtHome, false) && !pending.decision.isReserved) {
        // All have refused, so a token is reserved where the caller will be sent first when it returns.
        pending.haveAllRefused = true;
        const auto home = pending.home.value();
        if (this->query(number, home)) {
            return;
        }
    }
    auto &refused = this->pendingDecisions.at(number);
    // What is known of exhausted keepers is valid for a short time only, so the times in replies are the true ones.
    refused.decision.retryAfter = refused.hasReply ? refused.decision.retryAfter : refused.knownWait;
    const bool isKnown = refused.hasReply || refused.decision.knownExhausted > 0;
    const auto refusal = refused.isStarting ? QuotaDecision::Verdict::Starting : QuotaDecision::Verdict::OverQuota;
    this->finish(number, isKnown ? refusal : QuotaDecision::Verdict::NoKeeper);
}

bool QuotaLimiter::query(std::uint64_t number, const KeeperGateway &keeper)
{
    auto &pending = this->pendingDecisions.at(number);
    const auto now = this->timers.now();
    if (keeper.address == this->ownAddress) {
        return this->handleReply(number, keeper, this->admitHere(this->queryNow(pending, keeper)));
    }
    const auto known = this->exhausted.find(pending.query.workspace, keeper.address, urgencyIn(pending.query), now);
    // The home is queried also when it is exhausted, since it may keep a token for this caller.
    if (known.has_value() && !isHome(pending.home, keeper)) {
        auto &decision = pending.decision;
        const auto wait = known->until - now;
        pending.knownWait = decision.knownExhausted > 0 ? std::min(wait, pending.knownWait) : wait;
        decision.knownAge = std::max(decision.knownAge, now - known->learnedAt);
        ++decision.knownExhausted;
        pending.isStarting = pending.isStarting || known->isStarting;
        return false;
    }
    return this->queryRemote(number, keeper);
}

bool QuotaLimiter::areOthersExhausted(const PendingDecision &pending) const
{
    return std::all_of(pending.candidates.begin(), pending.candidates.end(), [this, &pending](const KeeperGateway &keeper) {
        return this->exhausted.find(pending.query.workspace, keeper.address, urgencyIn(pending.query), this->timers.now()).has_value();
    });
}

QuotaQuery QuotaLimiter::queryNow(const PendingDecision &pending, const KeeperGateway &keeper) const
{
    auto query = pending.query;
    const auto elapsed = this->timers.now() - pending.startedAt;
    query.terms->timeLeft = std::max(Core::Duration(0), query.terms->timeLeft - elapsed);
    query.terms->targetLeft = std::max(Core::Duration(0), query.terms->targetLeft - elapsed);
    if (isHome(pending.home, keeper)) {
        const bool isLast = pending.haveAllRefused || this->areOthersExhausted(pending);
        query.reservation = isLast ? ReservationMode::Always : ReservationMode::IfOthersExhausted;
    }
    return query;
}

bool QuotaLimiter::queryRemote(std::uint64_t number, const KeeperGateway &keeper)
{
    const auto service = relayService(keeper.zone);
    const Fleet::AllowedRegions anywhere;
    const auto typical = this->latencies.quantile(0.5, AssumedReplyTime, MinimumReplies);
    auto *backend
        = this->relays.firstHealthy({keeper.name}, SelectionCriteria{.service = service, .tried = {}, .typicalLatency = typical, .allowedRegions = anywhere});
    if (backend == nullptr) {
        return false;
    }
    auto &pending = this->pendingDecisions.at(number);
    ++pending.decision.asked;
    ++this->counts.asked;
    const auto query = this->queryNow(pending, keeper);
    pending.message.message = Wire::Request{.method = "GET", .target = "/", .headers = {}, .body = {}};
    addQuotaQuery(pending.message.message.headers, query, this->exhausted.list(query.workspace, urgencyIn(query), this->timers.now()));
    pending.attempt = this->relays.send(*backend,
        AttemptOptions{.caller = &pending.message,
            .timeLeft = this->options.keeperTimeout,
            .typicalLatency = typical,
            .done = [this, number, keeper](const AttemptOutcome &outcome) {
                this->handleOutcome(number, keeper, outcome);
            }});
    pending.keeperTimer = this->timers.once(this->options.keeperTimeout, [this, number](Core::Instant) {
        auto &late = this->pendingDecisions.at(number);
        this->relays.abandon(late.attempt.value(), false);
        late.attempt.reset();
        this->queryNext(number);
    });
    return true;
}

void QuotaLimiter::handleOutcome(std::uint64_t number, const KeeperGateway &keeper, const AttemptOutcome &outcome)
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
        this->latencies.add(this->timers.now() - pending.startedAt);
    }
    if (!this->handleReply(number, keeper, reply.value_or(QuotaReply{}))) {
        this->queryNext(number);
    }
}

bool QuotaLimiter::handleReply(std::uint64_t number, const KeeperGateway &keeper, const QuotaReply &reply)
{
    if (!reply.isKeeper) {
        return false;
    }
    auto &pending = this->pendingDecisions.at(number);
    const auto &workspace = pending.query.workspace;
    const auto urgency = urgencyIn(pending.query);
    if (reply.granted) {
        this->exhausted.learnOfGrant(workspace, keeper.address, urgency);
        this->finish(number, QuotaDecision::Verdict::Granted);
        return true;
    }
    if (keeper.address != this->ownAddress) {
        this->exhausted.learnFromKeeper(workspace, keeper.address, urgency, reply, this->timers.now());
    }
    this->learn(pending.query, reply.exhausted);
    auto &decision = pending.decision;
    const bool isSooner = !decision.isReserved && (!pending.hasReply || reply.retryAfter < decision.retryAfter);
    decision.retryAfter = reply.isReserved || isSooner ? reply.retryAfter : decision.retryAfter;
    decision.isReserved = decision.isReserved || reply.isReserved;
    pending.hasReply = true;
    pending.isStarting = pending.isStarting || reply.isStarting;
    if (isHome(pending.home, keeper) && !pending.haveAllRefused) {
        pending.mayWaitAtHome = isWaitUseful(pending.query.terms.value(), reply.retryAfter);
    }
    return false;
}

void QuotaLimiter::finish(std::uint64_t number, QuotaDecision::Verdict verdict)
{
    auto row = this->pendingDecisions.extract(number);
    auto &pending = row.mapped();
    pending.decision.verdict = verdict;
    pending.decision.waited = this->timers.now() - pending.startedAt;
    this->count(pending, pending.decision);
    pending.done(pending.decision);
}

void QuotaLimiter::count(const PendingDecision &pending, const QuotaDecision &decision)
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
    ++this->counts.refusedByUrgency[urgencyIn(pending.query)];
    this->counts.refusalTimes.add(decision.waited);
}

}
