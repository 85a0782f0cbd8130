/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Non-repeatable requests: claimed durably on a quorum before they are sent,
// sent at most once, their outcome recorded. docs/ACTIONS.md numbers the rules.

#pragma once

#include <LibEntry/ControlClient.h>
#include <LibEntry/EntryState.h>

#include <memory>
#include <unordered_map>

namespace Entry
{

/** A caller's action. */
struct ActionCall {
    Core::RequestId requestId;
    Core::ServiceName service;
    std::string action;
    /** The Idempotency-Key header: a UUID of version 7. */
    std::string key;
    /** Requests with equal routing keys go to the same shard. Empty: the idempotency key. */
    std::string routingKey;
    std::string body;
    std::string contentType;
};

/** Waits and limits of actions. */
struct ActionOptions {
    /** Pause before a control instance is asked again. */
    Core::Duration controlRetryPause{Core::milliseconds(50)};
    /** After the deadline the outcome is still awaited this long, to be recorded. */
    Core::Duration lateOutcome{Core::seconds(5)};
    /** How long the caller waits for the outcome to be recorded after the action ran. */
    Core::Duration recordWait{Core::milliseconds(500)};
    /** How long a settlement that nobody waits for is retried. */
    Core::Duration settlePersistence{Core::seconds(30)};
};

/** Runs actions until they are answered and settled. */
class ActionService
{
public:
    ActionService(ActionOptions options, EntryState &state, ControlAccess &control);

    /** `done` is called exactly once. */
    void start(ActionCall call, AnswerHook done);

    /** Actions that are not settled yet, answered or not. */
    [[nodiscard]] std::size_t underWay() const;

private:
    enum class Stage {
        Claiming,
        Sending,
        Settling,
    };
    struct Run {
        ActionCall call;
        RequestParameters parameters;
        /** Empty once the caller has its answer. */
        AnswerHook done;
        std::string attemptId;
        std::string digest;
        Stage stage{Stage::Claiming};
        std::optional<SubRequestId> subRequest;
        std::vector<BackendId> tried;
        std::optional<Protocol::ActionOutcome> outcome;
        Core::Instant settleUntil;
        Core::TimerSubscription timer;
        Core::TimerSubscription deadlineTimer;
    };

    void claim(std::uint64_t id);
    void takeClaimReply(std::uint64_t id, const Core::Result<Protocol::ClaimReply> &reply);
    void answerFromRecord(std::uint64_t id, const Protocol::ClaimReply &reply);
    void retryClaim(std::uint64_t id, const std::string &leaderAddress);
    void send(std::uint64_t id);
    void handleOutcome(std::uint64_t id, const SubRequestOutcome &outcome);
    void takeRefusal(std::uint64_t id, const SubRequestOutcome &outcome);
    void deadlineReached(std::uint64_t id);
    void settle(std::uint64_t id);
    void sendSettlement(std::uint64_t id);
    void takeSettleReply(std::uint64_t id, const Core::Result<Protocol::SettleReply> &reply);
    void answerProblem(std::uint64_t id, ProblemType type, RunState run, const std::string &detail);
    void answerOutcome(std::uint64_t id, const Protocol::ActionOutcome &outcome);
    void reply(Run &run, CallerAnswer answer);
    void forget(std::uint64_t id);
    [[nodiscard]] Run *find(std::uint64_t id);
    void later(std::uint64_t id, Core::Duration pause, void (ActionService::*step)(std::uint64_t));

    ActionOptions options;
    EntryState &state;
    ControlAccess &control;
    std::unordered_map<std::uint64_t, Run> runs;
    std::uint64_t nextRun{1};
};

}
