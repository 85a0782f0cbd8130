/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/ShardCall.h>

#include <LibGateway/RequestTrace.h>

#include <algorithm>

namespace Gateway
{

// Maximum number of refusals by backend servers until a request is ended. A send after a refusal consumes a repeat.
static constexpr int MaximumRefusals = 3;
// Expected latency that a hedge may have once the target has passed. Less than the penalty of a backend server that looks stuck, so none of these is chosen.
static constexpr Core::Duration LateHedgeLimit = Core::milliseconds(250);

ShardCall::ShardCall(const CallParameters &parameters, Core::ServiceName service, BackendPool &pool, Core::TimerService &timers)
    : parameters(parameters), serviceName(std::move(service)), pool(pool), timers(timers)
{
}

ShardCall::~ShardCall()
{
    this->abandonRunning(false);
    if (this->waiter.has_value()) {
        this->pool.stopWaiting(this->serviceName, this->waiter.value());
    }
}

void ShardCall::recordEarlierAttempts(int executions, int sentBefore, bool counted)
{
    this->executionCount = executions;
    this->earlierSends = sentBefore;
    this->requestAlreadyCounted = counted;
}

void ShardCall::recordConsumedRepeat(int executions)
{
    this->executionCount = executions;
    this->repeatAlreadyConsumed = true;
}

void ShardCall::start(std::function<void()> finishedHook)
{
    this->finished = std::move(finishedHook);
    if (this->isHeld()) {
        this->postpone([this] {
            this->begin();
        });
        return;
    }
    this->begin();
}

bool ShardCall::hasAttempt() const
{
    return this->executions() > this->parameters.earlierAttempts || this->hasSentAttempt();
}

bool ShardCall::isHeld() const
{
    return this->timers.now() < this->parameters.repeatFrom && this->hasAttempt();
}

void ShardCall::postpone(std::function<void()> step)
{
    this->pool.recordPostponedRepeat();
    this->postponedStep = std::move(step);
    this->holdTimer = this->timers.once(this->parameters.repeatFrom - this->timers.now(), [this](Core::Instant) {
        this->endHold();
    });
}

void ShardCall::endHold()
{
    this->holdTimer.cancel();
    if (const auto step = std::exchange(this->postponedStep, nullptr); step) {
        step();
    }
}

void ShardCall::begin()
{
    if (this->repeatAlreadyConsumed) {
        // The requesting gateway has already counted the send in its budget.
    } else if (this->earlierSends == 0) {
        if (!this->requestAlreadyCounted) {
            this->pool.recordRequest(this->serviceName);
        }
    } else if (!this->consumeRepeat(this->retryKind())) {
        this->reason = this->repeatValueNow() > 0.0 ? "no repeat left in the budget" : "too many other shards are lost";
        this->finish(this->executionCount > 0 ? CallState::Failed : CallState::NotRun);
        return;
    }
    this->tryFirst();
}

SelectionCriteria ShardCall::wanted(std::optional<Core::Duration> within) const
{
    return {.service = this->serviceName,
        .tried = this->tried,
        .typicalLatency = this->parameters.typicalLatency,
        .allowedRegions = this->parameters.allowedRegions,
        .within = within,
        .request = this->parameters.request,
        .refusedBy = this->refusedBy,
        .mayProbe = !within.has_value() && this->tried.empty() && this->refusedBy.empty()};
}

Backend *ShardCall::chooseBackend()
{
    auto *backend = this->pool.firstHealthy(this->parameters.preferred, this->wanted());
    return backend != nullptr ? backend : this->pool.choose(this->wanted());
}

void ShardCall::tryFirst()
{
    if (!this->pool.hasWaiting(this->serviceName)) {
        this->tryNext();
        return;
    }
    this->waitForCapacity();
    this->pool.offerCapacityToNew(this->serviceName, this->waiter.value());
}

void ShardCall::tryNext()
{
    auto *backend = this->chooseBackend();
    if (backend != nullptr) {
        this->sendTo(*backend);
    } else if (this->running.empty()) {
        this->waitForCapacity();
    }
}

void ShardCall::waitForCapacity()
{
    this->current = CallState::Waiting;
    if (this->waiter.has_value()) {
        return;
    }
    const auto &request = *this->parameters.request;
    this->waiter = this->pool.waitForCapacity(this->serviceName,
        CapacityWaiter{.urgency = this->parameters.urgency,
            .flow = request.workspace.value_or(Fleet::WorkspaceName()),
            .weight = this->parameters.capacityWeight,
            .startBy = this->parameters.targetAt - this->parameters.typicalLatency,
            .target = this->parameters.route->targetLatency,
            .trace = request.trace,
            .regions = &this->parameters.allowedRegions,
            .offer = [this] {
                return this->sendWithOfferedCapacity();
            }});
}

bool ShardCall::sendWithOfferedCapacity()
{
    auto *backend = this->chooseBackend();
    if (backend == nullptr) {
        return false;
    }
    this->waiter.reset();
    this->sendTo(*backend);
    return true;
}

void ShardCall::sendTo(Backend &backend)
{
    this->current = CallState::InFlight;
    const auto now = this->timers.now();
    const auto name = backend.name;
    this->tried.push_back(name);
    ++this->sends;
    const auto timeLeft = std::min(this->parameters.deadline, this->parameters.expiresAt) - now;
    auto told = timeLeft;
    if (this->parameters.workLimit != nullptr) {
        told = this->parameters.workLimit->timeFor(timeLeft, this->parameters.targetAt - now, this->parameters.typicalLatency, now);
    }
    const std::weak_ptr<int> weak = this->alive;
    const auto id = this->pool.send(backend,
        AttemptOptions{.caller = this->parameters.request,
            .timeLeft = told,
            .typicalLatency = this->parameters.typicalLatency,
            .allowedRegions = this->parameters.allowedRegions,
            // A search sends to dozens of shards, and loses only one of them with a connection.
            .verifyOpen = !this->parameters.route->isFanOut(),
            .mayConfirm = this->parameters.mayConfirm,
            .done = [this, weak, name](const AttemptOutcome &outcome) {
                if (!weak.expired()) {
                    this->handleOutcome(name, outcome);
                }
            }});
    const auto limit = told < timeLeft ? std::optional(told) : std::nullopt;
    this->running.push_back(Running{.id = id, .backend = name, .startedAt = now, .limit = limit});
}

bool ShardCall::mayTryAnother() const
{
    const bool attemptsLeft = this->executions() + static_cast<int>(this->running.size()) < this->parameters.route->maximumAttempts;
    const bool timeLeft = this->timers.now() < std::min(this->parameters.deadline, this->parameters.expiresAt);
    return !this->mustNotSend && attemptsLeft && timeLeft && !this->isDangerous();
}

bool ShardCall::isDangerous() const
{
    return isDangerousToRepeat(*this->parameters.request->trace);
}

bool ShardCall::isLateHedgeable() const
{
    const auto &trace = *this->parameters.request->trace;
    const bool mustWait = trace.isSuspect && !trace.answered;
    return this->current == CallState::InFlight && !this->running.empty() && this->parameters.route->idempotent && !mustWait && this->mayTryAnother();
}

std::optional<Core::Instant> ShardCall::hedgeIfDue()
{
    const auto hedgeCheck = this->checkHedge();
    if (hedgeCheck.candidate == nullptr) {
        return hedgeCheck.nextCheckAt;
    }
    this->hedge(*hedgeCheck.candidate);
    return std::nullopt;
}

HedgeCheck ShardCall::checkHedge()
{
    if (!this->isLateHedgeable()) {
        return {};
    }
    const auto now = this->timers.now();
    auto due = std::max(this->running.back().startedAt + this->parameters.hedgeDelay, this->hedgeDeniedUntil);
    if (this->isHeld()) {
        due = std::max(due, this->parameters.repeatFrom);
    }
    if (now < due) {
        return {.candidate = nullptr, .nextCheckAt = due};
    }
    // Before the target a hedge is only worth a repeat where it is expected to be answered in time. After the target it may go to any backend server that does
    // not look stuck.
    const auto within = now < this->parameters.targetAt ? this->parameters.targetAt - now : LateHedgeLimit;
    auto *backend = this->pool.choose(this->wanted(within));
    if (backend == nullptr) {
        // No healthy backend server has free capacity now; checked again soon.
        return {.candidate = nullptr, .nextCheckAt = now + this->parameters.hedgeDelay / 2};
    }
    return {.candidate = backend, .nextCheckAt = std::nullopt};
}

void ShardCall::hedge(Backend &candidate)
{
    const auto late = this->running.back();
    if (!this->pool.mayHaveBeenSent(late.id)) {
        // The first attempt has not been sent, so sending to another backend server is no repeat.
        this->pool.abandon(late.id, false);
        this->running.pop_back();
        this->sendTo(candidate);
        return;
    }
    if (this->consumeHedge()) {
        ++this->hedgeCount;
        this->sendTo(candidate);
    }
}

bool ShardCall::consumeHedge()
{
    if (this->consumeRepeat(RepeatKind::Hedge)) {
        return true;
    }
    // Other shards of the search cause checks as well, and each would choose a backend server for this one again.
    this->hedgeDeniedUntil = this->timers.now() + this->parameters.hedgeDelay / 2;
    return false;
}

bool ShardCall::reserveRelayedHedge()
{
    if (!this->pool.mayHaveBeenSent(this->running.back().id)) {
        // The late attempt has not been sent, so this gateway can send to another backend server without a repeat.
        return false;
    }
    if (!this->consumeHedge()) {
        return false;
    }
    ++this->hedgeCount;
    ++this->relayedHedges;
    return true;
}

void ShardCall::relayedHedgeEnded(int executions)
{
    --this->relayedHedges;
    this->executionCount += executions;
}

void ShardCall::handleOutcome(const BackendName &backend, const AttemptOutcome &outcome)
{
    const auto position = std::find_if(this->running.begin(), this->running.end(), [&backend](const Running &attempt) {
        return attempt.backend == backend;
    });
    if (position == this->running.end() || isFinished(this->current)) {
        return;
    }
    const Running attempt = *position;
    this->running.erase(position);
    switch (outcome.end) {
    case AttemptEnd::Replied:
        this->handleReply(outcome.reply, attempt);
        break;
    case AttemptEnd::NotSent:
        ++this->unsentAttempts;
        this->reason = outcome.reason;
        this->retryOrFinish(CallState::NotRun);
        break;
    case AttemptEnd::Broken:
    case AttemptEnd::Unacknowledged:
        ++this->executionCount;
        this->lastBreakAfter = this->timers.now() - attempt.startedAt;
        this->lastBreakConfirmed = outcome.confirmed;
        this->reason = outcome.crashed ? "the backend server crashed" : outcome.reason;
        this->retryOrFinish(CallState::Failed);
        break;
    }
}

void ShardCall::recordLimitOutcome(const Running &attempt, bool answered)
{
    if (!attempt.limit.has_value() || this->parameters.workLimit == nullptr) {
        return;
    }
    const auto now = this->timers.now();
    if (answered) {
        this->parameters.workLimit->recordAnswered(now);
    } else if (now - attempt.startedAt >= attempt.limit.value()) {
        this->parameters.workLimit->recordTimeout(now);
    }
}

void ShardCall::handleReply(const BackendReply &incoming, const Running &attempt)
{
    this->recordLimitOutcome(attempt, incoming.isSuccess());
    if (incoming.notExecuted || incoming.wrongBackend) {
        ++this->refusals;
        if (!incoming.wrongBackend) {
            // The backend server did not run the request, so it may be chosen again.
            std::erase(this->tried, attempt.backend);
            this->refusedBy.push_back(attempt.backend);
        }
        this->reason = incoming.wrongBackend ? "the address belongs to another backend server now" : "the backend server refused";
        this->retryOrFinish(CallState::NotRun);
        return;
    }
    ++this->executionCount;
    const bool goodSuccess = incoming.isSuccess() && !incoming.signature.empty();
    // An unsuccessful reply is final if the request itself is at fault; otherwise another backend server is worth a try.
    const bool worthRetry = !goodSuccess && (incoming.isSuccess() || incoming.message.status >= 500);
    this->answer = incoming;
    this->answerLatency = this->timers.now() - attempt.startedAt;
    this->answerer = attempt.backend;
    if (!worthRetry) {
        this->finish(goodSuccess ? CallState::Answered : CallState::FailedWithReply);
        return;
    }
    this->reason = "status " + std::to_string(incoming.message.status);
    this->retryOrFinish(incoming.isSuccess() ? CallState::Failed : CallState::FailedWithReply);
}

void ShardCall::retryOrFinish(CallState otherwise)
{
    if (!this->running.empty()) {
        // Another attempt is still in flight.
        return;
    }
    const bool nothingRan = this->executions() == 0;
    const bool allowed = (this->parameters.route->idempotent || nothingRan) && this->refusals < MaximumRefusals && this->mayTryAnother();
    const bool wasSent = otherwise != CallState::NotRun || this->refusals > 0;
    if (allowed && this->isHeld()) {
        this->postpone([this, otherwise] {
            this->retryOrFinish(otherwise);
        });
        return;
    }
    if (allowed && this->pool.choose(this->wanted()) != nullptr) {
        if (!wasSent || this->consumeRepeat(this->retryKind())) {
            this->tryNext();
            return;
        }
    }
    // An earlier attempt may have run, even if the last one was refused.
    const auto lost = otherwise == CallState::NotRun ? CallState::Failed : otherwise;
    this->finish(nothingRan ? CallState::NotRun : lost);
}

RepeatKind ShardCall::retryKind() const
{
    return this->executions() == 0 ? RepeatKind::RetryAfterRefusal : RepeatKind::RetryAfterFailure;
}

double ShardCall::repeatValueNow() const
{
    if (this->parameters.repeatValue) {
        return this->parameters.repeatValue();
    }
    return singleRepeatValue(this->parameters.targetAt - this->timers.now(), this->parameters.typicalLatency);
}

bool ShardCall::consumeRepeat(RepeatKind kind)
{
    if (this->hasAttempt() && this->parameters.isAwaited && !this->parameters.isAwaited()) {
        this->pool.recordUnawaitedRepeat();
        this->repeatDenied = true;
        return false;
    }
    const RepeatRequest repeat{.request = this->parameters.request->id, .kind = kind, .value = this->repeatValueNow()};
    this->repeatDenied = !this->pool.consumeRetry(this->serviceName, repeat);
    return !this->repeatDenied;
}

void ShardCall::finish(CallState end)
{
    this->current = end;
    this->countRunning();
    this->abandonRunning(false);
    // NOTE: The hook may destroy this call, so it is moved out first, and no member is accessed afterwards.
    const auto hook = std::exchange(this->finished, nullptr);
    if (hook) {
        hook();
    }
}

void ShardCall::countRunning()
{
    this->executionCount += static_cast<int>(std::count_if(this->running.begin(), this->running.end(), [this](const Running &attempt) {
        return this->pool.mayHaveBeenSent(attempt.id);
    }));
}

void ShardCall::abandonRunning(bool callerGone)
{
    for (const auto &attempt : std::exchange(this->running, {})) {
        if (this->parameters.attemptAbandoned && this->pool.mayHaveBeenSent(attempt.id)) {
            this->parameters.attemptAbandoned(attempt.backend, attempt.id);
        }
        this->pool.abandon(attempt.id, callerGone);
    }
}

void ShardCall::sendNoMore()
{
    this->mustNotSend = true;
}

void ShardCall::cancel(bool callerGone)
{
    if (isFinished(this->current)) {
        return;
    }
    this->countRunning();
    this->current = this->executions() > 0 ? CallState::Failed : CallState::NotRun;
    this->finished = nullptr;
    this->holdTimer.cancel();
    this->postponedStep = nullptr;
    this->abandonRunning(callerGone);
    if (this->waiter.has_value()) {
        this->pool.stopWaiting(this->serviceName, this->waiter.value());
        this->waiter.reset();
    }
}

CallState ShardCall::state() const
{
    return this->current;
}

const Core::ServiceName &ShardCall::service() const
{
    return this->serviceName;
}

BackendReply &ShardCall::reply()
{
    return this->answer;
}

const BackendName &ShardCall::answeredBy() const
{
    return this->answerer;
}

Core::Duration ShardCall::latency() const
{
    return this->answerLatency;
}

int ShardCall::attempts() const
{
    return this->sends;
}

int ShardCall::hedges() const
{
    return this->hedgeCount;
}

int ShardCall::executions() const
{
    return this->executionCount + this->relayedHedges;
}

int ShardCall::openRelayedHedges() const
{
    return this->relayedHedges;
}

bool ShardCall::hasSentAttempt() const
{
    return std::any_of(this->running.begin(), this->running.end(), [this](const Running &attempt) {
        return this->pool.mayHaveBeenSent(attempt.id);
    });
}

bool ShardCall::lacksServers() const
{
    return this->current == CallState::NotRun && this->refusals == 0 && this->unsentAttempts > 0;
}

bool ShardCall::wasRefused() const
{
    return this->current == CallState::NotRun && this->refusals > 0;
}

std::optional<Core::Duration> ShardCall::brokeAfter() const
{
    return this->lastBreakAfter;
}

bool ShardCall::wasConfirmed() const
{
    return this->lastBreakConfirmed;
}

bool ShardCall::lacksRepeat() const
{
    return this->repeatDenied;
}

const std::string &ShardCall::failureReason() const
{
    return this->reason;
}

}
