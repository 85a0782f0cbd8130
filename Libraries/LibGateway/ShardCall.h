/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// One request to one service, over as many backend servers as its route allows:
// the first attempt, a hedge when it is late, a retry when it failed.

#pragma once

#include <LibGateway/BackendPool.h>
#include <LibGateway/RequestSettings.h>
#include <LibGateway/WorkLimit.h>

namespace Gateway
{

/** What stays the same for all shards of a request. Outlives its calls. */
struct CallParameters {
    const CallerRequest *request{nullptr};
    const Fleet::Route *route{nullptr};
    /** The caller gives up then. */
    Core::Instant deadline;
    /** Nothing is held for longer than until then. */
    Core::Instant expiresAt;
    /** An answer should leave then to be in time. */
    Core::Instant targetAt;
    /** What such a request usually takes. */
    Core::Duration typicalLatency{0};
    /** After this long without a reply an attempt is hedged. */
    Core::Duration hedgeDelay{0};
    Urgency urgency;
    /** Where a search leaves without those of its shards that are late; nullptr elsewhere. */
    WorkLimit *workLimit{nullptr};
    /** Those that are asked before any others while they are sound, in this order. */
    std::vector<BackendName> preferred;
    /** Where the request may be served. It may become narrower while the request is under way, never wider. */
    Fleet::AllowedRegions allowedRegions;
};

/** Where a call stands. */
enum class CallState {
    /** Waits for a connection to a backend server. */
    Waiting,
    UnderWay,
    /** A good reply is there. */
    Answered,
    /** A backend server answered with a failure that may be passed on. */
    FailedWithReply,
    /** No reply; it may have run. */
    Failed,
    /** As Failed, but the request has most likely not arrived. */
    FailedUnacknowledged,
    /** It did not run anywhere and will not. */
    NotRun,
};

/** Whether a state is final. */
[[nodiscard]] inline bool isFinished(CallState state)
{
    return state != CallState::Waiting && state != CallState::UnderWay;
}

/** What a look at a late call finds. */
struct HedgeLook {
    /** Where a hedge should go now, or nullptr. */
    Backend *candidate{nullptr};
    /** When to look again without one; nothing when there is nothing to wait for. */
    std::optional<Core::Instant> lookAgainAt;
};

/** Runs until it is finished or cancelled. */
class ShardCall
{
public:
    ShardCall(const CallParameters &parameters, Core::ServiceName service, BackendPool &pool, Core::TimerService &timers);
    ~ShardCall();
    ShardCall(const ShardCall &) = delete;
    ShardCall &operator=(const ShardCall &) = delete;

    /**
     * What another gateway did before: runs count against what the route allows, any send makes the next one a repeat,
     * and a request that is `counted` is not counted again. To be called before start().
     */
    void countEarlier(int executions, int sends, bool counted);

    /** As countEarlier() for a call that another gateway hedges here and has paid the repeat for. */
    void countPaidRepeat(int executions);

    /** Sends the first attempt, or waits for room. `finishedHook` is called once, from here or later. */
    void start(std::function<void()> finishedHook);

    /** Sends a hedge if one is due. Returns when to look again; nothing when there is nothing to wait for. */
    std::optional<Core::Instant> hedgeIfDue();

    /** Whether a hedge is due, and where it should go. */
    [[nodiscard]] HedgeLook lookForHedge();
    /** Sends a hedge to the candidate of a look, unless the budget is used up. */
    void hedge(Backend &candidate);

    /**
     * Lets another gateway send the hedge: pays the repeat and counts a send that may run. Returns whether there was a
     * repeat left. cameBack() tells how it ended.
     */
    [[nodiscard]] bool hedgeElsewhere();
    /** `executions` of the hedge elsewhere may have run; none of it is under way any more. */
    void cameBack(int executions);

    /** Gives up. Attempts under way are abandoned; the state says whether any may have run. */
    void cancel(bool callerGone);

    [[nodiscard]] CallState state() const;
    [[nodiscard]] const Core::ServiceName &service() const;
    /** The reply, in states Answered and FailedWithReply. */
    [[nodiscard]] BackendReply &reply();
    /** How long the answered attempt took. */
    [[nodiscard]] Core::Duration latency() const;
    [[nodiscard]] int attempts() const;
    [[nodiscard]] int hedges() const;
    /** Backend servers at which the request may have run; final once the call is finished. */
    [[nodiscard]] int executions() const;
    /** How long after it was sent the last attempt broke whose answer is lost; nothing when none did. */
    [[nodiscard]] std::optional<Core::Duration> brokeAfter() const;
    /** Why it failed, for logs. */
    [[nodiscard]] const std::string &failureReason() const;

private:
    struct Running {
        AttemptId id{0};
        BackendName backend;
        Core::Instant startedAt;
        // Set when the backend server was told less time than the caller has.
        std::optional<Core::Duration> limit;
    };

    [[nodiscard]] SelectionCriteria wanted(std::optional<Core::Duration> within = std::nullopt) const;
    void tryNext();
    void sendTo(Backend &backend);
    void waitForCapacity();
    void handleOutcome(const BackendName &backend, const AttemptOutcome &outcome);
    void handleReply(const BackendReply &incoming, const Running &attempt);
    void noteLimit(const Running &attempt, bool answered);
    void retryOrFinish(CallState otherwise);
    void finish(CallState end);
    [[nodiscard]] bool isLateHedgeable() const;
    void countRunning();
    void abandonRunning(bool callerGone);
    [[nodiscard]] bool mayTryAnother() const;

    const CallParameters &parameters;
    Core::ServiceName serviceName;
    BackendPool &pool;
    Core::TimerService &timers;
    CallState current{CallState::Waiting};
    std::function<void()> finished;
    std::vector<Running> running;
    // Backend servers that are not asked again.
    std::vector<BackendName> tried;
    // Of these, those that refused the request and did not run it.
    std::vector<BackendName> refusedBy;
    // Attempts that may have run; bounded by the route.
    int executionCount{0};
    // Hedges that another gateway has under way.
    int elsewhere{0};
    int sends{0};
    int earlierSends{0};
    bool countedEarlier{false};
    bool repeatIsPaid{false};
    int hedgeCount{0};
    int refusals{0};
    std::optional<std::uint64_t> waiter;
    BackendReply answer;
    Core::Duration answerLatency{0};
    std::optional<Core::Duration> lastBreak;
    std::string reason;
    std::shared_ptr<int> alive{std::make_shared<int>(0)};
};

}
