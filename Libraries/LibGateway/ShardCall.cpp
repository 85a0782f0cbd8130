/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/ShardCall.h>

#include <algorithm>

namespace Gateway
{

// Backend servers that may refuse one request before it is given up; each refusal is a send that the budget pays for.
static constexpr int MaximumRefusals = 3;
// What a hedge may be expected to take once the target has passed; less than the penalty of one that looks stuck.
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

void ShardCall::countEarlier(int executions, int sentBefore, bool counted)
{
    this->executionCount = executions;
    this->earlierSends = sentBefore;
    this->countedEarlier = counted;
}

void ShardCall::countPaidRepeat(int executions)
{
    this->executionCount = executions;
    this->repeatIsPaid = true;
}

void ShardCall::start(std::function<void()> finishedHook)
{
    this->finished = std::move(finishedHook);
    if (this->repeatIsPaid) {
        // The other gateway has counted it.
    } else if (this->earlierSends == 0) {
        if (!this->countedEarlier) {
            this->pool.recordRequest(this->serviceName);
        }
    } else if (!this->pool.consumeRetry(this->serviceName)) {
        this->reason = "no repeat left in the budget";
        this->finish(this->executionCount > 0 ? CallState::Failed : CallState::NotRun);
        return;
    }
    this->tryNext();
}

SelectionCriteria ShardCall::wanted(std::optional<Core::Duration> within) const
{
    return {.service = this->serviceName,
        .tried = this->tried,
        .typicalLatency = this->parameters.typicalLatency,
        .allowedRegions = this->parameters.allowedRegions,
        .within = within,
        .request = this->parameters.request};
}

void ShardCall::tryNext()
{
    auto *backend = this->pool.firstHealthy(this->parameters.preferred, this->wanted());
    if (backend == nullptr) {
        backend = this->pool.choose(this->wanted());
    }
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
    this->waiter = this->pool.waitForCapacity(this->serviceName, this->parameters.urgency, [this] {
        this->waiter.reset();
        this->tryNext();
    });
}

void ShardCall::sendTo(Backend &backend)
{
    this->current = CallState::UnderWay;
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
    return attemptsLeft && timeLeft;
}

bool ShardCall::isLateHedgeable() const
{
    return this->current == CallState::UnderWay && !this->running.empty() && this->parameters.route->idempotent && this->mayTryAnother();
}

std::optional<Core::Instant> ShardCall::hedgeIfDue()
{
    const auto look = this->lookForHedge();
    if (look.candidate == nullptr) {
        return look.lookAgainAt;
    }
    this->hedge(*look.candidate);
    return std::nullopt;
}

HedgeLook ShardCall::lookForHedge()
{
    if (!this->isLateHedgeable()) {
        return {};
    }
    const auto now = this->timers.now();
    const auto due = this->running.back().startedAt + this->parameters.hedgeDelay;
    if (now < due) {
        return {.candidate = nullptr, .lookAgainAt = due};
    }
    // Worth a repeat only where it is expected to be in time; after the target, anywhere that does not look stuck.
    const auto within = now < this->parameters.targetAt ? this->parameters.targetAt - now : LateHedgeLimit;
    auto *backend = this->pool.choose(this->wanted(within));
    if (backend == nullptr) {
        // Nobody sound has room just now; worth another look soon.
        return {.candidate = nullptr, .lookAgainAt = now + this->parameters.hedgeDelay / 2};
    }
    return {.candidate = backend, .lookAgainAt = std::nullopt};
}

void ShardCall::hedge(Backend &candidate)
{
    const auto late = this->running.back();
    if (!this->pool.mayHaveBeenSent(late.id)) {
        // The first one never left, so another place for it is no repeat.
        this->pool.abandon(late.id, false);
        this->running.pop_back();
        this->sendTo(candidate);
        return;
    }
    if (this->pool.consumeRetry(this->serviceName)) {
        ++this->hedgeCount;
        this->sendTo(candidate);
    }
}

bool ShardCall::hedgeElsewhere()
{
    if (!this->pool.mayHaveBeenSent(this->running.back().id)) {
        // Better sent from here, since it is no repeat then.
        return false;
    }
    if (!this->pool.consumeRetry(this->serviceName)) {
        return false;
    }
    ++this->hedgeCount;
    ++this->elsewhere;
    return true;
}

void ShardCall::cameBack(int executions)
{
    --this->elsewhere;
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
        this->reason = outcome.reason;
        this->retryOrFinish(CallState::NotRun);
        break;
    case AttemptEnd::Broken:
    case AttemptEnd::Unacknowledged:
        ++this->executionCount;
        this->lastBreak = this->timers.now() - attempt.startedAt;
        this->reason = outcome.reason;
        this->retryOrFinish(outcome.end == AttemptEnd::Broken ? CallState::Failed : CallState::FailedUnacknowledged);
        break;
    }
}

void ShardCall::noteLimit(const Running &attempt, bool answered)
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
    this->noteLimit(attempt, incoming.isSuccess());
    if (incoming.notExecuted || incoming.wrongBackend) {
        ++this->refusals;
        if (!incoming.wrongBackend) {
            this->refusedBy.push_back(attempt.backend);
        }
        this->reason = incoming.wrongBackend ? "the address has another backend server now" : "the backend server refused";
        this->retryOrFinish(CallState::NotRun);
        return;
    }
    ++this->executionCount;
    const bool goodSuccess = incoming.isSuccess() && !incoming.signature.empty();
    // What is no success is final for the caller when the request itself is at fault, and worth another try otherwise.
    const bool worthRetry = !goodSuccess && (incoming.isSuccess() || incoming.message.status >= 500);
    this->answer = incoming;
    this->answerLatency = this->timers.now() - attempt.startedAt;
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
        // Another attempt is still under way.
        return;
    }
    const bool nothingRan = this->executions() == 0;
    const bool allowed = (this->parameters.route->idempotent || nothingRan) && this->refusals < MaximumRefusals && this->mayTryAnother();
    const bool wasSent = otherwise != CallState::NotRun || this->refusals > 0;
    // Once all have refused, those that only refused may be asked again: they did not run it.
    const auto choice = [this] {
        return this->pool.choose(this->wanted());
    };
    if (allowed && choice() == nullptr) {
        std::erase_if(this->tried, [this](const BackendName &name) {
            return std::find(this->refusedBy.begin(), this->refusedBy.end(), name) != this->refusedBy.end();
        });
        this->refusedBy.clear();
    }
    if (allowed && choice() != nullptr) {
        if (!wasSent || this->pool.consumeRetry(this->serviceName)) {
            this->tryNext();
            return;
        }
    }
    this->finish(nothingRan ? CallState::NotRun : otherwise);
}

void ShardCall::finish(CallState end)
{
    this->current = end;
    this->countRunning();
    this->abandonRunning(false);
    // NOTE: The hook may destroy this call, so it is taken out first and nothing is touched afterwards.
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
        this->pool.abandon(attempt.id, callerGone);
    }
}

void ShardCall::cancel(bool callerGone)
{
    if (isFinished(this->current)) {
        return;
    }
    this->countRunning();
    this->current = this->executions() > 0 ? CallState::Failed : CallState::NotRun;
    this->finished = nullptr;
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
    return this->executionCount + this->elsewhere;
}

std::optional<Core::Duration> ShardCall::brokeAfter() const
{
    return this->lastBreak;
}

const std::string &ShardCall::failureReason() const
{
    return this->reason;
}

}
