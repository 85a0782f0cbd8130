/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibEntry/ActionService.h>

#include <LibCore/Identity.h>
#include <LibCore/Log.h>

#include <algorithm>

namespace Entry
{

static constexpr std::chrono::seconds ShortRetryAfter{1};

ActionService::ActionService(ActionOptions options, EntryState &state, ControlAccess &control) : options(options), state(state), control(control)
{
}

std::size_t ActionService::activeCount() const
{
    return this->runs.size();
}

ActionService::Run *ActionService::find(std::uint64_t id)
{
    const auto found = this->runs.find(id);
    return found == this->runs.end() ? nullptr : &found->second;
}

void ActionService::scheduleStep(std::uint64_t id, Core::Duration delay, void (ActionService::*step)(std::uint64_t))
{
    this->runs.at(id).timer = this->state.timers.once(delay, [this, id, step](Core::Instant) {
        (this->*step)(id);
    });
}

// Two requests with the same key count as the same request if their digests are equal, so the digest covers all fields that define the request.
static std::string digestOf(const ActionCall &call)
{
    std::string content;
    for (const auto &part : {call.service.value(), call.action, call.contentType, call.routingKey, call.body}) {
        content += std::to_string(part.size()) + ":" + part;
    }
    return Core::sha256(content);
}

void ActionService::start(ActionCall call, AnswerHook done)
{
    ++this->state.counters.actions;
    const auto refuse = [this, &call, &done](const Problem &problem) {
        ++this->state.counters.refusedNotRun;
        logRefusal(this->state, problem, call.service, call.requestId);
        done(problemAnswer(problem, call.requestId));
    };
    const auto parameters = resolveRequestParameters(this->state, call.service, {});
    if (!parameters.has_value()) {
        refuse(parameters.error());
        return;
    }
    const auto &actions = parameters->declaration.actions;
    if (std::find(actions.begin(), actions.end(), call.action) == actions.end()) {
        refuse(Problem{.type = ProblemType::UnknownAction, .run = RunState::NotRun, .detail = call.action, .retryAfter = std::nullopt});
        return;
    }
    const auto keyTime = Core::timeOfUuidVersion7(call.key);
    if (!keyTime.has_value()) {
        const std::string detail = "Idempotency-Key: " + keyTime.error().message;
        refuse(Problem{.type = ProblemType::MalformedRequest, .run = RunState::NotRun, .detail = detail, .retryAfter = std::nullopt});
        return;
    }
    const std::uint64_t id = this->nextRun++;
    Run run{.call = std::move(call), .parameters = parameters.value(), .done = std::move(done), .attemptId = Core::randomToken()};
    run.digest = digestOf(run.call);
    run.deadlineTimer = this->state.timers.once(run.parameters.deadline - this->state.timers.now(), [this, id](Core::Instant) {
        this->deadlineReached(id);
    });
    this->runs.emplace(id, std::move(run));
    this->claim(id);
}

// ---- Claiming

void ActionService::claim(std::uint64_t id)
{
    // A1. The request is sent only after its claim is durable on a quorum.
    const auto &run = this->runs.at(id);
    Protocol::ClaimRequest request;
    request.key = run.call.key;
    request.requestDigest = run.digest;
    request.entryName = this->state.options.name.value();
    request.attemptId = run.attemptId;
    const auto limit = Core::milliseconds(run.parameters.urgencyClass.deadlineMilliseconds) + this->options.lateOutcomeTimeout;
    request.executionLimitMilliseconds = static_cast<std::int32_t>(Core::toMilliseconds(limit));
    this->control.claim(request, [this, id](const Core::Result<Protocol::ClaimReply> &reply) {
        this->handleClaimReply(id, reply);
    });
}

void ActionService::retryClaim(std::uint64_t id, const std::string &leaderAddress)
{
    this->control.tryAnotherInstance(leaderAddress);
    this->scheduleStep(id, this->options.controlRetryDelay, &ActionService::claim);
}

void ActionService::handleClaimReply(std::uint64_t id, const Core::Result<Protocol::ClaimReply> &reply)
{
    const auto *run = this->find(id);
    if (run == nullptr || run->stage != Stage::Claiming) {
        // A2. A grant that arrives after the caller was told "not run" is ignored.
        return;
    }
    if (!reply.has_value()) {
        this->retryClaim(id, {});
        return;
    }
    switch (reply->status) {
    case Protocol::ClaimStatus::GRANTED:
        this->send(id);
        return;
    case Protocol::ClaimStatus::NOT_LEADER:
    case Protocol::ClaimStatus::UNAVAILABLE:
        this->retryClaim(id, reply->leaderAddress);
        return;
    default:
        this->answerFromRecord(id, reply.value());
        this->removeRun(id);
        return;
    }
}

void ActionService::answerFromRecord(std::uint64_t id, const Protocol::ClaimReply &reply)
{
    switch (reply.status) {
    case Protocol::ClaimStatus::COMPLETED:
        this->answerOutcome(id, reply.outcome);
        return;
    case Protocol::ClaimStatus::IN_PROGRESS:
        this->answerProblem(id, ProblemType::InProgress, RunState::Unknown, "another attempt with this key is in progress");
        return;
    case Protocol::ClaimStatus::OUTCOME_UNKNOWN:
        this->answerProblem(id, ProblemType::OutcomeUnknown, RunState::Unknown, "an earlier attempt ended without a known outcome");
        return;
    case Protocol::ClaimStatus::KEY_REUSED:
        this->answerProblem(id, ProblemType::KeyReused, RunState::NotRun, "the key was used with another request");
        return;
    case Protocol::ClaimStatus::KEY_FROM_FUTURE:
        this->answerProblem(id, ProblemType::KeyInFuture, RunState::NotRun, "check the clock that the key was made with");
        return;
    default:
        // NOTE: The record of an earlier attempt with this key may already be deleted, so the request may have run before and "not run" would be wrong.
        this->answerProblem(id, ProblemType::KeyExpired, RunState::Unknown, "create a new key only if the request was never sent before");
        return;
    }
}

// ---- Sending

void ActionService::send(std::uint64_t id)
{
    auto &run = this->runs.at(id);
    run.stage = Stage::Sending;
    const auto view = this->state.snapshots.choose(run.call.service, this->state.backends, this->state.timers.now());
    if (!view) {
        this->answerProblem(id, ProblemType::NoSnapshot, RunState::NotRun, "no backend server holds a snapshot of the service");
        this->settle(id);
        return;
    }
    BackendRequest request;
    request.operation = Operation::Action;
    request.service = run.call.service;
    request.subject = run.call.action;
    request.body = run.call.body;
    request.contentType = run.call.contentType;
    request.idempotencyKey = run.call.key;
    const std::string &routingKey = run.call.routingKey.empty() ? run.call.key : run.call.routingKey;
    SubRequest subRequest{
        .request = std::make_shared<const BackendRequest>(std::move(request)),
        .view = view,
        .shard = Core::ShardIndex(Core::shardOfKey(routingKey, view->shardCount())),
        .priority = run.parameters.urgencyClass.priority,
        .deadline = run.parameters.deadline,
        .connectionShare = run.parameters.connectionShare,
        .excluded = run.tried,
        .sent =
            [this, id](const ReplicaChoice &choice) {
                this->runs.at(id).tried.push_back(choice.id);
            },
        .done =
            [this, id](const SubRequestOutcome &outcome) {
                this->handleOutcome(id, outcome);
            },
    };
    // A3. Actions are never hedged. There is one sub-request at a time, and the next one is sent only after proof that the previous one did not run.
    run.subRequest = this->state.dispatcher.submit(std::move(subRequest));
}

void ActionService::handleOutcome(std::uint64_t id, const SubRequestOutcome &outcome)
{
    auto *run = this->find(id);
    if (run == nullptr || run->stage != Stage::Sending) {
        return;
    }
    run->subRequest.reset();
    switch (outcome.result.status) {
    case AttemptStatus::Answered:
        run->outcome = Protocol::ActionOutcome();
        run->outcome->statusCode = outcome.result.statusCode;
        run->outcome->contentType = outcome.result.contentType;
        run->outcome->body = outcome.result.body;
        this->settle(id);
        return;
    case AttemptStatus::Refused:
    case AttemptStatus::NotSent:
        this->handleRefusal(id, outcome);
        return;
    case AttemptStatus::Failed:
        // A4. The action may have run, so its claim is kept, which prevents another run with the same key.
        this->answerProblem(id, ProblemType::OutcomeUnknown, RunState::Unknown, outcome.result.message);
        this->removeRun(id);
        return;
    }
}

void ActionService::handleRefusal(std::uint64_t id, const SubRequestOutcome &outcome)
{
    auto &run = this->runs.at(id);
    const bool timeLeft = this->state.timers.now() + this->options.controlRetryDelay < run.parameters.deadline;
    const auto usable = static_cast<std::size_t>(run.parameters.declaration.replicasPerShard);
    if (timeLeft && outcome.backend.has_value() && run.tried.size() < usable) {
        this->send(id);
        return;
    }
    // A5. The action provably did not run. The caller is told so, and the claim is released, so that the caller may retry with the same key.
    this->answerProblem(id, ProblemType::BackendRefused, RunState::NotRun, outcome.result.message);
    this->settle(id);
}

void ActionService::deadlineReached(std::uint64_t id)
{
    auto &run = this->runs.at(id);
    if (run.stage == Stage::Claiming) {
        this->answerProblem(id, ProblemType::RecordsUnavailable, RunState::NotRun, "the claim was not confirmed before the deadline");
        this->settle(id);
        return;
    }
    if (run.stage == Stage::Settling) {
        return;
    }
    if (run.subRequest.has_value() && this->state.dispatcher.cancelIfWaiting(run.subRequest.value())) {
        this->answerProblem(id, ProblemType::Overloaded, RunState::NotRun, "no replica had free capacity before the deadline");
        this->settle(id);
        return;
    }
    // A6. The action is in flight. The caller is told that the outcome is unknown, and this instance still waits for the outcome to record it.
    this->answerProblem(id, ProblemType::OutcomeUnknown, RunState::Unknown, "the backend server did not reply before the deadline");
    run.deadlineTimer = this->state.timers.once(this->options.lateOutcomeTimeout, [this, id](Core::Instant) {
        auto &late = this->runs.at(id);
        if (late.stage == Stage::Sending) {
            if (late.subRequest.has_value()) {
                this->state.dispatcher.cancel(late.subRequest.value());
            }
            this->removeRun(id);
        }
    });
}

// ---- Settling

void ActionService::settle(std::uint64_t id)
{
    auto &run = this->runs.at(id);
    run.stage = Stage::Settling;
    run.settleDeadline = this->state.timers.now() + this->options.settleTimeout;
    run.deadlineTimer = this->state.timers.once(this->options.recordTimeout, [this, id](Core::Instant) {
        // A7. The action ran, so the caller gets its outcome even if the outcome is not recorded yet.
        auto &waiting = this->runs.at(id);
        if (waiting.done && waiting.outcome.has_value()) {
            this->answerOutcome(id, waiting.outcome.value());
        }
    });
    this->sendSettlement(id);
}

void ActionService::sendSettlement(std::uint64_t id)
{
    const auto &run = this->runs.at(id);
    Protocol::SettleRequest request;
    request.key = run.call.key;
    request.attemptId = run.attemptId;
    if (run.outcome.has_value()) {
        request.__set_outcome(run.outcome.value());
    }
    this->control.settle(request, [this, id](const Core::Result<Protocol::SettleReply> &reply) {
        this->handleSettleReply(id, reply);
    });
}

void ActionService::handleSettleReply(std::uint64_t id, const Core::Result<Protocol::SettleReply> &reply)
{
    const auto *run = this->find(id);
    if (run == nullptr) {
        return;
    }
    const bool settled = reply.has_value() && (reply->status == Protocol::SettleStatus::SETTLED || reply->status == Protocol::SettleStatus::NO_SUCH_CLAIM);
    if (settled) {
        if (run->done && run->outcome.has_value()) {
            this->answerOutcome(id, run->outcome.value());
        }
        this->removeRun(id);
        return;
    }
    this->control.tryAnotherInstance(reply.has_value() ? reply->leaderAddress : std::string());
    if (this->state.timers.now() >= run->settleDeadline) {
        Core::logEvent(Core::LogLevel::Warning, "action.not_settled", {{"request_id", run->call.requestId.value()}, {"key", run->call.key}});
        this->removeRun(id);
        return;
    }
    this->scheduleStep(id, this->options.controlRetryDelay, &ActionService::sendSettlement);
}

// ---- Answers

void ActionService::reply(Run &run, CallerAnswer answer)
{
    const auto done = std::exchange(run.done, nullptr);
    if (done) {
        done(std::move(answer));
    }
}

void ActionService::answerProblem(std::uint64_t id, ProblemType type, RunState runState, const std::string &detail)
{
    auto &run = this->runs.at(id);
    if (!run.done) {
        return;
    }
    ++(runState == RunState::NotRun ? this->state.counters.refusedNotRun : this->state.counters.refusedUnknown);
    const bool isRetryable = type == ProblemType::InProgress || (runState == RunState::NotRun && problemStatus(type) == 503);
    const Problem problem{.type = type, .run = runState, .detail = detail, .retryAfter = isRetryable ? std::optional(ShortRetryAfter) : std::nullopt};
    logRefusal(this->state, problem, run.call.service, run.call.requestId);
    this->reply(run, problemAnswer(problem, run.call.requestId));
}

void ActionService::answerOutcome(std::uint64_t id, const Protocol::ActionOutcome &outcome)
{
    ++this->state.counters.answeredComplete;
    this->reply(
        this->runs.at(id), CallerAnswer{.status = outcome.statusCode, .contentType = outcome.contentType, .body = outcome.body, .retryAfter = std::nullopt});
}

void ActionService::removeRun(std::uint64_t id)
{
    this->runs.erase(id);
}

}
