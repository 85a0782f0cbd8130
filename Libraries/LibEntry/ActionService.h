/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Runs non-repeatable requests (actions) at most once. An action's idempotency
// key is claimed durably on a quorum before it is sent, and its outcome is
// recorded afterwards. docs/ACTIONS.md lists the rules A1 to A7 that the code
// refers to.

#pragma once

#include <LibEntry/ControlClient.h>
#include <LibEntry/EntryState.h>

#include <memory>
#include <unordered_map>

namespace Entry
{

/** An action as requested by a caller. */
struct ActionCall {
    Core::RequestId requestId;
    Core::ServiceName service;
    std::string action;
    /** The Idempotency-Key header: a UUID of version 7. */
    std::string key;
    /** Requests with equal routing keys go to the same shard. If empty, the idempotency key selects the shard. */
    std::string routingKey;
    std::string body;
    std::string contentType;
};

/** Delays and timeouts of actions. */
struct ActionOptions {
    /** Delay before a claim or settlement is retried at another control instance. */
    Core::Duration controlRetryDelay{Core::milliseconds(50)};
    /** How long after the deadline this instance still waits for the outcome, to record it. */
    Core::Duration lateOutcomeTimeout{Core::seconds(5)};
    /** Maximum time that the answer to the caller is delayed until the outcome is recorded. */
    Core::Duration recordTimeout{Core::milliseconds(500)};
    /** How long a settlement is retried. */
    Core::Duration settleTimeout{Core::seconds(30)};
};

/** Processes actions until they are answered and settled: their outcomes recorded or their claims released. */
class ActionService
{
public:
    ActionService(ActionOptions options, EntryState &state, ControlAccess &control);

    /** `done` is called exactly once. */
    void start(ActionCall call, AnswerHook done);

    /** Number of actions that are not settled yet, whether answered or not. */
    [[nodiscard]] std::size_t activeCount() const;

private:
    enum class Stage {
        Claiming,
        Sending,
        Settling,
    };
    struct Run {
        ActionCall call;
        RequestParameters parameters;
        /** Empty once the caller has been answered. */
        AnswerHook done;
        std::string attemptId;
        std::string digest;
        Stage stage{Stage::Claiming};
        std::optional<SubRequestId> subRequest;
        std::vector<BackendId> tried;
        std::optional<Protocol::ActionOutcome> outcome;
        Core::Instant settleDeadline;
        Core::TimerSubscription timer;
        Core::TimerSubscription deadlineTimer;
    };

    void claim(std::uint64_t id);
    void handleClaimReply(std::uint64_t id, const Core::Result<Protocol::ClaimReply> &reply);
    void answerFromRecord(std::uint64_t id, const Protocol::ClaimReply &reply);
    void retryClaim(std::uint64_t id, const std::string &leaderAddress);
    void send(std::uint64_t id);
    void handleOutcome(std::uint64_t id, const SubRequestOutcome &outcome);
    void handleRefusal(std::uint64_t id, const SubRequestOutcome &outcome);
    void deadlineReached(std::uint64_t id);
    void settle(std::uint64_t id);
    void sendSettlement(std::uint64_t id);
    void handleSettleReply(std::uint64_t id, const Core::Result<Protocol::SettleReply> &reply);
    void answerProblem(std::uint64_t id, ProblemType type, RunState run, const std::string &detail);
    void answerOutcome(std::uint64_t id, const Protocol::ActionOutcome &outcome);
    void reply(Run &run, CallerAnswer answer);
    void removeRun(std::uint64_t id);
    [[nodiscard]] Run *find(std::uint64_t id);
    void scheduleStep(std::uint64_t id, Core::Duration delay, void (ActionService::*step)(std::uint64_t));

    ActionOptions options;
    EntryState &state;
    ControlAccess &control;
    std::unordered_map<std::uint64_t, Run> runs;
    std::uint64_t nextRun{1};
};

}
