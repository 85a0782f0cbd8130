/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/FanOutRequest.h>

#include <LibCore/Log.h>
#include <LibCore/Settings.h>
#include <LibGateway/PackedSignatures.h>
#include <LibGateway/RecordMerge.h>
#include <LibGateway/RequestTrace.h>
#include <LibRpc/Serialization.h>

#include <algorithm>
#include <cmath>
#include <functional>

namespace Gateway
{

// A single hedge is sent directly, because a part of one shard saves no bytes. The exception is a large reply of which most records are not needed.
static constexpr std::size_t MinimumHedgesInPart = 2;
// Size from which on a reply is larger than the overhead of a part.
static constexpr std::size_t LargeReplyBytes = 400;
// Latency that is recorded for a backend server that did not answer another gateway before its part was sent, as a multiple of the typical latency.
static constexpr double MissedRatio = 8.0;
// Maximum number of shards that are sent to one after the other until one of them answers.
static constexpr std::size_t MaximumCanaries = 3;
// A search that can't be answered waits for what other gateways report until this fraction of its target latency has passed since its arrival. A refusal is of
// use to the caller only within a quarter of the target.
static constexpr double OutcomeWaitShare = 0.25;

FanOutRequest::FanOutRequest(RequestContext context,
    std::shared_ptr<const Fleet::RouteTable> routes,
    const Fleet::Route &route,
    CallerRequest request,
    RelayPlan plan,
    RequestOrigin origin)
    : RoutedRequest(context, std::move(routes), route, std::move(request)), plan(std::move(plan)), origin(origin)
{
    this->parameters.workLimit = this->context.workLimit;
    this->parameters.repeatValue = [this] {
        return this->repeatValueNow();
    };
}

// ---- Calls

bool FanOutRequest::canBeServed() const
{
    // Shards in parts had an eligible backend server when the search was divided.
    std::size_t shards = 0;
    for (const auto &part : this->plan.parts) {
        shards += part.shards.size();
    }
    for (const auto &shard : this->plan.direct) {
        shards += this->context.pool->hasEligible(shard, this->parameters.allowedRegions) ? 1 : 0;
    }
    return shards >= this->requiredShards();
}

void FanOutRequest::startCalls()
{
    if (this->origin == RequestOrigin::Caller && !this->canBeServed()) {
        // Nothing is sent, so completeIfPossible() refuses the search immediately as not run.
        return;
    }
    this->addRows();
    if (this->needsCanary()) {
        this->startCanary();
    } else {
        this->startAll();
    }
}

void FanOutRequest::addRows()
{
    for (const auto &shard : this->plan.direct) {
        this->addRow(shard);
    }
    for (const auto &part : this->plan.parts) {
        for (const auto &shard : part.shards) {
            this->addRow(shard);
        }
    }
}

void FanOutRequest::startAll()
{
    // NOTE: Parts are sent first, because they take longer.
    auto number = this->plan.direct.size();
    for (auto &part : this->plan.parts) {
        std::vector<std::size_t> rowNumbers;
        const auto end = number + part.shards.size();
        part.shards.clear();
        for (; number < end; ++number) {
            if (!this->rows[number].call) {
                rowNumbers.push_back(number);
                part.shards.push_back(this->rows[number].shard);
            }
        }
        if (!part.shards.empty()) {
            this->countRequests(part);
            this->startPart(part, std::move(rowNumbers));
        }
    }
    const bool isHedge = this->context.relayParameters.has_value() && this->context.relayParameters->isHedge;
    for (number = 0; number < this->plan.direct.size(); ++number) {
        auto &row = this->rows[number];
        if (row.call) {
            continue;
        }
        if (isHedge) {
            this->startHedgeForGateway(row);
        } else {
            this->startDirect(row, this->plan.before);
        }
    }
}

// A request is counted in the retry budget of one gateway. Owners count those of their parts, so that small shares add up to whole repeats. Otherwise the
// gateway that took the request counts it, also while others serve its parts: if that moved with the parts, the repeats that the former gateway made for the
// requests of a window, and those that the new one makes for the next ones, would come at the same time.
void FanOutRequest::countRequests(PartPlan &part)
{
    if (!part.owners.empty() || part.before.counted) {
        return;
    }
    for (const auto &shard : part.shards) {
        this->context.pool->recordRequest(shard);
    }
    part.before.counted = true;
}

// ---- Canaries

bool FanOutRequest::needsCanary() const
{
    const bool isHedge = this->context.relayParameters.has_value() && this->context.relayParameters->isHedge;
    return (this->request.trace->isSuspect || this->context.isCautious) && !isHedge && !this->rows.empty();
}

void FanOutRequest::startCanary()
{
    auto &row = this->rows[this->canaries];
    this->canaryRow = this->canaries++;
    this->startDirect(row, this->plan.before);
}

void FanOutRequest::handleCanary()
{
    const auto &call = *this->rows[this->canaryRow.value()].call;
    if (!isFinished(call.state())) {
        return;
    }
    this->canaryRow.reset();
    const bool isAnswered = call.state() == CallState::Answered;
    const bool mayContinue = !this->isExpired() && !isDangerousToRepeat(*this->request.trace);
    const bool hasCanariesLeft = this->canaries < std::min(this->rows.size(), MaximumCanaries);
    if (!isAnswered && (!mayContinue || (!hasCanariesLeft && this->request.trace->isSuspect))) {
        this->endAfterCanaries();
        return;
    }
    // A shard that did not answer stays missing. Without any crash, searches are not refused for the sake of a few shards that no backend server serves.
    this->withCompletionDeferred([this, isAnswered, hasCanariesLeft] {
        if (isAnswered || !hasCanariesLeft) {
            this->startAll();
        } else {
            this->startCanary();
        }
    });
    this->callFinished();
}

void FanOutRequest::endAfterCanaries()
{
    if (this->origin == RequestOrigin::Caller) {
        this->refuseSearch();
    } else {
        this->answerOtherGateway();
    }
}

void FanOutRequest::addRow(const Core::ServiceName &shard)
{
    // The attempts before this part are reported with it: a shard that seems not to have been sent yet would be sent again without a repeat.
    this->rows.push_back(SearchRow{.shard = shard, .call = nullptr, .part = nullptr, .inPart = false, .remoteAttempts = this->plan.before});
}

// `before` describes the attempts of other gateways for the shard.
void FanOutRequest::startDirect(SearchRow &row, const Protocol::MissingShard &before)
{
    row.call = this->makeCall(row.shard);
    row.call->recordEarlierAttempts(before.executions, before.sends, before.counted);
    this->startCall(row);
}

// Runs a hedge for another gateway whose own send is late. The hedge is sent only within this region, since the requesting gateway can reach other regions as
// well as this one.
void FanOutRequest::startHedgeForGateway(SearchRow &row)
{
    row.remoteAttempts.executions = HedgedExecutions;
    if (this->request.trace->isSuspect || !this->context.pool->isGoodInRegion(row.shard, this->parameters.typicalLatency, this->parameters.allowedRegions)) {
        return;
    }
    row.call = this->makeCall(row.shard);
    row.call->recordConsumedRepeat(HedgedExecutions);
    this->startCall(row);
}

void FanOutRequest::startCall(const SearchRow &row)
{
    row.call->start([this] {
        this->callFinished();
    });
}

void FanOutRequest::startPart(const PartPlan &partPlan, std::vector<std::size_t> rowNumbers)
{
    // Each part may lack its share of the maximum missing, rounded up. A part of one cell is small, and while its owner waits for late shards all of its shards
    // are unavailable to a search that could be answered. It may therefore lack half of the maximum missing; a part that lacks more makes the search late
    // anyway. After the target it has to be complete. A part of hedges is useful with any one shard.
    const auto bySize = (this->maximumMissing() * partPlan.shards.size() + this->rows.size() - 1) / this->rows.size();
    const auto ofCell = this->canBeInTime() ? std::max(bySize, this->maximumMissing() / 2) : 0;
    const auto share = partPlan.owners.empty() ? bySize : ofCell;
    const auto state = this->searchState();
    const PartParameters partParameters{.targetAt = this->parameters.targetAt,
        .expiresAt = std::min(this->parameters.expiresAt, this->arrivedAt + this->plan.timeoutInTargets * this->route.targetLatency),
        .maximumMissing = partPlan.isHedge ? partPlan.shards.size() - 1 : share,
        .topRecords = this->topRecords(),
        .allowedRegions = this->parameters.allowedRegions,
        .searchState = state.has_value() ? std::optional(stateWithout(state.value(), partPlan.shards.size())) : std::nullopt,
        .repeatHold = std::max(Core::Duration(0), this->parameters.repeatFrom - this->now()),
        .isHoldOver = [this] {
            return this->now() >= this->parameters.repeatFrom;
        }};
    this->parts.push_back(std::make_unique<SentPart>());
    auto &sentPart = *this->parts.back();
    sentPart.part = std::make_unique<RelayedPart>(this->context, this->route, this->request, partPlan, partParameters);
    sentPart.rowNumbers = std::move(rowNumbers);
    for (const auto number : sentPart.rowNumbers) {
        this->rows[number].part = sentPart.part.get();
        this->rows[number].isRetryPlanned = false;
    }
    sentPart.part->start([this, &sentPart] {
        this->withCompletionDeferred([this, &sentPart] {
            this->handlePart(sentPart);
        });
        this->callFinished();
    });
}

void FanOutRequest::handlePart(const SentPart &sentPart)
{
    this->request.trace->crashes += sentPart.part->answer().crashes;
    this->request.trace->answered = this->request.trace->answered || !sentPart.part->answer().signatures.empty();
    sentPart.part->recordIfLost();
    const auto missing = sentPart.part->missing();
    for (const auto number : sentPart.rowNumbers) {
        auto &row = this->rows[number];
        const auto found = std::find_if(missing.begin(), missing.end(), [&row](const Protocol::MissingShard &shard) {
            return shard.serviceName == row.shard.value();
        });
        const bool isInPart = found == missing.end();
        if (sentPart.part->call().state() == CallState::Answered) {
            this->context.pool->recordPartLatency(row.shard, sentPart.part->zone(), isInPart ? 1.0 : MissedRatio);
        }
        if (sentPart.part->isHedge()) {
            this->handleHedgedPart(sentPart, row, isInPart ? nullptr : &*found);
        } else if (isInPart) {
            row.inPart = true;
        } else {
            row.recordMissing(sentPart, *found, this->route.maximumAttempts);
        }
    }
    this->retryMissingShards();
}

// `missing` is nullptr if the part contains the shard's answer.
void FanOutRequest::handleHedgedPart(const SentPart &sentPart, SearchRow &row, const Protocol::MissingShard *missing)
{
    if (missing == nullptr) {
        // NOTE: This also replaces a direct answer that has arrived meanwhile: the records of a part cannot be told apart by shard, so its answer is the one
        // that counts.
        row.inPart = true;
        row.call->relayedHedgeEnded(1);
        row.call->cancel(false);
        return;
    }
    switch (sentPart.part->call().state()) {
    case CallState::Answered:
        row.call->relayedHedgeEnded(std::max(0, missing->executions - HedgedExecutions));
        break;
    case CallState::NotRun:
        row.call->relayedHedgeEnded(0);
        break;
    default:
        row.call->relayedHedgeEnded(std::max(1, sentPart.part->assumedAttempts() - HedgedExecutions));
        break;
    }
}

bool FanOutRequest::canBeInTime() const
{
    return this->now() + this->parameters.typicalLatency < this->parameters.targetAt;
}

// Retries shards that were missing from parts, while they can be answered before the target. Later they are retried only if too few shards are answered or in
// flight, since a search with enough shards is answered at its target and would only cancel them.
void FanOutRequest::retryMissingShards()
{
    const bool tooFew = this->answeredCount() + this->openCount() < this->requiredShards();
    const bool isDangerous = isDangerousToRepeat(*this->request.trace);
    if (this->isLost || this->isExpired() || isDangerous || (!this->canBeInTime() && !tooFew)) {
        return;
    }
    std::map<PartRetry, std::vector<std::size_t>> retries;
    for (std::size_t number = 0; number < this->rows.size(); ++number) {
        auto &row = this->rows[number];
        if (!std::exchange(row.mayRetry, false)) {
            continue;
        }
        const auto &sentPart = *row.missingFromPart;
        // A shard is requested from its owner twice at most. After that, or if the owner has no repeat left, this gateway sends to the missing shards directly
        // and consumes its own share of the budget, which it seldom needs otherwise.
        const bool isHeld = this->now() < this->parameters.repeatFrom;
        if (sentPart.part->hasOwners() && !sentPart.part->isRetry() && !row.lacksRepeatThere && !isHeld) {
            row.isRetryPlanned = true;
            retries[{&sentPart, row.remoteAttempts.executions, row.remoteAttempts.sends, row.remoteAttempts.counted}].push_back(number);
        } else {
            this->startDirect(row, row.remoteAttempts);
        }
    }
    for (auto &[retry, rowNumbers] : retries) {
        this->retryAtOwner(retry, std::move(rowNumbers));
    }
}

// Sends the shards to the owner again: it has connections to the backend servers, knows which of them are late, and has the larger share of the retry budget.
void FanOutRequest::retryAtOwner(const PartRetry &retry, std::vector<std::size_t> rowNumbers)
{
    PartPlan part = retry.sentPart->part->sentPlan();
    part.shards.clear();
    part.mayRelayFurther = false;
    part.isRetry = true;
    for (const auto number : rowNumbers) {
        part.shards.push_back(this->rows[number].shard);
    }
    part.before.executions = retry.executions;
    part.before.sends = retry.sends;
    part.before.counted = retry.counted;
    this->startPart(part, std::move(rowNumbers));
}

// Hedges for one zone of another region are sent as one part, since separate replies would each cost as many bytes as the whole part.
bool FanOutRequest::mayHedgeTogether(const SearchRow &row, const Backend &candidate) const
{
    const bool isRelayed = row.part != nullptr && row.part->isOpen();
    return !candidate.sameRegion && !isRelayed && !this->isTargetReached() && this->context.relays->hasReady(relayService(candidate.zone));
}

Core::Instant FanOutRequest::hedgeLateCalls()
{
    auto next = this->parameters.expiresAt;
    std::map<std::string, std::vector<std::size_t>> together;
    for (std::size_t number = 0; number < this->rows.size(); ++number) {
        auto &row = this->rows[number];
        if (!row.call) {
            continue;
        }
        const auto hedgeCheck = row.call->checkHedge();
        if (hedgeCheck.candidate == nullptr) {
            next = std::min(next, hedgeCheck.nextCheckAt.value_or(next));
        } else if (this->mayHedgeTogether(row, *hedgeCheck.candidate)) {
            together[hedgeCheck.candidate->zone].push_back(number);
        } else {
            row.call->hedge(*hedgeCheck.candidate);
        }
    }
    for (const auto &[zone, rowNumbers] : together) {
        this->hedgeTogether(zone, rowNumbers);
    }
    return next;
}

void FanOutRequest::hedgeTogether(const std::string &zone, const std::vector<std::size_t> &rowNumbers)
{
    PartPlan hedges{.zone = zone, .shards = {}, .mayRelayFurther = false, .isHedge = true, .minimumRecord = this->mergedAnswer().minimumRecord(), .owners = {}};
    std::vector<Core::ServiceName> late;
    for (const auto number : rowNumbers) {
        late.push_back(this->rows[number].shard);
    }
    hedges.owners = this->context.cells->commonOwnersOf(late, this->route.shards.size(), zone);
    const bool savesReply = !hedges.minimumRecord.empty() && this->topRecords() * RecordBytes >= LargeReplyBytes;
    // An owner has open connections to the backend servers. Opening one from this gateway would take a round trip or more.
    const bool asPart = rowNumbers.size() >= MinimumHedgesInPart || savesReply || !hedges.owners.empty();
    std::vector<std::size_t> hedged;
    for (const auto number : rowNumbers) {
        auto &row = this->rows[number];
        if (asPart && row.call->reserveRelayedHedge()) {
            hedges.shards.push_back(row.shard);
            hedged.push_back(number);
        } else {
            (void)row.call->hedgeIfDue();
        }
    }
    if (!hedged.empty()) {
        this->startPart(hedges, std::move(hedged));
    }
}

Core::Instant FanOutRequest::handleLateCalls()
{
    auto next = this->hedgeLateCalls();
    // NOTE: Iterates by index, since handling a part may add other parts.
    for (std::size_t index = 0; index < this->parts.size(); ++index) {
        const auto &sentPart = *this->parts[index];
        auto &part = *sentPart.part;
        if (!part.isOpen()) {
            continue;
        }
        if (this->now() >= part.expiresAt()) {
            part.cancel(false);
            this->handlePart(sentPart);
        } else {
            next = std::min(next, part.expiresAt());
        }
    }
    return next;
}

void FanOutRequest::cancelCalls(bool callerIsGone)
{
    for (const auto &row : this->rows) {
        if (row.call) {
            row.call->cancel(callerIsGone);
        }
    }
    for (const auto &sentPart : this->parts) {
        sentPart->part->cancel(callerIsGone);
    }
}

// ---- Coverage

std::size_t FanOutRequest::requiredShards() const
{
    // The product is reduced slightly, so that 0.89 of 100 shards are 89 of them despite rounding errors.
    const double exact = this->route.minimumCoverage * static_cast<double>(this->route.shards.size()) - 1e-9;
    return std::max<std::size_t>(1, static_cast<std::size_t>(std::ceil(exact)));
}

std::size_t FanOutRequest::maximumMissing() const
{
    return this->context.relayParameters.has_value() ? this->context.relayParameters->maximumMissing : this->route.shards.size() - this->requiredShards();
}

std::size_t FanOutRequest::topRecords() const
{
    return this->context.relayParameters.has_value() ? this->context.relayParameters->topRecords : this->route.topRecords;
}

std::size_t FanOutRequest::answeredCount() const
{
    return static_cast<std::size_t>(std::count_if(this->rows.begin(), this->rows.end(), std::mem_fn(&SearchRow::isAnswered)));
}

std::size_t FanOutRequest::openCount() const
{
    return static_cast<std::size_t>(std::count_if(this->rows.begin(), this->rows.end(), std::mem_fn(&SearchRow::isOpen)));
}

std::optional<SearchState> FanOutRequest::searchState() const
{
    const auto answered = this->answeredCount();
    const auto open = static_cast<std::size_t>(std::count_if(this->rows.begin(), this->rows.end(), std::mem_fn(&SearchRow::isObtainable)));
    if (this->origin == RequestOrigin::Caller) {
        return SearchState{.answered = answered, .open = open, .required = this->requiredShards(), .all = this->rows.size()};
    }
    const auto others = this->context.relayParameters.has_value() ? this->context.relayParameters->searchState : std::nullopt;
    if (!others.has_value()) {
        return std::nullopt;
    }
    return stateWith(others.value(), answered, open);
}

double FanOutRequest::repeatValueNow() const
{
    const auto state = this->searchState();
    if (!state.has_value()) {
        return HighestRepeatValue;
    }
    return repeatValue(state.value(), this->parameters.targetAt - this->now(), this->parameters.typicalLatency);
}

RunEvidence FanOutRequest::runEvidence() const
{
    const auto anyPart = [this](bool (RelayedPart::*condition)() const) {
        return std::any_of(this->parts.begin(), this->parts.end(), [condition](const auto &sentPart) {
            return (*sentPart->part.*condition)();
        });
    };
    if (anyPart(&RelayedPart::reportsExecutions)) {
        return RunEvidence::PartReport;
    }
    if (std::any_of(this->rows.begin(), this->rows.end(), std::mem_fn(&SearchRow::mayHaveRunDirectly))) {
        return RunEvidence::DirectAttempt;
    }
    return anyPart(&RelayedPart::mayHaveRun) ? RunEvidence::PartInFlight : RunEvidence::None;
}

bool FanOutRequest::lacksServers() const
{
    const auto lacking = std::count_if(this->rows.begin(), this->rows.end(), [](const SearchRow &row) {
        return row.call && row.call->lacksServers();
    });
    const auto refused = std::count_if(this->rows.begin(), this->rows.end(), [](const SearchRow &row) {
        return row.call && row.call->wasRefused();
    });
    return this->rows.empty() || lacking > refused;
}

void FanOutRequest::completeIfPossible()
{
    if (this->canaryRow.has_value()) {
        this->handleCanary();
        return;
    }
    if (this->origin == RequestOrigin::Caller) {
        this->completeForCallerIfPossible();
    } else {
        this->completeForGatewayIfPossible();
    }
}

// A merged answer is sent when all shards are answered, when the target is reached and enough are answered, or after the target as soon as enough are answered.
void FanOutRequest::completeForCallerIfPossible()
{
    if (this->isLost) {
        this->endLostSearch();
        return;
    }
    const auto answered = this->answeredCount();
    const auto open = this->openCount();
    const bool enough = answered >= this->requiredShards();
    if (enough && (open == 0 || this->isTargetReached())) {
        this->answerCaller();
    } else if (answered + open < this->requiredShards()) {
        this->withCompletionDeferred([this] {
            this->retryMissingShards();
        });
        if (this->answeredCount() + this->openCount() < this->requiredShards()) {
            this->endLostSearch();
        }
    }
}

// Requests that have not run are refused as such, which their callers can repeat safely. An open part counts as run, although its gateway may have found no
// backend server for any of its shards; its answer takes about a round trip. With any other evidence the answer changes nothing and is not waited for.
void FanOutRequest::endLostSearch()
{
    this->isLost = true;
    this->cancelAllButPartsUnderWay();
    const auto waitUntil = this->arrivedAt + scaled(this->route.targetLatency, OutcomeWaitShare);
    const bool isOutcomeOpen = this->runEvidence() == RunEvidence::None && this->hasPartUnderWay();
    if (!isOutcomeOpen || this->now() >= waitUntil) {
        this->refuseSearch();
        return;
    }
    this->outcomeTimer = this->context.timers->once(waitUntil - this->now(), [this](Core::Instant) {
        this->callFinished();
    });
}

void FanOutRequest::refuseSearch()
{
    this->outcomeTimer.cancel();
    this->cancelCalls(false);
    this->refuse(this->runEvidence(), this->lacksServers());
}

bool FanOutRequest::hasPartUnderWay() const
{
    return std::any_of(this->parts.begin(), this->parts.end(), [](const auto &sentPart) {
        return sentPart->part->isUnderWay();
    });
}

void FanOutRequest::cancelAllButPartsUnderWay()
{
    for (const auto &row : this->rows) {
        if (row.call) {
            row.call->cancel(false);
        }
    }
    for (const auto &sentPart : this->parts) {
        if (sentPart->part->isUnderWay()) {
            // Another gateway could run shards of a search that is given up.
            sentPart->part->sendNoMore();
        } else {
            sentPart->part->cancel(false);
        }
    }
}

// A part is sent when no shard is in flight any more, when the target is reached and at most the maximum missing are missing, or after the target as soon as
// that is the case.
void FanOutRequest::completeForGatewayIfPossible()
{
    const auto missing = this->rows.size() - this->answeredCount();
    if (this->openCount() == 0 || (this->isTargetReached() && missing <= this->maximumMissing())) {
        this->answerOtherGateway();
    }
}

// ---- Answers

SearchAnswer FanOutRequest::mergedAnswer() const
{
    return SearchAnswer(this->rows, this->parts, this->topRecords());
}

void FanOutRequest::recordLatencies() const
{
    for (const auto &row : this->rows) {
        if (row.isAnsweredDirectly()) {
            this->context.latencies->add(row.call->latency());
        }
    }
}

void FanOutRequest::answerCaller()
{
    MergedAnswer answer;
    answer.id = this->request.id;
    this->recordLatencies();
    const auto merged = this->mergedAnswer();
    answer.body = merged.records();
    answer.signatures = merged.signatures();
    merged.verifyMinimumRecords(answer.body, this->request.id);
    verifySignatures(answer.signatures, this->request.id);
    answer.missing = this->route.shards.size() - answer.signatures.size();
    this->cancelCalls(false);
    this->complete(this->context.dialect->writeMerged(answer), answer.missing == 0 ? RequestOutcome::Answered : RequestOutcome::Partial);
}

std::string FanOutRequest::ownEvidence() const
{
    if (!this->context.pool->hasEvidence()) {
        return {};
    }
    std::vector<Core::ServiceName> shards;
    std::transform(this->rows.begin(), this->rows.end(), std::back_inserter(shards), [](const SearchRow &row) {
        return row.shard;
    });
    return this->context.pool->evidenceOf(shards, EvidenceScope::Own);
}

void FanOutRequest::answerOtherGateway()
{
    std::vector<std::string> denied;
    Protocol::PartialAnswer answer;
    this->recordLatencies();
    answer.records = this->mergedAnswer().records();
    if (this->context.relayParameters.has_value()) {
        dropLessThan(answer.records, this->context.relayParameters->minimumRecord);
    }
    answer.signatures = this->mergedAnswer().signatures();
    answer.crashes = crashesToReport(*this->request.trace);
    this->cancelCalls(false);
    for (const auto &row : this->rows) {
        if (!row.isAnswered()) {
            answer.missing.push_back(row.describeMissing(this->route.maximumAttempts));
        }
        if (!row.isAnswered() && row.lacksRepeat()) {
            denied.push_back(row.shard.value());
        }
    }
    packSignatures(answer);
    const auto outcome = answer.missing.empty() ? RequestOutcome::Answered : RequestOutcome::Partial;
    auto response = this->context.dialect->writePartial(this->request.id, Rpc::serialize(answer));
    if (!denied.empty()) {
        response.headers.push_back({RelayHeader::DeniedRepeats, Core::joinList(denied)});
    }
    if (auto evidence = this->ownEvidence(); !evidence.empty()) {
        response.headers.push_back({RelayHeader::Evidence, std::move(evidence)});
    }
    this->complete(std::move(response), outcome);
}

void FanOutRequest::releaseCalls()
{
    for (const auto &row : this->rows) {
        if (row.call) {
            row.call->endHold();
        }
    }
}

void FanOutRequest::describe(RequestSummary &summary) const
{
    summary.shards = this->origin == RequestOrigin::Caller ? this->route.shards.size() : this->rows.size();
    summary.answered = this->answeredCount();
    for (const auto &row : this->rows) {
        summary.mostAttempts = std::max(summary.mostAttempts, row.call ? row.call->executions() : row.remoteAttempts.executions);
        if (row.call) {
            describeCall(summary, *row.call);
        }
    }
    for (const auto &sentPart : this->parts) {
        summary.relayed += sentPart->rowNumbers.size();
        describeCall(summary, sentPart->part->call());
    }
}

}
